package simulation

import (
	"reflect"
	"slices"
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/pool/linepool"
)

const (
	lineHeartbeatInterval = 25 * time.Millisecond
	lineUpdateTimeout     = 900 * time.Millisecond
	lineReportDelay       = 5 * time.Millisecond
	// lineTriesPerRelay is the number of update requests of which one goes
	// through another node while answers are missed.
	lineTriesPerRelay = 3
	// strandedCommitsRetryDelay is the delay before a node checks again whether
	// commits at a closing primary may still be answered.
	strandedCommitsRetryDelay = 10 * time.Millisecond

	lineStopCheckInterval = 20 * time.Millisecond
	minLineStopTime       = 2500 * time.Millisecond
	maxLineStopTime       = 5600 * time.Millisecond
)

// lineNode is a data-plane node of line sessions. It runs the product's pool for
// line sessions on simulated links.
type lineNode struct {
	machine
	fleet       *lineFleet
	pool        *linepool.Machine
	starts      int64
	control     controlChoice
	connections []*lineConnection
	// clients has the client of each session.
	clients map[*linepool.Client]*lineClient
	// openQueries has the number of unanswered queries of each session.
	openQueries map[*linepool.Client]int
	// stopping is true during a planned stop, which began at stoppingSince.
	stopping      bool
	stoppingSince time.Duration
	startedAt     time.Duration
	thawedAt      time.Duration
	// missedProbes counts the platform's probes since the last probe that found
	// the node ready.
	missedProbes int
	// reportPending is true while a report to control is scheduled.
	reportPending bool
	windowModels  map[string]*windowModel
}

func (n *lineNode) start() {
	if n.running {
		return
	}
	n.markStarted()
	n.stopping, n.reportPending = false, false
	n.starts++
	n.startedAt = n.simulator.now
	n.windowModels = map[string]*windowModel{}
	identity := linepool.Node{Name: n.name, Zone: n.zone, Incarnation: n.starts, Weight: 1}
	n.pool = linepool.New(identity, linepool.DefaultTiming(), lease.DefaultTiming(), func(string, int64) {})
	n.connections, n.clients, n.openQueries = nil, map[*linepool.Client]*lineClient{}, map[*linepool.Client]int{}
	n.simulator.record("%s up", n.name)
	if !n.fleet.defects.NoUpdatesAfterRestart || n.starts == 1 {
		n.after(nodeStartDelay, n.requestUpdate)
	}
	n.after(lineHeartbeatInterval, n.heartbeat)
}

func (n *lineNode) onCrash(vanished bool) {
	for _, connection := range n.connections {
		connection.onNodeCrash(vanished)
	}
	for _, client := range n.fleet.clients {
		if client.node == n {
			client.onNodeCrash(vanished)
		}
	}
	n.connections, n.clients = nil, map[*linepool.Client]*lineClient{}
}

// thaw ends a freeze, and records the time.
func (n *lineNode) thaw() {
	if n.frozen {
		n.thawedAt = n.simulator.now
	}
	n.machine.thaw()
}

// freezeFor freezes the node for a span.
func (n *lineNode) freezeFor(span time.Duration) {
	n.freeze()
	n.simulator.after(span, n.thaw)
}

// isRecovering reports whether the node is frozen, or was started or thawed so
// recently that time limits do not apply to it yet.
func (n *lineNode) isRecovering() bool {
	return n.frozen || n.simulator.now-max(n.startedAt, n.thawedAt) < contactTimeout
}

// step runs one step of the pool, and executes its effects.
func (n *lineNode) step(act func(now time.Duration)) {
	act(n.clock())
	for _, effect := range n.pool.Effects() {
		lineEffectHandlers[reflect.TypeOf(effect)](n, effect)
	}
}

func (n *lineNode) heartbeat() {
	n.after(lineHeartbeatInterval, n.heartbeat)
	var running []string
	for _, node := range n.fleet.nodes {
		if node.running {
			running = append(running, node.name)
		}
	}
	weight := 1.0
	if n.fleet.defects.WrongWeight {
		weight = 2
	}
	n.step(func(now time.Duration) {
		n.pool.Tick(running, weight, now)
		n.checkWindows(now)
	})
}

// requestUpdate requests the next update from a control server. It waits while
// commits at a closing primary may still be answered, because the request also
// reports that the node has stopped using that primary.
func (n *lineNode) requestUpdate() {
	if n.pool.HasStrandedCommits(n.clock()) {
		n.after(strandedCommitsRetryDelay, n.requestUpdate)
		return
	}
	n.control.requestUpdate(n, n.fleet.controls, lineUpdateTimeout)
}

func (n *lineNode) buildUpdateRequest() (request distribution.UpdateRequest) {
	n.step(func(now time.Duration) { request = n.pool.UpdateRequest(now) })
	return request
}

func (n *lineNode) chooseRelay() *machine {
	if !n.control.usesRelay(lineTriesPerRelay) {
		return nil
	}
	return &n.fleet.randomNode().machine
}

func (n *lineNode) onUpdateTimeout() {
	n.control.index++
	n.requestUpdate()
}

func (n *lineNode) onUpdate(update distribution.Update, sent time.Duration) {
	n.control.lastRequest++
	if !update.FromPrimary {
		n.chooseControl(update.Record.Primary)
		n.after(updateRetryDelay, n.requestUpdate)
		return
	}
	n.control.missedAnswers = 0
	if n.fleet.defects.OverlongLeases {
		update.LeaseDuration *= overlongLeaseFactor
	}
	if n.fleet.defects.IgnoreLeaving {
		update.Instances = slices.Clone(update.Instances)
		for index := range update.Instances {
			update.Instances[index].Leaving = false
		}
	}
	n.step(func(now time.Duration) { n.pool.ApplyUpdate(update, sent, now) })
	n.requestUpdate()
}

// chooseControl selects the control server that an answer names as primary, or
// the next one in turn.
func (n *lineNode) chooseControl(primary string) {
	n.control.missedAnswers++
	n.control.index++
	if index, found := indexOf(n.fleet.controls, primary); found && !n.control.skipsRedirect() {
		n.control.index = index
	}
}

// sendReport sends the node's observations of instances to control.
func (n *lineNode) sendReport() {
	n.reportPending = false
	n.control.sendReport(&n.machine, n.fleet.controls, n.pool.Observations(n.clock()))
}

// stop starts a planned stop of the node, which starts again after downTime.
func (n *lineNode) stop(downTime time.Duration) {
	if !n.running || n.frozen || n.stopping {
		return
	}
	n.stopping, n.stoppingSince = true, n.simulator.now
	n.simulator.record("%s told to stop", n.name)
	if n.fleet.defects.AbruptStop {
		n.terminateSessions()
	}
	n.step(n.pool.Drain)
	n.awaitDrained(n.stoppingSince, downTime)
}

func (n *lineNode) terminateSessions() {
	for _, client := range n.fleet.clients {
		if client.node == n && client.session != nil {
			n.step(func(now time.Duration) { n.pool.Terminate(client.session, now) })
		}
	}
}

func (n *lineNode) awaitDrained(since, downTime time.Duration) {
	elapsed := n.simulator.now - since
	if (n.pool.IsDrained() && elapsed > minLineStopTime) || elapsed > maxLineStopTime {
		n.stopping = false
		n.crashAndRestart(n.start, downTime)
		return
	}
	n.after(lineStopCheckInterval, func() { n.awaitDrained(since, downTime) })
}
