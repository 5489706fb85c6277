package platforme2e

import (
	"net/http"
	"time"

	"tansyseam/test/e2e"
	"tansyseam/test/platformstandin"
)

const promotionTimeout = 15 * time.Second

// failOverPrimary injects a fault into the primary of the first service, waits until
// another instance is promoted and serves, and calls repair with the old primary, which
// must not become primary again.
func (r *Run) failOverPrimary(inject, repair func(old *platformstandin.Instance)) {
	service := r.Services[0]
	old := service.Primary()
	injectedAt := r.group.Now()
	inject(old)
	if !r.awaitPromotion(service, old, injectedAt) {
		return
	}
	r.AwaitService("after the promotion", 15*time.Second)
	repair(old)
	r.Sleep(2 * time.Second)
	if service.Primary() == old {
		r.Errorf("old primary %s became primary again", old.ID)
	}
}

// awaitPromotion waits until an instance other than the old primary is primary.
func (r *Run) awaitPromotion(service *platformstandin.Service, old *platformstandin.Instance, since time.Duration) bool {
	if !e2e.WaitUntil(promotionTimeout, func() bool { return service.Primary() != old }) {
		r.Errorf("no other instance became primary within 15 s")
		return false
	}
	r.Logf("%s is primary after %d ms", service.Primary().ID, (r.group.Now() - since).Milliseconds())
	return true
}

func crash(instance *platformstandin.Instance)   { instance.Crash() }
func hang(instance *platformstandin.Instance)    { instance.Hang() }
func restart(instance *platformstandin.Instance) { _ = instance.Start() }
func leaveAsIs(*platformstandin.Instance)        {}

func runPrimaryCrash(r *Run) { r.failOverPrimary(crash, restart) }

func runPrimaryHang(r *Run) { r.failOverPrimary(hang, leaveAsIs) }

func runPromoteFaults(r *Run) {
	r.Platform.SetPromoteFaults(400*time.Millisecond, 3, false)
	r.failOverPrimary(crash, restart)
}

// runPrimaryReplacement drains a primary, makes it leave and stops it.
func runPrimaryReplacement(r *Run) {
	service := r.Services[0]
	old := service.Primary()
	drainedAt := r.group.Now()
	old.Drain()
	if !e2e.WaitUntil(promotionTimeout, func() bool { return old.LeaveAcknowledgedAt() != 0 }) {
		r.Errorf("the announcement that the primary leaves was not acknowledged within 15 s")
	}
	if !r.awaitPromotion(service, old, drainedAt) {
		return
	}
	r.Sleep(8 * time.Second)
	if status := old.Leave(); status != http.StatusOK {
		r.Errorf("the leave call was answered with status %d", status)
	}
	r.Sleep(time.Second)
}
