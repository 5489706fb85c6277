package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
)

func TestLostConnections(t *testing.T) {
	Convey("A queued statement outlives connections that end", t, func() {
		h := newHarness(20)
		h.manualOpen = true
		client := h.client("strict")
		h.query(client, write("1"))
		h.loseConn(h.opens[0].Conn)
		So(h.responseCount(client), ShouldEqual, 1)
		h.manualOpen = false
		h.advanceInTicks(500 * time.Millisecond)
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("w"))
		So(h.lastResponse(client), ShouldEqual, "DONE w / READY I")
		So(h.invariantViolation(), ShouldEqual, "")
	})
	Convey("A handshake that is never answered times out", t, func() {
		h := newHarness(20)
		h.manualOpen = true
		client := h.client("strict")
		h.query(client, write("1"))
		first := h.opens[0].Conn
		h.advanceInTicks(800 * time.Millisecond)
		So(first.IsClosed(), ShouldBeTrue)
		So(h.responseCount(client), ShouldEqual, 1)
		So(h.invariantViolation(), ShouldEqual, "")
	})
	Convey("A statement whose connection is lost at the begin begins on another one", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, begin())
		h.query(client, write("1"))
		first := h.nextSend()
		h.loseConn(first.Conn)
		send := h.answerBegin()
		So(formatCommands(send), ShouldEqual, "write 1")
		So(send.Conn, ShouldNotEqual, first.Conn)
	})
	ends := []struct {
		name     string
		queries  []Query
		response string
	}{
		{"a single write", []Query{write("1")}, "ERROR UNKNOWN / READY I"},
		{"a write inside", []Query{begin(), write("1")}, "ERROR ABORTED / READY E"},
		{"a read inside", []Query{begin(), read("1")}, "ERROR ABORTED / READY E"},
		{"a read inside a reading transaction", []Query{beginRead(), read("1")}, "ERROR ABORTED / READY E"},
		{"a commit", []Query{begin(), commit()}, "ERROR UNKNOWN / READY I"},
		{"a commit of reads", []Query{beginRead(), commit()}, "ERROR ABORTED / READY I"},
	}
	for _, end := range ends {
		Convey("A connection lost with "+end.name+" in flight is answered with "+end.response, t, func() {
			h := newHarness(20)
			client := h.client("strict")
			for _, query := range end.queries {
				query.ID += "x"
				h.query(client, query)
			}
			send := h.nextSend()
			if len(end.queries) > 1 {
				h.answerSend(send, lineproto.StateInTransaction, done("-"))
				send = h.nextSend()
			}
			h.loseConn(send.Conn)
			So(h.lastResponse(client), ShouldEqual, end.response)
			So(h.sends, ShouldBeEmpty)
			So(h.invariantViolation(), ShouldEqual, "")
		})
		Convey("A missing answer to "+end.name+" is reported at its deadline", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			for _, query := range end.queries {
				h.query(client, query)
			}
			send := h.nextSend()
			if len(end.queries) > 1 {
				h.answerSend(send, lineproto.StateInTransaction, done("-"))
				send = h.nextSend()
			}
			h.advanceInTicks(2100 * time.Millisecond)
			So(h.lastResponse(client), ShouldEqual, end.response)
			So(send.Conn.IsClosed(), ShouldBeTrue)
			So(h.invariantViolation(), ShouldEqual, "")
		})
	}
	Convey("A single read is retried, more than once", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, read("1"))
		for range 3 {
			h.loseConn(h.nextSend().Conn)
			h.advanceInTicks(100 * time.Millisecond)
		}
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("s"))
		So(h.lastResponse(client), ShouldEqual, "DONE s / READY I")
	})
	Convey("The loss of a connection between the statements of a transaction is reported at the next statement", t, func() {
		for _, next := range []struct {
			query    Query
			response string
		}{{write("2"), "ERROR ABORTED / READY E"}, {commit(), "ERROR ABORTED / READY I"}, {rollback(), "DONE - / READY I"}} {
			h := newHarness(20)
			client := h.client("strict")
			h.query(client, begin())
			h.query(client, write("1"))
			send := h.answerBegin()
			h.answerSend(send, lineproto.StateInTransaction, done("w"))
			h.loseConn(send.Conn)
			So(h.lastResponse(client), ShouldEqual, "DONE w / READY T")
			h.query(client, next.query)
			So(h.lastResponse(client), ShouldEqual, next.response)
			So(h.sends, ShouldBeEmpty)
			So(h.invariantViolation(), ShouldEqual, "")
		}
	})
	Convey("An unexpected message on a transaction's connection ends the transaction as a lost connection does", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, begin())
		h.query(client, write("1"))
		send := h.answerBegin()
		h.answerSend(send, lineproto.StateInTransaction, done("w"))
		h.receive(send.Conn, failure(lineproto.CodeOther))
		So(send.Conn.IsClosed(), ShouldBeTrue)
		So(h.invariantViolation(), ShouldEqual, "")
		h.query(client, commit())
		So(h.lastResponse(client), ShouldEqual, "ERROR ABORTED / READY I")
		So(h.sends, ShouldBeEmpty)
	})
	Convey("An answer without a result is malformed: the connection is closed, and the client is answered at once", t, func() {
		for _, one := range []struct {
			query    Query
			response string
		}{{read("1"), "READY I"}, {write("1"), "ERROR UNKNOWN / READY I"}} {
			h := newHarness(20)
			client := h.client("strict")
			h.query(client, one.query)
			send := h.nextSend()
			h.receive(send.Conn, h.readyIn(lineproto.StateIdle))
			So(send.Conn.IsClosed(), ShouldBeTrue)
			So(h.lastResponse(client), ShouldEqual, one.response)
			So(h.invariantViolation(), ShouldEqual, "")
			if one.response == "READY I" {
				h.answerSend(h.nextSend(), lineproto.StateIdle, done("s"))
				So(h.lastResponse(client), ShouldEqual, "DONE s / READY I")
			}
		}
	})
	Convey("Rows or a second result after the result are malformed too", t, func() {
		for _, late := range []lineproto.Message{row("r"), done("s2"), failure(lineproto.CodeBusy)} {
			h := newHarness(20)
			client := h.client("strict")
			h.query(client, write("1"))
			send := h.nextSend()
			h.receive(send.Conn, done("s"), late)
			So(send.Conn.IsClosed(), ShouldBeTrue)
			So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(h.invariantViolation(), ShouldEqual, "")
		}
	})
	Convey("Rows are passed on as they came, with the result and the state", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, read("1"))
		h.answerSend(h.nextSend(), lineproto.StateIdle, row("r1"), row("r2"), done("s"))
		So(h.lastResponse(client), ShouldEqual, "ROW r1 / ROW r2 / DONE s / READY I")
	})
	Convey("Errors of an instance are passed on as they came", t, func() {
		for _, code := range []lineproto.Code{lineproto.CodeFailed, lineproto.CodeTimeout, lineproto.CodeOther} {
			for _, query := range []Query{read("1"), write("1")} {
				h := newHarness(20)
				client := h.client("strict")
				h.query(client, query)
				h.answerSend(h.nextSend(), lineproto.StateIdle, failure(code))
				if code == lineproto.CodeFailed && query.Statement.Action == lineproto.ActionRead {
					So(h.responseCount(client), ShouldEqual, 1)
					h.advanceInTicks(50 * time.Millisecond)
					h.answerSend(h.nextSend(), lineproto.StateIdle, failure(code))
				}
				So(h.lastResponse(client), ShouldEqual, "ERROR "+codeNames[code]+" / READY I")
				h.advanceInTicks(200 * time.Millisecond)
				So(h.sends, ShouldBeEmpty)
			}
		}
	})
	Convey("A read that an instance failed is run once more, at another instance if there is one", t, func() {
		h := newHarness(20)
		h.samplePosition()
		client := h.client("stale")
		h.advanceInTicks(200 * time.Millisecond)
		h.query(client, read("1"))
		first := h.nextSend()
		h.answerSend(first, lineproto.StateIdle, failure(lineproto.CodeFailed))
		h.advanceInTicks(50 * time.Millisecond)
		second := h.nextSend()
		So(second.target(), ShouldNotEqual, first.target())
		So(formatCommands(second), ShouldEqual, "read 1")
		h.answerSend(second, lineproto.StateIdle, done("s"))
		So(h.lastResponse(client), ShouldEqual, "DONE s / READY I")
		So(h.invariantViolation(), ShouldEqual, "")
	})
	Convey("Reads are sent to instances that fail fewer, and return after a while", t, func() {
		h := newHarness(20)
		h.samplePosition()
		h.advanceInTicks(200 * time.Millisecond)
		client := h.client("stale")
		readTarget := func() string {
			h.query(client, read("1"))
			send := h.nextSend()
			h.answerSend(send, lineproto.StateIdle, done("s"))
			return send.target()
		}
		So(readTarget(), ShouldEqual, "b")
		for range 3 {
			h.instance("b").health.Observe(true, h.now)
		}
		So(readTarget(), ShouldNotEqual, "b")
		for range 16 {
			h.advanceInTicks(time.Second)
			h.samplePosition()
		}
		h.advanceInTicks(200 * time.Millisecond)
		So(readTarget(), ShouldEqual, "b")
	})
	Convey("A statement that fails its transaction has it rolled back at the instance; the client still has to end it", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, begin())
		h.query(client, write("1"))
		send := h.answerBegin()
		h.answerSend(send, lineproto.StateFailed, failure(lineproto.CodeFailed))
		So(h.lastResponse(client), ShouldEqual, "ERROR FAILED / READY E")
		So(formatCommands(h.nextSend()), ShouldEqual, "rollback")
		h.query(client, write("2"))
		So(h.lastResponse(client), ShouldEqual, "ERROR MALFORMED / READY E")
		h.query(client, commit())
		So(h.lastResponse(client), ShouldEqual, "ERROR ABORTED / READY I")
		So(h.invariantViolation(), ShouldEqual, "")
	})
	Convey("The backoff after refused connections grows, also where the instance answers the handshake with the refusal", t, func() {
		h := newHarness(20)
		h.manualOpen = true
		client := h.client("strict")
		h.query(client, write("1"))
		attempts := 0
		for end := h.now + 1900*time.Millisecond; h.now < end; {
			for len(h.opens) > 0 {
				attempts++
				h.receive(h.opens[0].Conn, failure(lineproto.CodeTooManyConnections))
			}
			h.advanceInTicks(25 * time.Millisecond)
		}
		So(attempts, ShouldBeBetween, 3, 12)
		So(h.invariantViolation(), ShouldEqual, "")
	})
	Convey("An address that belongs to another instance by now counts as a refused connection", t, func() {
		h := newHarness(20)
		h.manualOpen = true
		client := h.client("strict")
		h.query(client, write("1"))
		for range 20 {
			for len(h.opens) > 0 {
				h.receive(h.opens[0].Conn, failure(lineproto.CodeWrongInstance))
			}
			h.advanceInTicks(50 * time.Millisecond)
		}
		report := h.Observations(h.now).Reports
		So(report[0].Instance.Name, ShouldEqual, "a")
		So(report[0].RefusedConnections, ShouldBeGreaterThan, 1)
		So(report[0].ResponseAge, ShouldBeGreaterThan, 500*time.Millisecond)
		So(h.reports, ShouldBeGreaterThan, 0)
	})
}
