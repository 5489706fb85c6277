package platforme2e

import (
	"net/http"
	"time"

	"tansyseam/test/e2e"
	"tansyseam/test/platformstandin"
)

const promotionTimeout = 15 * time.Second

// failOverPrimary injects a fault into the primary of the first service, waits
// until another is promoted, and repairs the old one.
func (t *Run) failOverPrimary(inject, repair func(old *platformstandin.Instance)) {
	service := t.Services[0]
	old := service.Primary()
	injectedAt := t.group.Now()
	inject(old)
	if !t.awaitPromotion(service, old, injectedAt) {
		return
	}
	t.AwaitService("after the promote", 15*time.Second)
	repair(old)
	t.Sleep(2 * time.Second)
	if service.Primary() == old {
		t.Errorf("%s is primary again", old.ID)
	}
}

// awaitPromotion waits until another instance than the old one is primary.
func (t *Run) awaitPromotion(service *platformstandin.Service, old *platformstandin.Instance, since time.Duration) bool {
	if !e2e.WaitUntil(promotionTimeout, func() bool { return service.Primary() != old }) {
		t.Errorf("no other primary within 15 s")
		return false
	}
	t.Logf("%s is primary after %d ms", service.Primary().ID, (t.group.Now() - since).Milliseconds())
	return true
}

func crash(instance *platformstandin.Instance)   { instance.Crash() }
func hang(instance *platformstandin.Instance)    { instance.Hang() }
func restart(instance *platformstandin.Instance) { _ = instance.Start() }
func leaveAsIs(*platformstandin.Instance)        {}

func runPrimaryCrash(t *Run) { t.failOverPrimary(crash, restart) }

func runPrimaryHang(t *Run) { t.failOverPrimary(hang, leaveAsIs) }

func runPromoteFaults(t *Run) {
	t.Platform.SetPromoteFaults(400*time.Millisecond, 3, false)
	t.failOverPrimary(crash, restart)
}

// runPrimaryReplacement drains a primary, has it leave and ends it.
func runPrimaryReplacement(t *Run) {
	service := t.Services[0]
	old := service.Primary()
	drainedAt := t.group.Now()
	old.Drain()
	if !e2e.WaitUntil(promotionTimeout, func() bool { return old.LeaveAcknowledgedAt() != 0 }) {
		t.Errorf("the leaving was not acknowledged within 15 s")
	}
	if !t.awaitPromotion(service, old, drainedAt) {
		return
	}
	t.Sleep(8 * time.Second)
	if status := old.Leave(); status != http.StatusOK {
		t.Errorf("the leave was answered %d", status)
	}
	t.Sleep(time.Second)
}
