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

// exchangeUpdate sends a node's request for an update to a control server,
// through a relay where one is given, and brings the answer back the same way.
func (s *simulator) exchangeUpdate(from, relay *machine, target *controlServer, request distribution.UpdateRequest, receive func(distribution.Update)) {
	path := []*machine{from, &target.machine}
	if relay != nil {
		path = []*machine{from, relay, &target.machine}
	}
	s.sendAlong(path, func() {
		target.onUpdateRequest(request, func(update distribution.Update) {
			back := slices.Clone(path)
			slices.Reverse(back)
			s.sendAlong(back, func() { receive(update) })
		})
	})
}

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

// indexOf gives the index of a control server by name.
func indexOf(controls []*controlServer, name string) (int, bool) {
	index := slices.IndexFunc(controls, func(control *controlServer) bool { return control.name == name })
	return index, index >= 0
}
