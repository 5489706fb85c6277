package httpproxy

import (
	"time"

	"tansyseam/internal/app/dataplane"
)

const (
	updateTimeout = 600 * time.Millisecond

	// forwardTimeout bounds an update request that is forwarded for another node.
	forwardTimeout = 500 * time.Millisecond

	// reportDelay is how long a report is delayed, so that one report holds all
	// observations made during the delay.
	reportDelay = 20 * time.Millisecond
)

func (p *Proxy) newControlClient() *dataplane.ControlClient {
	return dataplane.NewControlClient(p.node, dataplane.ControlClientConfig{
		Machine:       p.pool,
		Apply:         p.apply,
		UpdateTimeout: updateTimeout,
		ReportDelay:   reportDelay,
	})
}
