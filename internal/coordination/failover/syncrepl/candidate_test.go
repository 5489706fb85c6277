package syncrepl

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestCandidateSelection(t *testing.T) {
	Convey("With all replicas answered the most advanced is chosen, even with an incomplete bound, and each promotion gets a new fencing token", t, func() {
		evidence := closingTerm(allProbes())
		evidence.GapSequence = 9
		So(intendedPrimary(evidence), ShouldEqual, "b")
		writer, _ := recordedWriter(evidence)
		So(writer.MinPosition, ShouldResemble, positionAt(3, 99))
		So(writer.PromoteCalls, ShouldEqual, 1)
		So(effectsOf[Promote](evidence), ShouldResemble, []Promote{{Database: "db", Instance: "b", LeaseHolder: "c1", FencingToken: 5}})
		So(writer.FencingToken, ShouldEqual, 5)
		evidence.Self = "c2"
		So(effectsOf[Promote](evidence), ShouldResemble, []Promote{{Database: "db", Instance: "b", LeaseHolder: "c2", FencingToken: 5}})
		evidence.Writer.Promoter = ""
		evidence.Writer.FencingToken = 0
		So(effectsOf[Promote](evidence)[0].FencingToken, ShouldEqual, 1)
	})
	Convey("Terms of positions are compared before indexes", t, func() {
		evidence := closingTerm(allProbes())
		evidence.Probes["c"] = answeredProbe(model.RoleReplica, 3, 99)
		probe := answeredProbe(model.RoleReplica, 3, 0)
		probe.Position = positionAt(2, 500)
		evidence.Probes["b"] = probe
		So(intendedPrimary(evidence), ShouldEqual, "c")
	})
	Convey("With silent replicas a candidate is chosen after the wait, if it has reached a complete bound", t, func() {
		some := func() Evidence {
			evidence := closingTerm(allProbes())
			evidence.Probes["c"] = failedProbe()
			return evidence
		}
		So(intendedPrimary(some()), ShouldEqual, "")
		evidence := some()
		evidence.SettledFor = 2 * time.Second
		So(intendedPrimary(evidence), ShouldEqual, "b")
		evidence.GapSequence = 2
		So(intendedPrimary(evidence), ShouldEqual, "")
		evidence.CoveredSequence = 2
		evidence.CommitBound = positionAt(3, 100)
		So(intendedPrimary(evidence), ShouldEqual, "")
		evidence.CommitBound = positionAt(3, 99)
		So(intendedPrimary(evidence), ShouldEqual, "b")
		evidence.Writer.HighWatermark = positionAt(3, 100)
		So(intendedPrimary(evidence), ShouldEqual, "")
		writer, _ := recordedWriter(evidence)
		So(writer.Reason, ShouldContainSubstring, "nothing is promoted")
	})
	Convey("A recorded replica without an observation counts as one that may hold commits", t, func() {
		evidence := closingTerm(allProbes())
		evidence.Observations = evidence.Observations[:2]
		evidence.GapSequence = 2
		So(intendedPrimary(evidence), ShouldEqual, "")
		evidence.CoveredSequence = 2
		So(intendedPrimary(evidence), ShouldEqual, "b")
	})
	Convey("A replica that is gone may have been the only one to hold a commit", t, func() {
		evidence := closingTerm(allProbes())
		evidence.Observations[2].Instance.Stopped = true
		evidence.GapSequence = 2
		So(intendedPrimary(evidence), ShouldEqual, "")
	})
	Convey("No candidate is chosen where all replicas answered below the confirmed position", t, func() {
		evidence := closingTerm(allProbes())
		evidence.Writer.HighWatermark = positionAt(3, 120)
		evidence.CommitBound = positionAt(3, 120)
		So(intendedPrimary(evidence), ShouldEqual, "")
	})
	Convey("A replica that stays is preferred to one that leaves, unless it lacks commits", t, func() {
		evidence := closingTerm(allProbes())
		evidence.Observations[1].Instance.Leaving = true
		So(intendedPrimary(evidence), ShouldEqual, "c")
		evidence.CommitBound = positionAt(3, 98)
		So(intendedPrimary(evidence), ShouldEqual, "")
		evidence.SettledFor = 2 * time.Second
		So(intendedPrimary(evidence), ShouldEqual, "b")
	})
}

func TestOldPrimaryBound(t *testing.T) {
	Convey("The position of a leaving primary after settling bounds the acknowledged commits, even with a replica gone and an incomplete bound", t, func() {
		early := answeredProbe(model.RolePrimary, 3, 97)
		early.AfterSettled = false
		for _, test := range []struct {
			name       string
			oldPrimary ProbeResult
			chosen     string
		}{
			{"reached", answeredProbe(model.RolePrimary, 3, 97), "b"},
			{"not reached", answeredProbe(model.RolePrimary, 3, 98), ""},
			{"no answer", failedProbe(), ""},
			{"answered before settling", early, ""},
			{"primary of an earlier term", answeredProbe(model.RolePrimary, 2, 97), ""},
			{"a replica by now", answeredProbe(model.RoleReplica, 3, 97), ""},
		} {
			evidence := closingTerm(map[string]ProbeResult{"a": test.oldPrimary, "b": answeredProbe(model.RoleReplica, 3, 97)})
			evidence.Observations[0].Instance.Leaving = true
			evidence.Observations[2].Instance.Stopped = true
			evidence.GapSequence = 2
			evidence.SettledFor = 5 * time.Second
			SoMsg(test.name, intendedPrimary(evidence), ShouldEqual, test.chosen)
		}
	})
}

func TestSuccessor(t *testing.T) {
	Convey("The position of an instance that took over a stopped primary's log bounds the acknowledged commits", t, func() {
		for _, test := range []struct {
			name      string
			successor ProbeResult
			chosen    string
		}{
			{"reached", answeredProbe(model.RolePrimary, 3, 97), "b"},
			{"not reached", answeredProbe(model.RolePrimary, 3, 98), ""},
		} {
			evidence := closingTerm(map[string]ProbeResult{
				"b": answeredProbe(model.RoleReplica, 3, 97),
				"c": answeredProbe(model.RoleReplica, 3, 96),
				"d": test.successor,
			})
			evidence.Observations[0].Instance.Stopped = true
			evidence.Observations = append(evidence.Observations, newObservation("d", model.RolePrimary))
			evidence.GapSequence = 2
			evidence.SettledFor = 5 * time.Second
			SoMsg(test.name, intendedPrimary(evidence), ShouldEqual, test.chosen)
		}
	})
}
