package consensus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestClockOfAMachineJustStarted(t *testing.T) {
	const wall = int64(1_700_000_000_000_000_000)
	Convey("A restarted primary ignores the clock of a node that has not read its own clock yet", t, func() {
		now := time.Hour
		primary, other := newFormedMachine("c1", now), newFormedMachine("c3", now)
		primary.Step(Tick{WallNanos: wall}, now)
		acks := bodiesSent[RenewLeaseAck](other.Step(Received{From: "c1", Body: RenewLease{Record: primary.Record(), SentAt: now, Incarnation: primary.processIncarnation}}, now))
		So(len(acks), ShouldEqual, 1)
		So(acks[0].Granted, ShouldBeTrue)
		primary.Step(Received{From: "c3", Body: acks[0]}, now+time.Millisecond)
		So(primary.IsPrimary(now+time.Millisecond), ShouldBeTrue)
		So(primary.WallNanos(now), ShouldEqual, wall)
	})
	Convey("A grant requested by an earlier run of the program extends no lease, even if its clock reading is plausible", t, func() {
		now := time.Hour
		primary := newFormedMachine("c1", now)
		stale := RenewLeaseAck{Decided: primary.Record(), SentAt: now, Incarnation: wall - 1, WallNanos: wall, Granted: true}
		primary.Step(Received{From: "c3", Body: stale}, now)
		So(primary.IsPrimary(now), ShouldBeFalse)
		primary.Step(Tick{WallNanos: wall}, now)
		primary.Step(Received{From: "c3", Body: stale}, now)
		So(primary.IsPrimary(now), ShouldBeFalse)
		So(primary.WallNanos(now), ShouldEqual, wall)
	})
	Convey("A restarted primary uses the median of the clocks of the nodes that have read their own clock", t, func() {
		now := time.Hour
		primary := newFormedMachine("c1", now)
		primary.Step(Tick{WallNanos: wall}, now)
		for i, name := range []string{"c2", "c3"} {
			other := newFormedMachine(name, now)
			other.Step(Tick{WallNanos: wall + int64(i+1)*int64(time.Second)}, now)
			ack := bodiesSent[RenewLeaseAck](other.Step(Received{From: "c1", Body: RenewLease{Record: primary.Record(), SentAt: now, Incarnation: primary.processIncarnation}}, now))[0]
			primary.Step(Received{From: name, Body: ack}, now)
		}
		So(primary.WallNanos(now), ShouldEqual, wall)
		later := now + 100*time.Millisecond
		primary.Step(Tick{WallNanos: wall + int64(later-now)}, later)
		So(primary.WallNanos(later), ShouldBeBetween, wall+int64(later-now), wall+int64(later-now)+int64(2*time.Millisecond))
	})
}
