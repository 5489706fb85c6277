package simulation

import "time"

const (
	// wallClockEpoch is the wall time at virtual time zero, in Unix
	// nanoseconds.
	wallClockEpoch = 1_700_000_000_000_000_000
	// maxClockDrift is the maximum relative drift of a machine's monotonic clock
	// in either direction.
	maxClockDrift    = 0.002
	maxWallClockSkew = 20 * time.Millisecond
	// vanishProbability is the probability that the peers of a crashed machine
	// receive no reset, as after a loss of power.
	vanishProbability = 0.4
)

// machine is the state that all simulated processes have. It has its own clock,
// and runs from a start to a crash, after which it can be started again.
type machine struct {
	simulator *simulator
	name      string
	zone      string
	running   bool
	// frozen is true if the machine is suspended. It runs the deferred work when
	// it is thawed.
	frozen      bool
	freezeCount int
	// incarnation is the number of crashes so far.
	incarnation int
	// deferred is the work that became due while the machine was frozen.
	deferred      []func()
	clockDrift    float64
	wallClockSkew time.Duration
	// vanished is true if the machine crashed without a reset to its peers.
	vanished     bool
	crashHandler func(vanished bool)
}

func newMachine(s *simulator, name string) machine {
	return machine{
		simulator: s, name: name, clockDrift: (s.random.Float64() - 0.5) * (2 * maxClockDrift),
		wallClockSkew: s.randomDuration(0, maxWallClockSkew),
	}
}

// newOperator returns the machine from which operators send their calls.
func newOperator(s *simulator) *machine {
	return &machine{simulator: s, name: "operator", running: true}
}

// asMachine returns the machine itself, for processes that embed one.
func (m *machine) asMachine() *machine { return m }

// clock returns the machine's monotonic time.
func (m *machine) clock() time.Duration {
	return startTime + time.Duration(float64(m.simulator.now-startTime)*(1+m.clockDrift))
}

// wallClock returns the machine's wall time, in Unix nanoseconds.
func (m *machine) wallClock() int64 { return int64(m.simulator.now+m.wallClockSkew) + wallClockEpoch }

// markStarted marks the machine as running, and drops the deferred work of earlier
// incarnations.
func (m *machine) markStarted() { m.running, m.frozen, m.deferred = true, false, nil }

// after schedules work after a delay. A crash of the machine cancels it.
func (m *machine) after(delay time.Duration, work func()) {
	incarnation := m.incarnation
	m.simulator.after(delay, func() { m.runDuring(incarnation, work) })
}

// runDuring runs work if the machine still runs in the given incarnation. If the
// machine is frozen, the work is deferred.
func (m *machine) runDuring(incarnation int, work func()) {
	if !m.running || m.incarnation != incarnation {
		return
	}
	if m.frozen {
		m.deferred = append(m.deferred, func() { m.runDuring(incarnation, work) })
		return
	}
	work()
}

// attempt is an attempt in a series. The next attempt begins when this one ends.
type attempt struct {
	ended bool
	next  func()
}

// beginAttempt begins an attempt that ends at the latest after the time-out.
func (m *machine) beginAttempt(timeout time.Duration, next func()) *attempt {
	begun := &attempt{next: next}
	m.after(timeout, begun.end)
	return begun
}

func (a *attempt) end() {
	if !a.ended {
		a.ended = true
		a.next()
	}
}

func (m *machine) crash() {
	m.running, m.frozen, m.deferred = false, false, nil
	m.incarnation++
	m.vanished = m.simulator.chance(vanishProbability)
	m.simulator.record("%s down, vanished %v", m.name, m.vanished)
	if m.crashHandler != nil {
		m.crashHandler(m.vanished)
	}
}

// crashAndRestart crashes a running machine, and starts it after the duration
// unless it was started before.
func (m *machine) crashAndRestart(start func(), duration time.Duration) {
	if !m.running {
		return
	}
	m.crash()
	m.simulator.after(duration, func() { m.ensureRunning(start) })
}

func (m *machine) ensureRunning(start func()) {
	if !m.running {
		start()
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
	deferred := m.deferred
	m.deferred = nil
	for _, work := range deferred {
		work()
	}
}

// freezeFor freezes the machine for the duration.
func (m *machine) freezeFor(duration time.Duration) {
	m.freeze()
	m.simulator.after(duration, m.thaw)
}
