package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
)

// readyAt returns a ready message with a position.
func (h *harness) readyAt(state byte, index uint64) lineproto.Message {
	ready := h.readyIn(state)
	ready.Position.Index = index
	return ready
}

func TestUnprovenAnswers(t *testing.T) {
	// Guards against answers that may be repetitions, or parts of several answers, and
	// are accepted (MIXED, REFUSED).
	Convey("A second error on a connection answers no commit", t, func() {
		h := newHarness(1)
		client := h.client("strict")
		h.query(client, begin())
		h.query(client, read("1"))
		send := h.answerBegin()
		failed := []lineproto.Message{failure(lineproto.CodeFailed), h.readyIn(lineproto.StateInTransaction)}
		h.receive(send.Conn, failed...)
		So(h.lastResponse(client), ShouldEqual, "ERROR FAILED / READY T")
		h.query(client, commit())
		h.receive(send.Conn, failed...)
		So(send.Conn.IsClosed(), ShouldBeTrue)
		So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
	})
	Convey("A success in a state that the statement does not leave closes the connection", t, func() {
		h := newHarness(1)
		client := h.client("strict")
		h.query(client, begin())
		h.query(client, write("1"))
		send := h.answerBegin()
		h.receive(send.Conn, done("s"), h.readyIn(lineproto.StateIdle))
		So(send.Conn.IsClosed(), ShouldBeTrue)
		So(h.lastResponse(client), ShouldEqual, "ERROR ABORTED / READY E")
		So(h.invariantViolation(), ShouldEqual, "")
	})
	Convey("A success at a position behind an earlier one of the connection closes the connection", t, func() {
		h := newHarness(1)
		client := h.client("strict")
		h.query(client, write("1"))
		send := h.nextSend()
		h.receive(send.Conn, done("s"), h.readyAt(lineproto.StateIdle, h.logIndex-1))
		So(send.Conn.IsClosed(), ShouldBeTrue)
		So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
	})
	Convey("A result that arrived before the statement was sent is not its answer", t, func() {
		h := newHarness(1)
		client := h.client("strict")
		h.query(client, write("1"))
		conn, _ := h.answerInFull([]lineproto.Message{done("s1")})
		h.receive(conn, done("s2"))
		h.query(client, write("2"))
		h.receive(conn, h.readyIn(lineproto.StateIdle))
		So(conn.IsClosed(), ShouldBeTrue)
		So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
	})
	Convey("A result without a stamp is no answer to a statement", t, func() {
		h := newHarness(1)
		client := h.client("strict")
		h.query(client, write("1"))
		send := h.nextSend()
		h.receive(send.Conn, done("-"), h.readyIn(lineproto.StateIdle))
		So(send.Conn.IsClosed(), ShouldBeTrue)
		So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
	})
	Convey("A row that arrives again before the next statement is sent leaves the connection open", t, func() {
		h := newHarness(1)
		client := h.client("strict")
		h.query(client, read("1"))
		conn, answer := h.answerInFull([]lineproto.Message{row("r1"), done("s1")})
		h.receive(conn, answer[0])
		h.query(client, read("2"))
		h.receive(conn, row("r2"), done("s2"), h.readyIn(lineproto.StateIdle))
		So(conn.IsClosed(), ShouldBeFalse)
		So(h.lastResponse(client), ShouldEqual, "ROW r2 / DONE s2 / READY I")
	})
	Convey("A stamp is recognized until the window of repetitions has passed", t, func() {
		h := newHarness(1)
		client := h.client("strict")
		h.query(client, read("1"))
		conn, answer := h.answerInFull([]lineproto.Message{done("s1")})
		h.now += repetitionWindow
		h.query(client, read("2"))
		h.receive(conn, answer...)
		So(h.lastResponse(client), ShouldEqual, "DONE s1 / READY I")
		h.receive(conn, done("s2"), h.readyIn(lineproto.StateIdle))
		So(h.lastResponse(client), ShouldEqual, "DONE s2 / READY I")
		So(h.counts["answers_repeated"], ShouldEqual, 1)
	})
}

// endTransactionOn runs a transaction of a client, rolls it back, and returns its
// connection and the acknowledgment of its BEGIN.
func (h *harness) endTransactionOn(client *Client) (*Conn, []lineproto.Message) {
	h.query(client, begin())
	h.query(client, read("1"))
	send := h.answerBegin()
	begun := []lineproto.Message{done("-"), h.readyIn(lineproto.StateInTransaction)}
	h.receive(send.Conn, done("s1"), h.readyIn(lineproto.StateInTransaction))
	h.query(client, rollback())
	h.answerSend(h.nextSend(), lineproto.StateIdle, done("-"))
	return send.Conn, begun
}

func TestUnprovenErrors(t *testing.T) {
	// Guards against a repeated promise that nothing is kept (REFUSED), and against
	// connections that are opened for each error of a busy instance, and keep it busy.
	busy := func(h *harness) []lineproto.Message {
		return []lineproto.Message{failure(lineproto.CodeBusy), h.readyIn(lineproto.StateIdle)}
	}
	Convey("After an error a connection serves reads, and the same error on it closes it and retries the read", t, func() {
		h := newHarness(1)
		client := h.client("strict")
		h.query(client, read("1"))
		send := h.nextSend()
		h.receive(send.Conn, busy(h)...)
		So(send.Conn.IsClosed(), ShouldBeFalse)
		h.advanceInTicks(50 * time.Millisecond)
		retried := h.nextSend()
		So(retried.Conn, ShouldEqual, send.Conn)
		h.receive(retried.Conn, busy(h)...)
		So(retried.Conn.IsClosed(), ShouldBeTrue)
		So(h.lastResponse(client), ShouldEqual, "READY I")
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("s"))
		So(h.lastResponse(client), ShouldEqual, "DONE s / READY I")
	})
	Convey("A single write runs on a connection with an error only after a statement that was sent later has been answered", t, func() {
		for _, testCase := range []struct {
			pause, pauseAfterRead time.Duration
			same                  bool
		}{
			{0, 0, false},
			{0, 2 * repetitionWindow, false},
			{repetitionWindow + 1, 0, true},
		} {
			h := newHarness(1)
			client := h.client("strict")
			h.query(client, write("1"))
			send := h.nextSend()
			h.receive(send.Conn, busy(h)...)
			So(h.lastResponse(client), ShouldEqual, "ERROR BUSY / READY I")
			h.now += testCase.pause
			h.update(leaseDuration)
			h.query(client, read("1"))
			h.now += testCase.pauseAfterRead
			h.update(leaseDuration)
			h.answerSend(h.nextSend(), lineproto.StateIdle, done("s"))
			h.query(client, write("2"))
			So(h.nextSend().Conn == send.Conn, ShouldEqual, testCase.same)
		}
	})
	Convey("An error that arrives again after a stall is not the answer to a write", t, func() {
		h := newHarness(1)
		client := h.client("strict")
		h.query(client, write("1"))
		send := h.nextSend()
		h.receive(send.Conn, busy(h)...)
		h.now += 10 * repetitionWindow
		h.update(leaseDuration)
		h.query(client, write("2"))
		h.receive(send.Conn, busy(h)...)
		So(h.lastResponse(client), ShouldEqual, "ERROR BUSY / READY I")
		So(h.responseCount(client), ShouldEqual, 2)
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("s2"))
		So(h.lastResponse(client), ShouldEqual, "DONE s2 / READY I")
	})
	Convey("A connection with many different errors is closed", t, func() {
		h := newHarness(1)
		client := h.client("strict")
		var conn *Conn
		for number := range maxErrors {
			h.query(client, read("1"))
			send := h.nextSend()
			So(conn == nil || send.Conn == conn, ShouldBeTrue)
			conn = send.Conn
			failed := failure(lineproto.CodeOther)
			failed.Payload += " " + time.Duration(number).String()
			h.receive(conn, failed, h.readyIn(lineproto.StateIdle))
		}
		So(conn.IsClosed(), ShouldBeTrue)
	})
	Convey("An error that is sent again while no statement waits is dropped, and another one closes the connection", t, func() {
		h := newHarness(1)
		client := h.client("strict")
		h.query(client, write("1"))
		send := h.nextSend()
		h.receive(send.Conn, busy(h)...)
		h.receive(send.Conn, busy(h)...)
		So(send.Conn.IsClosed(), ShouldBeFalse)
		h.receive(send.Conn, failure(lineproto.CodeFailed))
		So(send.Conn.IsClosed(), ShouldBeTrue)
	})
	Convey("An error that is sent again in a later transaction aborts it, and never answers its commit", t, func() {
		h := newHarness(1)
		client := h.client("strict")
		h.query(client, read("1"))
		send := h.nextSend()
		h.receive(send.Conn, failure(lineproto.CodeOther), h.readyIn(lineproto.StateIdle))
		h.query(client, begin())
		h.query(client, write("1"))
		statement := h.answerBegin()
		So(statement.Conn, ShouldEqual, send.Conn)
		h.receive(send.Conn, done("s"), h.readyIn(lineproto.StateInTransaction))
		h.query(client, commit())
		h.receive(send.Conn, failure(lineproto.CodeOther), h.readyIn(lineproto.StateIdle))
		So(send.Conn.IsClosed(), ShouldBeTrue)
		So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
	})
}

func TestUnprovenBegins(t *testing.T) {
	// Guards against a statement that is sent although its BEGIN may not have been
	// acknowledged (PINNED, UNASKED).
	Convey("A transaction begins on another connection while acknowledgments at its position may be repeated", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		conn, _ := h.endTransactionOn(client)
		h.query(client, begin())
		h.query(client, write("2"))
		So(h.nextSend().Conn, ShouldNotEqual, conn)
	})
	Convey("A transaction begins on the same connection after the window of repetitions, or at a later position", t, func() {
		for _, moved := range []bool{true, false} {
			h := newHarness(20)
			client := h.client("strict")
			conn, _ := h.endTransactionOn(client)
			if moved {
				h.logIndex++
				h.query(client, write("1"))
				h.answerSend(h.nextSend(), lineproto.StateIdle, done("s"))
			} else {
				h.now += repetitionWindow + 1
			}
			h.query(client, begin())
			h.query(client, write("2"))
			So(h.nextSend().Conn, ShouldEqual, conn)
		}
	})
	Convey("An acknowledgment at the position of an earlier one begins no transaction and closes the connection", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		conn, begun := h.endTransactionOn(client)
		h.logIndex++
		h.query(client, write("1"))
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("s"))
		h.query(client, begin())
		h.query(client, write("2"))
		So(h.nextSend().Conn, ShouldEqual, conn)
		h.receive(conn, begun...)
		So(conn.IsClosed(), ShouldBeTrue)
		statement := h.answerBegin()
		So(formatCommands(statement), ShouldEqual, "write 2")
		h.answerSend(statement, lineproto.StateInTransaction, done("s2"))
		So(h.lastResponse(client), ShouldEqual, "DONE s2 / READY T")
	})
	Convey("A repeated acknowledgment outside a transaction does not refuse a BEGIN", t, func() {
		h := newHarness(1)
		client := h.client("strict")
		h.query(client, set("v", "1"))
		h.query(client, read("1"))
		send := h.nextSend()
		acknowledgment := []lineproto.Message{done("-"), h.readyIn(lineproto.StateIdle)}
		h.receive(send.Conn, append(acknowledgment, done("s"), h.readyIn(lineproto.StateIdle))...)
		h.query(client, begin())
		h.query(client, write("2"))
		begins := h.nextSend()
		h.receive(begins.Conn, acknowledgment...)
		So(begins.Conn.IsClosed(), ShouldBeFalse)
		h.receive(begins.Conn, done("-"), h.readyIn(lineproto.StateInTransaction))
		So(formatCommands(h.nextSend()), ShouldEqual, "write 2")
	})
	Convey("A repeated acknowledgment inside a transaction does not end the rollback", t, func() {
		h := newHarness(1)
		client := h.client("strict")
		h.query(client, begin())
		h.query(client, read("1"))
		send := h.answerBegin()
		begun := []lineproto.Message{done("-"), h.readyIn(lineproto.StateInTransaction)}
		h.receive(send.Conn, done("s"), h.readyIn(lineproto.StateInTransaction))
		h.query(client, rollback())
		h.receive(send.Conn, begun...)
		So(send.Conn.IsClosed(), ShouldBeFalse)
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("-"))
		h.query(client, read("2"))
		So(h.nextSend().Conn, ShouldEqual, send.Conn)
	})
	Convey("Without room for another connection, an idle one gives way to one that can begin the transaction", t, func() {
		h := newHarness(1)
		client := h.client("strict")
		conn, _ := h.endTransactionOn(client)
		h.query(client, begin())
		h.query(client, write("2"))
		So(conn.IsClosed(), ShouldBeTrue)
		So(formatCommands(h.nextSend()), ShouldEqual, "begin")
	})
}
