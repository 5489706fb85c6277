package flowcontrol

import (
	"math"
	"time"
)

// Outcome is the way in which a statement ended. It determines which latency, if
// any, the window observes.
type Outcome int

// Outcomes of a statement.
const (
	// Completed means that the instance ran the statement. Its latency is observed.
	Completed Outcome = iota
	// Rejected means that the statement ended at once without being run. No latency
	// is observed.
	Rejected
	// Lost means that the statement was never answered. Its age is observed as a
	// latency of at least LatencyThreshold, since a lost statement must not count
	// as a fast one.
	Lost
)

// roundingTolerance prevents a window that is just below a whole number, because
// of floating-point error, from being rounded down to the next lower number.
const roundingTolerance = 1e-9

// Window limits the statements that one node keeps in flight at one instance.
// It has no clock of its own and is not safe for concurrent use.
type Window struct {
	parameters Parameters

	// size is w(t). averageLatency is CAL(t) in nanoseconds; it is 0 before the
	// first observation.
	size           float64
	averageLatency float64

	// inFlight counts the statements whose answers are awaited. abandoned counts
	// the statements whose answers are no longer awaited, but which the instance
	// may still be running.
	inFlight  int
	abandoned int

	started      bool
	periodStart  time.Duration
	sampleCount  int
	latencySum   float64
	totalSamples uint64

	// wasFull is true if the window was full at any time in this period.
	wasFull bool
}

// NewWindow returns the window of a new instance, with its initial size.
func NewWindow(parameters Parameters) *Window {
	w := &Window{parameters: parameters}
	w.size = w.initialSize()
	return w
}

func (w *Window) initialSize() float64 {
	return math.Min(w.parameters.InitialWindow, w.parameters.MaxWindow)
}

// Retune sets the weight and w_max. A window larger than w_max shrinks at once.
func (w *Window) Retune(beta, maxWindow float64) {
	w.parameters.Beta = beta
	w.parameters.MaxWindow = math.Max(maxWindow, w.parameters.MinWindow)
	w.size = math.Min(w.size, w.parameters.MaxWindow)
}

// Reset restores the initial size of the window and discards the observed
// latencies. It is called for an instance that has returned or changed its role.
// Statements in flight keep their slots.
func (w *Window) Reset() {
	w.size = w.initialSize()
	w.averageLatency, w.sampleCount, w.latencySum = 0, 0, 0
}

// HasRoom reports whether one more statement may be sent.
func (w *Window) HasRoom() bool { return w.inFlight+w.abandoned < w.Size() }

// Available returns the number of statements that may still be sent.
func (w *Window) Available() int { return max(w.Size()-w.inFlight-w.abandoned, 0) }

// Size returns the number of statements that may be in flight: w(t) rounded down,
// but at least MinWindow.
func (w *Window) Size() int {
	return int(math.Max(w.parameters.MinWindow, math.Floor(w.size+roundingTolerance)))
}

// Acquire takes a slot for a statement that is being sent.
func (w *Window) Acquire() {
	w.inFlight++
	w.wasFull = w.wasFull || !w.HasRoom()
}

// Release frees the slot of a statement that ended with an outcome after a
// latency.
func (w *Window) Release(outcome Outcome, latency time.Duration) {
	w.inFlight = max(w.inFlight-1, 0)
	latencyObservers[outcome](w, latency)
}

// Abandon records that the answer to a statement is no longer awaited. The
// statement's age is observed like that of a lost statement. The statement keeps
// its slot until ReleaseAbandoned, since the instance may still be running it.
func (w *Window) Abandon(age time.Duration) {
	w.inFlight = max(w.inFlight-1, 0)
	w.abandoned++
	latencyObservers[Lost](w, age)
}

// ReleaseAbandoned frees the slot of an abandoned statement, when the instance has
// answered it or its connection is closed.
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

// Tick performs one step of the control law if a period has ended, and reports
// whether it did. A period without observations leaves CAL and w unchanged.
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

// updateAverageLatency computes CAL(t) = (1-alpha) l + alpha CAL(t-1), where l is
// the mean latency of the period.
func (w *Window) updateAverageLatency() {
	periodLatency := w.latencySum / float64(w.sampleCount)
	if w.averageLatency == 0 {
		w.averageLatency = periodLatency
		return
	}
	w.averageLatency = (1-w.parameters.Alpha)*periodLatency + w.parameters.Alpha*w.averageLatency
}

// updateSize computes
// w(t+1) = (1-gamma) w(t) + gamma (LAT_threshold/CAL(t) w(t) + beta).
// A window that was never full in the period does not grow, since its latency does
// not show how the instance would respond to a larger window.
func (w *Window) updateSize() {
	target := float64(w.parameters.LatencyThreshold)/w.averageLatency*w.size + w.parameters.Beta
	next := (1-w.parameters.Gamma)*w.size + w.parameters.Gamma*target
	if next > w.size && !w.wasFull {
		next = w.size
	}
	w.size = math.Min(math.Max(next, w.parameters.MinWindow), w.parameters.MaxWindow)
}

// Reading is the state of a window that operators see, under the names of the API.
type Reading struct {
	// Size is w(t) without rounding. AverageLatency is CAL(t).
	Size             float64       `json:"window"`
	AverageLatency   time.Duration `json:"cal_ns"`
	LatencyThreshold time.Duration `json:"threshold_ns"`
	InFlight         int           `json:"open"`
	Abandoned        int           `json:"ghosts"`
	// TotalSamples is the number of latencies observed since the window was
	// created.
	TotalSamples uint64  `json:"seen"`
	Beta         float64 `json:"beta"`
	MaxWindow    float64 `json:"max"`
}

// Reading returns the current state of the window.
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
