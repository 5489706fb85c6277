package simulation

import (
	"time"

	"tansyseam/internal/coordination/consensus"
)

const (
	minSyncTime         = 300 * time.Microsecond
	maxSyncTime         = 6 * time.Millisecond
	minCrashedTime      = 200 * time.Millisecond
	maxCrashedTime      = 3 * time.Second
	maxWritesUntilCrash = 6
)

// startWrite begins the gate's next disk task, if one is due.
func (c *controlServer) startWrite() {
	task, due := c.gate.Next(c.clock())
	if !due {
		return
	}
	if c.crashesBeforeWrite() {
		c.crashAndRestart(c.start, c.simulator.randomDuration(minCrashedTime, maxCrashedTime))
		return
	}
	c.after(c.disk.writeDelay+c.simulator.randomDuration(minSyncTime, maxSyncTime), func() { c.finishWrite(task) })
}

func (c *controlServer) crashesBeforeWrite() bool {
	if c.writesUntilCrash == 0 {
		return false
	}
	c.writesUntilCrash--
	return c.writesUntilCrash == 0
}

func (c *controlServer) finishWrite(task consensus.Effect) {
	if c.simulator.now < c.disk.hangsUntil {
		c.after(c.disk.hangsUntil-c.simulator.now, func() { c.finishWrite(task) })
		return
	}
	err := consensus.RunDiskTask(c.store, task)
	if err != nil {
		c.simulator.record("%s disk write failed: %v", c.name, err)
	}
	c.applyEffects(c.gate.Done(err == nil, c.clock()))
}
