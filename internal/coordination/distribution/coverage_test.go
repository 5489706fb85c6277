package distribution

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func TestCompleteEvidence(t *testing.T) {
	request := func(h *harness, node string, incarnation int64, high uint64) {
		h.HandleRequest(UpdateRequest{
			Node:           node,
			Kind:           model.KindProxy,
			Version:        h.stored.Version,
			Incarnation:    incarnation,
			HighWatermarks: map[string]model.Position{"db": {Term: 3, Index: high}},
		}, 1, h.now)
		h.runWrites()
		h.advance(DefaultPollTimeout)
		h.flush()
	}
	coverGaps := func(h *harness) {
		evidence := h.evidence()
		h.ConfirmCoverage(syncrepl.ReportBound{
			Database:    "db",
			Tenure:      evidence.Tenure,
			GapSequence: evidence.GapSequence,
			Position:    model.Position{Term: 3, Index: 50},
		})
	}
	newHarnessWithRequests := func() *harness {
		h := newHarness(1, store.New())
		h.openTerm(3)
		request(h, "d1", 7, 40)
		request(h, "d1", 7, 40)
		return h
	}
	Convey("The commit bound of a new tenure is incomplete until a position of the primary covers the gap", t, func() {
		h := newHarnessWithRequests()
		So(h.evidence().IsBoundComplete(), ShouldBeFalse)
		coverGaps(h)
		evidence := h.evidence()
		So(evidence.IsBoundComplete(), ShouldBeTrue)
		So(evidence.CommitBound, ShouldResemble, model.Position{Term: 3, Index: 50})
		So(evidence.Writer.HighWatermark, ShouldResemble, model.Position{Term: 3, Index: 40})
		request(h, "d1", 7, 60)
		So(h.evidence().CommitBound, ShouldResemble, model.Position{Term: 3, Index: 60})
	})
	Convey("A bound of another tenure or of a gap that does not exist is ignored", t, func() {
		h := newHarnessWithRequests()
		h.ConfirmCoverage(syncrepl.ReportBound{Database: "db", Tenure: "c9@1", GapSequence: 1})
		h.ConfirmCoverage(syncrepl.ReportBound{Database: "db", Tenure: h.evidence().Tenure, GapSequence: 99})
		So(h.evidence().IsBoundComplete(), ShouldBeFalse)
	})
	Convey("The restart of a node and the lapse of a lease each open a gap, which a confirmed position or a new term covers", t, func() {
		h := newHarnessWithRequests()
		coverGaps(h)
		request(h, "d1", 8, 0)
		So(h.evidence().IsBoundComplete(), ShouldBeFalse)
		coverGaps(h)
		So(h.evidence().IsBoundComplete(), ShouldBeTrue)
		h.advance(3 * time.Second)
		So(h.evidence().IsBoundComplete(), ShouldBeFalse)
		h.openTerm(4)
		So(h.evidence().IsBoundComplete(), ShouldBeTrue)
	})
	Convey("A lease that lapses between two requests of the same node opens a gap", t, func() {
		h := newHarnessWithRequests()
		coverGaps(h)
		h.advance(3 * time.Second)
		request(h, "d1", 7, 40)
		So(h.evidence().IsBoundComplete(), ShouldBeFalse)
	})
}
