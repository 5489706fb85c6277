package consensus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPlannedLeaving(t *testing.T) {
	leave := func(c *cluster, name string) time.Duration {
		start := c.now
		c.step(name, Leave{})
		for c.now < start+3*time.Second && !c.machines[name].MayStop() {
			c.run(20 * time.Millisecond)
		}
		c.up[name] = false
		return c.now - start
	}
	Convey("A node that shuts down hands over its role in less time than a failover takes, and acknowledged writes are on two disks besides its own", t, func() {
		for role, pick := range nodeByRole {
			c, _ := newFormedCluster(3, "c1", "c2", "c3")
			So(c.submitAndCommit(1), ShouldBeTrue)
			leaving := pick(c)
			So(leave(c, leaving), ShouldBeLessThan, 500*time.Millisecond)
			c.run(200 * time.Millisecond)
			SoMsg(role, c.primary(), ShouldNotBeEmpty)
			record := c.machines[c.primary()].Record()
			So(record.Backup, ShouldNotBeEmpty)
			So(record.Backup, ShouldNotEqual, leaving)
			So(c.machines[record.Backup].ReplicaTable().Records, ShouldContainKey, "1")
			So(c.submitAndCommit(2), ShouldBeTrue)
		}
	})
	Convey("If there is a standby, it replaces the leaving node as a voter", t, func() {
		for role, pick := range nodeByRole {
			c, bootstrap := newFormedCluster(3, "c1", "c2", "c3")
			c.startBlankNode(bootstrap, "n1")
			c.run(2 * time.Second)
			So(c.machines["n1"].IsMember(), ShouldBeFalse)
			leaving := pick(c)
			leave(c, leaving)
			c.run(time.Second)
			SoMsg(role, c.machines["n1"].IsMember(), ShouldBeTrue)
			So(c.machines[c.primary()].Record().Voters.Names(), ShouldNotContain, leaving)
			c.up[c.primary()] = false
			c.run(3 * time.Second)
			So(c.submitAndCommit(2), ShouldBeTrue)
		}
	})
	Convey("If a voter leaves while the backup is down, a standby replaces the leaving voter before it stops, and the backup can return with a blank disk", t, func() {
		c, bootstrap := newFormedCluster(3, "c1", "c2", "c3")
		So(c.submitAndCommit(1), ShouldBeTrue)
		c.startBlankNode(bootstrap, "n1")
		c.run(2 * time.Second)
		record, witness := c.machines[c.primary()].Record(), c.witness()
		c.up[record.Backup] = false
		c.run(100 * time.Millisecond)
		So(leave(c, witness), ShouldBeLessThan, 500*time.Millisecond)
		So(c.machines["n1"].IsMember(), ShouldBeTrue)
		c.startBlankNode(bootstrap, record.Backup)
		c.run(catchUpTime)
		So(c.submitAndCommit(2), ShouldBeTrue)
	})
	Convey("If there is no majority without a leaving voter, the voter does not stop until a standby arrives", t, func() {
		c, bootstrap := newFormedCluster(3, "c1", "c2", "c3")
		witness := c.witness()
		c.up[c.machines[c.primary()].Record().Backup] = false
		c.run(time.Second)
		c.step(witness, Leave{})
		c.run(time.Second)
		So(c.machines[witness].MayStop(), ShouldBeFalse)
		c.startBlankNode(bootstrap, "n1")
		c.run(time.Second)
		So(c.machines[witness].MayStop(), ShouldBeTrue)
		c.up[witness] = false
		c.run(time.Second)
		So(c.submitAndCommit(1), ShouldBeTrue)
	})
	Convey("A leaving backup is replaced by a voter that failed recently if there is no other voter", t, func() {
		c, _ := newFormedCluster(3, "c1", "c2", "c3")
		backup := c.machines[c.primary()].Record().Backup
		c.machines[c.primary()].tracker.excludedUntil[c.witness()] = c.now + time.Hour
		So(leave(c, backup), ShouldBeLessThan, time.Second)
		So(c.submitAndCommit(1), ShouldBeTrue)
	})
	Convey("When nodes are restarted in turn many times, writes are committed each time", t, func() {
		c, _ := newFormedCluster(3, "c1", "c2", "c3")
		for token := uint64(1); token < 20; token++ {
			leaving := c.upNodes()[int(token)%3]
			leave(c, leaving)
			SoMsg(leaving, c.submitAndCommit(token), ShouldBeTrue)
			c.machines[leaving].shutdown = shutdown{}
			c.up[leaving] = true
			c.run(time.Second)
		}
	})
	Convey("A node that is shutting down does not offer itself as a standby", t, func() {
		m := newBlankMachine("n1", time.Hour)
		m.Step(Received{From: "c2", Body: Status{Cluster: "x", Decided: Record{Epoch: 4, Primary: "c1", Voters: votersWithoutIncarnation(fiveNodes)}}}, time.Hour)
		m.Step(Leave{}, time.Hour)
		So(bodiesSent[Join](m.Step(Tick{WallNanos: 78}, 2*time.Hour)), ShouldBeEmpty)
		So(m.MayStop(), ShouldBeTrue)
	})
}
