package distribution

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/rollout"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

type harness struct {
	*Machine
	stored *store.Table
	now    time.Duration
	wall   int64
}

func newHarness(epochNo uint64, state *store.Table) *harness {
	return newHarnessWithTiming(lease.DefaultTiming(), epochNo, state)
}

func newHarnessWithTiming(timing lease.Timing, epochNo uint64, state *store.Table) *harness {
	h := &harness{stored: state, now: time.Hour, wall: int64(1000 * time.Hour)}
	h.Machine = New("c1", timing, consensus.Record{Epoch: epochNo, Primary: "c1", Backup: "c2"}, state, h.now)
	return h
}

func (h *harness) advance(span time.Duration) { h.now, h.wall = h.now+span, h.wall+int64(span) }

func (h *harness) write(write Write) int {
	puts := write.Build(h.stored)
	if len(puts) > 0 {
		h.stored = h.stored.Clone()
		h.stored.Apply(store.Version{Epoch: h.Record().Epoch, Sequence: h.stored.Version.Sequence + 1}, puts)
		h.Publish(h.stored)
	}
	write.Done()
	return len(puts)
}

func (h *harness) runWrites() int {
	writes := 0
	for range 20 {
		progressed := false
		for _, next := range []func(int64, time.Duration) (Write, bool){h.RegisterNodes, h.NextActivation, h.NextCollection} {
			if write, due := next(h.wall, h.now); due {
				progressed = h.write(write) > 0 || progressed
				writes++
			}
		}
		if !progressed {
			break
		}
	}
	return writes
}

func (h *harness) request(node string, have store.Version) Update {
	h.HandleRequest(UpdateRequest{Node: node, Kind: model.KindProxy, Version: have}, 1, h.now)
	h.runWrites()
	h.advance(DefaultPollTimeout)
	replies := h.Flush(true, h.wall, h.now)
	So(len(replies), ShouldBeGreaterThan, 0)
	return replies[len(replies)-1].Update
}

func (h *harness) putSet(expected uint64) {
	h.write(Write{Build: func(state *store.Table) []store.Put {
		puts, _ := rollout.AcceptBindings(state, expected, []model.Binding{{Name: "b", Database: "db"}}, "test", h.wall)
		return puts
	}, Done: func() {}})
}

func TestLeases(t *testing.T) {
	Convey("A node that asks is put on record once, and gets a lease of this epoch even from a primary that was just started", t, func() {
		h := newHarness(3, store.New())
		first := h.request("d1", store.Version{})
		So(h.runWrites(), ShouldEqual, 0)
		again := h.request("d1", h.stored.Version)
		So(first.Record.Epoch, ShouldEqual, 3)
		So(again.LeaseDuration, ShouldEqual, lease.DefaultTiming().LeaseDuration)
		h.advance(nodeRetention + lease.DefaultTiming().LeaseDuration + time.Second)
		So(h.runWrites(), ShouldBeGreaterThan, 0)
		So(h.stored.Records, ShouldNotContainKey, model.PrefixNode+"d1")
	})
	Convey("A new primary reckons with the leases of all nodes on record, and with no others", t, func() {
		h := newHarness(1, store.New())
		h.request("d1", store.Version{})
		h.putSet(0)
		next := newHarness(2, h.stored)
		_, due := next.NextActivation(next.wall, next.now)
		So(due, ShouldBeFalse)
		next.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy, Version: next.stored.Version}, 1, next.now)
		write, due := next.NextActivation(next.wall, next.now)
		So(due, ShouldBeTrue)
		So(next.write(write), ShouldBeGreaterThan, 0)
		So(next.Snapshot().NewestSet().EffectiveAt, ShouldBeGreaterThan, next.wall)
	})
	Convey("While a set waits for a node, leases end where its moment can still come in time; past that there are none", t, func() {
		h := newHarness(1, store.New())
		h.request("d1", store.Version{})
		h.request("d2", store.Version{})
		h.request("d1", h.stored.Version)
		h.putSet(0)
		taken := h.wall
		for h.wall < taken+int64(lease.DefaultTiming().PendingSetLimit()) {
			h.Machine.grantor.Acknowledge("d2", store.Version{}, h.now)
			h.Machine.grantor.Grant("d2", time.Minute, h.now)
			left := time.Duration(taken + int64(lease.DefaultTiming().PendingSetLimit()) - h.wall)
			So(h.request("d1", h.stored.Version).LeaseDuration, ShouldBeLessThanOrEqualTo, min(lease.DefaultTiming().LeaseDuration, left))
		}
		h.Machine.grantor.Acknowledge("d2", store.Version{}, h.now)
		h.Machine.grantor.Grant("d2", time.Minute, h.now)
		So(h.request("d1", h.stored.Version).LeaseDuration, ShouldEqual, 0)
	})
	Convey("With a node that falls silent, a set's moment is within the bound that the settings give", t, func() {
		for _, bound := range []time.Duration{2500 * time.Millisecond, 3 * time.Second, 4 * time.Second, 11 * time.Second} {
			timing := lease.DefaultTiming()
			timing.ActivationDeadline = bound
			h := newHarnessWithTiming(timing, 1, store.New())
			for range 2 {
				h.request("d1", h.stored.Version)
				h.request("d2", h.stored.Version)
			}
			h.putSet(0)
			taken := h.wall
			for h.Snapshot().NewestSet().EffectiveAt == 0 && h.wall < taken+int64(time.Minute) {
				h.request("d1", h.stored.Version)
				h.runWrites()
				h.advance(50 * time.Millisecond)
			}
			SoMsg(bound.String(), time.Duration(h.Snapshot().NewestSet().EffectiveAt-taken), ShouldBeBetween, 0, bound)
		}
	})
	Convey("A moment set by an earlier tenure is brought in force before any lease goes out", t, func() {
		h := newHarness(1, store.New())
		h.request("d1", store.Version{})
		h.putSet(0)
		h.request("d1", h.stored.Version)
		h.runWrites()
		So(h.Snapshot().NewestSet().EffectiveAt, ShouldBeGreaterThan, 0)
		next := newHarness(1, h.stored)
		next.wall = h.Snapshot().NewestSet().EffectiveAt - int64(3*time.Second)
		So(next.maxLease(next.wall), ShouldEqual, 0)
		next.runWrites()
		So(next.Snapshot().ActiveSet(next.wall).Sequence, ShouldEqual, 0)
		So(next.maxLease(next.wall), ShouldEqual, 0)
		next.now += lease.DefaultTiming().LeaseDuration
		So(next.maxLease(next.wall), ShouldEqual, 0)
		next.runWrites()
		So(next.Snapshot().ActiveSet(next.wall).Sequence, ShouldEqual, 1)
		So(next.maxLease(next.wall), ShouldBeGreaterThan, 0)
	})
}

func TestWriterRolePuts(t *testing.T) {
	Convey("A change that was decided on an earlier writer role is not written", t, func() {
		state := store.New()
		change := WriterRoleChange{Next: model.WriterRole{Database: "db", Term: 1, Phase: model.PhaseOpen}}
		state.Apply(store.Version{Epoch: 1, Sequence: 2}, WriterRolePuts(state, change, 3))
		So(state.Records, ShouldContainKey, model.PrefixWriterRole+"db")
		So(WriterRolePuts(state, change, 4), ShouldBeEmpty)
	})
}

func TestPendingSetOfAnEarlierTenure(t *testing.T) {
	Convey("A primary that cannot trust its clock leases nobody to serve beside a pending set that it has inherited", t, func() {
		first := newHarness(1, store.New())
		first.request("d1", store.Version{})
		puts, _ := rollout.AcceptBindings(first.stored, 0, []model.Binding{{Name: "x", Database: "x"}}, "call", first.wall)
		first.write(Write{Build: func(*store.Table) []store.Put { return puts }, Done: func() {}})
		for _, trusted := range []bool{false, true} {
			second := newHarness(1, first.stored)
			second.Machine = New("c2", lease.DefaultTiming(), consensus.Record{Epoch: 1, Primary: "c1"}, first.stored, second.now)
			second.wall -= int64(4 * time.Second)
			second.EpochChanged(consensus.Record{Epoch: 2, Primary: "c2"}, first.stored, second.now)
			second.SetClockTrusted(trusted)
			second.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy}, 1, second.now)
			replies := second.Flush(true, second.wall, second.now)
			So(len(replies), ShouldEqual, 1)
			So(replies[0].Update.LeaseDuration > 0, ShouldEqual, trusted)
		}
	})
	Convey("Nor does one that started again and holds primacy by the record that it held before", t, func() {
		first := newHarness(1, store.New())
		first.request("d1", store.Version{})
		puts, _ := rollout.AcceptBindings(first.stored, 0, []model.Binding{{Name: "x", Database: "x"}}, "call", first.wall)
		first.write(Write{Build: func(*store.Table) []store.Put { return puts }, Done: func() {}})
		for _, trusted := range []bool{false, true} {
			again := newHarness(1, first.stored)
			again.wall -= int64(4 * time.Second)
			again.EpochChanged(consensus.Record{Epoch: 2, Primary: "c1"}, first.stored, again.now)
			again.SetClockTrusted(trusted)
			again.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy}, 1, again.now)
			replies := again.Flush(true, again.wall, again.now)
			So(len(replies), ShouldEqual, 1)
			So(replies[0].Update.LeaseDuration > 0, ShouldEqual, trusted)
		}
	})
}

func TestInstancePosition(t *testing.T) {
	Convey("An instance stands where it last said, though another node had an answer of it since that told no position", t, func() {
		h := newHarness(1, store.New())
		h.request("d1", store.Version{})
		h.request("d2", store.Version{})
		report := func(index uint64, answered, placed time.Duration) []InstanceReport {
			info := model.Instance{Name: "r", Database: "x", Incarnation: "b", Position: model.Position{Term: 1, Index: index}}
			return []InstanceReport{{Instance: info, AnnouncementAge: 390 * time.Millisecond, ResponseAge: answered, PositionAge: placed}}
		}
		h.HandleReport(NodeReport{Node: "d1", Reports: report(9, 80*time.Millisecond, 80*time.Millisecond)}, h.now)
		h.HandleReport(NodeReport{Node: "d2", Reports: report(4, 10*time.Millisecond, 390*time.Millisecond)}, h.now)
		observations := []Observation{{Instance: report(4, 0, 0)[0].Instance, ObservedAt: h.now - 390*time.Millisecond}}
		observation := h.AsyncFailoverEvidence("x", observations, h.wall, h.now).Observations[0]
		So(observation.Instance.Position.Index, ShouldEqual, 9)
		So(observation.ContactAge, ShouldEqual, 10*time.Millisecond)
		So(observation.PositionAge, ShouldEqual, 80*time.Millisecond)
		h.HandleReport(NodeReport{Node: "d1"}, h.now)
		late := []Observation{{Instance: observations[0].Instance, ObservedAt: h.now}}
		So(h.AsyncFailoverEvidence("x", late, h.wall, h.now).Observations[0].PositionAge, ShouldEqual, time.Hour)
	})
}

func TestScheduledChangesActivateInOrder(t *testing.T) {
	at := func(h *harness, span time.Duration) int64 { return h.wall + int64(span) }
	book := func(h *harness, id string, effectiveAt int64) bool {
		puts, _ := rollout.Schedule(h.stored, id, effectiveAt, []model.Binding{{Name: id, Database: "x"}}, h.wall)
		return h.write(Write{Build: func(*store.Table) []store.Put { return puts }, Done: func() {}}) > 0
	}
	Convey("A change whose moment lies before that of one already on its way is refused, and a later one is not", t, func() {
		h := newHarness(1, store.New())
		later := at(h, time.Second)
		So(book(h, "later", later), ShouldBeTrue)
		h.runWrites()
		So(h.Snapshot().NewestSet().Source, ShouldEqual, "booking later")
		So(book(h, "earlier", later-int64(500*time.Millisecond)), ShouldBeFalse)
		So(book(h, "same", later), ShouldBeTrue)
		for range 5 {
			h.advance(time.Second)
			h.runWrites()
		}
		So(book(h, "past", later-int64(500*time.Millisecond)), ShouldBeTrue)
	})
	Convey("A change booked between the choice and the write of another, for an earlier moment, goes first", t, func() {
		h := newHarness(1, store.New())
		So(book(h, "later", at(h, time.Second)), ShouldBeTrue)
		landing, due := h.NextActivation(h.wall, h.now)
		So(due, ShouldBeTrue)
		So(book(h, "earlier", at(h, 500*time.Millisecond)), ShouldBeTrue)
		h.write(landing)
		So(h.Snapshot().NewestSet().Source, ShouldEqual, "booking earlier")
	})
}

func TestEffectiveTimesBesideLeases(t *testing.T) {
	full := lease.DefaultTiming().LeaseDuration
	const pace = 50 * time.Millisecond
	Convey("A set that is taken shortens no lease, so that one outlasts the election of another primary", t, func() {
		h := newHarness(1, store.New())
		h.request("d1", store.Version{})
		h.request("d1", h.stored.Version)
		h.putSet(0)
		h.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy, Version: store.Version{}}, 1, h.now)
		replies := h.Flush(true, h.wall, h.now)
		So(replies[0].Update.Snapshot.HasPendingSet(), ShouldBeTrue)
		So(replies[0].Update.LeaseDuration, ShouldEqual, full)
	})
	Convey("A moment lies past each lease given without it, and in time also where a node falls silent", t, func() {
		for _, silentFor := range []time.Duration{0, 300 * time.Millisecond, time.Second, time.Minute} {
			h := newHarness(1, store.New())
			for _, node := range []string{"d1", "d2"} {
				h.request(node, store.Version{})
			}
			h.putSet(0)
			for range 60 {
				h.request("d1", h.stored.Version)
				h.request("d2", h.stored.Version)
			}
			h.putSet(1)
			taken, last := h.now, time.Duration(0)
			for h.Snapshot().HasPendingSet() && h.now < taken+5*time.Second {
				for _, node := range []string{"d1", "d2"} {
					if node == "d2" && h.now < taken+silentFor {
						continue
					}
					h.HandleRequest(UpdateRequest{Node: node, Kind: model.KindProxy, Version: store.Version{}}, 1, h.now)
					for _, reply := range h.Flush(true, h.wall, h.now) {
						last = max(last, h.now+reply.Update.LeaseDuration)
					}
					h.HandleRequest(UpdateRequest{Node: node, Kind: model.KindProxy, Version: h.stored.Version}, 1, h.now)
				}
				h.advance(pace)
				h.runWrites()
			}
			effectiveAt := h.now + time.Duration(h.Snapshot().NewestSet().EffectiveAt-h.wall)
			So(effectiveAt, ShouldBeGreaterThan, last)
			So(effectiveAt, ShouldBeLessThan, taken+2600*time.Millisecond)
		}
	})
	Convey("The first set of a fleet, beside which none is in force, waits for no lease", t, func() {
		h := newHarness(1, store.New())
		h.request("d1", store.Version{})
		h.putSet(0)
		h.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy, Version: h.stored.Version}, 1, h.now)
		h.runWrites()
		So(h.Snapshot().NewestSet().EffectiveAt-h.wall, ShouldBeLessThan, int64(full/2))
	})
}

func TestEffectiveTimeOfEarlierTenure(t *testing.T) {
	Convey("A moment that lies ahead as far as moments do is left to a clock that is sure, since who holds a lease knows it; beside one that is not nobody is leased", t, func() {
		first := newHarness(1, store.New())
		first.request("d1", store.Version{})
		first.putSet(0)
		first.request("d1", first.stored.Version)
		first.request("d1", first.stored.Version)
		first.putSet(1)
		first.request("d1", first.stored.Version)
		effectiveAt := first.Snapshot().NewestSet().EffectiveAt
		So(effectiveAt, ShouldBeGreaterThan, first.wall)
		for _, trusted := range []bool{true, false} {
			next := newHarness(2, first.stored)
			next.wall = effectiveAt - int64(time.Second)
			next.SetClockTrusted(trusted)
			next.ensureTenure(next.wall)
			if !trusted {
				So(next.maxLease(next.wall), ShouldEqual, 0)
				continue
			}
			So(next.overdueSets(next.wall), ShouldBeEmpty)
			So(next.maxLease(next.wall), ShouldBeGreaterThan, 0)
			next.wall = effectiveAt - int64(3*time.Second)
			So(len(next.overdueSets(next.wall)), ShouldEqual, 1)
			So(next.maxLease(next.wall), ShouldEqual, 0)
			next.runWrites()
			So(next.Snapshot().NewestSet().EffectiveAt, ShouldEqual, effectiveAt)
			So(next.maxLease(next.wall), ShouldEqual, 0)
			next.now += lease.DefaultTiming().LeaseDuration
			next.runWrites()
			So(next.Snapshot().NewestSet().EffectiveAt, ShouldEqual, 1)
		}
	})
}
