package consensus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

func newFiveVoterCluster() (*cluster, func(name string) BootstrapConfig) {
	founding := func(string) BootstrapConfig {
		return BootstrapConfig{Voters: 5, MayBootstrap: true, RequireBackup: true, Seeds: []string{address("c1"), address("c2"), address("c3")}}
	}
	c := newCluster([]string{"c1", "c2", "c3", "c4", "c5"}, founding)
	c.run(6 * time.Second)
	So(c.primary(), ShouldNotBeEmpty)
	return c, founding
}

func (c *cluster) wipe(founding func(string) BootstrapConfig, names ...string) {
	for _, name := range names {
		blank := founding(name)
		blank.MayBootstrap = false
		c.machines[name] = NewWithBootstrap(name, blank, DefaultTiming(), PersistentState{}, c.now)
	}
}

func TestTwoCopiesLostAtOnce(t *testing.T) {
	Convey("Of five machines, where two may be lost, any two lose their disks at once: what was acknowledged is still there, and writes go on", t, func() {
		names := []string{"c1", "c2", "c3", "c4", "c5"}
		for at, first := range names {
			for _, second := range names[at+1:] {
				c, founding := newFiveVoterCluster()
				c.submit(1)
				c.run(time.Second)
				So(c.results[1].Committed, ShouldBeTrue)
				c.wipe(founding, first, second)
				c.run(20 * time.Second)
				SoMsg(first+" and "+second, c.primary(), ShouldNotBeEmpty)
				So(c.machines[c.primary()].ReplicaTable().Records, ShouldContainKey, "1")
				c.submit(2)
				c.run(5 * time.Second)
				So(c.results[2].Committed, ShouldBeTrue)
				So(c.replicasWith(1), ShouldBeGreaterThanOrEqualTo, 3)
			}
		}
	})
	Convey("And two more, once the first are filled again", t, func() {
		c, founding := newFiveVoterCluster()
		for token := uint64(1); token < 5; token++ {
			c.submit(token)
			c.run(time.Second)
			So(c.results[token].Committed, ShouldBeTrue)
			record := c.machines[c.primary()].Record()
			c.wipe(founding, record.Primary, record.Backup)
			c.run(20 * time.Second)
			So(c.primary(), ShouldNotBeEmpty)
			for before := uint64(1); before <= token; before++ {
				So(c.replicasWith(before), ShouldBeGreaterThanOrEqualTo, 3)
			}
		}
	})
}

func TestWritesWithSpares(t *testing.T) {
	Convey("A write is acknowledged on three disks at least, also with any two machines down, and waits with more", t, func() {
		names := []string{"c1", "c2", "c3", "c4", "c5"}
		for at, first := range names {
			for _, second := range names[at+1:] {
				c, _ := newFiveVoterCluster()
				c.up[first], c.up[second] = false, false
				for token := uint64(1); token <= 100; token++ {
					c.submit(token)
					c.run(100 * time.Millisecond)
					for number, answer := range c.results {
						if answer.Committed {
							So(c.replicasWith(number), ShouldBeGreaterThanOrEqualTo, 3)
						}
					}
				}
				SoMsg(first+" and "+second, c.results[95].Committed, ShouldBeTrue)
			}
		}
	})
	Convey("Where one machine may be lost, two disks hold a write and no third is written", t, func() {
		c := newCluster([]string{"c1", "c2", "c3"}, func(string) BootstrapConfig {
			return BootstrapConfig{Voters: 3, MayBootstrap: true, RequireBackup: true, Seeds: []string{address("c1"), address("c2"), address("c3")}}
		})
		c.run(6 * time.Second)
		c.submit(1)
		c.run(time.Second)
		So(c.results[1].Committed, ShouldBeTrue)
		So(c.replicasWith(1), ShouldEqual, 2)
	})
}

func TestVotesForASpare(t *testing.T) {
	now := time.Hour
	record := Record{Epoch: 4, Primary: "c1", Backup: "c2", Voters: votersWithoutIncarnation(five)}
	stamp := func(sequence uint64) store.Version { return store.Version{Epoch: 4, Sequence: sequence} }
	voter := func(ballots VoterState) *Machine {
		held := store.New()
		held.Apply(stamp(7), []store.Put{{Key: "k", Data: []byte("x")}})
		ballots.Sequence, ballots.Decided = 1, record
		return NewWithBootstrap("c4", BootstrapConfig{Voters: 5, RequireBackup: true}, DefaultTiming(), PersistentState{
			Identity:   &Identity{Cluster: "x", Self: "c4", Voters: []string{"c1", "c2", "c3", "c4", "c5"}, Formed: true},
			VoterState: &ballots, Table: held,
		}, now)
	}
	late := now + 4*DefaultTiming().PrimaryLease
	ask := func(m *Machine, from string, sequence uint64) bool {
		asked := Prepare{Decided: record, Number: proposal.Number{Round: 1, Name: from}, Version: stamp(sequence)}
		told := bodiesSent[Promise](m.Step(Received{From: from, Body: asked}, late))
		So(len(told), ShouldEqual, 1)
		return told[0].Granted
	}
	Convey("A spare is voted for only where its copy is not behind the voter's, and by nobody that may still be relied on by the primary", t, func() {
		So(ask(voter(VoterState{}), "c5", 7), ShouldBeTrue)
		So(ask(voter(VoterState{}), "c5", 8), ShouldBeTrue)
		So(ask(voter(VoterState{}), "c5", 6), ShouldBeFalse)
		So(ask(voter(VoterState{}), "c9", 7), ShouldBeFalse)
		bound := voter(VoterState{})
		bound.Step(Received{From: "c1", Body: RenewLease{Record: record, SentAt: late}}, late-time.Millisecond)
		So(ask(bound, "c5", 8), ShouldBeFalse)
	})
	Convey("One whose own copy was lost and not filled since lends no vote, and does not stand, until it is filled", t, func() {
		hollow := voter(VoterState{ReplicaIncomplete: true})
		So(ask(hollow, "c5", 9), ShouldBeFalse)
		So(bodiesSent[Prepare](hollow.Step(Tick{}, late)), ShouldBeEmpty)
		So(bodiesSent[Prepare](voter(VoterState{}).Step(Tick{}, late)), ShouldNotBeEmpty)
		filled := voter(VoterState{ReplicaIncomplete: true})
		filled.Step(Received{From: "c1", Body: RepairDigests{Record: record, Version: filled.ReplicaTable().Version, Digests: filled.ReplicaTable().Digests()}}, now)
		So(ask(filled, "c5", 9), ShouldBeTrue)
	})
	Convey("One that gave its vote to a spare syncs nothing more for the primary before", t, func() {
		m := voter(VoterState{})
		write := Replicate{Record: record, PreviousVersion: stamp(7), Version: stamp(8), Puts: []store.Put{{Key: "w", Data: []byte("x")}}}
		So(ask(m, "c5", 7), ShouldBeTrue)
		acks := bodiesSent[ReplicateAck](m.Step(Received{From: "c1", Body: write}, late))
		So(len(acks), ShouldEqual, 1)
		So(acks[0].Synced, ShouldBeFalse)
		So(bodiesSent[RepairDone](m.Step(Received{From: "c1", Body: RepairDigests{Record: record, Version: m.ReplicaTable().Version, Digests: m.ReplicaTable().Digests()}}, late)), ShouldBeEmpty)
		So(bodiesSent[ReplicateAck](voter(VoterState{}).Step(Received{From: "c1", Body: write}, late))[0].Synced, ShouldBeTrue)
	})
}
