package consensus

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

// restart returns a new machine that is restored from the files saved by the given
// effects.
func restart(self string, effects []Effect, now time.Duration) *Machine {
	saved := PersistentState{}
	for _, effect := range effects {
		save, ok := effect.(Save)
		if !ok {
			continue
		}
		if save.Kind == FileIdentity {
			identity, err := DecodeIdentity(save.Data)
			So(err, ShouldBeNil)
			saved.Identity = identity
		}
		if save.Kind == FileVoterState {
			voterState, err := DecodeVoterState(save.Data)
			So(err, ShouldBeNil)
			saved.VoterState = voterState
		}
	}
	return newMachine(self, len(fiveNodes), DefaultTiming(), saved, now)
}

// countParticipation returns how many messages a node sends that only a voter may send,
// when it receives each kind of request and a tick. It counts lease renewals and their
// answers, proposals, votes, acceptances, acknowledged writes and repair messages.
func countParticipation(m *Machine, from string, now time.Duration) int {
	record := m.Record()
	number := proposal.Number{Round: 1, Name: from}
	var effects []Effect
	for _, body := range []any{
		RenewLease{Record: record, SentAt: now}, Prepare{Decided: record, Number: number, Version: store.Version{Epoch: 99}},
		Accept{Epoch: record.Epoch + 1, Number: number, Value: store.EncodePlain(record)},
		Replicate{Record: record, Version: store.Version{Epoch: record.Epoch, Sequence: 1}}, RepairDigests{Record: record}, RepairRanges{Record: record},
	} {
		effects = append(effects, m.Step(Received{From: from, Body: body}, now)...)
	}
	effects = append(effects, m.Step(Tick{WallNanos: 78}, now)...)
	count := len(bodiesSent[RenewLeaseAck](effects)) + len(bodiesSent[Accepted](effects)) + len(bodiesSent[Prepare](effects)) +
		len(bodiesSent[RenewLease](effects)) + len(bodiesSent[RepairRequest](effects)) + len(bodiesSent[RepairDone](effects))
	for _, promised := range bodiesSent[Promise](effects) {
		count += boolInt(promised.Granted)
	}
	for _, ack := range bodiesSent[ReplicateAck](effects) {
		count += boolInt(ack.Synced)
	}
	return count
}

func TestMachineThatLostItsDisk(t *testing.T) {
	Convey("A node that lost its disk does not grant, vote, propose or sync until a record includes its new disk, whatever its role was, and even after a restart", t, func() {
		for _, self := range []string{"c1", "c2", "c3"} {
			now := time.Hour
			record := Record{Epoch: 4, Primary: "c1", Backup: "c2", Voters: votersWithoutIncarnation(fiveNodes)}
			m := newBlankMachine(self, now)
			effects := m.Step(Received{From: "c4", Body: Status{Cluster: "x", Decided: record}}, now)
			So(m.Record(), ShouldResemble, record)
			So(m.IsMember(), ShouldBeFalse)
			for range 2 {
				for later := now; later < now+5*time.Second; later += 50 * time.Millisecond {
					So(countParticipation(m, "c1", later), ShouldEqual, 0)
				}
				now += 10 * time.Second
				m = restart(self, effects, now)
				So(m.IsMember(), ShouldBeFalse)
			}
			next := record
			next.Epoch, next.Primary, next.Backup = 5, "c4", "c5"
			m.Step(Received{From: "c4", Body: Decided{Record: next}}, now)
			So(countParticipation(m, "c4", now), ShouldEqual, 0)
			next.Epoch, next.Voters = 6, next.Voters.Replace(Member{Name: self}, Member{Name: self, Incarnation: 77})
			m.Step(Received{From: "c4", Body: Decided{Record: next}}, now)
			So(m.IsMember(), ShouldBeTrue)
			So(countParticipation(m, "c4", now), ShouldBeGreaterThan, 0)
		}
	})
	Convey("A record that includes an older disk of a node gives the node no vote", t, func() {
		m := newBlankMachine("c3", time.Hour)
		record := Record{Epoch: 4, Primary: "c1", Voters: votersWithoutIncarnation(fiveNodes).Replace(Member{Name: "c3"}, Member{Name: "c3", Incarnation: 76})}
		m.Step(Received{From: "c4", Body: Status{Cluster: "x", Decided: record}}, time.Hour)
		So(m.IsMember(), ShouldBeFalse)
		So(countParticipation(m, "c1", time.Hour), ShouldEqual, 0)
	})
}

func TestOlderFilesThanWereSynced(t *testing.T) {
	Convey("A node with damaged files or without its voter state behaves like a node with a blank disk, whether or not its cluster was formed", t, func() {
		now := time.Hour
		oldRecord := Record{Epoch: 2, Primary: "c1", Backup: "c2", Voters: votersWithoutIncarnation(fiveNodes)}
		record := Record{Epoch: 4, Primary: "c1", Backup: "c2", Voters: votersWithoutIncarnation(fiveNodes)}
		for _, saved := range []PersistentState{
			{Identity: &Identity{Cluster: "x", Self: "c3", Voters: fiveNodes, Formed: true}, VoterState: &VoterState{Sequence: 1, Decided: oldRecord}, Corrupted: true},
			{Identity: &Identity{Cluster: "x", Self: "c3", Voters: fiveNodes}, VoterState: &VoterState{Sequence: 1, Decided: oldRecord}, Corrupted: true},
			{Identity: &Identity{Cluster: "x", Self: "c3", Voters: fiveNodes, Formed: true}},
		} {
			m := newMachine("c3", len(fiveNodes), DefaultTiming(), saved, now)
			m.Step(Peers{Names: fiveNodes}, now)
			So(len(bodiesSent[StatusRequest](m.Step(Tick{WallNanos: 77}, now))), ShouldEqual, len(fiveNodes)-1)
			So(countParticipation(m, "c1", now), ShouldEqual, 0)
			m.Step(Received{From: "c1", Body: Decided{Record: record}}, now)
			So(countParticipation(m, "c1", now), ShouldEqual, 0)
			effects := m.Step(Received{From: "c2", Body: Status{Cluster: "x", Decided: record}}, now)
			So(m.Record(), ShouldResemble, record)
			So(countParticipation(m, "c1", now), ShouldEqual, 0)
			removesCorrupt := slices.Contains(effects, Effect(RemoveCorrupt{}))
			So(removesCorrupt, ShouldEqual, saved.Corrupted)
			record := record
			record.Epoch, record.Voters = 5, record.Voters.Replace(Member{Name: "c3"}, Member{Name: "c3", Incarnation: 77})
			m.Step(Received{From: "c1", Body: Decided{Record: record}}, now)
			So(countParticipation(m, "c1", now), ShouldBeGreaterThan, 0)
		}
	})
	Convey("A node with damaged files neither forms a cluster nor agrees to form one", t, func() {
		m := newMachine("c1", 3, DefaultTiming(), PersistentState{Corrupted: true}, time.Hour)
		m.Step(Peers{Names: []string{"c1", "c2", "c3"}}, time.Hour)
		effects := m.Step(Tick{WallNanos: 77}, time.Hour)
		effects = append(effects, m.Step(Received{From: "c2", Body: FormCluster{Identity: Identity{Cluster: "y", Voters: []string{"c1", "c2", "c3"}}}}, time.Hour)...)
		So(bodiesSent[FormCluster](effects), ShouldBeEmpty)
		So(bodiesSent[FormClusterAck](effects), ShouldBeEmpty)
	})
}

func TestFilesOfABuildWithoutIncarnations(t *testing.T) {
	Convey("If the record on disk has no voters, the voters are the nodes that the cluster was formed with", t, func() {
		m := newFormedMachine("c2", time.Hour)
		So(m.IsMember(), ShouldBeTrue)
		So(m.Record().Voters, ShouldEqual, votersWithoutIncarnation([]string{"c1", "c2", "c3"}))
	})
}
