package lease

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/store"
)

func TestHolder(t *testing.T) {
	timing := DefaultTiming()
	grant := func(epoch uint64, wall int64) Grant {
		return Grant{Epoch: epoch, Primary: "c1", Length: timing.Full, Wall: wall, Held: 250 * time.Millisecond}
	}
	Convey("A lease counts from when its ask was sent, less the margin for drift", t, func() {
		h := NewHolder(timing)
		h.OnGrant(grant(1, 0), time.Second, time.Second+300*time.Millisecond)
		So(h.IsHeld(time.Second+timing.Full*96/100), ShouldBeTrue)
		So(h.IsHeld(time.Second+timing.Full*98/100), ShouldBeFalse)
	})
	Convey("The primary's clock is reckoned from the trip alone, not from how long it kept the ask", t, func() {
		h := NewHolder(timing)
		h.OnGrant(grant(1, int64(time.Hour)), time.Second, time.Second+252*time.Millisecond)
		So(h.Wall(time.Second+252*time.Millisecond), ShouldEqual, int64(time.Hour+time.Millisecond))
	})
	Convey("A slow answer neither moves the reckoning of the clock nor, where nothing better is known, gives a lease", t, func() {
		h := NewHolder(timing)
		slow := func(epoch uint64, wall int64) Grant {
			return Grant{Epoch: epoch, Primary: "c1", Length: timing.Full, Wall: wall}
		}
		So(h.OnGrant(slow(1, 0), time.Second, 1580*time.Millisecond), ShouldBeFalse)
		So(h.IsHeld(1580*time.Millisecond), ShouldBeFalse)
		So(h.OnGrant(slow(1, int64(time.Hour)), 2*time.Second, 2*time.Second), ShouldBeTrue)
		So(h.OnGrant(slow(1, int64(time.Hour+3580*time.Millisecond)), 5*time.Second, 5580*time.Millisecond), ShouldBeTrue)
		So(h.Wall(6*time.Second), ShouldEqual, int64(time.Hour+4*time.Second))
		So(h.OnGrant(slow(2, 0), 7*time.Second, 7580*time.Millisecond), ShouldBeFalse)
	})
	Convey("Grants of an older epoch, and those for asks sent before the node said that it is bare, are nothing", t, func() {
		h := NewHolder(timing)
		h.OnGrant(grant(5, 0), time.Second, time.Second)
		So(h.OnGrant(grant(4, 0), 9*time.Second, 9*time.Second), ShouldBeFalse)
		So(h.Bare(2*time.Second), ShouldBeFalse)
		So(h.Bare(4*time.Second), ShouldBeTrue)
		So(h.OnGrant(grant(5, 0), 3900*time.Millisecond, 4100*time.Millisecond), ShouldBeFalse)
		So(h.IsHeld(4100*time.Millisecond), ShouldBeFalse)
	})
}

func TestDesk(t *testing.T) {
	timing := DefaultTiming()
	Convey("A stamp is settled when each node that may hold a lease has taken it up or its lease is over", t, func() {
		d := NewDesk(timing, nil, 0)
		stamp := store.Stamp{Epoch: 1, Sequence: 2}
		for _, node := range []string{"a", "b"} {
			d.OnAsk(node, store.Stamp{Epoch: 1, Sequence: 1}, time.Second)
			d.Grant(node, time.Minute, time.Second)
		}
		So(d.Settled(stamp, time.Second), ShouldBeFalse)
		d.OnAsk("a", stamp, time.Second)
		So(d.Settled(stamp, time.Second), ShouldBeFalse)
		So(d.Settled(stamp, time.Second+timing.Full), ShouldBeTrue)
	})
	Convey("A frozen desk gives no lease past the moment", t, func() {
		d := NewDesk(timing, nil, 0)
		d.Freeze(time.Second)
		So(d.Grant("a", time.Minute, 900*time.Millisecond), ShouldEqual, 100*time.Millisecond)
		So(d.Grant("a", time.Minute, 2*time.Second), ShouldEqual, 0)
		d.Thaw()
		So(d.Grant("a", time.Minute, 2*time.Second), ShouldEqual, timing.Full)
	})
}
