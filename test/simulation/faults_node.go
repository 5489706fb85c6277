package simulation

import (
	"slices"
	"time"
)

const (
	// maxAddedNodes is the maximum number of nodes that are added to those of
	// the configuration, maxRemovedNodes the maximum number of nodes that are
	// removed permanently.
	maxAddedNodes   = 2
	maxRemovedNodes = 2
	// A restart of all nodes in turn keeps each node down for restartDownTime,
	// and stops the next node restartInterval after the previous one.
	restartDownTime = 300 * time.Millisecond
	restartInterval = 1200 * time.Millisecond
	rushLoadFactor  = 8
	minNodeWeight   = 0.5
	nodeWeightRange = 3.5
)

func (f *fleet) randomNode() *node { return pickRandom(f.simulator, f.nodes) }

func (f *fleet) isAnyNodeStopping() bool {
	return slices.ContainsFunc(f.nodes, func(n *node) bool { return n.stopping })
}

func (f *fleet) crashNode(duration time.Duration) {
	node := f.randomNode()
	node.crashAndRestart(node.start, duration)
}

func (f *fleet) stopNode(duration time.Duration) {
	if !f.isAnyNodeStopping() {
		f.randomNode().stop(duration)
	}
}

func (f *fleet) restartNodesInTurn(time.Duration) {
	if f.isAnyNodeStopping() {
		return
	}
	delay := time.Duration(0)
	for _, node := range f.nodes {
		f.afterUnlessRepaired(delay, func() { node.stop(restartDownTime) })
		delay += restartInterval
	}
}

// resetCallers resets the connections of all callers of a node, whether or not
// they wait for an answer.
func (f *fleet) resetCallers(time.Duration) {
	for _, caller := range slices.Clone(f.randomNode().callers) {
		disconnect := caller.disconnect
		caller.resetByRun = disconnect != nil
		caller.leave()
		if disconnect != nil {
			caller.after(disconnectDelay, disconnect)
		}
	}
}

// haveCallersLeave disconnects the callers of a node that do not wait for an
// answer.
func (f *fleet) haveCallersLeave(time.Duration) {
	for _, caller := range slices.Clone(f.randomNode().callers) {
		if caller.disconnect == nil {
			caller.leave()
		}
	}
}

func (f *fleet) raiseLoad(duration time.Duration) {
	setFor(f.simulator, duration, &f.loadFactor, rushLoadFactor, 1)
}

func (f *fleet) addNode(time.Duration) {
	if len(f.nodes) < f.config.Nodes+maxAddedNodes {
		f.createNode().start()
	}
}

// replaceNode removes a node permanently, and starts another one after the
// duration.
func (f *fleet) replaceNode(duration time.Duration) {
	if len(f.nodes) >= f.config.Nodes+maxAddedNodes || len(f.removedNodes) >= maxRemovedNodes {
		return
	}
	old := f.randomNode()
	if old.running && !f.removedNodes[old.name] {
		f.removedNodes[old.name] = true
		old.crash()
		f.simulator.after(duration, f.createNode().start)
	}
}

func (f *fleet) changeNodeWeight(duration time.Duration) {
	node := f.randomNode()
	setFor(f.simulator, duration, &node.weight, minNodeWeight+nodeWeightRange*f.simulator.random.Float64(), 1)
}

// isolateNode cuts a node off from all control servers and all other nodes.
func (f *fleet) isolateNode(duration time.Duration) {
	isolated := f.randomNode()
	var peers []string
	for _, node := range f.nodes {
		peers = append(peers, node.name)
	}
	f.blockNode(isolated.name, peers, duration)
}
