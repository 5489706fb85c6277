package consensus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

func started(self string, now time.Duration) *Machine {
	voters := []string{"c1", "c2", "c3"}
	return New(self, len(voters), DefaultTiming(), Saved{
		Identity: &Identity{Cluster: "x", Self: self, Voters: voters, IsFormed: true},
		Ballots:  &Ballots{Sequence: 1, Decided: Record{Epoch: 4, Primary: "c1", Backup: "c2"}}, Table: store.New(),
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

func TestPrimaryThatComesBackAheadOfItsBackup(t *testing.T) {
	const wall = int64(1_700_000_000_000_000_000)
	voters := []string{"c1", "c2", "c3"}
	back := func(record Record, written uint64, now time.Duration) *Machine {
		copied := store.New()
		copied.Apply(store.Stamp{Epoch: written, Sequence: 9}, []store.Put{{Key: "set", Data: []byte("x")}})
		return New("c1", len(voters), DefaultTiming(), Saved{
			Identity: &Identity{Cluster: "x", Self: "c1", Voters: voters, IsFormed: true},
			Ballots:  &Ballots{Sequence: 1, Decided: record}, Table: copied,
		}, now)
	}
	renew := func(m *Machine, now time.Duration) []Effect {
		effects := m.Step(Tick{Wall: wall}, now)
		ack := RenewAck{Decided: m.Record(), Sent: now, Life: m.life, Wall: wall, IsGranted: true}
		effects = append(effects, m.Step(Heard{From: "c3", Body: ack}, now)...)
		return append(effects, m.Step(Tick{Wall: wall}, now+20*time.Millisecond)...)
	}
	preparesOf := func(effects []Effect) []Prepare {
		var list []Prepare
		for _, effect := range effects {
			if send, isSend := effect.(Send); isSend {
				if prepare, isPrepare := send.Body.(Prepare); isPrepare {
					list = append(list, prepare)
				}
			}
		}
		return list
	}
	now := time.Hour
	Convey("What a primary wrote last before it ended may be on no backup: it is published only once an epoch without one is won", t, func() {
		m := back(Record{Epoch: 4, Primary: "c1", Backup: "c2"}, 4, now)
		asked := preparesOf(renew(m, now))
		now := now + 20*time.Millisecond
		So(m.IsPrimary(now), ShouldBeFalse)
		So(m.Primacy(), ShouldBeLessThan, now)
		So(len(asked), ShouldEqual, 2)
		promised := Promised{Epoch: 5, Number: asked[0].Number, IsGiven: true, Decided: m.Record()}
		m.Step(Heard{From: "c3", Body: promised}, now)
		m.Step(Heard{From: "c3", Body: Accepted{Epoch: 5, Number: asked[0].Number}}, now)
		So(m.Record(), ShouldResemble, Record{Epoch: 5, Primary: "c1", Voters: foundingVoters(voters)})
		renew(m, now+100*time.Millisecond)
		So(m.IsPrimary(now+120*time.Millisecond), ShouldBeTrue)
		So(m.Table().Records, ShouldContainKey, "set")
	})
	Convey("Nor does it stand for an epoch that keeps the backup while a voter refuses it", t, func() {
		m := back(Record{Epoch: 4, Primary: "c1", Backup: "c2"}, 4, now)
		later := now + time.Second
		m.Step(Tick{Wall: wall}, later)
		m.Step(Heard{From: "c3", Body: RenewAck{Decided: m.Record(), Sent: later, Life: m.life, Wall: wall}}, later)
		m.Step(Tick{Wall: wall}, later+20*time.Millisecond)
		So(m.round, ShouldNotBeNil)
		var stood Record
		So(store.Decode(m.round.Value, &stood), ShouldBeNil)
		So(stood, ShouldResemble, Record{Epoch: 5, Primary: "c1", Voters: foundingVoters(voters)})
	})
	Convey("With nothing written in its epoch, or no backup in it, it goes on at once", t, func() {
		for _, m := range []*Machine{
			back(Record{Epoch: 4, Primary: "c1", Backup: "c2"}, 3, now), back(Record{Epoch: 4, Primary: "c1"}, 4, now),
		} {
			renew(m, now)
			So(m.IsPrimary(now+20*time.Millisecond), ShouldBeTrue)
		}
	})
}

func TestWhatIsPublishedIsSynced(t *testing.T) {
	const wall = int64(1_700_000_000_000_000_000)
	Convey("Where writes follow each other in one step, each is published with what was synced by then, and no more", t, func() {
		now := time.Hour
		voters := []string{"c1", "c2", "c3"}
		m := New("c1", len(voters), DefaultTiming(), Saved{
			Identity: &Identity{Cluster: "x", Self: "c1", Voters: voters, IsFormed: true},
			Ballots:  &Ballots{Sequence: 1, Decided: Record{Epoch: 4, Primary: "c1"}}, Table: store.New(),
		}, now)
		m.Step(Tick{Wall: wall}, now)
		for at := range 3 {
			m.Step(Submit{Token: uint64(at + 1), Build: func(*store.Table) []store.Put {
				return []store.Put{{Key: string(rune('a' + at)), Data: []byte("x")}}
			}}, now)
		}
		effects := m.Step(Heard{From: "c3", Body: RenewAck{Decided: m.Record(), Sent: now, Life: m.life, Wall: wall, IsGranted: true}}, now)
		saved, published := 0, 0
		for _, effect := range effects {
			if save, isSave := effect.(Save); isSave && save.Kind == FileTable {
				saved++
			}
			if wrote, isWrote := effect.(Wrote); isWrote {
				published++
				So(len(wrote.Table.Records), ShouldEqual, saved)
				So(wrote.Table.Stamp, ShouldResemble, wrote.Stamp)
			}
		}
		So(published, ShouldEqual, 3)
	})
}

func TestCandidateIsToldWhenToAskAgain(t *testing.T) {
	Convey("A voter that has granted primacy lately refuses the backup and says for how long; the backup asks again then, and no sooner", t, func() {
		start := time.Hour
		backup, voter := started("c2", start), started("c3", start)
		record, primacy := backup.Record(), DefaultTiming().Primacy
		last := start + time.Second
		backup.Step(Heard{From: "c1", Body: Renew{Record: record}}, last)
		voter.Step(Heard{From: "c1", Body: Renew{Record: record}}, last+60*time.Millisecond)
		first := backup.Step(Tick{Wall: 77}, last+primacy)
		asked := sentBy[Prepare](first)
		So(len(asked), ShouldEqual, 2)
		refused := sentBy[Promised](voter.Step(Heard{From: "c2", Body: asked[0]}, last+primacy))
		So(refused[0].IsGiven, ShouldBeFalse)
		So(refused[0].Wait, ShouldEqual, 60*time.Millisecond)
		backup.Step(Heard{From: "c3", Body: refused[0]}, last+primacy)
		So(sentBy[Prepare](backup.Step(Tick{Wall: 77}, last+primacy+59*time.Millisecond)), ShouldBeEmpty)
		again := sentBy[Prepare](backup.Step(Tick{Wall: 77}, last+primacy+60*time.Millisecond))
		So(len(again), ShouldEqual, 2)
		So(asked[0].Number.IsBefore(again[0].Number), ShouldBeTrue)
		given := sentBy[Promised](voter.Step(Heard{From: "c2", Body: again[0]}, last+primacy+60*time.Millisecond))
		So(given[0].IsGiven, ShouldBeTrue)
	})
	Convey("A voter that has just started says so too", t, func() {
		voter := started("c3", time.Hour)
		ask := Prepare{Decided: voter.Record(), Number: proposal.Number{Round: 1, Name: "c2"}}
		refused := sentBy[Promised](voter.Step(Heard{From: "c2", Body: ask}, time.Hour+200*time.Millisecond))
		So(refused[0].IsGiven, ShouldBeFalse)
		So(refused[0].Wait, ShouldEqual, DefaultTiming().Primacy-200*time.Millisecond)
	})
	Convey("Once the round has been promised by a majority, a refusal does not end it", t, func() {
		now := time.Hour + time.Second
		backup := started("c2", time.Hour)
		asked := sentBy[Prepare](backup.Step(Tick{Wall: 77}, now))[0]
		promised := Promised{Epoch: 5, Number: asked.Number, Decided: backup.Record()}
		refused := promised
		refused.Wait, promised.IsGiven = 10*time.Millisecond, true
		backup.Step(Heard{From: "c3", Body: promised}, now)
		backup.Step(Heard{From: "c1", Body: refused}, now)
		So(sentBy[Prepare](backup.Step(Tick{Wall: 77}, now+50*time.Millisecond)), ShouldBeEmpty)
	})
}

func TestPrimacyIsVotedAwayByNone(t *testing.T) {
	now := time.Hour + 2*time.Second
	timing := DefaultTiming()
	number := proposal.Number{Round: 1, Name: "c2"}
	held := func() *Machine {
		m := started("c1", time.Hour)
		m.Step(Tick{Wall: 77}, now)
		m.Step(Heard{From: "c3", Body: RenewAck{Decided: m.Record(), Sent: now, Life: m.life, IsGranted: true}}, now)
		So(m.IsPrimary(now), ShouldBeTrue)
		return m
	}
	prepare := func(m *Machine) Heard {
		return Heard{From: "c2", Body: Prepare{Decided: m.Record(), Number: number}}
	}
	Convey("A primary promises its backup nothing while it holds primacy, and says for how long", t, func() {
		m := held()
		answer := sentBy[Promised](m.Step(prepare(m), now+100*time.Millisecond))[0]
		So(answer.IsGiven, ShouldBeFalse)
		So(answer.Wait, ShouldEqual, timing.Primacy*9/10-100*time.Millisecond)
		So(sentBy[Promised](m.Step(prepare(m), now+timing.Primacy))[0].IsGiven, ShouldBeTrue)
	})
	Convey("Once it has promised, its own grant counts no more", t, func() {
		m := held()
		later := now + timing.Primacy
		m.Step(prepare(m), later)
		m.Step(Heard{From: "c3", Body: RenewAck{Decided: m.Record(), Sent: later, Life: m.life, IsGranted: true}}, later)
		m.Step(Tick{Wall: 77}, later+timing.Renew)
		So(m.IsPrimary(later+timing.Renew), ShouldBeFalse)
	})
	Convey("Nor once it has voted for itself again since, or a voter for it: the next epoch may be settled by the vote before", t, func() {
		m, voter := started("c1", time.Hour), started("c3", time.Hour)
		later := now + timing.Primacy
		So(sentBy[Promised](m.Step(prepare(m), later))[0].IsGiven, ShouldBeTrue)
		So(sentBy[Promised](voter.Step(prepare(m), later))[0].IsGiven, ShouldBeTrue)
		m.Step(Tick{Wall: 77}, later)
		m.Step(Heard{From: "c3", Body: RenewAck{Decided: m.Record(), Sent: later, Life: m.life, IsGranted: true}}, later)
		asked := sentBy[Prepare](m.Step(Tick{Wall: 77}, later+timing.Renew))
		So(len(asked), ShouldEqual, 2)
		So(sentBy[Promised](voter.Step(Heard{From: "c1", Body: asked[0]}, later+timing.Renew))[0].IsGiven, ShouldBeTrue)
		renewed := sentBy[RenewAck](voter.Step(Heard{From: "c1", Body: Renew{Record: m.Record(), Sent: later}}, later+timing.Renew))
		So(renewed[0].IsGranted, ShouldBeFalse)
		m.Step(Tick{Wall: 77}, later+2*timing.Renew)
		So(m.IsPrimary(later+2*timing.Renew), ShouldBeFalse)
	})
	Convey("A voter accepts nobody's record, promised or not, while its grant to another holds, nor just after its start", t, func() {
		accept := func(from string) Heard {
			return Heard{From: from, Body: Accept{Epoch: 5, Number: number, Value: []byte("x")}}
		}
		m := started("c3", time.Hour)
		m.Step(Heard{From: "c1", Body: Renew{Record: m.Record()}}, now)
		So(sentBy[Accepted](m.Step(accept("c2"), now+timing.Primacy-1)), ShouldBeEmpty)
		So(sentBy[Accepted](m.Step(accept("c1"), now+timing.Primacy-1)), ShouldNotBeEmpty)
		So(sentBy[Accepted](m.Step(accept("c2"), now+timing.Primacy)), ShouldNotBeEmpty)
		m = started("c3", now)
		So(sentBy[Accepted](m.Step(accept("c2"), now+timing.Primacy-1)), ShouldBeEmpty)
		So(sentBy[Accepted](m.Step(accept("c2"), now+timing.Primacy)), ShouldNotBeEmpty)
	})
}

func TestBackupRefusedByThePrimary(t *testing.T) {
	prepares := func(effects []Effect) int {
		count := 0
		for _, effect := range effects {
			if send, isSend := effect.(Send); isSend {
				if _, isPrepare := send.Body.(Prepare); isPrepare {
					count++
				}
			}
		}
		return count
	}
	Convey("A backup that stood and was refused by a primary that is back leaves it the time that it asks for, and then stands again", t, func() {
		now := time.Hour
		backup := started("c2", now)
		now += DefaultTiming().Primacy + time.Millisecond
		So(prepares(backup.Step(Tick{}, now)), ShouldBeGreaterThan, 0)
		asked := backup.round.Number
		wait := DefaultTiming().Primacy - 50*time.Millisecond
		refused := now + 2*time.Millisecond
		backup.Step(Heard{From: "c1", Body: Promised{Epoch: 5, Number: asked, Wait: wait, Decided: backup.Record(), Higher: proposal.Number{Round: 9, Name: "c1"}}}, refused)
		for now < refused+wait-20*time.Millisecond {
			now += 10 * time.Millisecond
			So(prepares(backup.Step(Tick{}, now)), ShouldEqual, 0)
		}
		stood := 0
		for now < refused+wait+40*time.Millisecond {
			now += 10 * time.Millisecond
			stood += prepares(backup.Step(Tick{}, now))
		}
		So(stood, ShouldBeGreaterThan, 0)
	})
}
