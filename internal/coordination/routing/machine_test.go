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

func positionAt(term, index uint64) model.Position { return model.Position{Term: term, Index: index} }

func newInstance(name, role string, position model.Position) model.Instance {
	return model.Instance{Name: name, Database: "x", Role: role, Term: position.Term, Incarnation: "b", Position: position}
}

func newServingMachine(writer model.WriterRole, now time.Duration) *Machine {
	m := New("d1", lease.DefaultTiming())
	snapshot := model.Snapshot{Version: store.Version{Epoch: 1, Sequence: 1}, Writers: map[string]model.WriterRole{"x": writer}}
	m.ApplyUpdate(distribution.Update{FromPrimary: true, Record: consensus.Record{Epoch: 1, Primary: "c1"}, LeaseDuration: 1600 * ms, PrimaryTime: int64(now), Snapshot: &snapshot}, now, now)
	return m
}

func openRole() model.WriterRole {
	replica := map[string]string{"r": "b"}
	return model.WriterRole{Database: "x", Term: 1, Primary: "p", PrimaryIncarnation: "b", Phase: model.PhaseOpen, RequiredReplicas: replica, Candidates: replica}
}

func TestWhoMayRead(t *testing.T) {
	now := time.Hour
	Convey("A replica may answer a read once it has reached the position of the primary at a query within the freshness bound, and the position of the client's own writes", t, func() {
		m := newServingMachine(openRole(), now)
		m.HandleAnnouncement(newInstance("p", model.RolePrimary, positionAt(1, 10)), now)
		m.HandleAnnouncement(newInstance("r", model.RoleReplica, positionAt(1, 8)), now)
		m.HandlePosition("p", newInstance("p", model.RolePrimary, positionAt(1, 10)), now, now+2*ms)
		mayRead := func(bound time.Duration, minPosition model.Position, when time.Duration) bool {
			return m.MayRead("r", when, bound, minPosition, when)
		}
		So(mayRead(1500*ms, positionAt(0, 0), now+5*ms), ShouldBeFalse)
		m.HandlePosition("r", newInstance("r", model.RoleReplica, positionAt(1, 10)), now+3*ms, now+5*ms)
		So(mayRead(1500*ms, positionAt(0, 0), now+6*ms), ShouldBeTrue)
		So(mayRead(1500*ms, positionAt(1, 11), now+6*ms), ShouldBeFalse)
		So(mayRead(0, positionAt(0, 0), now+6*ms), ShouldBeFalse)
		So(mayRead(1500*ms, positionAt(0, 0), now+1439*ms), ShouldBeTrue)
		So(mayRead(1500*ms, positionAt(0, 0), now+1441*ms), ShouldBeFalse)
	})
	Convey("An earlier position that a replica answers is adopted, unless the query was sent before the known position was received", t, func() {
		m := newServingMachine(openRole(), now)
		m.HandleAnnouncement(newInstance("r", model.RoleReplica, positionAt(1, 10)), now)
		m.HandlePosition("r", newInstance("r", model.RoleReplica, positionAt(1, 8)), now-ms, now+ms)
		So(m.Observation("r").Position, ShouldResemble, positionAt(1, 10))
		m.HandlePosition("r", newInstance("r", model.RoleReplica, positionAt(1, 8)), now+2*ms, now+3*ms)
		So(m.Observation("r").Position, ShouldResemble, positionAt(1, 8))
		So(m.LaggingReplicas("x", positionAt(1, 9)), ShouldResemble, []string{"r"})
	})
	Convey("In a closed term, a candidate may answer reads only if it has every commit confirmed before", t, func() {
		writer := openRole()
		writer.Phase, writer.HighWatermark = model.PhaseClosed, positionAt(1, 9)
		m := newServingMachine(writer, now)
		m.HandleAnnouncement(newInstance("r", model.RoleReplica, positionAt(1, 8)), now)
		So(m.MayRead("r", now, 1500*ms, positionAt(0, 0), now), ShouldBeFalse)
		m.HandleAnnouncement(newInstance("r", model.RoleReplica, positionAt(1, 9)), now)
		So(m.MayRead("r", now, 1500*ms, positionAt(0, 0), now), ShouldBeTrue)
	})
}

func TestPositionAge(t *testing.T) {
	now := time.Hour
	Convey("The age of a position counts from when the last query was sent; neither a response to a statement nor an announcement, which may be delayed, changes it", t, func() {
		m := newServingMachine(openRole(), now)
		m.HandleAnnouncement(newInstance("r", model.RoleReplica, positionAt(1, 5)), now)
		m.HandlePosition("r", newInstance("r", model.RoleReplica, positionAt(1, 5)), now, now+2*ms)
		m.HandleAnnouncement(newInstance("r", model.RoleReplica, positionAt(1, 5)), now+290*ms)
		m.Observation("r").LastResponse = now + 300*ms
		report := m.Report(now+310*ms, nil).Reports[0]
		So(report.ResponseAge, ShouldEqual, 10*ms)
		So(report.AnnouncementAge, ShouldEqual, 20*ms)
		So(report.PositionAge, ShouldEqual, 310*ms)
		m.HandlePosition("r", newInstance("r", model.RoleReplica, positionAt(1, 6)), now+311*ms, now+312*ms)
		So(m.Report(now+320*ms, nil).Reports[0].PositionAge, ShouldEqual, 9*ms)
	})
	Convey("A delayed announcement with an earlier position does not change the reported position", t, func() {
		m := newServingMachine(openRole(), now)
		m.HandleAnnouncement(newInstance("r", model.RoleReplica, positionAt(1, 5)), now)
		m.HandlePosition("r", newInstance("r", model.RoleReplica, positionAt(1, 9)), now+ms, now+2*ms)
		m.HandleAnnouncement(newInstance("r", model.RoleReplica, positionAt(1, 6)), now+3*ms)
		So(m.Report(now+4*ms, nil).Reports[0].Instance.Position, ShouldResemble, positionAt(1, 9))
	})
}

func TestCommitVerdict(t *testing.T) {
	now := time.Hour
	Convey("A commit is durable once every required replica has it in its recorded incarnation, and is never decided without a lease", t, func() {
		m := newServingMachine(openRole(), now)
		So(m.CommitVerdict("x", 1, positionAt(1, 5), now), ShouldEqual, VerdictNone)
		m.HandleAnnouncement(newInstance("r", model.RoleReplica, positionAt(1, 5)), now)
		So(m.CommitVerdict("x", 1, positionAt(1, 5), now+2*time.Second), ShouldEqual, VerdictNone)
		So(m.CommitVerdict("x", 1, positionAt(1, 5), now), ShouldEqual, VerdictDurable)
		So(m.HighWatermark("x"), ShouldResemble, positionAt(1, 5))
		restarted := newInstance("r", model.RoleReplica, positionAt(1, 9))
		restarted.Incarnation = "other"
		m.HandleAnnouncement(restarted, now)
		So(m.CommitVerdict("x", 1, positionAt(1, 6), now), ShouldEqual, VerdictNone)
	})
	Convey("A commit of a term that is over is durable if the next term began past it, and unknown otherwise", t, func() {
		writer := openRole()
		writer.Term, writer.PreviousTerm, writer.TermStart = 2, 1, positionAt(2, 8)
		m := newServingMachine(writer, now)
		So(m.CommitVerdict("x", 1, positionAt(1, 7), now), ShouldEqual, VerdictDurable)
		So(m.CommitVerdict("x", 1, positionAt(1, 8), now), ShouldEqual, VerdictUnknown)
	})
}

func TestDeltaUpdates(t *testing.T) {
	now := time.Hour
	Convey("A delta on the node's version is applied; a delta on another version changes neither the snapshot nor the lease", t, func() {
		m := newServingMachine(openRole(), now)
		version := m.Version()
		closing := openRole()
		closing.Phase = model.PhaseClosing
		update := func(since store.Version) distribution.Update {
			snapshot := model.Snapshot{Version: store.Version{Epoch: 1, Sequence: 9}, BaseVersion: since, Writers: map[string]model.WriterRole{"y": {Database: "y", Term: 1}, "x": closing}}
			return distribution.Update{FromPrimary: true, Record: consensus.Record{Epoch: 1, Primary: "c1"}, LeaseDuration: 1600 * ms, PrimaryTime: int64(now), Snapshot: &snapshot}
		}
		remaining := m.LeaseRemaining(now)
		So(m.ApplyUpdate(update(store.Version{Epoch: 1, Sequence: 8}), now+100*ms, now+100*ms), ShouldBeEmpty)
		So(m.Version(), ShouldResemble, version)
		So(m.LeaseRemaining(now), ShouldEqual, remaining)
		So(len(m.ApplyUpdate(update(version), now+100*ms, now+100*ms)), ShouldEqual, 2)
		So(m.WriterRole("x").Phase, ShouldEqual, model.PhaseClosing)
		So(m.LeaseRemaining(now), ShouldBeGreaterThan, remaining)
	})
}

func TestLeaseBesidePendingSet(t *testing.T) {
	now := time.Hour
	Convey("Applying a snapshot with a pending set does not change the remaining time of the lease", t, func() {
		m := newServingMachine(openRole(), now)
		snapshot := model.Snapshot{Version: store.Version{Epoch: 1, Sequence: 2}, Sets: []model.BindingSet{{Sequence: 1}}, Writers: m.Snapshot().Writers}
		previous := m.LeaseRemaining(now + 10*ms)
		m.ApplyUpdate(distribution.Update{FromPrimary: true, Record: consensus.Record{Epoch: 1, Primary: "c1"}, PrimaryTime: int64(now), Snapshot: &snapshot}, now, now+10*ms)
		So(m.Snapshot().HasPendingSet(), ShouldBeTrue)
		So(m.LeaseRemaining(now+10*ms), ShouldEqual, previous)
	})
}
