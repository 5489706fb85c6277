// Package worker is the one place where goroutines start, and holds the select
// loop and the bounded stage that everything else uses.
package worker

import (
	"sync"
	"sync/atomic"
	"time"
)

// Crew starts goroutines and waits for them at the end.
type Group struct {
	running   sync.WaitGroup
	stopping  chan struct{}
	stopOnce  sync.Once
	stopped   atomic.Bool
	startedAt time.Time
}

// NewCrew makes a crew whose clock starts now.
func NewGroup() *Group { return &Group{stopping: make(chan struct{}), startedAt: time.Now()} }

// Now is the monotonic time since the crew began, plus an hour, so that it
// never lies near zero.
func (c *Group) Now() time.Duration { return time.Since(c.startedAt) + time.Hour }

// Go starts work.
func (c *Group) Go(work func()) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		work()
	}()
}

// Stopping is closed when the crew is told to stop.
func (c *Group) Stopping() <-chan struct{} { return c.stopping }

// IsStopping says whether the crew was told to stop.
func (c *Group) IsStopping() bool { return c.stopped.Load() }

// Stop tells all loops and stages to end and waits for them, for a bound.
func (c *Group) Stop(timeout time.Duration) bool {
	c.stopOnce.Do(func() { c.stopped.Store(true); close(c.stopping) })
	done := make(chan struct{})
	go func() { c.running.Wait(); close(done) }()
	return Await(done, timeout)
}

// Await waits for a channel, for a bound.
func Await[T any](done <-chan T, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

// Loop runs queued work and a regular beat, one at a time, until the crew
// stops.
func (c *Group) Loop(queue <-chan func(), interval time.Duration, tick func()) {
	c.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-c.stopping:
				return
			case work := <-queue:
				work()
			case <-ticker.C:
				tick()
			}
		}
	})
}

// Stage is one step of a request's way: a bounded queue and its workers.
type Pool[T any] struct {
	Name  string
	queue chan T
	group *Group
}

// NewStage starts a stage.
func NewPool[T any](group *Group, name string, size, workers int, handle func(T)) *Pool[T] {
	s := &Pool[T]{Name: name, queue: make(chan T, size), group: group}
	for range workers {
		group.Go(func() {
			for {
				select {
				case <-group.stopping:
					return
				case item := <-s.queue:
					handle(item)
				}
			}
		})
	}
	return s
}

// Push waits for a place in the queue, for a bound: a full queue holds its
// callers back.
func (s *Pool[T]) Submit(item T, timeout time.Duration) bool {
	select {
	case s.queue <- item:
		return true
	default:
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case s.queue <- item:
		return true
	case <-timer.C:
		return false
	case <-s.group.stopping:
		return false
	}
}

// Offer puts an item in the queue if there is a place at once.
func (s *Pool[T]) TrySubmit(item T) bool {
	select {
	case s.queue <- item:
		return true
	default:
		return false
	}
}

// Depth is the number of items that wait.
func (s *Pool[T]) QueueLength() int { return len(s.queue) }

// Take receives a value unless another channel is ready first.
func Receive[T, U any](values <-chan T, cancel <-chan U) (T, bool) {
	select {
	case value := <-values:
		return value, true
	case <-cancel:
		var zero T
		return zero, false
	}
}

// Poll receives a value if there is one at once.
func TryReceive[T any](values <-chan T) (T, bool) {
	select {
	case value := <-values:
		return value, true
	default:
		var zero T
		return zero, false
	}
}

// Offer sends a value if there is room at once.
func TrySend[T any](values chan<- T, value T) bool {
	select {
	case values <- value:
		return true
	default:
		return false
	}
}
