package httppool

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestDrain(t *testing.T) {
	Convey("A draining node rejects queued and new requests, finishes requests in flight, and lets open transactions continue", t, func() {
		h := newHarness(8)
		inFlight, inTransaction, idle := h.openSession("x", "a"), h.openSession("x", "b"), h.openSession("x", "c")
		h.submit(inTransaction, "begin", Op{Kind: OpBegin})
		h.reply(Reply{InTransaction: true})
		h.submit(inFlight, "in flight", write(inFlight+".1"))
		queued := h.openSession("y", "d")
		h.unresponsive["y0"] = true
		h.submit(queued, "queued", write(queued+".1"))
		So(h.ActiveSessions(), ShouldEqual, 3)

		h.Drain(h.now)
		h.applyEffects()
		ready, reason := h.Ready(h.now)
		So(ready, ShouldBeFalse)
		So(reason, ShouldEqual, "stopping")
		So(h.results["queued"].Outcome, ShouldEqual, OutcomeNotCommitted)
		So(h.results["queued"].SessionClosed, ShouldBeTrue)
		h.submit(idle, "new", write(idle+".1"))
		So(h.results["new"].Outcome, ShouldEqual, OutcomeNotCommitted)
		So(h.results["new"].SessionClosed, ShouldBeTrue)

		position := model.Position{Term: 1, Index: 3}
		h.reply(Reply{Clean: true, Position: position})
		h.replicate("x1", position)
		So(h.results["in flight"].Outcome, ShouldEqual, OutcomeCommitted)
		h.submit(inTransaction, "rollback", Op{Kind: OpRollback})
		h.reply(Reply{Clean: true})
		So(h.results["rollback"].Outcome, ShouldEqual, OutcomeDone)
		So(h.ActiveSessions(), ShouldEqual, 0)
		So(h.DisconnectSessions(), ShouldBeLessThan, 4)
	})
}
