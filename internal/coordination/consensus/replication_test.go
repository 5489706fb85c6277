package consensus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/store"
)

func TestPairedWrites(t *testing.T) {
	names := []string{"c1", "c2", "c3"}
	newThreeVoterCluster := func(requireBackup bool) *cluster {
		c := newCluster(names, func(string) BootstrapConfig { return BootstrapConfig{ExactVoters: 3, RequireBackup: requireBackup} })
		c.run(3 * time.Second)
		So(c.primary(), ShouldNotBeEmpty)
		return c
	}
	failures := []func(c *cluster){
		func(c *cluster) { c.up[c.machines[c.primary()].Record().Backup] = false },
		func(c *cluster) { c.up[c.primary()] = false },
	}
	Convey("When the primary or the backup of three nodes is lost, the others have a backup within seconds, and acknowledged writes are on two disks", t, func() {
		for _, fail := range failures {
			c := newThreeVoterCluster(true)
			fail(c)
			token := uint64(100)
			for elapsed := time.Duration(0); elapsed < 6*time.Second; elapsed += 100 * time.Millisecond {
				token++
				c.submit(token)
				c.run(100 * time.Millisecond)
				for number, result := range c.results {
					if result.Committed {
						So(c.replicasWith(number), ShouldBeGreaterThanOrEqualTo, 2)
					}
				}
			}
			So(c.results[token-5].Committed, ShouldBeTrue)
			So(c.machines[c.primary()].Record().Backup, ShouldNotBeEmpty)
		}
	})
	Convey("A write that is pending when the backup is lost is acknowledged only once another backup has it; if no backup is required, the primary acknowledges it without one", t, func() {
		for _, requireBackup := range []bool{true, false} {
			c := newThreeVoterCluster(requireBackup)
			primary := c.primary()
			backup := c.machines[primary].Record().Backup
			c.up[backup] = false
			c.submit(7)
			committedAlone := false
			for range 200 {
				c.run(20 * time.Millisecond)
				if result, ok := c.results[7]; ok && result.Committed {
					committedAlone = c.machines[primary].Record().Backup == ""
					break
				}
			}
			So(c.results[7].Committed, ShouldBeTrue)
			So(committedAlone, ShouldNotEqual, requireBackup)
		}
	})
	Convey("A write submitted while there is no backup waits for a backup, unless no backup is required", t, func() {
		for _, requireBackup := range []bool{true, false} {
			c := newThreeVoterCluster(requireBackup)
			primary := c.primary()
			for _, name := range c.upNodes() {
				c.machines[primary].tracker.excludedUntil[name] = c.now + time.Hour
			}
			c.up[c.machines[primary].Record().Backup] = false
			for range 500 {
				c.run(20 * time.Millisecond)
				if c.machines[primary].Record().Backup == "" {
					break
				}
			}
			So(c.machines[primary].Record().Backup, ShouldBeEmpty)
			So(c.primary(), ShouldEqual, primary)
			c.submit(8)
			So(c.results[8].Committed, ShouldNotEqual, requireBackup)
			clear(c.machines[primary].tracker.excludedUntil)
			c.run(time.Second)
			So(c.results[8].Committed, ShouldBeTrue)
			So(c.replicasWith(8), ShouldBeGreaterThanOrEqualTo, 2)
		}
	})
	Convey("When the primary or the backup is lost, the others have a primary and a backup within 2 s", t, func() {
		for _, fail := range failures {
			c := newThreeVoterCluster(true)
			fail(c)
			c.submit(9)
			c.run(2 * time.Second)
			So(c.primary(), ShouldNotBeEmpty)
			So(c.machines[c.primary()].Record().Backup, ShouldNotBeEmpty)
		}
	})
}

func TestPrimaryThatComesBackAheadOfItsBackup(t *testing.T) {
	const wall = int64(1_700_000_000_000_000_000)
	voters := []string{"c1", "c2", "c3"}
	restarted := func(record Record, tableEpoch uint64, now time.Duration) *Machine {
		table := store.New()
		table.Apply(store.Version{Epoch: tableEpoch, Sequence: 9}, []store.Put{{Key: "set", Data: []byte("x")}})
		return newMachine("c1", len(voters), DefaultTiming(), PersistentState{
			Identity:   &Identity{Cluster: "x", Self: "c1", Voters: voters, Formed: true},
			VoterState: &VoterState{Sequence: 1, Decided: record}, Table: table,
		}, now)
	}
	renew := func(m *Machine, now time.Duration) []Effect {
		effects := m.Step(Tick{WallNanos: wall}, now)
		ack := RenewLeaseAck{Decided: m.Record(), SentAt: now, Incarnation: m.processIncarnation, WallNanos: wall, Granted: true}
		effects = append(effects, m.Step(Received{From: "c3", Body: ack}, now)...)
		return append(effects, m.Step(Tick{WallNanos: wall}, now+20*time.Millisecond)...)
	}
	now := time.Hour
	Convey("The last write of a primary before its restart, which the backup may lack, is served only once an epoch without a backup is decided", t, func() {
		m := restarted(Record{Epoch: 4, Primary: "c1", Backup: "c2"}, 4, now)
		prepares := bodiesSent[Prepare](renew(m, now))
		now := now + 20*time.Millisecond
		So(m.IsPrimary(now), ShouldBeFalse)
		So(m.LeaseUntil(), ShouldBeLessThan, now)
		So(len(prepares), ShouldEqual, 2)
		promised := Promise{Epoch: 5, Number: prepares[0].Number, Granted: true, Decided: m.Record()}
		m.Step(Received{From: "c3", Body: promised}, now)
		m.Step(Received{From: "c3", Body: Accepted{Epoch: 5, Number: prepares[0].Number}}, now)
		So(m.Record(), ShouldResemble, Record{Epoch: 5, Primary: "c1", Voters: votersWithoutIncarnation(voters)})
		renew(m, now+100*time.Millisecond)
		So(m.IsPrimary(now+120*time.Millisecond), ShouldBeTrue)
		So(m.CommittedTable().Records, ShouldContainKey, "set")
	})
	Convey("A restarted primary whose backup may lack a write proposes an epoch without the backup when a voter refuses the lease", t, func() {
		m := restarted(Record{Epoch: 4, Primary: "c1", Backup: "c2"}, 4, now)
		later := now + time.Second
		m.Step(Tick{WallNanos: wall}, later)
		m.Step(Received{From: "c3", Body: RenewLeaseAck{Decided: m.Record(), SentAt: later, Incarnation: m.processIncarnation, WallNanos: wall}}, later)
		m.Step(Tick{WallNanos: wall}, later+20*time.Millisecond)
		So(m.proposals.current, ShouldNotBeNil)
		var proposed Record
		So(store.DecodePlain(m.proposals.current.Value, &proposed), ShouldBeNil)
		So(proposed, ShouldResemble, Record{Epoch: 5, Primary: "c1", Voters: votersWithoutIncarnation(voters)})
	})
	Convey("A restarted primary continues at once if it wrote nothing in its epoch or the epoch has no backup", t, func() {
		for _, m := range []*Machine{
			restarted(Record{Epoch: 4, Primary: "c1", Backup: "c2"}, 3, now), restarted(Record{Epoch: 4, Primary: "c1"}, 4, now),
		} {
			renew(m, now)
			So(m.IsPrimary(now+20*time.Millisecond), ShouldBeTrue)
		}
	})
}

func TestWhatIsPublishedIsSynced(t *testing.T) {
	const wall = int64(1_700_000_000_000_000_000)
	Convey("When several writes are committed in one step, each is published with exactly the writes saved by then", t, func() {
		now := time.Hour
		voters := []string{"c1", "c2", "c3"}
		m := newMachine("c1", len(voters), DefaultTiming(), PersistentState{
			Identity:   &Identity{Cluster: "x", Self: "c1", Voters: voters, Formed: true},
			VoterState: &VoterState{Sequence: 1, Decided: Record{Epoch: 4, Primary: "c1"}}, Table: store.New(),
		}, now)
		m.Step(Tick{WallNanos: wall}, now)
		for i := range 3 {
			m.Step(Submit{Token: uint64(i + 1), Build: func(*store.Table) []store.Put {
				return []store.Put{{Key: string(rune('a' + i)), Data: []byte("x")}}
			}}, now)
		}
		effects := m.Step(Received{From: "c3", Body: RenewLeaseAck{Decided: m.Record(), SentAt: now, Incarnation: m.processIncarnation, WallNanos: wall, Granted: true}}, now)
		saved, published := 0, 0
		for _, effect := range effects {
			if save, ok := effect.(Save); ok && save.Kind == FileTable {
				saved++
			}
			if committed, ok := effect.(TableCommitted); ok {
				published++
				So(len(committed.Table.Records), ShouldEqual, saved)
				So(committed.Table.Version, ShouldResemble, committed.Version)
			}
		}
		So(published, ShouldEqual, 3)
	})
}

func TestWritesWithSpares(t *testing.T) {
	Convey("With five voters, a write is acknowledged only when it is on at least three disks, and writes are still committed with any two nodes down", t, func() {
		names := []string{"c1", "c2", "c3", "c4", "c5"}
		for i, first := range names {
			for _, second := range names[i+1:] {
				c, _ := newFiveVoterCluster()
				c.up[first], c.up[second] = false, false
				for token := uint64(1); token <= 100; token++ {
					c.submit(token)
					c.run(100 * time.Millisecond)
					for number, result := range c.results {
						if result.Committed {
							So(c.replicasWith(number), ShouldBeGreaterThanOrEqualTo, 3)
						}
					}
				}
				SoMsg(first+" and "+second, c.results[95].Committed, ShouldBeTrue)
			}
		}
	})
	Convey("With three voters, a write is stored on exactly two disks", t, func() {
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
