package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"tansyseam/test/history"
	"tansyseam/test/standin"
	"time"
)

// Run is one scenario under way.
type Run struct {
	*Fleet
	Callers   *standin.Callers
	Evidence  *history.Evidence
	StartedAt time.Time
	Notes     []string
	Failures  []string
}

// Logf writes down a figure or event of the run.
func (r *Run) Logf(format string, parts ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf("%6.2f s  ", time.Since(r.StartedAt).Seconds())+fmt.Sprintf(format, parts...))
}

// Errorf notes something that should have been so.
func (r *Run) Errorf(format string, parts ...any) {
	r.Failures = append(r.Failures, fmt.Sprintf(format, parts...))
}

// Sleep lets load run for a while.
func (r *Run) Sleep(span time.Duration) { time.Sleep(span) }

// ReplaceBindings puts the mix's bindings again, with a changed freshness, as the next
// sequence.
func (r *Run) ReplaceBindings(expected uint64) uint64 {
	bindings := r.Shape.Mix.Bindings()
	id := fmt.Sprintf("put-%d-%d", expected, time.Now().UnixNano())
	for range 5 {
		code, raw, err := r.PutBindings(id, expected, bindings)
		var answer struct {
			Sequence uint64 `json:"sequence"`
		}
		if err == nil && code == http.StatusOK && json.Unmarshal(raw, &answer) == nil {
			r.Evidence.AcceptedSets = append(r.Evidence.AcceptedSets, history.AcceptedSet{Sequence: answer.Sequence, AcknowledgedAt: time.Now().UnixNano()})
			return answer.Sequence
		}
		r.Logf("put answered %d %s", code, raw)
		time.Sleep(300 * time.Millisecond)
	}
	r.Errorf("no set could be put on %d", expected)
	return expected
}

// RecordClosedFault notes the end of a fault.
func (r *Run) RecordClosedFault(name string, from, until time.Time) {
	r.Evidence.ClosedFaults = append(r.Evidence.ClosedFaults, history.ClosedFault{
		Name: name, BeforeFrom: from.UnixNano(), BeforeUntil: until.UnixNano(), At: time.Now().UnixNano(),
	})
}

// Primary names the process of a database's primary, as the nodes hold it.
func (r *Run) Primary(database string) *Process {
	for _, proxy := range r.Proxies {
		if writer, found := r.Writers(proxy.HTTPAddress)[database]; found {
			return r.FindProcess(writer.Primary)
		}
	}
	return nil
}

// AwaitTerm waits until a database's role is open in a term past one.
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

// ControlPrimary names the process that is control primary.
func (r *Run) ControlPrimary() *Process {
	for _, control := range r.Controls {
		_, raw, err := r.Post(control.HTTPAddress, "/v1/fleet", map[string]any{})
		var view struct {
			Primacy bool `json:"primacy"`
		}
		if err == nil && json.Unmarshal(raw, &view) == nil && view.Primacy {
			return control
		}
	}
	return nil
}

// Epoch asks a disk machine for the epoch record.
func (r *Run) Epoch(control *Process) (epoch uint64, primary, backup string) {
	_, raw, err := r.Post(control.HTTPAddress, "/v1/vitals", map[string]any{})
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

func (r *Run) database() string { return r.Shape.Databases[database0] }
