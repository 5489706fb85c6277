package httppool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/state/model"
)

func TestRetries(t *testing.T) {
	Convey("A retry at the same node waits for the first attempt and is answered with its outcome", t, func() {
		h := newHarness(8)
		first, second := h.openSession("x", "a"), h.openSession("x", "b")
		h.submit(first, "first", write(first+".1"))
		h.submit(second, "retry", write(first+".1"))
		So(len(h.sent), ShouldEqual, 1)
		position := model.Position{Term: 1, Index: 3}
		h.reply(Reply{Clean: true, Position: position})
		So(h.results, ShouldBeEmpty)
		h.replicate("x1", position)
		for _, token := range []string{"first", "retry"} {
			So(h.results[token].Outcome, ShouldEqual, OutcomeCommitted)
			So(h.results[token].Position, ShouldResemble, position)
		}
		h.submit(second, "late", write(first+".1"))
		So(h.results["late"].Outcome, ShouldEqual, OutcomeCommitted)
		So(h.sent, ShouldBeEmpty)
	})
	Convey("Another node is asked again while the attempt there is in flight; a request that it has never received is executed here", t, func() {
		h := newHarness(8)
		h.submit(h.openSession("x", "a"), "retry", write("d2~1~1.1"))
		So(len(h.lookups), ShouldEqual, 1)
		h.LookupDone(h.lookups[0].Request, "d2", idempotency.Status{State: idempotency.StateInFlight}, true, h.now)
		h.applyEffects()
		So(len(h.lookups), ShouldEqual, 1)
		h.advance(2 * lookupRetryDelay)
		So(len(h.lookups), ShouldEqual, 2)
		So(h.sent, ShouldBeEmpty)
		h.LookupDone(h.lookups[1].Request, "d2", idempotency.Status{State: idempotency.StateUnseen}, true, h.now)
		h.applyEffects()
		So(len(h.sent), ShouldEqual, 1)
	})
	Convey("A request with a malformed request id, or with a request id whose record was lost in a restart, is not executed", t, func() {
		h := newHarness(8)
		h.submit(h.openSession("x", "a"), "malformed", write("no id"))
		So(h.results["malformed"].Cause, ShouldEqual, ErrInvalidRequestID)
		h.submit(h.openSession("x", "b"), "earlier", write("d1~0~1.1"))
		So(h.results["earlier"].Outcome, ShouldEqual, OutcomeUnknown)
		So(h.results["earlier"].RetryAfter, ShouldEqual, time.Second)
		So(h.sent, ShouldBeEmpty)
	})
}
