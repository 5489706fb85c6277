package consensus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/proposal"
)

func TestNoVoteAgainstAValidLease(t *testing.T) {
	now := time.Hour + 2*time.Second
	timing := DefaultTiming()
	number := proposal.Number{Round: 1, Name: "c2"}
	newPrimary := func() *Machine {
		m := newFormedMachine("c1", time.Hour)
		m.Step(Tick{WallNanos: 77}, now)
		m.Step(Received{From: "c3", Body: RenewLeaseAck{Decided: m.Record(), SentAt: now, Incarnation: m.processIncarnation, Granted: true}}, now)
		So(m.IsPrimary(now), ShouldBeTrue)
		return m
	}
	prepare := func(m *Machine) Received {
		return Received{From: "c2", Body: Prepare{Decided: m.Record(), Number: number}}
	}
	Convey("While a primary holds the lease, it refuses the backup's proposal and reports for how long", t, func() {
		m := newPrimary()
		promise := bodiesSent[Promise](m.Step(prepare(m), now+100*time.Millisecond))[0]
		So(promise.Granted, ShouldBeFalse)
		So(promise.RetryAfter, ShouldEqual, timing.PrimaryLease*9/10-100*time.Millisecond)
		So(bodiesSent[Promise](m.Step(prepare(m), now+timing.PrimaryLease))[0].Granted, ShouldBeTrue)
	})
	Convey("After a primary has promised another candidate, its own grant no longer counts towards the lease", t, func() {
		m := newPrimary()
		later := now + timing.PrimaryLease
		m.Step(prepare(m), later)
		m.Step(Received{From: "c3", Body: RenewLeaseAck{Decided: m.Record(), SentAt: later, Incarnation: m.processIncarnation, Granted: true}}, later)
		m.Step(Tick{WallNanos: 77}, later+timing.RenewInterval)
		So(m.IsPrimary(later+timing.RenewInterval), ShouldBeFalse)
	})
	Convey("After a vote for another candidate, a later vote for the primary does not restore the lease, because the earlier vote may decide the next epoch", t, func() {
		m, voter := newFormedMachine("c1", time.Hour), newFormedMachine("c3", time.Hour)
		later := now + timing.PrimaryLease
		So(bodiesSent[Promise](m.Step(prepare(m), later))[0].Granted, ShouldBeTrue)
		So(bodiesSent[Promise](voter.Step(prepare(m), later))[0].Granted, ShouldBeTrue)
		m.Step(Tick{WallNanos: 77}, later)
		m.Step(Received{From: "c3", Body: RenewLeaseAck{Decided: m.Record(), SentAt: later, Incarnation: m.processIncarnation, Granted: true}}, later)
		prepares := bodiesSent[Prepare](m.Step(Tick{WallNanos: 77}, later+timing.RenewInterval))
		So(len(prepares), ShouldEqual, 2)
		So(bodiesSent[Promise](voter.Step(Received{From: "c1", Body: prepares[0]}, later+timing.RenewInterval))[0].Granted, ShouldBeTrue)
		renewed := bodiesSent[RenewLeaseAck](voter.Step(Received{From: "c1", Body: RenewLease{Record: m.Record(), SentAt: later}}, later+timing.RenewInterval))
		So(renewed[0].Granted, ShouldBeFalse)
		m.Step(Tick{WallNanos: 77}, later+2*timing.RenewInterval)
		So(m.IsPrimary(later+2*timing.RenewInterval), ShouldBeFalse)
	})
	Convey("A voter accepts no record of another candidate, promised or not, while the lease that it granted is valid or before one lease has passed since its start", t, func() {
		accept := func(from string) Received {
			return Received{From: from, Body: Accept{Epoch: 5, Number: number, Value: []byte("x")}}
		}
		m := newFormedMachine("c3", time.Hour)
		m.Step(Received{From: "c1", Body: RenewLease{Record: m.Record()}}, now)
		So(bodiesSent[Accepted](m.Step(accept("c2"), now+timing.PrimaryLease-1)), ShouldBeEmpty)
		So(bodiesSent[Accepted](m.Step(accept("c1"), now+timing.PrimaryLease-1)), ShouldNotBeEmpty)
		So(bodiesSent[Accepted](m.Step(accept("c2"), now+timing.PrimaryLease)), ShouldNotBeEmpty)
		m = newFormedMachine("c3", now)
		So(bodiesSent[Accepted](m.Step(accept("c2"), now+timing.PrimaryLease-1)), ShouldBeEmpty)
		So(bodiesSent[Accepted](m.Step(accept("c2"), now+timing.PrimaryLease)), ShouldNotBeEmpty)
	})
}

func TestPrimaryThatHearsNobody(t *testing.T) {
	Convey("A primary that can send but not receive messages leaves the voters enough time to make the backup primary", t, func() {
		now := time.Hour + time.Second
		primary, backup, witness := newFormedMachine("c1", time.Hour), newFormedMachine("c2", time.Hour), newFormedMachine("c3", time.Hour)
		receivers := map[string]*Machine{"c2": backup, "c3": witness}
		var deliver func(from string, effects []Effect)
		deliver = func(from string, effects []Effect) {
			for len(effects) > 0 {
				send, ok := effects[0].(Send)
				effects = effects[1:]
				if to := receivers[send.To]; ok && to != nil && from != send.To {
					for _, effect := range to.Step(Received{From: from, Body: send.Body}, now) {
						if reply, ok := effect.(Send); ok && receivers[reply.To] != nil {
							deliver(send.To, []Effect{reply})
						}
					}
				}
			}
		}
		for until := now + 6*time.Second; now < until && !backup.IsPrimary(now); now += 20 * time.Millisecond {
			deliver("c1", primary.Step(Tick{WallNanos: 7}, now))
			deliver("c2", backup.Step(Tick{WallNanos: 7}, now))
			deliver("c3", witness.Step(Tick{WallNanos: 7}, now))
			So(primary.IsPrimary(now), ShouldBeFalse)
		}
		So(backup.IsPrimary(now), ShouldBeTrue)
		So(now, ShouldBeLessThan, time.Hour+6*time.Second)
	})
	Convey("A primary that receives messages from a majority again renews its lease at once", t, func() {
		now := time.Hour + 10*time.Second
		m := newFormedMachine("c1", time.Hour)
		So(bodiesSent[RenewLease](m.Step(Tick{WallNanos: 7}, now)), ShouldNotBeEmpty)
		So(bodiesSent[RenewLease](m.Step(Tick{WallNanos: 7}, now+time.Second)), ShouldBeEmpty)
		m.Step(Received{From: "c3", Body: StatusRequest{}}, now+time.Second)
		So(bodiesSent[RenewLease](m.Step(Tick{WallNanos: 7}, now+time.Second)), ShouldNotBeEmpty)
	})
}

func TestPrimaryWhoseDiskHangs(t *testing.T) {
	now := time.Hour
	grant := func(m *Machine, at time.Duration) {
		m.Step(Received{From: "c3", Body: RenewLeaseAck{Decided: m.Record(), SentAt: at, Incarnation: m.processIncarnation, Granted: true}}, at)
	}
	Convey("A primary whose disk hangs stops renewing the lease after ReplyTimeout; the lease then lapses and waiting writes are rejected at once", t, func() {
		m := newFormedMachine("c1", now)
		m.Step(Tick{WallNanos: 77}, now)
		grant(m, now)
		So(m.IsPrimary(now), ShouldBeTrue)
		lastRenewal := time.Duration(0)
		for syncPending := time.Duration(0); syncPending < 2*time.Second; syncPending += 50 * time.Millisecond {
			at := now + syncPending
			effects := m.Step(Tick{WallNanos: 77, SyncPending: syncPending}, at)
			if len(bodiesSent[RenewLease](effects)) > 0 {
				lastRenewal = syncPending
				grant(m, at)
			}
			So(bodiesSent[Prepare](effects), ShouldBeEmpty)
		}
		So(lastRenewal, ShouldBeBetween, DefaultTiming().ReplyTimeout-DefaultTiming().RenewInterval, DefaultTiming().ReplyTimeout+1)
		So(m.IsPrimary(now+2*time.Second), ShouldBeFalse)
		So(m.Step(Submit{Token: 5}, now+2*time.Second), ShouldResemble, []Effect{SubmitResult{Token: 5}})
		So(bodiesSent[RenewLease](m.Step(Tick{WallNanos: 77}, now+2*time.Second)), ShouldNotBeEmpty)
	})
	Convey("A backup whose disk hangs does not propose itself as primary", t, func() {
		for _, syncPending := range []time.Duration{0, time.Second} {
			m := newFormedMachine("c2", now)
			effects := m.Step(Tick{WallNanos: 77, SyncPending: syncPending}, now+time.Second)
			So(len(bodiesSent[Prepare](effects)) > 0, ShouldEqual, syncPending == 0)
		}
	})
	Convey("A write that still waits for the primary's own disk does not count as a failure of the backup", t, func() {
		m := newFormedMachine("c1", now)
		m.Step(Tick{WallNanos: 77}, now)
		grant(m, now)
		m.Step(Submit{Token: 1, Build: putKey("k")}, now)
		at := now
		for ; at < now+DefaultTiming().ReplyTimeout; at += 50 * time.Millisecond {
			m.Step(Tick{WallNanos: 77, SyncPending: at - now + 1}, at)
			grant(m, at)
		}
		later := at + DefaultTiming().ReplyTimeout/2
		So(bodiesSent[Prepare](m.Step(Tick{WallNanos: 77}, later)), ShouldBeEmpty)
		grant(m, later)
		So(bodiesSent[Prepare](m.Step(Tick{WallNanos: 77}, at+DefaultTiming().ReplyTimeout+50*time.Millisecond)), ShouldNotBeEmpty)
	})
}
