package lease

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/store"
)

func TestLease(t *testing.T) {
	timing := DefaultTiming()
	grant := func(epoch uint64, primaryTime int64) Grant {
		return Grant{Epoch: epoch, Duration: timing.LeaseDuration, PrimaryTime: primaryTime, QueuedFor: 250 * time.Millisecond}
	}
	Convey("A lease counts from when its request was sent, minus the allowance for clock drift", t, func() {
		l := NewLease(timing)
		l.Accept(grant(1, 0), time.Second, time.Second+300*time.Millisecond)
		So(l.IsValid(time.Second+timing.LeaseDuration*96/100), ShouldBeTrue)
		So(l.IsValid(time.Second+timing.LeaseDuration*98/100), ShouldBeFalse)
	})
	Convey("The estimate of the primary's time excludes the time that the request was queued at the primary", t, func() {
		l := NewLease(timing)
		l.Accept(grant(1, int64(time.Hour)), time.Second, time.Second+252*time.Millisecond)
		So(l.PrimaryTime(time.Second+252*time.Millisecond), ShouldEqual, int64(time.Hour+time.Millisecond))
	})
	Convey("A slow answer does not replace a better estimate of the primary's time, and without such an estimate it extends no lease", t, func() {
		l := NewLease(timing)
		slow := func(epoch uint64, primaryTime int64) Grant {
			return Grant{Epoch: epoch, Duration: timing.LeaseDuration, PrimaryTime: primaryTime}
		}
		So(l.Accept(slow(1, 0), time.Second, 1580*time.Millisecond), ShouldBeFalse)
		So(l.IsValid(1580*time.Millisecond), ShouldBeFalse)
		So(l.Accept(slow(1, int64(time.Hour)), 2*time.Second, 2*time.Second), ShouldBeTrue)
		So(l.Accept(slow(1, int64(time.Hour+3580*time.Millisecond)), 5*time.Second, 5580*time.Millisecond), ShouldBeTrue)
		So(l.PrimaryTime(6*time.Second), ShouldEqual, int64(time.Hour+4*time.Second))
		So(l.Accept(slow(2, 0), 7*time.Second, 7580*time.Millisecond), ShouldBeFalse)
	})
	Convey("Grants of an older epoch are ignored, and so are grants for requests sent before the node confirmed that its lease had expired", t, func() {
		l := NewLease(timing)
		l.Accept(grant(5, 0), time.Second, time.Second)
		So(l.Accept(grant(4, 0), 9*time.Second, 9*time.Second), ShouldBeFalse)
		So(l.ConfirmExpired(2*time.Second), ShouldBeFalse)
		So(l.ConfirmExpired(4*time.Second), ShouldBeTrue)
		So(l.Accept(grant(5, 0), 3900*time.Millisecond, 4100*time.Millisecond), ShouldBeFalse)
		So(l.IsValid(4100*time.Millisecond), ShouldBeFalse)
	})
}

func TestGrantor(t *testing.T) {
	timing := DefaultTiming()
	Convey("A version counts as acknowledged by all nodes once each node has applied it or its lease has expired", t, func() {
		g := NewGrantor(timing, nil, 0)
		version := store.Version{Epoch: 1, Sequence: 2}
		for _, node := range []string{"a", "b"} {
			g.Acknowledge(node, store.Version{Epoch: 1, Sequence: 1}, time.Second)
			g.Grant(node, time.Minute, time.Second)
		}
		So(g.AllAcknowledged(version, time.Second), ShouldBeFalse)
		g.Acknowledge("a", version, time.Second)
		So(g.AllAcknowledged(version, time.Second), ShouldBeFalse)
		So(g.AllAcknowledged(version, time.Second+timing.LeaseDuration), ShouldBeTrue)
	})
	Convey("A frozen grantor grants no lease that ends after the given time", t, func() {
		g := NewGrantor(timing, nil, 0)
		g.Freeze(time.Second)
		So(g.Grant("a", time.Minute, 900*time.Millisecond), ShouldEqual, 100*time.Millisecond)
		So(g.Grant("a", time.Minute, 2*time.Second), ShouldEqual, 0)
		g.Unfreeze()
		So(g.Grant("a", time.Minute, 2*time.Second), ShouldEqual, timing.LeaseDuration)
	})
}
