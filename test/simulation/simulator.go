package simulation

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"hash"
	"math/rand/v2"
	"time"
)

// startTime is the virtual time at which each run begins. It is not zero, so that
// code that subtracts durations from the time does not get negative times.
const startTime = time.Hour

// randomStream separates the random numbers of the simulator from those of its
// callers and clients, which are drawn from the same seed.
const randomStream = 0x5ea7

type scheduledEvent struct {
	at time.Duration
	// order breaks ties. Events with the same time run in the order in which they
	// were scheduled.
	order uint64
	run   func()
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(event any) { *q = append(*q, event.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulator holds the virtual clock, the queue of events, the random numbers and
// the state of the network. All machines of a run share it.
type simulator struct {
	now       time.Duration
	queue     eventQueue
	lastOrder uint64
	random    *rand.Rand
	network   network
	// trace is the digest of the history so far.
	trace hash.Hash
	log   func(format string, args ...any)
}

func newSimulator(seed uint64) *simulator {
	return &simulator{
		now: startTime, random: rand.New(rand.NewPCG(seed, randomStream)), network: newNetwork(), trace: sha256.New(),
		log: func(string, ...any) {},
	}
}

// record adds a line with the current virtual time to the history. In the digest,
// the line has its earlierTexts.
func (s *simulator) record(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", sinceStartMS(s.now)) + fmt.Sprintf(format, args...)
	_, _ = earlierTexts.WriteString(s.trace, line+"\n")
	s.log("%s", line)
}

func (s *simulator) historyDigest() string { return fmt.Sprintf("%x", s.trace.Sum(nil)) }

// sinceStartMS returns a virtual time in milliseconds since the start of the run.
func sinceStartMS(at time.Duration) float64 { return (at - startTime).Seconds() * 1000 }

// after schedules an event after a delay.
func (s *simulator) after(delay time.Duration, run func()) {
	s.lastOrder++
	heap.Push(&s.queue, scheduledEvent{at: s.now + delay, order: s.lastOrder, run: run})
}

// runUntil runs all events up to and including the time end, and sets the clock to
// it.
func (s *simulator) runUntil(end time.Duration) {
	for s.queue.Len() > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(scheduledEvent)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// randomDuration returns a uniformly random duration from low to high, both
// included.
func (s *simulator) randomDuration(low, high time.Duration) time.Duration {
	return drawDuration(s.random, low, high)
}

// chance returns true with the given probability.
func (s *simulator) chance(probability float64) bool { return s.random.Float64() < probability }

func drawDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)+1))
}

// pickRandom returns a random element of a list.
func pickRandom[T any](s *simulator, list []T) T { return list[s.random.IntN(len(list))] }

// once returns a function that calls act on its first call only.
func once(act func()) func() {
	called := false
	return func() {
		if !called {
			called = true
			act()
		}
	}
}
