package epoch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam.example/pooler/state/table"
)

func started(self string, now time.Duration) *Machine {
	voters := []string{"c1", "c2", "c3"}
	return New(self, len(voters), DefaultTiming(), Saved{
		Identity: &Identity{Cluster: "x", Self: self, Voters: voters, IsFormed: true},
		Ballots:  &Ballots{Sequence: 1, Decided: Record{Epoch: 4, Primary: "c1", Backup: "c2"}}, Table: table.New(),
	}, now)
}

func acksOf(effects []Effect) []RenewAck {
	var list []RenewAck
	for _, effect := range effects {
		if send, isSend := effect.(Send); isSend {
			if ack, isAck := send.Body.(RenewAck); isAck {
				list = append(list, ack)
			}
		}
	}
	return list
}

func TestClockOfAMachineJustStarted(t *testing.T) {
	const wall = int64(1_700_000_000_000_000_000)
	Convey("A primary that comes back reckons no clock from a machine that has not yet read its own", t, func() {
		now := time.Hour
		primary, other := started("c1", now), started("c3", now)
		primary.Step(Tick{Wall: wall}, now)
		acks := acksOf(other.Step(Heard{From: "c1", Body: Renew{Record: primary.Record(), Sent: now, Life: primary.life}}, now))
		So(len(acks), ShouldEqual, 1)
		So(acks[0].IsGranted, ShouldBeTrue)
		primary.Step(Heard{From: "c3", Body: acks[0]}, now+time.Millisecond)
		So(primary.IsPrimary(now+time.Millisecond), ShouldBeTrue)
		So(primary.Wall(now), ShouldEqual, wall)
	})
	Convey("A grant asked for in an earlier run of the program gives nothing, though its clock reading would fit", t, func() {
		now := time.Hour
		primary := started("c1", now)
		stale := RenewAck{Decided: primary.Record(), Sent: now, Life: wall - 1, Wall: wall, IsGranted: true}
		primary.Step(Heard{From: "c3", Body: stale}, now)
		So(primary.IsPrimary(now), ShouldBeFalse)
		primary.Step(Tick{Wall: wall}, now)
		primary.Step(Heard{From: "c3", Body: stale}, now)
		So(primary.IsPrimary(now), ShouldBeFalse)
		So(primary.Wall(now), ShouldEqual, wall)
	})
	Convey("It takes the median of those that have", t, func() {
		now := time.Hour
		primary := started("c1", now)
		primary.Step(Tick{Wall: wall}, now)
		for at, name := range []string{"c2", "c3"} {
			other := started(name, now)
			other.Step(Tick{Wall: wall + int64(at+1)*int64(time.Second)}, now)
			ack := acksOf(other.Step(Heard{From: "c1", Body: Renew{Record: primary.Record(), Sent: now, Life: primary.life}}, now))[0]
			primary.Step(Heard{From: name, Body: ack}, now)
		}
		So(primary.Wall(now), ShouldEqual, wall)
		later := now + 100*time.Millisecond
		primary.Step(Tick{Wall: wall + int64(later-now)}, later)
		So(primary.Wall(later), ShouldBeBetween, wall+int64(later-now), wall+int64(later-now)+int64(2*time.Millisecond))
	})
}
