package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/distribution"
)

const (
	// updateRetryDelay is how long a node waits after a control server that
	// is not primary answered.
	updateRetryDelay = 30 * time.Millisecond
	// overlongLeaseFactor is that of the defect OverlongLeases.
	overlongLeaseFactor = 100
	nodeStartDelay      = time.Millisecond
)

// controlChoice is a node's choice of the control server that it calls.
type controlChoice struct {
	index         int
	missedAnswers int
	// lastRequest numbers the requests for updates; only the answer to the
	// last one counts.
	lastRequest uint64
}

func (c *controlChoice) server(controls []*controlServer) *controlServer {
	return controls[c.index%len(controls)]
}

// skipsRedirect reports whether the node tries the next server in place of the
// one that an answer names: the named one may be out of reach.
func (c *controlChoice) skipsRedirect() bool { return c.missedAnswers%4 == 3 }

// updateExchange is a node's request for an update, and what follows on it.
type updateExchange struct {
	node     *machine
	controls []*controlServer
	timeout  time.Duration
	// build gives the request.
	build func() distribution.UpdateRequest
	// relay gives the node that the request goes through; nil for none.
	relay func() *machine
	// onTimeout and onUpdate end the exchange; sent is the node's time when
	// the request was sent.
	onTimeout func()
	onUpdate  func(update distribution.Update, sent time.Duration)
}

// exchange sends a request to the chosen control server.
func (c *controlChoice) exchange(e updateExchange) {
	c.lastRequest++
	number, sent := c.lastRequest, e.node.clock()
	request, target := e.build(), c.server(e.controls)
	e.node.after(e.timeout, func() {
		if c.lastRequest == number {
			c.missedAnswers++
			e.onTimeout()
		}
	})
	path := []*machine{e.node, &target.machine}
	if relay := e.relay(); relay != nil {
		path = []*machine{e.node, relay, &target.machine}
	}
	s := e.node.simulator
	s.sendAlong(path, func() {
		target.onUpdateRequest(request, func(update distribution.Update) {
			back := slices.Clone(path)
			slices.Reverse(back)
			s.sendAlong(back, func() {
				if c.lastRequest == number {
					e.onUpdate(update, sent)
				}
			})
		})
	})
}

// sendReport sends a node's report to the chosen control server.
func (c *controlChoice) sendReport(node *machine, controls []*controlServer, report distribution.NodeReport) {
	target := c.server(controls)
	node.simulator.send(node, &target.machine, func() { target.distributor.HandleReport(report, target.clock()) })
}

// indexOf gives the index of a control server by name.
func indexOf(controls []*controlServer, name string) (int, bool) {
	index := slices.IndexFunc(controls, func(control *controlServer) bool { return control.name == name })
	return index, index >= 0
}
