package e2e

import (
	"time"

	"tansyseam/test/standin"
)

// runPlantedKill kills proxies and records planned restarts.
func runPlantedKill(r *Run) {
	for range 6 {
		proxy := r.Proxies[0]
		from := time.Now()
		proxy.Kill()
		r.Sleep(50 * time.Millisecond)
		r.recordRestart(proxy, from.Add(-50*time.Millisecond))
		_ = proxy.Start(r.Directory)
		r.awaitAllReady(8 * time.Second)
		r.Sleep(400 * time.Millisecond)
	}
}

// runPlantedUnclean has instances call each session clean.
func runPlantedUnclean(r *Run) {
	for _, process := range r.Instances {
		_ = r.SetFault(process.Name, standin.Fault{MisreportClean: pointerTo(true)})
	}
	r.Sleep(4 * time.Second)
}
