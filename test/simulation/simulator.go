// Package simulation runs a whole fleet in one thread under a virtual clock: the
// product's own coordination and state code on simulated links, disks,
// clocks and instances. The same seed gives the same history.
package simulation

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"hash"
	"math/rand/v2"
	"time"
)

type scheduledEvent struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue []scheduledEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].order < a[j].order)
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(scheduledEvent)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

type simulator struct {
	now          time.Duration
	queue        eventQueue
	lastOrder    uint64
	random       *rand.Rand
	blockedLinks map[[2]string]bool
	lossRate     float64
	extraDelay   time.Duration
	trace        hash.Hash
	log          func(format string, parts ...any)
}

func newSimulator(seed uint64) *simulator {
	return &simulator{
		now: time.Hour, random: rand.New(rand.NewPCG(seed, 0x5ea7)), blockedLinks: map[[2]string]bool{}, trace: sha256.New(),
		log: func(string, ...any) {},
	}
}

func (w *simulator) record(format string, parts ...any) {
	line := fmt.Sprintf("%9.3f ", (w.now-time.Hour).Seconds()*1000) + fmt.Sprintf(format, parts...)
	_, _ = w.trace.Write([]byte(line + "\n"))
	w.log("%s", line)
}

func (w *simulator) after(span time.Duration, act func()) {
	w.lastOrder++
	heap.Push(&w.queue, scheduledEvent{at: w.now + span, order: w.lastOrder, run: act})
}

func (w *simulator) runUntil(end time.Duration) {
	for w.queue.Len() > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(scheduledEvent)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *simulator) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

func (w *simulator) chance(part float64) bool { return w.random.Float64() < part }

type machine struct {
	simulator     *simulator
	name          string
	running       bool
	frozen        bool
	incarnation   int
	deferred      []func()
	clockDrift    float64
	wallClockSkew time.Duration
	zone          string
	vanished      bool
	crashHandler  func(vanished bool)
	freezeCount   int
}

func (m *machine) clock() time.Duration {
	return time.Hour + time.Duration(float64(m.simulator.now-time.Hour)*(1+m.clockDrift))
}

func (m *machine) wallClock() int64 { return int64(m.simulator.now+m.wallClockSkew) + wallClockEpoch }

const wallClockEpoch = 1_700_000_000_000_000_000

func (m *machine) after(span time.Duration, work func()) {
	life := m.incarnation
	m.simulator.after(span, func() { m.runDuring(life, work) })
}

func (m *machine) runDuring(life int, work func()) {
	if !m.running || m.incarnation != life {
		return
	}
	if m.frozen {
		m.deferred = append(m.deferred, func() { m.runDuring(life, work) })
		return
	}
	work()
}

func (m *machine) crash() {
	m.running, m.frozen, m.deferred = false, false, nil
	m.incarnation++
	m.vanished = m.simulator.chance(0.4)
	m.simulator.record("%s down, vanished %v", m.name, m.vanished)
	if m.crashHandler != nil {
		m.crashHandler(m.vanished)
	}
}

func (m *machine) freeze() {
	if m.running {
		m.frozen = true
		m.freezeCount++
		m.simulator.record("%s frozen", m.name)
	}
}

func (m *machine) thaw() {
	if !m.frozen {
		return
	}
	m.frozen = false
	m.simulator.record("%s thawed", m.name)
	backlog := m.deferred
	m.deferred = nil
	for _, work := range backlog {
		work()
	}
}

func (w *simulator) sendReliable(from, to *machine, act func()) {
	trip := w.randomDuration(200*time.Microsecond, 2500*time.Microsecond)
	if w.lossRate > 0 && w.chance(w.lossRate) {
		trip += w.randomDuration(200*time.Millisecond, 400*time.Millisecond)
	}
	life := to.incarnation
	w.after(trip, func() { to.runDuring(life, act) })
}

func (w *simulator) send(from, to *machine, act func()) {
	if !from.running {
		return
	}
	if w.blockedLinks[[2]string{from.name, to.name}] || (w.lossRate > 0 && w.chance(w.lossRate)) {
		return
	}
	life := to.incarnation
	w.after(w.extraDelay+w.randomDuration(200*time.Microsecond, 2500*time.Microsecond), func() { to.runDuring(life, act) })
}
