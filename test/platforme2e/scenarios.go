package platforme2e

import (
	"net/http"
	"syscall"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/e2e"
	"tansyseam/test/platformstandin"
)

// Scenario brings about one fault, or one change, under load.
type Scenario struct {
	Name, Description string
	Run               func(*Run)
	// Quiet says that nothing but planned work happens.
	Quiet bool
}

// Scenarios lists them all.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Description: "load, and no trouble", Quiet: true, Run: func(t *Run) {
			t.Sleep(4 * time.Second)
			if count := len(t.Platform.PromoteCalls()); count != 0 {
				t.Errorf("%d promote calls without a cause", count)
			}
		}},
		{Name: "primary-crash", Description: "a primary crashes, and returns with its log", Run: func(t *Run) {
			t.failOverPrimary(func(old *platformstandin.Instance) { old.Crash() }, func(old *platformstandin.Instance) { _ = old.Start() })
		}},
		{Name: "primary-dark", Description: "a primary goes dark, for good", Run: func(t *Run) {
			t.failOverPrimary(func(old *platformstandin.Instance) { old.Hang() }, func(*platformstandin.Instance) {})
		}},
		{Name: "promote-trouble", Description: "a primary crashes while the platform refuses and is slow", Run: func(t *Run) {
			t.Platform.SetPromoteFaults(400*time.Millisecond, 3, false)
			t.failOverPrimary(func(old *platformstandin.Instance) { old.Crash() }, func(old *platformstandin.Instance) { _ = old.Start() })
		}},
		{Name: "replace", Description: "a primary is to be replaced: it drains, leaves and ends", Quiet: true, Run: runPrimaryReplacement},
		{Name: "stop", Description: "a node stopped by SIGTERM, and started again", Quiet: true, Run: runPlannedStop},
		{Name: "control-kill", Description: "the control primary killed, back later", Run: runControlKill},
		{Name: "control-replace", Description: "control machines gone for good and replaced, one after the other, then one stopped as planned", Run: runControlReplacement},
		{Name: "change", Description: "configurations changed, racing, old and broken", Quiet: true, Run: runChange},
		{Name: "lose", Description: "answers lost after running, and statements refused as busy", Run: func(t *Run) {
			for range 4 {
				for _, process := range t.Services[0].Instances() {
					process.LoseAnswers(3)
					process.RefuseStatements(3)
				}
				t.Sleep(500 * time.Millisecond)
			}
		}},
	}
}

func (t *Run) failOverPrimary(inject, recover func(old *platformstandin.Instance)) {
	service := t.Services[0]
	old := service.Primary()
	began := t.group.Now()
	inject(old)
	if !e2e.WaitUntil(15*time.Second, func() bool { return service.Primary() != old }) {
		t.Errorf("no other primary within 15 s")
		return
	}
	t.Logf("%s is primary after %d ms", service.Primary().ID, (t.group.Now() - began).Milliseconds())
	t.AwaitService("after the promote", 15*time.Second)
	recover(old)
	t.Sleep(2 * time.Second)
	if service.Primary() == old {
		t.Errorf("%s is primary again", old.ID)
	}
}

func runPrimaryReplacement(t *Run) {
	service := t.Services[0]
	old := service.Primary()
	began := t.group.Now()
	old.Drain()
	if !e2e.WaitUntil(15*time.Second, func() bool { return old.LeaveAcknowledgedAt() != 0 }) {
		t.Errorf("the leaving was not acknowledged within 15 s")
	}
	if !e2e.WaitUntil(15*time.Second, func() bool { return service.Primary() != old }) {
		t.Errorf("no other primary within 15 s")
		return
	}
	t.Logf("%s is primary after %d ms", service.Primary().ID, (t.group.Now() - began).Milliseconds())
	t.Sleep(8 * time.Second)
	if status := old.Leave(); status != http.StatusOK {
		t.Errorf("the leave was answered %d", status)
	}
	t.Sleep(time.Second)
}

func runPlannedStop(t *Run) {
	proxy := t.Proxies[0]
	proxy.Signal(syscall.SIGTERM)
	if !proxy.AwaitExit(20 * time.Second) {
		t.Errorf("%s did not end within 20 s", proxy.Name)
		proxy.Kill()
	}
	if proxy.ExitCode() != 0 {
		t.Errorf("%s ended with code %d", proxy.Name, proxy.ExitCode())
	}
	if err := proxy.Start(t.directory); err != nil {
		t.Errorf("%v", err)
	}
	if !e2e.WaitUntil(10*time.Second, func() bool { return t.Platform.ReadyCount() == len(t.Proxies) }) {
		t.Errorf("%s is not ready again", proxy.Name)
	}
}

func runControlKill(t *Run) {
	old := t.ControlPrimary()
	if old == nil {
		t.Errorf("no control primary")
		return
	}
	t.ReplaceConfiguration(t.Routes(), 0)
	old.Kill()
	began := t.group.Now()
	t.ReplaceConfiguration(t.Routes(), 0)
	t.Logf("a change is taken %d ms after the kill of %s", (t.group.Now() - began).Milliseconds(), old.Name)
	t.AwaitService("without "+old.Name, 10*time.Second)
	if err := old.Start(t.directory); err != nil {
		t.Errorf("%v", err)
	}
	t.Sleep(2 * time.Second)
	t.ReplaceConfiguration(t.Routes(), 1)
}

// repairTime is how long a control machine that was started has until the next one
// may be lost.
const repairTime = 4 * time.Second

func runControlReplacement(t *Run) {
	primary := t.ControlPrimary()
	if primary == nil {
		t.Errorf("no control primary")
		return
	}
	witness := t.Controls[0]
	if witness == primary {
		witness = t.Controls[1]
	}
	for _, lost := range []*e2e.Process{witness, primary} {
		lost.Kill()
		began := t.group.Now()
		t.ReplaceConfiguration(t.Routes(), 0)
		t.Logf("a change is taken %d ms after the kill of %s", (t.group.Now() - began).Milliseconds(), lost.Name)
		t.AddControl()
		t.Sleep(repairTime)
	}
	leaving := t.ControlPrimary()
	if leaving == nil {
		t.Errorf("no control primary after two were replaced")
		return
	}
	began := t.group.Now()
	leaving.Signal(syscall.SIGTERM)
	if !leaving.AwaitExit(10 * time.Second) {
		t.Errorf("%s did not end within 10 s", leaving.Name)
	}
	t.Logf("%s ended %d ms after it was told to", leaving.Name, (t.group.Now() - began).Milliseconds())
	t.ReplaceConfiguration(t.Routes(), 1)
	t.AwaitService("without three of five", 10*time.Second)
}

func runChange(t *Run) {
	routes := t.Routes()
	t.ReplaceConfiguration(append(t.Routes(), platformstandin.Route{Host: "extra", Kind: "primary", Service: "db2", Timeout: time.Second, Target: time.Second}), 0)
	// The version between the two that race stays free.
	racing := make(chan int, 2)
	for index, version := range []uint64{t.version + 1, t.version + 3} {
		t.group.Go(func() { racing <- t.Operator.Replace(version, routes, index) })
	}
	for range 2 {
		timeout := time.NewTimer(20 * time.Second)
		status, answered := worker.Receive(racing, timeout.C)
		timeout.Stop()
		if !answered || status != http.StatusOK {
			t.Errorf("one of two racing versions was answered %d", status)
		}
	}
	t.version += 3
	late := append(routes, platformstandin.Route{Host: "late", Kind: "primary", Service: "db1", Timeout: time.Second})
	if status := t.Operator.Replace(t.version-1, late, 2); status != http.StatusOK {
		t.Errorf("an old version was answered %d, which wants an acknowledgement", status)
	}
	if status := t.Operator.ReplaceInvalid(t.version, t.Operator.ConfigurationBody(t.version, late), 2); status != http.StatusConflict {
		t.Errorf("other content under the version held was answered %d, which wants a refusal", status)
	}
	broken := map[string]string{
		"cut short":             t.Operator.ConfigurationBody(t.version+9, routes)[:100],
		"nothing":               "{}",
		"no routes":             `{"version":999}`,
		"an unknown service":    t.Operator.ConfigurationBody(t.version+9, append(routes, platformstandin.Route{Host: "x", Kind: "primary", Service: "nowhere", Timeout: time.Second})),
		"a host twice":          t.Operator.ConfigurationBody(t.version+9, append(routes, routes[0])),
		"no time":               t.Operator.ConfigurationBody(t.version+9, append(routes, platformstandin.Route{Host: "x", Kind: "primary", Service: "db1"})),
		"a version that is bad": `{"version":"9","routes":[],"services":[],"limits":{}}`,
	}
	for what, body := range broken {
		if status := t.Operator.ReplaceInvalid(t.version+9, body, 0); status/100 != 4 {
			t.Errorf("a configuration with %s was answered %d", what, status)
		}
	}
	t.Sleep(4 * time.Second)
	t.ReplaceConfiguration(routes[1:], 1)
	t.Sleep(4 * time.Second)
	t.ReplaceConfiguration(routes, 2)
	t.Sleep(4 * time.Second)
}
