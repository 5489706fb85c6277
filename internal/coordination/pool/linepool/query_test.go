package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

func TestSessions(t *testing.T) {
	Convey("A connect request waits for a lease, and is rejected if the lease does not arrive in time", t, func() {
		h := newHarness(20)
		h.advance(1700 * time.Millisecond)
		client, late := h.client("strict"), h.client("strict")
		So(h.responseCount(client), ShouldEqual, 0)
		h.update(leaseDuration)
		So(h.lastResponse(client), ShouldEqual, "READY I")
		So(h.lastResponse(late), ShouldEqual, "READY I")
		h.advance(1700 * time.Millisecond)
		third := h.client("strict")
		h.advance(1900 * time.Millisecond)
		So(h.lastResponse(third), ShouldEqual, "ERROR BUSY")
		So(h.closedClients[third], ShouldBeTrue)
	})
	Convey("A connect request for an unknown binding is rejected", t, func() {
		h := newHarness(20)
		client := h.client("none")
		So(h.lastResponse(client), ShouldEqual, "ERROR NODB")
		So(h.closedClients[client], ShouldBeTrue)
	})
	Convey("A changed or removed binding affects the next transaction, and not one that is open", t, func() {
		h := newHarness(20)
		client, inTransaction := h.client("strict"), h.client("strict")
		h.query(inTransaction, begin())
		h.query(inTransaction, write("1"))
		h.answerSend(h.answerBegin(), lineproto.StateInTransaction, done("w"))
		next := h.snapshot.Sets[0]
		next.Sequence, next.Version = 2, 6
		next.Bindings = []model.Binding{{Name: "strict", Database: "y", Timeout: 2 * time.Second}}
		h.snapshot.Sets = append(h.snapshot.Sets, next)
		h.update(leaseDuration)
		h.query(client, write("2"))
		So(h.nextSend().target(), ShouldEqual, "d")
		h.query(inTransaction, write("3"))
		send := h.nextSend()
		So(send.target(), ShouldEqual, "a")
		h.answerSend(send, lineproto.StateInTransaction, done("w"))
		next.Sequence, next.Version, next.Bindings = 3, 7, nil
		h.snapshot.Sets = append(h.snapshot.Sets, next)
		h.update(leaseDuration)
		h.query(inTransaction, commit())
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("k"))
		So(h.lastResponse(inTransaction), ShouldEqual, "DONE k / READY I")
		h.query(inTransaction, read("4"))
		So(h.lastResponse(inTransaction), ShouldEqual, "ERROR NODB / READY I")
	})
	Convey("Pipelined queries are answered in order, each once", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, begin())
		h.query(client, write("1"))
		h.query(client, set("v", "1"))
		h.query(client, commit())
		h.query(client, read("2"))
		h.answerSend(h.answerBegin(), lineproto.StateInTransaction, done("w"))
		send := h.nextSend()
		So(formatCommands(send), ShouldEqual, "set v=1, commit")
		h.answerSend(send, lineproto.StateIdle, done("k"))
		send = h.nextSend()
		So(formatCommands(send), ShouldEqual, "read 2")
		h.answerSend(send, lineproto.StateIdle, done("s"))
		So(h.responses[client], ShouldResemble, []string{
			"READY I", "DONE - / READY T", "DONE w / READY T", "DONE - / READY T", "DONE k / READY I", "DONE s / READY I",
		})
	})
	Convey("Too many pipelined queries end the session", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		for range h.timing.MaxPipelined + 2 {
			h.query(client, read("1"))
		}
		So(h.lastResponse(client), ShouldEqual, "ERROR TOOLONG")
		So(h.closedClients[client], ShouldBeTrue)
		So(h.invariantViolation(), ShouldEqual, "")
	})
	Convey("Sessions beyond the limit are not accepted", t, func() {
		h := newHarness(20)
		h.timing.MaxClients = 1
		So(h.client("strict"), ShouldNotBeNil)
		So(h.Accept(nil, h.now), ShouldBeNil)
	})
	actions := []struct {
		name  string
		query func() Query
		want  map[string]string
	}{
		{"begin", begin, map[string]string{"I": "DONE - / READY T", "T": "ERROR MALFORMED / READY E", "E": "ERROR MALFORMED / READY E"}},
		{"begin read", beginRead, map[string]string{"I": "DONE - / READY T", "T": "ERROR MALFORMED / READY E", "E": "ERROR MALFORMED / READY E"}},
		{"commit", commit, map[string]string{"I": "ERROR MALFORMED / READY I", "T": "", "E": "ERROR ABORTED / READY I"}},
		{"rollback", rollback, map[string]string{"I": "ERROR MALFORMED / READY I", "T": "DONE - / READY I", "E": "DONE - / READY I"}},
		{"read", func() Query { return read("1") }, map[string]string{"I": "", "T": "", "E": "ERROR MALFORMED / READY E"}},
		{"write", func() Query { return write("1") }, map[string]string{"I": "", "T": "", "E": "ERROR MALFORMED / READY E"}},
		{"set", func() Query { return set("v", "1") }, map[string]string{"I": "DONE - / READY I", "T": "DONE - / READY T", "E": "ERROR MALFORMED / READY E"}},
		{"prepare", func() Query { return prepare("p", "read q") }, map[string]string{"I": "DONE - / READY I", "T": "DONE - / READY T", "E": "ERROR MALFORMED / READY E"}},
		{"execute", func() Query { return execute("none", "1") }, map[string]string{"I": "ERROR NOTFOUND / READY I", "T": "ERROR NOTFOUND / READY E", "E": "ERROR MALFORMED / READY E"}},
		{"deallocate", func() Query { return deallocate("none") }, map[string]string{"I": "ERROR NOTFOUND / READY I", "T": "ERROR NOTFOUND / READY T", "E": "ERROR MALFORMED / READY E"}},
		{"invalid action", func() Query { return newQuery(lineproto.ActionInvalid, "invalid") }, map[string]string{"I": "ERROR MALFORMED / READY I", "T": "ERROR MALFORMED / READY E", "E": "ERROR MALFORMED / READY E"}},
		{"unknown action", func() Query { return newQuery(lineproto.Action(99), "unknown") }, map[string]string{"I": "ERROR MALFORMED / READY I", "T": "ERROR MALFORMED / READY E", "E": "ERROR MALFORMED / READY E"}},
	}
	for _, action := range actions {
		for state, want := range action.want {
			Convey("In state "+state+" the query "+action.name+" is answered with "+want, t, func() {
				h := newHarness(20)
				client := h.client("strict")
				if state != "I" {
					h.query(client, begin())
				}
				if state == "E" {
					h.query(client, begin())
					So(h.lastResponse(client), ShouldEqual, "ERROR MALFORMED / READY E")
				}
				count := h.responseCount(client)
				h.query(client, action.query())
				if want == "" {
					So(h.responseCount(client), ShouldEqual, count)
					So(len(h.sends), ShouldEqual, 1)
				} else {
					So(h.lastResponse(client), ShouldEqual, want)
					So(h.responseCount(client), ShouldEqual, count+1)
					So(h.sends, ShouldBeEmpty)
				}
				So(h.invariantViolation(), ShouldEqual, "")
			})
		}
	}
	Convey("A query before the connect request, or a second connect request, ends the session", t, func() {
		h := newHarness(20)
		client := h.Accept(nil, h.now)
		h.query(client, read("1"))
		So(h.lastResponse(client), ShouldEqual, "ERROR MALFORMED")
		So(h.closedClients[client], ShouldBeTrue)
		client = h.client("strict")
		h.Connect(client, "strict", h.now)
		h.applyEffects()
		So(h.lastResponse(client), ShouldEqual, "ERROR MALFORMED")
		So(h.closedClients[client], ShouldBeTrue)
	})
	Convey("A malformed answer closes the instance's connection, and later messages on it are ignored", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, write("1"))
		send := h.nextSend()
		h.receive(send.Conn, lineproto.Message{Kind: lineproto.KindInvalid})
		So(send.Conn.IsClosed(), ShouldBeTrue)
		So(h.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
		h.receive(send.Conn, done("late"), h.readyIn(lineproto.StateIdle))
		So(h.responseCount(client), ShouldEqual, 2)
		So(h.invariantViolation(), ShouldEqual, "")
	})
}
