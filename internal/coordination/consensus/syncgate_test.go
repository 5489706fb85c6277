package consensus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGate(t *testing.T) {
	now := time.Hour
	to := func(body any) Send { return Send{To: "c2", Body: body} }
	ballots, tables := Save{Kind: FileVoterState, Sequence: 1}, Save{Kind: FileTable, Sequence: 1}
	Convey("With nothing to be synced, all passes at once and in order", t, func() {
		var gate SyncGate
		So(gate.Pass([]Effect{to(RenewLease{}), TableCommitted{}, SubmitResult{Committed: true}}, now), ShouldResemble, []Effect{to(RenewLease{}), TableCommitted{}, SubmitResult{Committed: true}})
		_, isWork := gate.Next(now)
		So(isWork, ShouldBeFalse)
	})
	Convey("What rests on a file waits for its sync; votes and grants do not wait for the table's", t, func() {
		var gate SyncGate
		free := gate.Pass([]Effect{to(RenewLease{}), tables, to(Replicate{}), to(RenewLeaseAck{}), TableCommitted{}, SubmitResult{Token: 1, Committed: true}, SubmitResult{Token: 2}}, now)
		So(free, ShouldResemble, []Effect{to(RenewLease{}), to(RenewLeaseAck{}), SubmitResult{Token: 2}})
		So(gate.Pass([]Effect{ballots, to(Promise{}), to(StatusRequest{})}, now), ShouldResemble, []Effect{to(StatusRequest{})})
		work, _ := gate.Next(now)
		So(work, ShouldResemble, tables)
		_, isWork := gate.Next(now)
		So(isWork, ShouldBeFalse)
		So(gate.Done(true, now), ShouldResemble, []Effect{to(Replicate{}), TableCommitted{}, SubmitResult{Token: 1, Committed: true}})
		work, _ = gate.Next(now)
		So(work, ShouldResemble, ballots)
		So(gate.Done(true, now), ShouldResemble, []Effect{to(Promise{})})
		So(gate.SyncPending(now+time.Second), ShouldEqual, 0)
	})
	Convey("A refused save is owed on, lets nothing pass and is tried again after a pause", t, func() {
		var gate SyncGate
		So(gate.Pass([]Effect{ballots, to(Accepted{})}, now), ShouldBeEmpty)
		for at := range time.Duration(5) {
			later := now + at*SyncRetryDelay
			work, _ := gate.Next(later)
			So(work, ShouldResemble, ballots)
			So(gate.Done(false, later), ShouldBeEmpty)
			So(gate.SyncPending(later+1), ShouldEqual, at*SyncRetryDelay+1)
			_, isWork := gate.Next(later + SyncRetryDelay - 1)
			So(isWork, ShouldBeFalse)
		}
		gate.Next(now + 5*SyncRetryDelay)
		So(gate.Done(true, now+5*SyncRetryDelay), ShouldResemble, []Effect{to(Accepted{})})
	})
	Convey("While the disk hangs, what waits stays small: one message of a type to a machine, one save of a kind", t, func() {
		var gate SyncGate
		gate.Pass([]Effect{tables}, now)
		gate.Next(now)
		for sequence := range uint64(10000) {
			gate.Pass([]Effect{
				Save{Kind: FileVoterState, Sequence: sequence}, to(RenewLeaseAck{}), to(Promise{Epoch: sequence}), Send{To: "c3", Body: RenewLeaseAck{}},
			}, now)
		}
		So(len(gate.blocked), ShouldEqual, 3)
		So(len(gate.tasks), ShouldEqual, 2)
		gate.Done(true, now)
		work, _ := gate.Next(now)
		So(work, ShouldResemble, Save{Kind: FileVoterState, Sequence: 9999})
		So(gate.Done(true, now), ShouldContain, to(Promise{Epoch: 9999}))
	})
	Convey("A save that is under way is not replaced", t, func() {
		var gate SyncGate
		gate.Pass([]Effect{ballots}, now)
		gate.Next(now)
		gate.Pass([]Effect{Save{Kind: FileVoterState, Sequence: 2}, to(Accepted{})}, now)
		So(gate.Done(true, now), ShouldBeEmpty)
		work, _ := gate.Next(now)
		So(work, ShouldResemble, Save{Kind: FileVoterState, Sequence: 2})
		So(gate.IsEpochChangeBlocked(), ShouldBeFalse)
		gate.Pass([]Effect{EpochChanged{}}, now)
		So(gate.IsEpochChangeBlocked(), ShouldBeTrue)
	})
}

func TestPrimaryWhoseDiskHangs(t *testing.T) {
	now := time.Hour
	grant := func(m *Machine, at time.Duration) {
		m.Step(Received{From: "c3", Body: RenewLeaseAck{Decided: m.Record(), SentAt: at, Incarnation: m.processIncarnation, Granted: true}}, at)
	}
	Convey("It goes on renewing for as long as a backup is waited for, then no more: primacy lapses, writes not begun are refused at once", t, func() {
		m := newFormedMachine("c1", now)
		m.Step(Tick{WallNanos: 77}, now)
		grant(m, now)
		So(m.IsPrimary(now), ShouldBeTrue)
		last := time.Duration(0)
		for owed := time.Duration(0); owed < 2*time.Second; owed += 50 * time.Millisecond {
			at := now + owed
			effects := m.Step(Tick{WallNanos: 77, SyncPending: owed}, at)
			if len(bodiesSent[RenewLease](effects)) > 0 {
				last = owed
				grant(m, at)
			}
			So(bodiesSent[Prepare](effects), ShouldBeEmpty)
		}
		So(last, ShouldBeBetween, DefaultTiming().ReplyTimeout-DefaultTiming().RenewInterval, DefaultTiming().ReplyTimeout+1)
		So(m.IsPrimary(now+2*time.Second), ShouldBeFalse)
		So(m.Step(Submit{Token: 5}, now+2*time.Second), ShouldResemble, []Effect{SubmitResult{Token: 5}})
		So(bodiesSent[RenewLease](m.Step(Tick{WallNanos: 77}, now+2*time.Second)), ShouldNotBeEmpty)
	})
	Convey("A backup whose disk hangs does not stand", t, func() {
		for _, owed := range []time.Duration{0, time.Second} {
			m := newFormedMachine("c2", now)
			effects := m.Step(Tick{WallNanos: 77, SyncPending: owed}, now+time.Second)
			So(len(bodiesSent[Prepare](effects)) > 0, ShouldEqual, owed == 0)
		}
	})
	Convey("A write that still waits for the primary's own disk is not held against the backup", t, func() {
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
