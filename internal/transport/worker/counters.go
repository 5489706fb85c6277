package worker

import (
	"sync"
	"sync/atomic"
)

// Counters are the program's named counts.
type Counters struct {
	counts sync.Map
}

// Add raises a count.
func (c *Counters) Add(name string, by int64) {
	counter, found := c.counts.Load(name)
	if !found {
		counter, _ = c.counts.LoadOrStore(name, new(atomic.Int64))
	}
	counter.(*atomic.Int64).Add(by)
}

// Read copies all counts.
func (c *Counters) Snapshot() map[string]int64 {
	counts := map[string]int64{}
	c.counts.Range(func(name, counter any) bool {
		counts[name.(string)] = counter.(*atomic.Int64).Load()
		return true
	})
	return counts
}
