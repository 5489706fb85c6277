package e2e

import (
	"slices"
	"syscall"
	"time"

	"tansyseam/test/standin"
)

// runRestart restarts up to three proxies as planned, one after the other.
func runRestart(r *Run) {
	for _, proxy := range r.Proxies[:min(3, len(r.Proxies))] {
		from := time.Now()
		proxy.Signal(syscall.SIGTERM)
		if !proxy.AwaitExit(8 * time.Second) {
			r.Errorf("%s did not exit within 8 s", proxy.Name)
			proxy.Kill()
		}
		r.Logf("%s exited with code %d after %d ms", proxy.Name, proxy.ExitCode(), time.Since(from).Milliseconds())
		if proxy.ExitCode() != 0 {
			r.Errorf("%s exited with code %d", proxy.Name, proxy.ExitCode())
		}
		r.recordRestart(proxy, from)
		r.Sleep(500 * time.Millisecond)
		if err := proxy.Start(r.Directory); err != nil {
			r.Errorf("%v", err)
		}
		if !r.awaitAllReady(8 * time.Second) {
			r.Errorf("%s is not ready after its restart", proxy.Name)
		}
		r.Logf("%s ready again", proxy.Name)
	}
}

// runProxyKill kills a proxy, replaces the bindings while it is down, and restarts it.
func runProxyKill(r *Run) {
	before := r.observeBaseline()
	proxy := r.Proxies[0]
	proxy.Kill()
	r.Sleep(500 * time.Millisecond)
	r.ReplaceBindings(1)
	r.Sleep(2 * time.Second)
	if err := proxy.Start(r.Directory); err != nil {
		r.Errorf("%v", err)
	}
	r.recordClosedFault("proxy killed", before)
}

// runZoneOutage kills all processes of a zone and restarts them after 5 s.
func runZoneOutage(r *Run) {
	before := r.observeBaseline()
	zone := r.Shape.Zones[0]
	var killed []*Process
	for _, list := range [][]*Process{r.Proxies, r.Controls, r.Instances} {
		for _, process := range list {
			if process.Zone == zone {
				process.Signal(syscall.SIGKILL)
				killed = append(killed, process)
			}
		}
	}
	for _, process := range killed {
		process.AwaitExit(3 * time.Second)
	}
	r.Logf("%d processes of %s killed", len(killed), zone)
	r.Sleep(5 * time.Second)
	for _, process := range killed {
		_ = process.Start(r.Directory)
	}
	r.recordClosedFault("zone lost", before)
}

// runScaling adds a proxy, then removes another proxy of the same zone.
func runScaling(r *Run) {
	proxy, err := r.AddProxy()
	if err != nil {
		r.Errorf("%v", err)
		return
	}
	if !r.awaitAllReady(8 * time.Second) {
		r.Errorf("%s is not ready", proxy.Name)
	}
	r.ReplaceBindings(1)
	r.Sleep(3 * time.Second)
	target := r.Proxies[slices.IndexFunc(r.Proxies, func(candidate *Process) bool { return candidate.Zone == proxy.Zone })]
	r.Platform.RemoveProxy(target.HTTPAddress)
	target.Signal(syscall.SIGTERM)
	if !target.AwaitExit(8*time.Second) || target.ExitCode() != 0 {
		r.Errorf("%s did not exit with code 0 within 8 s", target.Name)
	}
	r.ReplaceBindings(2)
	r.Sleep(2 * time.Second)
	if served := r.counter(proxy, "passed_on"); served <= 0 {
		r.Errorf("the added proxy served no requests")
	}
}

// runSlowRestart restarts a proxy as planned while statements at the primary take 200
// times as long.
func runSlowRestart(r *Run) {
	_ = r.SetFault(r.Primary(r.database()).Name, standin.Fault{Slowdown: pointerTo(200.0)})
	r.Sleep(2 * time.Second)
	proxy := r.Proxies[0]
	from := time.Now()
	proxy.Signal(syscall.SIGTERM)
	if !proxy.AwaitExit(8*time.Second) || proxy.ExitCode() != 0 {
		r.Errorf("%s did not exit with code 0 within 8 s", proxy.Name)
		proxy.Kill()
	}
	r.Logf("proxy exited after %d ms", time.Since(from).Milliseconds())
	r.recordRestart(proxy, from.Add(-2*time.Second))
	_ = r.SetFault(r.Primary(r.database()).Name, standin.Fault{Slowdown: pointerTo(1.0)})
	_ = proxy.Start(r.Directory)
	r.expectNoFailover(r.Proxies[1], "a slow primary")
}

// runProxyFreeze freezes a proxy for longer than its lease, and replaces the bindings
// while the proxy is frozen.
func runProxyFreeze(r *Run) {
	proxy := r.Proxies[len(r.Proxies)-1]
	proxy.Signal(syscall.SIGSTOP)
	r.Sleep(500 * time.Millisecond)
	r.ReplaceBindings(1)
	r.Sleep(3 * time.Second)
	proxy.Signal(syscall.SIGCONT)
	r.Sleep(time.Second)
	r.ReplaceBindings(2)
}
