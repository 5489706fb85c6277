package e2e

import "time"

func runPlatformFaults(r *Run) {
	r.Platform.SetPromoteFaults(700*time.Millisecond, 1, 1, false)
	r.failOverPrimary(func(target *Process) { target.Kill() })
}

func runPlatformPartition(r *Run) {
	r.Platform.SetPromoteFaults(0, 0, 0, true)
	r.failOverPrimary(func(target *Process) {
		target.Kill()
		go func() { time.Sleep(4 * time.Second); r.Platform.SetPromoteFaults(0, 0, 0, false) }()
	})
}
