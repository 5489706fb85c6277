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

type item struct {
	at   time.Duration
	rank uint64
	act  func()
}

type agenda []item

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].rank < a[j].rank)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(item)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

type world struct {
	now    time.Duration
	agenda agenda
	rank   uint64
	random *rand.Rand
	cuts   map[[2]string]bool
	drop   float64
	lag    time.Duration
	trace  hash.Hash
	log    func(format string, parts ...any)
}

func newWorld(seed uint64) *world {
	return &world{
		now: time.Hour, random: rand.New(rand.NewPCG(seed, 0x5ea7)), cuts: map[[2]string]bool{}, trace: sha256.New(),
		log: func(string, ...any) {},
	}
}

func (w *world) note(format string, parts ...any) {
	line := fmt.Sprintf("%9.3f ", (w.now-time.Hour).Seconds()*1000) + fmt.Sprintf(format, parts...)
	_, _ = w.trace.Write([]byte(line + "\n"))
	w.log("%s", line)
}

func (w *world) after(span time.Duration, act func()) {
	w.rank++
	heap.Push(&w.agenda, item{at: w.now + span, rank: w.rank, act: act})
}

func (w *world) runUntil(end time.Duration) {
	for w.agenda.Len() > 0 && w.agenda[0].at <= end {
		next := heap.Pop(&w.agenda).(item)
		w.now = next.at
		next.act()
	}
	w.now = end
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

func (w *world) chance(part float64) bool { return w.random.Float64() < part }

type machine struct {
	world      *world
	name       string
	isUp       bool
	isFrozen   bool
	life       int
	backlog    []func()
	drift      float64
	skew       time.Duration
	zone       string
	isVanished bool
	crashed    func(isVanished bool)
	freezes    int
}

func (m *machine) clock() time.Duration {
	return time.Hour + time.Duration(float64(m.world.now-time.Hour)*(1+m.drift))
}

func (m *machine) wall() int64 { return int64(m.world.now+m.skew) + wallBase }

const wallBase = 1_700_000_000_000_000_000

func (m *machine) do(span time.Duration, work func()) {
	life := m.life
	m.world.after(span, func() { m.enter(life, work) })
}

func (m *machine) enter(life int, work func()) {
	if !m.isUp || m.life != life {
		return
	}
	if m.isFrozen {
		m.backlog = append(m.backlog, func() { m.enter(life, work) })
		return
	}
	work()
}

func (m *machine) crash() {
	m.isUp, m.isFrozen, m.backlog = false, false, nil
	m.life++
	m.isVanished = m.world.chance(0.4)
	m.world.note("%s down, vanished %v", m.name, m.isVanished)
	if m.crashed != nil {
		m.crashed(m.isVanished)
	}
}

func (m *machine) freeze() {
	if m.isUp {
		m.isFrozen = true
		m.freezes++
		m.world.note("%s frozen", m.name)
	}
}

func (m *machine) thaw() {
	if !m.isFrozen {
		return
	}
	m.isFrozen = false
	m.world.note("%s thawed", m.name)
	backlog := m.backlog
	m.backlog = nil
	for _, work := range backlog {
		work()
	}
}

func (w *world) stream(from, to *machine, act func()) {
	trip := w.between(200*time.Microsecond, 2500*time.Microsecond)
	if w.drop > 0 && w.chance(w.drop) {
		trip += w.between(200*time.Millisecond, 400*time.Millisecond)
	}
	life := to.life
	w.after(trip, func() { to.enter(life, act) })
}

func (w *world) send(from, to *machine, act func()) {
	if !from.isUp {
		return
	}
	if w.cuts[[2]string{from.name, to.name}] || (w.drop > 0 && w.chance(w.drop)) {
		return
	}
	life := to.life
	w.after(w.lag+w.between(200*time.Microsecond, 2500*time.Microsecond), func() { to.enter(life, act) })
}
