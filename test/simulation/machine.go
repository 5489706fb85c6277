package simulation

import "time"

const (
	// wallClockEpoch is the wall time at virtual time zero, in Unix
	// nanoseconds.
	wallClockEpoch = 1_700_000_000_000_000_000
	// maxClockDrift is how much faster or slower a machine's clock may run.
	maxClockDrift    = 0.002
	maxWallClockSkew = 20 * time.Millisecond
	// vanishProbability is that of a crash after which the machine's peers
	// get no reset, as after a loss of power.
	vanishProbability = 0.4
)

// machine is what all simulated processes have: a clock of their own, and a
// life that ends with a crash and begins anew with a start.
type machine struct {
	simulator *simulator
	name      string
	zone      string
	running   bool
	// frozen machines run nothing, and catch up when they are thawed.
	frozen      bool
	freezeCount int
	// incarnation counts the crashes.
	incarnation int
	// deferred is the work that came while the machine was frozen.
	deferred      []func()
	clockDrift    float64
	wallClockSkew time.Duration
	// vanished says of a machine that is down that its peers get no reset.
	vanished     bool
	crashHandler func(vanished bool)
}

func newMachine(s *simulator, name string) machine {
	return machine{
		simulator: s, name: name, clockDrift: (s.random.Float64() - 0.5) * (2 * maxClockDrift),
		wallClockSkew: s.randomDuration(0, maxWallClockSkew),
	}
}

// newOperator gives the machine from which operators call.
func newOperator(s *simulator) *machine {
	return &machine{simulator: s, name: "operator", running: true}
}

// asMachine gives the machine of a process that is one.
func (m *machine) asMachine() *machine { return m }

// clock gives the machine's monotonic time.
func (m *machine) clock() time.Duration {
	return startTime + time.Duration(float64(m.simulator.now-startTime)*(1+m.clockDrift))
}

// wallClock gives the machine's wall time, in Unix nanoseconds.
func (m *machine) wallClock() int64 { return int64(m.simulator.now+m.wallClockSkew) + wallClockEpoch }

// markStarted makes the machine run, with nothing left of an earlier life.
func (m *machine) markStarted() { m.running, m.frozen, m.deferred = true, false, nil }

// after schedules work that a crash calls off.
func (m *machine) after(delay time.Duration, work func()) {
	incarnation := m.incarnation
	m.simulator.after(delay, func() { m.runDuring(incarnation, work) })
}

// runDuring runs work unless the incarnation that it is for has ended.
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

// attempt is one of a series of attempts, of which the next begins when this
// one ends.
type attempt struct {
	ended bool
	next  func()
}

// beginAttempt begins an attempt, which a time-out ends.
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

// crashAndRestart crashes a running machine, and starts it after a span where
// nothing else did.
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

// freezeFor freezes the machine for a span.
func (m *machine) freezeFor(duration time.Duration) {
	m.freeze()
	m.simulator.after(duration, m.thaw)
}
