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
	held, isHeld := c.counts.Load(name)
	if !isHeld {
		held, _ = c.counts.LoadOrStore(name, new(atomic.Int64))
	}
	held.(*atomic.Int64).Add(by)
}

// Read copies all counts.
func (c *Counters) Read() map[string]int64 {
	counts := map[string]int64{}
	c.counts.Range(func(name, held any) bool {
		counts[name.(string)] = held.(*atomic.Int64).Load()
		return true
	})
	return counts
}
