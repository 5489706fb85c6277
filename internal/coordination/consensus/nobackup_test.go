package consensus

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// recoveryTime is the time within which a cluster must commit a write again after all
// its nodes run and reach each other.
const recoveryTime = 10 * time.Second

// restart starts a node again with its former disk.
func (c *cluster) restart(bootstrap func(string) BootstrapConfig, name string) {
	previous := c.machines[name]
	saved := PersistentState{Table: previous.replica.table, TableSequence: previous.replica.fileSequence}
	if previous.identity != nil {
		identity, voterState := *previous.identity, previous.voterState
		saved.Identity, saved.VoterState = &identity, &voterState
	}
	c.machines[name] = NewWithBootstrap(name, bootstrap(name), DefaultTiming(), saved, c.now)
	c.up[name] = true
}

// newestRecord returns the newest record that any node has.
func (c *cluster) newestRecord() Record {
	var newest Record
	for _, machine := range c.machines {
		if machine.Record().Epoch > newest.Epoch {
			newest = machine.Record()
		}
	}
	return newest
}

// runUntil runs the cluster until the condition holds, for at most recoveryTime.
func (c *cluster) runUntil(condition func() bool) {
	for until := c.now + recoveryTime; !condition() && c.now < until; {
		c.run(20 * time.Millisecond)
	}
	So(condition(), ShouldBeTrue)
}

func (c *cluster) hasNoBackup() bool { return c.newestRecord().Backup == "" }

// enterEpochWithoutBackup commits write 1 and brings about an epoch without a backup, in
// which the witness is down and the former backup runs. It returns the primary, the
// former backup and the witness.
func (c *cluster) enterEpochWithoutBackup(bootstrap func(string) BootstrapConfig) (primary, backup, witness string) {
	So(c.submitAndCommit(1), ShouldBeTrue)
	primary, backup, witness = c.primary(), nodeByRole["backup"](c), c.witness()
	c.up[witness], c.up[backup] = false, false
	c.submit(2)
	c.run(time.Second)
	c.restart(bootstrap, backup)
	c.runUntil(c.hasNoBackup)
	So(c.newestRecord().Primary, ShouldEqual, primary)
	So(c.results[2].Committed, ShouldBeFalse)
	return primary, backup, witness
}

// expectRecovery checks that the cluster commits a write and serves all given writes.
func (c *cluster) expectRecovery(token uint64, served ...uint64) {
	c.run(recoveryTime)
	So(c.primary(), ShouldNotBeEmpty)
	So(c.submitAndCommit(token), ShouldBeTrue)
	for _, expected := range append(served, token) {
		So(c.serves(c.primary(), expected), ShouldBeTrue)
	}
}

func (c *cluster) serves(name string, token uint64) bool {
	_, found := c.machines[name].CommittedTable().Records[fmt.Sprint(token)]
	return found && c.machines[name].IsPrimary(c.now)
}

// Guards against a control plane that is stuck for good once the primary of an epoch
// without a backup has lost its disk (review/4).
func TestLossOfPrimaryInEpochWithoutBackup(t *testing.T) {
	Convey("If the primary loses its disk in an epoch without a backup, the former backup leads and serves all acknowledged writes", t, func() {
		c, bootstrap := newFormedCluster(3, "c1", "c2", "c3")
		primary, backup, witness := c.enterEpochWithoutBackup(bootstrap)
		c.up[primary] = false
		c.run(time.Second)
		c.startBlankNode(bootstrap, primary)
		c.restart(bootstrap, witness)
		c.runUntil(func() bool { return c.primary() == backup })
		c.expectRecovery(3, 1)
	})
	Convey("If the primary is down in an epoch without a backup, the former backup leads although the primary does not return", t, func() {
		c, bootstrap := newFormedCluster(3, "c1", "c2", "c3")
		primary, backup, witness := c.enterEpochWithoutBackup(bootstrap)
		c.up[primary] = false
		c.restart(bootstrap, witness)
		c.runUntil(func() bool { return c.primary() == backup })
		c.expectRecovery(3, 1)
	})
	Convey("If the backup has taken over and loses its disk before it has a backup, the former primary leads again", t, func() {
		c, bootstrap := newFormedCluster(3, "c1", "c2", "c3")
		So(c.submitAndCommit(1), ShouldBeTrue)
		primary, backup, witness := c.primary(), nodeByRole["backup"](c), c.witness()
		c.up[primary] = false
		c.onSend = func(_, to string, body any) {
			if _, isRepair := body.(RepairDigests); isRepair && to == witness {
				c.up[backup], c.up[witness] = false, false
			}
		}
		c.runUntil(func() bool { return !c.up[backup] })
		So(c.newestRecord().Primary, ShouldEqual, backup)
		So(c.hasNoBackup(), ShouldBeTrue)
		c.onSend = nil
		c.startBlankNode(bootstrap, backup)
		c.restart(bootstrap, primary)
		c.restart(bootstrap, witness)
		c.expectRecovery(3, 1)
	})
	Convey("If a voter is replaced in an epoch without a backup, the former backup keeps its vote and may still lead", t, func() {
		c, bootstrap := newFormedCluster(3, "c1", "c2", "c3")
		c.startBlankNode(bootstrap, "c4")
		primary, backup, witness := c.enterEpochWithoutBackup(bootstrap)
		c.runUntil(func() bool { return !c.newestRecord().Voters.Has(Member{Name: witness}) && c.newestRecord().Epoch > 2 })
		if c.hasNoBackup() {
			c.up[primary] = false
			c.startBlankNode(bootstrap, primary)
		}
		_, found := c.newestRecord().Voters.Find(backup)
		So(found, ShouldBeTrue)
		c.expectRecovery(3, 1)
	})
}

// Guards against a write that a restarted primary serves although the former backup,
// which may lead after it, lacks it.
func TestRestartInEpochWithoutBackup(t *testing.T) {
	Convey("A primary that restarts with a write that is on no other disk serves nothing until it has a backup", t, func() {
		c, bootstrap := newFormedCluster(3, "c1", "c2", "c3")
		primary, backup, witness := c.enterEpochWithoutBackup(bootstrap)
		c.restart(bootstrap, primary)
		for c.hasNoBackup() {
			So(c.primary(), ShouldBeEmpty)
			c.run(20 * time.Millisecond)
		}
		So(c.newestRecord(), ShouldResemble, Record{Epoch: c.newestRecord().Epoch, Primary: primary, Backup: backup, Voters: c.newestRecord().Voters})
		c.restart(bootstrap, witness)
		c.expectRecovery(3, 1, 2)
	})
}

// lossHistory plays random kills, restarts and losses of disks, and checks that whatever
// was acknowledged or served is served from then on.
type lossHistory struct {
	*cluster
	bootstrap func(string) BootstrapConfig
	random    *rand.Rand
	// lossRate is the share of messages that are lost.
	lossRate float64
	// losses is the number of disks lost since the cluster was last whole.
	losses    int
	maxLosses int
	token     uint64
	served    map[string]bool
}

// isWhole reports whether all nodes run, and the primary has a backup and voters that have
// their disks.
func (h *lossHistory) isWhole() bool {
	primary := h.primary()
	if primary == "" || len(h.upNodes()) < len(h.machines) {
		return false
	}
	record := h.machines[primary].Record()
	for _, name := range record.Voters.Names() {
		if !h.machines[name].IsMember() || h.machines[name].voterState.ReplicaIncomplete {
			return false
		}
	}
	return record.Backup != ""
}

func (h *lossHistory) check() {
	primary := h.primary()
	if primary == "" {
		return
	}
	records := h.machines[primary].CommittedTable().Records
	for key := range h.served {
		if _, found := records[key]; !found {
			SoMsg(primary+" does not serve "+key, found, ShouldBeTrue)
		}
	}
	for key := range records {
		h.served[key] = true
	}
}

// step plays one random event and runs the cluster for a short random time. In an epoch
// without a backup, it is often the primary that fails.
func (h *lossHistory) step() {
	names := slices.Sorted(maps.Keys(h.machines))
	name := names[h.random.IntN(len(names))]
	if newest := h.newestRecord(); newest.Backup == "" && h.random.IntN(2) == 0 {
		name = newest.Primary
	}
	events := []func(){
		func() { h.up[name] = false },
		func() { h.restart(h.bootstrap, name) },
		func() { h.restartAll() },
		func() { h.lose(name) },
		func() { h.token++; h.submit(h.token) },
	}
	events[h.random.IntN(len(events))]()
	h.lossRate = []float64{0, 0.1, 0.3}[h.random.IntN(3)]
	for range 1 + h.random.IntN(30) {
		h.run(20 * time.Millisecond)
		h.check()
	}
	if h.isWhole() {
		h.losses = 0
	}
}

func (h *lossHistory) restartAll() {
	for name, up := range h.up {
		if !up {
			h.restart(h.bootstrap, name)
		}
	}
}

// lose makes a node lose its disk, if the cluster must tolerate that now.
func (h *lossHistory) lose(name string) {
	if h.losses < h.maxLosses {
		h.losses++
		h.startBlankNode(h.bootstrap, name)
	}
}

// Guards against epochs after which no node may lead any more, and against writes that are
// lost with a disk, for each order of kills, restarts and losses.
func TestRandomLosses(t *testing.T) {
	shapes := []struct{ voters, standbys, maxLosses int }{{3, 0, 1}, {3, 1, 1}, {5, 0, 2}, {5, 1, 2}}
	const seedsPerShape, steps = 20, 40
	Convey("After any kills, restarts and losses of as many disks as are tolerated, the cluster serves and commits again, and nothing is lost", t, func() {
		for _, shape := range shapes {
			for seed := range uint64(seedsPerShape) {
				c, bootstrap := newFormedCluster(shape.voters, fiveNodes...)
				names := []string{"c1", "c2", "c3", "c4", "c5", "c6"}
				for i := range shape.standbys {
					c.startBlankNode(bootstrap, names[shape.voters+i])
				}
				c.run(time.Second)
				h := &lossHistory{cluster: c, bootstrap: bootstrap, random: rand.New(rand.NewPCG(seed, 0)), maxLosses: shape.maxLosses, served: map[string]bool{}}
				c.isLost = func() bool { return h.random.Float64() < h.lossRate }
				for range steps {
					h.step()
				}
				h.lossRate = 0
				h.restartAll()
				h.run(recoveryTime)
				SoMsg(fmt.Sprintf("shape %v, seed %d: primary, record %v", shape, seed, h.newestRecord()), h.primary(), ShouldNotBeEmpty)
				h.check()
				h.token++
				SoMsg(fmt.Sprintf("shape %v, seed %d: commits", shape, seed), h.submitAndCommit(h.token), ShouldBeTrue)
			}
		}
	})
}
