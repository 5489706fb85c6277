package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
)

// sendLast submits one query, or a begin and a second query. It answers the
// BEGIN command, if any, and returns the write that contains the last query.
func (h *harness) sendLast(client *Client, queries []Query) Send {
	for _, query := range queries {
		h.query(client, query)
	}
	if len(queries) == 1 {
		return h.nextSend()
	}
	return h.answerBegin()
}

func TestLostConnections(t *testing.T) {
	Convey("A queued statement is sent after a connection attempt has failed", t, func() {
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
	Convey("If the connection is lost before the begin is answered, the transaction begins on another connection", t, func() {
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
	statements := []struct {
		name     string
		queries  []Query
		response string
	}{
		{"a single write", []Query{write("1")}, "ERROR UNKNOWN / READY I"},
		{"a write in a transaction", []Query{begin(), write("1")}, "ERROR ABORTED / READY E"},
		{"a read in a transaction", []Query{begin(), read("1")}, "ERROR ABORTED / READY E"},
		{"a read in a read-only transaction", []Query{beginRead(), read("1")}, "ERROR ABORTED / READY E"},
		{"a commit", []Query{begin(), commit()}, "ERROR UNKNOWN / READY I"},
		{"a commit of a read-only transaction", []Query{beginRead(), commit()}, "ERROR ABORTED / READY I"},
	}
	for _, statement := range statements {
		Convey("If the connection is lost with "+statement.name+" in flight, the response is "+statement.response, t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := h.sendLast(client, statement.queries)
			h.loseConn(send.Conn)
			So(h.lastResponse(client), ShouldEqual, statement.response)
			So(h.sends, ShouldBeEmpty)
			So(h.invariantViolation(), ShouldEqual, "")
		})
		Convey("Without an answer to "+statement.name+", the client gets an error at the deadline", t, func() {
			h := newHarness(20)
			client := h.client("strict")
			send := h.sendLast(client, statement.queries)
			h.advanceInTicks(2100 * time.Millisecond)
			So(h.lastResponse(client), ShouldEqual, statement.response)
			So(send.Conn.IsClosed(), ShouldBeTrue)
			So(h.invariantViolation(), ShouldEqual, "")
		})
	}
	Convey("A single read is retried after each of several lost connections", t, func() {
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
}

func TestRefusedConnections(t *testing.T) {
	Convey("A connection whose rollback is not answered is closed", t, func() {
		h := newHarness(1)
		client := h.client("strict")
		h.query(client, begin())
		h.query(client, read("1"))
		h.answerSend(h.answerBegin(), lineproto.StateInTransaction, done("s"))
		h.query(client, rollback())
		unanswered := h.nextSend()
		So(formatCommands(unanswered), ShouldEqual, "rollback")
		h.advanceInTicks(h.timing.AbandonedTimeout - 100*time.Millisecond)
		So(unanswered.Conn.IsClosed(), ShouldBeFalse)
		h.advanceInTicks(200 * time.Millisecond)
		So(unanswered.Conn.IsClosed(), ShouldBeTrue)
		h.query(client, read("2"))
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("s2"))
		So(h.lastResponse(client), ShouldEqual, "DONE s2 / READY I")
	})
	Convey("The backoff grows after each connection that the instance refuses in the handshake", t, func() {
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
	Convey("An address that now belongs to another instance counts as a refused connection", t, func() {
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
