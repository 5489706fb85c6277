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

// usesRelay reports whether the next request goes through another node, as one
// of each so many tries does.
func (c *controlChoice) usesRelay(tries int) bool { return c.missedAnswers%tries == tries-1 }

// updateRequester is a node that asks control for updates, one request after
// another.
type updateRequester interface {
	asMachine() *machine
	buildUpdateRequest() distribution.UpdateRequest
	// chooseRelay gives the node that the request goes through; nil for none.
	chooseRelay() *machine
	// onUpdateTimeout and onUpdate end a request; sent is the node's time when
	// it was sent.
	onUpdateTimeout()
	onUpdate(update distribution.Update, sent time.Duration)
}

// requestUpdate sends a node's request to the chosen control server, and hands
// the node the answer to it, or that none came in time.
func (c *controlChoice) requestUpdate(requester updateRequester, controls []*controlServer, timeout time.Duration) {
	node := requester.asMachine()
	c.lastRequest++
	number, sent := c.lastRequest, node.clock()
	request, target := requester.buildUpdateRequest(), c.server(controls)
	node.after(timeout, func() {
		if c.lastRequest == number {
			c.missedAnswers++
			requester.onUpdateTimeout()
		}
	})
	path := []*machine{node, &target.machine}
	if relay := requester.chooseRelay(); relay != nil {
		path = []*machine{node, relay, &target.machine}
	}
	s := node.simulator
	s.sendAlong(path, func() {
		target.onUpdateRequest(request, func(update distribution.Update) {
			back := slices.Clone(path)
			slices.Reverse(back)
			s.sendAlong(back, func() {
				if c.lastRequest == number {
					requester.onUpdate(update, sent)
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
