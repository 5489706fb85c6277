package consensus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/store"
)

func TestCatchUpAfterManyChanges(t *testing.T) {
	const keys = 200
	// measureCatchUp makes a node miss the given number of changes. It returns the
	// number of bytes that are sent to the node until it is repaired, and how long the
	// repair takes.
	measureCatchUp := func(changes int, blankDisk bool) (size int, span time.Duration) {
		c, bootstrap := newFormedCluster(3, "c1", "c2", "c3")
		for number := range keys {
			c.submitChange(number, keys)
		}
		lost := c.machines[c.primary()].Record().Backup
		c.up[lost] = false
		c.run(4 * time.Second)
		for number := range changes {
			c.submitChange(number, keys)
		}
		So(c.results[uint64(1000+changes-1)].Committed, ShouldBeTrue)
		c.up[lost] = true
		if blankDisk {
			c.startBlankNode(bootstrap, lost)
		}
		c.onSend = func(_, to string, body any) {
			if ranges, ok := body.(RepairRanges); ok && to == lost {
				size += len(store.EncodePlain(ranges))
			}
		}
		start := c.now
		c.run(time.Second)
		So(c.machines[lost].IsPrimary(c.now), ShouldBeFalse)
		c.up[c.machines[c.primary()].Record().Backup] = false
		for c.now < start+20*time.Second && c.machines[c.primary()].Record().Backup != lost {
			c.submitChange(changes+keys, keys)
			c.run(20 * time.Millisecond)
		}
		So(c.machines[lost].ReplicaTable().Records, ShouldResemble, c.machines[c.primary()].ReplicaTable().Records)
		return size, c.now - start
	}
	Convey("The data sent to a node that missed changes is bounded by the size of the state, not by the number of changes, with or without its old disk, and the node has no role before it is repaired", t, func() {
		for _, blankDisk := range []bool{false, true} {
			baselineSize, _ := measureCatchUp(keys, blankDisk)
			for _, changes := range []int{1000, 4000} {
				size, span := measureCatchUp(changes, blankDisk)
				So(size, ShouldBeGreaterThan, 0)
				So(size, ShouldBeLessThan, 2*baselineSize)
				So(span, ShouldBeLessThan, catchUpTime+time.Second)
			}
		}
	})
	Convey("A node that missed a change of one of two hundred keys is sent one of the sixteen key ranges", t, func() {
		fullSize, _ := measureCatchUp(keys, false)
		oneChangeSize, _ := measureCatchUp(1, false)
		So(oneChangeSize, ShouldBeGreaterThan, 0)
		So(oneChangeSize, ShouldBeLessThan, fullSize/4)
	})
}
