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
		r := newRig(20)
		c := r.client("strict")
		So(r.heard(c), ShouldEqual, "READY I")
		r.query(c, begin())
		So(r.heard(c), ShouldEqual, "DONE - / READY T")
		So(r.sends, ShouldBeEmpty)
		r.query(c, write("1"))
		first := r.next()
		So(texts(first), ShouldEqual, "begin")
		So(first.to(), ShouldEqual, "a")
		So(r.sends, ShouldBeEmpty)
		r.answer(first, lineproto.StateInside, ok("-"))
		second := r.next()
		So(texts(second), ShouldEqual, "write 1")
		So(second.Conn, ShouldEqual, first.Conn)
		r.answer(second, lineproto.StateInside, ok("w1"))
		So(r.heard(c), ShouldEqual, "DONE w1 / READY T")
		r.query(c, commit())
		third := r.next()
		So(texts(third), ShouldEqual, "commit")
		So(third.Conn, ShouldEqual, first.Conn)
		r.answer(third, lineproto.StateIdle, ok("k1"))
		So(r.heard(c), ShouldEqual, "DONE k1 / READY I")
		So(r.sound(), ShouldEqual, "")
	})
	refusals := []struct {
		name  string
		act   func() Asked
		bound string
		code  lineproto.Code
	}{
		{"LAGGING", beginRead, "stale", lineproto.CodeLagging},
		{"READONLY", begin, "strict", lineproto.CodeReadOnly},
		{"BUSY", begin, "strict", lineproto.CodeBusy},
	}
	for _, one := range refusals {
		Convey("A begin refused with "+one.name+" keeps the statement back; it runs inside a later one", t, func() {
			r := newRig(20)
			r.sampled()
			c := r.client(one.bound)
			r.query(c, one.act())
			r.query(c, read("1"))
			count := r.answers(c)
			r.answer(r.next(), lineproto.StateIdle, bad(one.code))
			So(r.answers(c), ShouldEqual, count)
			r.wait(400 * time.Millisecond)
			again := r.begun()
			So(texts(again), ShouldEqual, "read 1")
			r.answer(again, lineproto.StateInside, ok("s"))
			So(r.heard(c), ShouldEqual, "DONE s / READY T")
			So(r.sound(), ShouldEqual, "")
		})
		Convey("A begin refused with "+one.name+" for as long as the statement may wait ends it with a promise", t, func() {
			r := newRig(20)
			r.sampled()
			c := r.client(one.bound)
			r.query(c, one.act())
			r.query(c, read("1"))
			tries := 0
			for r.now < time.Hour+5*time.Second && r.heard(c) == "DONE - / READY T" {
				for len(r.sends) > 0 {
					tries++
					r.answer(r.next(), lineproto.StateIdle, bad(one.code))
				}
				r.wait(25 * time.Millisecond)
			}
			So(r.heard(c), ShouldEqual, "ERROR BUSY / READY E")
			So(tries, ShouldBeBetween, 1, 60)
			So(r.sound(), ShouldEqual, "")
		})
	}
	Convey("A begin that is answered done outside of a transaction is none", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, begin())
		r.query(c, write("1"))
		r.answer(r.next(), lineproto.StateIdle, ok("-"))
		for _, send := range r.sends {
			So(texts(send), ShouldEqual, "begin")
		}
	})
	Convey("A commit of nothing begins and commits at an instance all the same", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, begin())
		r.query(c, commit())
		one := r.begun()
		So(texts(one), ShouldEqual, "commit")
		r.answer(one, lineproto.StateIdle, ok("k"))
		So(r.heard(c), ShouldEqual, "DONE k / READY I")
	})
	Convey("A rollback of nothing, or before any statement, is the node's own", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, rollback())
		So(r.heard(c), ShouldEqual, "ERROR MALFORMED / READY I")
		r.query(c, begin())
		r.query(c, rollback())
		So(r.heard(c), ShouldEqual, "DONE - / READY I")
		So(r.sends, ShouldBeEmpty)
	})
	Convey("A rollback after statements is answered at once, and the connection is lent on only when it is done", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, begin())
		r.query(c, write("1"))
		r.answer(r.begun(), lineproto.StateInside, ok("w"))
		r.query(c, rollback())
		So(r.heard(c), ShouldEqual, "DONE - / READY I")
		back := r.next()
		So(texts(back), ShouldEqual, "rollback")
		r.query(c, write("2"))
		So(r.next().Conn, ShouldNotEqual, back.Conn)
		r.answer(back, lineproto.StateIdle, ok("-"))
		So(back.Conn.state, ShouldEqual, connIdle)
		So(r.sound(), ShouldEqual, "")
	})
	Convey("A connection whose rollback does not end its transaction is not lent on", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, begin())
		r.query(c, write("1"))
		r.answer(r.begun(), lineproto.StateInside, ok("w"))
		r.query(c, rollback())
		back := r.next()
		r.answer(back, lineproto.StateInside, bad(lineproto.CodeOther))
		So(back.Conn.IsOver(), ShouldBeTrue)
	})
	Convey("A single statement that leaves its connection inside a transaction ends the connection", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, read("1"))
		one := r.next()
		r.answer(one, lineproto.StateInside, ok("s"))
		So(one.Conn.IsOver(), ShouldBeTrue)
	})
}

func TestShapes(t *testing.T) {
	Convey("What the node answers itself makes no statement at an instance", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, set("v", "1"))
		r.query(c, prepare("p", "read q"))
		r.query(c, forget("p"))
		So(r.heard(c), ShouldEqual, "DONE - / READY I")
		r.query(c, forget("p"))
		So(r.heard(c), ShouldEqual, "ERROR NOTFOUND / READY I")
		r.query(c, runs("p", "1"))
		So(r.heard(c), ShouldEqual, "ERROR NOTFOUND / READY I")
		So(r.sends, ShouldBeEmpty)
	})
	Convey("A connection is brought to a session's values, and reset where it has one that the session has not", t, func() {
		r := newRig(1)
		one, other, plain := r.client("strict"), r.client("strict"), r.client("strict")
		r.query(one, set("v", "1"))
		r.query(other, set("v", "2"))
		r.query(one, read("1"))
		first := r.next()
		So(texts(first), ShouldEqual, "set v=1, read 1")
		r.answer(first, lineproto.StateIdle, ok("s"))
		r.query(one, read("2"))
		second := r.next()
		So(texts(second), ShouldEqual, "read 2")
		So(second.Conn, ShouldEqual, first.Conn)
		r.answer(second, lineproto.StateIdle, ok("s"))
		r.query(other, read("3"))
		third := r.next()
		So(texts(third), ShouldEqual, "set v=2, read 3")
		r.answer(third, lineproto.StateIdle, ok("s"))
		r.query(plain, read("4"))
		fourth := r.next()
		So(texts(fourth), ShouldEqual, "reset, read 4")
		So(fourth.Conn, ShouldEqual, first.Conn)
		r.answer(fourth, lineproto.StateIdle, ok("s"))
		r.query(plain, read("5"))
		So(texts(r.next()), ShouldEqual, "read 5")
	})
	Convey("Shapes are prepared once for each connection, under names of the node's own", t, func() {
		r := newRig(1)
		one, other := r.client("strict"), r.client("strict")
		r.query(one, prepare("p", "read q"))
		r.query(other, prepare("p", "write q"))
		r.query(one, runs("p", "1"))
		first := r.next()
		So(texts(first), ShouldEqual, "prepare p1 as read q, run p1 1")
		r.answer(first, lineproto.StateIdle, ok("s"))
		r.query(other, runs("p", "2"))
		second := r.next()
		So(texts(second), ShouldEqual, "prepare p2 as write q, run p2 2")
		r.answer(second, lineproto.StateIdle, ok("s"))
		r.query(one, runs("p", "3"))
		third := r.next()
		So(texts(third), ShouldEqual, "run p1 3")
		r.answer(third, lineproto.StateIdle, ok("s"))
		r.query(one, prepare("p", "read z"))
		r.query(one, runs("p", "4"))
		So(texts(r.next()), ShouldEqual, "prepare p3 as read z, run p3 4")
	})
	Convey("The id of a run is the client's, and what goes before it has none", t, func() {
		r := newRig(1)
		c := r.client("strict")
		r.query(c, prepare("p", "read q"))
		ask := runs("p", "1")
		r.query(c, ask)
		send := r.next()
		So(send.Outs[0].ID, ShouldEqual, "")
		So(send.Outs[1].ID, ShouldEqual, ask.ID)
	})
	Convey("Values set and shapes prepared inside a transaction go out in it, and its rollback has the connection reset", t, func() {
		r := newRig(1)
		c := r.client("strict")
		r.query(c, begin())
		r.query(c, read("1"))
		r.answer(r.begun(), lineproto.StateInside, ok("s"))
		r.query(c, set("v", "1"))
		r.query(c, prepare("p", "read q"))
		r.query(c, runs("p", "2"))
		inside := r.next()
		So(texts(inside), ShouldEqual, "set v=1, prepare p1 as read q, run p1 2")
		r.answer(inside, lineproto.StateInside, ok("s"))
		r.query(c, rollback())
		r.answer(r.next(), lineproto.StateIdle, ok("-"))
		r.query(c, runs("p", "3"))
		So(texts(r.next()), ShouldEqual, "reset, set v=1, prepare p2 as read q, run p2 3")
	})
	Convey("A transaction that is committed leaves its connection as it is", t, func() {
		r := newRig(1)
		c := r.client("strict")
		r.query(c, begin())
		r.query(c, set("v", "1"))
		r.query(c, read("1"))
		first := r.next()
		So(texts(first), ShouldEqual, "set v=1, begin")
		r.answer(first, lineproto.StateInside, ok("-"))
		r.answer(r.next(), lineproto.StateInside, ok("s"))
		r.query(c, set("w", "2"))
		r.query(c, read("2"))
		r.answer(r.next(), lineproto.StateInside, ok("s"))
		r.query(c, commit())
		r.answer(r.next(), lineproto.StateIdle, ok("k"))
		r.query(c, read("3"))
		So(texts(r.next()), ShouldEqual, "read 3")
	})
	Convey("A transaction whose commit is refused has its connection reset where values were set inside", t, func() {
		r := newRig(1)
		c := r.client("strict")
		r.query(c, begin())
		r.query(c, read("1"))
		r.answer(r.begun(), lineproto.StateInside, ok("s"))
		r.query(c, set("v", "1"))
		r.query(c, read("2"))
		r.answer(r.next(), lineproto.StateInside, ok("s"))
		r.query(c, commit())
		r.answer(r.next(), lineproto.StateIdle, bad(lineproto.CodeAborted))
		So(r.heard(c), ShouldEqual, "ERROR ABORTED / READY I")
		r.query(c, read("3"))
		So(texts(r.next()), ShouldEqual, "reset, set v=1, read 3")
	})
	Convey("A connection on which one of the node's own statements failed is reset", t, func() {
		r := newRig(1)
		c := r.client("strict")
		r.query(c, set("v", "1"))
		r.query(c, read("1"))
		one := r.next()
		r.came(one.Conn, bad(lineproto.CodeOther), r.at(lineproto.StateIdle), ok("s"), r.at(lineproto.StateIdle))
		r.query(c, read("2"))
		So(texts(r.next()), ShouldEqual, "reset, set v=1, read 2")
	})
	Convey("A prepared name that an instance does not know is prepared again, for reads and writes", t, func() {
		for _, text := range []string{"read q", "write q"} {
			r := newRig(1)
			c := r.client("strict")
			r.query(c, prepare("p", text))
			r.query(c, runs("p", "1"))
			r.answer(r.next(), lineproto.StateIdle, bad(lineproto.CodeNotFound))
			So(r.heard(c), ShouldNotContainSubstring, "NOTFOUND")
			r.wait(50 * time.Millisecond)
			again := r.next()
			So(texts(again), ShouldEqual, "reset, prepare p2 as "+text+", run p2 1")
			r.answer(again, lineproto.StateIdle, ok("s"))
			So(r.heard(c), ShouldEqual, "DONE s / READY I")
		}
	})
	Convey("Connections with too many shapes are reset", t, func() {
		r := newRig(1)
		c := r.client("strict")
		for at := range r.timing.Shapes + 1 {
			r.query(c, prepare("p", "read "+time.Duration(at).String()))
			r.query(c, runs("p", "1"))
			r.answer(r.next(), lineproto.StateIdle, ok("s"))
		}
		r.query(c, prepare("p", "read last"))
		r.query(c, runs("p", "1"))
		So(texts(r.next()), ShouldStartWith, "reset, prepare p")
	})
}

func TestFloors(t *testing.T) {
	Convey("With no sample of the primary, a bounded read goes to the primary without a floor", t, func() {
		r := newRig(20)
		c := r.client("stale")
		r.query(c, read("1"))
		send := r.next()
		So(send.to(), ShouldEqual, "a")
		So(send.floor(), ShouldResemble, model.Position{})
	})
	Convey("A floor is what the primary told in answer to something sent within the bound", t, func() {
		r := newRig(20)
		r.high = 70
		r.sampled()
		r.wait(time.Second)
		r.high = 90
		r.sampled()
		c := r.client("stale")
		r.query(c, read("1"))
		send := r.next()
		So(send.to(), ShouldNotEqual, "a")
		So(send.floor(), ShouldResemble, model.Position{Term: 3, Index: 70})
		r.answer(send, lineproto.StateIdle, ok("s"))
		r.wait(800 * time.Millisecond)
		r.query(c, read("2"))
		So(r.next().floor(), ShouldResemble, model.Position{Term: 3, Index: 90})
		r.wait(1200 * time.Millisecond)
		r.query(c, read("3"))
		So(r.next().to(), ShouldEqual, "a")
	})
	Convey("What the primary tells counts from when it was asked, not from when it answered", t, func() {
		r := newRig(20)
		slow, c := r.client("strict"), r.client("stale")
		r.query(slow, read("1"))
		one := r.next()
		r.wait(1450 * time.Millisecond)
		r.answer(one, lineproto.StateIdle, ok("s"))
		r.query(c, read("2"))
		So(r.next().to(), ShouldEqual, "a")
	})
	Convey("A session's own commits are in the floor of its own-writes reads, and of none else's", t, func() {
		r := newRig(20)
		r.high = 70
		r.sampled()
		c, other := r.client("own"), r.client("own")
		r.high = 80
		r.query(c, write("1"))
		r.answer(r.next(), lineproto.StateIdle, ok("w"))
		r.wait(time.Second)
		r.query(other, read("2"))
		So(r.next().floor().Index, ShouldEqual, 70)
		r.query(c, read("3"))
		So(r.next().floor().Index, ShouldEqual, 80)
	})
	Convey("Own commits that replicas hardly have yet are read at the primary", t, func() {
		r := newRig(20)
		r.sampled()
		c := r.client("own")
		r.high = 180
		r.query(c, write("1"))
		r.answer(r.next(), lineproto.StateIdle, ok("w"))
		r.query(c, read("2"))
		So(r.next().to(), ShouldEqual, "a")
	})
	Convey("A commit that was not told kept is in no floor", t, func() {
		r := newRig(20)
		r.sampled()
		c := r.client("own")
		r.high = 180
		r.query(c, write("1"))
		r.lost(r.next().Conn)
		So(r.heard(c), ShouldEqual, "ERROR UNKNOWN / READY I")
		r.wait(500 * time.Millisecond)
		r.query(c, read("2"))
		So(r.next().floor().Index, ShouldEqual, 100)
	})
	Convey("A bounded transaction has its floor at its begin, and none after", t, func() {
		r := newRig(20)
		r.sampled()
		c := r.client("stale")
		r.query(c, beginRead())
		r.query(c, read("1"))
		first := r.next()
		So(texts(first), ShouldEqual, "begin read")
		So(first.floor(), ShouldResemble, model.Position{Term: 3, Index: 100})
		r.answer(first, lineproto.StateInside, ok("-"))
		So(r.next().floor(), ShouldResemble, model.Position{})
	})
	Convey("A replica that lags is passed over for a while, and the read goes elsewhere", t, func() {
		r := newRig(20)
		r.sampled()
		c := r.client("stale")
		r.query(c, read("1"))
		first := r.next()
		r.answer(first, lineproto.StateIdle, bad(lineproto.CodeLagging))
		second := r.next()
		So(second.to(), ShouldNotEqual, first.to())
		r.answer(second, lineproto.StateIdle, bad(lineproto.CodeLagging))
		third := r.next()
		So(third.to(), ShouldEqual, "a")
		r.answer(third, lineproto.StateIdle, ok("s"))
		So(r.heard(c), ShouldEqual, "DONE s / READY I")
	})
	Convey("Samples are of one term: a new one begins without", t, func() {
		r := newRig(20)
		r.sampled()
		r.role(model.PhaseClosing, "a", 3)
		r.role(model.PhaseOpen, "b", 4)
		c := r.client("stale")
		r.query(c, read("1"))
		So(r.next().to(), ShouldEqual, "b")
	})
	Convey("While a term is closed, what the record holds covers all", t, func() {
		r := newRig(20)
		r.role(model.PhaseClosing, "a", 3)
		r.doc.Writers["x"] = model.Writer{Database: "x", Term: 3, Primary: "a", Phase: model.PhaseIntent, IsSynced: true, Floor: model.Position{Term: 3, Index: 55}}
		c := r.client("stale")
		r.query(c, read("1"))
		So(r.sends, ShouldBeEmpty)
		r.wait(300 * time.Millisecond)
		send := r.next()
		So(send.to(), ShouldNotEqual, "a")
		So(send.floor(), ShouldResemble, model.Position{Term: 3, Index: 55})
	})
}

func TestStrict(t *testing.T) {
	Convey("Strict reads, writes and commits go out under a lease only, and wait for it", t, func() {
		for _, ask := range []Asked{read("1"), write("1")} {
			r := newRig(20)
			c := r.client("strict")
			r.pass(1700 * time.Millisecond)
			r.query(c, ask)
			So(r.sends, ShouldBeEmpty)
			r.news(1600 * time.Millisecond)
			So(r.next().to(), ShouldEqual, "a")
		}
	})
	Convey("They go out in an open term only, and then to its primary", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.role(model.PhaseClosing, "a", 3)
		r.query(c, read("1"))
		So(r.sends, ShouldBeEmpty)
		r.role(model.PhaseIntent, "a", 3)
		So(r.sends, ShouldBeEmpty)
		r.role(model.PhaseOpen, "b", 4)
		So(r.next().to(), ShouldEqual, "b")
	})
	Convey("A strict read that is out at a primary whose term closes is asked again at the next, and the first answer is dropped", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, read("1"))
		old := r.next()
		r.role(model.PhaseClosing, "a", 3)
		r.answer(old, lineproto.StateIdle, ok("old"))
		So(r.heard(c), ShouldEqual, "READY I")
		r.role(model.PhaseOpen, "b", 4)
		r.answer(r.next(), lineproto.StateIdle, ok("new"))
		So(r.heard(c), ShouldEqual, "DONE new / READY I")
		So(r.sound(), ShouldEqual, "")
	})
	Convey("A write waits for a primary that is leaving, and goes to the next one", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.instance("a").IsLeaving = true
		r.role(model.PhaseClosing, "a", 3)
		r.query(c, write("1"))
		So(r.sends, ShouldBeEmpty)
		r.role(model.PhaseOpen, "c", 4)
		So(r.next().to(), ShouldEqual, "c")
	})
}

func TestConfirm(t *testing.T) {
	ways := []struct {
		name string
		ask  func(r *rig, c *Client) Send
	}{
		{"single write", func(r *rig, c *Client) Send {
			r.query(c, write("1"))
			return r.next()
		}},
		{"commit", func(r *rig, c *Client) Send {
			r.query(c, begin())
			r.query(c, write("1"))
			r.answer(r.begun(), lineproto.StateInside, ok("w"))
			r.query(c, commit())
			return r.next()
		}},
	}
	for _, way := range ways {
		Convey("A "+way.name+" answered without a lease is told only when there is one again", t, func() {
			r := newRig(20)
			c := r.client("strict")
			send := way.ask(r, c)
			before := r.answers(c)
			r.pass(1650 * time.Millisecond)
			r.answer(send, lineproto.StateIdle, ok("k"))
			So(r.answers(c), ShouldEqual, before)
			r.news(1600 * time.Millisecond)
			So(r.heard(c), ShouldEqual, "DONE k / READY I")
			So(r.sound(), ShouldEqual, "")
		})
		Convey("A "+way.name+" answered without a lease is unknown when its time is over", t, func() {
			r := newRig(20)
			c := r.client("strict")
			send := way.ask(r, c)
			r.pass(1650 * time.Millisecond)
			r.answer(send, lineproto.StateIdle, ok("k"))
			r.pass(400 * time.Millisecond)
			So(r.heard(c), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(r.sound(), ShouldEqual, "")
		})
		Convey("A "+way.name+" answered without a lease is unknown when the term has moved since", t, func() {
			r := newRig(20)
			c := r.client("strict")
			send := way.ask(r, c)
			r.pass(1650 * time.Millisecond)
			r.answer(send, lineproto.StateIdle, ok("k"))
			r.role(model.PhaseOpen, "b", 4)
			So(r.heard(c), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(r.sound(), ShouldEqual, "")
		})
		Convey("A "+way.name+" answered after the term moved is never told kept", t, func() {
			r := newRig(20)
			c := r.client("strict")
			send := way.ask(r, c)
			r.role(model.PhaseOpen, "b", 4)
			if !send.Conn.IsOver() {
				r.answer(send, lineproto.StateIdle, ok("k"))
			}
			So(r.heard(c), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(r.sound(), ShouldEqual, "")
		})
		Convey("A "+way.name+" answered in a closing term is told kept until the node says that it dropped the term, and its position goes along", t, func() {
			r := newRig(20)
			c := r.client("strict")
			send := way.ask(r, c)
			r.role(model.PhaseClosing, "a", 3)
			r.high = 150
			r.answer(send, lineproto.StateIdle, ok("k"))
			So(r.heard(c), ShouldEqual, "DONE k / READY I")
			So(r.IsSettling(r.now), ShouldBeFalse)
			So(r.Ask(r.now).Highs["x"], ShouldResemble, model.Position{Term: 3, Index: 150})
			So(r.sound(), ShouldEqual, "")
		})
		Convey("A "+way.name+" answered in a closing term after that word is unknown", t, func() {
			r := newRig(20)
			c := r.client("strict")
			send := way.ask(r, c)
			r.role(model.PhaseClosing, "a", 3)
			r.Ask(r.now)
			r.answer(send, lineproto.StateIdle, ok("k"))
			So(r.heard(c), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(r.sound(), ShouldEqual, "")
		})
		Convey("A "+way.name+" answered in a closing term without a lease is held, and unknown once that word is given", t, func() {
			r := newRig(20)
			c := r.client("strict")
			send := way.ask(r, c)
			before := r.answers(c)
			r.doc.Writers["x"] = model.Writer{Database: "x", Term: 3, Primary: "a", Phase: model.PhaseClosing, IsSynced: true}
			r.news(100 * time.Millisecond)
			r.pass(1650 * time.Millisecond)
			if !send.Conn.IsOver() {
				r.answer(send, lineproto.StateIdle, ok("k"))
				So(r.answers(c), ShouldEqual, before)
			}
			r.Ask(r.now)
			r.pass(time.Millisecond)
			So(r.heard(c), ShouldEqual, "ERROR UNKNOWN / READY I")
		})
		Convey("A "+way.name+" answered in a term whose promotion is intended is unknown", t, func() {
			r := newRig(20)
			c := r.client("strict")
			send := way.ask(r, c)
			r.role(model.PhaseIntent, "a", 3)
			if !send.Conn.IsOver() {
				r.answer(send, lineproto.StateIdle, ok("k"))
			}
			So(r.heard(c), ShouldEqual, "ERROR UNKNOWN / READY I")
		})
		Convey("A "+way.name+" that the instance refuses is told as it was refused, also when the term is closing", t, func() {
			r := newRig(20)
			c := r.client("strict")
			send := way.ask(r, c)
			r.role(model.PhaseClosing, "a", 3)
			So(r.IsSettling(r.now), ShouldBeTrue)
			r.answer(send, lineproto.StateIdle, bad(lineproto.CodeReadOnly))
			So(r.heard(c), ShouldEqual, "ERROR READONLY / READY I")
			So(r.IsSettling(r.now), ShouldBeFalse)
		})
		Convey("A "+way.name+" that is out when its term closes gets a short while, and is then unknown", t, func() {
			r := newRig(20)
			c := r.client("strict")
			send := way.ask(r, c)
			before := r.answers(c)
			r.role(model.PhaseClosing, "a", 3)
			So(r.IsSettling(r.now), ShouldBeTrue)
			r.pass(100 * time.Millisecond)
			So(r.IsSettling(r.now), ShouldBeTrue)
			So(r.answers(c), ShouldEqual, before)
			r.pass(50 * time.Millisecond)
			So(r.IsSettling(r.now), ShouldBeFalse)
			So(r.heard(c), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(send.Conn.IsOver(), ShouldBeTrue)
			So(r.sound(), ShouldEqual, "")
		})
	}
	Convey("What was told kept is in what the node tells the control primary", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.high = 140
		r.query(c, write("1"))
		r.answer(r.next(), lineproto.StateIdle, ok("w"))
		So(r.Ask(r.now).Highs["x"], ShouldResemble, model.Position{Term: 3, Index: 140})
		So(r.Told(r.now).Highs["x"], ShouldResemble, model.Position{Term: 3, Index: 140})
	})
}

func TestClosing(t *testing.T) {
	Convey("Open transactions are aborted when the term closes: at once where a statement is out, else at the next word", t, func() {
		r := newRig(20)
		working, resting, committing := r.client("strict"), r.client("strict"), r.client("strict")
		for _, c := range []*Client{working, resting, committing} {
			r.query(c, begin())
			r.query(c, write("1"))
			r.answer(r.begun(), lineproto.StateInside, ok("w"))
		}
		r.query(working, write("2"))
		out := r.next()
		r.role(model.PhaseClosing, "a", 3)
		So(r.heard(working), ShouldEqual, "ERROR ABORTED / READY E")
		So(out.Conn.IsOver(), ShouldBeTrue)
		So(r.heard(resting), ShouldEqual, "DONE w / READY T")
		r.query(resting, write("3"))
		So(r.heard(resting), ShouldEqual, "ERROR ABORTED / READY E")
		r.query(resting, rollback())
		So(r.heard(resting), ShouldEqual, "DONE - / READY I")
		r.query(committing, commit())
		So(r.heard(committing), ShouldEqual, "ERROR ABORTED / READY I")
		So(r.sends, ShouldBeEmpty)
		So(r.sound(), ShouldEqual, "")
	})
	Convey("A transaction that only reads goes on at a replica, and at the primary that was", t, func() {
		r := newRig(20)
		r.sampled()
		for _, name := range []string{"stale", "strict"} {
			c := r.client(name)
			r.query(c, beginRead())
			r.query(c, read("1"))
			r.answer(r.begun(), lineproto.StateInside, ok("s"))
			defer func() {
				r.query(c, read("2"))
				r.answer(r.next(), lineproto.StateInside, ok("s2"))
				So(r.heard(c), ShouldEqual, "DONE s2 / READY T")
			}()
		}
		r.role(model.PhaseClosing, "a", 3)
	})
	Convey("A transaction whose begin is out when the term closes begins anew at the next primary", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, begin())
		r.query(c, write("1"))
		r.next()
		r.role(model.PhaseClosing, "a", 3)
		So(r.heard(c), ShouldBeIn, "DONE - / READY T", "ERROR ABORTED / READY E")
		So(r.sound(), ShouldEqual, "")
	})
	Convey("A primary that leads a later term, the ones between unseen, has lost the transactions of the earlier", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, begin())
		r.query(c, write("1"))
		r.answer(r.begun(), lineproto.StateInside, ok("w"))
		r.role(model.PhaseOpen, "a", 5)
		r.query(c, write("2"))
		So(r.heard(c), ShouldEqual, "ERROR ABORTED / READY E")
		So(r.sends, ShouldBeEmpty)
	})
	Convey("Statements of an open transaction wait while there is no lease, and go on with one", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, begin())
		r.query(c, write("1"))
		r.answer(r.begun(), lineproto.StateInside, ok("w"))
		r.pass(1700 * time.Millisecond)
		r.query(c, commit())
		So(r.sends, ShouldBeEmpty)
		r.news(1600 * time.Millisecond)
		So(texts(r.next()), ShouldEqual, "commit")
	})
}

func TestLostConnections(t *testing.T) {
	Convey("A statement in line outlives connections that end", t, func() {
		r := newRig(20)
		r.isSlow = true
		c := r.client("strict")
		r.query(c, write("1"))
		r.lost(r.opens[0].Conn)
		So(r.answers(c), ShouldEqual, 1)
		r.isSlow = false
		r.wait(500 * time.Millisecond)
		r.answer(r.next(), lineproto.StateIdle, ok("w"))
		So(r.heard(c), ShouldEqual, "DONE w / READY I")
		So(r.sound(), ShouldEqual, "")
	})
	Convey("An opening that is never answered is given up", t, func() {
		r := newRig(20)
		r.isSlow = true
		c := r.client("strict")
		r.query(c, write("1"))
		first := r.opens[0].Conn
		r.wait(800 * time.Millisecond)
		So(first.IsOver(), ShouldBeTrue)
		So(r.answers(c), ShouldEqual, 1)
		So(r.sound(), ShouldEqual, "")
	})
	Convey("A connection lost on a begin has the statement begin elsewhere", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, begin())
		r.query(c, write("1"))
		first := r.next()
		r.lost(first.Conn)
		one := r.begun()
		So(texts(one), ShouldEqual, "write 1")
		So(one.Conn, ShouldNotEqual, first.Conn)
	})
	ends := []struct {
		name  string
		asks  []Asked
		heard string
	}{
		{"a single write", []Asked{write("1")}, "ERROR UNKNOWN / READY I"},
		{"a write inside", []Asked{begin(), write("1")}, "ERROR ABORTED / READY E"},
		{"a read inside", []Asked{begin(), read("1")}, "ERROR ABORTED / READY E"},
		{"a read inside a reading transaction", []Asked{beginRead(), read("1")}, "ERROR ABORTED / READY E"},
		{"a commit", []Asked{begin(), commit()}, "ERROR UNKNOWN / READY I"},
		{"a commit of reads", []Asked{beginRead(), commit()}, "ERROR ABORTED / READY I"},
	}
	for _, end := range ends {
		Convey("A connection lost with "+end.name+" out tells "+end.heard, t, func() {
			r := newRig(20)
			c := r.client("strict")
			for _, ask := range end.asks {
				ask.ID += "x"
				r.query(c, ask)
			}
			send := r.next()
			if len(end.asks) > 1 {
				r.answer(send, lineproto.StateInside, ok("-"))
				send = r.next()
			}
			r.lost(send.Conn)
			So(r.heard(c), ShouldEqual, end.heard)
			So(r.sends, ShouldBeEmpty)
			So(r.sound(), ShouldEqual, "")
		})
		Convey("No answer in time to "+end.name+" is told so", t, func() {
			r := newRig(20)
			c := r.client("strict")
			for _, ask := range end.asks {
				r.query(c, ask)
			}
			send := r.next()
			if len(end.asks) > 1 {
				r.answer(send, lineproto.StateInside, ok("-"))
				send = r.next()
			}
			r.wait(2100 * time.Millisecond)
			So(r.heard(c), ShouldEqual, end.heard)
			So(send.Conn.IsOver(), ShouldBeTrue)
			So(r.sound(), ShouldEqual, "")
		})
	}
	Convey("A single read is asked again, and again", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, read("1"))
		for range 3 {
			r.lost(r.next().Conn)
			r.wait(100 * time.Millisecond)
		}
		r.answer(r.next(), lineproto.StateIdle, ok("s"))
		So(r.heard(c), ShouldEqual, "DONE s / READY I")
	})
	Convey("A connection lost between the statements of a transaction is told at the next word", t, func() {
		for _, next := range []struct {
			ask   Asked
			heard string
		}{{write("2"), "ERROR ABORTED / READY E"}, {commit(), "ERROR ABORTED / READY I"}, {rollback(), "DONE - / READY I"}} {
			r := newRig(20)
			c := r.client("strict")
			r.query(c, begin())
			r.query(c, write("1"))
			send := r.begun()
			r.answer(send, lineproto.StateInside, ok("w"))
			r.lost(send.Conn)
			So(r.heard(c), ShouldEqual, "DONE w / READY T")
			r.query(c, next.ask)
			So(r.heard(c), ShouldEqual, next.heard)
			So(r.sends, ShouldBeEmpty)
			So(r.sound(), ShouldEqual, "")
		}
	})
	Convey("A word out of turn on a transaction's connection ends the transaction as a lost connection does", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, begin())
		r.query(c, write("1"))
		send := r.begun()
		r.answer(send, lineproto.StateInside, ok("w"))
		r.came(send.Conn, bad(lineproto.CodeOther))
		So(send.Conn.IsOver(), ShouldBeTrue)
		So(r.sound(), ShouldEqual, "")
		r.query(c, commit())
		So(r.heard(c), ShouldEqual, "ERROR ABORTED / READY I")
		So(r.sends, ShouldBeEmpty)
	})
	Convey("An answer without an end is no answer: the connection ends, and the client hears at once", t, func() {
		for _, one := range []struct {
			ask   Asked
			heard string
		}{{read("1"), "READY I"}, {write("1"), "ERROR UNKNOWN / READY I"}} {
			r := newRig(20)
			c := r.client("strict")
			r.query(c, one.ask)
			send := r.next()
			r.came(send.Conn, r.at(lineproto.StateIdle))
			So(send.Conn.IsOver(), ShouldBeTrue)
			So(r.heard(c), ShouldEqual, one.heard)
			So(r.sound(), ShouldEqual, "")
			if one.heard == "READY I" {
				r.answer(r.next(), lineproto.StateIdle, ok("s"))
				So(r.heard(c), ShouldEqual, "DONE s / READY I")
			}
		}
	})
	Convey("Rows or a second end after the end are no answer either", t, func() {
		for _, late := range []lineproto.Message{row("r"), ok("s2"), bad(lineproto.CodeBusy)} {
			r := newRig(20)
			c := r.client("strict")
			r.query(c, write("1"))
			send := r.next()
			r.came(send.Conn, ok("s"), late)
			So(send.Conn.IsOver(), ShouldBeTrue)
			So(r.heard(c), ShouldEqual, "ERROR UNKNOWN / READY I")
			So(r.sound(), ShouldEqual, "")
		}
	})
	Convey("Rows pass as they came, with the end and the state", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, read("1"))
		r.answer(r.next(), lineproto.StateIdle, row("r1"), row("r2"), ok("s"))
		So(r.heard(c), ShouldEqual, "ROW r1 / ROW r2 / DONE s / READY I")
	})
	Convey("Errors of an instance pass as they came", t, func() {
		for _, code := range []lineproto.Code{lineproto.CodeFailed, lineproto.CodeTimeout, lineproto.CodeOther} {
			for _, ask := range []Asked{read("1"), write("1")} {
				r := newRig(20)
				c := r.client("strict")
				r.query(c, ask)
				r.answer(r.next(), lineproto.StateIdle, bad(code))
				if code == lineproto.CodeFailed && ask.Statement.Act == lineproto.ActRead {
					So(r.answers(c), ShouldEqual, 1)
					r.wait(50 * time.Millisecond)
					r.answer(r.next(), lineproto.StateIdle, bad(code))
				}
				So(r.heard(c), ShouldEqual, "ERROR "+codes[code]+" / READY I")
				r.wait(200 * time.Millisecond)
				So(r.sends, ShouldBeEmpty)
			}
		}
	})
	Convey("A read that an instance failed is run once more, at another where there is one", t, func() {
		r := newRig(20)
		r.sampled()
		c := r.client("stale")
		r.wait(200 * time.Millisecond)
		r.query(c, read("1"))
		first := r.next()
		r.answer(first, lineproto.StateIdle, bad(lineproto.CodeFailed))
		r.wait(50 * time.Millisecond)
		second := r.next()
		So(second.to(), ShouldNotEqual, first.to())
		So(texts(second), ShouldEqual, "read 1")
		r.answer(second, lineproto.StateIdle, ok("s"))
		So(r.heard(c), ShouldEqual, "DONE s / READY I")
		So(r.sound(), ShouldEqual, "")
	})
	Convey("Reads go where they failed less, and back in a while", t, func() {
		r := newRig(20)
		r.sampled()
		r.wait(200 * time.Millisecond)
		c := r.client("stale")
		goes := func() string {
			r.query(c, read("1"))
			send := r.next()
			r.answer(send, lineproto.StateIdle, ok("s"))
			return send.to()
		}
		So(goes(), ShouldEqual, "b")
		for range 3 {
			r.back("b").grade.Note(true, r.now)
		}
		So(goes(), ShouldNotEqual, "b")
		for range 16 {
			r.wait(time.Second)
			r.sampled()
		}
		r.wait(200 * time.Millisecond)
		So(goes(), ShouldEqual, "b")
	})
	Convey("A statement that fails its transaction has it rolled back, and the client ends it", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, begin())
		r.query(c, write("1"))
		send := r.begun()
		r.answer(send, lineproto.StateFailed, bad(lineproto.CodeFailed))
		So(r.heard(c), ShouldEqual, "ERROR FAILED / READY E")
		So(texts(r.next()), ShouldEqual, "rollback")
		r.query(c, write("2"))
		So(r.heard(c), ShouldEqual, "ERROR MALFORMED / READY E")
		r.query(c, commit())
		So(r.heard(c), ShouldEqual, "ERROR ABORTED / READY I")
		So(r.sound(), ShouldEqual, "")
	})
	Convey("A refused connection rests for longer each time, also where the instance answers the refusal", t, func() {
		r := newRig(20)
		r.isSlow = true
		c := r.client("strict")
		r.query(c, write("1"))
		tries := 0
		for end := r.now + 1900*time.Millisecond; r.now < end; {
			for len(r.opens) > 0 {
				tries++
				r.came(r.opens[0].Conn, bad(lineproto.CodeFull))
			}
			r.wait(25 * time.Millisecond)
		}
		So(tries, ShouldBeBetween, 3, 12)
		So(r.sound(), ShouldEqual, "")
	})
	Convey("An address that belongs to another instance by now is no sign of life of the one sought", t, func() {
		r := newRig(20)
		r.isSlow = true
		c := r.client("strict")
		r.query(c, write("1"))
		for range 20 {
			for len(r.opens) > 0 {
				r.came(r.opens[0].Conn, bad(lineproto.CodeWrongHost))
			}
			r.wait(50 * time.Millisecond)
		}
		told := r.Told(r.now).Reports
		So(told[0].Instance.Name, ShouldEqual, "a")
		So(told[0].Refused, ShouldBeGreaterThan, 1)
		So(told[0].Answered, ShouldBeGreaterThan, 500*time.Millisecond)
		So(r.reports, ShouldBeGreaterThan, 0)
	})
}

func TestDeadlines(t *testing.T) {
	Convey("Without a lease a statement ends with a promise when its time is over", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.pass(1700 * time.Millisecond)
		r.query(c, write("1"))
		r.pass(5100 * time.Millisecond)
		So(r.heard(c), ShouldEqual, "ERROR BUSY / READY I")
		So(r.sound(), ShouldEqual, "")
	})
	Convey("A lease that comes after a statement's time has it end, and not go out", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.pass(1700 * time.Millisecond)
		r.query(c, write("1"))
		r.now += 2100 * time.Millisecond
		r.news(1600 * time.Millisecond)
		So(r.sends, ShouldBeEmpty)
		So(r.heard(c), ShouldEqual, "ERROR BUSY / READY I")
	})
	Convey("In line, a first statement ends with BUSY, one of an open transaction with ABORTED", t, func() {
		r := newRig(1)
		one, other, inside := r.client("strict"), r.client("strict"), r.client("strict")
		r.query(one, read("1"))
		r.next()
		r.query(other, write("2"))
		r.query(inside, begin())
		r.query(inside, write("3"))
		So(r.sends, ShouldBeEmpty)
		r.wait(1990 * time.Millisecond)
		r.wait(20 * time.Millisecond)
		So(r.heard(other), ShouldEqual, "ERROR BUSY / READY I")
		So(r.heard(inside), ShouldEqual, "ERROR BUSY / READY E")
		So(r.sound(), ShouldEqual, "")
	})
	Convey("What waits in line is given up on before half of its time is over, with a time to come back", t, func() {
		r := newRig(1)
		one, other, inside := r.client("strict"), r.client("strict"), r.client("strict")
		r.query(one, read("1"))
		r.next()
		r.query(other, write("2"))
		r.query(inside, begin())
		r.query(inside, write("3"))
		r.wait(875 * time.Millisecond)
		So(r.answers(other), ShouldEqual, 1)
		So(r.answers(inside), ShouldEqual, 2)
		r.wait(100 * time.Millisecond)
		So(r.heard(other), ShouldEqual, "ERROR BUSY / READY I")
		So(r.heard(inside), ShouldEqual, "ERROR BUSY / READY E")
		So(r.answers(one), ShouldEqual, 1)
		So(r.sound(), ShouldEqual, "")
	})
	Convey("So is what waits for a lease", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.timing.Away = 2 * time.Second
		r.pass(1700 * time.Millisecond)
		r.query(c, write("1"))
		r.pass(875 * time.Millisecond)
		So(r.answers(c), ShouldEqual, 1)
		r.pass(50 * time.Millisecond)
		So(r.heard(c), ShouldEqual, "ERROR BUSY / READY I")
		So(r.answers(c), ShouldEqual, 2)
	})
	Convey("Where the lease has been gone for long nothing new waits for it, neither statement nor session", t, func() {
		r := newRig(20)
		c, inside := r.client("strict"), r.client("strict")
		r.wait(100 * time.Millisecond)
		r.pass(1500 * time.Millisecond)
		r.pass(200 * time.Millisecond)
		r.query(c, write("1"))
		So(r.answers(c), ShouldEqual, 1)
		r.news(1600 * time.Millisecond)
		r.answer(r.next(), lineproto.StateIdle, ok("w"))
		So(r.heard(c), ShouldEqual, "DONE w / READY I")
		for range 10 {
			r.pass(250 * time.Millisecond)
		}
		r.query(c, write("2"))
		So(r.heard(c), ShouldEqual, "ERROR BUSY / READY I")
		r.query(inside, begin())
		r.query(inside, write("3"))
		So(r.heard(inside), ShouldEqual, "ERROR BUSY / READY E")
		late := r.client("strict")
		So(r.heard(late), ShouldEqual, "ERROR BUSY")
		So(r.over[late], ShouldBeTrue)
		r.news(1600 * time.Millisecond)
		r.query(c, write("4"))
		r.answer(r.next(), lineproto.StateIdle, ok("w"))
		So(r.heard(c), ShouldEqual, "DONE w / READY I")
		So(r.sound(), ShouldEqual, "")
	})
	Convey("One of an open transaction that waits for the window ends it, and its connection is rolled back", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, begin())
		r.query(c, write("1"))
		r.answer(r.begun(), lineproto.StateInside, ok("w"))
		for range 2 {
			r.query(r.client("strict"), read("x"))
		}
		So(r.back("a").window.HasRoom(), ShouldBeFalse)
		r.query(c, commit())
		for _, send := range r.sends {
			So(texts(send), ShouldNotEqual, "commit")
		}
		r.pass(2100 * time.Millisecond)
		So(r.heard(c), ShouldEqual, "ERROR ABORTED / READY I")
		So(r.sound(), ShouldEqual, "")
	})
	Convey("A begin that is not answered in time ends with a promise", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, begin())
		r.query(c, write("1"))
		send := r.next()
		r.wait(2100 * time.Millisecond)
		So(r.heard(c), ShouldEqual, "ERROR ABORTED / READY E")
		So(send.Conn.IsOver(), ShouldBeTrue)
		So(r.sound(), ShouldEqual, "")
	})
	Convey("A read that gets no answer ends with TIMEOUT", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, read("1"))
		r.wait(2100 * time.Millisecond)
		So(r.heard(c), ShouldEqual, "ERROR TIMEOUT / READY I")
	})
	Convey("A transaction that rests for too long is rolled back, counted from its last answer", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, begin())
		r.query(c, write("1"))
		send := r.begun()
		r.wait(1900 * time.Millisecond)
		r.answer(send, lineproto.StateInside, ok("w"))
		r.wait(2700 * time.Millisecond)
		So(send.Conn.IsOver(), ShouldBeFalse)
		r.wait(600 * time.Millisecond)
		So(send.Conn.IsOver(), ShouldBeTrue)
		r.query(c, commit())
		So(r.heard(c), ShouldEqual, "ERROR ABORTED / READY I")
		So(r.sound(), ShouldEqual, "")
	})
}

func TestGone(t *testing.T) {
	steps := []struct {
		name string
		asks []Asked
		goes int
	}{
		{"that has not connected", nil, -1},
		{"at rest", nil, 0},
		{"with a begin", []Asked{begin()}, 0},
		{"with a write out", []Asked{write("1")}, 0},
		{"with a read out", []Asked{read("1")}, 0},
		{"with a begin out", []Asked{begin(), write("1")}, 0},
		{"with a statement inside out", []Asked{begin(), write("1")}, 1},
		{"resting inside", []Asked{begin(), write("1")}, 2},
		{"with a commit out", []Asked{begin(), commit()}, 1},
		{"with more sent ahead", []Asked{write("1"), write("2"), write("3")}, 0},
	}
	for _, step := range steps {
		for _, isLeased := range []bool{true, false} {
			Convey("A client that goes "+step.name+" leaves nothing behind", t, func() {
				r := newRig(20)
				if step.goes < 0 {
					c := r.Met(nil, r.now)
					r.Gone(c, r.now)
					r.Connect(c, "strict", r.now)
					r.query(c, read("1"))
					So(r.answers(c), ShouldEqual, 0)
					So(r.sound(), ShouldEqual, "")
					return
				}
				c := r.client("strict")
				if !isLeased {
					r.pass(1700 * time.Millisecond)
				}
				for _, ask := range step.asks {
					r.query(c, ask)
				}
				for at := 0; at < step.goes && len(r.sends) > 0; at++ {
					r.answer(r.next(), lineproto.StateInside, ok("-"))
				}
				before := r.answers(c)
				out := r.sends
				r.sends = nil
				r.Gone(c, r.now)
				r.flow()
				So(r.sound(), ShouldEqual, "")
				for _, send := range out {
					if !send.Conn.IsOver() {
						r.answer(send, lineproto.StateIdle, ok("late"))
					}
				}
				for len(r.sends) > 0 {
					send := r.next()
					So(texts(send), ShouldEqual, "rollback")
					r.answer(send, lineproto.StateIdle, ok("-"))
				}
				r.wait(200 * time.Millisecond)
				So(r.answers(c), ShouldEqual, before)
				So(r.Clients(), ShouldEqual, 0)
				So(r.sends, ShouldBeEmpty)
				So(r.sound(), ShouldEqual, "")
				for _, held := range r.backs {
					So(held.window.Read().Open, ShouldEqual, 0)
					So(len(held.idle), ShouldEqual, len(held.conns))
				}
			})
		}
	}
	Convey("A client that goes with a commit to be confirmed leaves nothing behind", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, write("1"))
		r.pass(1700 * time.Millisecond)
		r.answer(r.next(), lineproto.StateIdle, ok("w"))
		r.Gone(c, r.now)
		r.flow()
		So(r.sound(), ShouldEqual, "")
		r.wait(100 * time.Millisecond)
		So(r.answers(c), ShouldEqual, 1)
	})
	Convey("A connection whose answer nobody waits for is shut after a while", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, read("1"))
		send := r.next()
		r.Gone(c, r.now)
		r.wait(11 * time.Second)
		So(send.Conn.IsOver(), ShouldBeTrue)
		So(r.back("a").window.Read().Open, ShouldEqual, 0)
	})
}

func TestTwins(t *testing.T) {
	twinned := func() (*rig, *Client, Send, Send) {
		r := newRig(20)
		r.sampled()
		c := r.client("stale")
		r.query(c, read("1"))
		first := r.next()
		r.wait(120 * time.Millisecond)
		second := r.next()
		So(second.to(), ShouldNotEqual, first.to())
		So(second.Outs[0].ID, ShouldEqual, first.Outs[0].ID)
		return r, c, first, second
	}
	zero := func(r *rig) {
		for _, held := range r.backs {
			So(held.window.Read().Open, ShouldEqual, 0)
		}
		So(r.sound(), ShouldEqual, "")
	}
	Convey("Of a slow read and its twin the first answer wins, and the other is dropped", t, func() {
		for _, isFirst := range []bool{true, false} {
			r, c, one, other := twinned()
			if !isFirst {
				one, other = other, one
			}
			r.answer(one, lineproto.StateIdle, ok("won"))
			So(r.heard(c), ShouldEqual, "DONE won / READY I")
			count := r.answers(c)
			r.answer(other, lineproto.StateIdle, row("late"), ok("late"))
			So(r.answers(c), ShouldEqual, count)
			zero(r)
		}
	})
	Convey("One connection lost leaves the other to answer; both lost have it asked again", t, func() {
		r, c, one, other := twinned()
		r.lost(one.Conn)
		So(r.sends, ShouldBeEmpty)
		r.answer(other, lineproto.StateIdle, ok("s"))
		So(r.heard(c), ShouldEqual, "DONE s / READY I")
		zero(r)
		r, c, one, other = twinned()
		r.lost(one.Conn)
		r.lost(other.Conn)
		r.answer(r.next(), lineproto.StateIdle, ok("s"))
		So(r.heard(c), ShouldEqual, "DONE s / READY I")
		zero(r)
	})
	Convey("A refusal of one leaves the other to answer", t, func() {
		r, c, one, other := twinned()
		r.answer(one, lineproto.StateIdle, bad(lineproto.CodeBusy))
		So(r.sends, ShouldBeEmpty)
		r.answer(other, lineproto.StateIdle, ok("s"))
		So(r.heard(c), ShouldEqual, "DONE s / READY I")
		zero(r)
	})
	Convey("Writes, strict reads and reads inside have no twin", t, func() {
		for _, asks := range [][]Asked{{write("1")}, {read("1")}, {begin(), read("1")}, {beginRead(), read("1")}} {
			for _, name := range []string{"strict", "stale"} {
				if name == "stale" && len(asks) == 1 && asks[0].Statement.Act == lineproto.ActRead {
					continue
				}
				r := newRig(20)
				r.sampled()
				c := r.client(name)
				for _, ask := range asks {
					r.query(c, ask)
				}
				if len(asks) > 1 {
					r.begun()
				} else {
					r.next()
				}
				r.wait(500 * time.Millisecond)
				So(r.sends, ShouldBeEmpty)
				So(r.answers(c), ShouldEqual, len(asks))
			}
		}
	})
}

func TestWindows(t *testing.T) {
	Convey("The most that is out at an instance is its connections over the nodes and one", t, func() {
		r := newRig(20)
		r.Beat(nodes(4), 1, r.now)
		So(r.back("a").window.Read().Max, ShouldEqual, 4)
		So(r.back("a").share, ShouldResemble, connquota.Share{Kept: 4, Most: 4})
		r.Beat(nodes(9), 1, r.now)
		So(r.back("a").window.Read().Max, ShouldEqual, 2)
		r.Beat(nodes(4), 1, r.now+30*time.Second)
		So(r.back("a").window.Read().Max, ShouldEqual, 2)
		r.Beat(nodes(4), 1, r.now+100*time.Second)
		So(r.back("a").window.Read().Max, ShouldEqual, 4)
	})
	Convey("Over the window statements wait in line, in the order of their priority, and go as answers come", t, func() {
		r := newRig(20)
		var clients []*Client
		for range 4 {
			clients = append(clients, r.client("strict"))
		}
		urgent := r.client("urgent")
		for _, c := range clients {
			r.query(c, read("1"))
		}
		r.query(urgent, read("now"))
		So(len(r.sends), ShouldEqual, 2)
		So(r.back("a").window.Read().Open, ShouldEqual, 2)
		r.answer(r.next(), lineproto.StateIdle, ok("s"))
		So(len(r.sends), ShouldEqual, 2)
		So(texts(r.sends[1]), ShouldEqual, "read now")
		for len(r.sends) > 0 {
			r.answer(r.next(), lineproto.StateIdle, ok("s"))
		}
		for _, c := range append(clients, urgent) {
			So(r.heard(c), ShouldEqual, "DONE s / READY I")
		}
		So(r.back("a").window.Read().Open, ShouldEqual, 0)
	})
	Convey("A line that is full refuses with a promise", t, func() {
		r := newRig(1)
		r.timing.Line = 2
		var last *Client
		for range 4 {
			last = r.client("strict")
			r.query(last, read("1"))
		}
		So(r.heard(last), ShouldEqual, "ERROR BUSY / READY I")
		So(r.sound(), ShouldEqual, "")
	})
	Convey("The node holds no more connections than its share", t, func() {
		r := newRig(8)
		for range 12 {
			c := r.client("strict")
			r.query(c, begin())
			r.query(c, write("1"))
			for len(r.sends) > 0 {
				r.answer(r.next(), lineproto.StateInside, ok("-"))
			}
		}
		So(len(r.back("a").conns), ShouldEqual, 4)
		So(r.sound(), ShouldEqual, "")
	})
	Convey("The lines of two databases do not wait for each other", t, func() {
		r := newRig(1)
		one, other := r.client("strict"), r.client("other")
		r.query(one, read("1"))
		r.query(other, read("2"))
		So(r.next().to(), ShouldEqual, "a")
		So(r.next().to(), ShouldEqual, "d")
	})
}

func TestLeavingInstances(t *testing.T) {
	Convey("An instance that leaves gets no new work, and its idle connections are shut", t, func() {
		r := newRig(20)
		r.sampled()
		r.instance("b").IsLeaving = true
		r.instance("c").IsLeaving = true
		r.news(1600 * time.Millisecond)
		for range 4 {
			c := r.client("stale")
			r.query(c, read("1"))
			send := r.next()
			So(send.to(), ShouldEqual, "a")
			r.answer(send, lineproto.StateIdle, ok("s"))
		}
		So(len(r.back("b").conns)+len(r.back("c").conns), ShouldEqual, 0)
	})
	Convey("A primary that leaves is sent what needs it, on the connections that it has, until its term closes", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, write("1"))
		first := r.next()
		r.answer(first, lineproto.StateIdle, ok("w"))
		r.instance("a").IsLeaving = true
		r.news(1600 * time.Millisecond)
		for range 3 {
			r.query(c, write("2"))
			send := r.next()
			So(send.Conn, ShouldEqual, first.Conn)
			r.answer(send, lineproto.StateIdle, ok("w"))
		}
		r.role(model.PhaseClosing, "a", 3)
		So(len(r.back("a").conns), ShouldEqual, 0)
	})
	Convey("A primary that was leaving when the node first heard of it is sent what needs it for a shorter while", t, func() {
		r := newRig(20)
		late := newRig(20)
		late.instances[0].IsLeaving = true
		late.Machine = New(Place{Name: "d2", Zone: "za", Birth: 1, Beta: 1}, DefaultTiming(), lease.DefaultTiming(), func(string, int64) {})
		late.news(1600 * time.Millisecond)
		c := late.client("strict")
		late.query(c, write("1"))
		late.answer(late.next(), lineproto.StateIdle, ok("w"))
		late.wait(2100 * time.Millisecond)
		late.query(c, write("2"))
		So(late.sends, ShouldBeEmpty)
		r.instances[0].IsLeaving = true
		r.news(1600 * time.Millisecond)
		r.wait(2100 * time.Millisecond)
		r.query(r.client("strict"), write("1"))
		So(len(r.sends), ShouldEqual, 1)
	})
	Convey("A primary that leaves is sent nothing more after a while, though its term be open", t, func() {
		r := newRig(20)
		c, inside := r.client("strict"), r.client("strict")
		r.query(inside, begin())
		r.query(inside, write("1"))
		r.answer(r.begun(), lineproto.StateInside, ok("w"))
		r.instance("a").IsLeaving = true
		r.news(1600 * time.Millisecond)
		for range 2 {
			r.wait(2400 * time.Millisecond)
			r.query(inside, read("2"))
			r.answer(r.next(), lineproto.StateInside, ok("w"))
		}
		r.wait(300 * time.Millisecond)
		for _, ask := range []Asked{read("3"), write("4")} {
			r.query(c, ask)
			So(r.sends, ShouldBeEmpty)
			r.wait(2100 * time.Millisecond)
			So(r.heard(c), ShouldEqual, "ERROR BUSY / READY I")
		}
		r.query(inside, commit())
		So(r.heard(inside), ShouldEqual, "ERROR ABORTED / READY I")
		So(len(r.back("a").conns), ShouldEqual, 0)
	})
	Convey("What is out there is answered, and its connection is not lent on", t, func() {
		r := newRig(20)
		r.sampled()
		c := r.client("stale")
		r.query(c, read("1"))
		send := r.next()
		r.instance(send.to()).IsLeaving = true
		r.news(1600 * time.Millisecond)
		r.answer(send, lineproto.StateIdle, ok("s"))
		So(r.heard(c), ShouldEqual, "DONE s / READY I")
		So(send.Conn.IsOver(), ShouldBeTrue)
	})
	Convey("A transaction there goes on, for a while", t, func() {
		r := newRig(20)
		r.sampled()
		c := r.client("stale")
		r.query(c, beginRead())
		r.query(c, read("1"))
		send := r.begun()
		r.answer(send, lineproto.StateInside, ok("s"))
		r.instance(send.to()).IsLeaving = true
		r.news(1600 * time.Millisecond)
		r.query(c, read("2"))
		r.answer(r.next(), lineproto.StateInside, ok("s2"))
		So(r.heard(c), ShouldEqual, "DONE s2 / READY T")
		for range 3 {
			r.wait(2 * time.Second)
			r.query(c, read("3"))
			for len(r.sends) > 0 {
				r.answer(r.next(), lineproto.StateInside, ok("s3"))
			}
		}
		So(send.Conn.IsOver(), ShouldBeTrue)
		So(r.heard(c), ShouldEqual, "ERROR ABORTED / READY E")
	})
	Convey("One that has gone is none", t, func() {
		r := newRig(20)
		r.sampled()
		r.instance("b").IsGone = true
		r.instance("c").IsGone = true
		r.news(1600 * time.Millisecond)
		r.query(r.client("stale"), read("1"))
		So(r.next().to(), ShouldEqual, "a")
	})
}

func TestDrain(t *testing.T) {
	Convey("A node that stops is unready at once, and serves on for a while", t, func() {
		r := newRig(20)
		isReady, _ := r.Ready(r.now)
		So(isReady, ShouldBeTrue)
		idle, busy := r.client("strict"), r.client("strict")
		r.Leave(r.now)
		isReady, why := r.Ready(r.now)
		So(isReady, ShouldBeFalse)
		So(why, ShouldEqual, "stopping")
		r.wait(2200 * time.Millisecond)
		So(r.over[idle], ShouldBeFalse)
		r.query(busy, write("1"))
		send := r.next()
		r.wait(200 * time.Millisecond)
		So(r.over[idle], ShouldBeTrue)
		So(r.over[busy], ShouldBeFalse)
		r.answer(send, lineproto.StateIdle, ok("w"))
		So(r.heard(busy), ShouldEqual, "DONE w / READY I")
		r.wait(50 * time.Millisecond)
		So(r.over[busy], ShouldBeTrue)
		So(r.IsDrained(), ShouldBeTrue)
	})
	Convey("An open transaction has a while more, and is rolled back at rest", t, func() {
		r := newRig(20)
		c, other := r.client("strict"), r.client("strict")
		for _, one := range []*Client{c, other} {
			r.query(one, begin())
			r.query(one, write("1"))
			r.answer(r.begun(), lineproto.StateInside, ok("w"))
		}
		r.Leave(r.now)
		r.wait(2500 * time.Millisecond)
		So(r.over[c], ShouldBeFalse)
		r.query(c, commit())
		r.answer(r.next(), lineproto.StateIdle, ok("k"))
		So(r.heard(c), ShouldEqual, "DONE k / READY I")
		r.wait(500 * time.Millisecond)
		So(r.over[c], ShouldBeTrue)
		So(r.over[other], ShouldBeTrue)
		So(texts(r.next()), ShouldEqual, "rollback")
		So(r.IsDrained(), ShouldBeTrue)
	})
	Convey("No session is ended with a statement out before the last moment", t, func() {
		r := newRig(20)
		r.doc.Sets[0].Bindings[0].Timeout = 8 * time.Second
		r.news(1600 * time.Millisecond)
		c := r.client("strict")
		r.query(c, write("1"))
		r.Leave(r.now)
		r.wait(5300 * time.Millisecond)
		So(r.over[c], ShouldBeFalse)
		r.wait(200 * time.Millisecond)
		So(r.over[c], ShouldBeTrue)
		So(r.sound(), ShouldEqual, "")
	})
}

func TestSessions(t *testing.T) {
	Convey("A session waits for the first lease, and is refused after a while without", t, func() {
		r := newRig(20)
		r.pass(1700 * time.Millisecond)
		c, late := r.client("strict"), r.client("strict")
		So(r.answers(c), ShouldEqual, 0)
		r.news(1600 * time.Millisecond)
		So(r.heard(c), ShouldEqual, "READY I")
		So(r.heard(late), ShouldEqual, "READY I")
		r.pass(1700 * time.Millisecond)
		third := r.client("strict")
		r.pass(1900 * time.Millisecond)
		So(r.heard(third), ShouldEqual, "ERROR BUSY")
		So(r.over[third], ShouldBeTrue)
	})
	Convey("A database that is bound to nothing is refused", t, func() {
		r := newRig(20)
		c := r.client("none")
		So(r.heard(c), ShouldEqual, "ERROR NODB")
		So(r.over[c], ShouldBeTrue)
	})
	Convey("A binding that changes binds from the next transaction on, and one that is gone is none", t, func() {
		r := newRig(20)
		c, inside := r.client("strict"), r.client("strict")
		r.query(inside, begin())
		r.query(inside, write("1"))
		r.answer(r.begun(), lineproto.StateInside, ok("w"))
		next := r.doc.Sets[0]
		next.Sequence, next.Version = 2, 6
		next.Bindings = []model.Binding{{Name: "strict", Database: "y", Timeout: 2 * time.Second}}
		r.doc.Sets = append(r.doc.Sets, next)
		r.news(1600 * time.Millisecond)
		r.query(c, write("2"))
		So(r.next().to(), ShouldEqual, "d")
		r.query(inside, write("3"))
		send := r.next()
		So(send.to(), ShouldEqual, "a")
		r.answer(send, lineproto.StateInside, ok("w"))
		next.Sequence, next.Version, next.Bindings = 3, 7, nil
		r.doc.Sets = append(r.doc.Sets, next)
		r.news(1600 * time.Millisecond)
		r.query(inside, commit())
		r.answer(r.next(), lineproto.StateIdle, ok("k"))
		So(r.heard(inside), ShouldEqual, "DONE k / READY I")
		r.query(inside, read("4"))
		So(r.heard(inside), ShouldEqual, "ERROR NODB / READY I")
	})
	Convey("Queries sent ahead are answered in order, each once", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, begin())
		r.query(c, write("1"))
		r.query(c, set("v", "1"))
		r.query(c, commit())
		r.query(c, read("2"))
		r.answer(r.begun(), lineproto.StateInside, ok("w"))
		send := r.next()
		So(texts(send), ShouldEqual, "set v=1, commit")
		r.answer(send, lineproto.StateIdle, ok("k"))
		send = r.next()
		So(texts(send), ShouldEqual, "read 2")
		r.answer(send, lineproto.StateIdle, ok("s"))
		So(r.said[c], ShouldResemble, []string{
			"READY I", "DONE - / READY T", "DONE w / READY T", "DONE - / READY T", "DONE k / READY I", "DONE s / READY I",
		})
	})
	Convey("Too much sent ahead ends the session", t, func() {
		r := newRig(20)
		c := r.client("strict")
		for range r.timing.Inbox + 2 {
			r.query(c, read("1"))
		}
		So(r.heard(c), ShouldEqual, "ERROR TOOLONG")
		So(r.over[c], ShouldBeTrue)
		So(r.sound(), ShouldEqual, "")
	})
	Convey("Only so many sessions are taken", t, func() {
		r := newRig(20)
		r.timing.Clients = 1
		So(r.client("strict"), ShouldNotBeNil)
		So(r.Met(nil, r.now), ShouldBeNil)
	})
	acts := []struct {
		name string
		ask  func() Asked
		want map[string]string
	}{
		{"begin", begin, map[string]string{"I": "DONE - / READY T", "T": "ERROR MALFORMED / READY E", "E": "ERROR MALFORMED / READY E"}},
		{"begin read", beginRead, map[string]string{"I": "DONE - / READY T", "T": "ERROR MALFORMED / READY E", "E": "ERROR MALFORMED / READY E"}},
		{"commit", commit, map[string]string{"I": "ERROR MALFORMED / READY I", "T": "", "E": "ERROR ABORTED / READY I"}},
		{"rollback", rollback, map[string]string{"I": "ERROR MALFORMED / READY I", "T": "DONE - / READY I", "E": "DONE - / READY I"}},
		{"read", func() Asked { return read("1") }, map[string]string{"I": "", "T": "", "E": "ERROR MALFORMED / READY E"}},
		{"write", func() Asked { return write("1") }, map[string]string{"I": "", "T": "", "E": "ERROR MALFORMED / READY E"}},
		{"set", func() Asked { return set("v", "1") }, map[string]string{"I": "DONE - / READY I", "T": "DONE - / READY T", "E": "ERROR MALFORMED / READY E"}},
		{"prepare", func() Asked { return prepare("p", "read q") }, map[string]string{"I": "DONE - / READY I", "T": "DONE - / READY T", "E": "ERROR MALFORMED / READY E"}},
		{"run", func() Asked { return runs("none", "1") }, map[string]string{"I": "ERROR NOTFOUND / READY I", "T": "ERROR NOTFOUND / READY E", "E": "ERROR MALFORMED / READY E"}},
		{"forget", func() Asked { return forget("none") }, map[string]string{"I": "ERROR NOTFOUND / READY I", "T": "ERROR NOTFOUND / READY T", "E": "ERROR MALFORMED / READY E"}},
		{"nonsense", func() Asked { return asked(lineproto.ActBad, "what") }, map[string]string{"I": "ERROR MALFORMED / READY I", "T": "ERROR MALFORMED / READY E", "E": "ERROR MALFORMED / READY E"}},
		{"unheard of", func() Asked { return asked(lineproto.Act(99), "what") }, map[string]string{"I": "ERROR MALFORMED / READY I", "T": "ERROR MALFORMED / READY E", "E": "ERROR MALFORMED / READY E"}},
	}
	for _, act := range acts {
		for state, want := range act.want {
			Convey("In state "+state+" the text "+act.name+" tells "+want, t, func() {
				r := newRig(20)
				c := r.client("strict")
				if state != "I" {
					r.query(c, begin())
				}
				if state == "E" {
					r.query(c, begin())
					So(r.heard(c), ShouldEqual, "ERROR MALFORMED / READY E")
				}
				count := r.answers(c)
				r.query(c, act.ask())
				if want == "" {
					So(r.answers(c), ShouldEqual, count)
					So(len(r.sends), ShouldEqual, 1)
				} else {
					So(r.heard(c), ShouldEqual, want)
					So(r.answers(c), ShouldEqual, count+1)
					So(r.sends, ShouldBeEmpty)
				}
				So(r.sound(), ShouldEqual, "")
			})
		}
	}
	Convey("Queries before the connect, and a second connect, end the session", t, func() {
		r := newRig(20)
		c := r.Met(nil, r.now)
		r.query(c, read("1"))
		So(r.heard(c), ShouldEqual, "ERROR MALFORMED")
		So(r.over[c], ShouldBeTrue)
		c = r.client("strict")
		r.Connect(c, "strict", r.now)
		r.flow()
		So(r.heard(c), ShouldEqual, "ERROR MALFORMED")
		So(r.over[c], ShouldBeTrue)
	})
	Convey("Malformed answers of an instance end its connection", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, write("1"))
		send := r.next()
		r.came(send.Conn, lineproto.Message{Kind: lineproto.KindBad})
		So(send.Conn.IsOver(), ShouldBeTrue)
		So(r.heard(c), ShouldEqual, "ERROR UNKNOWN / READY I")
		r.came(send.Conn, ok("late"), r.at(lineproto.StateIdle))
		So(r.answers(c), ShouldEqual, 2)
		So(r.sound(), ShouldEqual, "")
	})
}

func TestTold(t *testing.T) {
	Convey("A primary that owes answers is told at once, and again when it owes them for longer", t, func() {
		r := newRig(20)
		c := r.client("strict")
		r.query(c, write("1"))
		r.wait(275 * time.Millisecond)
		So(r.reports, ShouldEqual, 0)
		r.wait(50 * time.Millisecond)
		So(r.reports, ShouldEqual, 1)
		r.wait(275 * time.Millisecond)
		So(r.reports, ShouldEqual, 1)
		r.wait(50 * time.Millisecond)
		So(r.reports, ShouldEqual, 2)
		report := r.Told(r.now).Reports[0]
		So(report.Overdue, ShouldBeGreaterThan, 600*time.Millisecond)
		So(report.Answered, ShouldBeGreaterThan, 600*time.Millisecond)
	})
	Convey("The instance that is to be promoted is told of, so that a new control primary can ask at its address", t, func() {
		r := newRig(20)
		So(len(r.Told(r.now).Reports), ShouldEqual, 2)
		r.doc.Writers["x"] = model.Writer{Database: "x", Term: 3, Primary: "a", Intent: "b", Phase: model.PhaseIntent, IsSynced: true}
		r.news(1600 * time.Millisecond)
		names := []string{}
		for _, report := range r.Told(r.now).Reports {
			names = append(names, report.Instance.Name+" "+report.Instance.Address)
		}
		So(names, ShouldResemble, []string{"a a:1", "b b:1", "d d:1"})
	})
	Convey("A primary that refuses connections is told at once", t, func() {
		r := newRig(20)
		r.isSlow = true
		r.query(r.client("strict"), write("1"))
		r.lost(r.opens[0].Conn)
		r.pass(time.Millisecond)
		So(r.reports, ShouldEqual, 1)
		So(r.Told(r.now).Reports[0].Refused, ShouldEqual, 1)
	})
	Convey("An ask tells the roll that the node has, its birth and the set it shows", t, func() {
		r := newRig(20)
		ask := r.Ask(r.now)
		So(ask.Roll, ShouldResemble, distribution.Roll{Tenure: "t", Number: 1})
		So(ask.Birth, ShouldEqual, 1)
		So(ask.Shows, ShouldEqual, 1)
		So(ask.Node, ShouldEqual, "d1")
	})
}
