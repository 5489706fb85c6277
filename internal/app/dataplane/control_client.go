package dataplane

import (
	"sync/atomic"
	"time"

	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/transport/worker"
)

const (
	// updateRetryDelay is the delay before the next update request if no primary
	// answered the last one.
	updateRetryDelay = 30 * time.Millisecond
	// deferralPollInterval is how often the client checks whether it may send a
	// deferred update request.
	deferralPollInterval = 10 * time.Millisecond
)

// Machine is the part of a proxy's state machine that handles the exchange with
// the control primary. Its methods are called within ControlClientConfig.Apply
// only.
type Machine interface {
	// UpdateRequest returns the next request for an update.
	UpdateRequest(now time.Duration) distribution.UpdateRequest
	// ApplyUpdate applies the answer to a request; sent is the time at which the
	// request was sent.
	ApplyUpdate(update distribution.Update, sent, now time.Duration)
	// Observations returns the content of a report that is sent between two
	// update requests.
	Observations(now time.Duration) distribution.NodeReport
}

// ControlClientConfig holds the dependencies and settings of a ControlClient.
type ControlClientConfig struct {
	Machine Machine
	// Apply passes one event to the machine, under the proxy's lock, and executes
	// the machine's effects.
	Apply func(event func(now time.Duration))
	// DeferRequest reports whether the next update request has to wait. It is
	// called within Apply. It is nil if the proxy's requests never wait.
	DeferRequest func(now time.Duration) bool
	// UpdateTimeout bounds the wait for the answer to one update request.
	UpdateTimeout time.Duration
	// ReportDelay is how long a scheduled report is delayed, so that one report
	// holds all observations made during the delay.
	ReportDelay time.Duration
}

// controlPlane sends requests and reports to the control plane. The proxy's node
// implements it.
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
	// sleep is time.Sleep, except in tests.
	sleep           func(time.Duration)
	reportScheduled atomic.Bool
}

// NewControlClient returns the control client of the proxy on node n.
func NewControlClient(n *node.Node, config ControlClientConfig) *ControlClient {
	return &ControlClient{ControlClientConfig: config, control: n, workers: n.Workers, sleep: time.Sleep}
}

// PollUpdates requests updates from the control primary, one after another, until
// the node's workers are stopping.
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

// ScheduleReport schedules a report, which is sent to the control primary after
// ReportDelay. If a report is already scheduled, it does nothing. It may be called
// with the proxy's lock held.
func (c *ControlClient) ScheduleReport() {
	if c.reportScheduled.CompareAndSwap(false, true) {
		c.workers.Go(c.sendReport)
	}
}

func (c *ControlClient) sendReport() {
	c.sleep(c.ReportDelay)
	var report distribution.NodeReport
	c.Apply(func(now time.Duration) {
		// The flag is cleared before the observations are read, because this
		// report may not include later observations. They need another report.
		c.reportScheduled.Store(false)
		report = c.Machine.Observations(now)
	})
	c.control.SendToControlPrimary(report)
}
