package consensus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGate(t *testing.T) {
	now := time.Hour
	to := func(body any) Send { return Send{To: "c2", Body: body} }
	ballots, tables := Save{Kind: FileBallots, Sequence: 1}, Save{Kind: FileTable, Sequence: 1}
	Convey("With nothing to be synced, all passes at once and in order", t, func() {
		var gate Gate
		So(gate.Pass([]Effect{to(Renew{}), Wrote{}, Answer{IsKept: true}}, now), ShouldResemble, []Effect{to(Renew{}), Wrote{}, Answer{IsKept: true}})
		_, isWork := gate.Next(now)
		So(isWork, ShouldBeFalse)
	})
	Convey("What rests on a file waits for its sync; votes and grants do not wait for the table's", t, func() {
		var gate Gate
		free := gate.Pass([]Effect{to(Renew{}), tables, to(Write{}), to(RenewAck{}), Wrote{}, Answer{Token: 1, IsKept: true}, Answer{Token: 2}}, now)
		So(free, ShouldResemble, []Effect{to(Renew{}), to(RenewAck{}), Answer{Token: 2}})
		So(gate.Pass([]Effect{ballots, to(Promised{}), to(AskStanding{})}, now), ShouldResemble, []Effect{to(AskStanding{})})
		work, _ := gate.Next(now)
		So(work, ShouldResemble, tables)
		_, isWork := gate.Next(now)
		So(isWork, ShouldBeFalse)
		So(gate.Done(true, now), ShouldResemble, []Effect{to(Write{}), Wrote{}, Answer{Token: 1, IsKept: true}})
		work, _ = gate.Next(now)
		So(work, ShouldResemble, ballots)
		So(gate.Done(true, now), ShouldResemble, []Effect{to(Promised{})})
		So(gate.Owed(now+time.Second), ShouldEqual, 0)
	})
	Convey("A refused save is owed on, lets nothing pass and is tried again after a pause", t, func() {
		var gate Gate
		So(gate.Pass([]Effect{ballots, to(Accepted{})}, now), ShouldBeEmpty)
		for at := range time.Duration(5) {
			later := now + at*Pause
			work, _ := gate.Next(later)
			So(work, ShouldResemble, ballots)
			So(gate.Done(false, later), ShouldBeEmpty)
			So(gate.Owed(later+1), ShouldEqual, at*Pause+1)
			_, isWork := gate.Next(later + Pause - 1)
			So(isWork, ShouldBeFalse)
		}
		gate.Next(now + 5*Pause)
		So(gate.Done(true, now+5*Pause), ShouldResemble, []Effect{to(Accepted{})})
	})
	Convey("While the disk hangs, what waits stays small: one message of a type to a machine, one save of a kind", t, func() {
		var gate Gate
		gate.Pass([]Effect{tables}, now)
		gate.Next(now)
		for sequence := range uint64(10000) {
			gate.Pass([]Effect{
				Save{Kind: FileBallots, Sequence: sequence}, to(RenewAck{}), to(Promised{Epoch: sequence}), Send{To: "c3", Body: RenewAck{}},
			}, now)
		}
		So(len(gate.held), ShouldEqual, 3)
		So(len(gate.tasks), ShouldEqual, 2)
		gate.Done(true, now)
		work, _ := gate.Next(now)
		So(work, ShouldResemble, Save{Kind: FileBallots, Sequence: 9999})
		So(gate.Done(true, now), ShouldContain, to(Promised{Epoch: 9999}))
	})
	Convey("A save that is under way is not replaced", t, func() {
		var gate Gate
		gate.Pass([]Effect{ballots}, now)
		gate.Next(now)
		gate.Pass([]Effect{Save{Kind: FileBallots, Sequence: 2}, to(Accepted{})}, now)
		So(gate.Done(true, now), ShouldBeEmpty)
		work, _ := gate.Next(now)
		So(work, ShouldResemble, Save{Kind: FileBallots, Sequence: 2})
		So(gate.IsTurning(), ShouldBeFalse)
		gate.Pass([]Effect{Turned{}}, now)
		So(gate.IsTurning(), ShouldBeTrue)
	})
}

func TestPrimaryWhoseDiskHangs(t *testing.T) {
	now := time.Hour
	grant := func(m *Machine, at time.Duration) {
		m.Step(Heard{From: "c3", Body: RenewAck{Decided: m.Record(), Sent: at, Life: m.life, IsGranted: true}}, at)
	}
	Convey("It goes on renewing for as long as a backup is waited for, then no more: primacy lapses, writes not begun are refused at once", t, func() {
		m := started("c1", now)
		m.Step(Tick{Wall: 77}, now)
		grant(m, now)
		So(m.IsPrimary(now), ShouldBeTrue)
		last := time.Duration(0)
		for owed := time.Duration(0); owed < 2*time.Second; owed += 50 * time.Millisecond {
			at := now + owed
			effects := m.Step(Tick{Wall: 77, Owed: owed}, at)
			if len(sentBy[Renew](effects)) > 0 {
				last = owed
				grant(m, at)
			}
			So(sentBy[Prepare](effects), ShouldBeEmpty)
		}
		So(last, ShouldBeBetween, DefaultTiming().Reply-DefaultTiming().Renew, DefaultTiming().Reply+1)
		So(m.IsPrimary(now+2*time.Second), ShouldBeFalse)
		So(m.Step(Submit{Token: 5}, now+2*time.Second), ShouldResemble, []Effect{Answer{Token: 5}})
		So(sentBy[Renew](m.Step(Tick{Wall: 77}, now+2*time.Second)), ShouldNotBeEmpty)
	})
	Convey("A backup whose disk hangs does not stand", t, func() {
		for _, owed := range []time.Duration{0, time.Second} {
			m := started("c2", now)
			effects := m.Step(Tick{Wall: 77, Owed: owed}, now+time.Second)
			So(len(sentBy[Prepare](effects)) > 0, ShouldEqual, owed == 0)
		}
	})
	Convey("A write that still waits for the primary's own disk is not held against the backup", t, func() {
		m := started("c1", now)
		m.Step(Tick{Wall: 77}, now)
		grant(m, now)
		m.Step(Submit{Token: 1, Build: buildOf("k")}, now)
		at := now
		for ; at < now+DefaultTiming().Reply; at += 50 * time.Millisecond {
			m.Step(Tick{Wall: 77, Owed: at - now + 1}, at)
			grant(m, at)
		}
		later := at + DefaultTiming().Reply/2
		So(sentBy[Prepare](m.Step(Tick{Wall: 77}, later)), ShouldBeEmpty)
		grant(m, later)
		So(sentBy[Prepare](m.Step(Tick{Wall: 77}, at+DefaultTiming().Reply+50*time.Millisecond)), ShouldNotBeEmpty)
	})
}
