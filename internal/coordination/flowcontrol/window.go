package flowcontrol

import (
	"math"
	"time"
)

// Outcome says whether and how a statement's end counts as a latency of the instance.
type Outcome int

// Outcomes of a statement.
const (
	// Completed statements were run: their latency is observed.
	Completed Outcome = iota
	// Rejected ones came back at once without work: no latency is observed.
	Rejected
	// Lost ones never came back: their age is observed, as the threshold at
	// least, since a loss must not look fast.
	Lost
)

// roundingTolerance keeps a window that the arithmetic left a hair below a
// whole number from being rounded down by one.
const roundingTolerance = 1e-9

// Window bounds the statements that one node keeps in flight at one instance.
// It has no clock of its own and isn't safe for concurrent use.
type Window struct {
	parameters Parameters

	// size is w(t); averageLatency is CAL(t) in nanoseconds, 0 before the first
	// observation.
	size           float64
	averageLatency float64

	// inFlight counts statements that are waited for, abandoned those that no
	// one waits for but the instance may still be working on.
	inFlight  int
	abandoned int

	started      bool
	periodStart  time.Duration
	sampleCount  int
	latencySum   float64
	totalSamples uint64

	// wasFull says that the window was full at some time in this period.
	wasFull bool
}

// NewWindow returns the window of a new instance, at its initial size.
func NewWindow(parameters Parameters) *Window {
	w := &Window{parameters: parameters}
	w.size = w.initialSize()
	return w
}

func (w *Window) initialSize() float64 {
	return math.Min(w.parameters.InitialWindow, w.parameters.MaxWindow)
}

// Retune takes a changed weight or w_max; a window above w_max shrinks at once.
func (w *Window) Retune(beta, maxWindow float64) {
	w.parameters.Beta = beta
	w.parameters.MaxWindow = math.Max(maxWindow, w.parameters.MinWindow)
	w.size = math.Min(w.size, w.parameters.MaxWindow)
}

// Reset puts the window back to its initial size and forgets the latencies,
// for an instance that came back or changed role. Statements in flight keep
// their slots.
func (w *Window) Reset() {
	w.size = w.initialSize()
	w.averageLatency, w.sampleCount, w.latencySum = 0, 0, 0
}

// HasRoom reports whether one more statement may be sent.
func (w *Window) HasRoom() bool { return w.inFlight+w.abandoned < w.Size() }

// Available is how many more statements may be sent.
func (w *Window) Available() int { return max(w.Size()-w.inFlight-w.abandoned, 0) }

// Size is how many statements may be in flight: w(t) rounded down, MinWindow at
// least.
func (w *Window) Size() int {
	return int(math.Max(w.parameters.MinWindow, math.Floor(w.size+roundingTolerance)))
}

// Acquire takes a slot for a statement that is sent.
func (w *Window) Acquire() {
	w.inFlight++
	w.wasFull = w.wasFull || !w.HasRoom()
}

// Release gives back the slot of a statement that ended after a latency.
func (w *Window) Release(outcome Outcome, latency time.Duration) {
	w.inFlight = max(w.inFlight-1, 0)
	latencyObservers[outcome](w, latency)
}

// Abandon is for a statement that is given up on: its age counts as a lost
// one's, and it keeps its slot until ReleaseAbandoned, since the instance may
// still be working on it.
func (w *Window) Abandon(age time.Duration) {
	w.inFlight = max(w.inFlight-1, 0)
	w.abandoned++
	latencyObservers[Lost](w, age)
}

// ReleaseAbandoned gives back the slot of an abandoned statement: the instance
// has answered it, or its connection is closed.
func (w *Window) ReleaseAbandoned() { w.abandoned = max(w.abandoned-1, 0) }

var latencyObservers = map[Outcome]func(*Window, time.Duration){
	Completed: (*Window).observe,
	Rejected:  func(*Window, time.Duration) {},
	Lost:      func(w *Window, age time.Duration) { w.observe(max(age, w.parameters.LatencyThreshold)) },
}

func (w *Window) observe(latency time.Duration) {
	w.sampleCount++
	w.latencySum += float64(latency)
	w.totalSamples++
}

// Tick makes one step of the control law when a period has ended, and says
// whether it did. A period without observations leaves CAL and w as they were.
func (w *Window) Tick(now time.Duration) bool {
	if !w.started {
		w.periodStart, w.started = now, true
		return false
	}
	if now-w.periodStart < w.parameters.Period {
		return false
	}
	w.periodStart = now
	if w.sampleCount == 0 {
		return false
	}
	w.updateAverageLatency()
	w.updateSize()
	w.sampleCount, w.latencySum, w.wasFull = 0, 0, !w.HasRoom()
	return true
}

// updateAverageLatency is CAL(t) = (1-alpha) l + alpha CAL(t-1), where l is the
// mean latency of the period.
func (w *Window) updateAverageLatency() {
	periodLatency := w.latencySum / float64(w.sampleCount)
	if w.averageLatency == 0 {
		w.averageLatency = periodLatency
		return
	}
	w.averageLatency = (1-w.parameters.Alpha)*periodLatency + w.parameters.Alpha*w.averageLatency
}

// updateSize is w(t+1) = (1-gamma) w(t) + gamma (LAT_threshold/CAL(t) w(t) + beta).
// A window that was never full in the period doesn't grow, since its latency
// says nothing about a larger one.
func (w *Window) updateSize() {
	target := float64(w.parameters.LatencyThreshold)/w.averageLatency*w.size + w.parameters.Beta
	next := (1-w.parameters.Gamma)*w.size + w.parameters.Gamma*target
	if next > w.size && !w.wasFull {
		next = w.size
	}
	w.size = math.Min(math.Max(next, w.parameters.MinWindow), w.parameters.MaxWindow)
}

// Reading is what a window shows to operators, under the names of the API.
type Reading struct {
	// Size is w(t), not rounded, AverageLatency is CAL(t).
	Size             float64       `json:"window"`
	AverageLatency   time.Duration `json:"cal_ns"`
	LatencyThreshold time.Duration `json:"threshold_ns"`
	InFlight         int           `json:"open"`
	Abandoned        int           `json:"ghosts"`
	// TotalSamples counts the latencies observed since the window was made.
	TotalSamples uint64  `json:"seen"`
	Beta         float64 `json:"beta"`
	MaxWindow    float64 `json:"max"`
}

// Reading returns the present state.
func (w *Window) Reading() Reading {
	return Reading{
		Size:             w.size,
		AverageLatency:   time.Duration(w.averageLatency),
		LatencyThreshold: w.parameters.LatencyThreshold,
		InFlight:         w.inFlight,
		Abandoned:        w.abandoned,
		TotalSamples:     w.totalSamples,
		Beta:             w.parameters.Beta,
		MaxWindow:        w.parameters.MaxWindow,
	}
}
