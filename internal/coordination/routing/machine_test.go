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
	return model.Instance{Name: name, Database: "x", Role: role, Term: position.Term, Incarnation: "b", Position: position}
}

func serving(writer model.WriterRole, now time.Duration) *Machine {
	m := New("d1", lease.DefaultTiming())
	snapshot := model.Snapshot{Version: store.Version{Epoch: 1, Sequence: 1}, Writers: map[string]model.WriterRole{"x": writer}}
	m.ApplyUpdate(distribution.Update{FromPrimary: true, Record: consensus.Record{Epoch: 1, Primary: "c1"}, LeaseDuration: 1600 * ms, PrimaryTime: int64(now), Snapshot: &snapshot}, now, now)
	return m
}

func open() model.WriterRole {
	replica := map[string]string{"r": "b"}
	return model.WriterRole{Database: "x", Term: 1, Primary: "p", PrimaryIncarnation: "b", Phase: model.PhaseOpen, RequiredReplicas: replica, Candidates: replica}
}

func TestWhoMayRead(t *testing.T) {
	now := time.Hour
	Convey("A replica may answer once it has what the primary had at a query within the bound, and the client's own writes", t, func() {
		m := serving(open(), now)
		m.HandleAnnouncement(instance("p", model.RolePrimary, at(1, 10)), now)
		m.HandleAnnouncement(instance("r", model.RoleReplica, at(1, 8)), now)
		m.HandlePosition("p", instance("p", model.RolePrimary, at(1, 10)), now, now+2*ms)
		may := func(bound time.Duration, minPosition model.Position, when time.Duration) bool {
			return m.MayRead("r", when, bound, minPosition, when)
		}
		So(may(1500*ms, at(0, 0), now+5*ms), ShouldBeFalse)
		m.HandlePosition("r", instance("r", model.RoleReplica, at(1, 10)), now+3*ms, now+5*ms)
		So(may(1500*ms, at(0, 0), now+6*ms), ShouldBeTrue)
		So(may(1500*ms, at(1, 11), now+6*ms), ShouldBeFalse)
		So(may(0, at(0, 0), now+6*ms), ShouldBeFalse)
		So(may(1500*ms, at(0, 0), now+1439*ms), ShouldBeTrue)
		So(may(1500*ms, at(0, 0), now+1441*ms), ShouldBeFalse)
	})
	Convey("A replica that has gone back is believed, but not an answer older than what was learned since", t, func() {
		m := serving(open(), now)
		m.HandleAnnouncement(instance("r", model.RoleReplica, at(1, 10)), now)
		m.HandlePosition("r", instance("r", model.RoleReplica, at(1, 8)), now-ms, now+ms)
		So(m.Observation("r").Position, ShouldResemble, at(1, 10))
		m.HandlePosition("r", instance("r", model.RoleReplica, at(1, 8)), now+2*ms, now+3*ms)
		So(m.Observation("r").Position, ShouldResemble, at(1, 8))
		So(m.LaggingReplicas("x", at(1, 9)), ShouldResemble, []string{"r"})
	})
	Convey("In a closed term a candidate is fresh only if it has everything confirmed before", t, func() {
		writer := open()
		writer.Phase, writer.HighWatermark = model.PhaseClosed, at(1, 9)
		m := serving(writer, now)
		m.HandleAnnouncement(instance("r", model.RoleReplica, at(1, 8)), now)
		So(m.MayRead("r", now, 1500*ms, at(0, 0), now), ShouldBeFalse)
		m.HandleAnnouncement(instance("r", model.RoleReplica, at(1, 9)), now)
		So(m.MayRead("r", now, 1500*ms, at(0, 0), now), ShouldBeTrue)
	})
}

func TestPositionAge(t *testing.T) {
	now := time.Hour
	Convey("Neither a response to a statement nor an announcement, which may be delayed, dates the position of an instance; a query does, from when it was sent", t, func() {
		m := serving(open(), now)
		m.HandleAnnouncement(instance("r", model.RoleReplica, at(1, 5)), now)
		m.HandlePosition("r", instance("r", model.RoleReplica, at(1, 5)), now, now+2*ms)
		m.HandleAnnouncement(instance("r", model.RoleReplica, at(1, 5)), now+290*ms)
		m.Observation("r").LastResponse = now + 300*ms
		report := m.Report(now+310*ms, nil).Reports[0]
		So(report.ResponseAge, ShouldEqual, 10*ms)
		So(report.AnnouncementAge, ShouldEqual, 20*ms)
		So(report.PositionAge, ShouldEqual, 310*ms)
		m.HandlePosition("r", instance("r", model.RoleReplica, at(1, 6)), now+311*ms, now+312*ms)
		So(m.Report(now+320*ms, nil).Reports[0].PositionAge, ShouldEqual, 9*ms)
	})
	Convey("A delayed announcement takes back nothing of what is reported", t, func() {
		m := serving(open(), now)
		m.HandleAnnouncement(instance("r", model.RoleReplica, at(1, 5)), now)
		m.HandlePosition("r", instance("r", model.RoleReplica, at(1, 9)), now+ms, now+2*ms)
		m.HandleAnnouncement(instance("r", model.RoleReplica, at(1, 6)), now+3*ms)
		So(m.Report(now+4*ms, nil).Reports[0].Instance.Position, ShouldResemble, at(1, 9))
	})
}

func TestCommitVerdict(t *testing.T) {
	now := time.Hour
	Convey("A commit is durable once every required replica of the same incarnation has it, and never without a lease", t, func() {
		m := serving(open(), now)
		So(m.CommitVerdict("x", 1, at(1, 5), now), ShouldEqual, VerdictNone)
		m.HandleAnnouncement(instance("r", model.RoleReplica, at(1, 5)), now)
		So(m.CommitVerdict("x", 1, at(1, 5), now+2*time.Second), ShouldEqual, VerdictNone)
		So(m.CommitVerdict("x", 1, at(1, 5), now), ShouldEqual, VerdictDurable)
		So(m.HighWatermark("x"), ShouldResemble, at(1, 5))
		restarted := instance("r", model.RoleReplica, at(1, 9))
		restarted.Incarnation = "other"
		m.HandleAnnouncement(restarted, now)
		So(m.CommitVerdict("x", 1, at(1, 6), now), ShouldEqual, VerdictNone)
	})
	Convey("One of a term that is over is durable if the next began past it, and unknown otherwise", t, func() {
		writer := open()
		writer.Term, writer.PreviousTerm, writer.TermStart = 2, 1, at(2, 8)
		m := serving(writer, now)
		So(m.CommitVerdict("x", 1, at(1, 7), now), ShouldEqual, VerdictDurable)
		So(m.CommitVerdict("x", 1, at(1, 8), now), ShouldEqual, VerdictUnknown)
	})
}

func TestDeltaUpdates(t *testing.T) {
	now := time.Hour
	Convey("A delta on the node's version is applied; one on another version brings neither a snapshot nor a lease", t, func() {
		m := serving(open(), now)
		have := m.Version()
		closing := open()
		closing.Phase = model.PhaseClosing
		update := func(since store.Version) distribution.Update {
			snapshot := model.Snapshot{Version: store.Version{Epoch: 1, Sequence: 9}, BaseVersion: since, Writers: map[string]model.WriterRole{"y": {Database: "y", Term: 1}, "x": closing}}
			return distribution.Update{FromPrimary: true, Record: consensus.Record{Epoch: 1, Primary: "c1"}, LeaseDuration: 1600 * ms, PrimaryTime: int64(now), Snapshot: &snapshot}
		}
		left := m.LeaseRemaining(now)
		So(m.ApplyUpdate(update(store.Version{Epoch: 1, Sequence: 8}), now+100*ms, now+100*ms), ShouldBeEmpty)
		So(m.Version(), ShouldResemble, have)
		So(m.LeaseRemaining(now), ShouldEqual, left)
		So(len(m.ApplyUpdate(update(have), now+100*ms, now+100*ms)), ShouldEqual, 2)
		So(m.WriterRole("x").Phase, ShouldEqual, model.PhaseClosing)
		So(m.LeaseRemaining(now), ShouldBeGreaterThan, left)
	})
}

func TestLeaseBesidePendingSet(t *testing.T) {
	now := time.Hour
	Convey("Applying a pending set leaves the lease as long as it was", t, func() {
		m := serving(open(), now)
		snapshot := model.Snapshot{Version: store.Version{Epoch: 1, Sequence: 2}, Sets: []model.BindingSet{{Sequence: 1}}, Writers: m.Snapshot().Writers}
		previous := m.LeaseRemaining(now + 10*ms)
		m.ApplyUpdate(distribution.Update{FromPrimary: true, Record: consensus.Record{Epoch: 1, Primary: "c1"}, PrimaryTime: int64(now), Snapshot: &snapshot}, now, now+10*ms)
		So(m.Snapshot().HasPendingSet(), ShouldBeTrue)
		So(m.LeaseRemaining(now+10*ms), ShouldEqual, previous)
	})
}
