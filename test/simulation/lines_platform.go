package simulation

import (
	"time"

	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/state/model"
)

const (
	readinessInterval  = time.Second
	maxMissedProbes    = 2
	minPromotionTime   = 200 * time.Millisecond
	maxPromotionTime   = 700 * time.Millisecond
	maxRepeatedCallLag = 2 * time.Second
)

// linePlatform is the simulated platform of the users of line sessions. It
// promotes instances on request, checks fencing tokens, and probes nodes for
// readiness.
type linePlatform struct {
	machine
	fleet         *lineFleet
	fencingTokens map[string]uint64
	// delay is the time that a call takes.
	delay time.Duration
	// refusals is the number of calls that the platform will still refuse.
	refusals int
	cutOff   bool
	// repeats is true if each call is executed a second time, later.
	repeats bool
}

func newLinePlatform(l *lineFleet) *linePlatform {
	platform := &linePlatform{machine: newMachine(l.simulator, "platform"), fleet: l, fencingTokens: map[string]uint64{}}
	platform.running = true
	return platform
}

// requestPromotion sends a control server's request to promote an instance to the
// platform.
func (p *linePlatform) requestPromotion(control *controlServer, call syncrepl.Promote) {
	report := control.syncFailover.BeginPromote(call, control.clock())
	p.simulator.record("%s requests promotion of %s to primary of %s, fencing token %d", control.name, call.Instance, call.Database, call.FencingToken)
	handle := func() {
		status := p.promote(call)
		p.simulator.record("the platform answers %d for %s", status, call.Instance)
		p.simulator.send(&p.machine, &control.machine, func() { report(status, false) })
	}
	p.simulator.send(&control.machine, &p.machine, func() {
		if p.cutOff {
			return
		}
		p.after(p.delay, handle)
		if p.repeats {
			p.after(p.delay+p.simulator.randomDuration(0, maxRepeatedCallLag), handle)
		}
	})
}

// promote starts a promotion, and returns the status code of the answer.
func (p *linePlatform) promote(call syncrepl.Promote) int {
	if p.refusals > 0 {
		p.refusals--
		return statusTooManyRequests
	}
	if call.FencingToken < p.fencingTokens[call.Database] {
		return statusConflict
	}
	p.fencingTokens[call.Database] = call.FencingToken
	target := p.fleet.findInstance(call.Instance)
	if target == nil || !target.running || target.ended {
		return statusConflict
	}
	if target.isNewestPrimary() {
		return statusDone
	}
	p.after(p.simulator.randomDuration(minPromotionTime, maxPromotionTime), func() {
		if target.running && !target.ended && !target.isNewestPrimary() {
			target.runDuring(target.incarnation, func() { target.becomePrimary(p.fleet.newestTerms[call.Database] + 1) })
		}
	})
	return statusDone
}

// isNewestPrimary reports whether the instance is the primary of the newest term.
func (i *lineInstance) isNewestPrimary() bool {
	return i.role == model.RolePrimary && i.term == i.fleet.newestTerms[i.database]
}

// probeReadiness probes all nodes at regular intervals. A node that misses two
// probes gets no new sessions.
func (l *lineFleet) probeReadiness() {
	for _, node := range l.nodes {
		node.missedProbes++
		if node.running && !node.frozen {
			if ready, _ := node.pool.Ready(node.clock()); ready {
				node.missedProbes = 0
			}
		}
	}
	l.simulator.after(readinessInterval, l.probeReadiness)
}

// listedNodes returns the nodes that the platform lists for new sessions. These
// are the ready nodes, or all nodes if fewer than half are ready.
func (l *lineFleet) listedNodes() []*lineNode {
	var listed []*lineNode
	for _, node := range l.nodes {
		if node.missedProbes < maxMissedProbes {
			listed = append(listed, node)
		}
	}
	if len(listed)*2 < len(l.nodes) {
		return l.nodes
	}
	return listed
}
