package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"tansyseam/test/history"
	"tansyseam/test/standin"
)

// Run is a scenario in progress: the fleet, its load, and the evidence that is recorded
// in addition to the callers' history.
type Run struct {
	*Fleet
	Recorder
	Callers  *standin.Callers
	Evidence *history.Evidence
}

// Sleep lets the load run for a duration.
func (r *Run) Sleep(duration time.Duration) { time.Sleep(duration) }

// ReplaceBindings replaces the bindings with those of the mix if the sequence in force
// is the expected one. It returns the sequence that is in force afterwards.
func (r *Run) ReplaceBindings(expected uint64) uint64 {
	bindings := r.Shape.Mix.Bindings()
	id := fmt.Sprintf("put-%d-%d", expected, time.Now().UnixNano())
	for range replaceAttempts {
		status, raw, err := r.PutBindings(id, expected, bindings)
		var answer struct {
			Sequence uint64 `json:"sequence"`
		}
		if err == nil && status == http.StatusOK && json.Unmarshal(raw, &answer) == nil {
			r.recordAcceptedSet(answer.Sequence, time.Time{})
			return answer.Sequence
		}
		r.Logf("bindings put was answered with status %d: %s", status, raw)
		time.Sleep(replaceInterval)
	}
	r.Errorf("no binding set was accepted as the successor of sequence %d", expected)
	return expected
}

const (
	replaceAttempts = 5
	replaceInterval = 300 * time.Millisecond
)

// recordAcceptedSet records that a set is acknowledged now. For a scheduled set,
// effectiveAt is when it takes effect; otherwise it is the zero time.
func (r *Run) recordAcceptedSet(sequence uint64, effectiveAt time.Time) {
	set := history.AcceptedSet{Sequence: sequence, AcknowledgedAt: time.Now().UnixNano()}
	if !effectiveAt.IsZero() {
		set.EffectiveAt = effectiveAt.UnixMilli() * int64(time.Millisecond)
	}
	r.Evidence.AcceptedSets = append(r.Evidence.AcceptedSets, set)
}

// recordRestart records a planned restart of a proxy. The restart lasted from the given
// time until now.
func (r *Run) recordRestart(proxy *Process, from time.Time) {
	r.Evidence.Restarts = append(r.Evidence.Restarts, history.Restart{Address: proxy.HTTPAddress, From: from.UnixNano(), Until: time.Now().UnixNano()})
}

// baseline is a period of load without faults.
type baseline struct{ from, until time.Time }

// observeBaseline lets the load run for 3 s before a fault and returns that period. The
// level of service after the fault is compared with the level in this period.
func (r *Run) observeBaseline() baseline {
	from := time.Now()
	r.Sleep(3 * time.Second)
	return baseline{from, time.Now()}
}

// recordClosedFault records that a fault ends now.
func (r *Run) recordClosedFault(name string, before baseline) {
	r.Evidence.ClosedFaults = append(r.Evidence.ClosedFaults, history.ClosedFault{
		Name: name, BeforeFrom: before.from.UnixNano(), BeforeUntil: before.until.UnixNano(), At: time.Now().UnixNano(),
	})
}

// awaitAllReady waits until all proxies are ready. It returns false after a timeout.
func (r *Run) awaitAllReady(timeout time.Duration) bool {
	return WaitUntil(timeout, func() bool { return r.Platform.ReadyCount() >= len(r.Proxies) })
}

// expectNoFailover checks, at a proxy, that the first database is still in its first
// term. The failure message describes the primary by kind, such as "a slow primary".
func (r *Run) expectNoFailover(proxy *Process, kind string) {
	if term := r.Writers(proxy.HTTPAddress)[r.database()].Term; term != 1 {
		r.Errorf("%s was declared dead: term %d", kind, term)
	}
}

// Primary returns the process that the proxies report as a database's primary, or nil
// if no proxy reports one.
func (r *Run) Primary(database string) *Process {
	for _, proxy := range r.Proxies {
		if writer, found := r.Writers(proxy.HTTPAddress)[database]; found {
			return r.FindProcess(writer.Primary)
		}
	}
	return nil
}

// AwaitTerm waits until a database's writer role is open in a term later than afterTerm,
// and returns the role. It returns false after a timeout.
func (r *Run) AwaitTerm(database string, afterTerm uint64, timeout time.Duration) (Writer, bool) {
	var writer Writer
	open := WaitUntil(timeout, func() bool {
		for _, proxy := range r.Proxies {
			writer = r.Writers(proxy.HTTPAddress)[database]
			if writer.Term > afterTerm && writer.Phase == "open" {
				return true
			}
		}
		return false
	})
	return writer, open
}

// ControlPrimary returns the process that reports to be primary of the control plane,
// or nil if none does.
func (r *Run) ControlPrimary() *Process { return FindControlPrimary(r.client, r.Controls) }

// Epoch returns the epoch that a control process reports, with the names of the primary
// and the backup in it. It returns zero values if the process does not respond.
func (r *Run) Epoch(control *Process) (epoch uint64, primary, backup string) {
	_, raw, err := r.Post(control.HTTPAddress, "/v1/vitals", struct{}{})
	var vitals struct {
		Epoch   uint64 `json:"epoch"`
		Primary string `json:"primary"`
		Backup  string `json:"backup"`
	}
	if err == nil {
		_ = json.Unmarshal(raw, &vitals)
	}
	return vitals.Epoch, vitals.Primary, vitals.Backup
}

// database returns the database that scenarios inject faults into.
func (r *Run) database() string { return r.Shape.Databases[0] }
