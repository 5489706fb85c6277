package e2e

import (
	"time"

	"tansyseam/test/standin"
)

// runPlantedKill kills a proxy several times and records each kill as a planned restart.
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

// runPlantedUnclean makes the instances report every session as clean.
func runPlantedUnclean(r *Run) {
	for _, process := range r.Instances {
		_ = r.SetFault(process.Name, standin.Fault{MisreportClean: pointerTo(true)})
	}
	r.Sleep(4 * time.Second)
}
