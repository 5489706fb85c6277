package simulation

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/coordination/callresult"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/rollout"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
	"tansyseam/test/history"
)

const (
	minReadInterval   = 20 * time.Millisecond
	maxReadInterval   = 120 * time.Millisecond
	minSubmitInterval = 400 * time.Millisecond
	maxSubmitInterval = 3 * time.Second
	minRepeatDelay    = 50 * time.Millisecond
	maxRepeatDelay    = 900 * time.Millisecond
	minScheduleDelay  = 500 * time.Millisecond
	maxScheduleDelay  = 4 * time.Second
)

// Probabilities that an operator submits, in addition to a binding set, a
// competing set, the same set a second time, and a scheduled set.
const (
	competingProbability = 0.3
	repeatProbability    = 0.4
	scheduledProbability = 0.3
)

// stalenessBoundsMS are the staleness bounds of the bindings of each database.
var stalenessBoundsMS = []int{0, 1500, 2500}

func bindingName(database string, boundMS int) string {
	return fmt.Sprintf("%s-%d", database, boundMS)
}

// newBindings returns the bindings of a set. The name of the first one contains the
// ID of the set, so that the content of each set is unique.
func newBindings(databases []string, id string) []model.Binding {
	bindings := []model.Binding{{Name: "mark-" + id, Database: databases[0]}}
	for _, database := range databases {
		for _, boundMS := range stalenessBoundsMS {
			bindings = append(bindings, model.Binding{
				Name: bindingName(database, boundMS), Database: database, Freshness: time.Duration(boundMS) * time.Millisecond,
			})
		}
	}
	return bindings
}

// bindingsContent formats bindings as text, for the comparison of sets.
func bindingsContent(bindings []model.Binding) string {
	content := ""
	for _, binding := range bindings {
		content += fmt.Sprintf("%s=%s/%d ", binding.Name, binding.Database, binding.Freshness.Milliseconds())
	}
	return content
}

// setSubmission is a binding set that an operator submits. A set that is not
// scheduled must follow the set with the expected sequence number.
type setSubmission struct {
	id               string
	expectedSequence uint64
	// effectiveAt is the time at which the set takes effect, in Unix
	// nanoseconds. 0 means at once.
	effectiveAt int64
	bindings    []model.Binding
}

func (s setSubmission) scheduled() bool { return s.effectiveAt != 0 }

// submitSet submits a set to the first active control primary, if there is one.
func (f *fleet) submitSet(submission setSubmission) {
	operator := newOperator(f.simulator)
	control := f.activePrimary()
	if control == nil {
		return
	}
	submission.bindings = newBindings(f.databases, submission.id)
	f.recorder.addSubmittedSet(history.SubmittedSet{
		ID: submission.id, Content: bindingsContent(submission.bindings), EffectiveAt: submission.effectiveAt - wallClockEpoch,
		Scheduled: submission.scheduled(), At: int64(f.simulator.now),
	})
	f.simulator.send(operator, &control.machine, func() { f.handleSet(operator, control, submission) })
}

// setOutcome is the outcome of a submitted set at the primary.
type setOutcome struct {
	sequence uint64
	conflict bool
}

func (f *fleet) handleSet(operator *machine, control *controlServer, submission setSubmission) {
	if !control.isPrimary() {
		return
	}
	if f.defects.AlteredBindings {
		submission.bindings = submission.bindings[:len(submission.bindings)-1]
	}
	var outcome setOutcome
	control.submit(func(table *store.Table) []store.Put {
		puts, built := submission.build(table, control.wallNow())
		outcome = built
		return puts
	}, func(result consensus.SubmitResult) {
		f.simulator.send(&control.machine, operator, func() { f.onSetAnswer(submission, outcome, result.Committed) })
	})
}

// build returns the writes of a submission. There are none if the submission was
// already handled, or conflicts with another set.
func (s setSubmission) build(table *store.Table, wallNow int64) ([]store.Put, setOutcome) {
	if past, handled := callresult.Find(table, s.id); handled {
		return nil, setOutcome{sequence: uint64(past.Status)}
	}
	if s.scheduled() {
		puts, err := rollout.Schedule(table, s.id, s.effectiveAt, s.bindings, wallNow)
		if err != nil {
			return nil, setOutcome{conflict: true}
		}
		return callresult.Record(table, s.id, callresult.Result{}, puts), setOutcome{}
	}
	puts, err := rollout.AcceptBindings(table, s.expectedSequence, s.bindings, s.id, wallNow)
	var stale *rollout.SequenceError
	if errors.As(err, &stale) {
		return nil, setOutcome{sequence: stale.Newest, conflict: true}
	}
	sequence := s.expectedSequence + 1
	return callresult.Record(table, s.id, callresult.Result{Status: int(sequence)}, puts), setOutcome{sequence: sequence}
}

func (f *fleet) onSetAnswer(submission setSubmission, outcome setOutcome, committed bool) {
	f.simulator.record("operator: %s on %d committed %v conflict %v sequence %d", submission.id, submission.expectedSequence, committed, outcome.conflict, outcome.sequence)
	f.newestSequence = max(f.newestSequence, outcome.sequence)
	if committed {
		f.acknowledgedSequence = max(f.acknowledgedSequence, outcome.sequence)
	}
	now := int64(f.simulator.now)
	if outcome.conflict || (committed && (submission.scheduled() || outcome.sequence > 0)) {
		f.recorder.addSetAnswer(history.SetAnswer{ID: submission.id, At: now, Sequence: outcome.sequence, Refused: outcome.conflict})
	}
	if committed && !outcome.conflict && !submission.scheduled() && outcome.sequence > 0 {
		f.recorder.addAcceptedSet(history.AcceptedSet{Sequence: outcome.sequence, AcknowledgedAt: now})
	}
}

// submitSetsUntil makes operators submit sets at random times until the given time.
// Some of the sets are competing, repeated or scheduled.
func (f *fleet) submitSetsUntil(until time.Duration) {
	s := f.simulator
	number := 0
	var submit func()
	submit = func() {
		number++
		next := setSubmission{id: "put" + time.Duration(number).String(), expectedSequence: f.newestSequence}
		f.submitSet(next)
		if s.chance(competingProbability) {
			f.submitSet(setSubmission{id: next.id + "-rival", expectedSequence: next.expectedSequence})
		}
		if s.chance(repeatProbability) {
			s.after(s.randomDuration(minRepeatDelay, maxRepeatDelay), func() { f.submitSet(next) })
		}
		if s.chance(scheduledProbability) {
			effectiveAt := wallClockEpoch + int64(s.now+s.randomDuration(minScheduleDelay, maxScheduleDelay))
			f.submitSet(setSubmission{id: next.id + "-booked", effectiveAt: effectiveAt})
		}
		if s.now < until {
			s.after(s.randomDuration(minSubmitInterval, maxSubmitInterval), submit)
		}
	}
	submit()
}

// checkReadsUntil reads the newest set from random control servers until the given
// time, and checks that each answer includes every set that was acknowledged before
// the read was sent.
func (f *fleet) checkReadsUntil(until time.Duration) {
	operator := newOperator(f.simulator)
	var read func()
	read = func() {
		f.checkRead(operator, pickRandom(f.simulator, f.controls))
		if f.simulator.now < until {
			f.simulator.after(f.simulator.randomDuration(minReadInterval, maxReadInterval), read)
		}
	}
	read()
}

func (f *fleet) checkRead(operator *machine, control *controlServer) {
	acknowledged := f.acknowledgedSequence
	f.simulator.send(operator, &control.machine, func() {
		if !control.isPrimary() && !f.defects.ReadWithoutPrimacy {
			return
		}
		newest := control.distributor.Snapshot().NewestSet().Sequence
		f.simulator.send(&control.machine, operator, func() {
			f.answeredReads++
			if newest < acknowledged {
				f.recorder.addViolation("%s answered a read with sequence %d, but %d was acknowledged before", control.name, newest, acknowledged)
			}
		})
	})
}
