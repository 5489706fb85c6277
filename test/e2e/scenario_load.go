package e2e

import (
	"time"

	"tansyseam/test/standin"
)

func runSteady(r *Run) { r.Sleep(4 * time.Second) }

// runOverload multiplies the callers' rate by eight for 5 s.
func runOverload(r *Run) {
	before := r.observeBaseline()
	r.Callers.SetRateFactor(8)
	r.Sleep(5 * time.Second)
	r.Callers.SetRateFactor(1)
	r.recordClosedFault("rush", before)
}

// runSlowInstances makes a primary and a replica ten times slower for 5 s.
func runSlowInstances(r *Run) {
	before := r.observeBaseline()
	r.slowDown(10)
	r.Sleep(5 * time.Second)
	r.slowDown(1)
	r.recordClosedFault("slow instances", before)
	r.expectNoFailover(r.Proxies[0], "a slow primary")
}

// slowDown multiplies the duration of statements at the primary and a replica.
func (r *Run) slowDown(factor float64) {
	for _, name := range []string{r.Primary(r.database()).Name, r.database() + "-b"} {
		_ = r.SetFault(name, standin.Fault{Slowdown: pointerTo(factor)})
	}
}

// runLostAnswers makes the primary lose answers and reset connections in bursts.
func runLostAnswers(r *Run) {
	for range 5 {
		_ = r.SetFault(r.Primary(r.database()).Name, standin.Fault{LoseAnswers: pointerTo(5), ResetConnections: pointerTo(5)})
		r.Sleep(700 * time.Millisecond)
	}
}

const (
	// repeatedShare is the share of answers that instances send twice.
	repeatedShare  = 0.3
	repetitionTime = 4 * time.Second
)

// runRepeatedAnswers makes all instances send answers twice. It guards against responses
// that are taken for those to other requests.
func runRepeatedAnswers(r *Run) {
	for _, instance := range r.Instances {
		_ = r.SetFault(instance.Name, standin.Fault{RepeatedShare: pointerTo(repeatedShare)})
	}
	r.Sleep(repetitionTime)
	for _, instance := range r.Instances {
		_ = r.SetFault(instance.Name, standin.Fault{RepeatedShare: pointerTo(0.0)})
	}
}
