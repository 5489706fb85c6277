package platforme2e

import (
	"syscall"
	"time"

	"tansyseam/test/e2e"
)

// runPlannedStop stops a proxy by SIGTERM and restarts it.
func runPlannedStop(r *Run) {
	r.Proxies[0].Signal(syscall.SIGTERM)
	r.awaitExitAndRestart(r.Proxies[0])
}

// awaitExitAndRestart waits until a proxy that has received SIGTERM exits, and restarts
// it.
func (r *Run) awaitExitAndRestart(proxy *e2e.Process) {
	if !proxy.AwaitExit(20 * time.Second) {
		r.Errorf("%s did not exit within 20 s", proxy.Name)
		proxy.Kill()
	}
	if proxy.ExitCode() != 0 {
		r.Errorf("%s exited with code %d", proxy.Name, proxy.ExitCode())
	}
	if err := proxy.Start(r.directory); err != nil {
		r.Errorf("%v", err)
	}
	if !r.awaitAllReady(10 * time.Second) {
		r.Errorf("%s is not ready after its restart", proxy.Name)
	}
}

const (
	// busySessionCount is the number of sessions without pauses of a busy scenario.
	busySessionCount = 180
	// busyStatementTime makes the statements of the busy sessions wait for some
	// hundred ms in the queues of the proxies.
	busyStatementTime = 55 * time.Millisecond
	busyWarmUp        = 2 * time.Second
	// overlap is the time between the signals and changes of a busy stop.
	overlap = 300 * time.Millisecond
)

// runBusyStops stops two proxies under a load that keeps their queues filled. Each stop
// overlaps with SIGHUPs and with changes of the configuration. It guards against
// statements that a stopping proxy cuts off without an answer.
func runBusyStops(r *Run) {
	service := r.Services[0]
	service.SetStatementTime(busyStatementTime)
	r.StartBusyLoad(busySessionCount, service.Name)
	r.Sleep(busyWarmUp)
	for index, proxy := range r.Proxies[:2] {
		r.Sleep(busyWarmUp)
		proxy.Signal(syscall.SIGHUP)
		r.ReplaceConfiguration(r.Routes()[:len(r.Routes())-1], index)
		proxy.Signal(syscall.SIGHUP)
		proxy.Signal(syscall.SIGTERM)
		r.Sleep(overlap)
		proxy.Signal(syscall.SIGHUP)
		r.ReplaceConfiguration(r.Routes(), index)
		proxy.Signal(syscall.SIGTERM)
		r.awaitExitAndRestart(proxy)
	}
	r.busyGroup.Stop(stopTimeout)
	service.SetStatementTime(statementTime)
}

// runControlKill kills the control primary and restarts it.
func runControlKill(r *Run) {
	old := r.ControlPrimary()
	if old == nil {
		r.Errorf("no control primary")
		return
	}
	r.ReplaceConfiguration(r.Routes(), 0)
	r.killAndReplaceConfiguration(old)
	r.AwaitService("without "+old.Name, 10*time.Second)
	if err := old.Start(r.directory); err != nil {
		r.Errorf("%v", err)
	}
	r.Sleep(2 * time.Second)
	r.ReplaceConfiguration(r.Routes(), 1)
}

// killAndReplaceConfiguration kills a control process and measures how long it takes
// until a new configuration is accepted.
func (r *Run) killAndReplaceConfiguration(control *e2e.Process) {
	control.Kill()
	killedAt := r.group.Now()
	r.ReplaceConfiguration(r.Routes(), 0)
	r.Logf("a new configuration was accepted %d ms after the kill of %s", (r.group.Now() - killedAt).Milliseconds(), control.Name)
}

// repairTime is how long a newly started control process has before the next one may be
// lost.
const repairTime = 4 * time.Second

// runControlReplacement kills two of the three initial control processes for good,
// starts a replacement after each kill, and then stops the control primary as planned.
func runControlReplacement(r *Run) {
	primary := r.ControlPrimary()
	if primary == nil {
		r.Errorf("no control primary")
		return
	}
	notPrimary := r.Controls[0]
	if notPrimary == primary {
		notPrimary = r.Controls[1]
	}
	for _, lost := range []*e2e.Process{notPrimary, primary} {
		r.killAndReplaceConfiguration(lost)
		r.AddControl()
		r.Sleep(repairTime)
	}
	leaving := r.ControlPrimary()
	if leaving == nil {
		r.Errorf("no control primary after two were replaced")
		return
	}
	signaledAt := r.group.Now()
	leaving.Signal(syscall.SIGTERM)
	if !leaving.AwaitExit(10 * time.Second) {
		r.Errorf("%s did not exit within 10 s", leaving.Name)
	}
	r.Logf("%s exited %d ms after SIGTERM", leaving.Name, (r.group.Now() - signaledAt).Milliseconds())
	r.ReplaceConfiguration(r.Routes(), 1)
	r.AwaitService("without three of five control processes", 10*time.Second)
}
