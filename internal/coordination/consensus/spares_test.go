package consensus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTwoReplicasLostAtOnce(t *testing.T) {
	Convey("When any two of five nodes lose their disks at once, acknowledged writes are kept and new writes are committed", t, func() {
		names := []string{"c1", "c2", "c3", "c4", "c5"}
		for i, first := range names {
			for _, second := range names[i+1:] {
				c, bootstrap := newFiveVoterCluster()
				c.submit(1)
				c.run(time.Second)
				So(c.results[1].Committed, ShouldBeTrue)
				c.wipeDisks(bootstrap, first, second)
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
	Convey("When the primary and the backup of five nodes lose their disks repeatedly, each time after the last repair, acknowledged writes are kept", t, func() {
		c, bootstrap := newFiveVoterCluster()
		for token := uint64(1); token < 5; token++ {
			c.submit(token)
			c.run(time.Second)
			So(c.results[token].Committed, ShouldBeTrue)
			record := c.machines[c.primary()].Record()
			c.wipeDisks(bootstrap, record.Primary, record.Backup)
			c.run(20 * time.Second)
			So(c.primary(), ShouldNotBeEmpty)
			for earlierToken := uint64(1); earlierToken <= token; earlierToken++ {
				So(c.replicasWith(earlierToken), ShouldBeGreaterThanOrEqualTo, 3)
			}
		}
	})
}
