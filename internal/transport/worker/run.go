// Package worker is the one place where goroutines start, and holds the select
// loop and the bounded stage that everything else uses.
package worker

import (
	"sync"
	"sync/atomic"
	"time"
)

// Crew starts goroutines and waits for them at the end.
type Crew struct {
	group  sync.WaitGroup
	stop   chan struct{}
	once   sync.Once
	isOver atomic.Bool
	began  time.Time
}

// NewCrew makes a crew whose clock starts now.
func NewCrew() *Crew { return &Crew{stop: make(chan struct{}), began: time.Now()} }

// Now is the monotonic time since the crew began, plus an hour, so that it
// never lies near zero.
func (c *Crew) Now() time.Duration { return time.Since(c.began) + time.Hour }

// Go starts work.
func (c *Crew) Go(work func()) {
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		work()
	}()
}

// Stopping is closed when the crew is told to stop.
func (c *Crew) Stopping() <-chan struct{} { return c.stop }

// IsStopping says whether the crew was told to stop.
func (c *Crew) IsStopping() bool { return c.isOver.Load() }

// Stop tells all loops and stages to end and waits for them, for a bound.
func (c *Crew) Stop(bound time.Duration) bool {
	c.once.Do(func() { c.isOver.Store(true); close(c.stop) })
	done := make(chan struct{})
	go func() { c.group.Wait(); close(done) }()
	return Await(done, bound)
}

// Await waits for a channel, for a bound.
func Await[T any](done <-chan T, bound time.Duration) bool {
	timer := time.NewTimer(bound)
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
func (c *Crew) Loop(queue <-chan func(), every time.Duration, beat func()) {
	c.Go(func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			select {
			case <-c.stop:
				return
			case work := <-queue:
				work()
			case <-ticker.C:
				beat()
			}
		}
	})
}

// Stage is one step of a request's way: a bounded queue and its workers.
type Stage[T any] struct {
	Name  string
	queue chan T
	crew  *Crew
}

// NewStage starts a stage.
func NewStage[T any](crew *Crew, name string, size, workers int, act func(T)) *Stage[T] {
	s := &Stage[T]{Name: name, queue: make(chan T, size), crew: crew}
	for range workers {
		crew.Go(func() {
			for {
				select {
				case <-crew.stop:
					return
				case item := <-s.queue:
					act(item)
				}
			}
		})
	}
	return s
}

// Push waits for a place in the queue, for a bound: a full queue holds its
// callers back.
func (s *Stage[T]) Push(item T, bound time.Duration) bool {
	select {
	case s.queue <- item:
		return true
	default:
	}
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case s.queue <- item:
		return true
	case <-timer.C:
		return false
	case <-s.crew.stop:
		return false
	}
}

// Offer puts an item in the queue if there is a place at once.
func (s *Stage[T]) Offer(item T) bool {
	select {
	case s.queue <- item:
		return true
	default:
		return false
	}
}

// Depth is the number of items that wait.
func (s *Stage[T]) Depth() int { return len(s.queue) }

// Take receives a value unless another channel is ready first.
func Take[T, U any](values <-chan T, over <-chan U) (T, bool) {
	select {
	case value := <-values:
		return value, true
	case <-over:
		var none T
		return none, false
	}
}

// Poll receives a value if there is one at once.
func Poll[T any](values <-chan T) (T, bool) {
	select {
	case value := <-values:
		return value, true
	default:
		var none T
		return none, false
	}
}

// Offer sends a value if there is room at once.
func Offer[T any](values chan<- T, value T) bool {
	select {
	case values <- value:
		return true
	default:
		return false
	}
}
