package simulation

import (
	"fmt"
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/state/model"
	"tansyseam/test/standin"
)

type instance struct {
	machine
	fleet    *fleet
	database string
	role     string
	term     uint64
	birth    string
	births   int
	upstream *instance
	entries  []standin.Entry
	delay    time.Duration
	service  time.Duration
	leaving  int64
	isSilent bool
	lose     int
	moved    []func()
	ran      []standin.Ran
	isLying  bool
	trail    []trail

	conns     []*conn
	connsMade int
	opened    int
	most      int
	busy      int
	line      []func()
	turns     int
}

func (x *instance) position() model.Position {
	if len(x.entries) == 0 {
		return model.Position{}
	}
	end := x.entries[len(x.entries)-1]
	return model.Position{Term: end.Term, Index: end.Index}
}

func (x *instance) info() model.Instance {
	return model.Instance{
		Name: x.name, Database: x.database, Address: x.name, Zone: x.zone, Role: x.role, Birth: x.birth, Position: x.position(),
		Term: x.term, IsLeaving: x.leaving != 0, Connections: x.fleet.shape.Connections, Slots: x.fleet.shape.Slots,
	}
}

func (x *instance) start() {
	x.isUp, x.isFrozen, x.backlog, x.moved = true, false, nil, nil
	x.world.note("%s up as %s of term %d at %v", x.name, x.role, x.term, x.position())
	x.do(time.Millisecond, x.announce)
	x.do(time.Millisecond, x.pull)
}

func (x *instance) wipe() {
	x.births++
	x.birth = fmt.Sprintf("%s.%d", x.name, x.births)
	x.entries, x.role = nil, model.RoleReplica
	x.world.note("%s lost its data", x.name)
}

func (x *instance) append(entry standin.Entry) {
	x.entries = append(x.entries, entry)
	waiting := x.moved
	x.moved = nil
	for _, wake := range waiting {
		wake()
	}
}

type trail struct {
	at       time.Duration
	position model.Position
}

func (x *instance) behind(span time.Duration) model.Position {
	for at := len(x.trail) - 1; at >= 0; at-- {
		if x.trail[at].at <= x.world.now-span {
			return x.trail[at].position
		}
	}
	return model.Position{}
}

func (x *instance) announce() {
	x.trail = append(x.trail, trail{x.world.now, x.position()})
	x.do(400*time.Millisecond, x.announce)
	if x.isSilent {
		return
	}
	info := x.info()
	for _, node := range x.fleet.nodes {
		x.world.send(&x.machine, &node.machine, func() { node.onInstance(info) })
	}
	for _, disk := range x.fleet.controls {
		x.world.send(&x.machine, &disk.machine, func() { disk.heard[info.Name] = distribution.Heard{Instance: info, At: disk.clock()} })
	}
}

func (x *instance) past(after model.Position, wait time.Duration, wake func()) {
	isDone := false
	once := func() {
		if !isDone {
			isDone = true
			wake()
		}
	}
	if after.IsBefore(x.position()) {
		once()
		return
	}
	x.moved = append(x.moved, once)
	x.do(wait, once)
}

func (x *instance) pull() {
	if x.role != model.RoleReplica || x.upstream == nil {
		x.do(100*time.Millisecond, x.pull)
		return
	}
	up, after := x.upstream, x.position()
	isOver := false
	again := func() {
		if !isOver {
			isOver = true
			x.pull()
		}
	}
	x.do(700*time.Millisecond, again)
	x.world.send(&x.machine, &up.machine, func() {
		up.past(after, 300*time.Millisecond, func() {
			entries, cut, isCut := up.follow(after)
			term := up.term
			x.world.send(&up.machine, &x.machine, func() {
				x.do(x.delay, func() {
					if !isOver && x.role == model.RoleReplica && x.upstream == up && x.position() == after {
						x.apply(entries, cut, isCut, term)
					}
					again()
				})
			})
		})
	})
}

func (x *instance) follow(after model.Position) ([]standin.Entry, int, bool) {
	at := int(after.Index)
	if x.role != model.RolePrimary && (at > len(x.entries) || (at > 0 && x.entries[at-1].Term != after.Term)) {
		return nil, 0, false
	}
	if at > len(x.entries) {
		return nil, len(x.entries), true
	}
	if at > 0 && x.entries[at-1].Term != after.Term {
		return nil, at - 1, true
	}
	return append([]standin.Entry(nil), x.entries[at:]...), 0, false
}

func (x *instance) apply(entries []standin.Entry, cut int, isCut bool, term uint64) {
	if isCut {
		x.world.note("%s cuts its log from %d back to %d", x.name, len(x.entries), cut)
		x.entries = x.entries[:cut]
		return
	}
	for _, entry := range entries {
		x.append(entry)
	}
	x.term = max(x.term, term)
}

type platform struct {
	machine
	fleet    *fleet
	wait     time.Duration
	refusals int
	isCut    bool
	calls    int
	isLoose  bool
}

func (p *platform) promote(from *control, call asyncrepl.Promote) {
	p.world.note("%s calls for %s to be promoted to term %d", from.name, call.Instance, call.Term)
	p.world.send(&from.machine, &p.machine, func() {
		if p.isCut {
			return
		}
		if p.refusals > 0 {
			p.refusals--
			return
		}
		p.calls++
		p.do(p.wait, func() { p.carry(call) })
	})
}

func (p *platform) carry(call asyncrepl.Promote) {
	target := p.fleet.instanceBy(call.Instance)
	p.world.send(&p.machine, &target.machine, func() {
		if target.term >= call.Term {
			return
		}
		target.role, target.term, target.upstream = model.RolePrimary, call.Term, nil
		target.append(standin.Entry{Term: call.Term, Index: uint64(len(target.entries)) + 1})
		target.ran = append(target.ran, standin.Ran{At: int64(p.world.now), Instance: target.name, Database: target.database, Act: "promote", Term: call.Term})
		p.world.note("%s promoted to term %d at %v", target.name, target.term, target.position())
		for _, other := range p.fleet.instances {
			if other.database == target.database && other != target {
				p.follow(other, target, call.Term, 400)
			}
		}
	})
}

func (p *platform) follow(other, target *instance, term uint64, goes int) {
	if goes == 0 {
		return
	}
	if p.isLoose {
		p.do(200*time.Millisecond, func() { p.follow(other, target, term, goes-1) })
		return
	}
	isHeard := false
	p.world.send(&p.machine, &other.machine, func() {
		isHeard = true
		if term < other.term || (other.role == model.RolePrimary && other.term == term) {
			return
		}
		other.role, other.upstream, other.term = model.RoleReplica, target, term
	})
	p.do(200*time.Millisecond, func() {
		if !isHeard {
			p.follow(other, target, term, goes-1)
		}
	})
}
