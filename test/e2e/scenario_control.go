package e2e

import (
	"syscall"
	"time"
)

func (r *Run) failOverControl(act func(*Process)) {
	target := r.ControlPrimary()
	if target == nil {
		r.Errorf("no control primary")
		return
	}
	sequence := r.ReplaceBindings(1)
	epoch, _, _ := r.Epoch(target)
	injectedAt := time.Now()
	act(target)
	r.Logf("%s hit in epoch %d", target.Name, epoch)
	done := WaitUntil(15*time.Second, func() bool {
		for _, control := range r.Controls {
			if control == target {
				continue
			}
			if now, primary, backup := r.Epoch(control); now > epoch && primary != target.Name && backup != "" {
				return true
			}
		}
		return false
	})
	if !done {
		r.Errorf("no takeover with a backup brought in within 15 s")
		return
	}
	r.Logf("taken over with a backup after %d ms", time.Since(injectedAt).Milliseconds())
	sequence = r.ReplaceBindings(sequence)
	r.Sleep(2 * time.Second)
	target.Signal(syscall.SIGCONT)
	if target.AwaitExit(10 * time.Millisecond) {
		_ = target.Start(r.Directory)
	}
	r.Sleep(3 * time.Second)
	r.ReplaceBindings(sequence)
}

func runControlOutage(r *Run) {
	for _, control := range r.Controls {
		control.Kill()
	}
	r.Sleep(4 * time.Second)
	for _, control := range r.Controls {
		_ = control.Start(r.Directory)
	}
	if !WaitUntil(10*time.Second, func() bool { return r.Platform.ReadyCount() >= len(r.Proxies) }) {
		r.Errorf("doors not ready again")
	}
	r.Logf("ready again")
	r.ReplaceBindings(1)
}

func runPartition(r *Run) {
	control := r.ControlPrimary()
	if control == nil {
		r.Errorf("no control primary")
		return
	}
	proxy := r.Proxies[len(r.Proxies)-1]
	relay := r.Relays[control.Name]
	ways := [][2]bool{{true, false}, {false, true}, {true, true}}
	sequence := uint64(1)
	for _, way := range ways {
		relay.Block(proxy.IP, way[0], way[1])
		r.Sleep(time.Second)
		sequence = r.ReplaceBindings(sequence)
		r.Sleep(3 * time.Second)
		r.Logf("cut %v: %d doors ready", way, r.Platform.ReadyCount())
		relay.Block(proxy.IP, false, false)
		relay.Reset()
		r.Sleep(time.Second)
	}
}
