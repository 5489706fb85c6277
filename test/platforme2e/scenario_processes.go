package platforme2e

import (
	"syscall"
	"time"

	"tansyseam/test/e2e"
)

// runPlannedStop stops a proxy by SIGTERM and starts it again.
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
	if !t.awaitAllReady(10 * time.Second) {
		t.Errorf("%s is not ready again", proxy.Name)
	}
}

// runControlKill kills the control primary and starts it again.
func runControlKill(t *Run) {
	old := t.ControlPrimary()
	if old == nil {
		t.Errorf("no control primary")
		return
	}
	t.ReplaceConfiguration(t.Routes(), 0)
	t.killAndReplaceConfiguration(old)
	t.AwaitService("without "+old.Name, 10*time.Second)
	if err := old.Start(t.directory); err != nil {
		t.Errorf("%v", err)
	}
	t.Sleep(2 * time.Second)
	t.ReplaceConfiguration(t.Routes(), 1)
}

// killAndReplaceConfiguration measures how long a change takes after a kill.
func (t *Run) killAndReplaceConfiguration(control *e2e.Process) {
	control.Kill()
	killedAt := t.group.Now()
	t.ReplaceConfiguration(t.Routes(), 0)
	t.Logf("a change is taken %d ms after the kill of %s", (t.group.Now() - killedAt).Milliseconds(), control.Name)
}

// repairTime is how long a control process that was started has until the next
// one may be lost.
const repairTime = 4 * time.Second

// runControlReplacement loses two of three control processes for good, one after
// the other was replaced, and stops a third as planned.
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
		t.killAndReplaceConfiguration(lost)
		t.AddControl()
		t.Sleep(repairTime)
	}
	leaving := t.ControlPrimary()
	if leaving == nil {
		t.Errorf("no control primary after two were replaced")
		return
	}
	signaledAt := t.group.Now()
	leaving.Signal(syscall.SIGTERM)
	if !leaving.AwaitExit(10 * time.Second) {
		t.Errorf("%s did not end within 10 s", leaving.Name)
	}
	t.Logf("%s ended %d ms after it was told to", leaving.Name, (t.group.Now() - signaledAt).Milliseconds())
	t.ReplaceConfiguration(t.Routes(), 1)
	t.AwaitService("without three of five", 10*time.Second)
}
