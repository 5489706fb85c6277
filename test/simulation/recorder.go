package simulation

import (
	"fmt"
	"time"

	"tansyseam/internal/state/model"
	"tansyseam/test/history"
	"tansyseam/test/standin"
)

// servedSet identifies a binding set that was served, by its sequence and content.
type servedSet struct {
	sequence uint64
	content  string
}

// recorder collects the evidence of a run.
type recorder struct {
	evidence history.Evidence
	// outstanding has the unanswered requests, by their number.
	outstanding  map[uint64]standin.Event
	lastRequest  uint64
	recordedSets map[servedSet]bool
	// violations are the violations that the simulator itself detected.
	violations []string
}

func newRecorder() recorder {
	return recorder{outstanding: map[uint64]standin.Event{}, recordedSets: map[servedSet]bool{}}
}

func (r *recorder) addViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// beginRequest records that a request is outstanding, and returns its number.
func (r *recorder) beginRequest(event standin.Event) uint64 {
	r.lastRequest++
	r.outstanding[r.lastRequest] = event
	return r.lastRequest
}

func (r *recorder) finishRequest(number uint64, event standin.Event) {
	delete(r.outstanding, number)
	r.addEvent(event)
}

func (r *recorder) addEvent(event standin.Event) {
	r.evidence.Events = append(r.evidence.Events, event)
}

// addServedSets records the sets that a machine serves. Each set is recorded only
// for the first machine that serves it.
func (r *recorder) addServedSets(machine string, sets []model.BindingSet, at time.Duration) {
	for _, set := range sets {
		key := servedSet{set.Sequence, bindingsContent(set.Bindings)}
		if !r.recordedSets[key] {
			r.recordedSets[key] = true
			r.evidence.ServedSets = append(r.evidence.ServedSets, history.ServedSet{Node: machine, Sequence: key.sequence, Content: key.content, At: int64(at)})
		}
	}
}

func (r *recorder) addSubmittedSet(set history.SubmittedSet) {
	r.evidence.SubmittedSets = append(r.evidence.SubmittedSets, set)
}

func (r *recorder) addSetAnswer(answer history.SetAnswer) {
	r.evidence.SetAnswers = append(r.evidence.SetAnswers, answer)
}

func (r *recorder) addAcceptedSet(set history.AcceptedSet) {
	r.evidence.AcceptedSets = append(r.evidence.AcceptedSets, set)
}

func (r *recorder) addRestart(node string, from, until time.Duration) {
	r.evidence.Restarts = append(r.evidence.Restarts, history.Restart{Address: node, From: int64(from), Until: int64(until)})
}

func (r *recorder) addQuietSpan(from, until time.Duration) {
	r.evidence.QuietSpans = append(r.evidence.QuietSpans, history.Span{From: int64(from), Until: int64(until)})
}

func (r *recorder) addClosedFault(fault history.ClosedFault) {
	r.evidence.ClosedFaults = append(r.evidence.ClosedFaults, fault)
}
