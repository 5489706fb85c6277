package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/state/model"
)

func (c *controlServer) decideSyncFailover(primary *controlServer, at syncrepl.Evidence) {
	at.FencingEnforced = c.fleet.lines.lineConfig.FencesChecked
	at = c.syncFailover.Augment(at, c.clock())
	effects := syncrepl.Step(at, syncrepl.DefaultTiming())
	if c.fleet.lines.defects.PromoteWorstReplica {
		effects = c.withWorstPromotion(at, effects)
	}
	c.applyFailover(primary, at.Database, at.Writer, at.Known, effects, func(effect any) { c.applySyncFailover(primary, at, effect) }, c.syncFailover.RecordCommitted)
}

func (c *controlServer) applySyncFailover(primary *controlServer, at syncrepl.Evidence, effect any) {
	if request, isAsk := effect.(syncrepl.QueryStatus); isAsk {
		c.sendOrder(at, request.Instance, request.Address, 0)
	}
	if down, isDown := effect.(syncrepl.StepDown); isDown {
		c.sendOrder(at, down.Instance, down.Address, down.Term)
	}
	if mark, isMark := effect.(syncrepl.ReportBound); isMark {
		c.simulator.send(&c.machine, &primary.machine, func() {
			if primary.isPrimary() {
				primary.distributor.ConfirmCoverage(mark)
			}
		})
	}
	if call, isCall := effect.(syncrepl.Promote); isCall {
		c.callPlatform(call)
	}
}

func (c *controlServer) withWorstPromotion(at syncrepl.Evidence, effects []any) []any {
	for rank, effect := range effects {
		if record, isRecord := effect.(failover.Record); isRecord && record.Writer.Phase == model.PhasePromoting {
			record.Writer.Promoting = c.worstReplica(at)
			effects[rank] = record
		}
		if call, isCall := effect.(syncrepl.Promote); isCall {
			call.Instance = c.worstReplica(at)
			effects[rank] = call
		}
	}
	return effects
}

func (c *controlServer) worstReplica(at syncrepl.Evidence) string {
	name, least := "", model.Position{Term: 1 << 60}
	for _, observation := range at.Observations {
		seen := at.Probes[observation.Instance.Name]
		if seen.Answered && seen.Role == model.RoleReplica && seen.Position.IsBefore(least) {
			name, least = observation.Instance.Name, seen.Position
		}
	}
	return name
}

const orderTimeout = 400 * time.Millisecond

// order asks an instance for its status, or orders it out of the writer role.
func (c *controlServer) sendOrder(at syncrepl.Evidence, instance, address string, term uint64) {
	told := c.syncFailover.BeginProbe(at, instance)
	if told == nil {
		return
	}
	finished := false
	over := func(seen syncrepl.ProbeResult) {
		if !finished {
			finished = true
			told(seen, c.clock())
		}
	}
	c.after(orderTimeout, func() { over(syncrepl.ProbeResult{}) })
	target := c.fleet.lines.instancesByAddress[address]
	if !target.running && !target.vanished {
		c.after(3*time.Millisecond, func() { over(syncrepl.ProbeResult{}) })
		return
	}
	c.simulator.send(&c.machine, &target.machine, func() {
		if term > 0 && target.name == instance {
			target.stepDown(term, c.fleet.lines.primaryOf(at.Database))
		}
		seen := syncrepl.ProbeResult{Answered: true, Role: target.role, Term: target.term, Position: target.position()}
		if target.name != instance {
			seen = syncrepl.ProbeResult{Gone: true}
		} else if len(target.queue) > 12 || c.simulator.chance(0.05) {
			seen = syncrepl.ProbeResult{Busy: true}
		}
		c.simulator.send(&target.machine, &c.machine, func() { over(seen) })
	})
}

const (
	statusDone     = 200
	statusConflict = 409
	statusTooMany  = 429
)

// call makes the platform's one call.
func (c *controlServer) callPlatform(call syncrepl.Promote) {
	l := c.fleet.lines
	told := c.syncFailover.BeginPromote(call, c.clock())
	c.simulator.record("%s calls for %s to lead %s, fence %d", c.name, call.Instance, call.Database, call.FencingToken)
	carry := func() {
		status := l.handlePromotion(call)
		c.simulator.record("the platform answers %d for %s", status, call.Instance)
		c.simulator.send(&l.platform.machine, &c.machine, func() { told(status, false) })
	}
	c.simulator.send(&c.machine, &l.platform.machine, func() {
		if l.platformCutOff {
			return
		}
		l.platform.after(l.platformDelay, carry)
		if l.platformRepeats {
			l.platform.after(l.platformDelay+l.simulator.randomDuration(0, 2*time.Second), carry)
		}
	})
}

func (l *lineFleet) handlePromotion(call syncrepl.Promote) int {
	if l.platformRefusals > 0 {
		l.platformRefusals--
		return statusTooMany
	}
	if call.FencingToken < l.fencingTokens[call.Database] {
		return statusConflict
	}
	l.fencingTokens[call.Database] = call.FencingToken
	at := slices.IndexFunc(l.lineInstances, func(one *lineInstance) bool { return one.name == call.Instance })
	if at < 0 || !l.lineInstances[at].running || l.lineInstances[at].ended {
		return statusConflict
	}
	target := l.lineInstances[at]
	if target.role == model.RolePrimary && target.term == l.newestTerms[call.Database] {
		return statusDone
	}
	l.platform.after(l.simulator.randomDuration(200*time.Millisecond, 700*time.Millisecond), func() {
		isLeading := target.role == model.RolePrimary && target.term == l.newestTerms[call.Database]
		if target.running && !target.ended && !isLeading {
			target.runDuring(target.incarnation, func() { target.becomePrimary(l.newestTerms[call.Database] + 1) })
		}
	})
	return statusDone
}
