package asyncrepl

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestSuspicion(t *testing.T) {
	Convey("While the primary is healthy, a step has no effects", t, func() { So(Step(openTerm(), DefaultTiming()), ShouldBeEmpty) })
	Convey("If the primary is silent to most nodes, the term is closed; with fewer silent nodes, or with recent contact, it is not", t, func() {
		evidence := openTerm()
		evidence.Observations[0] = newObservation("a", model.RolePrimary, 1, 100, 2*time.Second)
		So(firstWriter(evidence).Phase, ShouldEqual, model.PhaseClosing)
		evidence.Observations[0].SilentNodes = 2
		So(firstWriter(evidence).Phase, ShouldNotEqual, model.PhaseClosing)
		evidence.Observations[0].SilentNodes = 5
		evidence.Observations[0].ContactAge = time.Second
		So(firstWriter(evidence).Phase, ShouldNotEqual, model.PhaseClosing)
	})
	Convey("If the primary leaves, steps down or returns without its data, the term is closed", t, func() {
		for _, test := range []struct {
			name   string
			change func(*model.Instance)
		}{
			{"leaves", func(instance *model.Instance) { instance.Leaving = true }},
			{"steps down", func(instance *model.Instance) { instance.Role = model.RoleReplica }},
			{"lost its data", func(instance *model.Instance) { instance.Incarnation = "a-2" }},
		} {
			evidence := openTerm()
			test.change(&evidence.Observations[0].Instance)
			SoMsg(test.name, firstWriter(evidence).Phase, ShouldEqual, model.PhaseClosing)
		}
	})
	Convey("If the primary is silent and there is no candidate, the term stays open and the reason is recorded", t, func() {
		evidence := openTerm()
		evidence.Writer.Candidates = nil
		evidence.Observations[0] = newObservation("a", model.RolePrimary, 1, 100, 2*time.Second)
		So(firstWriter(evidence).Phase, ShouldEqual, model.PhaseOpen)
		So(firstWriter(evidence).Reason, ShouldContainSubstring, "nothing is promoted")
	})
	Convey("A new control primary without reports does not suspect the primary", t, func() {
		evidence := openTerm()
		evidence.Observations = nil
		evidence.ReportingNodes = 0
		evidence.GatheredFor = time.Second
		So(firstWriter(evidence).Phase, ShouldNotEqual, model.PhaseClosing)
	})
}
