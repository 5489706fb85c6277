package distribution

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// depart adds a departure and carries out the write that records it. It returns the
// replies.
func (h *harness) depart(instance model.Instance, commits bool) []bool {
	var replies []bool
	h.AddDeparture(instance, func(recorded bool) { replies = append(replies, recorded) })
	write, due := h.NextDepartures(h.wallNanos)
	So(due, ShouldBeTrue)
	So(replies, ShouldBeEmpty)
	if commits {
		h.put(write.Build(h.stored)...)
	}
	h.FinishDepartures()
	write.Reply(commits)
	return replies
}

// nextPrimary returns a harness with the machine of another control node that becomes
// primary with the same control state.
func (h *harness) nextPrimary() *harness {
	next := newHarness(h.Record().Epoch, h.stored)
	next.EpochChanged(consensus.Record{Epoch: h.Record().Epoch + 1, Primary: "c2", Backup: "c1"}, h.stored, h.now)
	next.EpochChanged(consensus.Record{Epoch: h.Record().Epoch + 2, Primary: "c1", Backup: "c2"}, h.stored, h.now)
	return next
}

func numbered(number uint64, leaving bool) model.Instance {
	announced := instance("i-1", model.RoleReplica)
	announced.SyncReplication, announced.AnnouncementNumber, announced.Leaving = true, number, leaving
	return announced
}

func stopped(name string) model.Instance {
	return model.Instance{Name: name, SyncReplication: true, Leaving: true, Stopped: true}
}

// listed returns an instance as it is in the distributed list.
func (h *harness) listed(name string) model.Instance { return h.instances.entries[name].instance }

// Guards against statements that reach an instance after its departure was acknowledged,
// because the next control primary receives older announcements of it late.
func TestDeparturesOutliveTheControlPrimary(t *testing.T) {
	Convey("An instance that has stopped stays so for the next control primary, whatever the number of a late announcement", t, func() {
		h := newHarness(1, store.New())
		left := numbered(4, true)
		left.Stopped = true
		So(h.RequiresDeparture(left), ShouldBeTrue)
		So(h.depart(left, true), ShouldResemble, []bool{true})
		So(h.RequiresDeparture(left), ShouldBeFalse)
		next := h.nextPrimary()
		next.UpdateInstances(nil)
		So(next.listed("i-1").Stopped, ShouldBeTrue)
		next.UpdateInstances([]Observation{{Instance: numbered(900, false), ObservedAt: next.now}})
		So(next.listed("i-1").Stopped, ShouldBeTrue)
		next.RegisterInstance(numbered(901, false))
		So(next.listed("i-1").Stopped, ShouldBeTrue)
	})
	Convey("An instance that is leaving stays so for the next control primary, unless a later announcement says otherwise", t, func() {
		h := newHarness(1, store.New())
		So(h.depart(numbered(7, true), true), ShouldResemble, []bool{true})
		So(h.RequiresDeparture(numbered(8, true)), ShouldBeFalse)
		next := h.nextPrimary()
		next.RegisterInstance(numbered(6, false))
		So(next.listed("i-1").Leaving, ShouldBeTrue)
		next.RegisterInstance(numbered(7, false))
		So(next.listed("i-1").Leaving, ShouldBeTrue)
		next.RegisterInstance(numbered(8, false))
		So(next.listed("i-1").Leaving, ShouldBeFalse)
	})
	Convey("The departure of an instance that the primary does not know is listed by its name, also by the next primary", t, func() {
		h := newHarness(1, store.New())
		So(h.depart(stopped("i-9"), true), ShouldResemble, []bool{true})
		h.UpdateInstances(nil)
		So(h.listed("i-9"), ShouldResemble, stopped("i-9"))
		next := h.nextPrimary()
		next.UpdateInstances(nil)
		So(next.listed("i-9"), ShouldResemble, stopped("i-9"))
	})
}

func TestDepartureWrites(t *testing.T) {
	Convey("A departure whose write fails is not acknowledged, and is required again", t, func() {
		h := newHarness(1, store.New())
		So(h.depart(numbered(4, true), false), ShouldResemble, []bool{false})
		So(h.RequiresDeparture(numbered(4, true)), ShouldBeTrue)
	})
	Convey("Departures that arrive while a write is pending are recorded by one write after it; a stop replaces the departure that it follows", t, func() {
		h := newHarness(1, store.New())
		h.AddDeparture(numbered(4, true), func(bool) {})
		first, due := h.NextDepartures(h.wallNanos)
		So(due, ShouldBeTrue)
		var replies []bool
		reply := func(recorded bool) { replies = append(replies, recorded) }
		h.AddDeparture(numbered(5, true), reply)
		h.AddDeparture(stopped("i-1"), reply)
		h.AddDeparture(numbered(6, true), reply)
		h.AddDeparture(stopped("i-2"), reply)
		_, due = h.NextDepartures(h.wallNanos)
		So(due, ShouldBeFalse)
		h.put(first.Build(h.stored)...)
		h.FinishDepartures()
		second, due := h.NextDepartures(h.wallNanos)
		So(due, ShouldBeTrue)
		So(h.put(second.Build(h.stored)...), ShouldEqual, 2)
		second.Reply(true)
		So(replies, ShouldResemble, []bool{true, true, true, true})
		So(h.RequiresDeparture(stopped("i-1")), ShouldBeFalse)
	})
	Convey("A node that is no longer primary rejects the departures that wait", t, func() {
		h := newHarness(1, store.New())
		var replies []bool
		h.AddDeparture(numbered(4, true), func(recorded bool) { replies = append(replies, recorded) })
		h.RejectDepartures().Reply(false)
		So(replies, ShouldResemble, []bool{false})
		_, due := h.NextDepartures(h.wallNanos)
		So(due, ShouldBeFalse)
	})
	Convey("A departure is deleted after its retention, and the instance may then return", t, func() {
		h := newHarness(1, store.New())
		h.depart(stopped("i-1"), true)
		h.advance(departureRetention)
		_, due := h.NextDepartures(h.wallNanos)
		So(due, ShouldBeFalse)
		h.advance(time.Nanosecond)
		write, due := h.NextDepartures(h.wallNanos)
		So(due, ShouldBeTrue)
		h.put(write.Build(h.stored)...)
		h.FinishDepartures()
		h.RegisterInstance(numbered(1, false))
		So(h.listed("i-1").Stopped, ShouldBeFalse)
		_, due = h.NextDepartures(h.wallNanos)
		So(due, ShouldBeFalse)
	})
	Convey("Only instances with synchronous replication that depart require a departure", t, func() {
		h := newHarness(1, store.New())
		async := instance("i-3", model.RoleReplica)
		async.Leaving, async.SyncReplication = true, false
		So(h.RequiresDeparture(async), ShouldBeFalse)
		So(h.RequiresDeparture(numbered(4, false)), ShouldBeFalse)
	})
}
