package httppool

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestStateOfSessions(t *testing.T) {
	submitKeepingState := func(h *harness, sessionID, token string, op Op, inTransaction bool) {
		h.submit(sessionID, token, op)
		h.reply(Reply{InTransaction: inTransaction})
	}
	Convey("A connection with session state is used by that session alone, and is closed when the client disconnects during or between statements", t, func() {
		h := newHarness(8)
		sessionID := h.openSession("x", "a")
		submitKeepingState(h, sessionID, "set", Op{Kind: OpSet, Name: "app", Value: "v"}, false)
		h.submit(sessionID, "read", Op{Kind: OpRun, Text: "r"})
		pinnedConn := h.sent[0].Conn
		other := h.openSession("x", "b")
		h.submit(other, "other", write(other+".1"))
		So(h.sent[1].Conn != pinnedConn, ShouldBeTrue)
		h.reply(Reply{})
		h.ClientLost("a", h.now)
		h.applyEffects()
		So(slices.Contains(h.closedConns, pinnedConn), ShouldBeTrue)
		h.submit(other, "other read", Op{Kind: OpRun, Text: "r"})
		for _, send := range h.sent {
			So(send.Conn != pinnedConn, ShouldBeTrue)
		}
	})
	Convey("A connection that still holds state after a statement that should leave none is closed and not reused", t, func() {
		h := newHarness(8)
		sessionID := h.openSession("x", "a")
		h.submit(sessionID, "w", write(sessionID+".1"))
		conn := h.sent[0].Conn
		h.reply(Reply{Clean: false, Position: model.Position{Term: 1, Index: 1}})
		So(slices.Contains(h.closedConns, conn), ShouldBeTrue)
	})
	Convey("A pinned connection is reclaimed from an idle session when other requests wait, but not from a session in a transaction", t, func() {
		h := newHarness(4)
		idle, inTransaction := h.openSession("x", "idle"), h.openSession("x", "inside")
		submitKeepingState(h, idle, "set", Op{Kind: OpSet, Name: "app", Value: "v"}, false)
		submitKeepingState(h, inTransaction, "begin", Op{Kind: OpBegin}, true)
		waiting := h.openSession("x", "waiting")
		h.submit(waiting, "w", write(waiting+".1"))
		So(h.sent, ShouldBeEmpty)
		h.advance(600 * time.Millisecond)
		So(h.sent, ShouldBeEmpty)
		h.advance(400 * time.Millisecond)
		So(len(h.sent), ShouldEqual, 1)
		h.submit(idle, "after reclaim", Op{Kind: OpRun, Text: "r"})
		So(h.results["after reclaim"].Cause, ShouldEqual, ErrNoSession)
		another := h.openSession("x", "another")
		h.submit(another, "v", write(another+".1"))
		h.advance(2500 * time.Millisecond)
		So(len(h.sent), ShouldEqual, 1)
		h.submit(inTransaction, "rollback", Op{Kind: OpRollback})
		So(h.results["rollback"].Cause, ShouldBeNil)
		So(len(h.sent), ShouldEqual, 2)
	})
}
