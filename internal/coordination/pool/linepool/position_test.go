package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

func TestMinPositions(t *testing.T) {
	Convey("Without a position sample, a bounded read is sent to the primary without a minimum position", t, func() {
		h := newHarness(20)
		client := h.client("stale")
		h.query(client, read("1"))
		send := h.nextSend()
		So(send.target(), ShouldEqual, "a")
		So(send.minPosition(), ShouldResemble, model.Position{})
	})
	Convey("The minimum position comes from the primary's answer to a statement that was sent within the freshness bound", t, func() {
		h := newHarness(20)
		h.logIndex = 70
		h.samplePosition()
		h.advanceInTicks(time.Second)
		h.logIndex = 90
		h.samplePosition()
		client := h.client("stale")
		h.query(client, read("1"))
		send := h.nextSend()
		So(send.target(), ShouldNotEqual, "a")
		So(send.minPosition(), ShouldResemble, model.Position{Term: 3, Index: 70})
		h.answerSend(send, lineproto.StateIdle, done("s"))
		h.advanceInTicks(800 * time.Millisecond)
		h.query(client, read("2"))
		So(h.nextSend().minPosition(), ShouldResemble, model.Position{Term: 3, Index: 90})
		h.advanceInTicks(1200 * time.Millisecond)
		h.query(client, read("3"))
		So(h.nextSend().target(), ShouldEqual, "a")
	})
	Convey("The age of a sample is counted from when the statement was sent, not from when it was answered", t, func() {
		h := newHarness(20)
		slow, client := h.client("strict"), h.client("stale")
		h.query(slow, read("1"))
		send := h.nextSend()
		h.advanceInTicks(1450 * time.Millisecond)
		h.answerSend(send, lineproto.StateIdle, done("s"))
		h.query(client, read("2"))
		So(h.nextSend().target(), ShouldEqual, "a")
	})
	Convey("A session's own commits raise the minimum position of its read-your-writes reads, and not those of other sessions", t, func() {
		h := newHarness(20)
		h.logIndex = 70
		h.samplePosition()
		client, other := h.client("own"), h.client("own")
		h.logIndex = 80
		h.query(client, write("1"))
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("w"))
		h.advanceInTicks(time.Second)
		h.query(other, read("2"))
		So(h.nextSend().minPosition().Index, ShouldEqual, 70)
		h.query(client, read("3"))
		So(h.nextSend().minPosition().Index, ShouldEqual, 80)
	})
	Convey("A read-your-writes read is sent to the primary while replicas may not have the session's own commit", t, func() {
		h := newHarness(20)
		h.samplePosition()
		client := h.client("own")
		h.logIndex = 180
		h.query(client, write("1"))
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("w"))
		h.query(client, read("2"))
		So(h.nextSend().target(), ShouldEqual, "a")
	})
	Convey("An unconfirmed commit does not raise the minimum position", t, func() {
		h := newHarness(20)
		h.samplePosition()
		client := h.client("own")
		h.logIndex = 180
		h.query(client, write("1"))
		h.loseConn(h.nextSend().Conn)
		So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
		h.advanceInTicks(500 * time.Millisecond)
		h.query(client, read("2"))
		So(h.nextSend().minPosition().Index, ShouldEqual, 100)
	})
	Convey("A bounded transaction requires its minimum position only at its begin", t, func() {
		h := newHarness(20)
		h.samplePosition()
		client := h.client("stale")
		h.query(client, beginRead())
		h.query(client, read("1"))
		first := h.nextSend()
		So(formatCommands(first), ShouldEqual, "begin read")
		So(first.minPosition(), ShouldResemble, model.Position{Term: 3, Index: 100})
		h.answerSend(first, lineproto.StateInTransaction, done("-"))
		So(h.nextSend().minPosition(), ShouldResemble, model.Position{})
	})
	Convey("A replica that refuses a read because it lags is skipped, and the read is sent to another instance", t, func() {
		h := newHarness(20)
		h.samplePosition()
		client := h.client("stale")
		h.query(client, read("1"))
		first := h.nextSend()
		h.answerSend(first, lineproto.StateIdle, failure(lineproto.CodeLagging))
		second := h.nextSend()
		So(second.target(), ShouldNotEqual, first.target())
		h.answerSend(second, lineproto.StateIdle, failure(lineproto.CodeLagging))
		third := h.nextSend()
		So(third.target(), ShouldEqual, "a")
		h.answerSend(third, lineproto.StateIdle, done("s"))
		So(h.lastResponse(client), ShouldEqual, "DONE s / READY I")
	})
	Convey("A new term begins without the position samples of the earlier term", t, func() {
		h := newHarness(20)
		h.samplePosition()
		h.setWriter(model.PhaseClosing, "a", 3)
		h.setWriter(model.PhaseOpen, "b", 4)
		client := h.client("stale")
		h.query(client, read("1"))
		So(h.nextSend().target(), ShouldEqual, "b")
	})
	Convey("While a term is closed, bounded reads use the minimum position of the writer role", t, func() {
		h := newHarness(20)
		h.setWriter(model.PhaseClosing, "a", 3)
		h.snapshot.Writers["x"] = model.WriterRole{Database: "x", Term: 3, Primary: "a", Phase: model.PhasePromoting, SyncReplication: true, MinPosition: model.Position{Term: 3, Index: 55}}
		client := h.client("stale")
		h.query(client, read("1"))
		So(h.sends, ShouldBeEmpty)
		h.advanceInTicks(300 * time.Millisecond)
		send := h.nextSend()
		So(send.target(), ShouldNotEqual, "a")
		So(send.minPosition(), ShouldResemble, model.Position{Term: 3, Index: 55})
	})
}
