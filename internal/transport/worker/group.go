// Package worker starts all goroutines of the programs. It provides groups of
// goroutines that can be stopped, worker pools with bounded queues, operations on
// channels, and counters.
package worker

import (
	"sync"
	"sync/atomic"
	"time"
)

// clockOffset is the time of a group's clock at its start. All times are far from zero,
// so that the zero value is always a time in the distant past.
const clockOffset = time.Hour

// Group starts goroutines and stops them together.
type Group struct {
	running   sync.WaitGroup
	stopping  chan struct{}
	stopOnce  sync.Once
	stopped   atomic.Bool
	startedAt time.Time
}

// NewGroup returns a group whose clock starts now.
func NewGroup() *Group { return &Group{stopping: make(chan struct{}), startedAt: time.Now()} }

// Now returns the group's monotonic time, which is at least clockOffset.
func (g *Group) Now() time.Duration { return time.Since(g.startedAt) + clockOffset }

// Go runs work in a goroutine.
func (g *Group) Go(work func()) {
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		work()
	}()
}

// Stopping returns a channel that is closed when Stop is called.
func (g *Group) Stopping() <-chan struct{} { return g.stopping }

// IsStopping reports whether Stop was called.
func (g *Group) IsStopping() bool { return g.stopped.Load() }

// Stop ends all loops and pools and waits for all goroutines. It reports whether all
// goroutines ended within timeout.
func (g *Group) Stop(timeout time.Duration) bool {
	g.stopOnce.Do(func() {
		g.stopped.Store(true)
		close(g.stopping)
	})
	done := make(chan struct{})
	go func() {
		g.running.Wait()
		close(done)
	}()
	return Await(done, timeout)
}

// Loop starts a goroutine that runs the functions from queue, and tick at each
// interval, one at a time until the group stops. The queue may be nil.
func (g *Group) Loop(queue <-chan func(), interval time.Duration, tick func()) {
	g.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-g.stopping:
				return
			case work := <-queue:
				work()
			case <-ticker.C:
				tick()
			}
		}
	})
}
