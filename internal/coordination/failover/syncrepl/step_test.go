package syncrepl

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

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
	one := openTerm()
	one.Writer.Phase, one.Writer.LastTransitionAt, one.SettledFor, one.Probes = model.PhaseClosing, wallTime-int64(time.Second), 100*time.Millisecond, probe
	return one
}

func promotingTerm(probe map[string]ProbeResult, since time.Duration) Evidence {
	one := closingTerm(probe)
	one.Writer.Phase, one.Writer.Promoting, one.Writer.PromoteCalls, one.Writer.MinPosition = model.PhasePromoting, "b", 1, positionAt(3, 99)
	one.Writer.LastTransitionAt = wallTime - int64(since)
	return one
}

func recordedWriter(c Evidence) (model.WriterRole, bool) {
	for _, effect := range Step(c, DefaultTiming()) {
		if record, isOne := effect.(Record); isOne {
			return record.Writer, true
		}
	}
	return model.WriterRole{}, false
}

func effectsOf[T any](c Evidence) []T {
	var found []T
	for _, effect := range Step(c, DefaultTiming()) {
		if one, isOne := effect.(T); isOne {
			found = append(found, one)
		}
	}
	return found
}

func intendedPrimary(c Evidence) string {
	writer, _ := recordedWriter(c)
	if writer.Phase != model.PhasePromoting {
		return ""
	}
	return writer.Promoting
}

func TestDiscovery(t *testing.T) {
	fresh := func() Evidence {
		one := openTerm()
		one.Known, one.Writer = false, model.WriterRole{}
		return one
	}
	Convey("A database that is met has its one primary asked, and is opened in the term that this tells", t, func() {
		one := fresh()
		So(effectsOf[QueryStatus](one), ShouldResemble, []QueryStatus{{Instance: "a", Address: "a:1"}})
		_, isRecorded := recordedWriter(one)
		So(isRecorded, ShouldBeFalse)
		one.Probes["a"] = answeredProbe(model.RolePrimary, 3, 90)
		writer, _ := recordedWriter(one)
		So(writer.Term, ShouldEqual, 3)
		So(writer.Primary, ShouldEqual, "a")
		So(writer.SyncReplication, ShouldBeTrue)
		So(writer.Phase, ShouldEqual, model.PhaseOpen)
		So(writer.RequiredReplicas, ShouldResemble, map[string]string{"b": "", "c": ""})
	})
	Convey("Of two that say primary, both are asked and the higher term counts", t, func() {
		one := fresh()
		one.Observations[1].Instance.Role = model.RolePrimary
		So(len(effectsOf[QueryStatus](one)), ShouldEqual, 2)
		one.Probes["a"] = answeredProbe(model.RolePrimary, 3, 90)
		_, isRecorded := recordedWriter(one)
		So(isRecorded, ShouldBeFalse)
		one.Probes["b"] = answeredProbe(model.RolePrimary, 4, 90)
		writer, _ := recordedWriter(one)
		So(writer.Primary, ShouldEqual, "b")
		So(writer.Term, ShouldEqual, 4)
	})
}

func TestSuspicion(t *testing.T) {
	phaseOf := func(c Evidence) string {
		writer, _ := recordedWriter(c)
		return writer.Phase
	}
	Convey("While all is well, nothing is done", t, func() { So(Step(openTerm(), DefaultTiming()), ShouldBeEmpty) })
	Convey("A primary that leaves or is gone has its term closed", t, func() {
		for _, change := range []func(*model.Instance){func(i *model.Instance) { i.Leaving = true }, func(i *model.Instance) { i.Stopped = true }} {
			one := openTerm()
			change(&one.Observations[0].Instance)
			So(phaseOf(one), ShouldEqual, model.PhaseClosing)
		}
	})
	Convey("Not while no other instance that stays can be heard", t, func() {
		one := openTerm()
		one.Observations[0].Instance.Leaving = true
		one.Observations[1].Instance.Leaving, one.Observations[2].ContactAge = true, 4*time.Second
		writer, _ := recordedWriter(one)
		So(writer.Phase, ShouldEqual, model.PhaseOpen)
		So(writer.Reason, ShouldContainSubstring, "no other instance")
	})
	Convey("One that refuses most nodes and answered none of them is; few refusals, a late answer, new reports or a new term are not enough", t, func() {
		refusing := func() Evidence {
			one := openTerm()
			one.Observations[0].RefusedNodes, one.Observations[0].AnswerAge = 3, 400*time.Millisecond
			return one
		}
		So(phaseOf(refusing()), ShouldEqual, model.PhaseClosing)
		for _, change := range []func(*Evidence){
			func(c *Evidence) { c.Observations[0].RefusedNodes = 2 },
			func(c *Evidence) { c.Observations[0].AnswerAge = 200 * time.Millisecond },
			func(c *Evidence) { c.GatheredFor = 600 * time.Millisecond },
			func(c *Evidence) { c.Writer.LastTransitionAt = wallTime - int64(500*time.Millisecond) },
		} {
			one := refusing()
			change(&one)
			So(phaseOf(one), ShouldEqual, "")
		}
	})
	Convey("One that owes most nodes their answers is, unless any had one in the last 600 ms", t, func() {
		one := openTerm()
		one.Observations[0].OverdueNodes, one.Observations[0].AnswerAge = 3, 620*time.Millisecond
		So(phaseOf(one), ShouldEqual, model.PhaseClosing)
		one.Observations[0].AnswerAge = 580 * time.Millisecond
		So(phaseOf(one), ShouldEqual, "")
		one.Observations[0].AnswerAge, one.Observations[0].OverdueNodes = 620*time.Millisecond, 2
		So(phaseOf(one), ShouldEqual, "")
	})
	Convey("One of which nothing is heard is asked, and suspected only once that fails", t, func() {
		quiet := func() Evidence {
			one := openTerm()
			one.Observations[0].ReportingNodes, one.Observations[0].UnobservedFor, one.Observations[0].ContactAge, one.Observations[0].AnswerAge = 0, 3*time.Second, 3*time.Second, time.Hour
			return one
		}
		So(effectsOf[QueryStatus](quiet()), ShouldResemble, []QueryStatus{{Instance: "a", Address: "a:1"}})
		So(phaseOf(quiet()), ShouldEqual, "")
		one := quiet()
		one.Probes["a"] = failedProbe()
		So(phaseOf(one), ShouldEqual, model.PhaseClosing)
		one.Probes["a"] = ProbeResult{Busy: true, Age: 50 * time.Millisecond}
		So(phaseOf(one), ShouldEqual, "")
		one.Probes["a"] = answeredProbe(model.RolePrimary, 3, 99)
		So(Step(one, DefaultTiming()), ShouldBeEmpty)
		for _, change := range []func(*Observation){
			func(s *Observation) { s.ContactAge = 2 * time.Second }, func(s *Observation) { s.ReportingNodes = 1 }, func(s *Observation) { s.UnobservedFor = time.Second },
		} {
			one = quiet()
			one.Probes["a"] = failedProbe()
			change(&one.Observations[0])
			So(phaseOf(one), ShouldEqual, "")
		}
	})
	Convey("One that itself says just now that it is a replica is, though no other leads yet", t, func() {
		one := openTerm()
		one.Observations[0].Instance.Role = model.RoleReplica
		So(effectsOf[QueryStatus](one), ShouldResemble, []QueryStatus{{Instance: "a", Address: "a:1"}})
		So(phaseOf(one), ShouldEqual, "")
		one.Probes["a"] = answeredProbe(model.RoleReplica, 3, 99)
		So(phaseOf(one), ShouldEqual, model.PhaseClosing)
	})
	Convey("One that turned replica under another of a later term has its term closed; the other is asked first", t, func() {
		one := openTerm()
		one.Observations[0].Instance.Role, one.Observations[1].Instance.Role = model.RoleReplica, model.RolePrimary
		So(effectsOf[QueryStatus](one), ShouldContain, QueryStatus{Instance: "b", Address: "b:1"})
		So(phaseOf(one), ShouldEqual, "")
		one.Probes["b"] = answeredProbe(model.RolePrimary, 4, 99)
		So(phaseOf(one), ShouldEqual, model.PhaseClosing)
	})
}

func TestOpenTerm(t *testing.T) {
	Convey("Another that still says primary of an earlier term is ordered down, at a pace, and one that was asked just now is believed over its announcement", t, func() {
		one := openTerm()
		one.Observations[1].Instance.Role = model.RolePrimary
		So(effectsOf[QueryStatus](one), ShouldResemble, []QueryStatus{{Instance: "b", Address: "b:1"}})
		probe := answeredProbe(model.RolePrimary, 2, 80)
		probe.Age = 600 * time.Millisecond
		one.Probes["b"] = probe
		So(effectsOf[StepDown](one), ShouldResemble, []StepDown{{Instance: "b", Address: "b:1", Term: 3}})
		probe.Age = 100 * time.Millisecond
		one.Probes["b"] = probe
		So(effectsOf[StepDown](one), ShouldBeEmpty)
		one.Probes["b"] = answeredProbe(model.RoleReplica, 3, 80)
		So(effectsOf[StepDown](one), ShouldBeEmpty)
		one.Probes, one.Observations[1].ContactAge = map[string]ProbeResult{}, 4*time.Second
		So(Step(one, DefaultTiming()), ShouldBeEmpty)
	})
	Convey("After an event the primary is asked, and its answer covers the event only where it was asked after it and in this tenure", t, func() {
		one := openTerm()
		one.GapSequence, one.Probes["a"] = 2, answeredProbe(model.RolePrimary, 3, 99)
		So(effectsOf[ReportBound](one), ShouldBeEmpty)
		old := one.Probes["a"]
		old.Age = 2 * time.Second
		one.Probes["a"] = old
		So(effectsOf[QueryStatus](one), ShouldResemble, []QueryStatus{{Instance: "a", Address: "a:1"}})
		probe := answeredProbe(model.RolePrimary, 3, 99)
		probe.GapSequence = 2
		one.Probes["a"] = probe
		So(effectsOf[ReportBound](one), ShouldResemble, []ReportBound{{Database: "db", Tenure: "c1@1", GapSequence: 2, Position: positionAt(3, 99)}})
		probe.Tenure = "c2@1"
		one.Probes["a"] = probe
		So(effectsOf[ReportBound](one), ShouldBeEmpty)
	})
	Convey("Replicas that appear are recorded; one not heard of is forgotten only after a minute, and not while something is not covered", t, func() {
		one := openTerm()
		one.GatheredFor = time.Hour
		one.Observations = append(one.Observations, newObservation("d", model.RoleReplica))
		writer, _ := recordedWriter(one)
		So(writer.RequiredReplicas, ShouldContainKey, "d")
		one = openTerm()
		one.GatheredFor, one.Observations[2].ContactAge = time.Hour, 30*time.Second
		_, isRecorded := recordedWriter(one)
		So(isRecorded, ShouldBeFalse)
		one.Observations[2].ContactAge = 2 * time.Minute
		writer, _ = recordedWriter(one)
		So(writer.RequiredReplicas, ShouldResemble, map[string]string{"b": ""})
		one.GapSequence = 2
		_, isRecorded = recordedWriter(one)
		So(isRecorded, ShouldBeFalse)
	})
}

func TestCandidateSelection(t *testing.T) {
	all := func() map[string]ProbeResult {
		return map[string]ProbeResult{"a": failedProbe(), "b": answeredProbe(model.RoleReplica, 3, 99), "c": answeredProbe(model.RoleReplica, 3, 97)}
	}
	Convey("Nothing is asked or chosen before every node that may hold a lease has dropped the primary", t, func() {
		one := closingTerm(all())
		one.Settled = false
		So(Step(one, DefaultTiming()), ShouldBeEmpty)
	})
	Convey("All replicas and the old primary are asked at once; answers from before the settling count for nothing", t, func() {
		So(len(effectsOf[QueryStatus](closingTerm(map[string]ProbeResult{}))), ShouldEqual, 3)
		one := closingTerm(all())
		for name, probe := range one.Probes {
			probe.AfterSettled = false
			one.Probes[name] = probe
		}
		So(len(effectsOf[QueryStatus](one)), ShouldEqual, 3)
		So(intendedPrimary(one), ShouldEqual, "")
		one.SettledFor = time.Hour
		So(intendedPrimary(one), ShouldEqual, "")
	})
	Convey("Nothing is chosen before the old primary was asked, unless it leaves or does not answer for long", t, func() {
		one := closingTerm(all())
		delete(one.Probes, "a")
		one.SettledFor = DefaultTiming().OldPrimaryWait - 10*time.Millisecond
		So(intendedPrimary(one), ShouldEqual, "")
		one.SettledFor = DefaultTiming().OldPrimaryWait + 10*time.Millisecond
		So(intendedPrimary(one), ShouldEqual, "b")
		one.SettledFor, one.Observations[0].Instance.Leaving = 0, true
		So(intendedPrimary(one), ShouldEqual, "b")
	})
	Convey("All heard: the furthest, even where the reports are not whole, with a fence of the intent's own, so that a late call of an earlier one is refused", t, func() {
		one := closingTerm(all())
		one.GapSequence = 9
		So(intendedPrimary(one), ShouldEqual, "b")
		writer, _ := recordedWriter(one)
		So(writer.MinPosition, ShouldResemble, positionAt(3, 99))
		So(writer.PromoteCalls, ShouldEqual, 1)
		So(effectsOf[Promote](one), ShouldResemble, []Promote{{Database: "db", Instance: "b", LeaseHolder: "c1", FencingToken: 5}})
		So(writer.FencingToken, ShouldEqual, 5)
		one.Self = "c2"
		So(effectsOf[Promote](one), ShouldResemble, []Promote{{Database: "db", Instance: "b", LeaseHolder: "c2", FencingToken: 5}})
		one.Writer.Promoter, one.Writer.FencingToken = "", 0
		So(effectsOf[Promote](one)[0].FencingToken, ShouldEqual, 1)
	})
	Convey("Terms count before numbers", t, func() {
		one := closingTerm(all())
		one.Probes["c"] = answeredProbe(model.RoleReplica, 3, 99)
		probe := answeredProbe(model.RoleReplica, 3, 0)
		probe.Position = positionAt(2, 500)
		one.Probes["b"] = probe
		So(intendedPrimary(one), ShouldEqual, "c")
	})
	Convey("Some not heard: waited for, then one that is at or past all acknowledged is chosen where the reports are whole", t, func() {
		some := func() Evidence {
			one := closingTerm(all())
			one.Probes["c"] = failedProbe()
			return one
		}
		So(intendedPrimary(some()), ShouldEqual, "")
		one := some()
		one.SettledFor = 2 * time.Second
		So(intendedPrimary(one), ShouldEqual, "b")
		one.GapSequence = 2
		So(intendedPrimary(one), ShouldEqual, "")
		one.CoveredSequence, one.CommitBound = 2, positionAt(3, 100)
		So(intendedPrimary(one), ShouldEqual, "")
		one.CommitBound = positionAt(3, 99)
		So(intendedPrimary(one), ShouldEqual, "b")
		one.Writer.HighWatermark = positionAt(3, 100)
		So(intendedPrimary(one), ShouldEqual, "")
		writer, _ := recordedWriter(one)
		So(writer.Reason, ShouldContainSubstring, "nothing is promoted")
	})
	Convey("A replica that is on record and was not heard of by this control primary counts as not heard", t, func() {
		one := closingTerm(all())
		one.Observations = one.Observations[:2]
		one.GapSequence = 2
		So(intendedPrimary(one), ShouldEqual, "")
		one.CoveredSequence = 2
		So(intendedPrimary(one), ShouldEqual, "b")
	})
	Convey("A replica that has gone may have been the only one to receive a commit", t, func() {
		one := closingTerm(all())
		one.Observations[2].Instance.Stopped, one.GapSequence = true, 2
		So(intendedPrimary(one), ShouldEqual, "")
	})
	Convey("All heard but none at what was acknowledged: none", t, func() {
		one := closingTerm(all())
		one.Writer.HighWatermark, one.CommitBound = positionAt(3, 120), positionAt(3, 120)
		So(intendedPrimary(one), ShouldEqual, "")
	})
	Convey("One that stays goes before one that leaves, but not where it lacks what the other has", t, func() {
		one := closingTerm(all())
		one.Observations[1].Instance.Leaving = true
		So(intendedPrimary(one), ShouldEqual, "c")
		one.CommitBound = positionAt(3, 98)
		So(intendedPrimary(one), ShouldEqual, "")
		one.SettledFor = 2 * time.Second
		So(intendedPrimary(one), ShouldEqual, "b")
	})
	Convey("A primary that is back is opened again, unless it leaves or lost the role", t, func() {
		one := closingTerm(all())
		one.Probes["a"] = answeredProbe(model.RolePrimary, 3, 99)
		writer, _ := recordedWriter(one)
		So(writer.Phase, ShouldEqual, model.PhaseOpen)
		So(writer.Primary, ShouldEqual, "a")
		So(writer.Term, ShouldEqual, 3)
		one.Observations[0].Instance.Leaving = true
		So(intendedPrimary(one), ShouldEqual, "b")
		one.Observations[0].Instance.Leaving = false
		one.Probes["a"] = answeredProbe(model.RoleReplica, 3, 104)
		So(intendedPrimary(one), ShouldEqual, "a")
	})
	Convey("Another that already leads a later term is opened, with no call", t, func() {
		one := closingTerm(all())
		one.Probes["c"] = answeredProbe(model.RolePrimary, 5, 99)
		writer, _ := recordedWriter(one)
		So(writer.Phase, ShouldEqual, model.PhaseOpen)
		So(writer.Primary, ShouldEqual, "c")
		So(writer.Term, ShouldEqual, 5)
		So(effectsOf[Promote](one), ShouldBeEmpty)
		before := answeredProbe(model.RolePrimary, 5, 99)
		before.AfterSettled = false
		one.Probes["c"] = before
		_, isRecorded := recordedWriter(one)
		So(isRecorded, ShouldBeFalse)
		So(effectsOf[QueryStatus](one), ShouldContain, QueryStatus{Instance: "c", Address: "c:1"})
	})
}

func TestOutcome(t *testing.T) {
	replica := func() map[string]ProbeResult {
		return map[string]ProbeResult{"b": answeredProbe(model.RoleReplica, 3, 99)}
	}
	down := func() map[string]ProbeResult { return map[string]ProbeResult{"b": failedProbe()} }
	Convey("The outcome is learned from the instance, which is asked often", t, func() {
		one := promotingTerm(replica(), 300*time.Millisecond)
		So(Step(one, DefaultTiming()), ShouldBeEmpty)
		probe := one.Probes["b"]
		probe.Age = 200 * time.Millisecond
		one.Probes["b"] = probe
		So(effectsOf[QueryStatus](one), ShouldResemble, []QueryStatus{{Instance: "b", Address: "b:1"}})
		one.Probes["b"] = answeredProbe(model.RolePrimary, 3, 99)
		_, isRecorded := recordedWriter(one)
		So(isRecorded, ShouldBeFalse)
		one.Probes["b"] = answeredProbe(model.RolePrimary, 4, 100)
		writer, _ := recordedWriter(one)
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
		one := promotingTerm(replica(), 2*time.Second)
		So(effectsOf[Promote](one), ShouldResemble, []Promote{{Database: "db", Instance: "b", LeaseHolder: "c1", FencingToken: 4}})
		writer, _ := recordedWriter(one)
		So(writer.PromoteCalls, ShouldEqual, 2)
		one.Self = "c2"
		So(effectsOf[Promote](one)[0].FencingToken, ShouldEqual, 5)
		one.Probes = map[string]ProbeResult{}
		So(effectsOf[Promote](one), ShouldBeEmpty)
	})
	Convey("A call refused for its rate is made again soon", t, func() {
		one := promotingTerm(replica(), 400*time.Millisecond)
		one.PromoteCalls = []PromoteCall{{Instance: "b", Status: 429}}
		So(len(effectsOf[Promote](one)), ShouldEqual, 1)
		one.Writer.LastTransitionAt = wallTime - int64(200*time.Millisecond)
		So(effectsOf[Promote](one), ShouldBeEmpty)
	})
	Convey("The intent is given up only when every call was refused and the instance is seen not to run, or it is gone", t, func() {
		one := promotingTerm(down(), 400*time.Millisecond)
		one.PromoteCalls = []PromoteCall{{Instance: "b", Status: 409}}
		writer, _ := recordedWriter(one)
		So(writer.Phase, ShouldEqual, model.PhaseClosing)
		So(writer.Promoting, ShouldEqual, "")
		So(writer.MinPosition, ShouldResemble, model.Position{})
		one.Writer.PromoteCalls = 2
		_, isRecorded := recordedWriter(one)
		So(isRecorded, ShouldBeFalse)
		for _, status := range []int{0, 500, 200} {
			one.PromoteCalls = []PromoteCall{{Instance: "b", Status: 409}, {Instance: "b", Status: status}}
			_, isRecorded = recordedWriter(one)
			So(isRecorded, ShouldBeFalse)
		}
		one = promotingTerm(replica(), 400*time.Millisecond)
		one.PromoteCalls = []PromoteCall{{Instance: "b", Status: 409}}
		_, isRecorded = recordedWriter(one)
		So(isRecorded, ShouldBeFalse)
		one = promotingTerm(map[string]ProbeResult{"b": {Gone: true, Age: 50 * time.Millisecond}}, 400*time.Millisecond)
		writer, _ = recordedWriter(one)
		So(writer.Phase, ShouldEqual, model.PhaseClosing)
	})
	Convey("A second instance is never called while the outcome at the first is unknown, however long that lasts", t, func() {
		for _, probe := range []map[string]ProbeResult{down(), replica(), {}} {
			for _, since := range []time.Duration{time.Second, 5 * time.Second, time.Hour} {
				one := promotingTerm(probe, since)
				one.PromoteCalls = []PromoteCall{{Instance: "b"}}
				one.SettledFor = time.Hour
				writer, isRecorded := recordedWriter(one)
				So(isRecorded && writer.Promoting != "b", ShouldBeFalse)
				for _, call := range effectsOf[Promote](one) {
					So(call.Instance, ShouldEqual, "b")
				}
			}
		}
	})
}

func TestUnknownOutcomeAtOneThatNeverReturns(t *testing.T) {
	down := func(calls ...PromoteCall) Evidence {
		one := promotingTerm(map[string]ProbeResult{"b": failedProbe()}, time.Second)
		one.PromoteCalls, one.Writer.PromoteCalls = calls, len(calls)
		return one
	}
	isGivenUp := func(one Evidence) bool {
		writer, isRecorded := recordedWriter(one)
		return isRecorded && writer.Phase == model.PhaseClosing && writer.Promoting == ""
	}
	fenced := func(calls ...PromoteCall) Evidence {
		one := down(calls...)
		one.FencingEnforced, one.Writer.FencingToken = true, calls[len(calls)-1].FencingToken
		return one
	}
	lost := func(fence uint64) PromoteCall {
		return PromoteCall{Instance: "b", Age: 3 * time.Second, FencingToken: fence}
	}
	answered := func(fence uint64, status int) PromoteCall {
		return PromoteCall{Instance: "b", Age: 200 * time.Millisecond, FencingToken: fence, Status: status}
	}
	Convey("A call that never left this machine counts as refused", t, func() {
		So(isGivenUp(down(PromoteCall{Instance: "b", Unsent: true}, answered(4, 409))), ShouldBeTrue)
		So(isGivenUp(down(PromoteCall{Instance: "b", Unsent: true})), ShouldBeTrue)
		So(isGivenUp(down(PromoteCall{Instance: "b"}, answered(4, 409))), ShouldBeFalse)
	})
	Convey("Where the platform checks fences, a refusal of a higher one shows that no earlier call takes effect any more, whoever made it", t, func() {
		So(isGivenUp(fenced(lost(4), answered(5, 409))), ShouldBeTrue)
		one := fenced(lost(4), answered(5, 409))
		one.PromoteCalls, one.Writer.PromoteCalls = one.PromoteCalls[1:], 7
		So(isGivenUp(one), ShouldBeTrue)
		one = fenced(lost(4), answered(5, 409))
		one.FencingEnforced = false
		So(isGivenUp(one), ShouldBeFalse)
	})
	Convey("Not on a lower or equal fence, another answer, another instance's, nor while it answers", t, func() {
		So(isGivenUp(fenced(lost(5), answered(5, 409))), ShouldBeFalse)
		So(isGivenUp(fenced(answered(4, 409), lost(5))), ShouldBeFalse)
		for _, status := range []int{0, 200, 429, 500} {
			So(isGivenUp(fenced(lost(4), answered(5, status))), ShouldBeFalse)
		}
		one := fenced(lost(4), answered(5, 409))
		one.PromoteCalls[1].Instance = "c"
		So(isGivenUp(one), ShouldBeFalse)
		one = fenced(lost(4), answered(5, 409))
		one.Writer.FencingToken = 6
		So(isGivenUp(one), ShouldBeFalse)
		one = fenced(lost(4), answered(5, 409))
		one.Probes["b"] = answeredProbe(model.RoleReplica, 3, 99)
		So(isGivenUp(one), ShouldBeFalse)
		one.Probes["b"] = ProbeResult{Busy: true, AfterSettled: true, Age: 50 * time.Millisecond}
		So(isGivenUp(one), ShouldBeFalse)
	})
	Convey("A call that was accepted is over once a much later one was refused: what it would bring about was due long before", t, func() {
		accepted := PromoteCall{Instance: "b", Age: 200*time.Millisecond + DefaultTiming().PromoteRetryInterval, FencingToken: 4, Status: 200}
		So(isGivenUp(down(accepted, answered(4, 409))), ShouldBeTrue)
		accepted.Age -= time.Millisecond
		So(isGivenUp(down(accepted, answered(4, 409))), ShouldBeFalse)
	})
	Convey("So that this can be shown, each further call has a higher fence where fences are checked, and else only with another holder", t, func() {
		for _, isFenced := range []bool{true, false} {
			one := promotingTerm(map[string]ProbeResult{"b": failedProbe()}, 2*time.Second)
			one.PromoteCalls, one.FencingEnforced = []PromoteCall{lost(4)}, isFenced
			call := effectsOf[Promote](one)
			So(len(call), ShouldEqual, 1)
			So(call[0].Instance, ShouldEqual, "b")
			So(call[0].FencingToken, ShouldEqual, map[bool]int{true: 5, false: 4}[isFenced])
		}
	})
	Convey("A database whose promotion was lost goes on to another replica, in time, while the first never returns", t, func() {
		now, lostFence := time.Duration(0), uint64(4)
		one := promotingTerm(map[string]ProbeResult{"b": failedProbe(), "c": answeredProbe(model.RoleReplica, 3, 99)}, time.Millisecond)
		one.FencingEnforced, one.PromoteCalls = true, []PromoteCall{{Instance: "b", FencingToken: lostFence}}
		chosen := ""
		for ; now < 10*time.Second && chosen == ""; now += 50 * time.Millisecond {
			one.WallNanos = wallTime + int64(now)
			one.SettledFor = now
			for _, effect := range Step(one, DefaultTiming()) {
				if record, isRecord := effect.(Record); isRecord {
					if record.Writer.Phase != model.PhasePromoting {
						one.PromoteCalls = nil
					}
					one.Writer = record.Writer
				}
				if call, isCall := effect.(Promote); isCall {
					status := map[bool]int{true: 409, false: 200}[call.Instance == "b"]
					one.PromoteCalls = append(one.PromoteCalls, PromoteCall{Instance: call.Instance, FencingToken: call.FencingToken, Status: status})
				}
			}
			if one.Writer.Phase == model.PhasePromoting && one.Writer.Promoting != "b" {
				chosen = one.Writer.Promoting
			}
		}
		So(chosen, ShouldEqual, "c")
		So(now, ShouldBeLessThan, 2*DefaultTiming().PromoteRetryInterval+DefaultTiming().ReplicaWait)
	})
}

func TestOldPrimaryBound(t *testing.T) {
	Convey("A leaving primary's own word after the settling bounds what was acknowledged, though a replica be gone and reports not whole", t, func() {
		play := func(a ProbeResult, b ProbeResult) string {
			one := closingTerm(map[string]ProbeResult{"a": a, "b": b})
			one.Observations[0].Instance.Leaving = true
			one.Observations[2].Instance.Stopped = true
			one.GapSequence, one.SettledFor = 2, 5*time.Second
			return intendedPrimary(one)
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
			one := closingTerm(map[string]ProbeResult{"b": answeredProbe(model.RoleReplica, 3, 97), "c": answeredProbe(model.RoleReplica, 3, 96), "d": d})
			one.Observations[0].Instance.Stopped = true
			one.Observations = append(one.Observations, newObservation("d", model.RolePrimary))
			one.GapSequence, one.SettledFor = 2, 5*time.Second
			return intendedPrimary(one)
		}
		So(play(answeredProbe(model.RolePrimary, 3, 97)), ShouldEqual, "b")
		So(play(answeredProbe(model.RolePrimary, 3, 98)), ShouldEqual, "")
	})
}
