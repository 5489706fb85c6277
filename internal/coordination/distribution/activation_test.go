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

func TestLeases(t *testing.T) {
	Convey("A node that sends a request is registered once, and gets a lease of the current epoch even if the primary has just started", t, func() {
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
	Convey("A new primary assumes that exactly the registered nodes hold a lease", t, func() {
		h := newHarness(1, store.New())
		h.request("d1", store.Version{})
		h.putSet(0)
		next := newHarness(2, h.stored)
		_, due := next.NextActivation(next.wallNanos, next.now)
		So(due, ShouldBeFalse)
		next.receive("d1", next.stored.Version)
		write, due := next.NextActivation(next.wallNanos, next.now)
		So(due, ShouldBeTrue)
		So(next.write(write), ShouldBeGreaterThan, 0)
		So(next.Snapshot().NewestSet().EffectiveAt, ShouldBeGreaterThan, next.wallNanos)
	})
	Convey("While a set waits for a node that has not applied it, leases end within the limit for a pending set, and no lease is granted after that limit", t, func() {
		h := newHarness(1, store.New())
		h.request("d1", store.Version{})
		h.request("d2", store.Version{})
		h.request("d1", h.stored.Version)
		h.putSet(0)
		acceptedAt := h.wallNanos
		for h.wallNanos < acceptedAt+int64(lease.DefaultTiming().PendingSetLimit()) {
			h.Machine.grantor.Acknowledge("d2", store.Version{}, h.now)
			h.Machine.grantor.Grant("d2", time.Minute, h.now)
			timeLeft := time.Duration(acceptedAt + int64(lease.DefaultTiming().PendingSetLimit()) - h.wallNanos)
			So(h.request("d1", h.stored.Version).LeaseDuration, ShouldBeLessThanOrEqualTo, min(lease.DefaultTiming().LeaseDuration, timeLeft))
		}
		h.Machine.grantor.Acknowledge("d2", store.Version{}, h.now)
		h.Machine.grantor.Grant("d2", time.Minute, h.now)
		So(h.request("d1", h.stored.Version).LeaseDuration, ShouldEqual, 0)
	})
	Convey("If a node falls silent, a set still takes effect within the configured deadline", t, func() {
		for _, deadline := range []time.Duration{2500 * time.Millisecond, 3 * time.Second, 4 * time.Second, 11 * time.Second} {
			timing := lease.DefaultTiming()
			timing.ActivationDeadline = deadline
			h := newHarnessWithTiming(timing, 1, store.New())
			for range 2 {
				h.request("d1", h.stored.Version)
				h.request("d2", h.stored.Version)
			}
			h.putSet(0)
			acceptedAt := h.wallNanos
			for h.Snapshot().NewestSet().EffectiveAt == 0 && h.wallNanos < acceptedAt+int64(time.Minute) {
				h.request("d1", h.stored.Version)
				h.runWrites()
				h.advance(50 * time.Millisecond)
			}
			SoMsg(deadline.String(), time.Duration(h.Snapshot().NewestSet().EffectiveAt-acceptedAt), ShouldBeBetween, 0, deadline)
		}
	})
	Convey("An implausible effective time of an earlier tenure is brought forward before any lease is granted", t, func() {
		h := newHarness(1, store.New())
		h.request("d1", store.Version{})
		h.putSet(0)
		h.request("d1", h.stored.Version)
		h.runWrites()
		So(h.Snapshot().NewestSet().EffectiveAt, ShouldBeGreaterThan, 0)
		next := newHarness(1, h.stored)
		next.wallNanos = h.Snapshot().NewestSet().EffectiveAt - int64(3*time.Second)
		So(next.maxLease(next.wallNanos), ShouldEqual, 0)
		next.runWrites()
		So(next.Snapshot().ActiveSet(next.wallNanos).Sequence, ShouldEqual, 0)
		So(next.maxLease(next.wallNanos), ShouldEqual, 0)
		next.now += lease.DefaultTiming().LeaseDuration
		So(next.maxLease(next.wallNanos), ShouldEqual, 0)
		next.runWrites()
		So(next.Snapshot().ActiveSet(next.wallNanos).Sequence, ShouldEqual, 1)
		So(next.maxLease(next.wallNanos), ShouldBeGreaterThan, 0)
	})
}

func TestPendingSetOfAnEarlierTenure(t *testing.T) {
	newInheritedState := func() *store.Table {
		h := newHarness(1, store.New())
		h.request("d1", store.Version{})
		h.putSet(0)
		return h.stored
	}
	getsLease := func(h *harness) bool {
		h.receive("d1", store.Version{})
		replies := h.flush()
		So(len(replies), ShouldEqual, 1)
		return replies[0].Update.LeaseDuration > 0
	}
	Convey("A new primary grants no lease while an inherited set is pending, unless its clock is trusted", t, func() {
		stored := newInheritedState()
		for _, trusted := range []bool{false, true} {
			h := newHarness(1, stored)
			h.Machine = New("c2", lease.DefaultTiming(), consensus.Record{Epoch: 1, Primary: "c1"}, stored, h.now)
			h.wallNanos -= int64(4 * time.Second)
			h.EpochChanged(consensus.Record{Epoch: 2, Primary: "c2"}, stored, h.now)
			h.SetClockTrusted(trusted)
			So(getsLease(h), ShouldEqual, trusted)
		}
	})
	Convey("A primary that restarts without losing the role grants no lease while an inherited set is pending, unless its clock is trusted", t, func() {
		stored := newInheritedState()
		for _, trusted := range []bool{false, true} {
			h := newHarness(1, stored)
			h.wallNanos -= int64(4 * time.Second)
			h.EpochChanged(consensus.Record{Epoch: 2, Primary: "c1"}, stored, h.now)
			h.SetClockTrusted(trusted)
			So(getsLease(h), ShouldEqual, trusted)
		}
	})
}

func TestScheduledChangesActivateInOrder(t *testing.T) {
	after := func(h *harness, span time.Duration) int64 { return h.wallNanos + int64(span) }
	scheduleAt := func(h *harness, id string, effectiveAt int64) bool {
		puts, _ := rollout.Schedule(h.stored, id, effectiveAt, []model.Binding{{Name: id, Database: "x"}}, h.wallNanos)
		return h.put(puts...) > 0
	}
	Convey("A change for an earlier time than that of a set being distributed is rejected, and a change for the same time is accepted", t, func() {
		h := newHarness(1, store.New())
		later := after(h, time.Second)
		So(scheduleAt(h, "later", later), ShouldBeTrue)
		h.runWrites()
		So(h.Snapshot().NewestSet().Source, ShouldEqual, "booking later")
		So(scheduleAt(h, "earlier", later-int64(500*time.Millisecond)), ShouldBeFalse)
		So(scheduleAt(h, "same", later), ShouldBeTrue)
		for range 5 {
			h.advance(time.Second)
			h.runWrites()
		}
		So(scheduleAt(h, "past", later-int64(500*time.Millisecond)), ShouldBeTrue)
	})
	Convey("If a change for an earlier time is scheduled while the acceptance of another change is pending, the earlier change is accepted first", t, func() {
		h := newHarness(1, store.New())
		So(scheduleAt(h, "later", after(h, time.Second)), ShouldBeTrue)
		acceptance, due := h.NextActivation(h.wallNanos, h.now)
		So(due, ShouldBeTrue)
		So(scheduleAt(h, "earlier", after(h, 500*time.Millisecond)), ShouldBeTrue)
		h.write(acceptance)
		So(h.Snapshot().NewestSet().Source, ShouldEqual, "booking earlier")
	})
}

func TestEffectiveTimesBesideLeases(t *testing.T) {
	full := lease.DefaultTiming().LeaseDuration
	const step = 50 * time.Millisecond
	Convey("A newly accepted set does not shorten leases, so that a lease outlasts the election of another primary", t, func() {
		h := newHarness(1, store.New())
		h.request("d1", store.Version{})
		h.request("d1", h.stored.Version)
		h.putSet(0)
		h.receive("d1", store.Version{})
		replies := h.flush()
		So(replies[0].Update.Snapshot.HasPendingSet(), ShouldBeTrue)
		So(replies[0].Update.LeaseDuration, ShouldEqual, full)
	})
	Convey("An effective time lies after every lease granted without it, and within 2.6 s of acceptance even if a node falls silent", t, func() {
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
			acceptedAt, lastExpiry := h.now, time.Duration(0)
			for h.Snapshot().HasPendingSet() && h.now < acceptedAt+5*time.Second {
				lastExpiry = max(lastExpiry, h.renewLease("d1"))
				if h.now >= acceptedAt+silentFor {
					lastExpiry = max(lastExpiry, h.renewLease("d2"))
				}
				h.advance(step)
				h.runWrites()
			}
			effectiveAt := h.now + time.Duration(h.Snapshot().NewestSet().EffectiveAt-h.wallNanos)
			So(effectiveAt, ShouldBeGreaterThan, lastExpiry)
			So(effectiveAt, ShouldBeLessThan, acceptedAt+2600*time.Millisecond)
		}
	})
	Convey("The first set of a cluster replaces no other set and does not wait for leases to end", t, func() {
		h := newHarness(1, store.New())
		h.request("d1", store.Version{})
		h.putSet(0)
		h.receive("d1", h.stored.Version)
		h.runWrites()
		So(h.Snapshot().NewestSet().EffectiveAt-h.wallNanos, ShouldBeLessThan, int64(full/2))
	})
}

func TestEffectiveTimeOfEarlierTenure(t *testing.T) {
	Convey("A plausible effective time of an earlier tenure is kept if the clock is trusted, since every leased node has received it; otherwise no lease is granted", t, func() {
		first := newHarnessWithUpcomingSet(1)
		effectiveAt := first.Snapshot().NewestSet().EffectiveAt
		So(effectiveAt, ShouldBeGreaterThan, first.wallNanos)
		for _, trusted := range []bool{true, false} {
			next := newHarness(2, first.stored)
			next.wallNanos = effectiveAt - int64(time.Second)
			next.SetClockTrusted(trusted)
			next.ensureTenure(next.wallNanos)
			if !trusted {
				So(next.maxLease(next.wallNanos), ShouldEqual, 0)
				continue
			}
			So(next.overdueSets(next.wallNanos), ShouldBeEmpty)
			So(next.maxLease(next.wallNanos), ShouldBeGreaterThan, 0)
			next.wallNanos = effectiveAt - int64(3*time.Second)
			So(len(next.overdueSets(next.wallNanos)), ShouldEqual, 1)
			So(next.maxLease(next.wallNanos), ShouldEqual, 0)
			next.runWrites()
			So(next.Snapshot().NewestSet().EffectiveAt, ShouldEqual, effectiveAt)
			So(next.maxLease(next.wallNanos), ShouldEqual, 0)
			next.now += lease.DefaultTiming().LeaseDuration
			next.runWrites()
			So(next.Snapshot().NewestSet().EffectiveAt, ShouldEqual, 1)
		}
	})
}

func TestEffectiveTimeComesWithLease(t *testing.T) {
	Convey("The update with a set's effective time grants a lease past that time, even before the write has ended", t, func() {
		h := newHarness(3, store.New())
		h.request("d1", store.Version{})
		h.putSet(0)
		h.receive("d1", h.stored.Version)
		write, due := h.NextActivation(h.wallNanos, h.now)
		So(due, ShouldBeTrue)
		h.stored = h.stored.Clone()
		h.stored.Apply(store.Version{Epoch: 3, Sequence: h.stored.Version.Sequence + 1}, write.Build(h.stored))
		h.Publish(h.stored)
		So(h.Snapshot().HasPendingSet(), ShouldBeFalse)
		replies := h.flush()
		So(len(replies), ShouldEqual, 1)
		So(replies[0].Update.LeaseDuration, ShouldBeGreaterThan, time.Duration(h.Snapshot().NewestSet().EffectiveAt-h.wallNanos))
		write.Done()
	})
}

func TestRequestsEndWithActivation(t *testing.T) {
	Convey("A request received before a set's effective time is answered after that time, with a full lease", t, func() {
		h := newHarnessWithUpcomingSet(3)
		timeLeft := time.Duration(h.Snapshot().NewestSet().EffectiveAt - h.wallNanos)
		So(timeLeft, ShouldBeGreaterThan, 0)
		h.advance(timeLeft - time.Millisecond)
		h.receive("d1", h.stored.Version)
		So(len(h.flush()), ShouldEqual, 0)
		h.advance(2 * time.Millisecond)
		replies := h.flush()
		So(len(replies), ShouldEqual, 1)
		So(replies[0].Update.LeaseDuration, ShouldEqual, lease.DefaultTiming().LeaseDuration)
		h.receive("d1", h.stored.Version)
		So(len(h.flush()), ShouldEqual, 0)
	})
}
