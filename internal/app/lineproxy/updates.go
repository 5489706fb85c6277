package lineproxy

import (
	"time"

	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/pool/linepool"
)

const (
	updateTimeout    = 750 * time.Millisecond
	updateRetryDelay = 30 * time.Millisecond

	// forwardTimeout bounds an update request that is sent on for another node.
	forwardTimeout = 800 * time.Millisecond

	// strandedPollInterval is how often an update request that waits for
	// commits at a closing primary looks whether they are answered.
	strandedPollInterval = 10 * time.Millisecond

	// reportDelay gathers what is observed within it into one report.
	reportDelay = 5 * time.Millisecond
)

// pollUpdates asks the control primary for updates, one request after another.
func (p *Proxy) pollUpdates() {
	search := &node.PrimarySearch{}
	for !p.node.Workers.IsStopping() {
		request, ok := p.nextRequest()
		if !ok {
			time.Sleep(strandedPollInterval)
			continue
		}
		sent := p.now()
		update, received := p.node.RequestUpdate(request, search, updateTimeout)
		if !received {
			time.Sleep(updateRetryDelay)
			continue
		}
		p.apply(func(now time.Duration) { p.pool.ApplyUpdate(update, sent, now) })
	}
}

// nextRequest returns false while commits at a closing primary may still be
// answered.
func (p *Proxy) nextRequest() (request distribution.UpdateRequest, ok bool) {
	p.apply(func(now time.Duration) {
		if ok = !p.pool.HasStrandedCommits(now); ok {
			request = p.pool.UpdateRequest(now)
		}
	})
	return request, ok
}

// scheduleReport has a report sent to the control primary between two update
// requests. It is called with the lock held.
func (p *Proxy) scheduleReport(linepool.Report) {
	if p.reportScheduled {
		return
	}
	p.reportScheduled = true
	p.node.Workers.Go(p.sendReport)
}

func (p *Proxy) sendReport() {
	time.Sleep(reportDelay)
	var report distribution.NodeReport
	p.apply(func(now time.Duration) {
		p.reportScheduled = false
		report = p.pool.Observations(now)
	})
	if address, _ := p.node.ControlPrimary(); address != "" {
		p.node.Hub.Send(address, report)
	}
}
