package syncrepl

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

const wallTime = int64(1000 * time.Hour)

func positionAt(term, index uint64) model.Position { return model.Position{Term: term, Index: index} }

func newObservation(name, role string) Observation {
	return Observation{
		Instance:   model.Instance{Name: name, Database: "db", Address: name + ":1", Role: role, SyncReplication: true},
		ContactAge: 200 * time.Millisecond, AnswerAge: 50 * time.Millisecond, ReportingNodes: 4,
	}
}

func answeredProbe(role string, term, index uint64) ProbeResult {
	return ProbeResult{Answered: true, Role: role, Term: term, Position: positionAt(term, index), AfterSettled: true, Age: 50 * time.Millisecond, GapSequence: 1, Tenure: "c1@1"}
}

func failedProbe() ProbeResult { return ProbeResult{AfterSettled: true, Age: 50 * time.Millisecond} }

func openTerm() Evidence {
	return Evidence{
		Database: "db", Self: "c1", Known: true, Settled: true, SettledFor: time.Minute, GatheredFor: time.Minute, WallNanos: wallTime,
		GapSequence: 1, CoveredSequence: 1, Tenure: "c1@1", CommitBound: positionAt(3, 95),
		Writer: model.WriterRole{
			Database: "db", Term: 3, Primary: "a", Phase: model.PhaseOpen, SyncReplication: true, LastTransitionAt: wallTime - int64(time.Minute),
			RequiredReplicas: map[string]string{"b": "", "c": ""}, HighWatermark: positionAt(3, 95), Promoter: "c1", FencingToken: 4,
		},
		Observations: []Observation{newObservation("a", model.RolePrimary), newObservation("b", model.RoleReplica), newObservation("c", model.RoleReplica)},
		Probes:       map[string]ProbeResult{},
	}
}

func closingTerm(probe map[string]ProbeResult) Evidence {
	evidence := openTerm()
	evidence.Writer.Phase, evidence.Writer.LastTransitionAt, evidence.SettledFor, evidence.Probes = model.PhaseClosing, wallTime-int64(time.Second), 100*time.Millisecond, probe
	return evidence
}

func promotingTerm(probe map[string]ProbeResult, since time.Duration) Evidence {
	evidence := closingTerm(probe)
	evidence.Writer.Phase, evidence.Writer.Promoting, evidence.Writer.PromoteCalls, evidence.Writer.MinPosition = model.PhasePromoting, "b", 1, positionAt(3, 99)
	evidence.Writer.LastTransitionAt = wallTime - int64(since)
	return evidence
}

func recordedWriter(evidence Evidence) (model.WriterRole, bool) {
	for _, effect := range Step(evidence, DefaultTiming()) {
		if record, ok := effect.(failover.Record); ok {
			return record.Writer, true
		}
	}
	return model.WriterRole{}, false
}

func effectsOf[T any](evidence Evidence) []T {
	var found []T
	for _, effect := range Step(evidence, DefaultTiming()) {
		if match, ok := effect.(T); ok {
			found = append(found, match)
		}
	}
	return found
}

func intendedPrimary(evidence Evidence) string {
	writer, _ := recordedWriter(evidence)
	if writer.Phase != model.PhasePromoting {
		return ""
	}
	return writer.Promoting
}

func TestDiscovery(t *testing.T) {
	fresh := func() Evidence {
		evidence := openTerm()
		evidence.Known, evidence.Writer = false, model.WriterRole{}
		return evidence
	}
	Convey("A database that is met has its one primary asked, and is opened in the term that this tells", t, func() {
		evidence := fresh()
		So(effectsOf[QueryStatus](evidence), ShouldResemble, []QueryStatus{{Instance: "a", Address: "a:1"}})
		_, recorded := recordedWriter(evidence)
		So(recorded, ShouldBeFalse)
		evidence.Probes["a"] = answeredProbe(model.RolePrimary, 3, 90)
		writer, _ := recordedWriter(evidence)
		So(writer.Term, ShouldEqual, 3)
		So(writer.Primary, ShouldEqual, "a")
		So(writer.SyncReplication, ShouldBeTrue)
		So(writer.Phase, ShouldEqual, model.PhaseOpen)
		So(writer.RequiredReplicas, ShouldResemble, map[string]string{"b": "", "c": ""})
	})
	Convey("Of two that say primary, both are asked and the higher term counts", t, func() {
		evidence := fresh()
		evidence.Observations[1].Instance.Role = model.RolePrimary
		So(len(effectsOf[QueryStatus](evidence)), ShouldEqual, 2)
		evidence.Probes["a"] = answeredProbe(model.RolePrimary, 3, 90)
		_, recorded := recordedWriter(evidence)
		So(recorded, ShouldBeFalse)
		evidence.Probes["b"] = answeredProbe(model.RolePrimary, 4, 90)
		writer, _ := recordedWriter(evidence)
		So(writer.Primary, ShouldEqual, "b")
		So(writer.Term, ShouldEqual, 4)
	})
}

func TestSuspicion(t *testing.T) {
	phaseOf := func(evidence Evidence) string {
		writer, _ := recordedWriter(evidence)
		return writer.Phase
	}
	Convey("While all is well, nothing is done", t, func() { So(Step(openTerm(), DefaultTiming()), ShouldBeEmpty) })
	Convey("A primary that leaves or is gone has its term closed", t, func() {
		for _, change := range []func(*model.Instance){func(i *model.Instance) { i.Leaving = true }, func(i *model.Instance) { i.Stopped = true }} {
			evidence := openTerm()
			change(&evidence.Observations[0].Instance)
			So(phaseOf(evidence), ShouldEqual, model.PhaseClosing)
		}
	})
	Convey("Not while no other instance that stays can be heard", t, func() {
		evidence := openTerm()
		evidence.Observations[0].Instance.Leaving = true
		evidence.Observations[1].Instance.Leaving, evidence.Observations[2].ContactAge = true, 4*time.Second
		writer, _ := recordedWriter(evidence)
		So(writer.Phase, ShouldEqual, model.PhaseOpen)
		So(writer.Reason, ShouldContainSubstring, "no other instance")
	})
	Convey("One that refuses most nodes and answered none of them is; few refusals, a late answer, new reports or a new term are not enough", t, func() {
		refusing := func() Evidence {
			evidence := openTerm()
			evidence.Observations[0].RefusedNodes, evidence.Observations[0].AnswerAge = 3, 400*time.Millisecond
			return evidence
		}
		So(phaseOf(refusing()), ShouldEqual, model.PhaseClosing)
		for _, change := range []func(*Evidence){
			func(evidence *Evidence) { evidence.Observations[0].RefusedNodes = 2 },
			func(evidence *Evidence) { evidence.Observations[0].AnswerAge = 200 * time.Millisecond },
			func(evidence *Evidence) { evidence.GatheredFor = 600 * time.Millisecond },
			func(evidence *Evidence) { evidence.Writer.LastTransitionAt = wallTime - int64(500*time.Millisecond) },
		} {
			evidence := refusing()
			change(&evidence)
			So(phaseOf(evidence), ShouldEqual, "")
		}
	})
	Convey("One that owes most nodes their answers is, unless any had one in the last 600 ms", t, func() {
		evidence := openTerm()
		evidence.Observations[0].OverdueNodes, evidence.Observations[0].AnswerAge = 3, 620*time.Millisecond
		So(phaseOf(evidence), ShouldEqual, model.PhaseClosing)
		evidence.Observations[0].AnswerAge = 580 * time.Millisecond
		So(phaseOf(evidence), ShouldEqual, "")
		evidence.Observations[0].AnswerAge, evidence.Observations[0].OverdueNodes = 620*time.Millisecond, 2
		So(phaseOf(evidence), ShouldEqual, "")
	})
	Convey("One of which nothing is heard is asked, and suspected only once that fails", t, func() {
		quiet := func() Evidence {
			evidence := openTerm()
			evidence.Observations[0].ReportingNodes, evidence.Observations[0].UnobservedFor, evidence.Observations[0].ContactAge, evidence.Observations[0].AnswerAge = 0, 3*time.Second, 3*time.Second, time.Hour
			return evidence
		}
		So(effectsOf[QueryStatus](quiet()), ShouldResemble, []QueryStatus{{Instance: "a", Address: "a:1"}})
		So(phaseOf(quiet()), ShouldEqual, "")
		evidence := quiet()
		evidence.Probes["a"] = failedProbe()
		So(phaseOf(evidence), ShouldEqual, model.PhaseClosing)
		evidence.Probes["a"] = ProbeResult{Busy: true, Age: 50 * time.Millisecond}
		So(phaseOf(evidence), ShouldEqual, "")
		evidence.Probes["a"] = answeredProbe(model.RolePrimary, 3, 99)
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
		for _, change := range []func(*Observation){
			func(s *Observation) { s.ContactAge = 2 * time.Second }, func(s *Observation) { s.ReportingNodes = 1 }, func(s *Observation) { s.UnobservedFor = time.Second },
		} {
			evidence = quiet()
			evidence.Probes["a"] = failedProbe()
			change(&evidence.Observations[0])
			So(phaseOf(evidence), ShouldEqual, "")
		}
	})
	Convey("One that itself says just now that it is a replica is, though no other leads yet", t, func() {
		evidence := openTerm()
		evidence.Observations[0].Instance.Role = model.RoleReplica
		So(effectsOf[QueryStatus](evidence), ShouldResemble, []QueryStatus{{Instance: "a", Address: "a:1"}})
		So(phaseOf(evidence), ShouldEqual, "")
		evidence.Probes["a"] = answeredProbe(model.RoleReplica, 3, 99)
		So(phaseOf(evidence), ShouldEqual, model.PhaseClosing)
	})
	Convey("One that turned replica under another of a later term has its term closed; the other is asked first", t, func() {
		evidence := openTerm()
		evidence.Observations[0].Instance.Role, evidence.Observations[1].Instance.Role = model.RoleReplica, model.RolePrimary
		So(effectsOf[QueryStatus](evidence), ShouldContain, QueryStatus{Instance: "b", Address: "b:1"})
		So(phaseOf(evidence), ShouldEqual, "")
		evidence.Probes["b"] = answeredProbe(model.RolePrimary, 4, 99)
		So(phaseOf(evidence), ShouldEqual, model.PhaseClosing)
	})
}

func TestOpenTerm(t *testing.T) {
	Convey("Another that still says primary of an earlier term is ordered down, at a pace, and one that was asked just now is believed over its announcement", t, func() {
		evidence := openTerm()
		evidence.Observations[1].Instance.Role = model.RolePrimary
		So(effectsOf[QueryStatus](evidence), ShouldResemble, []QueryStatus{{Instance: "b", Address: "b:1"}})
		probe := answeredProbe(model.RolePrimary, 2, 80)
		probe.Age = 600 * time.Millisecond
		evidence.Probes["b"] = probe
		So(effectsOf[StepDown](evidence), ShouldResemble, []StepDown{{Instance: "b", Address: "b:1", Term: 3}})
		probe.Age = 100 * time.Millisecond
		evidence.Probes["b"] = probe
		So(effectsOf[StepDown](evidence), ShouldBeEmpty)
		evidence.Probes["b"] = answeredProbe(model.RoleReplica, 3, 80)
		So(effectsOf[StepDown](evidence), ShouldBeEmpty)
		evidence.Probes, evidence.Observations[1].ContactAge = map[string]ProbeResult{}, 4*time.Second
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
	})
	Convey("After an event the primary is asked, and its answer covers the event only where it was asked after it and in this tenure", t, func() {
		evidence := openTerm()
		evidence.GapSequence, evidence.Probes["a"] = 2, answeredProbe(model.RolePrimary, 3, 99)
		So(effectsOf[ReportBound](evidence), ShouldBeEmpty)
		old := evidence.Probes["a"]
		old.Age = 2 * time.Second
		evidence.Probes["a"] = old
		So(effectsOf[QueryStatus](evidence), ShouldResemble, []QueryStatus{{Instance: "a", Address: "a:1"}})
		probe := answeredProbe(model.RolePrimary, 3, 99)
		probe.GapSequence = 2
		evidence.Probes["a"] = probe
		So(effectsOf[ReportBound](evidence), ShouldResemble, []ReportBound{{Database: "db", Tenure: "c1@1", GapSequence: 2, Position: positionAt(3, 99)}})
		probe.Tenure = "c2@1"
		evidence.Probes["a"] = probe
		So(effectsOf[ReportBound](evidence), ShouldBeEmpty)
	})
	Convey("Replicas that appear are recorded; one not heard of is forgotten only after a minute, and not while something is not covered", t, func() {
		evidence := openTerm()
		evidence.GatheredFor = time.Hour
		evidence.Observations = append(evidence.Observations, newObservation("d", model.RoleReplica))
		writer, _ := recordedWriter(evidence)
		So(writer.RequiredReplicas, ShouldContainKey, "d")
		evidence = openTerm()
		evidence.GatheredFor, evidence.Observations[2].ContactAge = time.Hour, 30*time.Second
		_, recorded := recordedWriter(evidence)
		So(recorded, ShouldBeFalse)
		evidence.Observations[2].ContactAge = 2 * time.Minute
		writer, _ = recordedWriter(evidence)
		So(writer.RequiredReplicas, ShouldResemble, map[string]string{"b": ""})
		evidence.GapSequence = 2
		_, recorded = recordedWriter(evidence)
		So(recorded, ShouldBeFalse)
	})
}

func TestCandidateSelection(t *testing.T) {
	all := func() map[string]ProbeResult {
		return map[string]ProbeResult{"a": failedProbe(), "b": answeredProbe(model.RoleReplica, 3, 99), "c": answeredProbe(model.RoleReplica, 3, 97)}
	}
	Convey("Nothing is asked or chosen before every node that may hold a lease has dropped the primary", t, func() {
		evidence := closingTerm(all())
		evidence.Settled = false
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
	})
	Convey("All replicas and the old primary are asked at once; answers from before the settling count for nothing", t, func() {
		So(len(effectsOf[QueryStatus](closingTerm(map[string]ProbeResult{}))), ShouldEqual, 3)
		evidence := closingTerm(all())
		for name, probe := range evidence.Probes {
			probe.AfterSettled = false
			evidence.Probes[name] = probe
		}
		So(len(effectsOf[QueryStatus](evidence)), ShouldEqual, 3)
		So(intendedPrimary(evidence), ShouldEqual, "")
		evidence.SettledFor = time.Hour
		So(intendedPrimary(evidence), ShouldEqual, "")
	})
	Convey("Nothing is chosen before the old primary was asked, unless it leaves or does not answer for long", t, func() {
		evidence := closingTerm(all())
		delete(evidence.Probes, "a")
		evidence.SettledFor = DefaultTiming().OldPrimaryWait - 10*time.Millisecond
		So(intendedPrimary(evidence), ShouldEqual, "")
		evidence.SettledFor = DefaultTiming().OldPrimaryWait + 10*time.Millisecond
		So(intendedPrimary(evidence), ShouldEqual, "b")
		evidence.SettledFor, evidence.Observations[0].Instance.Leaving = 0, true
		So(intendedPrimary(evidence), ShouldEqual, "b")
	})
	Convey("All heard: the furthest, even where the reports are not whole, with a fence of the intent's own, so that a late call of an earlier one is refused", t, func() {
		evidence := closingTerm(all())
		evidence.GapSequence = 9
		So(intendedPrimary(evidence), ShouldEqual, "b")
		writer, _ := recordedWriter(evidence)
		So(writer.MinPosition, ShouldResemble, positionAt(3, 99))
		So(writer.PromoteCalls, ShouldEqual, 1)
		So(effectsOf[Promote](evidence), ShouldResemble, []Promote{{Database: "db", Instance: "b", LeaseHolder: "c1", FencingToken: 5}})
		So(writer.FencingToken, ShouldEqual, 5)
		evidence.Self = "c2"
		So(effectsOf[Promote](evidence), ShouldResemble, []Promote{{Database: "db", Instance: "b", LeaseHolder: "c2", FencingToken: 5}})
		evidence.Writer.Promoter, evidence.Writer.FencingToken = "", 0
		So(effectsOf[Promote](evidence)[0].FencingToken, ShouldEqual, 1)
	})
	Convey("Terms count before numbers", t, func() {
		evidence := closingTerm(all())
		evidence.Probes["c"] = answeredProbe(model.RoleReplica, 3, 99)
		probe := answeredProbe(model.RoleReplica, 3, 0)
		probe.Position = positionAt(2, 500)
		evidence.Probes["b"] = probe
		So(intendedPrimary(evidence), ShouldEqual, "c")
	})
	Convey("Some not heard: waited for, then one that is at or past all acknowledged is chosen where the reports are whole", t, func() {
		some := func() Evidence {
			evidence := closingTerm(all())
			evidence.Probes["c"] = failedProbe()
			return evidence
		}
		So(intendedPrimary(some()), ShouldEqual, "")
		evidence := some()
		evidence.SettledFor = 2 * time.Second
		So(intendedPrimary(evidence), ShouldEqual, "b")
		evidence.GapSequence = 2
		So(intendedPrimary(evidence), ShouldEqual, "")
		evidence.CoveredSequence, evidence.CommitBound = 2, positionAt(3, 100)
		So(intendedPrimary(evidence), ShouldEqual, "")
		evidence.CommitBound = positionAt(3, 99)
		So(intendedPrimary(evidence), ShouldEqual, "b")
		evidence.Writer.HighWatermark = positionAt(3, 100)
		So(intendedPrimary(evidence), ShouldEqual, "")
		writer, _ := recordedWriter(evidence)
		So(writer.Reason, ShouldContainSubstring, "nothing is promoted")
	})
	Convey("A replica that is on record and was not heard of by this control primary counts as not heard", t, func() {
		evidence := closingTerm(all())
		evidence.Observations = evidence.Observations[:2]
		evidence.GapSequence = 2
		So(intendedPrimary(evidence), ShouldEqual, "")
		evidence.CoveredSequence = 2
		So(intendedPrimary(evidence), ShouldEqual, "b")
	})
	Convey("A replica that has gone may have been the only one to receive a commit", t, func() {
		evidence := closingTerm(all())
		evidence.Observations[2].Instance.Stopped, evidence.GapSequence = true, 2
		So(intendedPrimary(evidence), ShouldEqual, "")
	})
	Convey("All heard but none at what was acknowledged: none", t, func() {
		evidence := closingTerm(all())
		evidence.Writer.HighWatermark, evidence.CommitBound = positionAt(3, 120), positionAt(3, 120)
		So(intendedPrimary(evidence), ShouldEqual, "")
	})
	Convey("One that stays goes before one that leaves, but not where it lacks what the other has", t, func() {
		evidence := closingTerm(all())
		evidence.Observations[1].Instance.Leaving = true
		So(intendedPrimary(evidence), ShouldEqual, "c")
		evidence.CommitBound = positionAt(3, 98)
		So(intendedPrimary(evidence), ShouldEqual, "")
		evidence.SettledFor = 2 * time.Second
		So(intendedPrimary(evidence), ShouldEqual, "b")
	})
	Convey("A primary that is back is opened again, unless it leaves or lost the role", t, func() {
		evidence := closingTerm(all())
		evidence.Probes["a"] = answeredProbe(model.RolePrimary, 3, 99)
		writer, _ := recordedWriter(evidence)
		So(writer.Phase, ShouldEqual, model.PhaseOpen)
		So(writer.Primary, ShouldEqual, "a")
		So(writer.Term, ShouldEqual, 3)
		evidence.Observations[0].Instance.Leaving = true
		So(intendedPrimary(evidence), ShouldEqual, "b")
		evidence.Observations[0].Instance.Leaving = false
		evidence.Probes["a"] = answeredProbe(model.RoleReplica, 3, 104)
		So(intendedPrimary(evidence), ShouldEqual, "a")
	})
	Convey("Another that already leads a later term is opened, with no call", t, func() {
		evidence := closingTerm(all())
		evidence.Probes["c"] = answeredProbe(model.RolePrimary, 5, 99)
		writer, _ := recordedWriter(evidence)
		So(writer.Phase, ShouldEqual, model.PhaseOpen)
		So(writer.Primary, ShouldEqual, "c")
		So(writer.Term, ShouldEqual, 5)
		So(effectsOf[Promote](evidence), ShouldBeEmpty)
		before := answeredProbe(model.RolePrimary, 5, 99)
		before.AfterSettled = false
		evidence.Probes["c"] = before
		_, recorded := recordedWriter(evidence)
		So(recorded, ShouldBeFalse)
		So(effectsOf[QueryStatus](evidence), ShouldContain, QueryStatus{Instance: "c", Address: "c:1"})
	})
}

func TestOutcome(t *testing.T) {
	replica := func() map[string]ProbeResult {
		return map[string]ProbeResult{"b": answeredProbe(model.RoleReplica, 3, 99)}
	}
	down := func() map[string]ProbeResult { return map[string]ProbeResult{"b": failedProbe()} }
	Convey("The outcome is learned from the instance, which is asked often", t, func() {
		evidence := promotingTerm(replica(), 300*time.Millisecond)
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
		probe := evidence.Probes["b"]
		probe.Age = 200 * time.Millisecond
		evidence.Probes["b"] = probe
		So(effectsOf[QueryStatus](evidence), ShouldResemble, []QueryStatus{{Instance: "b", Address: "b:1"}})
		evidence.Probes["b"] = answeredProbe(model.RolePrimary, 3, 99)
		_, recorded := recordedWriter(evidence)
		So(recorded, ShouldBeFalse)
		evidence.Probes["b"] = answeredProbe(model.RolePrimary, 4, 100)
		writer, _ := recordedWriter(evidence)
		So(writer.Phase, ShouldEqual, model.PhaseOpen)
		So(writer.Term, ShouldEqual, 4)
		So(writer.Primary, ShouldEqual, "b")
		So(writer.PreviousTerm, ShouldEqual, 3)
		So(writer.TermStart, ShouldResemble, positionAt(4, 100))
		So(writer.HighWatermark, ShouldResemble, positionAt(3, 99))
		So(writer.MinPosition, ShouldResemble, model.Position{})
		So(writer.FencingToken, ShouldEqual, 4)
		So(writer.Promoter, ShouldEqual, "c1")
	})
	Convey("The call is made again for the same instance only, while it is a replica, and after a while", t, func() {
		So(effectsOf[Promote](promotingTerm(replica(), time.Second)), ShouldBeEmpty)
		evidence := promotingTerm(replica(), 2*time.Second)
		So(effectsOf[Promote](evidence), ShouldResemble, []Promote{{Database: "db", Instance: "b", LeaseHolder: "c1", FencingToken: 4}})
		writer, _ := recordedWriter(evidence)
		So(writer.PromoteCalls, ShouldEqual, 2)
		evidence.Self = "c2"
		So(effectsOf[Promote](evidence)[0].FencingToken, ShouldEqual, 5)
		evidence.Probes = map[string]ProbeResult{}
		So(effectsOf[Promote](evidence), ShouldBeEmpty)
	})
	Convey("A call refused for its rate is made again soon", t, func() {
		evidence := promotingTerm(replica(), 400*time.Millisecond)
		evidence.PromoteCalls = []PromoteCall{{Instance: "b", Status: 429}}
		So(len(effectsOf[Promote](evidence)), ShouldEqual, 1)
		evidence.Writer.LastTransitionAt = wallTime - int64(200*time.Millisecond)
		So(effectsOf[Promote](evidence), ShouldBeEmpty)
	})
	Convey("The intent is given up only when every call was refused and the instance is seen not to run, or it is gone", t, func() {
		evidence := promotingTerm(down(), 400*time.Millisecond)
		evidence.PromoteCalls = []PromoteCall{{Instance: "b", Status: 409}}
		writer, _ := recordedWriter(evidence)
		So(writer.Phase, ShouldEqual, model.PhaseClosing)
		So(writer.Promoting, ShouldEqual, "")
		So(writer.MinPosition, ShouldResemble, model.Position{})
		evidence.Writer.PromoteCalls = 2
		_, recorded := recordedWriter(evidence)
		So(recorded, ShouldBeFalse)
		for _, status := range []int{0, 500, 200} {
			evidence.PromoteCalls = []PromoteCall{{Instance: "b", Status: 409}, {Instance: "b", Status: status}}
			_, recorded = recordedWriter(evidence)
			So(recorded, ShouldBeFalse)
		}
		evidence = promotingTerm(replica(), 400*time.Millisecond)
		evidence.PromoteCalls = []PromoteCall{{Instance: "b", Status: 409}}
		_, recorded = recordedWriter(evidence)
		So(recorded, ShouldBeFalse)
		evidence = promotingTerm(map[string]ProbeResult{"b": {Gone: true, Age: 50 * time.Millisecond}}, 400*time.Millisecond)
		writer, _ = recordedWriter(evidence)
		So(writer.Phase, ShouldEqual, model.PhaseClosing)
	})
	Convey("A second instance is never called while the outcome at the first is unknown, however long that lasts", t, func() {
		for _, probe := range []map[string]ProbeResult{down(), replica(), {}} {
			for _, since := range []time.Duration{time.Second, 5 * time.Second, time.Hour} {
				evidence := promotingTerm(probe, since)
				evidence.PromoteCalls = []PromoteCall{{Instance: "b"}}
				evidence.SettledFor = time.Hour
				writer, recorded := recordedWriter(evidence)
				So(recorded && writer.Promoting != "b", ShouldBeFalse)
				for _, call := range effectsOf[Promote](evidence) {
					So(call.Instance, ShouldEqual, "b")
				}
			}
		}
	})
}

func TestUnknownOutcomeAtOneThatNeverReturns(t *testing.T) {
	down := func(calls ...PromoteCall) Evidence {
		evidence := promotingTerm(map[string]ProbeResult{"b": failedProbe()}, time.Second)
		evidence.PromoteCalls, evidence.Writer.PromoteCalls = calls, len(calls)
		return evidence
	}
	abandoned := func(evidence Evidence) bool {
		writer, recorded := recordedWriter(evidence)
		return recorded && writer.Phase == model.PhaseClosing && writer.Promoting == ""
	}
	fenced := func(calls ...PromoteCall) Evidence {
		evidence := down(calls...)
		evidence.FencingEnforced, evidence.Writer.FencingToken = true, calls[len(calls)-1].FencingToken
		return evidence
	}
	lost := func(fence uint64) PromoteCall {
		return PromoteCall{Instance: "b", Age: 3 * time.Second, FencingToken: fence}
	}
	answered := func(fence uint64, status int) PromoteCall {
		return PromoteCall{Instance: "b", Age: 200 * time.Millisecond, FencingToken: fence, Status: status}
	}
	Convey("A call that never left this machine counts as refused", t, func() {
		So(abandoned(down(PromoteCall{Instance: "b", Unsent: true}, answered(4, 409))), ShouldBeTrue)
		So(abandoned(down(PromoteCall{Instance: "b", Unsent: true})), ShouldBeTrue)
		So(abandoned(down(PromoteCall{Instance: "b"}, answered(4, 409))), ShouldBeFalse)
	})
	Convey("Where the platform checks fences, a refusal of a higher one shows that no earlier call takes effect any more, whoever made it", t, func() {
		So(abandoned(fenced(lost(4), answered(5, 409))), ShouldBeTrue)
		evidence := fenced(lost(4), answered(5, 409))
		evidence.PromoteCalls, evidence.Writer.PromoteCalls = evidence.PromoteCalls[1:], 7
		So(abandoned(evidence), ShouldBeTrue)
		evidence = fenced(lost(4), answered(5, 409))
		evidence.FencingEnforced = false
		So(abandoned(evidence), ShouldBeFalse)
	})
	Convey("Not on a lower or equal fence, another answer, another instance's, nor while it answers", t, func() {
		So(abandoned(fenced(lost(5), answered(5, 409))), ShouldBeFalse)
		So(abandoned(fenced(answered(4, 409), lost(5))), ShouldBeFalse)
		for _, status := range []int{0, 200, 429, 500} {
			So(abandoned(fenced(lost(4), answered(5, status))), ShouldBeFalse)
		}
		evidence := fenced(lost(4), answered(5, 409))
		evidence.PromoteCalls[1].Instance = "c"
		So(abandoned(evidence), ShouldBeFalse)
		evidence = fenced(lost(4), answered(5, 409))
		evidence.Writer.FencingToken = 6
		So(abandoned(evidence), ShouldBeFalse)
		evidence = fenced(lost(4), answered(5, 409))
		evidence.Probes["b"] = answeredProbe(model.RoleReplica, 3, 99)
		So(abandoned(evidence), ShouldBeFalse)
		evidence.Probes["b"] = ProbeResult{Busy: true, AfterSettled: true, Age: 50 * time.Millisecond}
		So(abandoned(evidence), ShouldBeFalse)
	})
	Convey("A call that was accepted is over once a much later one was refused: what it would bring about was due long before", t, func() {
		accepted := PromoteCall{Instance: "b", Age: 200*time.Millisecond + DefaultTiming().PromoteRetryInterval, FencingToken: 4, Status: 200}
		So(abandoned(down(accepted, answered(4, 409))), ShouldBeTrue)
		accepted.Age -= time.Millisecond
		So(abandoned(down(accepted, answered(4, 409))), ShouldBeFalse)
	})
	Convey("So that this can be shown, each further call has a higher fence where fences are checked, and else only with another holder", t, func() {
		for _, fenced := range []bool{true, false} {
			evidence := promotingTerm(map[string]ProbeResult{"b": failedProbe()}, 2*time.Second)
			evidence.PromoteCalls, evidence.FencingEnforced = []PromoteCall{lost(4)}, fenced
			call := effectsOf[Promote](evidence)
			So(len(call), ShouldEqual, 1)
			So(call[0].Instance, ShouldEqual, "b")
			So(call[0].FencingToken, ShouldEqual, map[bool]int{true: 5, false: 4}[fenced])
		}
	})
	Convey("A database whose promotion was lost goes on to another replica, in time, while the first never returns", t, func() {
		now, lostFence := time.Duration(0), uint64(4)
		evidence := promotingTerm(map[string]ProbeResult{"b": failedProbe(), "c": answeredProbe(model.RoleReplica, 3, 99)}, time.Millisecond)
		evidence.FencingEnforced, evidence.PromoteCalls = true, []PromoteCall{{Instance: "b", FencingToken: lostFence}}
		chosen := ""
		for ; now < 10*time.Second && chosen == ""; now += 50 * time.Millisecond {
			evidence.WallNanos = wallTime + int64(now)
			evidence.SettledFor = now
			for _, effect := range Step(evidence, DefaultTiming()) {
				if record, ok := effect.(failover.Record); ok {
					if record.Writer.Phase != model.PhasePromoting {
						evidence.PromoteCalls = nil
					}
					evidence.Writer = record.Writer
				}
				if call, ok := effect.(Promote); ok {
					status := map[bool]int{true: 409, false: 200}[call.Instance == "b"]
					evidence.PromoteCalls = append(evidence.PromoteCalls, PromoteCall{Instance: call.Instance, FencingToken: call.FencingToken, Status: status})
				}
			}
			if evidence.Writer.Phase == model.PhasePromoting && evidence.Writer.Promoting != "b" {
				chosen = evidence.Writer.Promoting
			}
		}
		So(chosen, ShouldEqual, "c")
		So(now, ShouldBeLessThan, 2*DefaultTiming().PromoteRetryInterval+DefaultTiming().ReplicaWait)
	})
}

func TestOldPrimaryBound(t *testing.T) {
	Convey("A leaving primary's own word after the settling bounds what was acknowledged, though a replica be gone and reports not whole", t, func() {
		play := func(a ProbeResult, b ProbeResult) string {
			evidence := closingTerm(map[string]ProbeResult{"a": a, "b": b})
			evidence.Observations[0].Instance.Leaving = true
			evidence.Observations[2].Instance.Stopped = true
			evidence.GapSequence, evidence.SettledFor = 2, 5*time.Second
			return intendedPrimary(evidence)
		}
		So(play(answeredProbe(model.RolePrimary, 3, 97), answeredProbe(model.RoleReplica, 3, 97)), ShouldEqual, "b")
		So(play(answeredProbe(model.RolePrimary, 3, 98), answeredProbe(model.RoleReplica, 3, 97)), ShouldEqual, "")
		So(play(failedProbe(), answeredProbe(model.RoleReplica, 3, 97)), ShouldEqual, "")
		early := answeredProbe(model.RolePrimary, 3, 97)
		early.AfterSettled = false
		So(play(early, answeredProbe(model.RoleReplica, 3, 97)), ShouldEqual, "")
		So(play(answeredProbe(model.RolePrimary, 2, 97), answeredProbe(model.RoleReplica, 3, 97)), ShouldEqual, "")
		So(play(answeredProbe(model.RoleReplica, 3, 97), answeredProbe(model.RoleReplica, 3, 97)), ShouldEqual, "")
	})
}

func TestSuccessor(t *testing.T) {
	Convey("An instance that has a gone primary's log and says that it leads the same term bounds what was acknowledged", t, func() {
		play := func(d ProbeResult) string {
			evidence := closingTerm(map[string]ProbeResult{"b": answeredProbe(model.RoleReplica, 3, 97), "c": answeredProbe(model.RoleReplica, 3, 96), "d": d})
			evidence.Observations[0].Instance.Stopped = true
			evidence.Observations = append(evidence.Observations, newObservation("d", model.RolePrimary))
			evidence.GapSequence, evidence.SettledFor = 2, 5*time.Second
			return intendedPrimary(evidence)
		}
		So(play(answeredProbe(model.RolePrimary, 3, 97)), ShouldEqual, "b")
		So(play(answeredProbe(model.RolePrimary, 3, 98)), ShouldEqual, "")
	})
}
