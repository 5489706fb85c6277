package platforme2e

import (
	"net/http"
	"time"

	"tansyseam/test/e2e"
	"tansyseam/test/linehistory"
	"tansyseam/test/platformstandin"
)

// CountServed returns the number of statements of an act that were sent at or after a
// time and were answered with success.
func (r *Run) CountServed(act string, since time.Duration) int {
	count := 0
	for _, query := range r.History.Copy().Queries {
		if query.Act == act && query.Code == "" && !query.Cut && query.Sent >= since {
			count++
		}
	}
	return count
}

// Numbers of successful statements after which AwaitService considers the service
// restored.
const (
	servedReads   = 30
	servedWrites  = 10
	servedCommits = 10
)

// AwaitService waits until reads, writes and commits are served again. It records a
// failure after a timeout. The stage names the part of the run in notes and failures.
func (r *Run) AwaitService(stage string, timeout time.Duration) {
	since := r.group.Now()
	reads, writes, commits := 0, 0, 0
	served := e2e.WaitUntil(timeout, func() bool {
		reads, writes, commits = r.CountServed(linehistory.ActRead, since), r.CountServed(linehistory.ActWrite, since), r.CountServed(linehistory.ActCommit, since)
		return reads >= servedReads && writes >= servedWrites && commits >= servedCommits
	})
	if !served {
		r.Errorf("%s: reads %d, writes %d, commits %d served within %v", stage, reads, writes, commits, timeout)
		return
	}
	r.Logf("%s: served after %d ms", stage, (r.group.Now() - since).Milliseconds())
}

// ReplaceConfiguration sends the routes as a new version, beginning with the control
// address of index first. It records a failure if the version is not accepted.
func (r *Run) ReplaceConfiguration(routes []platformstandin.Route, first int) {
	r.version += versionStep
	if status := r.Operator.Replace(r.version, routes, first); status != http.StatusOK {
		r.Errorf("version %d was answered with status %d", r.version, status)
	}
}

// ControlPrimary returns the process that reports to be primary of the control plane,
// or nil if none does.
func (r *Run) ControlPrimary() *e2e.Process {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	return e2e.FindControlPrimary(client, r.Controls)
}
