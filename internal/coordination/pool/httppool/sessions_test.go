package httppool

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestStateOfSessions(t *testing.T) {
	hold := func(h *harness, sessionID, token string, op Op, inTransaction bool) {
		h.submit(sessionID, token, op)
		h.reply(Reply{InTransaction: inTransaction})
	}
	Convey("A connection with state is its session's alone, and is closed when the client disconnects, in or between statements", t, func() {
		h := newHarness(8)
		sessionID := h.openSession("x", "a")
		hold(h, sessionID, "set", Op{Kind: OpSet, Name: "app", Value: "v"}, false)
		h.submit(sessionID, "read", Op{Kind: OpRun, Text: "r"})
		mine := h.sent[0].Conn
		other := h.openSession("x", "b")
		h.submit(other, "other", write(other+".1"))
		So(h.sent[1].Conn != mine, ShouldBeTrue)
		h.reply(Reply{})
		h.ClientLost("a", h.now)
		h.applyEffects()
		So(slices.Contains(h.closedConns, mine), ShouldBeTrue)
		h.submit(other, "more", Op{Kind: OpRun, Text: "r"})
		for _, send := range h.sent {
			So(send.Conn != mine, ShouldBeTrue)
		}
	})
	Convey("One left with state by a statement that should leave none is closed, not reused", t, func() {
		h := newHarness(8)
		sessionID := h.openSession("x", "a")
		h.submit(sessionID, "w", write(sessionID+".1"))
		conn := h.sent[0].Conn
		h.reply(Reply{Clean: false, Position: model.Position{Term: 1, Index: 1}})
		So(slices.Contains(h.closedConns, conn), ShouldBeTrue)
	})
	Convey("A connection with idle state is reclaimed when others wait; one in a transaction is not", t, func() {
		h := newHarness(4)
		idle, inside := h.openSession("x", "idle"), h.openSession("x", "inside")
		hold(h, idle, "set", Op{Kind: OpSet, Name: "app", Value: "v"}, false)
		hold(h, inside, "begin", Op{Kind: OpBegin}, true)
		waiting := h.openSession("x", "waiting")
		h.submit(waiting, "w", write(waiting+".1"))
		So(h.sent, ShouldBeEmpty)
		h.advance(600 * time.Millisecond)
		So(h.sent, ShouldBeEmpty)
		h.advance(400 * time.Millisecond)
		So(len(h.sent), ShouldEqual, 1)
		h.submit(idle, "gone", Op{Kind: OpRun, Text: "r"})
		So(h.results["gone"].Cause, ShouldEqual, ErrNoSession)
		another := h.openSession("x", "another")
		h.submit(another, "v", write(another+".1"))
		h.advance(2500 * time.Millisecond)
		So(len(h.sent), ShouldEqual, 1)
		h.submit(inside, "still", Op{Kind: OpRollback})
		So(h.results["still"].Cause, ShouldBeNil)
		So(len(h.sent), ShouldEqual, 2)
	})
}
