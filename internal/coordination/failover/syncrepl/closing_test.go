package syncrepl

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestClosing(t *testing.T) {
	Convey("Before the closing phase is settled, no instance is probed or chosen", t, func() {
		evidence := closingTerm(allProbes())
		evidence.Settled = false
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
	})
	Convey("After settling, all replicas and the old primary are probed at once; results of earlier probes do not count", t, func() {
		So(len(effectsOf[QueryStatus](closingTerm(map[string]ProbeResult{}))), ShouldEqual, 3)
		evidence := closingTerm(allProbes())
		for name, probe := range evidence.Probes {
			probe.AfterSettled = false
			evidence.Probes[name] = probe
		}
		So(len(effectsOf[QueryStatus](evidence)), ShouldEqual, 3)
		So(intendedPrimary(evidence), ShouldEqual, "")
		evidence.SettledFor = time.Hour
		So(intendedPrimary(evidence), ShouldEqual, "")
	})
	Convey("Before the old primary was probed, no candidate is chosen, unless the old primary is leaving or the wait is over", t, func() {
		evidence := closingTerm(allProbes())
		delete(evidence.Probes, "a")
		evidence.SettledFor = DefaultTiming().OldPrimaryWait - 10*time.Millisecond
		So(intendedPrimary(evidence), ShouldEqual, "")
		evidence.SettledFor = DefaultTiming().OldPrimaryWait + 10*time.Millisecond
		So(intendedPrimary(evidence), ShouldEqual, "b")
		evidence.SettledFor = 0
		evidence.Observations[0].Instance.Leaving = true
		So(intendedPrimary(evidence), ShouldEqual, "b")
	})
	Convey("If the old primary answers again, the term is reopened under it, unless it is leaving or is now a replica", t, func() {
		evidence := closingTerm(allProbes())
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
	Convey("If an instance is already primary of a later term, that term opens without a promote call", t, func() {
		evidence := closingTerm(allProbes())
		evidence.Probes["c"] = answeredProbe(model.RolePrimary, 5, 99)
		writer, _ := recordedWriter(evidence)
		So(writer.Phase, ShouldEqual, model.PhaseOpen)
		So(writer.Primary, ShouldEqual, "c")
		So(writer.Term, ShouldEqual, 5)
		So(effectsOf[Promote](evidence), ShouldBeEmpty)
		earlyProbe := answeredProbe(model.RolePrimary, 5, 99)
		earlyProbe.AfterSettled = false
		evidence.Probes["c"] = earlyProbe
		_, recorded := recordedWriter(evidence)
		So(recorded, ShouldBeFalse)
		So(effectsOf[QueryStatus](evidence), ShouldContain, QueryStatus{Instance: "c", Address: "c:1"})
	})
}
