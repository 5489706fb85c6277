package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

func TestStrict(t *testing.T) {
	Convey("Strict reads and writes wait until the node has a lease", t, func() {
		for _, query := range []Query{read("1"), write("1")} {
			h := newHarness(20)
			client := h.client("strict")
			h.advance(1700 * time.Millisecond)
			h.query(client, query)
			So(h.sends, ShouldBeEmpty)
			h.update(leaseDuration)
			So(h.nextSend().target(), ShouldEqual, "a")
		}
	})
	Convey("A strict read is sent only in an open term, to its primary", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.setWriter(model.PhaseClosing, "a", 3)
		h.query(client, read("1"))
		So(h.sends, ShouldBeEmpty)
		h.setWriter(model.PhasePromoting, "a", 3)
		So(h.sends, ShouldBeEmpty)
		h.setWriter(model.PhaseOpen, "b", 4)
		So(h.nextSend().target(), ShouldEqual, "b")
	})
	Convey("A strict read in flight at a primary whose term closes is retried at the next primary, and the first answer is ignored", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, read("1"))
		old := h.nextSend()
		h.setWriter(model.PhaseClosing, "a", 3)
		h.answerSend(old, lineproto.StateIdle, done("old"))
		So(h.lastResponse(client), ShouldEqual, "READY I")
		h.setWriter(model.PhaseOpen, "b", 4)
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("new"))
		So(h.lastResponse(client), ShouldEqual, "DONE new / READY I")
		So(h.invariantViolation(), ShouldEqual, "")
	})
	Convey("A write waits while the term of a leaving primary is closing, and is sent to the next primary", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.registered("a").Leaving = true
		h.setWriter(model.PhaseClosing, "a", 3)
		h.query(client, write("1"))
		So(h.sends, ShouldBeEmpty)
		h.setWriter(model.PhaseOpen, "c", 4)
		So(h.nextSend().target(), ShouldEqual, "c")
	})
}

func TestHedgedReads(t *testing.T) {
	hedgedRead := func() (*harness, *Client, Send, Send) {
		h := newHarness(20)
		h.samplePosition()
		client := h.client("stale")
		h.query(client, read("1"))
		first := h.nextSend()
		h.advanceInTicks(120 * time.Millisecond)
		second := h.nextSend()
		So(second.target(), ShouldNotEqual, first.target())
		So(second.Commands[0].ID, ShouldEqual, first.Commands[0].ID)
		return h, client, first, second
	}
	checkNoneInFlight := func(h *harness) {
		for _, instance := range h.instances.All() {
			So(instance.window.Reading().InFlight, ShouldEqual, 0)
		}
		So(h.invariantViolation(), ShouldEqual, "")
	}
	Convey("The first answer to a slow read or its hedge is used, and the other is ignored", t, func() {
		for _, isFirst := range []bool{true, false} {
			h, client, send, other := hedgedRead()
			if !isFirst {
				send, other = other, send
			}
			h.answerSend(send, lineproto.StateIdle, done("won"))
			So(h.lastResponse(client), ShouldEqual, "DONE won / READY I")
			count := h.responseCount(client)
			h.answerSend(other, lineproto.StateIdle, row("late"), done("late"))
			So(h.responseCount(client), ShouldEqual, count)
			checkNoneInFlight(h)
		}
	})
	Convey("If one connection of a hedged read is lost, the other attempt is used; if both are lost, the read is retried", t, func() {
		h, client, send, other := hedgedRead()
		h.loseConn(send.Conn)
		So(h.sends, ShouldBeEmpty)
		h.answerSend(other, lineproto.StateIdle, done("s"))
		So(h.lastResponse(client), ShouldEqual, "DONE s / READY I")
		checkNoneInFlight(h)
		h, client, send, other = hedgedRead()
		h.loseConn(send.Conn)
		h.loseConn(other.Conn)
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("s"))
		So(h.lastResponse(client), ShouldEqual, "DONE s / READY I")
		checkNoneInFlight(h)
	})
	Convey("If one attempt of a hedged read is refused, the other attempt is used", t, func() {
		h, client, send, other := hedgedRead()
		h.answerSend(send, lineproto.StateIdle, failure(lineproto.CodeBusy))
		So(h.sends, ShouldBeEmpty)
		h.answerSend(other, lineproto.StateIdle, done("s"))
		So(h.lastResponse(client), ShouldEqual, "DONE s / READY I")
		checkNoneInFlight(h)
	})
	Convey("Writes, strict reads and reads in a transaction are not hedged", t, func() {
		for _, queries := range [][]Query{{write("1")}, {read("1")}, {begin(), read("1")}, {beginRead(), read("1")}} {
			for _, name := range []string{"strict", "stale"} {
				if name == "stale" && len(queries) == 1 && queries[0].Statement.Action == lineproto.ActionRead {
					continue
				}
				h := newHarness(20)
				h.samplePosition()
				client := h.client(name)
				for _, query := range queries {
					h.query(client, query)
				}
				if len(queries) > 1 {
					h.answerBegin()
				} else {
					h.nextSend()
				}
				h.advanceInTicks(500 * time.Millisecond)
				So(h.sends, ShouldBeEmpty)
				So(h.responseCount(client), ShouldEqual, len(queries))
			}
		}
	})
}
