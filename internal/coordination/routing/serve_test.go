package routing

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

const ms = time.Millisecond

func at(term, index uint64) model.Position { return model.Position{Term: term, Index: index} }

func instance(name, role string, position model.Position) model.Instance {
	return model.Instance{Name: name, Database: "x", Role: role, Term: position.Term, Birth: "b", Position: position}
}

func serving(writer model.Writer, now time.Duration) *Machine {
	m := New("d1", lease.DefaultTiming())
	doc := model.Doc{Stamp: store.Stamp{Epoch: 1, Sequence: 1}, Writers: map[string]model.Writer{"x": writer}}
	m.Take(distribution.News{IsPrimary: true, Record: consensus.Record{Epoch: 1, Primary: "c1"}, Lease: 1600 * ms, Wall: int64(now), Doc: &doc}, now, now)
	return m
}

func open() model.Writer {
	replica := map[string]string{"r": "b"}
	return model.Writer{Database: "x", Term: 1, Primary: "p", Birth: "b", Phase: model.PhaseOpen, Required: replica, Candidates: replica}
}

func TestWhoMayRead(t *testing.T) {
	now := time.Hour
	Convey("A replica may answer once it holds what the primary had at a look within the bound, and the consumer's own", t, func() {
		m := serving(open(), now)
		m.Announced(instance("p", model.RolePrimary, at(1, 10)), now)
		m.Announced(instance("r", model.RoleReplica, at(1, 8)), now)
		m.Looked("p", instance("p", model.RolePrimary, at(1, 10)), now, now+2*ms)
		may := func(bound time.Duration, mark model.Position, when time.Duration) bool {
			return m.MayRead("r", when, bound, mark, when)
		}
		So(may(1500*ms, at(0, 0), now+5*ms), ShouldBeFalse)
		m.Looked("r", instance("r", model.RoleReplica, at(1, 10)), now+3*ms, now+5*ms)
		So(may(1500*ms, at(0, 0), now+6*ms), ShouldBeTrue)
		So(may(1500*ms, at(1, 11), now+6*ms), ShouldBeFalse)
		So(may(0, at(0, 0), now+6*ms), ShouldBeFalse)
		So(may(1500*ms, at(0, 0), now+1439*ms), ShouldBeTrue)
		So(may(1500*ms, at(0, 0), now+1441*ms), ShouldBeFalse)
	})
	Convey("A replica that has gone back is believed, but an answer older than what was heard since is not", t, func() {
		m := serving(open(), now)
		m.Announced(instance("r", model.RoleReplica, at(1, 10)), now)
		m.Looked("r", instance("r", model.RoleReplica, at(1, 8)), now-ms, now+ms)
		So(m.Sight("r").Position, ShouldResemble, at(1, 10))
		m.Looked("r", instance("r", model.RoleReplica, at(1, 8)), now+2*ms, now+3*ms)
		So(m.Sight("r").Position, ShouldResemble, at(1, 8))
		So(m.Waits("x", at(1, 9)), ShouldResemble, []string{"r"})
	})
	Convey("In a closed term a candidate is fresh only if it holds what the term began with", t, func() {
		writer := open()
		writer.Phase, writer.High = model.PhaseClosed, at(1, 9)
		m := serving(writer, now)
		m.Announced(instance("r", model.RoleReplica, at(1, 8)), now)
		So(m.MayRead("r", now, 1500*ms, at(0, 0), now), ShouldBeFalse)
		m.Announced(instance("r", model.RoleReplica, at(1, 9)), now)
		So(m.MayRead("r", now, 1500*ms, at(0, 0), now), ShouldBeTrue)
	})
}

func TestWhenAnInstanceWasAskedForItsPlace(t *testing.T) {
	now := time.Hour
	Convey("Neither an answer to a statement nor an announcement, which may be late, tells where an instance stands at what time; a look does, from when it was sent", t, func() {
		m := serving(open(), now)
		m.Announced(instance("r", model.RoleReplica, at(1, 5)), now)
		m.Looked("r", instance("r", model.RoleReplica, at(1, 5)), now, now+2*ms)
		m.Announced(instance("r", model.RoleReplica, at(1, 5)), now+290*ms)
		m.Sight("r").Answered = now + 300*ms
		report := m.Told(now+310*ms, nil).Reports[0]
		So(report.Answered, ShouldEqual, 10*ms)
		So(report.Announced, ShouldEqual, 20*ms)
		So(report.Placed, ShouldEqual, 310*ms)
		m.Looked("r", instance("r", model.RoleReplica, at(1, 6)), now+311*ms, now+312*ms)
		So(m.Told(now+320*ms, nil).Reports[0].Placed, ShouldEqual, 9*ms)
	})
	Convey("An announcement that comes late takes nothing back in what is reported", t, func() {
		m := serving(open(), now)
		m.Announced(instance("r", model.RoleReplica, at(1, 5)), now)
		m.Looked("r", instance("r", model.RoleReplica, at(1, 9)), now+ms, now+2*ms)
		m.Announced(instance("r", model.RoleReplica, at(1, 6)), now+3*ms)
		So(m.Told(now+4*ms, nil).Reports[0].Instance.Position, ShouldResemble, at(1, 9))
	})
}

func TestJudge(t *testing.T) {
	now := time.Hour
	Convey("A commit is kept once every required replica of the same birth holds it, and never without a lease", t, func() {
		m := serving(open(), now)
		So(m.Judge("x", 1, at(1, 5), now), ShouldEqual, VerdictNone)
		m.Announced(instance("r", model.RoleReplica, at(1, 5)), now)
		So(m.Judge("x", 1, at(1, 5), now+2*time.Second), ShouldEqual, VerdictNone)
		So(m.Judge("x", 1, at(1, 5), now), ShouldEqual, VerdictKept)
		So(m.High("x"), ShouldResemble, at(1, 5))
		reborn := instance("r", model.RoleReplica, at(1, 9))
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

func TestNewsSince(t *testing.T) {
	now := time.Hour
	Convey("News written after the state held is added to it; news written after another brings neither state nor lease", t, func() {
		m := serving(open(), now)
		have := m.Stamp()
		closing := open()
		closing.Phase = model.PhaseClosing
		news := func(since store.Stamp) distribution.News {
			doc := model.Doc{Stamp: store.Stamp{Epoch: 1, Sequence: 9}, Since: since, Writers: map[string]model.Writer{"y": {Database: "y", Term: 1}, "x": closing}}
			return distribution.News{IsPrimary: true, Record: consensus.Record{Epoch: 1, Primary: "c1"}, Lease: 1600 * ms, Wall: int64(now), Doc: &doc}
		}
		left := m.Left(now)
		So(m.Take(news(store.Stamp{Epoch: 1, Sequence: 8}), now+100*ms, now+100*ms), ShouldBeEmpty)
		So(m.Stamp(), ShouldResemble, have)
		So(m.Left(now), ShouldEqual, left)
		So(len(m.Take(news(have), now+100*ms, now+100*ms)), ShouldEqual, 2)
		So(m.Writer("x").Phase, ShouldEqual, model.PhaseClosing)
		So(m.Left(now), ShouldBeGreaterThan, left)
	})
}

func TestLeaseBesideASetOnItsWay(t *testing.T) {
	now := time.Hour
	Convey("A set that is taken up while it has no moment leaves the lease as long as it was", t, func() {
		m := serving(open(), now)
		doc := model.Doc{Stamp: store.Stamp{Epoch: 1, Sequence: 2}, Sets: []model.Set{{Sequence: 1}}, Writers: m.Doc().Writers}
		before := m.Left(now + 10*ms)
		m.Take(distribution.News{IsPrimary: true, Record: consensus.Record{Epoch: 1, Primary: "c1"}, Wall: int64(now), Doc: &doc}, now, now+10*ms)
		So(m.Doc().IsPending(), ShouldBeTrue)
		So(m.Left(now+10*ms), ShouldEqual, before)
	})
}
