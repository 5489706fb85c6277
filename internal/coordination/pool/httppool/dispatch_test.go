package httppool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/state/model"
)

func TestUnresponsivePeersDelayNoOthers(t *testing.T) {
	Convey("An instance at which connections never finish opening does not delay other databases, and receives no more connection attempts than this node's share", t, func() {
		h := newHarness(8)
		h.unresponsive["x0"] = true
		for client := range 50 {
			sessionID := h.openSession("x", fmt.Sprint("x", client))
			h.submit(sessionID, fmt.Sprint("x", client), write(sessionID+".1"))
		}
		So(h.sent, ShouldBeEmpty)
		So(len(h.opens), ShouldBeBetween, 0, 5)
		sessionID := h.openSession("y", "y")
		h.submit(sessionID, "y", write(sessionID+".1"))
		So(len(h.sent), ShouldEqual, 1)
	})
	Convey("Lookups at a node that does not answer are limited, wait in order, and do not delay lookups at other nodes", t, func() {
		h := newHarness(8)
		limit := DefaultTiming().MaxLookups
		for number := range limit + 30 {
			h.submit(h.openSession("x", fmt.Sprint(number)), fmt.Sprint(number), write(fmt.Sprintf("d2~1~%d.1", number)))
		}
		So(len(h.lookups), ShouldEqual, limit)
		h.submit(h.openSession("x", "other"), "other", write("d3~1~1.1"))
		So(h.lookups[limit].Node, ShouldEqual, "d3")
		h.LookupDone(h.lookups[0].Request, "d2", idempotency.Status{}, false, h.now)
		h.applyEffects()
		So(h.results["0"].Outcome, ShouldEqual, OutcomeUnknown)
		So(h.lookups[limit+1].Request.RequestID(), ShouldEqual, fmt.Sprintf("d2~1~%d.1", limit))
	})
	Convey("A statement whose term is closed after its assignment and before Forward is not sent", t, func() {
		h := newHarness(8)
		sessionID := h.openSession("x", "a")
		request := h.accept(sessionID, "t", write(sessionID+".1"), time.Second)
		h.Bind(request, h.now)
		h.Enqueue(request, h.now)
		effects := h.Effects()
		for _, effect := range effects {
			if open, ok := effect.(OpenConn); ok {
				h.ConnOpened(open.Conn, Reply{Incarnation: "b", Clean: true}, true, h.now)
			}
		}
		forwards := h.Effects()
		h.phase = model.PhaseClosing
		h.update()
		for _, effect := range forwards {
			h.applyEffect(effect)
		}
		h.applyEffects()
		So(h.sent, ShouldBeEmpty)
		_, responded := h.results["t"]
		So(responded, ShouldBeFalse)
	})
}
