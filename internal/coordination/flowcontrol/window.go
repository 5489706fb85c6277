// Package flowcontrol sizes, for one instance, the window of statements that this
// node keeps outstanding there, from the node's own latencies alone, after
// "Towards Distributed Storage Resource Management using Flow Control".
package flowcontrol

import (
	"math"
	"time"
)

// Tuning holds the project's defaults of the paper's parameters.
type Parameters struct {
	Alpha  float64
	Gamma  float64
	Period time.Duration
	// Beta is the weight-based growth of this node.
	Beta float64
	// Start is the window of an instance just met or met again.
	InitialWindow float64
	// Floor keeps one statement going, so that latencies go on being seen.
	MinWindow float64
	// Max is w_max.
	MaxWindow float64
	// Threshold is LAT_threshold, one for the whole system.
	LatencyThreshold time.Duration
}

// Defaults gives the project's starting values.
func DefaultParameters() Parameters {
	return Parameters{
		Alpha: 0.9, Gamma: 0.2, Period: time.Second, Beta: 1,
		InitialWindow: 2, MinWindow: 1, MaxWindow: 8, LatencyThreshold: 30 * time.Millisecond,
	}
}

// Outcome says what a statement's end means to the window.
type Outcome int

// Outcomes of a statement.
const (
	// Answered statements count their latency.
	Completed Outcome = iota
	// Refused ones came back at once without work: no latency.
	Rejected
	// Lost ones never returned: their age counts as latency.
	Lost
)

// Window is the machine for one instance. It has no clock of its own.
type Window struct {
	parameters     Parameters
	averageLatency float64
	size           float64
	inFlight       int
	abandoned      int
	periodStart    time.Duration
	started        bool
	sampleCount    int
	latencySum     float64
	wasFull        bool
	totalSamples   uint64
}

// New makes the machine for an instance newly met.
func NewWindow(tuning Parameters) *Window {
	return &Window{parameters: tuning, size: math.Min(tuning.InitialWindow, tuning.MaxWindow)}
}

// Retune takes a changed weight or cap; the window is kept under the cap.
func (w *Window) Retune(beta, maxWindow float64) {
	w.parameters.Beta = beta
	w.parameters.MaxWindow = math.Max(maxWindow, w.parameters.MinWindow)
	w.size = math.Min(w.size, w.parameters.MaxWindow)
}

// Restart puts the window back to its start value, for an instance that
// came back or changed role. Statements still out keep their slots.
func (w *Window) Reset() {
	w.size = math.Min(w.parameters.InitialWindow, w.parameters.MaxWindow)
	w.averageLatency, w.sampleCount, w.latencySum = 0, 0, 0
}

// HasRoom says whether one more statement may go out.
func (w *Window) HasRoom() bool { return w.inFlight+w.abandoned < w.Size() }

// Room is how many more may go out.
func (w *Window) Available() int { return max(w.Size()-w.inFlight-w.abandoned, 0) }

// Size is the whole number of statements that may be out.
func (w *Window) Size() int {
	return int(math.Max(w.parameters.MinWindow, math.Floor(w.size+1e-9)))
}

// Take counts a statement as out.
func (w *Window) Acquire() {
	w.inFlight++
	w.wasFull = w.wasFull || !w.HasRoom()
}

// Done counts a statement as ended after a latency.
func (w *Window) Release(outcome Outcome, latency time.Duration) {
	w.inFlight = max(w.inFlight-1, 0)
	latencyRecorders[outcome](w, latency)
}

// Abandon turns a statement that nobody waits for into a ghost: it keeps its
// slot, since the instance may still be working on it, until Lay.
func (w *Window) Abandon(age time.Duration) {
	w.inFlight = max(w.inFlight-1, 0)
	w.abandoned++
	latencyRecorders[Lost](w, age)
}

// Lay ends a ghost: the instance ended it or its session there is shut.
func (w *Window) ReleaseAbandoned() { w.abandoned = max(w.abandoned-1, 0) }

var latencyRecorders = map[Outcome]func(*Window, time.Duration){
	Completed: func(w *Window, latency time.Duration) { w.observe(latency) },
	Rejected:  func(*Window, time.Duration) {},
	Lost:      func(w *Window, age time.Duration) { w.observe(max(age, w.parameters.LatencyThreshold)) },
}

func (w *Window) observe(latency time.Duration) {
	value := float64(latency)
	w.sampleCount++
	w.latencySum += value
	w.totalSamples++
}

// Tick moves the window when a period has ended. Within a period the
// latencies are averaged; l of the paper is that average. A period without
// samples leaves CAL as it was. Growth is held back where the window was
// not used, since an unused window's latency says nothing of a larger one.
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
	periodLatency := w.latencySum / float64(w.sampleCount)
	if w.averageLatency == 0 {
		w.averageLatency = periodLatency
	} else {
		w.averageLatency = (1-w.parameters.Alpha)*periodLatency + w.parameters.Alpha*w.averageLatency
	}
	next := (1-w.parameters.Gamma)*w.size + w.parameters.Gamma*(float64(w.parameters.LatencyThreshold)/w.averageLatency*w.size+w.parameters.Beta)
	if next > w.size && !w.wasFull {
		next = w.size
	}
	w.size = math.Min(math.Max(next, w.parameters.MinWindow), w.parameters.MaxWindow)
	w.sampleCount, w.latencySum, w.wasFull = 0, 0, !w.HasRoom()
	return true
}

// Reading is what the window shows to operators.
type Reading struct {
	Size             float64       `json:"window"`
	AverageLatency   time.Duration `json:"cal_ns"`
	LatencyThreshold time.Duration `json:"threshold_ns"`
	InFlight         int           `json:"open"`
	Abandoned        int           `json:"ghosts"`
	TotalSamples     uint64        `json:"seen"`
	Beta             float64       `json:"beta"`
	MaxWindow        float64       `json:"max"`
}

// Read gives the present reading.
func (w *Window) Reading() Reading {
	return Reading{
		Size: w.size, AverageLatency: time.Duration(w.averageLatency), LatencyThreshold: w.parameters.LatencyThreshold, InFlight: w.inFlight,
		Abandoned: w.abandoned, TotalSamples: w.totalSamples, Beta: w.parameters.Beta, MaxWindow: w.parameters.MaxWindow,
	}
}
