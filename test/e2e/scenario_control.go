package e2e

import (
	"syscall"
	"time"
)

// failOverControl injects a fault into the control primary, waits until another control
// process has taken over and has a backup, and resumes or restarts the old primary.
func (r *Run) failOverControl(inject func(*Process)) {
	target := r.ControlPrimary()
	if target == nil {
		r.Errorf("no control primary")
		return
	}
	sequence := r.ReplaceBindings(1)
	epoch, _, _ := r.Epoch(target)
	injectedAt := time.Now()
	inject(target)
	r.Logf("injected fault into %s in epoch %d", target.Name, epoch)
	takenOver := WaitUntil(15*time.Second, func() bool {
		for _, control := range r.Controls {
			if control == target {
				continue
			}
			if currentEpoch, primary, backup := r.Epoch(control); currentEpoch > epoch && primary != target.Name && backup != "" {
				return true
			}
		}
		return false
	})
	if !takenOver {
		r.Errorf("no takeover with a backup within 15 s")
		return
	}
	r.Logf("takeover with a backup after %d ms", time.Since(injectedAt).Milliseconds())
	sequence = r.ReplaceBindings(sequence)
	r.Sleep(2 * time.Second)
	target.Signal(syscall.SIGCONT)
	if target.AwaitExit(10 * time.Millisecond) {
		_ = target.Start(r.Directory)
	}
	r.Sleep(3 * time.Second)
	r.ReplaceBindings(sequence)
}

// runControlOutage kills all control processes and restarts them after 4 s.
func runControlOutage(r *Run) {
	for _, control := range r.Controls {
		control.Kill()
	}
	r.Sleep(4 * time.Second)
	for _, control := range r.Controls {
		_ = control.Start(r.Directory)
	}
	if !r.awaitAllReady(10 * time.Second) {
		r.Errorf("proxies are not ready after the outage")
	}
	r.Logf("ready again")
	r.ReplaceBindings(1)
}

// runPartition blocks the traffic between a proxy and the control primary, first in each
// direction and then in both.
func runPartition(r *Run) {
	control := r.ControlPrimary()
	if control == nil {
		r.Errorf("no control primary")
		return
	}
	proxy := r.Proxies[len(r.Proxies)-1]
	relay := r.Relays[control.Name]
	directions := []struct{ to, from bool }{{true, false}, {false, true}, {true, true}}
	sequence := uint64(1)
	for _, blocked := range directions {
		relay.Block(proxy.IP, blocked.to, blocked.from)
		r.Sleep(time.Second)
		sequence = r.ReplaceBindings(sequence)
		r.Sleep(3 * time.Second)
		r.Logf("blocked directions (to, from) %v: %d proxies ready", blocked, r.Platform.ReadyCount())
		relay.Block(proxy.IP, false, false)
		relay.Reset()
		r.Sleep(time.Second)
	}
}

func runControlKill(r *Run) {
	r.failOverControl(func(target *Process) { target.Kill() })
}

func runControlFreeze(r *Run) {
	r.failOverControl(func(target *Process) { target.Signal(syscall.SIGSTOP) })
}

func runControlDataLoss(r *Run) {
	r.failOverControl(func(target *Process) {
		target.Kill()
		removeData(target)
	})
}

// runLossyLinks resets connections between processes at random.
func runLossyLinks(r *Run) {
	for _, relay := range r.Relays {
		relay.SetFaults(0, 0.01)
	}
	r.ReplaceBindings(1)
	r.Sleep(4 * time.Second)
	r.ReplaceBindings(2)
	r.Sleep(4 * time.Second)
	for _, relay := range r.Relays {
		relay.SetFaults(0, 0)
		relay.Reset()
	}
}
