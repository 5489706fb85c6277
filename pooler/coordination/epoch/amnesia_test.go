package epoch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam.example/pooler/coordination/ballot"
	"tansyseam.example/pooler/state/table"
)

var five = []string{"c1", "c2", "c3", "c4", "c5"}

func voting(self string, decided Record, voter ballot.Voter, now time.Duration) *Machine {
	return New(self, len(five), DefaultTiming(), Saved{
		Identity: &Identity{Cluster: "x", Self: self, Voters: five, IsFormed: true},
		Ballots:  &Ballots{Sequence: 1, Decided: decided, Voter: voter}, Table: table.New(),
	}, now)
}

func sentBy[T any](effects []Effect) []T {
	var list []T
	for _, effect := range effects {
		if send, isSend := effect.(Send); isSend {
			if body, isOne := send.Body.(T); isOne {
				list = append(list, body)
			}
		}
	}
	return list
}

// restart makes the machine anew from what its effects have saved.
func restart(self string, effects []Effect, now time.Duration) *Machine {
	saved := Saved{}
	for _, effect := range effects {
		save, isSave := effect.(Save)
		if !isSave {
			continue
		}
		if save.Kind == FileIdentity {
			saved.Identity = &Identity{}
			So(table.Decode(save.Data, saved.Identity), ShouldBeNil)
		}
		if save.Kind == FileBallots {
			saved.Ballots = &Ballots{}
			So(table.Decode(save.Data, saved.Ballots), ShouldBeNil)
		}
	}
	return New(self, len(five), DefaultTiming(), saved, now)
}

func blank(self string, now time.Duration) (*Machine, AskStanding) {
	m := New(self, len(five), DefaultTiming(), Saved{}, now)
	m.Step(Peers{Names: five}, now)
	asks := sentBy[AskStanding](m.Step(Tick{Wall: 77}, now))
	So(len(asks), ShouldEqual, len(five)-1)
	return m, asks[0]
}

func tell(m *Machine, ask AskStanding, by []*Machine, now time.Duration) []Effect {
	var effects []Effect
	for _, one := range by {
		for _, told := range sentBy[Standing](one.Step(Heard{From: m.self, Body: ask}, now)) {
			effects = append(effects, m.Step(Heard{From: one.self, Body: told}, now)...)
		}
	}
	return effects
}

func TestBackupThatLostItsDisk(t *testing.T) {
	Convey("A backup that lost its disk was told where things stand, and ends before the next epoch: it still does not stand, nor votes, when it is back", t, func() {
		now := time.Hour
		record := Record{Epoch: 4, Primary: "c1", Backup: "c2"}
		m, ask := blank("c2", now)
		effects := tell(m, ask, []*Machine{
			voting("c3", record, ballot.Voter{}, now), voting("c4", record, ballot.Voter{}, now), voting("c5", record, ballot.Voter{}, now),
		}, now)
		So(m.Record(), ShouldResemble, record)
		So(m.IsLost(), ShouldBeTrue)
		m = restart("c2", effects, now+time.Second)
		So(m.IsLost(), ShouldBeTrue)
		for later := now + time.Second; later < now+10*time.Second; later += 50 * time.Millisecond {
			So(sentBy[Prepare](m.Step(Tick{Wall: 78}, later)), ShouldBeEmpty)
		}
		So(sentBy[RenewAck](m.Step(Heard{From: "c1", Body: Renew{Record: record}}, now+10*time.Second)), ShouldBeEmpty)
		m.Step(Heard{From: "c1", Body: Decided{Record: Record{Epoch: 5, Primary: "c1"}}}, now+10*time.Second)
		So(m.IsLost(), ShouldBeFalse)
	})
}

func TestMutedPastWhatMayBeSettled(t *testing.T) {
	number := ballot.Number{Round: 1, Name: "c1"}
	before, settled := Record{Epoch: 4, Primary: "c1"}, Record{Epoch: 5, Primary: "c1", Backup: "c2"}
	told := func(voter ballot.Voter, now time.Duration) *Machine {
		m, ask := blank("c3", now)
		tell(m, ask, []*Machine{
			voting("c2", before, voter, now), voting("c4", before, ballot.Voter{}, now), voting("c5", before, ballot.Voter{}, now),
		}, now)
		So(m.Record(), ShouldResemble, before)
		return m
	}
	votes := func(m *Machine, record Record, now time.Duration) int {
		effects := m.Step(Heard{From: record.Primary, Body: Prepare{Decided: record, Number: number}}, now)
		effects = append(effects, m.Step(Heard{From: record.Primary, Body: Accept{Epoch: record.Epoch + 1, Number: number, Value: []byte("x")}}, now)...)
		count := len(sentBy[Accepted](effects))
		for _, promised := range sentBy[Promised](effects) {
			if promised.IsGiven {
				count++
			}
		}
		return count
	}
	Convey("Those who told it where things stand had not yet heard that an epoch was settled, which one of them had accepted: it may have voted on the epoch after that, and does not do so again", t, func() {
		now := time.Hour
		m := told(ballot.Voter{Promised: number, Accepted: number, Value: table.Encode(settled)}, now)
		So(m.IsMuted(), ShouldBeTrue)
		So(votes(m, before, now), ShouldEqual, 0)
		So(votes(m, settled, now), ShouldEqual, 0)
		So(m.Record(), ShouldResemble, settled)
		So(m.IsMuted(), ShouldBeTrue)
		So(votes(m, Record{Epoch: 6, Primary: "c1", Backup: "c2"}, now), ShouldEqual, 2)
	})
	Convey("Where none had accepted one, it votes on the epoch after the next", t, func() {
		now := time.Hour
		m := told(ballot.Voter{}, now)
		So(votes(m, before, now), ShouldEqual, 0)
		So(votes(m, settled, now), ShouldEqual, 2)
	})
	Convey("A teller that is itself muted passes on how far", t, func() {
		now := time.Hour
		first := told(ballot.Voter{Promised: number, Accepted: number, Value: table.Encode(settled)}, now)
		m, ask := blank("c5", now)
		tell(m, ask, []*Machine{first, voting("c2", before, ballot.Voter{}, now), voting("c4", before, ballot.Voter{}, now)}, now)
		So(votes(m, settled, now), ShouldEqual, 0)
	})
	Convey("What was told to an earlier run of the program, before another disk was lost, counts for nothing", t, func() {
		now := time.Hour
		m, ask := blank("c3", now)
		stale := ask
		stale.Life--
		tell(m, stale, []*Machine{
			voting("c2", before, ballot.Voter{}, now), voting("c4", before, ballot.Voter{}, now), voting("c5", before, ballot.Voter{}, now),
		}, now)
		So(m.Voters(), ShouldBeEmpty)
		So(m.IsLost(), ShouldBeTrue)
	})
}

func TestOlderFilesThanWereSynced(t *testing.T) {
	Convey("A machine whose newest files are unsound knows too little to follow a newer epoch: it votes only once a majority has told it, and not in the epoch after", t, func() {
		now := time.Hour
		old, record := Record{Epoch: 2, Primary: "c1", Backup: "c2"}, Record{Epoch: 4, Primary: "c1", Backup: "c2"}
		for _, isFormed := range []bool{true, false} {
			m := New("c3", len(five), DefaultTiming(), Saved{
				Identity: &Identity{Cluster: "x", Self: "c3", Voters: five, IsFormed: isFormed},
				Ballots:  &Ballots{Sequence: 1, Decided: old}, Table: table.New(), IsUnsound: true,
			}, now)
			m.Step(Peers{Names: five}, now)
			ask := sentBy[AskStanding](m.Step(Tick{Wall: 77}, now))[0]
			votes := func() int {
				number := ballot.Number{Round: 1, Name: "c1"}
				effects := m.Step(Heard{From: "c1", Body: Prepare{Decided: record, Number: number}}, now)
				effects = append(effects, m.Step(Heard{From: "c1", Body: Renew{Record: record}}, now)...)
				effects = append(effects, m.Step(Heard{From: "c1", Body: Accept{Epoch: 5, Number: number, Value: []byte("x")}}, now)...)
				return len(sentBy[Accepted](effects)) + len(sentBy[RenewAck](effects))
			}
			So(votes(), ShouldEqual, 0)
			tell(m, ask, []*Machine{
				voting("c2", record, ballot.Voter{}, now), voting("c4", record, ballot.Voter{}, now), voting("c5", record, ballot.Voter{}, now),
			}, now)
			So(m.Record(), ShouldResemble, record)
			So(m.IsMuted(), ShouldBeTrue)
			So(votes(), ShouldEqual, 1)
		}
	})
}

func buildOf(key string) func(*table.Table) []table.Put {
	return func(*table.Table) []table.Put { return []table.Put{{Key: key, Data: []byte("x")}} }
}
