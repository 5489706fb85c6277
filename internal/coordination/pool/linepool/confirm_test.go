package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

func TestConfirmation(t *testing.T) {
	ways := []struct {
		name string
		ask  func(h *harness, client *Client) Send
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
	for _, way := range ways {
		Convey("A "+way.name+" answered without a lease is told only when there is one again", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := way.ask(h, client)
			before := h.responseCount(client)
			h.advance(1650 * time.Millisecond)
			h.answerSend(send, lineproto.StateIdle, done("k"))
			So(h.responseCount(client), ShouldEqual, before)
			h.update(leaseDuration)
			So(h.lastResponse(client), ShouldEqual, "DONE k / READY I")
			So(h.invariantViolation(), ShouldEqual, "")
		})
		Convey("A "+way.name+" answered without a lease is unknown when its time is over", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := way.ask(h, client)
			h.advance(1650 * time.Millisecond)
			h.answerSend(send, lineproto.StateIdle, done("k"))
			h.advance(400 * time.Millisecond)
			So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(h.invariantViolation(), ShouldEqual, "")
		})
		Convey("A "+way.name+" answered without a lease is unknown when the term has moved since", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := way.ask(h, client)
			h.advance(1650 * time.Millisecond)
			h.answerSend(send, lineproto.StateIdle, done("k"))
			h.setWriter(model.PhaseOpen, "b", 4)
			So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(h.invariantViolation(), ShouldEqual, "")
		})
		Convey("A "+way.name+" answered after the term moved is never told kept", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := way.ask(h, client)
			h.setWriter(model.PhaseOpen, "b", 4)
			if !send.Conn.IsClosed() {
				h.answerSend(send, lineproto.StateIdle, done("k"))
			}
			So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(h.invariantViolation(), ShouldEqual, "")
		})
		Convey("A "+way.name+" answered in a closing term is told kept until the node says that it dropped the term, and its position goes along", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := way.ask(h, client)
			h.setWriter(model.PhaseClosing, "a", 3)
			h.logIndex = 150
			h.answerSend(send, lineproto.StateIdle, done("k"))
			So(h.lastResponse(client), ShouldEqual, "DONE k / READY I")
			So(h.HasStrandedCommits(h.now), ShouldBeFalse)
			So(h.UpdateRequest(h.now).HighWatermarks["x"], ShouldResemble, model.Position{Term: 3, Index: 150})
			So(h.invariantViolation(), ShouldEqual, "")
		})
		Convey("A "+way.name+" answered in a closing term after that word is unknown", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := way.ask(h, client)
			h.setWriter(model.PhaseClosing, "a", 3)
			h.UpdateRequest(h.now)
			h.answerSend(send, lineproto.StateIdle, done("k"))
			So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(h.invariantViolation(), ShouldEqual, "")
		})
		Convey("A "+way.name+" answered in a closing term without a lease is held, and unknown once that word is given", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := way.ask(h, client)
			before := h.responseCount(client)
			h.snapshot.Writers["x"] = model.WriterRole{Database: "x", Term: 3, Primary: "a", Phase: model.PhaseClosing, SyncReplication: true}
			h.update(100 * time.Millisecond)
			h.advance(1650 * time.Millisecond)
			if !send.Conn.IsClosed() {
				h.answerSend(send, lineproto.StateIdle, done("k"))
				So(h.responseCount(client), ShouldEqual, before)
			}
			h.UpdateRequest(h.now)
			h.advance(time.Millisecond)
			So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
		})
		Convey("A "+way.name+" answered in a term whose promotion is intended is unknown", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := way.ask(h, client)
			h.setWriter(model.PhasePromoting, "a", 3)
			if !send.Conn.IsClosed() {
				h.answerSend(send, lineproto.StateIdle, done("k"))
			}
			So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
		})
		Convey("A "+way.name+" that the instance refuses is told as it was refused, also when the term is closing", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := way.ask(h, client)
			h.setWriter(model.PhaseClosing, "a", 3)
			So(h.HasStrandedCommits(h.now), ShouldBeTrue)
			h.answerSend(send, lineproto.StateIdle, failure(lineproto.CodeReadOnly))
			So(h.lastResponse(client), ShouldEqual, "ERROR READONLY / READY I")
			So(h.HasStrandedCommits(h.now), ShouldBeFalse)
		})
		Convey("A "+way.name+" that is out when its term closes gets a short while, and is then unknown", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := way.ask(h, client)
			before := h.responseCount(client)
			h.setWriter(model.PhaseClosing, "a", 3)
			So(h.HasStrandedCommits(h.now), ShouldBeTrue)
			h.advance(100 * time.Millisecond)
			So(h.HasStrandedCommits(h.now), ShouldBeTrue)
			So(h.responseCount(client), ShouldEqual, before)
			h.advance(50 * time.Millisecond)
			So(h.HasStrandedCommits(h.now), ShouldBeFalse)
			So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(send.Conn.IsClosed(), ShouldBeTrue)
			So(h.invariantViolation(), ShouldEqual, "")
		})
	}
	Convey("What was told kept is in what the node tells the control primary", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.logIndex = 140
		h.query(client, write("1"))
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("w"))
		So(h.UpdateRequest(h.now).HighWatermarks["x"], ShouldResemble, model.Position{Term: 3, Index: 140})
		So(h.Observations(h.now).HighWatermarks["x"], ShouldResemble, model.Position{Term: 3, Index: 140})
	})
}
