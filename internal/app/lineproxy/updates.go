package lineproxy

import (
	"time"

	"tansyseam/internal/app/dataplane"
)

const (
	updateTimeout = 750 * time.Millisecond

	// forwardTimeout bounds an update request that is sent on for another node.
	forwardTimeout = 800 * time.Millisecond

	// reportDelay gathers what is observed within it into one report.
	reportDelay = 5 * time.Millisecond
)

// newControlClient returns the client that asks for updates. A request waits
// while commits at a closing primary may still be answered.
func (p *Proxy) newControlClient() *dataplane.ControlClient {
	return dataplane.NewControlClient(p.node, dataplane.ControlClientConfig{
		Machine:       p.pool,
		Apply:         p.apply,
		DeferRequest:  p.pool.HasStrandedCommits,
		UpdateTimeout: updateTimeout,
		ReportDelay:   reportDelay,
	})
}
