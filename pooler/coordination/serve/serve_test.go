package serve

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam.example/pooler/coordination/epoch"
	"tansyseam.example/pooler/coordination/lease"
	"tansyseam.example/pooler/coordination/steer"
	"tansyseam.example/pooler/state/table"
	"tansyseam.example/pooler/state/view"
)

const ms = time.Millisecond

func at(term, index uint64) view.Position { return view.Position{Term: term, Index: index} }

func instance(name, role string, position view.Position) view.Instance {
	return view.Instance{Name: name, Database: "x", Role: role, Term: position.Term, Birth: "b", Position: position}
}

func serving(writer view.Writer, now time.Duration) *Machine {
	m := New("d1", lease.DefaultTiming())
	doc := view.Doc{Stamp: table.Stamp{Epoch: 1, Sequence: 1}, Writers: map[string]view.Writer{"x": writer}}
	m.Take(steer.News{IsPrimary: true, Record: epoch.Record{Epoch: 1, Primary: "c1"}, Lease: 1600 * ms, Wall: int64(now), Doc: &doc}, now, now)
	return m
}

func open() view.Writer {
	replica := map[string]string{"r": "b"}
	return view.Writer{Database: "x", Term: 1, Primary: "p", Birth: "b", Phase: view.PhaseOpen, Required: replica, Candidates: replica}
}

func TestWhoMayRead(t *testing.T) {
	now := time.Hour
	Convey("A replica may answer once it holds what the primary had at a look within the bound, and the consumer's own", t, func() {
		m := serving(open(), now)
		m.Announced(instance("p", view.RolePrimary, at(1, 10)), now)
		m.Announced(instance("r", view.RoleReplica, at(1, 8)), now)
		m.Looked("p", instance("p", view.RolePrimary, at(1, 10)), now, now+2*ms)
		may := func(bound time.Duration, mark view.Position, when time.Duration) bool {
			return m.MayRead("r", when, bound, mark, when)
		}
		So(may(1500*ms, at(0, 0), now+5*ms), ShouldBeFalse)
		m.Looked("r", instance("r", view.RoleReplica, at(1, 10)), now+3*ms, now+5*ms)
		So(may(1500*ms, at(0, 0), now+6*ms), ShouldBeTrue)
		So(may(1500*ms, at(1, 11), now+6*ms), ShouldBeFalse)
		So(may(0, at(0, 0), now+6*ms), ShouldBeFalse)
		So(may(1500*ms, at(0, 0), now+1439*ms), ShouldBeTrue)
		So(may(1500*ms, at(0, 0), now+1441*ms), ShouldBeFalse)
	})
	Convey("A replica that has gone back is believed, but an answer older than what was heard since is not", t, func() {
		m := serving(open(), now)
		m.Announced(instance("r", view.RoleReplica, at(1, 10)), now)
		m.Looked("r", instance("r", view.RoleReplica, at(1, 8)), now-ms, now+ms)
		So(m.Sight("r").Position, ShouldResemble, at(1, 10))
		m.Looked("r", instance("r", view.RoleReplica, at(1, 8)), now+2*ms, now+3*ms)
		So(m.Sight("r").Position, ShouldResemble, at(1, 8))
		So(m.Waits("x", at(1, 9)), ShouldResemble, []string{"r"})
	})
	Convey("In a closed term a candidate is fresh only if it holds what the term began with", t, func() {
		writer := open()
		writer.Phase, writer.High = view.PhaseClosed, at(1, 9)
		m := serving(writer, now)
		m.Announced(instance("r", view.RoleReplica, at(1, 8)), now)
		So(m.MayRead("r", now, 1500*ms, at(0, 0), now), ShouldBeFalse)
		m.Announced(instance("r", view.RoleReplica, at(1, 9)), now)
		So(m.MayRead("r", now, 1500*ms, at(0, 0), now), ShouldBeTrue)
	})
}

func TestWhenAnInstanceWasAskedForItsPlace(t *testing.T) {
	now := time.Hour
	Convey("Neither an answer to a statement nor an announcement, which may be late, tells where an instance stands at what time; a look does, from when it was sent", t, func() {
		m := serving(open(), now)
		m.Announced(instance("r", view.RoleReplica, at(1, 5)), now)
		m.Looked("r", instance("r", view.RoleReplica, at(1, 5)), now, now+2*ms)
		m.Announced(instance("r", view.RoleReplica, at(1, 5)), now+290*ms)
		m.Sight("r").Answered = now + 300*ms
		report := m.Told(now+310*ms, nil).Reports[0]
		So(report.Answered, ShouldEqual, 10*ms)
		So(report.Announced, ShouldEqual, 20*ms)
		So(report.Placed, ShouldEqual, 310*ms)
		m.Looked("r", instance("r", view.RoleReplica, at(1, 6)), now+311*ms, now+312*ms)
		So(m.Told(now+320*ms, nil).Reports[0].Placed, ShouldEqual, 9*ms)
	})
	Convey("An announcement that comes late takes nothing back in what is reported", t, func() {
		m := serving(open(), now)
		m.Announced(instance("r", view.RoleReplica, at(1, 5)), now)
		m.Looked("r", instance("r", view.RoleReplica, at(1, 9)), now+ms, now+2*ms)
		m.Announced(instance("r", view.RoleReplica, at(1, 6)), now+3*ms)
		So(m.Told(now+4*ms, nil).Reports[0].Instance.Position, ShouldResemble, at(1, 9))
	})
}

func TestJudge(t *testing.T) {
	now := time.Hour
	Convey("A commit is kept once every required replica of the same birth holds it, and never without a lease", t, func() {
		m := serving(open(), now)
		So(m.Judge("x", 1, at(1, 5), now), ShouldEqual, VerdictNone)
		m.Announced(instance("r", view.RoleReplica, at(1, 5)), now)
		So(m.Judge("x", 1, at(1, 5), now+2*time.Second), ShouldEqual, VerdictNone)
		So(m.Judge("x", 1, at(1, 5), now), ShouldEqual, VerdictKept)
		So(m.High("x"), ShouldResemble, at(1, 5))
		reborn := instance("r", view.RoleReplica, at(1, 9))
		reborn.Birth = "other"
		m.Announced(reborn, now)
		So(m.Judge("x", 1, at(1, 6), now), ShouldEqual, VerdictNone)
	})
	Convey("One of a term that is over is kept if the next began past it, and unknown else", t, func() {
		writer := open()
		writer.Term, writer.Before, writer.Base = 2, 1, at(2, 8)
		m := serving(writer, now)
		So(m.Judge("x", 1, at(1, 7), now), ShouldEqual, VerdictKept)
		So(m.Judge("x", 1, at(1, 8), now), ShouldEqual, VerdictUnknown)
	})
}

func TestLeaseBesideASetOnItsWay(t *testing.T) {
	now := time.Hour
	Convey("A set that is taken up while it has no moment leaves the lease as long as it was", t, func() {
		m := serving(open(), now)
		doc := view.Doc{Stamp: table.Stamp{Epoch: 1, Sequence: 2}, Sets: []view.Set{{Sequence: 1}}, Writers: m.Doc().Writers}
		before := m.Left(now + 10*ms)
		m.Take(steer.News{IsPrimary: true, Record: epoch.Record{Epoch: 1, Primary: "c1"}, Wall: int64(now), Doc: &doc}, now, now+10*ms)
		So(m.Doc().IsPending(), ShouldBeTrue)
		So(m.Left(now+10*ms), ShouldEqual, before)
	})
}
