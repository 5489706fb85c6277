package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
)

// isReleased reports whether no instance has a statement in flight or a connection in
// use.
func (h *harness) isReleased() bool {
	for _, instance := range h.instances.All() {
		if instance.window.Reading().InFlight != 0 || len(instance.idle) != len(instance.conns) {
			return false
		}
	}
	return true
}

// answerAfterDisconnect answers the writes that were in flight when a client
// disconnected, and the rollbacks that follow.
func (h *harness) answerAfterDisconnect(inFlight []Send) {
	for _, send := range inFlight {
		if !send.Conn.IsClosed() {
			h.answerSend(send, lineproto.StateIdle, done("late"))
		}
	}
	for len(h.sends) > 0 {
		send := h.nextSend()
		So(formatCommands(send), ShouldEqual, "rollback")
		h.answerSend(send, lineproto.StateIdle, done("-"))
	}
}

func TestClientLost(t *testing.T) {
	states := []struct {
		name    string
		queries []Query
		// answeredSends is the number of writes to instances that are answered
		// before the client disconnects.
		answeredSends int
	}{
		{"while idle", nil, 0},
		{"after a begin", []Query{begin()}, 0},
		{"with a write in flight", []Query{write("1")}, 0},
		{"with a read in flight", []Query{read("1")}, 0},
		{"with a begin in flight", []Query{begin(), write("1")}, 0},
		{"with a statement of a transaction in flight", []Query{begin(), write("1")}, 1},
		{"idle in a transaction", []Query{begin(), write("1")}, 2},
		{"with a commit in flight", []Query{begin(), commit()}, 1},
		{"with pipelined queries", []Query{write("1"), write("2"), write("3")}, 0},
	}
	for _, state := range states {
		for _, leased := range []bool{true, false} {
			Convey("A client that disconnects "+state.name+" leaves no statement in flight and no connection in use", t, func() {
				h := newHarness(20)
				client := h.client("strict")
				if !leased {
					h.advance(1700 * time.Millisecond)
				}
				for _, query := range state.queries {
					h.query(client, query)
				}
				for answered := 0; answered < state.answeredSends && len(h.sends) > 0; answered++ {
					h.answerSend(h.nextSend(), lineproto.StateInTransaction, done("-"))
				}
				responsesBefore := h.responseCount(client)
				inFlight := h.sends
				h.sends = nil
				h.ClientLost(client, h.now)
				h.applyEffects()
				So(h.invariantViolation(), ShouldEqual, "")
				h.answerAfterDisconnect(inFlight)
				h.advanceInTicks(200 * time.Millisecond)
				So(h.responseCount(client), ShouldEqual, responsesBefore)
				So(h.Clients(), ShouldEqual, 0)
				So(h.sends, ShouldBeEmpty)
				So(h.invariantViolation(), ShouldEqual, "")
				So(h.isReleased(), ShouldBeTrue)
			})
		}
	}
	Convey("A client that disconnects before its connect request gets no response", t, func() {
		h := newHarness(20)
		client := h.Accept(nil, h.now)
		h.ClientLost(client, h.now)
		h.Connect(client, "strict", h.now)
		h.query(client, read("1"))
		So(h.responseCount(client), ShouldEqual, 0)
		So(h.invariantViolation(), ShouldEqual, "")
	})
	Convey("A client that disconnects with an unconfirmed commit gets no response to it", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, write("1"))
		h.advance(1700 * time.Millisecond)
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("w"))
		h.ClientLost(client, h.now)
		h.applyEffects()
		So(h.invariantViolation(), ShouldEqual, "")
		h.advanceInTicks(100 * time.Millisecond)
		So(h.responseCount(client), ShouldEqual, 1)
	})
	Convey("A connection whose pending answer was abandoned is closed after the abandoned timeout", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, read("1"))
		send := h.nextSend()
		h.ClientLost(client, h.now)
		h.advanceInTicks(11 * time.Second)
		So(send.Conn.IsClosed(), ShouldBeTrue)
		So(h.instance("a").window.Reading().InFlight, ShouldEqual, 0)
	})
}
