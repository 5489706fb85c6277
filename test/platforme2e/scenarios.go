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
	Name, About string
	Act         func(*Trial)
	// IsCalm says that nothing but planned work happens.
	IsCalm bool
}

// Scenarios lists them all.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", About: "load, and no trouble", IsCalm: true, Act: func(t *Trial) {
			t.Hold(4 * time.Second)
			if count := len(t.Platform.Calls()); count != 0 {
				t.Miss("%d promote calls without a cause", count)
			}
		}},
		{Name: "primary-crash", About: "a primary crashes, and returns with its log", Act: func(t *Trial) {
			t.failover(func(old *platformstandin.Instance) { old.Crash() }, func(old *platformstandin.Instance) { _ = old.Start() })
		}},
		{Name: "primary-dark", About: "a primary goes dark, for good", Act: func(t *Trial) {
			t.failover(func(old *platformstandin.Instance) { old.Dark() }, func(*platformstandin.Instance) {})
		}},
		{Name: "promote-trouble", About: "a primary crashes while the platform refuses and is slow", Act: func(t *Trial) {
			t.Platform.Misbehave(400*time.Millisecond, 3, false)
			t.failover(func(old *platformstandin.Instance) { old.Crash() }, func(old *platformstandin.Instance) { _ = old.Start() })
		}},
		{Name: "replace", About: "a primary is to be replaced: it drains, leaves and ends", IsCalm: true, Act: actReplace},
		{Name: "stop", About: "a node stopped by SIGTERM, and started again", IsCalm: true, Act: actStop},
		{Name: "control-kill", About: "the control primary killed, back later", Act: actControlKill},
		{Name: "control-replace", About: "control machines gone for good and replaced, one after the other, then one stopped as planned", Act: actControlReplace},
		{Name: "change", About: "configurations changed, racing, old and broken", IsCalm: true, Act: actChange},
		{Name: "lose", About: "answers lost after running, and statements refused as busy", Act: func(t *Trial) {
			for range 4 {
				for _, one := range t.Services[0].Instances() {
					one.Lose(3)
					one.Refuse(3)
				}
				t.Hold(500 * time.Millisecond)
			}
		}},
	}
}

func (t *Trial) failover(hit, back func(old *platformstandin.Instance)) {
	service := t.Services[0]
	old := service.Primary()
	began := t.crew.Now()
	hit(old)
	if !e2e.Until(15*time.Second, func() bool { return service.Primary() != old }) {
		t.Miss("no other primary within 15 s")
		return
	}
	t.Note("%s is primary after %d ms", service.Primary().ID, (t.crew.Now() - began).Milliseconds())
	t.Await("after the promote", 15*time.Second)
	back(old)
	t.Hold(2 * time.Second)
	if service.Primary() == old {
		t.Miss("%s is primary again", old.ID)
	}
}

func actReplace(t *Trial) {
	service := t.Services[0]
	old := service.Primary()
	began := t.crew.Now()
	old.Drain()
	if !e2e.Until(15*time.Second, func() bool { return old.Left() != 0 }) {
		t.Miss("the leaving was not acknowledged within 15 s")
	}
	if !e2e.Until(15*time.Second, func() bool { return service.Primary() != old }) {
		t.Miss("no other primary within 15 s")
		return
	}
	t.Note("%s is primary after %d ms", service.Primary().ID, (t.crew.Now() - began).Milliseconds())
	t.Hold(8 * time.Second)
	if status := old.Leave(); status != http.StatusOK {
		t.Miss("the leave was answered %d", status)
	}
	t.Hold(time.Second)
}

func actStop(t *Trial) {
	front := t.Fronts[0]
	front.Signal(syscall.SIGTERM)
	if !front.Ended(20 * time.Second) {
		t.Miss("%s did not end within 20 s", front.Name)
		front.Kill()
	}
	if front.Code() != 0 {
		t.Miss("%s ended with code %d", front.Name, front.Code())
	}
	if err := front.Start(t.folder); err != nil {
		t.Miss("%v", err)
	}
	if !e2e.Until(10*time.Second, func() bool { return t.Platform.Ready() == len(t.Fronts) }) {
		t.Miss("%s is not ready again", front.Name)
	}
}

func actControlKill(t *Trial) {
	old := t.Control()
	if old == nil {
		t.Miss("no control primary")
		return
	}
	t.Change(t.Routes(), 0)
	old.Kill()
	began := t.crew.Now()
	t.Change(t.Routes(), 0)
	t.Note("a change is taken %d ms after the kill of %s", (t.crew.Now() - began).Milliseconds(), old.Name)
	t.Await("without "+old.Name, 10*time.Second)
	if err := old.Start(t.folder); err != nil {
		t.Miss("%v", err)
	}
	t.Hold(2 * time.Second)
	t.Change(t.Routes(), 1)
}

// repairSpan is how long a control machine that was started has until the next one
// may be lost.
const repairSpan = 4 * time.Second

func actControlReplace(t *Trial) {
	primary := t.Control()
	if primary == nil {
		t.Miss("no control primary")
		return
	}
	witness := t.Disks[0]
	if witness == primary {
		witness = t.Disks[1]
	}
	for _, lost := range []*e2e.Process{witness, primary} {
		lost.Kill()
		began := t.crew.Now()
		t.Change(t.Routes(), 0)
		t.Note("a change is taken %d ms after the kill of %s", (t.crew.Now() - began).Milliseconds(), lost.Name)
		t.AddControl()
		t.Hold(repairSpan)
	}
	leaving := t.Control()
	if leaving == nil {
		t.Miss("no control primary after two were replaced")
		return
	}
	began := t.crew.Now()
	leaving.Signal(syscall.SIGTERM)
	if !leaving.Ended(10 * time.Second) {
		t.Miss("%s did not end within 10 s", leaving.Name)
	}
	t.Note("%s ended %d ms after it was told to", leaving.Name, (t.crew.Now() - began).Milliseconds())
	t.Change(t.Routes(), 1)
	t.Await("without three of five", 10*time.Second)
}

func actChange(t *Trial) {
	routes := t.Routes()
	t.Change(append(t.Routes(), platformstandin.Route{Host: "extra", Kind: "primary", Service: "db2", Timeout: time.Second, Target: time.Second}), 0)
	// The version between the two that race stays free.
	racing := make(chan int, 2)
	for at, version := range []uint64{t.version + 1, t.version + 3} {
		t.crew.Go(func() { racing <- t.Operator.Replace(version, routes, at) })
	}
	for range 2 {
		bound := time.NewTimer(20 * time.Second)
		status, isOne := worker.Receive(racing, bound.C)
		bound.Stop()
		if !isOne || status != http.StatusOK {
			t.Miss("one of two racing versions was answered %d", status)
		}
	}
	t.version += 3
	late := append(routes, platformstandin.Route{Host: "late", Kind: "primary", Service: "db1", Timeout: time.Second})
	if status := t.Operator.Replace(t.version-1, late, 2); status != http.StatusOK {
		t.Miss("an old version was answered %d, which wants an acknowledgement", status)
	}
	if status := t.Operator.Break(t.version, t.Operator.Body(t.version, late), 2); status != http.StatusConflict {
		t.Miss("other content under the version held was answered %d, which wants a refusal", status)
	}
	broken := map[string]string{
		"cut short":             t.Operator.Body(t.version+9, routes)[:100],
		"nothing":               "{}",
		"no routes":             `{"version":999}`,
		"an unknown service":    t.Operator.Body(t.version+9, append(routes, platformstandin.Route{Host: "x", Kind: "primary", Service: "nowhere", Timeout: time.Second})),
		"a host twice":          t.Operator.Body(t.version+9, append(routes, routes[0])),
		"no time":               t.Operator.Body(t.version+9, append(routes, platformstandin.Route{Host: "x", Kind: "primary", Service: "db1"})),
		"a version that is bad": `{"version":"9","routes":[],"services":[],"limits":{}}`,
	}
	for what, body := range broken {
		if status := t.Operator.Break(t.version+9, body, 0); status/100 != 4 {
			t.Miss("a configuration with %s was answered %d", what, status)
		}
	}
	t.Hold(4 * time.Second)
	t.Change(routes[1:], 1)
	t.Hold(4 * time.Second)
	t.Change(routes, 2)
	t.Hold(4 * time.Second)
}
