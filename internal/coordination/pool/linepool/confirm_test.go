package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

func TestConfirmation(t *testing.T) {
	operations := []struct {
		name string
		run  func(h *harness, client *Client) Send
	}{
		{"single write", func(h *harness, client *Client) Send {
			h.query(client, write("1"))
			return h.nextSend()
		}},
		{"commit", func(h *harness, client *Client) Send {
			h.query(client, begin())
			h.query(client, write("1"))
			h.answerSend(h.answerBegin(), lineproto.StateInTransaction, done("w"))
			h.query(client, commit())
			return h.nextSend()
		}},
	}
	for _, operation := range operations {
		Convey("A "+operation.name+" answered without a lease is confirmed only after the node regains a lease", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := operation.run(h, client)
			responsesBefore := h.responseCount(client)
			h.advance(1650 * time.Millisecond)
			h.answerSend(send, lineproto.StateIdle, done("k"))
			So(h.responseCount(client), ShouldEqual, responsesBefore)
			h.update(leaseDuration)
			So(h.lastResponse(client), ShouldEqual, "DONE k / READY I")
			So(h.invariantViolation(), ShouldEqual, "")
		})
		Convey("A "+operation.name+" answered without a lease ends with UNKNOWN at its deadline", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := operation.run(h, client)
			h.advance(1650 * time.Millisecond)
			h.answerSend(send, lineproto.StateIdle, done("k"))
			h.advance(400 * time.Millisecond)
			So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(h.invariantViolation(), ShouldEqual, "")
		})
		Convey("A "+operation.name+" answered without a lease ends with UNKNOWN if the term has changed when the lease returns", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := operation.run(h, client)
			h.advance(1650 * time.Millisecond)
			h.answerSend(send, lineproto.StateIdle, done("k"))
			h.setWriter(model.PhaseOpen, "b", 4)
			So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(h.invariantViolation(), ShouldEqual, "")
		})
		Convey("A "+operation.name+" answered after the term changed ends with UNKNOWN", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := operation.run(h, client)
			h.setWriter(model.PhaseOpen, "b", 4)
			if !send.Conn.IsClosed() {
				h.answerSend(send, lineproto.StateIdle, done("k"))
			}
			So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(h.invariantViolation(), ShouldEqual, "")
		})
		Convey("A "+operation.name+" answered in a closing term before the node reports the close is confirmed, and the report contains its position", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := operation.run(h, client)
			h.setWriter(model.PhaseClosing, "a", 3)
			h.logIndex = 150
			h.answerSend(send, lineproto.StateIdle, done("k"))
			So(h.lastResponse(client), ShouldEqual, "DONE k / READY I")
			So(h.HasStrandedCommits(h.now), ShouldBeFalse)
			So(h.UpdateRequest(h.now).HighWatermarks["x"], ShouldResemble, model.Position{Term: 3, Index: 150})
			So(h.invariantViolation(), ShouldEqual, "")
		})
		Convey("A "+operation.name+" answered in a closing term after the node reported the close ends with UNKNOWN", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := operation.run(h, client)
			h.setWriter(model.PhaseClosing, "a", 3)
			h.UpdateRequest(h.now)
			h.answerSend(send, lineproto.StateIdle, done("k"))
			So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(h.invariantViolation(), ShouldEqual, "")
		})
		Convey("A "+operation.name+" answered in a closing term without a lease is pending, and ends with UNKNOWN after the node reports the close", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := operation.run(h, client)
			responsesBefore := h.responseCount(client)
			h.snapshot.Writers["x"] = model.WriterRole{Database: "x", Term: 3, Primary: "a", Phase: model.PhaseClosing, SyncReplication: true}
			h.update(100 * time.Millisecond)
			h.advance(1650 * time.Millisecond)
			if !send.Conn.IsClosed() {
				h.answerSend(send, lineproto.StateIdle, done("k"))
				So(h.responseCount(client), ShouldEqual, responsesBefore)
			}
			h.UpdateRequest(h.now)
			h.advance(time.Millisecond)
			So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
		})
		Convey("A "+operation.name+" answered while another instance is being promoted ends with UNKNOWN", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := operation.run(h, client)
			h.setWriter(model.PhasePromoting, "a", 3)
			if !send.Conn.IsClosed() {
				h.answerSend(send, lineproto.StateIdle, done("k"))
			}
			So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
		})
		Convey("A "+operation.name+" that the instance refuses in a closing term is answered with the refusal", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := operation.run(h, client)
			h.setWriter(model.PhaseClosing, "a", 3)
			So(h.HasStrandedCommits(h.now), ShouldBeTrue)
			h.answerSend(send, lineproto.StateIdle, failure(lineproto.CodeReadOnly))
			So(h.lastResponse(client), ShouldEqual, "ERROR READONLY / READY I")
			So(h.HasStrandedCommits(h.now), ShouldBeFalse)
		})
		Convey("A "+operation.name+" in flight when its term closes ends with UNKNOWN after the closing grace", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := operation.run(h, client)
			responsesBefore := h.responseCount(client)
			h.setWriter(model.PhaseClosing, "a", 3)
			So(h.HasStrandedCommits(h.now), ShouldBeTrue)
			h.advance(100 * time.Millisecond)
			So(h.HasStrandedCommits(h.now), ShouldBeTrue)
			So(h.responseCount(client), ShouldEqual, responsesBefore)
			h.advance(50 * time.Millisecond)
			So(h.HasStrandedCommits(h.now), ShouldBeFalse)
			So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(send.Conn.IsClosed(), ShouldBeTrue)
			So(h.invariantViolation(), ShouldEqual, "")
		})
	}
	Convey("The node's reports contain the position of a confirmed commit", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.logIndex = 140
		h.query(client, write("1"))
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("w"))
		So(h.UpdateRequest(h.now).HighWatermarks["x"], ShouldResemble, model.Position{Term: 3, Index: 140})
		So(h.Observations(h.now).HighWatermarks["x"], ShouldResemble, model.Position{Term: 3, Index: 140})
	})
}
