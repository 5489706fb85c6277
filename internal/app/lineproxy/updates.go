package lineproxy

import (
	"time"

	"tansyseam/internal/app/dataplane"
)

const (
	updateTimeout = 750 * time.Millisecond

	// forwardTimeout bounds an update request that is forwarded for another node.
	forwardTimeout = 800 * time.Millisecond

	// reportDelay is how long a report is delayed, so that one report holds all
	// observations made during the delay.
	reportDelay = 5 * time.Millisecond
)

// newControlClient returns the client that requests updates. It defers a request
// while a primary whose term is closing may still answer commits in flight.
func (p *Proxy) newControlClient() *dataplane.ControlClient {
	return dataplane.NewControlClient(p.node, dataplane.ControlClientConfig{
		Machine:       p.pool,
		Apply:         p.apply,
		DeferRequest:  p.pool.HasStrandedCommits,
		UpdateTimeout: updateTimeout,
		ReportDelay:   reportDelay,
	})
}
