package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/connquota"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

func TestBegin(t *testing.T) {
	Convey("A begin is answered by the node, and goes out only with the first statement, which follows its answer", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		So(r.lastResponse(client), ShouldEqual, "READY I")
		r.query(client, begin())
		So(r.lastResponse(client), ShouldEqual, "DONE - / READY T")
		So(r.sends, ShouldBeEmpty)
		r.query(client, write("1"))
		first := r.nextSend()
		So(formatCommands(first), ShouldEqual, "begin")
		So(first.target(), ShouldEqual, "a")
		So(r.sends, ShouldBeEmpty)
		r.answerSend(first, lineproto.StateInTransaction, ok("-"))
		second := r.nextSend()
		So(formatCommands(second), ShouldEqual, "write 1")
		So(second.Conn, ShouldEqual, first.Conn)
		r.answerSend(second, lineproto.StateInTransaction, ok("w1"))
		So(r.lastResponse(client), ShouldEqual, "DONE w1 / READY T")
		r.query(client, commit())
		third := r.nextSend()
		So(formatCommands(third), ShouldEqual, "commit")
		So(third.Conn, ShouldEqual, first.Conn)
		r.answerSend(third, lineproto.StateIdle, ok("k1"))
		So(r.lastResponse(client), ShouldEqual, "DONE k1 / READY I")
		So(r.invariantViolation(), ShouldEqual, "")
	})
	refusals := []struct {
		name  string
		act   func() Query
		bound string
		code  lineproto.Code
	}{
		{"LAGGING", beginRead, "stale", lineproto.CodeLagging},
		{"READONLY", begin, "strict", lineproto.CodeReadOnly},
		{"BUSY", begin, "strict", lineproto.CodeBusy},
	}
	for _, one := range refusals {
		Convey("A begin refused with "+one.name+" keeps the statement back; it runs inside a later one", t, func() {
			r := newHarness(20)
			r.samplePosition()
			client := r.client(one.bound)
			r.query(client, one.act())
			r.query(client, read("1"))
			count := r.responseCount(client)
			r.answerSend(r.nextSend(), lineproto.StateIdle, bad(one.code))
			So(r.responseCount(client), ShouldEqual, count)
			r.advanceInTicks(400 * time.Millisecond)
			again := r.answerBegin()
			So(formatCommands(again), ShouldEqual, "read 1")
			r.answerSend(again, lineproto.StateInTransaction, ok("s"))
			So(r.lastResponse(client), ShouldEqual, "DONE s / READY T")
			So(r.invariantViolation(), ShouldEqual, "")
		})
		Convey("A begin refused with "+one.name+" for as long as the statement may wait ends it with a promise", t, func() {
			r := newHarness(20)
			r.samplePosition()
			client := r.client(one.bound)
			r.query(client, one.act())
			r.query(client, read("1"))
			tries := 0
			for r.now < time.Hour+5*time.Second && r.lastResponse(client) == "DONE - / READY T" {
				for len(r.sends) > 0 {
					tries++
					r.answerSend(r.nextSend(), lineproto.StateIdle, bad(one.code))
				}
				r.advanceInTicks(25 * time.Millisecond)
			}
			So(r.lastResponse(client), ShouldEqual, "ERROR BUSY / READY E")
			So(tries, ShouldBeBetween, 1, 60)
			So(r.invariantViolation(), ShouldEqual, "")
		})
	}
	Convey("A begin that is answered done outside of a transaction is none", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, begin())
		r.query(client, write("1"))
		r.answerSend(r.nextSend(), lineproto.StateIdle, ok("-"))
		for _, send := range r.sends {
			So(formatCommands(send), ShouldEqual, "begin")
		}
	})
	Convey("A commit of nothing begins and commits at an instance all the same", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, begin())
		r.query(client, commit())
		one := r.answerBegin()
		So(formatCommands(one), ShouldEqual, "commit")
		r.answerSend(one, lineproto.StateIdle, ok("k"))
		So(r.lastResponse(client), ShouldEqual, "DONE k / READY I")
	})
	Convey("A rollback of nothing, or before any statement, is the node's own", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, rollback())
		So(r.lastResponse(client), ShouldEqual, "ERROR MALFORMED / READY I")
		r.query(client, begin())
		r.query(client, rollback())
		So(r.lastResponse(client), ShouldEqual, "DONE - / READY I")
		So(r.sends, ShouldBeEmpty)
	})
	Convey("A rollback after statements is answered at once, and the connection is lent on only when it is done", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, begin())
		r.query(client, write("1"))
		r.answerSend(r.answerBegin(), lineproto.StateInTransaction, ok("w"))
		r.query(client, rollback())
		So(r.lastResponse(client), ShouldEqual, "DONE - / READY I")
		back := r.nextSend()
		So(formatCommands(back), ShouldEqual, "rollback")
		r.query(client, write("2"))
		So(r.nextSend().Conn, ShouldNotEqual, back.Conn)
		r.answerSend(back, lineproto.StateIdle, ok("-"))
		So(back.Conn.state, ShouldEqual, connIdle)
		So(r.invariantViolation(), ShouldEqual, "")
	})
	Convey("A connection whose rollback does not end its transaction is not lent on", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, begin())
		r.query(client, write("1"))
		r.answerSend(r.answerBegin(), lineproto.StateInTransaction, ok("w"))
		r.query(client, rollback())
		back := r.nextSend()
		r.answerSend(back, lineproto.StateInTransaction, bad(lineproto.CodeOther))
		So(back.Conn.IsClosed(), ShouldBeTrue)
	})
	Convey("A single statement that leaves its connection inside a transaction ends the connection", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, read("1"))
		one := r.nextSend()
		r.answerSend(one, lineproto.StateInTransaction, ok("s"))
		So(one.Conn.IsClosed(), ShouldBeTrue)
	})
}

func TestSessionState(t *testing.T) {
	Convey("What the node answers itself makes no statement at an instance", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, set("v", "1"))
		r.query(client, prepare("p", "read q"))
		r.query(client, forget("p"))
		So(r.lastResponse(client), ShouldEqual, "DONE - / READY I")
		r.query(client, forget("p"))
		So(r.lastResponse(client), ShouldEqual, "ERROR NOTFOUND / READY I")
		r.query(client, runs("p", "1"))
		So(r.lastResponse(client), ShouldEqual, "ERROR NOTFOUND / READY I")
		So(r.sends, ShouldBeEmpty)
	})
	Convey("A connection is brought to a session's values, and reset where it has one that the session has not", t, func() {
		r := newHarness(1)
		one, other, plain := r.client("strict"), r.client("strict"), r.client("strict")
		r.query(one, set("v", "1"))
		r.query(other, set("v", "2"))
		r.query(one, read("1"))
		first := r.nextSend()
		So(formatCommands(first), ShouldEqual, "set v=1, read 1")
		r.answerSend(first, lineproto.StateIdle, ok("s"))
		r.query(one, read("2"))
		second := r.nextSend()
		So(formatCommands(second), ShouldEqual, "read 2")
		So(second.Conn, ShouldEqual, first.Conn)
		r.answerSend(second, lineproto.StateIdle, ok("s"))
		r.query(other, read("3"))
		third := r.nextSend()
		So(formatCommands(third), ShouldEqual, "set v=2, read 3")
		r.answerSend(third, lineproto.StateIdle, ok("s"))
		r.query(plain, read("4"))
		fourth := r.nextSend()
		So(formatCommands(fourth), ShouldEqual, "reset, read 4")
		So(fourth.Conn, ShouldEqual, first.Conn)
		r.answerSend(fourth, lineproto.StateIdle, ok("s"))
		r.query(plain, read("5"))
		So(formatCommands(r.nextSend()), ShouldEqual, "read 5")
	})
	Convey("Shapes are prepared once for each connection, under names of the node's own", t, func() {
		r := newHarness(1)
		one, other := r.client("strict"), r.client("strict")
		r.query(one, prepare("p", "read q"))
		r.query(other, prepare("p", "write q"))
		r.query(one, runs("p", "1"))
		first := r.nextSend()
		So(formatCommands(first), ShouldEqual, "prepare p1 as read q, run p1 1")
		r.answerSend(first, lineproto.StateIdle, ok("s"))
		r.query(other, runs("p", "2"))
		second := r.nextSend()
		So(formatCommands(second), ShouldEqual, "prepare p2 as write q, run p2 2")
		r.answerSend(second, lineproto.StateIdle, ok("s"))
		r.query(one, runs("p", "3"))
		third := r.nextSend()
		So(formatCommands(third), ShouldEqual, "run p1 3")
		r.answerSend(third, lineproto.StateIdle, ok("s"))
		r.query(one, prepare("p", "read z"))
		r.query(one, runs("p", "4"))
		So(formatCommands(r.nextSend()), ShouldEqual, "prepare p3 as read z, run p3 4")
	})
	Convey("The id of a run is the client's, and what goes before it has none", t, func() {
		r := newHarness(1)
		client := r.client("strict")
		r.query(client, prepare("p", "read q"))
		ask := runs("p", "1")
		r.query(client, ask)
		send := r.nextSend()
		So(send.Commands[0].ID, ShouldEqual, "")
		So(send.Commands[1].ID, ShouldEqual, ask.ID)
	})
	Convey("Values set and shapes prepared inside a transaction go out in it, and its rollback has the connection reset", t, func() {
		r := newHarness(1)
		client := r.client("strict")
		r.query(client, begin())
		r.query(client, read("1"))
		r.answerSend(r.answerBegin(), lineproto.StateInTransaction, ok("s"))
		r.query(client, set("v", "1"))
		r.query(client, prepare("p", "read q"))
		r.query(client, runs("p", "2"))
		inside := r.nextSend()
		So(formatCommands(inside), ShouldEqual, "set v=1, prepare p1 as read q, run p1 2")
		r.answerSend(inside, lineproto.StateInTransaction, ok("s"))
		r.query(client, rollback())
		r.answerSend(r.nextSend(), lineproto.StateIdle, ok("-"))
		r.query(client, runs("p", "3"))
		So(formatCommands(r.nextSend()), ShouldEqual, "reset, set v=1, prepare p2 as read q, run p2 3")
	})
	Convey("A transaction that is committed leaves its connection as it is", t, func() {
		r := newHarness(1)
		client := r.client("strict")
		r.query(client, begin())
		r.query(client, set("v", "1"))
		r.query(client, read("1"))
		first := r.nextSend()
		So(formatCommands(first), ShouldEqual, "set v=1, begin")
		r.answerSend(first, lineproto.StateInTransaction, ok("-"))
		r.answerSend(r.nextSend(), lineproto.StateInTransaction, ok("s"))
		r.query(client, set("w", "2"))
		r.query(client, read("2"))
		r.answerSend(r.nextSend(), lineproto.StateInTransaction, ok("s"))
		r.query(client, commit())
		r.answerSend(r.nextSend(), lineproto.StateIdle, ok("k"))
		r.query(client, read("3"))
		So(formatCommands(r.nextSend()), ShouldEqual, "read 3")
	})
	Convey("A transaction whose commit is refused has its connection reset where values were set inside", t, func() {
		r := newHarness(1)
		client := r.client("strict")
		r.query(client, begin())
		r.query(client, read("1"))
		r.answerSend(r.answerBegin(), lineproto.StateInTransaction, ok("s"))
		r.query(client, set("v", "1"))
		r.query(client, read("2"))
		r.answerSend(r.nextSend(), lineproto.StateInTransaction, ok("s"))
		r.query(client, commit())
		r.answerSend(r.nextSend(), lineproto.StateIdle, bad(lineproto.CodeAborted))
		So(r.lastResponse(client), ShouldEqual, "ERROR ABORTED / READY I")
		r.query(client, read("3"))
		So(formatCommands(r.nextSend()), ShouldEqual, "reset, set v=1, read 3")
	})
	Convey("A connection on which one of the node's own statements failed is reset", t, func() {
		r := newHarness(1)
		client := r.client("strict")
		r.query(client, set("v", "1"))
		r.query(client, read("1"))
		one := r.nextSend()
		r.receive(one.Conn, bad(lineproto.CodeOther), r.readyIn(lineproto.StateIdle), ok("s"), r.readyIn(lineproto.StateIdle))
		r.query(client, read("2"))
		So(formatCommands(r.nextSend()), ShouldEqual, "reset, set v=1, read 2")
	})
	Convey("A prepared name that an instance does not know is prepared again, for reads and writes", t, func() {
		for _, text := range []string{"read q", "write q"} {
			r := newHarness(1)
			client := r.client("strict")
			r.query(client, prepare("p", text))
			r.query(client, runs("p", "1"))
			r.answerSend(r.nextSend(), lineproto.StateIdle, bad(lineproto.CodeNotFound))
			So(r.lastResponse(client), ShouldNotContainSubstring, "NOTFOUND")
			r.advanceInTicks(50 * time.Millisecond)
			again := r.nextSend()
			So(formatCommands(again), ShouldEqual, "reset, prepare p2 as "+text+", run p2 1")
			r.answerSend(again, lineproto.StateIdle, ok("s"))
			So(r.lastResponse(client), ShouldEqual, "DONE s / READY I")
		}
	})
	Convey("Connections with too many shapes are reset", t, func() {
		r := newHarness(1)
		client := r.client("strict")
		for at := range r.timing.MaxPrepared + 1 {
			r.query(client, prepare("p", "read "+time.Duration(at).String()))
			r.query(client, runs("p", "1"))
			r.answerSend(r.nextSend(), lineproto.StateIdle, ok("s"))
		}
		r.query(client, prepare("p", "read last"))
		r.query(client, runs("p", "1"))
		So(formatCommands(r.nextSend()), ShouldStartWith, "reset, prepare p")
	})
}

func TestMinPositions(t *testing.T) {
	Convey("With no sample of the primary, a bounded read goes to the primary without a floor", t, func() {
		r := newHarness(20)
		client := r.client("stale")
		r.query(client, read("1"))
		send := r.nextSend()
		So(send.target(), ShouldEqual, "a")
		So(send.minPosition(), ShouldResemble, model.Position{})
	})
	Convey("A floor is what the primary told in answer to something sent within the bound", t, func() {
		r := newHarness(20)
		r.logIndex = 70
		r.samplePosition()
		r.advanceInTicks(time.Second)
		r.logIndex = 90
		r.samplePosition()
		client := r.client("stale")
		r.query(client, read("1"))
		send := r.nextSend()
		So(send.target(), ShouldNotEqual, "a")
		So(send.minPosition(), ShouldResemble, model.Position{Term: 3, Index: 70})
		r.answerSend(send, lineproto.StateIdle, ok("s"))
		r.advanceInTicks(800 * time.Millisecond)
		r.query(client, read("2"))
		So(r.nextSend().minPosition(), ShouldResemble, model.Position{Term: 3, Index: 90})
		r.advanceInTicks(1200 * time.Millisecond)
		r.query(client, read("3"))
		So(r.nextSend().target(), ShouldEqual, "a")
	})
	Convey("What the primary tells counts from when it was asked, not from when it answered", t, func() {
		r := newHarness(20)
		slow, client := r.client("strict"), r.client("stale")
		r.query(slow, read("1"))
		one := r.nextSend()
		r.advanceInTicks(1450 * time.Millisecond)
		r.answerSend(one, lineproto.StateIdle, ok("s"))
		r.query(client, read("2"))
		So(r.nextSend().target(), ShouldEqual, "a")
	})
	Convey("A session's own commits are in the floor of its own-writes reads, and of none else's", t, func() {
		r := newHarness(20)
		r.logIndex = 70
		r.samplePosition()
		client, other := r.client("own"), r.client("own")
		r.logIndex = 80
		r.query(client, write("1"))
		r.answerSend(r.nextSend(), lineproto.StateIdle, ok("w"))
		r.advanceInTicks(time.Second)
		r.query(other, read("2"))
		So(r.nextSend().minPosition().Index, ShouldEqual, 70)
		r.query(client, read("3"))
		So(r.nextSend().minPosition().Index, ShouldEqual, 80)
	})
	Convey("Own commits that replicas hardly have yet are read at the primary", t, func() {
		r := newHarness(20)
		r.samplePosition()
		client := r.client("own")
		r.logIndex = 180
		r.query(client, write("1"))
		r.answerSend(r.nextSend(), lineproto.StateIdle, ok("w"))
		r.query(client, read("2"))
		So(r.nextSend().target(), ShouldEqual, "a")
	})
	Convey("A commit that was not told kept is in no floor", t, func() {
		r := newHarness(20)
		r.samplePosition()
		client := r.client("own")
		r.logIndex = 180
		r.query(client, write("1"))
		r.loseConn(r.nextSend().Conn)
		So(r.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
		r.advanceInTicks(500 * time.Millisecond)
		r.query(client, read("2"))
		So(r.nextSend().minPosition().Index, ShouldEqual, 100)
	})
	Convey("A bounded transaction has its floor at its begin, and none after", t, func() {
		r := newHarness(20)
		r.samplePosition()
		client := r.client("stale")
		r.query(client, beginRead())
		r.query(client, read("1"))
		first := r.nextSend()
		So(formatCommands(first), ShouldEqual, "begin read")
		So(first.minPosition(), ShouldResemble, model.Position{Term: 3, Index: 100})
		r.answerSend(first, lineproto.StateInTransaction, ok("-"))
		So(r.nextSend().minPosition(), ShouldResemble, model.Position{})
	})
	Convey("A replica that lags is passed over for a while, and the read goes elsewhere", t, func() {
		r := newHarness(20)
		r.samplePosition()
		client := r.client("stale")
		r.query(client, read("1"))
		first := r.nextSend()
		r.answerSend(first, lineproto.StateIdle, bad(lineproto.CodeLagging))
		second := r.nextSend()
		So(second.target(), ShouldNotEqual, first.target())
		r.answerSend(second, lineproto.StateIdle, bad(lineproto.CodeLagging))
		third := r.nextSend()
		So(third.target(), ShouldEqual, "a")
		r.answerSend(third, lineproto.StateIdle, ok("s"))
		So(r.lastResponse(client), ShouldEqual, "DONE s / READY I")
	})
	Convey("Samples are of one term: a new one begins without", t, func() {
		r := newHarness(20)
		r.samplePosition()
		r.setWriter(model.PhaseClosing, "a", 3)
		r.setWriter(model.PhaseOpen, "b", 4)
		client := r.client("stale")
		r.query(client, read("1"))
		So(r.nextSend().target(), ShouldEqual, "b")
	})
	Convey("While a term is closed, what the record holds covers all", t, func() {
		r := newHarness(20)
		r.setWriter(model.PhaseClosing, "a", 3)
		r.doc.Writers["x"] = model.WriterRole{Database: "x", Term: 3, Primary: "a", Phase: model.PhasePromoting, SyncReplication: true, MinPosition: model.Position{Term: 3, Index: 55}}
		client := r.client("stale")
		r.query(client, read("1"))
		So(r.sends, ShouldBeEmpty)
		r.advanceInTicks(300 * time.Millisecond)
		send := r.nextSend()
		So(send.target(), ShouldNotEqual, "a")
		So(send.minPosition(), ShouldResemble, model.Position{Term: 3, Index: 55})
	})
}

func TestStrict(t *testing.T) {
	Convey("Strict reads, writes and commits go out under a lease only, and wait for it", t, func() {
		for _, ask := range []Query{read("1"), write("1")} {
			r := newHarness(20)
			client := r.client("strict")
			r.advance(1700 * time.Millisecond)
			r.query(client, ask)
			So(r.sends, ShouldBeEmpty)
			r.update(1600 * time.Millisecond)
			So(r.nextSend().target(), ShouldEqual, "a")
		}
	})
	Convey("They go out in an open term only, and then to its primary", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.setWriter(model.PhaseClosing, "a", 3)
		r.query(client, read("1"))
		So(r.sends, ShouldBeEmpty)
		r.setWriter(model.PhasePromoting, "a", 3)
		So(r.sends, ShouldBeEmpty)
		r.setWriter(model.PhaseOpen, "b", 4)
		So(r.nextSend().target(), ShouldEqual, "b")
	})
	Convey("A strict read that is out at a primary whose term closes is asked again at the next, and the first answer is dropped", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, read("1"))
		old := r.nextSend()
		r.setWriter(model.PhaseClosing, "a", 3)
		r.answerSend(old, lineproto.StateIdle, ok("old"))
		So(r.lastResponse(client), ShouldEqual, "READY I")
		r.setWriter(model.PhaseOpen, "b", 4)
		r.answerSend(r.nextSend(), lineproto.StateIdle, ok("new"))
		So(r.lastResponse(client), ShouldEqual, "DONE new / READY I")
		So(r.invariantViolation(), ShouldEqual, "")
	})
	Convey("A write waits for a primary that is leaving, and goes to the next one", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.registered("a").Leaving = true
		r.setWriter(model.PhaseClosing, "a", 3)
		r.query(client, write("1"))
		So(r.sends, ShouldBeEmpty)
		r.setWriter(model.PhaseOpen, "c", 4)
		So(r.nextSend().target(), ShouldEqual, "c")
	})
}

func TestConfirmation(t *testing.T) {
	ways := []struct {
		name string
		ask  func(r *harness, client *Client) Send
	}{
		{"single write", func(r *harness, client *Client) Send {
			r.query(client, write("1"))
			return r.nextSend()
		}},
		{"commit", func(r *harness, client *Client) Send {
			r.query(client, begin())
			r.query(client, write("1"))
			r.answerSend(r.answerBegin(), lineproto.StateInTransaction, ok("w"))
			r.query(client, commit())
			return r.nextSend()
		}},
	}
	for _, way := range ways {
		Convey("A "+way.name+" answered without a lease is told only when there is one again", t, func() {
			r := newHarness(20)
			client := r.client("strict")
			send := way.ask(r, client)
			before := r.responseCount(client)
			r.advance(1650 * time.Millisecond)
			r.answerSend(send, lineproto.StateIdle, ok("k"))
			So(r.responseCount(client), ShouldEqual, before)
			r.update(1600 * time.Millisecond)
			So(r.lastResponse(client), ShouldEqual, "DONE k / READY I")
			So(r.invariantViolation(), ShouldEqual, "")
		})
		Convey("A "+way.name+" answered without a lease is unknown when its time is over", t, func() {
			r := newHarness(20)
			client := r.client("strict")
			send := way.ask(r, client)
			r.advance(1650 * time.Millisecond)
			r.answerSend(send, lineproto.StateIdle, ok("k"))
			r.advance(400 * time.Millisecond)
			So(r.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(r.invariantViolation(), ShouldEqual, "")
		})
		Convey("A "+way.name+" answered without a lease is unknown when the term has moved since", t, func() {
			r := newHarness(20)
			client := r.client("strict")
			send := way.ask(r, client)
			r.advance(1650 * time.Millisecond)
			r.answerSend(send, lineproto.StateIdle, ok("k"))
			r.setWriter(model.PhaseOpen, "b", 4)
			So(r.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(r.invariantViolation(), ShouldEqual, "")
		})
		Convey("A "+way.name+" answered after the term moved is never told kept", t, func() {
			r := newHarness(20)
			client := r.client("strict")
			send := way.ask(r, client)
			r.setWriter(model.PhaseOpen, "b", 4)
			if !send.Conn.IsClosed() {
				r.answerSend(send, lineproto.StateIdle, ok("k"))
			}
			So(r.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(r.invariantViolation(), ShouldEqual, "")
		})
		Convey("A "+way.name+" answered in a closing term is told kept until the node says that it dropped the term, and its position goes along", t, func() {
			r := newHarness(20)
			client := r.client("strict")
			send := way.ask(r, client)
			r.setWriter(model.PhaseClosing, "a", 3)
			r.logIndex = 150
			r.answerSend(send, lineproto.StateIdle, ok("k"))
			So(r.lastResponse(client), ShouldEqual, "DONE k / READY I")
			So(r.HasStrandedCommits(r.now), ShouldBeFalse)
			So(r.UpdateRequest(r.now).HighWatermarks["x"], ShouldResemble, model.Position{Term: 3, Index: 150})
			So(r.invariantViolation(), ShouldEqual, "")
		})
		Convey("A "+way.name+" answered in a closing term after that word is unknown", t, func() {
			r := newHarness(20)
			client := r.client("strict")
			send := way.ask(r, client)
			r.setWriter(model.PhaseClosing, "a", 3)
			r.UpdateRequest(r.now)
			r.answerSend(send, lineproto.StateIdle, ok("k"))
			So(r.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(r.invariantViolation(), ShouldEqual, "")
		})
		Convey("A "+way.name+" answered in a closing term without a lease is held, and unknown once that word is given", t, func() {
			r := newHarness(20)
			client := r.client("strict")
			send := way.ask(r, client)
			before := r.responseCount(client)
			r.doc.Writers["x"] = model.WriterRole{Database: "x", Term: 3, Primary: "a", Phase: model.PhaseClosing, SyncReplication: true}
			r.update(100 * time.Millisecond)
			r.advance(1650 * time.Millisecond)
			if !send.Conn.IsClosed() {
				r.answerSend(send, lineproto.StateIdle, ok("k"))
				So(r.responseCount(client), ShouldEqual, before)
			}
			r.UpdateRequest(r.now)
			r.advance(time.Millisecond)
			So(r.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
		})
		Convey("A "+way.name+" answered in a term whose promotion is intended is unknown", t, func() {
			r := newHarness(20)
			client := r.client("strict")
			send := way.ask(r, client)
			r.setWriter(model.PhasePromoting, "a", 3)
			if !send.Conn.IsClosed() {
				r.answerSend(send, lineproto.StateIdle, ok("k"))
			}
			So(r.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
		})
		Convey("A "+way.name+" that the instance refuses is told as it was refused, also when the term is closing", t, func() {
			r := newHarness(20)
			client := r.client("strict")
			send := way.ask(r, client)
			r.setWriter(model.PhaseClosing, "a", 3)
			So(r.HasStrandedCommits(r.now), ShouldBeTrue)
			r.answerSend(send, lineproto.StateIdle, bad(lineproto.CodeReadOnly))
			So(r.lastResponse(client), ShouldEqual, "ERROR READONLY / READY I")
			So(r.HasStrandedCommits(r.now), ShouldBeFalse)
		})
		Convey("A "+way.name+" that is out when its term closes gets a short while, and is then unknown", t, func() {
			r := newHarness(20)
			client := r.client("strict")
			send := way.ask(r, client)
			before := r.responseCount(client)
			r.setWriter(model.PhaseClosing, "a", 3)
			So(r.HasStrandedCommits(r.now), ShouldBeTrue)
			r.advance(100 * time.Millisecond)
			So(r.HasStrandedCommits(r.now), ShouldBeTrue)
			So(r.responseCount(client), ShouldEqual, before)
			r.advance(50 * time.Millisecond)
			So(r.HasStrandedCommits(r.now), ShouldBeFalse)
			So(r.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(send.Conn.IsClosed(), ShouldBeTrue)
			So(r.invariantViolation(), ShouldEqual, "")
		})
	}
	Convey("What was told kept is in what the node tells the control primary", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.logIndex = 140
		r.query(client, write("1"))
		r.answerSend(r.nextSend(), lineproto.StateIdle, ok("w"))
		So(r.UpdateRequest(r.now).HighWatermarks["x"], ShouldResemble, model.Position{Term: 3, Index: 140})
		So(r.Observations(r.now).HighWatermarks["x"], ShouldResemble, model.Position{Term: 3, Index: 140})
	})
}

func TestClosing(t *testing.T) {
	Convey("Open transactions are aborted when the term closes: at once where a statement is out, else at the next word", t, func() {
		r := newHarness(20)
		working, resting, committing := r.client("strict"), r.client("strict"), r.client("strict")
		for _, client := range []*Client{working, resting, committing} {
			r.query(client, begin())
			r.query(client, write("1"))
			r.answerSend(r.answerBegin(), lineproto.StateInTransaction, ok("w"))
		}
		r.query(working, write("2"))
		out := r.nextSend()
		r.setWriter(model.PhaseClosing, "a", 3)
		So(r.lastResponse(working), ShouldEqual, "ERROR ABORTED / READY E")
		So(out.Conn.IsClosed(), ShouldBeTrue)
		So(r.lastResponse(resting), ShouldEqual, "DONE w / READY T")
		r.query(resting, write("3"))
		So(r.lastResponse(resting), ShouldEqual, "ERROR ABORTED / READY E")
		r.query(resting, rollback())
		So(r.lastResponse(resting), ShouldEqual, "DONE - / READY I")
		r.query(committing, commit())
		So(r.lastResponse(committing), ShouldEqual, "ERROR ABORTED / READY I")
		So(r.sends, ShouldBeEmpty)
		So(r.invariantViolation(), ShouldEqual, "")
	})
	Convey("A transaction that only reads goes on at a replica, and at the primary that was", t, func() {
		r := newHarness(20)
		r.samplePosition()
		for _, name := range []string{"stale", "strict"} {
			client := r.client(name)
			r.query(client, beginRead())
			r.query(client, read("1"))
			r.answerSend(r.answerBegin(), lineproto.StateInTransaction, ok("s"))
			defer func() {
				r.query(client, read("2"))
				r.answerSend(r.nextSend(), lineproto.StateInTransaction, ok("s2"))
				So(r.lastResponse(client), ShouldEqual, "DONE s2 / READY T")
			}()
		}
		r.setWriter(model.PhaseClosing, "a", 3)
	})
	Convey("A transaction whose begin is out when the term closes begins anew at the next primary", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, begin())
		r.query(client, write("1"))
		r.nextSend()
		r.setWriter(model.PhaseClosing, "a", 3)
		So(r.lastResponse(client), ShouldBeIn, "DONE - / READY T", "ERROR ABORTED / READY E")
		So(r.invariantViolation(), ShouldEqual, "")
	})
	Convey("A primary that leads a later term, the ones between unseen, has lost the transactions of the earlier", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, begin())
		r.query(client, write("1"))
		r.answerSend(r.answerBegin(), lineproto.StateInTransaction, ok("w"))
		r.setWriter(model.PhaseOpen, "a", 5)
		r.query(client, write("2"))
		So(r.lastResponse(client), ShouldEqual, "ERROR ABORTED / READY E")
		So(r.sends, ShouldBeEmpty)
	})
	Convey("Statements of an open transaction wait while there is no lease, and go on with one", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, begin())
		r.query(client, write("1"))
		r.answerSend(r.answerBegin(), lineproto.StateInTransaction, ok("w"))
		r.advance(1700 * time.Millisecond)
		r.query(client, commit())
		So(r.sends, ShouldBeEmpty)
		r.update(1600 * time.Millisecond)
		So(formatCommands(r.nextSend()), ShouldEqual, "commit")
	})
}

func TestLostConnections(t *testing.T) {
	Convey("A statement in line outlives connections that end", t, func() {
		r := newHarness(20)
		r.manualOpen = true
		client := r.client("strict")
		r.query(client, write("1"))
		r.loseConn(r.opens[0].Conn)
		So(r.responseCount(client), ShouldEqual, 1)
		r.manualOpen = false
		r.advanceInTicks(500 * time.Millisecond)
		r.answerSend(r.nextSend(), lineproto.StateIdle, ok("w"))
		So(r.lastResponse(client), ShouldEqual, "DONE w / READY I")
		So(r.invariantViolation(), ShouldEqual, "")
	})
	Convey("An opening that is never answered is given up", t, func() {
		r := newHarness(20)
		r.manualOpen = true
		client := r.client("strict")
		r.query(client, write("1"))
		first := r.opens[0].Conn
		r.advanceInTicks(800 * time.Millisecond)
		So(first.IsClosed(), ShouldBeTrue)
		So(r.responseCount(client), ShouldEqual, 1)
		So(r.invariantViolation(), ShouldEqual, "")
	})
	Convey("A connection lost on a begin has the statement begin elsewhere", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, begin())
		r.query(client, write("1"))
		first := r.nextSend()
		r.loseConn(first.Conn)
		one := r.answerBegin()
		So(formatCommands(one), ShouldEqual, "write 1")
		So(one.Conn, ShouldNotEqual, first.Conn)
	})
	ends := []struct {
		name  string
		asks  []Query
		heard string
	}{
		{"a single write", []Query{write("1")}, "ERROR UNKNOWN / READY I"},
		{"a write inside", []Query{begin(), write("1")}, "ERROR ABORTED / READY E"},
		{"a read inside", []Query{begin(), read("1")}, "ERROR ABORTED / READY E"},
		{"a read inside a reading transaction", []Query{beginRead(), read("1")}, "ERROR ABORTED / READY E"},
		{"a commit", []Query{begin(), commit()}, "ERROR UNKNOWN / READY I"},
		{"a commit of reads", []Query{beginRead(), commit()}, "ERROR ABORTED / READY I"},
	}
	for _, end := range ends {
		Convey("A connection lost with "+end.name+" out tells "+end.heard, t, func() {
			r := newHarness(20)
			client := r.client("strict")
			for _, ask := range end.asks {
				ask.ID += "x"
				r.query(client, ask)
			}
			send := r.nextSend()
			if len(end.asks) > 1 {
				r.answerSend(send, lineproto.StateInTransaction, ok("-"))
				send = r.nextSend()
			}
			r.loseConn(send.Conn)
			So(r.lastResponse(client), ShouldEqual, end.heard)
			So(r.sends, ShouldBeEmpty)
			So(r.invariantViolation(), ShouldEqual, "")
		})
		Convey("No answer in time to "+end.name+" is told so", t, func() {
			r := newHarness(20)
			client := r.client("strict")
			for _, ask := range end.asks {
				r.query(client, ask)
			}
			send := r.nextSend()
			if len(end.asks) > 1 {
				r.answerSend(send, lineproto.StateInTransaction, ok("-"))
				send = r.nextSend()
			}
			r.advanceInTicks(2100 * time.Millisecond)
			So(r.lastResponse(client), ShouldEqual, end.heard)
			So(send.Conn.IsClosed(), ShouldBeTrue)
			So(r.invariantViolation(), ShouldEqual, "")
		})
	}
	Convey("A single read is asked again, and again", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, read("1"))
		for range 3 {
			r.loseConn(r.nextSend().Conn)
			r.advanceInTicks(100 * time.Millisecond)
		}
		r.answerSend(r.nextSend(), lineproto.StateIdle, ok("s"))
		So(r.lastResponse(client), ShouldEqual, "DONE s / READY I")
	})
	Convey("A connection lost between the statements of a transaction is told at the next word", t, func() {
		for _, next := range []struct {
			ask   Query
			heard string
		}{{write("2"), "ERROR ABORTED / READY E"}, {commit(), "ERROR ABORTED / READY I"}, {rollback(), "DONE - / READY I"}} {
			r := newHarness(20)
			client := r.client("strict")
			r.query(client, begin())
			r.query(client, write("1"))
			send := r.answerBegin()
			r.answerSend(send, lineproto.StateInTransaction, ok("w"))
			r.loseConn(send.Conn)
			So(r.lastResponse(client), ShouldEqual, "DONE w / READY T")
			r.query(client, next.ask)
			So(r.lastResponse(client), ShouldEqual, next.heard)
			So(r.sends, ShouldBeEmpty)
			So(r.invariantViolation(), ShouldEqual, "")
		}
	})
	Convey("A word out of turn on a transaction's connection ends the transaction as a lost connection does", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, begin())
		r.query(client, write("1"))
		send := r.answerBegin()
		r.answerSend(send, lineproto.StateInTransaction, ok("w"))
		r.receive(send.Conn, bad(lineproto.CodeOther))
		So(send.Conn.IsClosed(), ShouldBeTrue)
		So(r.invariantViolation(), ShouldEqual, "")
		r.query(client, commit())
		So(r.lastResponse(client), ShouldEqual, "ERROR ABORTED / READY I")
		So(r.sends, ShouldBeEmpty)
	})
	Convey("An answer without an end is no answer: the connection ends, and the client hears at once", t, func() {
		for _, one := range []struct {
			ask   Query
			heard string
		}{{read("1"), "READY I"}, {write("1"), "ERROR UNKNOWN / READY I"}} {
			r := newHarness(20)
			client := r.client("strict")
			r.query(client, one.ask)
			send := r.nextSend()
			r.receive(send.Conn, r.readyIn(lineproto.StateIdle))
			So(send.Conn.IsClosed(), ShouldBeTrue)
			So(r.lastResponse(client), ShouldEqual, one.heard)
			So(r.invariantViolation(), ShouldEqual, "")
			if one.heard == "READY I" {
				r.answerSend(r.nextSend(), lineproto.StateIdle, ok("s"))
				So(r.lastResponse(client), ShouldEqual, "DONE s / READY I")
			}
		}
	})
	Convey("Rows or a second end after the end are no answer either", t, func() {
		for _, late := range []lineproto.Message{row("r"), ok("s2"), bad(lineproto.CodeBusy)} {
			r := newHarness(20)
			client := r.client("strict")
			r.query(client, write("1"))
			send := r.nextSend()
			r.receive(send.Conn, ok("s"), late)
			So(send.Conn.IsClosed(), ShouldBeTrue)
			So(r.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(r.invariantViolation(), ShouldEqual, "")
		}
	})
	Convey("Rows pass as they came, with the end and the state", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, read("1"))
		r.answerSend(r.nextSend(), lineproto.StateIdle, row("r1"), row("r2"), ok("s"))
		So(r.lastResponse(client), ShouldEqual, "ROW r1 / ROW r2 / DONE s / READY I")
	})
	Convey("Errors of an instance pass as they came", t, func() {
		for _, code := range []lineproto.Code{lineproto.CodeFailed, lineproto.CodeTimeout, lineproto.CodeOther} {
			for _, ask := range []Query{read("1"), write("1")} {
				r := newHarness(20)
				client := r.client("strict")
				r.query(client, ask)
				r.answerSend(r.nextSend(), lineproto.StateIdle, bad(code))
				if code == lineproto.CodeFailed && ask.Statement.Action == lineproto.ActionRead {
					So(r.responseCount(client), ShouldEqual, 1)
					r.advanceInTicks(50 * time.Millisecond)
					r.answerSend(r.nextSend(), lineproto.StateIdle, bad(code))
				}
				So(r.lastResponse(client), ShouldEqual, "ERROR "+codes[code]+" / READY I")
				r.advanceInTicks(200 * time.Millisecond)
				So(r.sends, ShouldBeEmpty)
			}
		}
	})
	Convey("A read that an instance failed is run once more, at another where there is one", t, func() {
		r := newHarness(20)
		r.samplePosition()
		client := r.client("stale")
		r.advanceInTicks(200 * time.Millisecond)
		r.query(client, read("1"))
		first := r.nextSend()
		r.answerSend(first, lineproto.StateIdle, bad(lineproto.CodeFailed))
		r.advanceInTicks(50 * time.Millisecond)
		second := r.nextSend()
		So(second.target(), ShouldNotEqual, first.target())
		So(formatCommands(second), ShouldEqual, "read 1")
		r.answerSend(second, lineproto.StateIdle, ok("s"))
		So(r.lastResponse(client), ShouldEqual, "DONE s / READY I")
		So(r.invariantViolation(), ShouldEqual, "")
	})
	Convey("Reads go where they failed less, and back in a while", t, func() {
		r := newHarness(20)
		r.samplePosition()
		r.advanceInTicks(200 * time.Millisecond)
		client := r.client("stale")
		goes := func() string {
			r.query(client, read("1"))
			send := r.nextSend()
			r.answerSend(send, lineproto.StateIdle, ok("s"))
			return send.target()
		}
		So(goes(), ShouldEqual, "b")
		for range 3 {
			r.instance("b").health.Observe(true, r.now)
		}
		So(goes(), ShouldNotEqual, "b")
		for range 16 {
			r.advanceInTicks(time.Second)
			r.samplePosition()
		}
		r.advanceInTicks(200 * time.Millisecond)
		So(goes(), ShouldEqual, "b")
	})
	Convey("A statement that fails its transaction has it rolled back, and the client ends it", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, begin())
		r.query(client, write("1"))
		send := r.answerBegin()
		r.answerSend(send, lineproto.StateFailed, bad(lineproto.CodeFailed))
		So(r.lastResponse(client), ShouldEqual, "ERROR FAILED / READY E")
		So(formatCommands(r.nextSend()), ShouldEqual, "rollback")
		r.query(client, write("2"))
		So(r.lastResponse(client), ShouldEqual, "ERROR MALFORMED / READY E")
		r.query(client, commit())
		So(r.lastResponse(client), ShouldEqual, "ERROR ABORTED / READY I")
		So(r.invariantViolation(), ShouldEqual, "")
	})
	Convey("A refused connection rests for longer each time, also where the instance answers the refusal", t, func() {
		r := newHarness(20)
		r.manualOpen = true
		client := r.client("strict")
		r.query(client, write("1"))
		tries := 0
		for end := r.now + 1900*time.Millisecond; r.now < end; {
			for len(r.opens) > 0 {
				tries++
				r.receive(r.opens[0].Conn, bad(lineproto.CodeTooManyConnections))
			}
			r.advanceInTicks(25 * time.Millisecond)
		}
		So(tries, ShouldBeBetween, 3, 12)
		So(r.invariantViolation(), ShouldEqual, "")
	})
	Convey("An address that belongs to another instance by now is no sign of life of the one sought", t, func() {
		r := newHarness(20)
		r.manualOpen = true
		client := r.client("strict")
		r.query(client, write("1"))
		for range 20 {
			for len(r.opens) > 0 {
				r.receive(r.opens[0].Conn, bad(lineproto.CodeWrongInstance))
			}
			r.advanceInTicks(50 * time.Millisecond)
		}
		told := r.Observations(r.now).Reports
		So(told[0].Instance.Name, ShouldEqual, "a")
		So(told[0].RefusedConnections, ShouldBeGreaterThan, 1)
		So(told[0].ResponseAge, ShouldBeGreaterThan, 500*time.Millisecond)
		So(r.reports, ShouldBeGreaterThan, 0)
	})
}

func TestDeadlines(t *testing.T) {
	Convey("Without a lease a statement ends with a promise when its time is over", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.advance(1700 * time.Millisecond)
		r.query(client, write("1"))
		r.advance(5100 * time.Millisecond)
		So(r.lastResponse(client), ShouldEqual, "ERROR BUSY / READY I")
		So(r.invariantViolation(), ShouldEqual, "")
	})
	Convey("A lease that comes after a statement's time has it end, and not go out", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.advance(1700 * time.Millisecond)
		r.query(client, write("1"))
		r.now += 2100 * time.Millisecond
		r.update(1600 * time.Millisecond)
		So(r.sends, ShouldBeEmpty)
		So(r.lastResponse(client), ShouldEqual, "ERROR BUSY / READY I")
	})
	Convey("In line, a first statement ends with BUSY, one of an open transaction with ABORTED", t, func() {
		r := newHarness(1)
		one, other, inside := r.client("strict"), r.client("strict"), r.client("strict")
		r.query(one, read("1"))
		r.nextSend()
		r.query(other, write("2"))
		r.query(inside, begin())
		r.query(inside, write("3"))
		So(r.sends, ShouldBeEmpty)
		r.advanceInTicks(1990 * time.Millisecond)
		r.advanceInTicks(20 * time.Millisecond)
		So(r.lastResponse(other), ShouldEqual, "ERROR BUSY / READY I")
		So(r.lastResponse(inside), ShouldEqual, "ERROR BUSY / READY E")
		So(r.invariantViolation(), ShouldEqual, "")
	})
	Convey("What waits in line is given up on before half of its time is over, with a time to come back", t, func() {
		r := newHarness(1)
		one, other, inside := r.client("strict"), r.client("strict"), r.client("strict")
		r.query(one, read("1"))
		r.nextSend()
		r.query(other, write("2"))
		r.query(inside, begin())
		r.query(inside, write("3"))
		r.advanceInTicks(875 * time.Millisecond)
		So(r.responseCount(other), ShouldEqual, 1)
		So(r.responseCount(inside), ShouldEqual, 2)
		r.advanceInTicks(100 * time.Millisecond)
		So(r.lastResponse(other), ShouldEqual, "ERROR BUSY / READY I")
		So(r.lastResponse(inside), ShouldEqual, "ERROR BUSY / READY E")
		So(r.responseCount(one), ShouldEqual, 1)
		So(r.invariantViolation(), ShouldEqual, "")
	})
	Convey("So is what waits for a lease", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.timing.UnavailableWait = 2 * time.Second
		r.advance(1700 * time.Millisecond)
		r.query(client, write("1"))
		r.advance(875 * time.Millisecond)
		So(r.responseCount(client), ShouldEqual, 1)
		r.advance(50 * time.Millisecond)
		So(r.lastResponse(client), ShouldEqual, "ERROR BUSY / READY I")
		So(r.responseCount(client), ShouldEqual, 2)
	})
	Convey("Where the lease has been gone for long nothing new waits for it, neither statement nor session", t, func() {
		r := newHarness(20)
		client, inside := r.client("strict"), r.client("strict")
		r.advanceInTicks(100 * time.Millisecond)
		r.advance(1500 * time.Millisecond)
		r.advance(200 * time.Millisecond)
		r.query(client, write("1"))
		So(r.responseCount(client), ShouldEqual, 1)
		r.update(1600 * time.Millisecond)
		r.answerSend(r.nextSend(), lineproto.StateIdle, ok("w"))
		So(r.lastResponse(client), ShouldEqual, "DONE w / READY I")
		for range 10 {
			r.advance(250 * time.Millisecond)
		}
		r.query(client, write("2"))
		So(r.lastResponse(client), ShouldEqual, "ERROR BUSY / READY I")
		r.query(inside, begin())
		r.query(inside, write("3"))
		So(r.lastResponse(inside), ShouldEqual, "ERROR BUSY / READY E")
		late := r.client("strict")
		So(r.lastResponse(late), ShouldEqual, "ERROR BUSY")
		So(r.closedClients[late], ShouldBeTrue)
		r.update(1600 * time.Millisecond)
		r.query(client, write("4"))
		r.answerSend(r.nextSend(), lineproto.StateIdle, ok("w"))
		So(r.lastResponse(client), ShouldEqual, "DONE w / READY I")
		So(r.invariantViolation(), ShouldEqual, "")
	})
	Convey("One of an open transaction that waits for the window ends it, and its connection is rolled back", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, begin())
		r.query(client, write("1"))
		r.answerSend(r.answerBegin(), lineproto.StateInTransaction, ok("w"))
		for range 2 {
			r.query(r.client("strict"), read("x"))
		}
		So(r.instance("a").window.HasRoom(), ShouldBeFalse)
		r.query(client, commit())
		for _, send := range r.sends {
			So(formatCommands(send), ShouldNotEqual, "commit")
		}
		r.advance(2100 * time.Millisecond)
		So(r.lastResponse(client), ShouldEqual, "ERROR ABORTED / READY I")
		So(r.invariantViolation(), ShouldEqual, "")
	})
	Convey("A begin that is not answered in time ends with a promise", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, begin())
		r.query(client, write("1"))
		send := r.nextSend()
		r.advanceInTicks(2100 * time.Millisecond)
		So(r.lastResponse(client), ShouldEqual, "ERROR ABORTED / READY E")
		So(send.Conn.IsClosed(), ShouldBeTrue)
		So(r.invariantViolation(), ShouldEqual, "")
	})
	Convey("A read that gets no answer ends with TIMEOUT", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, read("1"))
		r.advanceInTicks(2100 * time.Millisecond)
		So(r.lastResponse(client), ShouldEqual, "ERROR TIMEOUT / READY I")
	})
	Convey("A transaction that rests for too long is rolled back, counted from its last answer", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, begin())
		r.query(client, write("1"))
		send := r.answerBegin()
		r.advanceInTicks(1900 * time.Millisecond)
		r.answerSend(send, lineproto.StateInTransaction, ok("w"))
		r.advanceInTicks(2700 * time.Millisecond)
		So(send.Conn.IsClosed(), ShouldBeFalse)
		r.advanceInTicks(600 * time.Millisecond)
		So(send.Conn.IsClosed(), ShouldBeTrue)
		r.query(client, commit())
		So(r.lastResponse(client), ShouldEqual, "ERROR ABORTED / READY I")
		So(r.invariantViolation(), ShouldEqual, "")
	})
}

func TestClientLost(t *testing.T) {
	steps := []struct {
		name string
		asks []Query
		goes int
	}{
		{"that has not connected", nil, -1},
		{"at rest", nil, 0},
		{"with a begin", []Query{begin()}, 0},
		{"with a write out", []Query{write("1")}, 0},
		{"with a read out", []Query{read("1")}, 0},
		{"with a begin out", []Query{begin(), write("1")}, 0},
		{"with a statement inside out", []Query{begin(), write("1")}, 1},
		{"resting inside", []Query{begin(), write("1")}, 2},
		{"with a commit out", []Query{begin(), commit()}, 1},
		{"with more sent ahead", []Query{write("1"), write("2"), write("3")}, 0},
	}
	for _, step := range steps {
		for _, leased := range []bool{true, false} {
			Convey("A client that goes "+step.name+" leaves nothing behind", t, func() {
				r := newHarness(20)
				if step.goes < 0 {
					client := r.Accept(nil, r.now)
					r.ClientLost(client, r.now)
					r.Connect(client, "strict", r.now)
					r.query(client, read("1"))
					So(r.responseCount(client), ShouldEqual, 0)
					So(r.invariantViolation(), ShouldEqual, "")
					return
				}
				client := r.client("strict")
				if !leased {
					r.advance(1700 * time.Millisecond)
				}
				for _, ask := range step.asks {
					r.query(client, ask)
				}
				for at := 0; at < step.goes && len(r.sends) > 0; at++ {
					r.answerSend(r.nextSend(), lineproto.StateInTransaction, ok("-"))
				}
				before := r.responseCount(client)
				out := r.sends
				r.sends = nil
				r.ClientLost(client, r.now)
				r.applyEffects()
				So(r.invariantViolation(), ShouldEqual, "")
				for _, send := range out {
					if !send.Conn.IsClosed() {
						r.answerSend(send, lineproto.StateIdle, ok("late"))
					}
				}
				for len(r.sends) > 0 {
					send := r.nextSend()
					So(formatCommands(send), ShouldEqual, "rollback")
					r.answerSend(send, lineproto.StateIdle, ok("-"))
				}
				r.advanceInTicks(200 * time.Millisecond)
				So(r.responseCount(client), ShouldEqual, before)
				So(r.Clients(), ShouldEqual, 0)
				So(r.sends, ShouldBeEmpty)
				So(r.invariantViolation(), ShouldEqual, "")
				for _, instance := range r.instances.All() {
					So(instance.window.Reading().InFlight, ShouldEqual, 0)
					So(len(instance.idle), ShouldEqual, len(instance.conns))
				}
			})
		}
	}
	Convey("A client that goes with a commit to be confirmed leaves nothing behind", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, write("1"))
		r.advance(1700 * time.Millisecond)
		r.answerSend(r.nextSend(), lineproto.StateIdle, ok("w"))
		r.ClientLost(client, r.now)
		r.applyEffects()
		So(r.invariantViolation(), ShouldEqual, "")
		r.advanceInTicks(100 * time.Millisecond)
		So(r.responseCount(client), ShouldEqual, 1)
	})
	Convey("A connection whose answer nobody waits for is shut after a while", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, read("1"))
		send := r.nextSend()
		r.ClientLost(client, r.now)
		r.advanceInTicks(11 * time.Second)
		So(send.Conn.IsClosed(), ShouldBeTrue)
		So(r.instance("a").window.Reading().InFlight, ShouldEqual, 0)
	})
}

func TestHedgedReads(t *testing.T) {
	twinned := func() (*harness, *Client, Send, Send) {
		r := newHarness(20)
		r.samplePosition()
		client := r.client("stale")
		r.query(client, read("1"))
		first := r.nextSend()
		r.advanceInTicks(120 * time.Millisecond)
		second := r.nextSend()
		So(second.target(), ShouldNotEqual, first.target())
		So(second.Commands[0].ID, ShouldEqual, first.Commands[0].ID)
		return r, client, first, second
	}
	zero := func(r *harness) {
		for _, instance := range r.instances.All() {
			So(instance.window.Reading().InFlight, ShouldEqual, 0)
		}
		So(r.invariantViolation(), ShouldEqual, "")
	}
	Convey("Of a slow read and its twin the first answer wins, and the other is dropped", t, func() {
		for _, isFirst := range []bool{true, false} {
			r, client, one, other := twinned()
			if !isFirst {
				one, other = other, one
			}
			r.answerSend(one, lineproto.StateIdle, ok("won"))
			So(r.lastResponse(client), ShouldEqual, "DONE won / READY I")
			count := r.responseCount(client)
			r.answerSend(other, lineproto.StateIdle, row("late"), ok("late"))
			So(r.responseCount(client), ShouldEqual, count)
			zero(r)
		}
	})
	Convey("One connection lost leaves the other to answer; both lost have it asked again", t, func() {
		r, client, one, other := twinned()
		r.loseConn(one.Conn)
		So(r.sends, ShouldBeEmpty)
		r.answerSend(other, lineproto.StateIdle, ok("s"))
		So(r.lastResponse(client), ShouldEqual, "DONE s / READY I")
		zero(r)
		r, client, one, other = twinned()
		r.loseConn(one.Conn)
		r.loseConn(other.Conn)
		r.answerSend(r.nextSend(), lineproto.StateIdle, ok("s"))
		So(r.lastResponse(client), ShouldEqual, "DONE s / READY I")
		zero(r)
	})
	Convey("A refusal of one leaves the other to answer", t, func() {
		r, client, one, other := twinned()
		r.answerSend(one, lineproto.StateIdle, bad(lineproto.CodeBusy))
		So(r.sends, ShouldBeEmpty)
		r.answerSend(other, lineproto.StateIdle, ok("s"))
		So(r.lastResponse(client), ShouldEqual, "DONE s / READY I")
		zero(r)
	})
	Convey("Writes, strict reads and reads inside have no twin", t, func() {
		for _, asks := range [][]Query{{write("1")}, {read("1")}, {begin(), read("1")}, {beginRead(), read("1")}} {
			for _, name := range []string{"strict", "stale"} {
				if name == "stale" && len(asks) == 1 && asks[0].Statement.Action == lineproto.ActionRead {
					continue
				}
				r := newHarness(20)
				r.samplePosition()
				client := r.client(name)
				for _, ask := range asks {
					r.query(client, ask)
				}
				if len(asks) > 1 {
					r.answerBegin()
				} else {
					r.nextSend()
				}
				r.advanceInTicks(500 * time.Millisecond)
				So(r.sends, ShouldBeEmpty)
				So(r.responseCount(client), ShouldEqual, len(asks))
			}
		}
	})
}

func TestWindows(t *testing.T) {
	Convey("The most that is out at an instance is its connections over the nodes and one", t, func() {
		r := newHarness(20)
		r.Tick(nodes(4), 1, r.now)
		So(r.instance("a").window.Reading().MaxWindow, ShouldEqual, 4)
		So(r.instance("a").quota, ShouldResemble, connquota.Quota{MaxIdle: 4, MaxOpen: 4})
		r.Tick(nodes(9), 1, r.now)
		So(r.instance("a").window.Reading().MaxWindow, ShouldEqual, 2)
		r.Tick(nodes(4), 1, r.now+30*time.Second)
		So(r.instance("a").window.Reading().MaxWindow, ShouldEqual, 2)
		r.Tick(nodes(4), 1, r.now+100*time.Second)
		So(r.instance("a").window.Reading().MaxWindow, ShouldEqual, 4)
	})
	Convey("Over the window statements wait in line, in the order of their priority, and go as answers come", t, func() {
		r := newHarness(20)
		var clients []*Client
		for range 4 {
			clients = append(clients, r.client("strict"))
		}
		urgent := r.client("urgent")
		for _, client := range clients {
			r.query(client, read("1"))
		}
		r.query(urgent, read("now"))
		So(len(r.sends), ShouldEqual, 2)
		So(r.instance("a").window.Reading().InFlight, ShouldEqual, 2)
		r.answerSend(r.nextSend(), lineproto.StateIdle, ok("s"))
		So(len(r.sends), ShouldEqual, 2)
		So(formatCommands(r.sends[1]), ShouldEqual, "read now")
		for len(r.sends) > 0 {
			r.answerSend(r.nextSend(), lineproto.StateIdle, ok("s"))
		}
		for _, client := range append(clients, urgent) {
			So(r.lastResponse(client), ShouldEqual, "DONE s / READY I")
		}
		So(r.instance("a").window.Reading().InFlight, ShouldEqual, 0)
	})
	Convey("A line that is full refuses with a promise", t, func() {
		r := newHarness(1)
		r.timing.MaxQueue = 2
		var last *Client
		for range 4 {
			last = r.client("strict")
			r.query(last, read("1"))
		}
		So(r.lastResponse(last), ShouldEqual, "ERROR BUSY / READY I")
		So(r.invariantViolation(), ShouldEqual, "")
	})
	Convey("The node holds no more connections than its share", t, func() {
		r := newHarness(8)
		for range 12 {
			client := r.client("strict")
			r.query(client, begin())
			r.query(client, write("1"))
			for len(r.sends) > 0 {
				r.answerSend(r.nextSend(), lineproto.StateInTransaction, ok("-"))
			}
		}
		So(len(r.instance("a").conns), ShouldEqual, 4)
		So(r.invariantViolation(), ShouldEqual, "")
	})
	Convey("The lines of two databases do not wait for each other", t, func() {
		r := newHarness(1)
		one, other := r.client("strict"), r.client("other")
		r.query(one, read("1"))
		r.query(other, read("2"))
		So(r.nextSend().target(), ShouldEqual, "a")
		So(r.nextSend().target(), ShouldEqual, "d")
	})
}

func TestLeavingInstances(t *testing.T) {
	Convey("An instance that leaves gets no new work, and its idle connections are shut", t, func() {
		r := newHarness(20)
		r.samplePosition()
		r.registered("b").Leaving = true
		r.registered("c").Leaving = true
		r.update(1600 * time.Millisecond)
		for range 4 {
			client := r.client("stale")
			r.query(client, read("1"))
			send := r.nextSend()
			So(send.target(), ShouldEqual, "a")
			r.answerSend(send, lineproto.StateIdle, ok("s"))
		}
		So(len(r.instance("b").conns)+len(r.instance("c").conns), ShouldEqual, 0)
	})
	Convey("A primary that leaves is sent what needs it, on the connections that it has, until its term closes", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, write("1"))
		first := r.nextSend()
		r.answerSend(first, lineproto.StateIdle, ok("w"))
		r.registered("a").Leaving = true
		r.update(1600 * time.Millisecond)
		for range 3 {
			r.query(client, write("2"))
			send := r.nextSend()
			So(send.Conn, ShouldEqual, first.Conn)
			r.answerSend(send, lineproto.StateIdle, ok("w"))
		}
		r.setWriter(model.PhaseClosing, "a", 3)
		So(len(r.instance("a").conns), ShouldEqual, 0)
	})
	Convey("A primary that was leaving when the node first heard of it is sent what needs it for a shorter while", t, func() {
		r := newHarness(20)
		late := newHarness(20)
		late.registry[0].Leaving = true
		late.Machine = New(Node{Name: "d2", Zone: "za", Incarnation: 1, Weight: 1}, DefaultTiming(), lease.DefaultTiming(), func(string, int64) {})
		late.update(1600 * time.Millisecond)
		client := late.client("strict")
		late.query(client, write("1"))
		late.answerSend(late.nextSend(), lineproto.StateIdle, ok("w"))
		late.advanceInTicks(2100 * time.Millisecond)
		late.query(client, write("2"))
		So(late.sends, ShouldBeEmpty)
		r.registry[0].Leaving = true
		r.update(1600 * time.Millisecond)
		r.advanceInTicks(2100 * time.Millisecond)
		r.query(r.client("strict"), write("1"))
		So(len(r.sends), ShouldEqual, 1)
	})
	Convey("A primary that leaves is sent nothing more after a while, though its term be open", t, func() {
		r := newHarness(20)
		client, inside := r.client("strict"), r.client("strict")
		r.query(inside, begin())
		r.query(inside, write("1"))
		r.answerSend(r.answerBegin(), lineproto.StateInTransaction, ok("w"))
		r.registered("a").Leaving = true
		r.update(1600 * time.Millisecond)
		for range 2 {
			r.advanceInTicks(2400 * time.Millisecond)
			r.query(inside, read("2"))
			r.answerSend(r.nextSend(), lineproto.StateInTransaction, ok("w"))
		}
		r.advanceInTicks(300 * time.Millisecond)
		for _, ask := range []Query{read("3"), write("4")} {
			r.query(client, ask)
			So(r.sends, ShouldBeEmpty)
			r.advanceInTicks(2100 * time.Millisecond)
			So(r.lastResponse(client), ShouldEqual, "ERROR BUSY / READY I")
		}
		r.query(inside, commit())
		So(r.lastResponse(inside), ShouldEqual, "ERROR ABORTED / READY I")
		So(len(r.instance("a").conns), ShouldEqual, 0)
	})
	Convey("What is out there is answered, and its connection is not lent on", t, func() {
		r := newHarness(20)
		r.samplePosition()
		client := r.client("stale")
		r.query(client, read("1"))
		send := r.nextSend()
		r.registered(send.target()).Leaving = true
		r.update(1600 * time.Millisecond)
		r.answerSend(send, lineproto.StateIdle, ok("s"))
		So(r.lastResponse(client), ShouldEqual, "DONE s / READY I")
		So(send.Conn.IsClosed(), ShouldBeTrue)
	})
	Convey("A transaction there goes on, for a while", t, func() {
		r := newHarness(20)
		r.samplePosition()
		client := r.client("stale")
		r.query(client, beginRead())
		r.query(client, read("1"))
		send := r.answerBegin()
		r.answerSend(send, lineproto.StateInTransaction, ok("s"))
		r.registered(send.target()).Leaving = true
		r.update(1600 * time.Millisecond)
		r.query(client, read("2"))
		r.answerSend(r.nextSend(), lineproto.StateInTransaction, ok("s2"))
		So(r.lastResponse(client), ShouldEqual, "DONE s2 / READY T")
		for range 3 {
			r.advanceInTicks(2 * time.Second)
			r.query(client, read("3"))
			for len(r.sends) > 0 {
				r.answerSend(r.nextSend(), lineproto.StateInTransaction, ok("s3"))
			}
		}
		So(send.Conn.IsClosed(), ShouldBeTrue)
		So(r.lastResponse(client), ShouldEqual, "ERROR ABORTED / READY E")
	})
	Convey("One that has gone is none", t, func() {
		r := newHarness(20)
		r.samplePosition()
		r.registered("b").Stopped = true
		r.registered("c").Stopped = true
		r.update(1600 * time.Millisecond)
		r.query(r.client("stale"), read("1"))
		So(r.nextSend().target(), ShouldEqual, "a")
	})
}

func TestDrain(t *testing.T) {
	Convey("A node that stops is unready at once, and serves on for a while", t, func() {
		r := newHarness(20)
		isReady, _ := r.Ready(r.now)
		So(isReady, ShouldBeTrue)
		idle, busy := r.client("strict"), r.client("strict")
		r.Drain(r.now)
		isReady, why := r.Ready(r.now)
		So(isReady, ShouldBeFalse)
		So(why, ShouldEqual, "stopping")
		r.advanceInTicks(2200 * time.Millisecond)
		So(r.closedClients[idle], ShouldBeFalse)
		r.query(busy, write("1"))
		send := r.nextSend()
		r.advanceInTicks(200 * time.Millisecond)
		So(r.closedClients[idle], ShouldBeTrue)
		So(r.closedClients[busy], ShouldBeFalse)
		r.answerSend(send, lineproto.StateIdle, ok("w"))
		So(r.lastResponse(busy), ShouldEqual, "DONE w / READY I")
		r.advanceInTicks(50 * time.Millisecond)
		So(r.closedClients[busy], ShouldBeTrue)
		So(r.IsDrained(), ShouldBeTrue)
	})
	Convey("An open transaction has a while more, and is rolled back at rest", t, func() {
		r := newHarness(20)
		client, other := r.client("strict"), r.client("strict")
		for _, one := range []*Client{client, other} {
			r.query(one, begin())
			r.query(one, write("1"))
			r.answerSend(r.answerBegin(), lineproto.StateInTransaction, ok("w"))
		}
		r.Drain(r.now)
		r.advanceInTicks(2500 * time.Millisecond)
		So(r.closedClients[client], ShouldBeFalse)
		r.query(client, commit())
		r.answerSend(r.nextSend(), lineproto.StateIdle, ok("k"))
		So(r.lastResponse(client), ShouldEqual, "DONE k / READY I")
		r.advanceInTicks(500 * time.Millisecond)
		So(r.closedClients[client], ShouldBeTrue)
		So(r.closedClients[other], ShouldBeTrue)
		So(formatCommands(r.nextSend()), ShouldEqual, "rollback")
		So(r.IsDrained(), ShouldBeTrue)
	})
	Convey("No session is ended with a statement out before the last moment", t, func() {
		r := newHarness(20)
		r.doc.Sets[0].Bindings[0].Timeout = 8 * time.Second
		r.update(1600 * time.Millisecond)
		client := r.client("strict")
		r.query(client, write("1"))
		r.Drain(r.now)
		r.advanceInTicks(5300 * time.Millisecond)
		So(r.closedClients[client], ShouldBeFalse)
		r.advanceInTicks(200 * time.Millisecond)
		So(r.closedClients[client], ShouldBeTrue)
		So(r.invariantViolation(), ShouldEqual, "")
	})
}

func TestSessions(t *testing.T) {
	Convey("A session waits for the first lease, and is refused after a while without", t, func() {
		r := newHarness(20)
		r.advance(1700 * time.Millisecond)
		client, late := r.client("strict"), r.client("strict")
		So(r.responseCount(client), ShouldEqual, 0)
		r.update(1600 * time.Millisecond)
		So(r.lastResponse(client), ShouldEqual, "READY I")
		So(r.lastResponse(late), ShouldEqual, "READY I")
		r.advance(1700 * time.Millisecond)
		third := r.client("strict")
		r.advance(1900 * time.Millisecond)
		So(r.lastResponse(third), ShouldEqual, "ERROR BUSY")
		So(r.closedClients[third], ShouldBeTrue)
	})
	Convey("A database that is bound to nothing is refused", t, func() {
		r := newHarness(20)
		client := r.client("none")
		So(r.lastResponse(client), ShouldEqual, "ERROR NODB")
		So(r.closedClients[client], ShouldBeTrue)
	})
	Convey("A binding that changes binds from the next transaction on, and one that is gone is none", t, func() {
		r := newHarness(20)
		client, inside := r.client("strict"), r.client("strict")
		r.query(inside, begin())
		r.query(inside, write("1"))
		r.answerSend(r.answerBegin(), lineproto.StateInTransaction, ok("w"))
		next := r.doc.Sets[0]
		next.Sequence, next.Version = 2, 6
		next.Bindings = []model.Binding{{Name: "strict", Database: "y", Timeout: 2 * time.Second}}
		r.doc.Sets = append(r.doc.Sets, next)
		r.update(1600 * time.Millisecond)
		r.query(client, write("2"))
		So(r.nextSend().target(), ShouldEqual, "d")
		r.query(inside, write("3"))
		send := r.nextSend()
		So(send.target(), ShouldEqual, "a")
		r.answerSend(send, lineproto.StateInTransaction, ok("w"))
		next.Sequence, next.Version, next.Bindings = 3, 7, nil
		r.doc.Sets = append(r.doc.Sets, next)
		r.update(1600 * time.Millisecond)
		r.query(inside, commit())
		r.answerSend(r.nextSend(), lineproto.StateIdle, ok("k"))
		So(r.lastResponse(inside), ShouldEqual, "DONE k / READY I")
		r.query(inside, read("4"))
		So(r.lastResponse(inside), ShouldEqual, "ERROR NODB / READY I")
	})
	Convey("Queries sent ahead are answered in order, each once", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, begin())
		r.query(client, write("1"))
		r.query(client, set("v", "1"))
		r.query(client, commit())
		r.query(client, read("2"))
		r.answerSend(r.answerBegin(), lineproto.StateInTransaction, ok("w"))
		send := r.nextSend()
		So(formatCommands(send), ShouldEqual, "set v=1, commit")
		r.answerSend(send, lineproto.StateIdle, ok("k"))
		send = r.nextSend()
		So(formatCommands(send), ShouldEqual, "read 2")
		r.answerSend(send, lineproto.StateIdle, ok("s"))
		So(r.responses[client], ShouldResemble, []string{
			"READY I", "DONE - / READY T", "DONE w / READY T", "DONE - / READY T", "DONE k / READY I", "DONE s / READY I",
		})
	})
	Convey("Too much sent ahead ends the session", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		for range r.timing.MaxPipelined + 2 {
			r.query(client, read("1"))
		}
		So(r.lastResponse(client), ShouldEqual, "ERROR TOOLONG")
		So(r.closedClients[client], ShouldBeTrue)
		So(r.invariantViolation(), ShouldEqual, "")
	})
	Convey("Only so many sessions are taken", t, func() {
		r := newHarness(20)
		r.timing.MaxClients = 1
		So(r.client("strict"), ShouldNotBeNil)
		So(r.Accept(nil, r.now), ShouldBeNil)
	})
	acts := []struct {
		name string
		ask  func() Query
		want map[string]string
	}{
		{"begin", begin, map[string]string{"I": "DONE - / READY T", "T": "ERROR MALFORMED / READY E", "E": "ERROR MALFORMED / READY E"}},
		{"begin read", beginRead, map[string]string{"I": "DONE - / READY T", "T": "ERROR MALFORMED / READY E", "E": "ERROR MALFORMED / READY E"}},
		{"commit", commit, map[string]string{"I": "ERROR MALFORMED / READY I", "T": "", "E": "ERROR ABORTED / READY I"}},
		{"rollback", rollback, map[string]string{"I": "ERROR MALFORMED / READY I", "T": "DONE - / READY I", "E": "DONE - / READY I"}},
		{"read", func() Query { return read("1") }, map[string]string{"I": "", "T": "", "E": "ERROR MALFORMED / READY E"}},
		{"write", func() Query { return write("1") }, map[string]string{"I": "", "T": "", "E": "ERROR MALFORMED / READY E"}},
		{"set", func() Query { return set("v", "1") }, map[string]string{"I": "DONE - / READY I", "T": "DONE - / READY T", "E": "ERROR MALFORMED / READY E"}},
		{"prepare", func() Query { return prepare("p", "read q") }, map[string]string{"I": "DONE - / READY I", "T": "DONE - / READY T", "E": "ERROR MALFORMED / READY E"}},
		{"run", func() Query { return runs("none", "1") }, map[string]string{"I": "ERROR NOTFOUND / READY I", "T": "ERROR NOTFOUND / READY E", "E": "ERROR MALFORMED / READY E"}},
		{"forget", func() Query { return forget("none") }, map[string]string{"I": "ERROR NOTFOUND / READY I", "T": "ERROR NOTFOUND / READY T", "E": "ERROR MALFORMED / READY E"}},
		{"nonsense", func() Query { return newQuery(lineproto.ActionInvalid, "what") }, map[string]string{"I": "ERROR MALFORMED / READY I", "T": "ERROR MALFORMED / READY E", "E": "ERROR MALFORMED / READY E"}},
		{"unheard of", func() Query { return newQuery(lineproto.Action(99), "what") }, map[string]string{"I": "ERROR MALFORMED / READY I", "T": "ERROR MALFORMED / READY E", "E": "ERROR MALFORMED / READY E"}},
	}
	for _, act := range acts {
		for state, want := range act.want {
			Convey("In state "+state+" the text "+act.name+" tells "+want, t, func() {
				r := newHarness(20)
				client := r.client("strict")
				if state != "I" {
					r.query(client, begin())
				}
				if state == "E" {
					r.query(client, begin())
					So(r.lastResponse(client), ShouldEqual, "ERROR MALFORMED / READY E")
				}
				count := r.responseCount(client)
				r.query(client, act.ask())
				if want == "" {
					So(r.responseCount(client), ShouldEqual, count)
					So(len(r.sends), ShouldEqual, 1)
				} else {
					So(r.lastResponse(client), ShouldEqual, want)
					So(r.responseCount(client), ShouldEqual, count+1)
					So(r.sends, ShouldBeEmpty)
				}
				So(r.invariantViolation(), ShouldEqual, "")
			})
		}
	}
	Convey("Queries before the connect, and a second connect, end the session", t, func() {
		r := newHarness(20)
		client := r.Accept(nil, r.now)
		r.query(client, read("1"))
		So(r.lastResponse(client), ShouldEqual, "ERROR MALFORMED")
		So(r.closedClients[client], ShouldBeTrue)
		client = r.client("strict")
		r.Connect(client, "strict", r.now)
		r.applyEffects()
		So(r.lastResponse(client), ShouldEqual, "ERROR MALFORMED")
		So(r.closedClients[client], ShouldBeTrue)
	})
	Convey("Malformed answers of an instance end its connection", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, write("1"))
		send := r.nextSend()
		r.receive(send.Conn, lineproto.Message{Kind: lineproto.KindInvalid})
		So(send.Conn.IsClosed(), ShouldBeTrue)
		So(r.lastResponse(client), ShouldEqual, "ERROR UNKNOWN / READY I")
		r.receive(send.Conn, ok("late"), r.readyIn(lineproto.StateIdle))
		So(r.responseCount(client), ShouldEqual, 2)
		So(r.invariantViolation(), ShouldEqual, "")
	})
}

func TestObservations(t *testing.T) {
	Convey("A primary that owes answers is told at once, and again when it owes them for longer", t, func() {
		r := newHarness(20)
		client := r.client("strict")
		r.query(client, write("1"))
		r.advanceInTicks(275 * time.Millisecond)
		So(r.reports, ShouldEqual, 0)
		r.advanceInTicks(50 * time.Millisecond)
		So(r.reports, ShouldEqual, 1)
		r.advanceInTicks(275 * time.Millisecond)
		So(r.reports, ShouldEqual, 1)
		r.advanceInTicks(50 * time.Millisecond)
		So(r.reports, ShouldEqual, 2)
		report := r.Observations(r.now).Reports[0]
		So(report.OldestStatementAge, ShouldBeGreaterThan, 600*time.Millisecond)
		So(report.ResponseAge, ShouldBeGreaterThan, 600*time.Millisecond)
	})
	Convey("The instance that is to be promoted is told of, so that a new control primary can ask at its address", t, func() {
		r := newHarness(20)
		So(len(r.Observations(r.now).Reports), ShouldEqual, 2)
		r.doc.Writers["x"] = model.WriterRole{Database: "x", Term: 3, Primary: "a", Promoting: "b", Phase: model.PhasePromoting, SyncReplication: true}
		r.update(1600 * time.Millisecond)
		names := []string{}
		for _, report := range r.Observations(r.now).Reports {
			names = append(names, report.Instance.Name+" "+report.Instance.Address)
		}
		So(names, ShouldResemble, []string{"a a:1", "b b:1", "d d:1"})
	})
	Convey("A primary that refuses connections is told at once", t, func() {
		r := newHarness(20)
		r.manualOpen = true
		r.query(r.client("strict"), write("1"))
		r.loseConn(r.opens[0].Conn)
		r.advance(time.Millisecond)
		So(r.reports, ShouldEqual, 1)
		So(r.Observations(r.now).Reports[0].RefusedConnections, ShouldEqual, 1)
	})
	Convey("An ask tells the roll that the node has, its birth and the set it shows", t, func() {
		r := newHarness(20)
		ask := r.UpdateRequest(r.now)
		So(ask.ListVersion, ShouldResemble, distribution.ListVersion{Tenure: "t", Number: 1})
		So(ask.Incarnation, ShouldEqual, 1)
		So(ask.ActiveSequence, ShouldEqual, 1)
		So(ask.Node, ShouldEqual, "d1")
	})
}
