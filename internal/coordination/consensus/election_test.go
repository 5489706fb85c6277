package consensus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

func TestCandidateIsToldWhenToAskAgain(t *testing.T) {
	Convey("A voter that recently granted the lease refuses the backup and reports for how long; the backup proposes again at that time and no earlier", t, func() {
		start := time.Hour
		backup, voter := newFormedMachine("c2", start), newFormedMachine("c3", start)
		record, lease := backup.Record(), DefaultTiming().PrimaryLease
		lastRenewal := start + time.Second
		backup.Step(Received{From: "c1", Body: RenewLease{Record: record}}, lastRenewal)
		voter.Step(Received{From: "c1", Body: RenewLease{Record: record}}, lastRenewal+60*time.Millisecond)
		effects := backup.Step(Tick{WallNanos: 77}, lastRenewal+lease)
		prepares := bodiesSent[Prepare](effects)
		So(len(prepares), ShouldEqual, 2)
		refused := bodiesSent[Promise](voter.Step(Received{From: "c2", Body: prepares[0]}, lastRenewal+lease))
		So(refused[0].Granted, ShouldBeFalse)
		So(refused[0].RetryAfter, ShouldEqual, 60*time.Millisecond)
		backup.Step(Received{From: "c3", Body: refused[0]}, lastRenewal+lease)
		So(bodiesSent[Prepare](backup.Step(Tick{WallNanos: 77}, lastRenewal+lease+59*time.Millisecond)), ShouldBeEmpty)
		retried := bodiesSent[Prepare](backup.Step(Tick{WallNanos: 77}, lastRenewal+lease+60*time.Millisecond))
		So(len(retried), ShouldEqual, 2)
		So(prepares[0].Number.IsBefore(retried[0].Number), ShouldBeTrue)
		granted := bodiesSent[Promise](voter.Step(Received{From: "c2", Body: retried[0]}, lastRenewal+lease+60*time.Millisecond))
		So(granted[0].Granted, ShouldBeTrue)
	})
	Convey("A voter that has just started refuses a candidate and reports for how long", t, func() {
		voter := newFormedMachine("c3", time.Hour)
		prepare := Prepare{Decided: voter.Record(), Number: proposal.Number{Round: 1, Name: "c2"}}
		refused := bodiesSent[Promise](voter.Step(Received{From: "c2", Body: prepare}, time.Hour+200*time.Millisecond))
		So(refused[0].Granted, ShouldBeFalse)
		So(refused[0].RetryAfter, ShouldEqual, DefaultTiming().PrimaryLease-200*time.Millisecond)
	})
	Convey("Once a majority has promised, a refusal does not end the proposal", t, func() {
		now := time.Hour + time.Second
		backup := newFormedMachine("c2", time.Hour)
		prepare := bodiesSent[Prepare](backup.Step(Tick{WallNanos: 77}, now))[0]
		promised := Promise{Epoch: 5, Number: prepare.Number, Decided: backup.Record()}
		refused := promised
		refused.RetryAfter, promised.Granted = 10*time.Millisecond, true
		backup.Step(Received{From: "c3", Body: promised}, now)
		backup.Step(Received{From: "c1", Body: refused}, now)
		So(bodiesSent[Prepare](backup.Step(Tick{WallNanos: 77}, now+50*time.Millisecond)), ShouldBeEmpty)
	})
}

func TestBackupRefusedByThePrimary(t *testing.T) {
	Convey("A backup whose proposal is refused by the returned primary waits for the reported time and then proposes again", t, func() {
		now := time.Hour
		backup := newFormedMachine("c2", now)
		now += DefaultTiming().PrimaryLease + time.Millisecond
		So(bodiesSent[Prepare](backup.Step(Tick{}, now)), ShouldNotBeEmpty)
		number := backup.proposals.current.Number
		retryAfter := DefaultTiming().PrimaryLease - 50*time.Millisecond
		refusedAt := now + 2*time.Millisecond
		backup.Step(Received{From: "c1", Body: Promise{Epoch: 5, Number: number, RetryAfter: retryAfter, Decided: backup.Record(), HighestPromised: proposal.Number{Round: 9, Name: "c1"}}}, refusedAt)
		for now < refusedAt+retryAfter-20*time.Millisecond {
			now += 10 * time.Millisecond
			So(bodiesSent[Prepare](backup.Step(Tick{}, now)), ShouldBeEmpty)
		}
		prepares := 0
		for now < refusedAt+retryAfter+40*time.Millisecond {
			now += 10 * time.Millisecond
			prepares += len(bodiesSent[Prepare](backup.Step(Tick{}, now)))
		}
		So(prepares, ShouldBeGreaterThan, 0)
	})
}

func TestVotesForASpare(t *testing.T) {
	now := time.Hour
	record := Record{Epoch: 4, Primary: "c1", Backup: "c2", Voters: votersWithoutIncarnation(fiveNodes)}
	version := func(sequence uint64) store.Version { return store.Version{Epoch: 4, Sequence: sequence} }
	newVoter := func(voterState VoterState) *Machine {
		replica := store.New()
		replica.Apply(version(7), []store.Put{{Key: "k", Data: []byte("x")}})
		voterState.Sequence, voterState.Decided = 1, record
		return NewWithBootstrap("c4", BootstrapConfig{Voters: 5, RequireBackup: true}, DefaultTiming(), PersistentState{
			Identity:   &Identity{Cluster: "x", Self: "c4", Voters: []string{"c1", "c2", "c3", "c4", "c5"}, Formed: true},
			VoterState: &voterState, Table: replica,
		}, now)
	}
	afterExpiry := now + 4*DefaultTiming().PrimaryLease
	requestVote := func(m *Machine, from string, sequence uint64) bool {
		prepare := Prepare{Decided: record, Number: proposal.Number{Round: 1, Name: from}, Version: version(sequence)}
		promises := bodiesSent[Promise](m.Step(Received{From: from, Body: prepare}, afterExpiry))
		So(len(promises), ShouldEqual, 1)
		return promises[0].Granted
	}
	Convey("A node votes for a spare only if the spare is a voter whose replica is not behind its own, and not while the lease that the node granted is valid", t, func() {
		So(requestVote(newVoter(VoterState{}), "c5", 7), ShouldBeTrue)
		So(requestVote(newVoter(VoterState{}), "c5", 8), ShouldBeTrue)
		So(requestVote(newVoter(VoterState{}), "c5", 6), ShouldBeFalse)
		So(requestVote(newVoter(VoterState{}), "c9", 7), ShouldBeFalse)
		blocked := newVoter(VoterState{})
		blocked.Step(Received{From: "c1", Body: RenewLease{Record: record, SentAt: afterExpiry}}, afterExpiry-time.Millisecond)
		So(requestVote(blocked, "c5", 8), ShouldBeFalse)
	})
	Convey("A voter with an incomplete replica neither votes for a spare nor proposes until it is repaired", t, func() {
		incomplete := newVoter(VoterState{ReplicaIncomplete: true})
		So(requestVote(incomplete, "c5", 9), ShouldBeFalse)
		So(bodiesSent[Prepare](incomplete.Step(Tick{}, afterExpiry)), ShouldBeEmpty)
		So(bodiesSent[Prepare](newVoter(VoterState{}).Step(Tick{}, afterExpiry)), ShouldNotBeEmpty)
		repaired := newVoter(VoterState{ReplicaIncomplete: true})
		repaired.Step(Received{From: "c1", Body: RepairDigests{Record: record, Version: repaired.ReplicaTable().Version, Digests: repaired.ReplicaTable().Digests()}}, now)
		So(requestVote(repaired, "c5", 9), ShouldBeTrue)
	})
	Convey("A voter that voted for a spare syncs no more writes or repairs of the previous primary", t, func() {
		m := newVoter(VoterState{})
		write := Replicate{Record: record, PreviousVersion: version(7), Version: version(8), Puts: []store.Put{{Key: "w", Data: []byte("x")}}}
		So(requestVote(m, "c5", 7), ShouldBeTrue)
		acks := bodiesSent[ReplicateAck](m.Step(Received{From: "c1", Body: write}, afterExpiry))
		So(len(acks), ShouldEqual, 1)
		So(acks[0].Synced, ShouldBeFalse)
		So(bodiesSent[RepairDone](m.Step(Received{From: "c1", Body: RepairDigests{Record: record, Version: m.ReplicaTable().Version, Digests: m.ReplicaTable().Digests()}}, afterExpiry)), ShouldBeEmpty)
		So(bodiesSent[ReplicateAck](newVoter(VoterState{}).Step(Received{From: "c1", Body: write}, afterExpiry))[0].Synced, ShouldBeTrue)
	})
}
