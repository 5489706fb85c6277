package platforme2e

import (
	"syscall"
	"time"

	"tansyseam/test/e2e"
)

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
