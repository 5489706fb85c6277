package simulation

import (
	"time"

	"tansyseam/internal/coordination/idempotency"
)

const (
	// nodeStopTimeout is the maximum time for which a stopping node waits for
	// the work in flight.
	nodeStopTimeout       = 4300 * time.Millisecond
	nodeStopCheckInterval = 20 * time.Millisecond
	// nodeLingerTime is the time for which a node keeps running after its last
	// work, so that answers in flight are delivered.
	nodeLingerTime = 700 * time.Millisecond
	// nodeStopOvertime is the time after nodeStopTimeout by which every stop is
	// over. A node that crashed during its stop counts as stopping until then.
	nodeStopOvertime = 2 * time.Second
)

// stop stops a node as planned, and starts it again after downTime.
func (n *node) stop(downTime time.Duration) {
	if !n.running || n.frozen || n.stopping {
		return
	}
	n.stopping = true
	incarnation := n.incarnation
	n.simulator.record("%s told to stop", n.name)
	n.step(n.pool.Drain)
	n.awaitDrained(downTime)
	n.simulator.after(nodeStopTimeout+nodeStopOvertime, func() {
		if n.incarnation != incarnation {
			n.stopping = false
		}
	})
}

// awaitDrained finishes the stop once no session is active, or after
// nodeStopTimeout.
func (n *node) awaitDrained(downTime time.Duration) {
	since, freezes := n.simulator.now, n.freezeCount
	var check func()
	check = func() {
		if n.pool.ActiveSessions() == 0 || n.fleet.defects.AbruptStop || n.simulator.now >= since+nodeStopTimeout {
			n.finishStop(since, freezes, downTime)
			return
		}
		n.after(nodeStopCheckInterval, check)
	}
	check()
}

// finishStop ends all requests and sessions, hands over the idempotency records and
// crashes the node. A stop during which the node was frozen is not recorded as a
// planned restart.
func (n *node) finishStop(since time.Duration, freezes int, downTime time.Duration) {
	n.step(func(now time.Duration) { n.pool.EndDrain(now) })
	n.handOverRecords()
	linger := nodeLingerTime
	if n.fleet.defects.AbruptStop {
		linger = 0
	}
	n.after(linger, func() {
		n.stopping = false
		if n.freezeCount == freezes {
			n.fleet.recorder.addRestart(n.name, since, n.simulator.now)
		}
		n.crashAndRestart(n.start, downTime)
	})
}

// handOverRecords sends the idempotency records to a successor node, and notifies
// the other nodes of the successor.
func (n *node) handOverRecords() {
	successor := n.findSuccessor()
	if successor == nil {
		return
	}
	complete := n.pool.RequestLog().Export(successor.name)
	notice := idempotency.Handover{Node: complete.Node, Incarnation: complete.Incarnation, Successor: complete.Successor}
	for _, other := range n.fleet.nodes {
		if other == n {
			continue
		}
		handover := notice
		if other == successor {
			handover = complete
		}
		n.simulator.send(&n.machine, &other.machine, func() { other.pool.ImportHandover(handover, other.clock()) })
	}
}

func (n *node) findSuccessor() *node {
	for _, other := range n.fleet.nodes {
		if other != n && other.running && !other.stopping {
			return other
		}
	}
	return nil
}
