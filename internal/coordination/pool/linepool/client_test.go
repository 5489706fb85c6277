package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
)

func TestClientLost(t *testing.T) {
	steps := []struct {
		name string
		asks []Query
		goes int
	}{
		{"that has not connected", nil, -1},
		{"at rest", nil, 0},
		{"with a begin", []Query{begin()}, 0},
		{"with a write out", []Query{write("1")}, 0},
		{"with a read out", []Query{read("1")}, 0},
		{"with a begin out", []Query{begin(), write("1")}, 0},
		{"with a statement inside out", []Query{begin(), write("1")}, 1},
		{"resting inside", []Query{begin(), write("1")}, 2},
		{"with a commit out", []Query{begin(), commit()}, 1},
		{"with more sent ahead", []Query{write("1"), write("2"), write("3")}, 0},
	}
	for _, step := range steps {
		for _, leased := range []bool{true, false} {
			Convey("A client that disconnects "+step.name+" leaves nothing behind", t, func() {
				h := newHarness(20)
				if step.goes < 0 {
					client := h.Accept(nil, h.now)
					h.ClientLost(client, h.now)
					h.Connect(client, "strict", h.now)
					h.query(client, read("1"))
					So(h.responseCount(client), ShouldEqual, 0)
					So(h.invariantViolation(), ShouldEqual, "")
					return
				}
				client := h.client("strict")
				if !leased {
					h.advance(1700 * time.Millisecond)
				}
				for _, query := range step.asks {
					h.query(client, query)
				}
				for at := 0; at < step.goes && len(h.sends) > 0; at++ {
					h.answerSend(h.nextSend(), lineproto.StateInTransaction, done("-"))
				}
				before := h.responseCount(client)
				out := h.sends
				h.sends = nil
				h.ClientLost(client, h.now)
				h.applyEffects()
				So(h.invariantViolation(), ShouldEqual, "")
				for _, send := range out {
					if !send.Conn.IsClosed() {
						h.answerSend(send, lineproto.StateIdle, done("late"))
					}
				}
				for len(h.sends) > 0 {
					send := h.nextSend()
					So(formatCommands(send), ShouldEqual, "rollback")
					h.answerSend(send, lineproto.StateIdle, done("-"))
				}
				h.advanceInTicks(200 * time.Millisecond)
				So(h.responseCount(client), ShouldEqual, before)
				So(h.Clients(), ShouldEqual, 0)
				So(h.sends, ShouldBeEmpty)
				So(h.invariantViolation(), ShouldEqual, "")
				for _, instance := range h.instances.All() {
					So(instance.window.Reading().InFlight, ShouldEqual, 0)
					So(len(instance.idle), ShouldEqual, len(instance.conns))
				}
			})
		}
	}
	Convey("A client that disconnects with an unconfirmed commit leaves nothing behind", t, func() {
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
