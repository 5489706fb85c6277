package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
)

func TestBegin(t *testing.T) {
	Convey("A begin is answered by the node; the instance receives it before the first statement, which is sent after its answer", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		So(h.lastResponse(client), ShouldEqual, "READY I")
		h.query(client, begin())
		So(h.lastResponse(client), ShouldEqual, "DONE - / READY T")
		So(h.sends, ShouldBeEmpty)
		h.query(client, write("1"))
		first := h.nextSend()
		So(formatCommands(first), ShouldEqual, "begin")
		So(first.target(), ShouldEqual, "a")
		So(h.sends, ShouldBeEmpty)
		h.answerSend(first, lineproto.StateInTransaction, done("-"))
		second := h.nextSend()
		So(formatCommands(second), ShouldEqual, "write 1")
		So(second.Conn, ShouldEqual, first.Conn)
		h.answerSend(second, lineproto.StateInTransaction, done("w1"))
		So(h.lastResponse(client), ShouldEqual, "DONE w1 / READY T")
		h.query(client, commit())
		third := h.nextSend()
		So(formatCommands(third), ShouldEqual, "commit")
		So(third.Conn, ShouldEqual, first.Conn)
		h.answerSend(third, lineproto.StateIdle, done("k1"))
		So(h.lastResponse(client), ShouldEqual, "DONE k1 / READY I")
		So(h.invariantViolation(), ShouldEqual, "")
	})
	refusals := []struct {
		name     string
		newBegin func() Query
		binding  string
		code     lineproto.Code
	}{
		{"LAGGING", beginRead, "stale", lineproto.CodeLagging},
		{"READONLY", begin, "strict", lineproto.CodeReadOnly},
		{"BUSY", begin, "strict", lineproto.CodeBusy},
	}
	for _, refusal := range refusals {
		Convey("After a begin refused with "+refusal.name+", the statement waits and runs in a later transaction", t, func() {
			h := newHarness(20)
			h.samplePosition()
			client := h.client(refusal.binding)
			h.query(client, refusal.newBegin())
			h.query(client, read("1"))
			count := h.responseCount(client)
			h.answerSend(h.nextSend(), lineproto.StateIdle, failure(refusal.code))
			So(h.responseCount(client), ShouldEqual, count)
			h.advanceInTicks(400 * time.Millisecond)
			retried := h.answerBegin()
			So(formatCommands(retried), ShouldEqual, "read 1")
			h.answerSend(retried, lineproto.StateInTransaction, done("s"))
			So(h.lastResponse(client), ShouldEqual, "DONE s / READY T")
			So(h.invariantViolation(), ShouldEqual, "")
		})
		Convey("If the begin is refused with "+refusal.name+" until the statement's queue time is over, the statement ends with BUSY", t, func() {
			h := newHarness(20)
			h.samplePosition()
			client := h.client(refusal.binding)
			h.query(client, refusal.newBegin())
			h.query(client, read("1"))
			attempts := 0
			for h.now < time.Hour+5*time.Second && h.lastResponse(client) == "DONE - / READY T" {
				for len(h.sends) > 0 {
					attempts++
					h.answerSend(h.nextSend(), lineproto.StateIdle, failure(refusal.code))
				}
				h.advanceInTicks(25 * time.Millisecond)
			}
			So(h.lastResponse(client), ShouldEqual, "ERROR BUSY / READY E")
			So(attempts, ShouldBeBetween, 1, 60)
			So(h.invariantViolation(), ShouldEqual, "")
		})
	}
	Convey("A begin whose answer is in the idle state counts as refused", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, begin())
		h.query(client, write("1"))
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("-"))
		for _, send := range h.sends {
			So(formatCommands(send), ShouldEqual, "begin")
		}
	})
	Convey("An empty transaction begins and commits at an instance", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, begin())
		h.query(client, commit())
		send := h.answerBegin()
		So(formatCommands(send), ShouldEqual, "commit")
		h.answerSend(send, lineproto.StateIdle, done("k"))
		So(h.lastResponse(client), ShouldEqual, "DONE k / READY I")
	})
	Convey("A rollback without a transaction, or before any statement, is answered by the node", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, rollback())
		So(h.lastResponse(client), ShouldEqual, "ERROR MALFORMED / READY I")
		h.query(client, begin())
		h.query(client, rollback())
		So(h.lastResponse(client), ShouldEqual, "DONE - / READY I")
		So(h.sends, ShouldBeEmpty)
	})
	Convey("A rollback after statements is answered at once, and the connection is reused only after the instance has answered it", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, begin())
		h.query(client, write("1"))
		h.answerSend(h.answerBegin(), lineproto.StateInTransaction, done("w"))
		h.query(client, rollback())
		So(h.lastResponse(client), ShouldEqual, "DONE - / READY I")
		rollbackSend := h.nextSend()
		So(formatCommands(rollbackSend), ShouldEqual, "rollback")
		h.query(client, write("2"))
		So(h.nextSend().Conn, ShouldNotEqual, rollbackSend.Conn)
		h.answerSend(rollbackSend, lineproto.StateIdle, done("-"))
		So(rollbackSend.Conn.state, ShouldEqual, connIdle)
		So(h.invariantViolation(), ShouldEqual, "")
	})
	Convey("A connection whose rollback does not end its transaction is not reused", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, begin())
		h.query(client, write("1"))
		h.answerSend(h.answerBegin(), lineproto.StateInTransaction, done("w"))
		h.query(client, rollback())
		rollbackSend := h.nextSend()
		h.answerSend(rollbackSend, lineproto.StateInTransaction, failure(lineproto.CodeOther))
		So(rollbackSend.Conn.IsClosed(), ShouldBeTrue)
	})
	Convey("A connection that a single statement leaves in a transaction is closed", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, read("1"))
		send := h.nextSend()
		h.answerSend(send, lineproto.StateInTransaction, done("s"))
		So(send.Conn.IsClosed(), ShouldBeTrue)
	})
}
