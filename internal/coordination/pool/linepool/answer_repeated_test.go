package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
)

// repeatedAnswers are answers that an instance has sent on a connection, with the query
// that each answers first.
var repeatedAnswers = []struct {
	name   string
	query  func() Query
	answer []lineproto.Message
}{
	{"success", func() Query { return read("1") }, []lineproto.Message{row("r1"), done("s1")}},
	{"success without rows", func() Query { return write("1") }, []lineproto.Message{done("s1")}},
	{"failure", func() Query { return write("1") }, []lineproto.Message{failure(lineproto.CodeFailed)}},
	{"promise", func() Query { return write("1") }, []lineproto.Message{failure(lineproto.CodeBusy)}},
}

// answerInFull answers the next write to an instance and returns its connection and the
// complete answer.
func (h *harness) answerInFull(answer []lineproto.Message) (*Conn, []lineproto.Message) {
	send := h.nextSend()
	complete := append(append([]lineproto.Message{}, answer...), h.readyIn(lineproto.StateIdle))
	h.receive(send.Conn, complete...)
	return send.Conn, complete
}

func TestRepeatedAnswers(t *testing.T) {
	// Guards against answers that an instance sends twice, and of which the second is
	// taken for the answer to the next statement on the connection (MIXED, REFUSED).
	Convey("An answer that is sent again does not answer the next statement of another client", t, func() {
		for _, testCase := range repeatedAnswers {
			for _, next := range []func() Query{func() Query { return read("2") }, func() Query { return write("2") }} {
				h := newHarness(1)
				first, second := h.client("strict"), h.client("strict")
				h.query(first, testCase.query())
				conn, answer := h.answerInFull(testCase.answer)
				h.query(second, next())
				send := h.nextSend()
				if send.Conn == conn {
					h.receive(conn, answer...)
					So(h.lastResponse(second), ShouldEqual, "READY I")
				}
				if send.Conn.IsClosed() {
					send = h.nextSend()
				}
				h.answerSend(send, lineproto.StateIdle, row("r2"), done("s2"))
				SoMsg(testCase.name, h.lastResponse(second), ShouldEqual, "ROW r2 / DONE s2 / READY I")
				So(h.invariantViolation(), ShouldEqual, "")
			}
		}
	})
	Convey("An answer that is sent again arrives in two parts, and the next statement is sent between them", t, func() {
		for _, testCase := range repeatedAnswers[:2] {
			for parted := range len(testCase.answer) + 1 {
				h := newHarness(1)
				first, second := h.client("strict"), h.client("strict")
				h.query(first, testCase.query())
				conn, answer := h.answerInFull(testCase.answer)
				h.receive(conn, answer[:parted]...)
				h.query(second, write("2"))
				h.receive(conn, answer[parted:]...)
				h.answerSend(h.nextSend(), lineproto.StateIdle, done("s2"))
				So(h.lastResponse(second), ShouldEqual, "DONE s2 / READY I")
			}
		}
	})
	Convey("Repeated acknowledgments of the session's state answer no statement", t, func() {
		h := newHarness(1)
		client := h.client("strict")
		h.query(client, set("v", "1"))
		h.query(client, read("1"))
		send := h.nextSend()
		So(formatCommands(send), ShouldEqual, "set v=1, read 1")
		acknowledgment := []lineproto.Message{done("-"), h.readyIn(lineproto.StateIdle)}
		h.receive(send.Conn, acknowledgment...)
		h.receive(send.Conn, acknowledgment...)
		So(h.lastResponse(client), ShouldEqual, "DONE - / READY I")
		h.receive(send.Conn, done("s1"), h.readyIn(lineproto.StateIdle))
		So(h.lastResponse(client), ShouldEqual, "DONE s1 / READY I")
		h.receive(send.Conn, acknowledgment...)
		So(send.Conn.IsClosed(), ShouldBeFalse)
	})
	Convey("The handshake's answer that is sent again answers no statement", t, func() {
		h := newHarness(1)
		client := h.client("strict")
		h.query(client, write("1"))
		send := h.nextSend()
		h.receive(send.Conn, h.readyIn(lineproto.StateIdle))
		So(h.lastResponse(client), ShouldEqual, "READY I")
		h.logIndex++
		h.receive(send.Conn, done("s1"), h.readyIn(lineproto.StateIdle))
		So(h.lastResponse(client), ShouldEqual, "DONE s1 / READY I")
	})
}

func TestRepeatedLines(t *testing.T) {
	// Guards against single lines of an answer that are sent again (MIXED).
	Convey("A line that is sent again alone does not become a part of the next answer", t, func() {
		for _, line := range []int{0, 1, 2} {
			for _, beforeNext := range []bool{true, false} {
				h := newHarness(1)
				first, second := h.client("strict"), h.client("strict")
				h.query(first, read("1"))
				conn, answer := h.answerInFull([]lineproto.Message{row("r1"), done("s1")})
				if beforeNext {
					h.receive(conn, answer[line])
				}
				h.query(second, read("2"))
				if !beforeNext {
					h.receive(conn, answer[line])
				}
				h.receive(conn, row("r2"), done("s2"), h.readyIn(lineproto.StateIdle))
				if conn.IsClosed() {
					h.answerSend(h.nextSend(), lineproto.StateIdle, row("r2"), done("s2"))
				}
				So(h.lastResponse(second), ShouldEqual, "ROW r2 / DONE s2 / READY I")
				So(h.invariantViolation(), ShouldEqual, "")
			}
		}
	})
	Convey("Rows that conflict with a repeated result close the connection", t, func() {
		h := newHarness(1)
		first, second := h.client("strict"), h.client("strict")
		h.query(first, read("1"))
		conn, answer := h.answerInFull([]lineproto.Message{row("r1"), done("s1")})
		h.query(second, write("2"))
		h.receive(conn, row("r2"), answer[1])
		So(conn.IsClosed(), ShouldBeTrue)
		So(h.lastResponse(second), ShouldEqual, "ERROR UNKNOWN / READY I")
	})
}

func TestRepeatedAnswersInTransactions(t *testing.T) {
	// Guards against repeated answers in transactions (MIXED), and against statements
	// that run outside their transaction because an earlier BEGIN was acknowledged twice
	// (PINNED, UNASKED).
	Convey("An answer that is sent again inside a transaction does not answer the next statement or the commit", t, func() {
		h := newHarness(1)
		client := h.client("strict")
		h.query(client, begin())
		h.query(client, write("1"))
		send := h.answerBegin()
		begun := []lineproto.Message{done("-"), h.readyIn(lineproto.StateInTransaction)}
		first := []lineproto.Message{done("s1"), h.readyIn(lineproto.StateInTransaction)}
		h.receive(send.Conn, begun...)
		h.receive(send.Conn, first...)
		So(h.lastResponse(client), ShouldEqual, "DONE s1 / READY T")
		h.query(client, read("2"))
		h.receive(send.Conn, first...)
		h.receive(send.Conn, begun...)
		h.receive(send.Conn, row("r2"), done("s2"), h.readyIn(lineproto.StateInTransaction))
		So(h.lastResponse(client), ShouldEqual, "ROW r2 / DONE s2 / READY T")
		h.query(client, commit())
		h.receive(send.Conn, first...)
		h.receive(send.Conn, done("s3"), h.readyIn(lineproto.StateIdle))
		So(h.lastResponse(client), ShouldEqual, "DONE s3 / READY I")
	})
	Convey("An acknowledged BEGIN that is sent again does not begin the next transaction", t, func() {
		for _, ending := range []struct {
			query  func() Query
			result lineproto.Message
		}{{rollback, done("-")}, {commit, done("s")}} {
			h := newHarness(1)
			first, second := h.client("strict"), h.client("strict")
			h.query(first, begin())
			h.query(first, read("1"))
			send := h.answerBegin()
			begun := []lineproto.Message{done("-"), h.readyIn(lineproto.StateInTransaction)}
			h.receive(send.Conn, row("r1"), done("s1"), h.readyIn(lineproto.StateInTransaction))
			h.query(first, ending.query())
			h.answerSend(h.nextSend(), lineproto.StateIdle, ending.result)
			h.query(second, begin())
			h.query(second, write("2"))
			if len(h.sends) > 0 && h.sends[0].Conn == send.Conn {
				h.nextSend()
				h.receive(send.Conn, begun...)
			}
			for _, statement := range h.sends {
				SoMsg("sent before its transaction has begun", formatCommands(statement), ShouldNotEndWith, "write 2")
			}
			h.advanceInTicks(100 * time.Millisecond)
			send = h.answerBegin()
			h.receive(send.Conn, done("s2"), h.readyIn(lineproto.StateInTransaction))
			So(h.lastResponse(second), ShouldEqual, "DONE s2 / READY T")
		}
	})
}
