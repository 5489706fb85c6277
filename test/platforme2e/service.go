package platforme2e

import (
	"net/http"
	"time"

	"tansyseam/test/e2e"
	"tansyseam/test/linehistory"
	"tansyseam/test/platformstandin"
)

// CountServed returns how many statements of an act, sent since a time, were
// answered with success.
func (r *Run) CountServed(act string, since time.Duration) int {
	count := 0
	for _, query := range r.History.Copy().Queries {
		if query.Act == act && query.Code == "" && !query.Cut && query.Sent >= since {
			count++
		}
	}
	return count
}

// Numbers of statements that show that service is back.
const (
	servedReads   = 30
	servedWrites  = 10
	servedCommits = 10
)

// AwaitService waits until reads, writes and commits are served again; it
// records a failure after a timeout.
func (r *Run) AwaitService(what string, timeout time.Duration) {
	since := r.group.Now()
	reads, writes, commits := 0, 0, 0
	served := e2e.WaitUntil(timeout, func() bool {
		reads, writes, commits = r.CountServed(linehistory.ActRead, since), r.CountServed(linehistory.ActWrite, since), r.CountServed(linehistory.ActCommit, since)
		return reads >= servedReads && writes >= servedWrites && commits >= servedCommits
	})
	if !served {
		r.Errorf("%s: reads %d, writes %d, commits %d served within %v", what, reads, writes, commits, timeout)
		return
	}
	r.Logf("%s: served after %d ms", what, (r.group.Now() - since).Milliseconds())
}

// ReplaceConfiguration sends a further version, to the first address first; it
// records a failure where it is not taken.
func (r *Run) ReplaceConfiguration(routes []platformstandin.Route, first int) {
	r.version += versionStep
	if status := r.Operator.Replace(r.version, routes, first); status != http.StatusOK {
		r.Errorf("version %d was answered %d", r.version, status)
	}
}

// ControlPrimary returns the process that is primary of the control plane, nil
// where none says so.
func (r *Run) ControlPrimary() *e2e.Process {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	return e2e.FindControlPrimary(client, r.Controls)
}
