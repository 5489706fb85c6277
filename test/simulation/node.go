package simulation

import (
	"fmt"
	"reflect"
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/state/model"
)

const (
	nodeHeartbeatInterval = 20 * time.Millisecond
	nodeUpdateTimeout     = 600 * time.Millisecond
	nodeReportDelay       = 20 * time.Millisecond
	// nodeTriesPerRelay makes every second request go through another node while
	// answers are missed.
	nodeTriesPerRelay = 2
)

// node is a data-plane node. It runs the product's pool for its own protocol on
// simulated links.
type node struct {
	machine
	fleet       *fleet
	pool        *httppool.Machine
	starts      int
	control     controlChoice
	connections []*connection
	callers     []*caller
	// stopping is true while a planned stop is in progress.
	stopping bool
	// weight is the node's share of the instances' capacity relative to other
	// nodes.
	weight       float64
	windowModels map[string]*windowModel
}

func (n *node) start() {
	if n.running {
		return
	}
	n.markStarted()
	n.starts++
	identity := httppool.Node{Name: n.name, Zone: n.zone, Incarnation: fmt.Sprint(n.starts), Weight: 1}
	n.pool = httppool.New(identity, httppool.DefaultTiming(), func(string, int64) {})
	n.connections, n.windowModels = nil, map[string]*windowModel{}
	n.simulator.record("%s up", n.name)
	n.after(nodeStartDelay, n.requestUpdate)
	n.after(nodeHeartbeatInterval, n.heartbeat)
}

func (n *node) onCrash(vanished bool) {
	for _, connection := range n.connections {
		connection.onNodeCrash(vanished)
	}
	for _, caller := range n.callers {
		caller.onNodeCrash(n, vanished)
	}
	n.callers = nil
}

// step calls act, which acts on the pool, and carries out the resulting effects.
func (n *node) step(act func(now time.Duration)) {
	act(n.clock())
	for _, effect := range n.pool.Effects() {
		nodeEffectHandlers[reflect.TypeOf(effect)](n, effect)
	}
}

// stepWithin takes a step after a random delay of at most maxDelay.
func (n *node) stepWithin(maxDelay time.Duration, act func(now time.Duration)) {
	n.after(n.simulator.randomDuration(0, maxDelay), func() { n.step(act) })
}

func (n *node) heartbeat() {
	n.after(nodeHeartbeatInterval, n.heartbeat)
	running := 0
	for _, node := range n.fleet.nodes {
		if node.running {
			running++
		}
	}
	n.step(func(now time.Duration) {
		n.pool.Tick(running, n.weight, now)
		n.checkWindows(now)
	})
}

// requestUpdate requests the next update from a control server.
func (n *node) requestUpdate() {
	n.control.requestUpdate(n, n.fleet.controls, nodeUpdateTimeout)
}

func (n *node) buildUpdateRequest() (request distribution.UpdateRequest) {
	n.step(func(now time.Duration) { request = n.pool.UpdateRequest(now) })
	return request
}

func (n *node) chooseRelay() *machine {
	if !n.control.usesRelay(nodeTriesPerRelay) {
		return nil
	}
	return &n.fleet.randomNode().machine
}

// onUpdateTimeout sends the next request. It changes to the next control server
// once both the direct path to the current one and the path through another node
// were tried.
func (n *node) onUpdateTimeout() {
	if n.control.missedAnswers%nodeTriesPerRelay == 0 {
		n.control.index++
	}
	n.requestUpdate()
}

func (n *node) onUpdate(update distribution.Update, sent time.Duration) {
	if !update.FromPrimary {
		n.control.lastRequest++
		n.chooseControl(update.Record.Primary)
		n.after(updateRetryDelay, n.requestUpdate)
		return
	}
	n.control.missedAnswers = 0
	if n.fleet.defects.OverlongLeases {
		update.LeaseDuration *= overlongLeaseFactor
	}
	if update.Snapshot != nil {
		n.fleet.recorder.addServedSets(n.name, update.Snapshot.Sets, n.simulator.now)
	}
	n.step(func(now time.Duration) { n.pool.ApplyUpdate(update, sent, now) })
	n.requestUpdate()
}

// chooseControl changes to the control server that an answer names as primary. Every
// fourth time it changes to the next server instead, because the named one may be
// unreachable.
func (n *node) chooseControl(primary string) {
	n.control.missedAnswers++
	if n.control.skipsRedirect() {
		n.control.index++
		return
	}
	if index, found := indexOf(n.fleet.controls, primary); found {
		n.control.index = index
	}
}

// sendReport sends the node's observations of instances to its control server.
func (n *node) sendReport() {
	n.control.sendReport(&n.machine, n.fleet.controls, n.pool.Observations(n.clock()))
}

func (n *node) onAnnouncement(announced model.Instance) {
	announced = n.fleet.distort(announced)
	n.step(func(now time.Duration) { n.pool.UpdateInstance(announced, now) })
}

// distort returns an observation of an instance, changed by the planted defects.
func (f *fleet) distort(observed model.Instance) model.Instance {
	if f.defects.IgnoreLeaving {
		observed.Leaving = false
	}
	if f.defects.InflatedReplicaPositions {
		for _, instance := range f.instances {
			if instance.database == observed.Database && instance.incarnationName != "" {
				observed.Position = observed.Position.Max(instance.position())
			}
		}
	}
	if f.defects.OutdatedPrimaryPositions && observed.Role == model.RolePrimary {
		observed.Position = f.findInstance(observed.Name).positionBefore(outdatedPositionAge)
	}
	return observed
}
