package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/state/model"
)

func (c *control) decideTakeover(primary *control, at syncrepl.Case) {
	at.IsFenced = c.fleet.lines.size.IsFenced
	at = c.holder.Show(at, c.clock())
	effects := syncrepl.Step(at, syncrepl.DefaultTiming())
	if c.fleet.lines.defect.IsWorst {
		effects = c.worstCalls(at, effects)
	}
	c.carryAll(primary, at.Database, at.Writer, at.IsKnown, effects, func(effect any) { c.carryTakeover(primary, at, effect) }, c.holder.Recorded)
}

func (c *control) carryTakeover(primary *control, at syncrepl.Case, effect any) {
	if ask, isAsk := effect.(syncrepl.Ask); isAsk {
		c.order(at, ask.Instance, ask.Address, 0)
	}
	if down, isDown := effect.(syncrepl.StepDown); isDown {
		c.order(at, down.Instance, down.Address, down.Term)
	}
	if mark, isMark := effect.(syncrepl.Mark); isMark {
		c.world.send(&c.machine, &primary.machine, func() {
			if primary.isPrimary() {
				primary.steer.Covers(mark)
			}
		})
	}
	if call, isCall := effect.(syncrepl.Promote); isCall {
		c.call(call)
	}
}

func (c *control) worstCalls(at syncrepl.Case, effects []any) []any {
	for rank, effect := range effects {
		if record, isRecord := effect.(asyncrepl.Record); isRecord && record.Writer.Phase == model.PhaseIntent {
			record.Writer.Intent = c.worst(at)
			effects[rank] = record
		}
		if call, isCall := effect.(syncrepl.Promote); isCall {
			call.Instance = c.worst(at)
			effects[rank] = call
		}
	}
	return effects
}

func (c *control) worst(at syncrepl.Case) string {
	name, least := "", model.Position{Term: 1 << 60}
	for _, sight := range at.Sights {
		seen := at.Seen[sight.Instance.Name]
		if seen.IsAnswered && seen.Role == model.RoleReplica && seen.Position.IsBefore(least) {
			name, least = sight.Instance.Name, seen.Position
		}
	}
	return name
}

const orderWait = 400 * time.Millisecond

// order asks an instance for its status, or orders it out of the writer role.
func (c *control) order(at syncrepl.Case, instance, address string, term uint64) {
	told := c.holder.Order(at, instance)
	if told == nil {
		return
	}
	isOver := false
	over := func(seen syncrepl.Seen) {
		if !isOver {
			isOver = true
			told(seen, c.clock())
		}
	}
	c.do(orderWait, func() { over(syncrepl.Seen{}) })
	target := c.fleet.lines.hosts[address]
	if !target.isUp && !target.isVanished {
		c.do(3*time.Millisecond, func() { over(syncrepl.Seen{}) })
		return
	}
	c.world.send(&c.machine, &target.machine, func() {
		if term > 0 && target.name == instance {
			target.stepDown(term, c.fleet.lines.head(at.Database))
		}
		seen := syncrepl.Seen{IsAnswered: true, Role: target.role, Term: target.term, Position: target.position()}
		if target.name != instance {
			seen = syncrepl.Seen{IsGone: true}
		} else if len(target.line) > 12 || c.world.chance(0.05) {
			seen = syncrepl.Seen{IsBusy: true}
		}
		c.world.send(&target.machine, &c.machine, func() { over(seen) })
	})
}

const (
	statusDone     = 200
	statusConflict = 409
	statusTooMany  = 429
)

// call makes the platform's one call.
func (c *control) call(call syncrepl.Promote) {
	l := c.fleet.lines
	told := c.holder.Call(call, c.clock())
	c.world.note("%s calls for %s to lead %s, fence %d", c.name, call.Instance, call.Database, call.Fence)
	carry := func() {
		status := l.promote(call)
		c.world.note("the platform answers %d for %s", status, call.Instance)
		c.world.send(&l.platform.machine, &c.machine, func() { told(status, false) })
	}
	c.world.send(&c.machine, &l.platform.machine, func() {
		if l.isCut {
			return
		}
		l.platform.do(l.wait, carry)
		if l.isDouble {
			l.platform.do(l.wait+l.world.between(0, 2*time.Second), carry)
		}
	})
}

func (l *lines) promote(call syncrepl.Promote) int {
	if l.refusals > 0 {
		l.refusals--
		return statusTooMany
	}
	if call.Fence < l.fences[call.Database] {
		return statusConflict
	}
	l.fences[call.Database] = call.Fence
	at := slices.IndexFunc(l.servers, func(one *server) bool { return one.name == call.Instance })
	if at < 0 || !l.servers[at].isUp || l.servers[at].isEnded {
		return statusConflict
	}
	target := l.servers[at]
	if target.role == model.RolePrimary && target.term == l.leaders[call.Database] {
		return statusDone
	}
	l.platform.do(l.world.between(200*time.Millisecond, 700*time.Millisecond), func() {
		isLeading := target.role == model.RolePrimary && target.term == l.leaders[call.Database]
		if target.isUp && !target.isEnded && !isLeading {
			target.enter(target.life, func() { target.lead(l.leaders[call.Database] + 1) })
		}
	})
	return statusDone
}
