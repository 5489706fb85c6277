package worker

import "time"

// Pool is a bounded queue with a fixed number of workers.
type Pool[T any] struct {
	Name  string
	queue chan T
	group *Group
}

// NewPool starts a pool with the given number of workers and a queue for size items.
// The workers pass each item to handle.
func NewPool[T any](group *Group, name string, size, workers int, handle func(T)) *Pool[T] {
	p := &Pool[T]{Name: name, queue: make(chan T, size), group: group}
	for range workers {
		group.Go(func() { p.work(handle) })
	}
	return p
}

func (p *Pool[T]) work(handle func(T)) {
	for {
		select {
		case <-p.group.stopping:
			return
		case item := <-p.queue:
			handle(item)
		}
	}
}

// Submit queues an item. While the queue is full, Submit blocks for up to timeout,
// which puts back-pressure on the caller. It reports whether the item was queued.
func (p *Pool[T]) Submit(item T, timeout time.Duration) bool {
	if p.TrySubmit(item) {
		return true
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case p.queue <- item:
		return true
	case <-timer.C:
		return false
	case <-p.group.stopping:
		return false
	}
}

// TrySubmit queues an item without blocking. It returns false if the queue has no room.
func (p *Pool[T]) TrySubmit(item T) bool { return TrySend(p.queue, item) }

// QueueLength returns the number of queued items.
func (p *Pool[T]) QueueLength() int { return len(p.queue) }
