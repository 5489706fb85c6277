package httpproxy

import (
	"time"

	"tansyseam/internal/app/dataplane"
)

const (
	updateTimeout = 600 * time.Millisecond

	// forwardTimeout bounds an update request that is sent on for another node.
	forwardTimeout = 500 * time.Millisecond

	// reportDelay gathers what is observed within it into one report.
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
