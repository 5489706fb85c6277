package history

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/test/standin"
)

// nanos converts milliseconds to nanoseconds.
func nanos(ms int64) int64 { return ms * int64(time.Millisecond) }

// validEvidence returns the evidence of a run that violates no rule.
func validEvidence() Evidence {
	entries := []standin.Entry{
		{Term: 1, Index: 1, RequestIDs: []string{"s.1"}, Statements: []string{`book "s.1" by ann x`}},
		{Term: 1, Index: 2, RequestIDs: []string{"s.2", "s.3"}, Statements: []string{`hold "s.2" by ann x`}},
	}
	return Evidence{
		Logs: map[string]map[string][]standin.Entry{"d": {"a": entries}}, Writers: map[string]string{"d": "a"},
		Events: []standin.Event{
			{Caller: "ann", Database: "d", Kind: "write", RequestID: "s.1", Text: `book "s.1" by ann x`, Outcome: "kept", Position: standin.Position{Term: 1, Index: 1}, SentAt: nanos(0), AnsweredAt: nanos(10), Sequence: 1, Address: "x"},
			{Caller: "ann", Database: "d", Kind: "inside", RequestID: "s.2", Text: `hold "s.2" by ann x`, Outcome: "done", SentAt: nanos(20), AnsweredAt: nanos(30), Sequence: 1},
			{Caller: "ann", Database: "d", Kind: "commit", RequestID: "s.3", RequestIDs: []string{"s.2"}, Outcome: "kept", Position: standin.Position{Term: 1, Index: 2}, SentAt: nanos(40), AnsweredAt: nanos(50), Sequence: 1},
			{Caller: "bob", Database: "d", Kind: "read", Text: `look "d" by bob x`, Outcome: "read", AppliedPosition: standin.Position{Term: 1, Index: 2}, SentAt: nanos(60), AnsweredAt: nanos(70), Sequence: 1, FreshnessMS: 0},
		},
		Executions: []standin.Execution{
			{Instance: "a", Text: `book "s.1" by ann x`, RequestID: "s.1", Write: true, At: nanos(5)},
			{Instance: "a", Text: `hold "s.2" by ann x`, RequestID: "s.2", Transaction: "t1", Write: true, At: nanos(25)},
			{Instance: "a", Text: `look "d" by bob x`, At: nanos(65)},
		},
	}
}

// violationByRule holds, for each rule, a function that changes valid evidence so
// that it violates the rule.
var violationByRule = map[string]func(*Evidence){
	"effect once per go": func(e *Evidence) {
		e.Logs["d"]["a"] = append(e.Logs["d"]["a"], standin.Entry{Term: 1, Index: 3, RequestIDs: []string{"s.1"}})
	},
	"told not kept, yet kept": func(e *Evidence) {
		e.Events[0].Outcome = "not_kept"
	},
	"confirmed commit lost": func(e *Evidence) {
		e.Logs["d"]["a"] = e.Logs["d"]["a"][:1]
	},
	"read misses a confirmed commit": func(e *Evidence) {
		e.Events[3].AppliedPosition = standin.Position{Term: 1, Index: 1}
	},
	"statement in another's transaction or settings": func(e *Evidence) {
		e.Executions = append(e.Executions, standin.Execution{Text: `look "d" by bob x`, Transaction: "t1"})
		e.Events = append(e.Events, e.Events[3])
	},
	"statement that no caller sent, or with its text changed": func(e *Evidence) {
		e.Executions[0].Text += " "
	},
	"old primary confirms after a promotion": func(e *Evidence) {
		e.Executions = append(e.Executions, standin.Execution{Instance: "b", Database: "d", Action: "promote", Term: 2, At: nanos(4)})
	},
	"binding change ignored or undone": func(e *Evidence) {
		e.Events[0].Sequence = 2
		e.Events = append(e.Events, standin.Event{Caller: "bob", Kind: "read", Outcome: "read", SentAt: nanos(300), AnsweredAt: nanos(310), Sequence: 1})
	},
	"broken set taken, or a taken one lost": func(e *Evidence) {
		e.SubmittedSets = []SubmittedSet{{ID: "one", Content: "a"}}
		e.ServedSets = []ServedSet{{Node: "d1", Sequence: 1, Content: "b"}}
	},
	"work reaches a leaving instance": func(e *Evidence) {
		e.Executions[2].LeavingSince, e.Executions[2].At = nanos(1), nanos(7002)
	},
	"planned restart cuts a request off": func(e *Evidence) {
		e.Restarts = []Restart{{Address: "x", From: nanos(0), Until: nanos(100)}}
		e.Events = append(e.Events, standin.Event{Address: "x", Kind: "read", Text: `look "d" by bob x`, Outcome: "cut", SentAt: nanos(62), AnsweredAt: nanos(80)})
	},
	"service stays down after a closing fault": func(e *Evidence) {
		for ms := range int64(100) {
			e.Events = append(e.Events, standin.Event{Database: "d", Kind: "read", Outcome: "read", AppliedPosition: standin.Position{Term: 9}, SentAt: nanos(10 * ms), AnsweredAt: nanos(10*ms + 5)})
		}
		e.ClosedFaults = []ClosedFault{{Name: "rush", BeforeFrom: nanos(0), BeforeUntil: nanos(1000), At: nanos(2000)}}
	},
	"a calm fleet refuses, or does not know": func(e *Evidence) {
		e.QuietSpans = []Span{{From: nanos(0), Until: nanos(200)}}
		e.Events = append(e.Events, standin.Event{Database: "d", Kind: "write", Outcome: "unknown", SentAt: nanos(80), AnsweredAt: nanos(90)})
	},
}

func TestCheckersCatchPlantedViolations(t *testing.T) {
	Convey("A valid history violates no rule", t, func() {
		So(Violations(validEvidence()), ShouldBeEmpty)
	})
	Convey("Each rule has a planted violation and detects it", t, func() {
		for _, rule := range Rules() {
			evidence := validEvidence()
			violate, found := violationByRule[rule.Name]
			So(found, ShouldBeTrue)
			violate(&evidence)
			So(Violations(evidence), ShouldContainKey, rule.Name)
		}
	})
}

func TestFailedRecoveries(t *testing.T) {
	Convey("A failed recovery is detected if service returns for one class of work only, or drops again later", t, func() {
		history := func(kinds ...string) Evidence {
			e := Evidence{ClosedFaults: []ClosedFault{{Name: "zone", BeforeFrom: nanos(0), BeforeUntil: nanos(3000), At: nanos(6000)}}}
			for _, kind := range kinds {
				for ms := int64(0); ms < 25000; ms += 20 {
					e.Events = append(e.Events, standin.Event{Database: "d", Kind: kind, Outcome: "done", SentAt: nanos(ms), AnsweredAt: nanos(ms)})
				}
			}
			return e
		}
		So(FailedRecoveries(history("read", "write")), ShouldBeEmpty)
		for _, isRemoved := range []func(standin.Event) bool{
			func(event standin.Event) bool { return event.Kind == "write" && event.SentAt > nanos(6000) },
			func(event standin.Event) bool { return event.SentAt > nanos(21000) && event.SentAt < nanos(24000) },
		} {
			e := history("read", "write")
			e.Events = slices.DeleteFunc(e.Events, isRemoved)
			So(FailedRecoveries(e), ShouldNotBeEmpty)
		}
	})
}

func TestCutRequests(t *testing.T) {
	Convey("A request that was cut off counts as cut by the restart only if an instance ran it", t, func() {
		evidence := validEvidence()
		evidence.Restarts = []Restart{{Address: "x", From: nanos(0), Until: nanos(100)}}
		evidence.Events = append(evidence.Events, standin.Event{Address: "x", Kind: "set", Outcome: "cut", SentAt: nanos(5), AnsweredAt: nanos(6)})
		So(CutRequests(evidence), ShouldBeEmpty)
		evidence.Events = append(evidence.Events, standin.Event{Address: "x", Database: "d", Kind: "commit", RequestID: "s.3", Outcome: "cut", SentAt: nanos(40), AnsweredAt: nanos(50)})
		evidence.Executions = append(evidence.Executions, standin.Execution{Action: "commit", RequestID: "s.3", At: nanos(45)})
		So(CutRequests(evidence), ShouldNotBeEmpty)
	})
}

func TestInconsistentSets(t *testing.T) {
	Convey("A binding set that is lost, duplicated, altered, refused but served, or applied out of order is detected", t, func() {
		scheduledSet := func(id, content string, due int64) SubmittedSet {
			return SubmittedSet{ID: id, Content: content, Scheduled: true, EffectiveAt: nanos(due)}
		}
		valid := Evidence{
			SubmittedSets: []SubmittedSet{{ID: "one", Content: "a"}, {ID: "bad", Content: "x"}, scheduledSet("two", "b", 2000), scheduledSet("three", "c", 1000)},
			SetAnswers:    []SetAnswer{{ID: "one", Sequence: 1, At: nanos(1)}, {ID: "bad", Refused: true}, {ID: "two", At: nanos(2)}, {ID: "three", At: nanos(3)}},
			ServedSets:    []ServedSet{{Node: "d1", Sequence: 1, Content: "a"}, {Node: "d1", Sequence: 2, Content: "c"}, {Node: "d2", Sequence: 3, Content: "b"}},
			End:           nanos(9000),
		}
		So(InconsistentSets(valid), ShouldBeEmpty)
		for _, corrupt := range []func(*Evidence){
			func(e *Evidence) { e.ServedSets = e.ServedSets[1:2]; e.SetAnswers[0].Sequence = 5 },
			func(e *Evidence) { e.ServedSets[0].Sequence = 7 },
			func(e *Evidence) {
				e.ServedSets = append(e.ServedSets, ServedSet{Node: "d2", Sequence: 9, Content: "b"})
			},
			func(e *Evidence) {
				e.ServedSets = append(e.ServedSets, ServedSet{Node: "d2", Sequence: 1, Content: "c"})
			},
			func(e *Evidence) {
				e.ServedSets = append(e.ServedSets, ServedSet{Node: "d2", Sequence: 4, Content: "x"})
			},
			func(e *Evidence) { e.ServedSets = e.ServedSets[:2] },
			func(e *Evidence) { e.ServedSets[1].Content, e.ServedSets[2].Content = "b", "c" },
		} {
			corrupted := valid
			corrupted.SetAnswers, corrupted.ServedSets = slices.Clone(valid.SetAnswers), slices.Clone(valid.ServedSets)
			corrupt(&corrupted)
			So(InconsistentSets(corrupted), ShouldNotBeEmpty)
		}
	})
}

func TestIgnoredChanges(t *testing.T) {
	Convey("A request served under an older set more than 3 s after a newer one was accepted is detected, and so is a scheduled set that takes effect early", t, func() {
		evidence := validEvidence()
		evidence.AcceptedSets = []AcceptedSet{{Sequence: 2, AcknowledgedAt: nanos(0)}}
		evidence.Events = append(evidence.Events, standin.Event{Kind: "read", SentAt: nanos(3100), AnsweredAt: nanos(3110), Sequence: 1})
		So(IgnoredChanges(evidence), ShouldNotBeEmpty)
		early := validEvidence()
		early.AcceptedSets = []AcceptedSet{{Sequence: 1, AcknowledgedAt: 0, EffectiveAt: nanos(500)}}
		So(IgnoredChanges(early), ShouldNotBeEmpty)
	})
}
