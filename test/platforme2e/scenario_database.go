package platforme2e

import (
	"net/http"
	"time"

	"tansyseam/test/e2e"
	"tansyseam/test/platformstandin"
)

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
