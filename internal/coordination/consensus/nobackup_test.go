package consensus

import (
	"fmt"
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
