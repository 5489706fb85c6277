package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/connquota"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

func TestWindows(t *testing.T) {
	Convey("The window of an instance is at most the node's connection quota", t, func() {
		h := newHarness(20)
		h.Tick(nodes(4), 1, h.now)
		So(h.instance("a").window.Reading().MaxWindow, ShouldEqual, 4)
		So(h.instance("a").quota, ShouldResemble, connquota.Quota{MaxIdle: 4, MaxOpen: 4})
		h.Tick(nodes(9), 1, h.now)
		So(h.instance("a").window.Reading().MaxWindow, ShouldEqual, 2)
		h.Tick(nodes(4), 1, h.now+30*time.Second)
		So(h.instance("a").window.Reading().MaxWindow, ShouldEqual, 2)
		h.Tick(nodes(4), 1, h.now+100*time.Second)
		So(h.instance("a").window.Reading().MaxWindow, ShouldEqual, 4)
	})
	Convey("Statements beyond the window are queued by priority, and sent as answers arrive", t, func() {
		h := newHarness(20)
		var clients []*Client
		for range 4 {
			clients = append(clients, h.client("strict"))
		}
		urgent := h.client("urgent")
		for _, client := range clients {
			h.query(client, read("1"))
		}
		h.query(urgent, read("now"))
		So(len(h.sends), ShouldEqual, 2)
		So(h.instance("a").window.Reading().InFlight, ShouldEqual, 2)
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("s"))
		So(len(h.sends), ShouldEqual, 2)
		So(formatCommands(h.sends[1]), ShouldEqual, "read now")
		for len(h.sends) > 0 {
			h.answerSend(h.nextSend(), lineproto.StateIdle, done("s"))
		}
		for _, client := range append(clients, urgent) {
			So(h.lastResponse(client), ShouldEqual, "DONE s / READY I")
		}
		So(h.instance("a").window.Reading().InFlight, ShouldEqual, 0)
	})
	Convey("A full queue rejects a statement with BUSY, which guarantees no effect", t, func() {
		h := newHarness(1)
		h.timing.MaxQueue = 2
		var last *Client
		for range 4 {
			last = h.client("strict")
			h.query(last, read("1"))
		}
		So(h.lastResponse(last), ShouldEqual, "ERROR BUSY / READY I")
		So(h.invariantViolation(), ShouldEqual, "")
	})
	Convey("The node opens no more connections than its quota", t, func() {
		h := newHarness(8)
		for range 12 {
			client := h.client("strict")
			h.query(client, begin())
			h.query(client, write("1"))
			for len(h.sends) > 0 {
				send := h.nextSend()
				h.answerSend(send, lineproto.StateInTransaction, resultOfCommand(send.Commands[len(send.Commands)-1]))
			}
		}
		So(len(h.instance("a").conns), ShouldEqual, 4)
		So(h.invariantViolation(), ShouldEqual, "")
	})
	Convey("The queues of two databases do not wait for each other", t, func() {
		h := newHarness(1)
		client, other := h.client("strict"), h.client("other")
		h.query(client, read("1"))
		h.query(other, read("2"))
		So(h.nextSend().target(), ShouldEqual, "a")
		So(h.nextSend().target(), ShouldEqual, "d")
	})
}

// expectReadsAtPrimary checks that reads that a replica could answer go to the primary.
func (h *harness) expectReadsAtPrimary() {
	for range 4 {
		client := h.client("stale")
		h.query(client, read("1"))
		send := h.nextSend()
		So(send.target(), ShouldEqual, "a")
		h.answerSend(send, lineproto.StateIdle, done("s"))
	}
}

func TestLeavingInstances(t *testing.T) {
	Convey("A draining replica receives no new reads, and its idle connections are closed", t, func() {
		h := newHarness(20)
		h.samplePosition()
		h.registered("b").Leaving = true
		h.registered("c").Leaving = true
		h.update(leaseDuration)
		h.expectReadsAtPrimary()
		So(len(h.instance("b").conns)+len(h.instance("c").conns), ShouldEqual, 0)
	})
	// Guards against reads at an instance whose leave a new control primary acknowledged
	// without knowing it.
	Convey("A replica of which the control primary knows only that it has stopped receives no new reads, and an unknown one is ignored", t, func() {
		h := newHarness(20)
		h.samplePosition()
		for _, name := range []string{"b", "c", "unknown"} {
			h.UpdateInstance(model.Instance{Name: name, SyncReplication: true, Leaving: true, Stopped: true}, h.now)
		}
		h.expectReadsAtPrimary()
		So(h.instance("b").info.Address, ShouldEqual, "b:1")
		So(h.instance("unknown"), ShouldBeNil)
		So(h.databases.Get(""), ShouldBeNil)
	})
	Convey("A draining primary receives strict statements on its existing connections until its term closes", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, write("1"))
		first := h.nextSend()
		h.answerSend(first, lineproto.StateIdle, done("w"))
		h.registered("a").Leaving = true
		h.update(leaseDuration)
		for range 3 {
			h.query(client, write("2"))
			send := h.nextSend()
			So(send.Conn, ShouldEqual, first.Conn)
			h.answerSend(send, lineproto.StateIdle, done("w"))
		}
		h.setWriter(model.PhaseClosing, "a", 3)
		So(len(h.instance("a").conns), ShouldEqual, 0)
	})
	Convey("A primary that was draining before it was reported to the node receives strict statements for a shorter time", t, func() {
		h := newHarness(20)
		late := newHarness(20)
		late.registry[0].Leaving = true
		late.Machine = New(Node{Name: "d2", Zone: "za", Incarnation: 1, Weight: 1}, DefaultTiming(), lease.DefaultTiming(), func(string, int64) {})
		late.update(1600 * time.Millisecond)
		client := late.client("strict")
		late.query(client, write("1"))
		late.answerSend(late.nextSend(), lineproto.StateIdle, done("w"))
		late.advanceInTicks(2100 * time.Millisecond)
		late.query(client, write("2"))
		So(late.sends, ShouldBeEmpty)
		h.registry[0].Leaving = true
		h.update(leaseDuration)
		h.advanceInTicks(2100 * time.Millisecond)
		h.query(h.client("strict"), write("1"))
		So(len(h.sends), ShouldEqual, 1)
	})
	Convey("A primary whose drain window is over receives no more statements, even if its term is open", t, func() {
		h := newHarness(20)
		client, inTransaction := h.client("strict"), h.client("strict")
		h.query(inTransaction, begin())
		h.query(inTransaction, write("1"))
		h.answerSend(h.answerBegin(), lineproto.StateInTransaction, done("w"))
		h.registered("a").Leaving = true
		h.update(leaseDuration)
		for range 2 {
			h.advanceInTicks(2400 * time.Millisecond)
			h.query(inTransaction, read("2"))
			h.answerSend(h.nextSend(), lineproto.StateInTransaction, done("w"))
		}
		h.advanceInTicks(300 * time.Millisecond)
		for _, query := range []Query{read("3"), write("4")} {
			h.query(client, query)
			So(h.sends, ShouldBeEmpty)
			h.advanceInTicks(2100 * time.Millisecond)
			So(h.lastResponse(client), ShouldEqual, "ERROR BUSY / READY I")
		}
		h.query(inTransaction, commit())
		So(h.lastResponse(inTransaction), ShouldEqual, "ERROR ABORTED / READY I")
		So(len(h.instance("a").conns), ShouldEqual, 0)
	})
	Convey("A statement in flight at a draining instance is answered, and its connection is not reused", t, func() {
		h := newHarness(20)
		h.samplePosition()
		client := h.client("stale")
		h.query(client, read("1"))
		send := h.nextSend()
		h.registered(send.target()).Leaving = true
		h.update(leaseDuration)
		h.answerSend(send, lineproto.StateIdle, done("s"))
		So(h.lastResponse(client), ShouldEqual, "DONE s / READY I")
		So(send.Conn.IsClosed(), ShouldBeTrue)
	})
	Convey("A transaction at a draining instance continues until the drain window is over", t, func() {
		h := newHarness(20)
		h.samplePosition()
		client := h.client("stale")
		h.query(client, beginRead())
		h.query(client, read("1"))
		send := h.answerBegin()
		h.answerSend(send, lineproto.StateInTransaction, done("s"))
		h.registered(send.target()).Leaving = true
		h.update(leaseDuration)
		h.query(client, read("2"))
		h.answerSend(h.nextSend(), lineproto.StateInTransaction, done("s2"))
		So(h.lastResponse(client), ShouldEqual, "DONE s2 / READY T")
		for range 3 {
			h.advanceInTicks(2 * time.Second)
			h.query(client, read("3"))
			for len(h.sends) > 0 {
				h.answerSend(h.nextSend(), lineproto.StateInTransaction, done("s3"))
			}
		}
		So(send.Conn.IsClosed(), ShouldBeTrue)
		So(h.lastResponse(client), ShouldEqual, "ERROR ABORTED / READY E")
	})
	Convey("A stopped instance is not used", t, func() {
		h := newHarness(20)
		h.samplePosition()
		h.registered("b").Stopped = true
		h.registered("c").Stopped = true
		h.update(leaseDuration)
		h.query(h.client("stale"), read("1"))
		So(h.nextSend().target(), ShouldEqual, "a")
	})
}
