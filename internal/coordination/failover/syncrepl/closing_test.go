package syncrepl

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestCandidateSelection(t *testing.T) {
	all := func() map[string]ProbeResult {
		return map[string]ProbeResult{"a": failedProbe(), "b": answeredProbe(model.RoleReplica, 3, 99), "c": answeredProbe(model.RoleReplica, 3, 97)}
	}
	Convey("Nothing is probed or chosen before the closing is settled", t, func() {
		evidence := closingTerm(all())
		evidence.Settled = false
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
	})
	Convey("All replicas and the old primary are probed at once; results from before settling do not count", t, func() {
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
	Convey("No candidate is chosen before the old primary was probed, unless it leaves or the wait is over", t, func() {
		evidence := closingTerm(all())
		delete(evidence.Probes, "a")
		evidence.SettledFor = DefaultTiming().OldPrimaryWait - 10*time.Millisecond
		So(intendedPrimary(evidence), ShouldEqual, "")
		evidence.SettledFor = DefaultTiming().OldPrimaryWait + 10*time.Millisecond
		So(intendedPrimary(evidence), ShouldEqual, "b")
		evidence.SettledFor, evidence.Observations[0].Instance.Leaving = 0, true
		So(intendedPrimary(evidence), ShouldEqual, "b")
	})
	Convey("With all replicas answered the most advanced is chosen, even with an incomplete bound, and each promotion gets a new fencing token", t, func() {
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
	Convey("Terms of positions are compared before indexes", t, func() {
		evidence := closingTerm(all())
		evidence.Probes["c"] = answeredProbe(model.RoleReplica, 3, 99)
		probe := answeredProbe(model.RoleReplica, 3, 0)
		probe.Position = positionAt(2, 500)
		evidence.Probes["b"] = probe
		So(intendedPrimary(evidence), ShouldEqual, "c")
	})
	Convey("With silent replicas a candidate is chosen after the wait, if it has reached a complete bound", t, func() {
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
	Convey("A recorded replica without an observation counts as one that may hold commits", t, func() {
		evidence := closingTerm(all())
		evidence.Observations = evidence.Observations[:2]
		evidence.GapSequence = 2
		So(intendedPrimary(evidence), ShouldEqual, "")
		evidence.CoveredSequence = 2
		So(intendedPrimary(evidence), ShouldEqual, "b")
	})
	Convey("A replica that is gone may have been the only one to hold a commit", t, func() {
		evidence := closingTerm(all())
		evidence.Observations[2].Instance.Stopped, evidence.GapSequence = true, 2
		So(intendedPrimary(evidence), ShouldEqual, "")
	})
	Convey("No candidate is chosen where all replicas answered below the confirmed position", t, func() {
		evidence := closingTerm(all())
		evidence.Writer.HighWatermark, evidence.CommitBound = positionAt(3, 120), positionAt(3, 120)
		So(intendedPrimary(evidence), ShouldEqual, "")
	})
	Convey("A replica that stays is preferred to one that leaves, unless it lacks commits", t, func() {
		evidence := closingTerm(all())
		evidence.Observations[1].Instance.Leaving = true
		So(intendedPrimary(evidence), ShouldEqual, "c")
		evidence.CommitBound = positionAt(3, 98)
		So(intendedPrimary(evidence), ShouldEqual, "")
		evidence.SettledFor = 2 * time.Second
		So(intendedPrimary(evidence), ShouldEqual, "b")
	})
	Convey("The term is reopened under a primary that answers again, unless it leaves or is a replica now", t, func() {
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
	Convey("An instance that leads a later term already opens it, without a call", t, func() {
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

func TestOldPrimaryBound(t *testing.T) {
	Convey("The position of a leaving primary after settling bounds the acknowledged commits, even with a replica gone and an incomplete bound", t, func() {
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
	Convey("The position of an instance that took over a stopped primary's log bounds the acknowledged commits", t, func() {
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
