package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/distribution"
)

const (
	// updateRetryDelay is the time for which a node waits after an answer from a
	// control server that is not primary.
	updateRetryDelay = 30 * time.Millisecond
	// overlongLeaseFactor is the factor by which the defect OverlongLeases
	// extends leases.
	overlongLeaseFactor = 100
	nodeStartDelay      = time.Millisecond
)

// controlChoice is a node's choice of the control server to which it sends its
// requests.
type controlChoice struct {
	index int
	// missedAnswers counts the requests since the last update of the primary that
	// were not answered in time or were answered by a server that is not primary.
	missedAnswers int
	// lastRequest is the number of the last request for an update. Answers to
	// earlier requests are ignored.
	lastRequest uint64
}

func (c *controlChoice) server(controls []*controlServer) *controlServer {
	return controls[c.index%len(controls)]
}

// skipsRedirect reports whether the node tries the next server instead of the one
// that an answer names, because the named one may be unreachable.
func (c *controlChoice) skipsRedirect() bool { return c.missedAnswers%4 == 3 }

// usesRelay reports whether the next request goes through another node. While
// answers are missed, one in tries requests does.
func (c *controlChoice) usesRelay(tries int) bool { return c.missedAnswers%tries == tries-1 }

// updateRequester is a node that requests updates from control servers, one request
// at a time.
type updateRequester interface {
	asMachine() *machine
	buildUpdateRequest() distribution.UpdateRequest
	// chooseRelay returns the node through which the request goes, or nil if it
	// goes directly.
	chooseRelay() *machine
	// onUpdateTimeout and onUpdate end a request. sent is the node's time at which
	// the request was sent.
	onUpdateTimeout()
	onUpdate(update distribution.Update, sent time.Duration)
}

// requestUpdate sends a node's request to the chosen control server. It calls
// onUpdate with the answer, or onUpdateTimeout if no answer arrives in time.
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

// indexOf returns the index of a control server by name, and whether it exists.
func indexOf(controls []*controlServer, name string) (int, bool) {
	index := slices.IndexFunc(controls, func(control *controlServer) bool { return control.name == name })
	return index, index >= 0
}
