package syncrepl

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestCandidateSelection(t *testing.T) {
	Convey("If all replicas have answered, the most advanced is chosen, even with an incomplete bound, and each promotion gets a new fencing token", t, func() {
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
	Convey("If a replica is silent, a candidate is chosen after the wait, provided that it has reached a complete bound", t, func() {
		oneSilent := func() Evidence {
			evidence := closingTerm(allProbes())
			evidence.Probes["c"] = failedProbe()
			return evidence
		}
		So(intendedPrimary(oneSilent()), ShouldEqual, "")
		evidence := oneSilent()
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
	Convey("A recorded replica without an observation counts as a replica that may hold commits", t, func() {
		evidence := closingTerm(allProbes())
		evidence.Observations = evidence.Observations[:2]
		evidence.GapSequence = 2
		So(intendedPrimary(evidence), ShouldEqual, "")
		evidence.CoveredSequence = 2
		So(intendedPrimary(evidence), ShouldEqual, "b")
	})
	Convey("If a replica is gone and the bound is incomplete, no candidate is chosen, since the replica may have been the only one with a commit", t, func() {
		evidence := closingTerm(allProbes())
		evidence.Observations[2].Instance.Stopped = true
		evidence.GapSequence = 2
		So(intendedPrimary(evidence), ShouldEqual, "")
	})
	Convey("If all replicas are behind the confirmed position, no candidate is chosen", t, func() {
		evidence := closingTerm(allProbes())
		evidence.Writer.HighWatermark = positionAt(3, 120)
		evidence.CommitBound = positionAt(3, 120)
		So(intendedPrimary(evidence), ShouldEqual, "")
	})
	Convey("A replica that stays is preferred to a more advanced one that is leaving, unless it lacks commits", t, func() {
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
	Convey("The position of a leaving primary, probed after settling, bounds the acknowledged commits, even if a replica is gone and the reported bound is incomplete", t, func() {
		earlyProbe := answeredProbe(model.RolePrimary, 3, 97)
		earlyProbe.AfterSettled = false
		for _, test := range []struct {
			name       string
			oldPrimary ProbeResult
			chosen     string
		}{
			{"reached", answeredProbe(model.RolePrimary, 3, 97), "b"},
			{"not reached", answeredProbe(model.RolePrimary, 3, 98), ""},
			{"no answer", failedProbe(), ""},
			{"answered before settling", earlyProbe, ""},
			{"primary of an earlier term", answeredProbe(model.RolePrimary, 2, 97), ""},
			{"is now a replica", answeredProbe(model.RoleReplica, 3, 97), ""},
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
	Convey("The position of an instance that took over the log of a stopped primary bounds the acknowledged commits", t, func() {
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
