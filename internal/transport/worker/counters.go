package worker

import (
	"sync"
	"sync/atomic"
)

// Counters are the named counters of a program. They are safe for concurrent use.
type Counters struct {
	counts sync.Map
}

// Add adds delta to a counter. A counter starts at 0.
func (c *Counters) Add(name string, delta int64) {
	counter, found := c.counts.Load(name)
	if !found {
		counter, _ = c.counts.LoadOrStore(name, new(atomic.Int64))
	}
	counter.(*atomic.Int64).Add(delta)
}

// Snapshot returns the values of all counters by name.
func (c *Counters) Snapshot() map[string]int64 {
	counts := map[string]int64{}
	c.counts.Range(func(name, counter any) bool {
		counts[name.(string)] = counter.(*atomic.Int64).Load()
		return true
	})
	return counts
}
