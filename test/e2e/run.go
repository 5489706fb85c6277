package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"tansyseam/test/history"
	"tansyseam/test/standin"
)

// Run is one scenario under way: the fleet, its load, and what is recorded
// besides the callers' history.
type Run struct {
	*Fleet
	Recorder
	Callers  *standin.Callers
	Evidence *history.Evidence
}

// Sleep lets the load run for a while.
func (r *Run) Sleep(duration time.Duration) { time.Sleep(duration) }

// ReplaceBindings replaces the bindings by the mix's own, where the sequence in
// force is the expected one. It returns the sequence that is in force then.
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
		r.Logf("put answered %d %s", status, raw)
		time.Sleep(replaceInterval)
	}
	r.Errorf("no set could be put on %d", expected)
	return expected
}

const (
	replaceAttempts = 5
	replaceInterval = 300 * time.Millisecond
)

// recordAcceptedSet records a set that was acknowledged now, and when it is to
// take effect where it was scheduled.
func (r *Run) recordAcceptedSet(sequence uint64, effectiveAt time.Time) {
	set := history.AcceptedSet{Sequence: sequence, AcknowledgedAt: time.Now().UnixNano()}
	if !effectiveAt.IsZero() {
		set.EffectiveAt = effectiveAt.UnixMilli() * int64(time.Millisecond)
	}
	r.Evidence.AcceptedSets = append(r.Evidence.AcceptedSets, set)
}

// recordRestart records a planned restart of a proxy that ended now.
func (r *Run) recordRestart(proxy *Process, from time.Time) {
	r.Evidence.Restarts = append(r.Evidence.Restarts, history.Restart{Address: proxy.HTTPAddress, From: from.UnixNano(), Until: time.Now().UnixNano()})
}

// baseline is a time of load without faults.
type baseline struct{ from, until time.Time }

// observeBaseline lets the load run for 3 s before a fault; the level after
// the fault is compared to it.
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

// awaitAllReady waits until all proxies are ready; false after a timeout.
func (r *Run) awaitAllReady(timeout time.Duration) bool {
	return WaitUntil(timeout, func() bool { return r.Platform.ReadyCount() >= len(r.Proxies) })
}

// expectNoFailover checks, at a proxy, that the first database is still in
// its first term; kind says what its primary is like.
func (r *Run) expectNoFailover(proxy *Process, kind string) {
	if term := r.Writers(proxy.HTTPAddress)[r.database()].Term; term != 1 {
		r.Errorf("%s was taken for dead: term %d", kind, term)
	}
}

// Primary returns the process of a database's primary as the proxies know it,
// nil where none does.
func (r *Run) Primary(database string) *Process {
	for _, proxy := range r.Proxies {
		if writer, found := r.Writers(proxy.HTTPAddress)[database]; found {
			return r.FindProcess(writer.Primary)
		}
	}
	return nil
}

// AwaitTerm waits until a database's writer role is open in a term past the
// given one; false after a timeout.
func (r *Run) AwaitTerm(database string, past uint64, timeout time.Duration) (Writer, bool) {
	var writer Writer
	open := WaitUntil(timeout, func() bool {
		for _, proxy := range r.Proxies {
			writer = r.Writers(proxy.HTTPAddress)[database]
			if writer.Term > past && writer.Phase == "open" {
				return true
			}
		}
		return false
	})
	return writer, open
}

// ControlPrimary returns the process that is primary of the control plane, nil
// where none says so.
func (r *Run) ControlPrimary() *Process { return FindControlPrimary(r.client, r.Controls) }

// Epoch asks a control process for its epoch and who is primary and backup in
// it; zero values where it does not answer.
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

// database is the one that scenarios inject faults into.
func (r *Run) database() string { return r.Shape.Databases[0] }
