package e2e

import (
	"slices"
	"syscall"
	"tansyseam/test/history"
	"time"
)

func runRestart(r *Run) {
	for _, proxy := range r.Proxies[:min(3, len(r.Proxies))] {
		from := time.Now()
		proxy.Signal(syscall.SIGTERM)
		if !proxy.AwaitExit(8 * time.Second) {
			r.Errorf("%s did not end within 8 s", proxy.Name)
			proxy.Kill()
		}
		r.Logf("%s stopped with code %d after %d ms", proxy.Name, proxy.ExitCode(), time.Since(from).Milliseconds())
		if proxy.ExitCode() != 0 {
			r.Errorf("%s ended with code %d", proxy.Name, proxy.ExitCode())
		}
		r.Evidence.Restarts = append(r.Evidence.Restarts, history.Restart{Address: proxy.HTTPAddress, From: from.UnixNano(), Until: time.Now().UnixNano()})
		r.Sleep(500 * time.Millisecond)
		if err := proxy.Start(r.Directory); err != nil {
			r.Errorf("%v", err)
		}
		if !WaitUntil(8*time.Second, func() bool { return r.Platform.ReadyCount() >= len(r.Proxies) }) {
			r.Errorf("%s not ready again", proxy.Name)
		}
		r.Logf("%s ready again", proxy.Name)
	}
}

func runProxyKill(r *Run) {
	from := time.Now()
	r.Sleep(3 * time.Second)
	until := time.Now()
	proxy := r.Proxies[0]
	proxy.Kill()
	r.Sleep(500 * time.Millisecond)
	r.ReplaceBindings(1)
	r.Sleep(2 * time.Second)
	if err := proxy.Start(r.Directory); err != nil {
		r.Errorf("%v", err)
	}
	r.RecordClosedFault("front killed", from, until)
}

func runZoneOutage(r *Run) {
	from := time.Now()
	r.Sleep(3 * time.Second)
	until := time.Now()
	zone := r.Shape.Zones[0]
	var gone []*Process
	for _, list := range [][]*Process{r.Proxies, r.Controls, r.Instances} {
		for _, process := range list {
			if process.Zone == zone {
				process.Signal(syscall.SIGKILL)
				gone = append(gone, process)
			}
		}
	}
	for _, process := range gone {
		process.AwaitExit(3 * time.Second)
	}
	r.Logf("%d machines of %s gone", len(gone), zone)
	r.Sleep(5 * time.Second)
	for _, process := range gone {
		_ = process.Start(r.Directory)
	}
	r.RecordClosedFault("zone lost", from, until)
}

func runScaling(r *Run) {
	proxy, err := r.AddProxy()
	if err != nil {
		r.Errorf("%v", err)
		return
	}
	if !WaitUntil(8*time.Second, func() bool { return r.Platform.ReadyCount() >= len(r.Proxies) }) {
		r.Errorf("%s is not ready", proxy.Name)
	}
	r.ReplaceBindings(1)
	r.Sleep(3 * time.Second)
	target := r.Proxies[slices.IndexFunc(r.Proxies, func(candidate *Process) bool { return candidate.Zone == proxy.Zone })]
	r.Platform.RemoveProxy(target.HTTPAddress)
	target.Signal(syscall.SIGTERM)
	if !target.AwaitExit(8*time.Second) || target.ExitCode() != 0 {
		r.Errorf("%s did not end in good order", target.Name)
	}
	r.ReplaceBindings(2)
	r.Sleep(2 * time.Second)
	if served := r.counter(proxy, "passed_on"); served <= 0 {
		r.Errorf("the added front served nothing")
	}
}
