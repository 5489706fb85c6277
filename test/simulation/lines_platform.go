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

// linePlatform is the users' platform of line sessions: it promotes instances
// when it is called, checks fencing tokens, and probes which nodes are ready.
type linePlatform struct {
	machine
	fleet         *lineFleet
	fencingTokens map[string]uint64
	// delay is how long a call takes.
	delay time.Duration
	// refusals counts the calls that are still refused.
	refusals int
	cutOff   bool
	// repeats says that each call is carried out a second time, later.
	repeats bool
}

func newLinePlatform(l *lineFleet) *linePlatform {
	platform := &linePlatform{machine: newMachine(l.simulator, "platform"), fleet: l, fencingTokens: map[string]uint64{}}
	platform.running = true
	return platform
}

// requestPromotion calls the platform for the promotion of an instance.
func (p *linePlatform) requestPromotion(control *controlServer, call syncrepl.Promote) {
	report := control.syncFailover.BeginPromote(call, control.clock())
	p.simulator.record("%s calls for %s to lead %s, fence %d", control.name, call.Instance, call.Database, call.FencingToken)
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

// promote begins a promotion, and gives the status of the answer.
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

// isNewestPrimary reports whether the instance is primary in the newest term.
func (i *lineInstance) isNewestPrimary() bool {
	return i.role == model.RolePrimary && i.term == i.fleet.newestTerms[i.database]
}

// probeReadiness probes all nodes, again and again. A node that misses two
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

// listedNodes are those that the platform lists for new sessions: all of them
// where fewer than half are ready.
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
