// Package flowcontrol sizes, for one instance, the window of statements that this
// node keeps outstanding there, from the node's own latencies alone, after
// "Towards Distributed Storage Resource Management using Flow Control".
package flowcontrol

import (
	"math"
	"time"
)

// Tuning holds the project's defaults of the paper's parameters.
type Tuning struct {
	Alpha  float64
	Gamma  float64
	Period time.Duration
	// Beta is the weight-based growth of this node.
	Beta float64
	// Start is the window of an instance just met or met again.
	Start float64
	// Floor keeps one statement going, so that latencies go on being seen.
	Floor float64
	// Max is w_max.
	Max float64
	// Threshold is LAT_threshold, one for the whole system.
	Threshold time.Duration
}

// Defaults gives the project's starting values.
func Defaults() Tuning {
	return Tuning{
		Alpha: 0.9, Gamma: 0.2, Period: time.Second, Beta: 1,
		Start: 2, Floor: 1, Max: 8, Threshold: 30 * time.Millisecond,
	}
}

// Outcome says what a statement's end means to the window.
type Outcome int

// Outcomes of a statement.
const (
	// Answered statements count their latency.
	Answered Outcome = iota
	// Refused ones came back at once without work: no latency.
	Refused
	// Lost ones never returned: their age counts as latency.
	Lost
)

// Window is the machine for one instance. It has no clock of its own.
type Window struct {
	tuning  Tuning
	cal     float64
	w       float64
	open    int
	ghosts  int
	turn    time.Duration
	hasTurn bool
	samples int
	sum     float64
	isFull  bool
	seen    uint64
}

// New makes the machine for an instance newly met.
func New(tuning Tuning) *Window {
	return &Window{tuning: tuning, w: math.Min(tuning.Start, tuning.Max)}
}

// Retune takes a changed weight or cap; the window is kept under the cap.
func (x *Window) Retune(beta, most float64) {
	x.tuning.Beta = beta
	x.tuning.Max = math.Max(most, x.tuning.Floor)
	x.w = math.Min(x.w, x.tuning.Max)
}

// Restart puts the window back to its start value, for an instance that
// came back or changed role. Statements still out keep their slots.
func (x *Window) Restart() {
	x.w = math.Min(x.tuning.Start, x.tuning.Max)
	x.cal, x.samples, x.sum = 0, 0, 0
}

// HasRoom says whether one more statement may go out.
func (x *Window) HasRoom() bool { return x.open+x.ghosts < x.Size() }

// Room is how many more may go out.
func (x *Window) Room() int { return max(x.Size()-x.open-x.ghosts, 0) }

// Size is the whole number of statements that may be out.
func (x *Window) Size() int {
	return int(math.Max(x.tuning.Floor, math.Floor(x.w+1e-9)))
}

// Take counts a statement as out.
func (x *Window) Take() {
	x.open++
	x.isFull = x.isFull || !x.HasRoom()
}

// Done counts a statement as ended after a latency.
func (x *Window) Done(outcome Outcome, latency time.Duration) {
	x.open = max(x.open-1, 0)
	scores[outcome](x, latency)
}

// Abandon turns a statement that nobody waits for into a ghost: it keeps its
// slot, since the instance may still be working on it, until Lay.
func (x *Window) Abandon(age time.Duration) {
	x.open = max(x.open-1, 0)
	x.ghosts++
	scores[Lost](x, age)
}

// Lay ends a ghost: the instance ended it or its session there is shut.
func (x *Window) Lay() { x.ghosts = max(x.ghosts-1, 0) }

var scores = map[Outcome]func(*Window, time.Duration){
	Answered: func(x *Window, latency time.Duration) { x.observe(latency) },
	Refused:  func(*Window, time.Duration) {},
	Lost:     func(x *Window, age time.Duration) { x.observe(max(age, x.tuning.Threshold)) },
}

func (x *Window) observe(latency time.Duration) {
	value := float64(latency)
	x.samples++
	x.sum += value
	x.seen++
}

// Tick moves the window when a period has ended. Within a period the
// latencies are averaged; l of the paper is that average. A period without
// samples leaves CAL as it was. Growth is held back where the window was
// not used, since an unused window's latency says nothing of a larger one.
func (x *Window) Tick(now time.Duration) bool {
	if !x.hasTurn {
		x.turn, x.hasTurn = now, true
		return false
	}
	if now-x.turn < x.tuning.Period {
		return false
	}
	x.turn = now
	if x.samples == 0 {
		return false
	}
	latest := x.sum / float64(x.samples)
	if x.cal == 0 {
		x.cal = latest
	} else {
		x.cal = (1-x.tuning.Alpha)*latest + x.tuning.Alpha*x.cal
	}
	next := (1-x.tuning.Gamma)*x.w + x.tuning.Gamma*(float64(x.tuning.Threshold)/x.cal*x.w+x.tuning.Beta)
	if next > x.w && !x.isFull {
		next = x.w
	}
	x.w = math.Min(math.Max(next, x.tuning.Floor), x.tuning.Max)
	x.samples, x.sum, x.isFull = 0, 0, !x.HasRoom()
	return true
}

// Reading is what the window shows to operators.
type Reading struct {
	Window    float64       `json:"window"`
	Cal       time.Duration `json:"cal_ns"`
	Threshold time.Duration `json:"threshold_ns"`
	Open      int           `json:"open"`
	Ghosts    int           `json:"ghosts"`
	Seen      uint64        `json:"seen"`
	Beta      float64       `json:"beta"`
	Max       float64       `json:"max"`
}

// Read gives the present reading.
func (x *Window) Read() Reading {
	return Reading{
		Window: x.w, Cal: time.Duration(x.cal), Threshold: x.tuning.Threshold, Open: x.open,
		Ghosts: x.ghosts, Seen: x.seen, Beta: x.tuning.Beta, Max: x.tuning.Max,
	}
}
