package dataplane

import (
	"sync/atomic"
	"time"

	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/transport/worker"
)

const (
	// updateRetryDelay is the time between an update request that no primary
	// answered and the next one.
	updateRetryDelay = 30 * time.Millisecond
	// deferralPollInterval is the time between two checks whether a deferred
	// update request may be sent.
	deferralPollInterval = 10 * time.Millisecond
)

// Machine is a proxy's state machine, as far as the control primary is
// concerned. Its methods are called within ControlClientConfig.Apply only.
type Machine interface {
	// UpdateRequest returns the next request for an update.
	UpdateRequest(now time.Duration) distribution.UpdateRequest
	// ApplyUpdate takes the answer to a request that was sent at a time.
	ApplyUpdate(update distribution.Update, sent, now time.Duration)
	// Observations returns what a report between two update requests says.
	Observations(now time.Duration) distribution.NodeReport
}

// ControlClientConfig is what a ControlClient needs of its proxy.
type ControlClientConfig struct {
	Machine Machine
	// Apply hands one event to the machine, under the proxy's lock, and carries
	// out its effects.
	Apply func(event func(now time.Duration))
	// DeferRequest says whether the next update request has to wait. It is
	// called within Apply; nil stands for a proxy whose requests never wait.
	DeferRequest func(now time.Duration) bool
	// UpdateTimeout bounds the wait for the answer to one update request.
	UpdateTimeout time.Duration
	// ReportDelay gathers what is observed within it into one report.
	ReportDelay time.Duration
}

// controlPlane is the control plane as a proxy's node reaches it.
type controlPlane interface {
	RequestUpdate(request distribution.UpdateRequest, search *node.PrimarySearch, timeout time.Duration) (distribution.Update, bool)
	SendToControlPrimary(message any)
}

// ControlClient exchanges updates and reports with the control primary on behalf
// of one proxy.
type ControlClient struct {
	ControlClientConfig
	control controlPlane
	workers *worker.Group
	// sleep is time.Sleep but in tests.
	sleep           func(time.Duration)
	reportScheduled atomic.Bool
}

// NewControlClient returns the control client of the proxy on a node.
func NewControlClient(host *node.Node, config ControlClientConfig) *ControlClient {
	return &ControlClient{ControlClientConfig: config, control: host, workers: host.Workers, sleep: time.Sleep}
}

// PollUpdates asks the control primary for updates, one request after another,
// until the node's workers are to stop.
func (c *ControlClient) PollUpdates() {
	search := &node.PrimarySearch{}
	for !c.workers.IsStopping() {
		request, ok := c.nextRequest()
		if !ok {
			c.sleep(deferralPollInterval)
			continue
		}
		sent := c.workers.Now()
		update, received := c.control.RequestUpdate(request, search, c.UpdateTimeout)
		if !received {
			c.sleep(updateRetryDelay)
			continue
		}
		c.Apply(func(now time.Duration) { c.Machine.ApplyUpdate(update, sent, now) })
	}
}

// nextRequest returns false if the next request has to wait.
func (c *ControlClient) nextRequest() (request distribution.UpdateRequest, ok bool) {
	c.Apply(func(now time.Duration) {
		if c.DeferRequest != nil && c.DeferRequest(now) {
			return
		}
		request, ok = c.Machine.UpdateRequest(now), true
	})
	return request, ok
}

// ScheduleReport has a report sent to the control primary after ReportDelay,
// unless one is scheduled already. It may be called with the proxy's lock held.
func (c *ControlClient) ScheduleReport() {
	if c.reportScheduled.CompareAndSwap(false, true) {
		c.workers.Go(c.sendReport)
	}
}

func (c *ControlClient) sendReport() {
	c.sleep(c.ReportDelay)
	var report distribution.NodeReport
	c.Apply(func(now time.Duration) {
		// What is observed from here on may be missing in this report, and needs
		// another one.
		c.reportScheduled.Store(false)
		report = c.Machine.Observations(now)
	})
	c.control.SendToControlPrimary(report)
}
