package httpproxy

import (
	"time"

	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/distribution"
)

const (
	updateTimeout    = 600 * time.Millisecond
	updateRetryDelay = 30 * time.Millisecond

	// forwardTimeout bounds an update request that is sent on for another node.
	forwardTimeout = 500 * time.Millisecond

	// reportDelay gathers what is observed within it into one report.
	reportDelay = 20 * time.Millisecond
)

// pollUpdates asks the control primary for updates, one request after another.
func (p *Proxy) pollUpdates() {
	search := &node.PrimarySearch{}
	for !p.node.Workers.IsStopping() {
		var request distribution.UpdateRequest
		p.apply(func(now time.Duration) { request = p.pool.UpdateRequest(now) })
		sent := p.now()
		if update, received := p.node.RequestUpdate(request, search, updateTimeout); received {
			p.apply(func(now time.Duration) { p.pool.ApplyUpdate(update, sent, now) })
			continue
		}
		sleep(updateRetryDelay)
	}
}

// sendReport sends what is observed of the instances to the control primary
// between two update requests.
func (p *Proxy) sendReport() {
	p.mutex.Lock()
	scheduled := p.reportScheduled
	p.reportScheduled = true
	p.mutex.Unlock()
	if scheduled {
		return
	}
	p.node.Workers.Go(func() {
		sleep(reportDelay)
		p.mutex.Lock()
		p.reportScheduled = false
		observations := p.pool.Observations(p.now())
		p.mutex.Unlock()
		if address, _ := p.node.ControlPrimary(); address != "" {
			p.node.Hub.Send(address, observations)
		}
	})
}
