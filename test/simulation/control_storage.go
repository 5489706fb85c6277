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

// startWrite begins the next write that the gate asks for, if any.
func (c *controlServer) startWrite() {
	write, due := c.gate.Next(c.clock())
	if !due {
		return
	}
	if c.crashesBeforeWrite() {
		c.crashAndRestart(c.start, c.simulator.randomDuration(minCrashedTime, maxCrashedTime))
		return
	}
	c.after(c.disk.writeDelay+c.simulator.randomDuration(minSyncTime, maxSyncTime), func() { c.finishWrite(write) })
}

func (c *controlServer) crashesBeforeWrite() bool {
	if c.writesUntilCrash == 0 {
		return false
	}
	c.writesUntilCrash--
	return c.writesUntilCrash == 0
}

func (c *controlServer) finishWrite(write consensus.Effect) {
	if c.simulator.now < c.disk.hangsUntil {
		c.after(c.disk.hangsUntil-c.simulator.now, func() { c.finishWrite(write) })
		return
	}
	err := c.writeFile(write)
	if err != nil {
		c.simulator.record("%s is refused: %v", c.name, err)
	}
	c.applyEffects(c.gate.Done(err == nil, c.clock()))
}

// writeFile saves a version of a file; the gate's other kind of write removes
// the corrupt files.
func (c *controlServer) writeFile(write consensus.Effect) error {
	if save, ok := write.(consensus.Save); ok {
		return c.store.Put(save.Kind, save.Sequence, save.Data)
	}
	for _, kind := range consensus.FileKinds() {
		if err := c.store.RemoveCorrupt(kind); err != nil {
			return err
		}
	}
	return nil
}
