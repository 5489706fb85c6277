package consensus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

// newMachine makes a node of a cluster in which exactly so many nodes vote.
func newMachine(self string, voters int, timing Timing, saved PersistentState, now time.Duration) *Machine {
	return NewWithBootstrap(self, BootstrapConfig{ExactVoters: voters}, timing, saved, now)
}

// newFormedMachine makes c1, c2 or c3 of a formed cluster: the primary, the backup or a
// witness.
func newFormedMachine(self string, now time.Duration) *Machine {
	voters := []string{"c1", "c2", "c3"}
	return newMachine(self, len(voters), DefaultTiming(), PersistentState{
		Identity:   &Identity{Cluster: "x", Self: self, Voters: voters, Formed: true},
		VoterState: &VoterState{Sequence: 1, Decided: Record{Epoch: 4, Primary: "c1", Backup: "c2"}}, Table: store.New(),
	}, now)
}

func renewLeaseAcks(effects []Effect) []RenewLeaseAck {
	var list []RenewLeaseAck
	for _, effect := range effects {
		if send, isSend := effect.(Send); isSend {
			if ack, isAck := send.Body.(RenewLeaseAck); isAck {
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
		primary, other := newFormedMachine("c1", now), newFormedMachine("c3", now)
		primary.Step(Tick{WallNanos: wall}, now)
		acks := renewLeaseAcks(other.Step(Received{From: "c1", Body: RenewLease{Record: primary.Record(), SentAt: now, Incarnation: primary.processIncarnation}}, now))
		So(len(acks), ShouldEqual, 1)
		So(acks[0].Granted, ShouldBeTrue)
		primary.Step(Received{From: "c3", Body: acks[0]}, now+time.Millisecond)
		So(primary.IsPrimary(now+time.Millisecond), ShouldBeTrue)
		So(primary.WallNanos(now), ShouldEqual, wall)
	})
	Convey("A grant asked for in an earlier run of the program gives nothing, though its clock reading would fit", t, func() {
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
	Convey("It takes the median of those that have", t, func() {
		now := time.Hour
		primary := newFormedMachine("c1", now)
		primary.Step(Tick{WallNanos: wall}, now)
		for at, name := range []string{"c2", "c3"} {
			other := newFormedMachine(name, now)
			other.Step(Tick{WallNanos: wall + int64(at+1)*int64(time.Second)}, now)
			ack := renewLeaseAcks(other.Step(Received{From: "c1", Body: RenewLease{Record: primary.Record(), SentAt: now, Incarnation: primary.processIncarnation}}, now))[0]
			primary.Step(Received{From: name, Body: ack}, now)
		}
		So(primary.WallNanos(now), ShouldEqual, wall)
		later := now + 100*time.Millisecond
		primary.Step(Tick{WallNanos: wall + int64(later-now)}, later)
		So(primary.WallNanos(later), ShouldBeBetween, wall+int64(later-now), wall+int64(later-now)+int64(2*time.Millisecond))
	})
}

func TestPrimaryThatComesBackAheadOfItsBackup(t *testing.T) {
	const wall = int64(1_700_000_000_000_000_000)
	voters := []string{"c1", "c2", "c3"}
	back := func(record Record, written uint64, now time.Duration) *Machine {
		copied := store.New()
		copied.Apply(store.Version{Epoch: written, Sequence: 9}, []store.Put{{Key: "set", Data: []byte("x")}})
		return newMachine("c1", len(voters), DefaultTiming(), PersistentState{
			Identity:   &Identity{Cluster: "x", Self: "c1", Voters: voters, Formed: true},
			VoterState: &VoterState{Sequence: 1, Decided: record}, Table: copied,
		}, now)
	}
	renew := func(m *Machine, now time.Duration) []Effect {
		effects := m.Step(Tick{WallNanos: wall}, now)
		ack := RenewLeaseAck{Decided: m.Record(), SentAt: now, Incarnation: m.processIncarnation, WallNanos: wall, Granted: true}
		effects = append(effects, m.Step(Received{From: "c3", Body: ack}, now)...)
		return append(effects, m.Step(Tick{WallNanos: wall}, now+20*time.Millisecond)...)
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
		So(m.LeaseUntil(), ShouldBeLessThan, now)
		So(len(asked), ShouldEqual, 2)
		promised := Promise{Epoch: 5, Number: asked[0].Number, Granted: true, Decided: m.Record()}
		m.Step(Received{From: "c3", Body: promised}, now)
		m.Step(Received{From: "c3", Body: Accepted{Epoch: 5, Number: asked[0].Number}}, now)
		So(m.Record(), ShouldResemble, Record{Epoch: 5, Primary: "c1", Voters: votersWithoutIncarnation(voters)})
		renew(m, now+100*time.Millisecond)
		So(m.IsPrimary(now+120*time.Millisecond), ShouldBeTrue)
		So(m.CommittedTable().Records, ShouldContainKey, "set")
	})
	Convey("Nor does it stand for an epoch that keeps the backup while a voter refuses it", t, func() {
		m := back(Record{Epoch: 4, Primary: "c1", Backup: "c2"}, 4, now)
		later := now + time.Second
		m.Step(Tick{WallNanos: wall}, later)
		m.Step(Received{From: "c3", Body: RenewLeaseAck{Decided: m.Record(), SentAt: later, Incarnation: m.processIncarnation, WallNanos: wall}}, later)
		m.Step(Tick{WallNanos: wall}, later+20*time.Millisecond)
		So(m.proposer, ShouldNotBeNil)
		var stood Record
		So(store.DecodePlain(m.proposer.Value, &stood), ShouldBeNil)
		So(stood, ShouldResemble, Record{Epoch: 5, Primary: "c1", Voters: votersWithoutIncarnation(voters)})
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
		m := newMachine("c1", len(voters), DefaultTiming(), PersistentState{
			Identity:   &Identity{Cluster: "x", Self: "c1", Voters: voters, Formed: true},
			VoterState: &VoterState{Sequence: 1, Decided: Record{Epoch: 4, Primary: "c1"}}, Table: store.New(),
		}, now)
		m.Step(Tick{WallNanos: wall}, now)
		for at := range 3 {
			m.Step(Submit{Token: uint64(at + 1), Build: func(*store.Table) []store.Put {
				return []store.Put{{Key: string(rune('a' + at)), Data: []byte("x")}}
			}}, now)
		}
		effects := m.Step(Received{From: "c3", Body: RenewLeaseAck{Decided: m.Record(), SentAt: now, Incarnation: m.processIncarnation, WallNanos: wall, Granted: true}}, now)
		saved, published := 0, 0
		for _, effect := range effects {
			if save, isSave := effect.(Save); isSave && save.Kind == FileTable {
				saved++
			}
			if wrote, isWrote := effect.(TableCommitted); isWrote {
				published++
				So(len(wrote.Table.Records), ShouldEqual, saved)
				So(wrote.Table.Version, ShouldResemble, wrote.Version)
			}
		}
		So(published, ShouldEqual, 3)
	})
}

func TestCandidateIsToldWhenToAskAgain(t *testing.T) {
	Convey("A voter that has granted primacy lately refuses the backup and says for how long; the backup asks again then, and no sooner", t, func() {
		start := time.Hour
		backup, voter := newFormedMachine("c2", start), newFormedMachine("c3", start)
		record, primacy := backup.Record(), DefaultTiming().PrimaryLease
		last := start + time.Second
		backup.Step(Received{From: "c1", Body: RenewLease{Record: record}}, last)
		voter.Step(Received{From: "c1", Body: RenewLease{Record: record}}, last+60*time.Millisecond)
		first := backup.Step(Tick{WallNanos: 77}, last+primacy)
		asked := bodiesSent[Prepare](first)
		So(len(asked), ShouldEqual, 2)
		refused := bodiesSent[Promise](voter.Step(Received{From: "c2", Body: asked[0]}, last+primacy))
		So(refused[0].Granted, ShouldBeFalse)
		So(refused[0].RetryAfter, ShouldEqual, 60*time.Millisecond)
		backup.Step(Received{From: "c3", Body: refused[0]}, last+primacy)
		So(bodiesSent[Prepare](backup.Step(Tick{WallNanos: 77}, last+primacy+59*time.Millisecond)), ShouldBeEmpty)
		again := bodiesSent[Prepare](backup.Step(Tick{WallNanos: 77}, last+primacy+60*time.Millisecond))
		So(len(again), ShouldEqual, 2)
		So(asked[0].Number.IsBefore(again[0].Number), ShouldBeTrue)
		given := bodiesSent[Promise](voter.Step(Received{From: "c2", Body: again[0]}, last+primacy+60*time.Millisecond))
		So(given[0].Granted, ShouldBeTrue)
	})
	Convey("A voter that has just started says so too", t, func() {
		voter := newFormedMachine("c3", time.Hour)
		ask := Prepare{Decided: voter.Record(), Number: proposal.Number{Round: 1, Name: "c2"}}
		refused := bodiesSent[Promise](voter.Step(Received{From: "c2", Body: ask}, time.Hour+200*time.Millisecond))
		So(refused[0].Granted, ShouldBeFalse)
		So(refused[0].RetryAfter, ShouldEqual, DefaultTiming().PrimaryLease-200*time.Millisecond)
	})
	Convey("Once the round has been promised by a majority, a refusal does not end it", t, func() {
		now := time.Hour + time.Second
		backup := newFormedMachine("c2", time.Hour)
		asked := bodiesSent[Prepare](backup.Step(Tick{WallNanos: 77}, now))[0]
		promised := Promise{Epoch: 5, Number: asked.Number, Decided: backup.Record()}
		refused := promised
		refused.RetryAfter, promised.Granted = 10*time.Millisecond, true
		backup.Step(Received{From: "c3", Body: promised}, now)
		backup.Step(Received{From: "c1", Body: refused}, now)
		So(bodiesSent[Prepare](backup.Step(Tick{WallNanos: 77}, now+50*time.Millisecond)), ShouldBeEmpty)
	})
}

func TestNoVoteAgainstAValidLease(t *testing.T) {
	now := time.Hour + 2*time.Second
	timing := DefaultTiming()
	number := proposal.Number{Round: 1, Name: "c2"}
	held := func() *Machine {
		m := newFormedMachine("c1", time.Hour)
		m.Step(Tick{WallNanos: 77}, now)
		m.Step(Received{From: "c3", Body: RenewLeaseAck{Decided: m.Record(), SentAt: now, Incarnation: m.processIncarnation, Granted: true}}, now)
		So(m.IsPrimary(now), ShouldBeTrue)
		return m
	}
	prepare := func(m *Machine) Received {
		return Received{From: "c2", Body: Prepare{Decided: m.Record(), Number: number}}
	}
	Convey("A primary promises its backup nothing while it holds primacy, and says for how long", t, func() {
		m := held()
		answer := bodiesSent[Promise](m.Step(prepare(m), now+100*time.Millisecond))[0]
		So(answer.Granted, ShouldBeFalse)
		So(answer.RetryAfter, ShouldEqual, timing.PrimaryLease*9/10-100*time.Millisecond)
		So(bodiesSent[Promise](m.Step(prepare(m), now+timing.PrimaryLease))[0].Granted, ShouldBeTrue)
	})
	Convey("Once it has promised, its own grant counts no more", t, func() {
		m := held()
		later := now + timing.PrimaryLease
		m.Step(prepare(m), later)
		m.Step(Received{From: "c3", Body: RenewLeaseAck{Decided: m.Record(), SentAt: later, Incarnation: m.processIncarnation, Granted: true}}, later)
		m.Step(Tick{WallNanos: 77}, later+timing.RenewInterval)
		So(m.IsPrimary(later+timing.RenewInterval), ShouldBeFalse)
	})
	Convey("Nor once it has voted for itself again since, or a voter for it: the next epoch may be settled by the vote before", t, func() {
		m, voter := newFormedMachine("c1", time.Hour), newFormedMachine("c3", time.Hour)
		later := now + timing.PrimaryLease
		So(bodiesSent[Promise](m.Step(prepare(m), later))[0].Granted, ShouldBeTrue)
		So(bodiesSent[Promise](voter.Step(prepare(m), later))[0].Granted, ShouldBeTrue)
		m.Step(Tick{WallNanos: 77}, later)
		m.Step(Received{From: "c3", Body: RenewLeaseAck{Decided: m.Record(), SentAt: later, Incarnation: m.processIncarnation, Granted: true}}, later)
		asked := bodiesSent[Prepare](m.Step(Tick{WallNanos: 77}, later+timing.RenewInterval))
		So(len(asked), ShouldEqual, 2)
		So(bodiesSent[Promise](voter.Step(Received{From: "c1", Body: asked[0]}, later+timing.RenewInterval))[0].Granted, ShouldBeTrue)
		renewed := bodiesSent[RenewLeaseAck](voter.Step(Received{From: "c1", Body: RenewLease{Record: m.Record(), SentAt: later}}, later+timing.RenewInterval))
		So(renewed[0].Granted, ShouldBeFalse)
		m.Step(Tick{WallNanos: 77}, later+2*timing.RenewInterval)
		So(m.IsPrimary(later+2*timing.RenewInterval), ShouldBeFalse)
	})
	Convey("A voter accepts nobody's record, promised or not, while its grant to another holds, nor just after its start", t, func() {
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
		backup := newFormedMachine("c2", now)
		now += DefaultTiming().PrimaryLease + time.Millisecond
		So(prepares(backup.Step(Tick{}, now)), ShouldBeGreaterThan, 0)
		asked := backup.proposer.Number
		wait := DefaultTiming().PrimaryLease - 50*time.Millisecond
		refused := now + 2*time.Millisecond
		backup.Step(Received{From: "c1", Body: Promise{Epoch: 5, Number: asked, RetryAfter: wait, Decided: backup.Record(), HighestPromised: proposal.Number{Round: 9, Name: "c1"}}}, refused)
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
