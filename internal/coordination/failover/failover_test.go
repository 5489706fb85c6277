package failover

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestReason(t *testing.T) {
	writer := model.WriterRole{Database: "db", Term: 3, RequiredReplicas: map[string]string{"b": ""}}
	Convey("A reason is recorded once and cleared once", t, func() {
		effects := RecordReason(writer, "no replica")
		So(len(effects), ShouldEqual, 1)
		waiting := effects[0].(Record).Writer
		So(waiting.Reason, ShouldEqual, "no replica")
		So(RecordReason(waiting, "no replica"), ShouldBeEmpty)
		cleared := ClearReason(waiting)
		So(len(cleared), ShouldEqual, 1)
		So(cleared[0].(Record).Writer, ShouldResemble, writer)
		So(cleared[0].(Record).Reason, ShouldEqual, "no replica")
		So(ClearReason(writer), ShouldBeEmpty)
	})
}

func TestTransitions(t *testing.T) {
	writer := model.WriterRole{Database: "db", Term: 3, Phase: model.PhaseOpen, Reason: "before", RequiredReplicas: map[string]string{"b": ""}}
	Convey("A term is closed with a reason and reopened without one, and the given writer role is not modified", t, func() {
		closing := CloseTerm(writer, 7, "primary is silent").Writer
		So(closing.Phase, ShouldEqual, model.PhaseClosing)
		So(closing.LastTransitionAt, ShouldEqual, 7)
		So(closing.Reason, ShouldEqual, "primary is silent")
		open := ReopenTerm(closing, 9, "primary is back").Writer
		So(open.Phase, ShouldEqual, model.PhaseOpen)
		So(open.LastTransitionAt, ShouldEqual, 9)
		So(open.Reason, ShouldBeEmpty)
		So(open.Term, ShouldEqual, 3)
		open.RequiredReplicas["c"] = ""
		So(len(writer.RequiredReplicas), ShouldEqual, 1)
	})
}

func TestComparePositions(t *testing.T) {
	Convey("Terms are compared before indexes", t, func() {
		older, newer := model.Position{Term: 2, Index: 500}, model.Position{Term: 3, Index: 1}
		So(ComparePositions(older, newer), ShouldBeLessThan, 0)
		So(ComparePositions(newer, older), ShouldBeGreaterThan, 0)
		So(ComparePositions(newer, newer), ShouldEqual, 0)
	})
}
