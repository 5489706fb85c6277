package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
)

func TestDrain(t *testing.T) {
	Convey("A draining node is unready at once, serves for the linger time, and then closes sessions as they become idle", t, func() {
		h := newHarness(20)
		isReady, _ := h.Ready(h.now)
		So(isReady, ShouldBeTrue)
		idle, busy := h.client("strict"), h.client("strict")
		h.Drain(h.now)
		isReady, reason := h.Ready(h.now)
		So(isReady, ShouldBeFalse)
		So(reason, ShouldEqual, "stopping")
		h.advanceInTicks(2200 * time.Millisecond)
		So(h.closedClients[idle], ShouldBeFalse)
		h.query(busy, write("1"))
		send := h.nextSend()
		h.advanceInTicks(200 * time.Millisecond)
		So(h.closedClients[idle], ShouldBeTrue)
		So(h.closedClients[busy], ShouldBeFalse)
		h.answerSend(send, lineproto.StateIdle, done("w"))
		So(h.lastResponse(busy), ShouldEqual, "DONE w / READY I")
		h.advanceInTicks(50 * time.Millisecond)
		So(h.closedClients[busy], ShouldBeTrue)
		So(h.IsDrained(), ShouldBeTrue)
	})
	Convey("An open transaction may continue after the linger time, and is later rolled back if it is idle", t, func() {
		h := newHarness(20)
		client, other := h.client("strict"), h.client("strict")
		for _, transactionClient := range []*Client{client, other} {
			h.query(transactionClient, begin())
			h.query(transactionClient, write("1"))
			h.answerSend(h.answerBegin(), lineproto.StateInTransaction, done("w"))
		}
		h.Drain(h.now)
		h.advanceInTicks(2500 * time.Millisecond)
		So(h.closedClients[client], ShouldBeFalse)
		h.query(client, commit())
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("k"))
		So(h.lastResponse(client), ShouldEqual, "DONE k / READY I")
		h.advanceInTicks(500 * time.Millisecond)
		So(h.closedClients[client], ShouldBeTrue)
		So(h.closedClients[other], ShouldBeTrue)
		So(formatCommands(h.nextSend()), ShouldEqual, "rollback")
		So(h.IsDrained(), ShouldBeTrue)
	})
	Convey("A session with a statement in flight is closed only at the end of the drain", t, func() {
		h := newHarness(20)
		h.snapshot.Sets[0].Bindings[0].Timeout = 8 * time.Second
		h.update(leaseDuration)
		client := h.client("strict")
		h.query(client, write("1"))
		h.Drain(h.now)
		h.advanceInTicks(5300 * time.Millisecond)
		So(h.closedClients[client], ShouldBeFalse)
		h.advanceInTicks(200 * time.Millisecond)
		So(h.closedClients[client], ShouldBeTrue)
		So(h.invariantViolation(), ShouldEqual, "")
	})
}
