package e2e

import (
	"time"

	"tansyseam/test/standin"
)

func runSteady(r *Run) { r.Sleep(4 * time.Second) }

func runOverload(r *Run) {
	before := r.observeBaseline()
	r.Callers.SetRateFactor(8)
	r.Sleep(5 * time.Second)
	r.Callers.SetRateFactor(1)
	r.recordClosedFault("rush", before)
}

func runSlowInstances(r *Run) {
	before := r.observeBaseline()
	for _, name := range []string{r.Primary(r.database()).Name, r.database() + "-b"} {
		_ = r.SetFault(name, standin.Fault{Slowdown: pointerTo(10.0)})
	}
	r.Sleep(5 * time.Second)
	for _, name := range []string{r.Primary(r.database()).Name, r.database() + "-b"} {
		_ = r.SetFault(name, standin.Fault{Slowdown: pointerTo(1.0)})
	}
	r.recordClosedFault("slow instances", before)
	r.expectNoFailover(r.Proxies[0], "a slow primary")
}

func runLostAnswers(r *Run) {
	for range 5 {
		_ = r.SetFault(r.Primary(r.database()).Name, standin.Fault{LoseAnswers: pointerTo(5), ResetConnections: pointerTo(5)})
		r.Sleep(700 * time.Millisecond)
	}
}
