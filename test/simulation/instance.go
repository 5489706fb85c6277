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
	fleet            *fleet
	database         string
	role             string
	term             uint64
	incarnationName  string
	dataLosses       int
	upstream         *instance
	entries          []standin.Entry
	replicationDelay time.Duration
	serviceTime      time.Duration
	leavingSince     int64
	silent           bool
	answersToLose    int
	appendWaiters    []func()
	executions       []standin.Ran
	claimsClean      bool
	positionHistory  []positionSample

	connections        []*connection
	connectionsMade    int
	openConnections    int
	maxOpenConnections int
	busySlots          int
	queue              []func()
	transactionsMade   int
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
		Name: x.name, Database: x.database, Address: x.name, Zone: x.zone, Role: x.role, Incarnation: x.incarnationName, Position: x.position(),
		Term: x.term, Leaving: x.leavingSince != 0, Connections: x.fleet.config.Connections, Slots: x.fleet.config.Slots,
	}
}

func (x *instance) start() {
	x.running, x.frozen, x.deferred, x.appendWaiters = true, false, nil, nil
	x.simulator.record("%s up as %s of term %d at %v", x.name, x.role, x.term, x.position())
	x.after(time.Millisecond, x.announce)
	x.after(time.Millisecond, x.replicate)
}

func (x *instance) loseData() {
	x.dataLosses++
	x.incarnationName = fmt.Sprintf("%s.%d", x.name, x.dataLosses)
	x.entries, x.role = nil, model.RoleReplica
	x.simulator.record("%s lost its data", x.name)
}

func (x *instance) append(entry standin.Entry) {
	x.entries = append(x.entries, entry)
	waiting := x.appendWaiters
	x.appendWaiters = nil
	for _, wake := range waiting {
		wake()
	}
}

type positionSample struct {
	at       time.Duration
	position model.Position
}

func (x *instance) positionBefore(span time.Duration) model.Position {
	for at := len(x.positionHistory) - 1; at >= 0; at-- {
		if x.positionHistory[at].at <= x.simulator.now-span {
			return x.positionHistory[at].position
		}
	}
	return model.Position{}
}

func (x *instance) announce() {
	x.positionHistory = append(x.positionHistory, positionSample{x.simulator.now, x.position()})
	x.after(400*time.Millisecond, x.announce)
	if x.silent {
		return
	}
	info := x.info()
	for _, node := range x.fleet.nodes {
		x.simulator.send(&x.machine, &node.machine, func() { node.onAnnouncement(info) })
	}
	for _, control := range x.fleet.controls {
		x.simulator.send(&x.machine, &control.machine, func() {
			control.announcements[info.Name] = distribution.Observation{Instance: info, ObservedAt: control.clock()}
		})
	}
}

func (x *instance) awaitBeyond(after model.Position, wait time.Duration, wake func()) {
	woken := false
	once := func() {
		if !woken {
			woken = true
			wake()
		}
	}
	if after.IsBefore(x.position()) {
		once()
		return
	}
	x.appendWaiters = append(x.appendWaiters, once)
	x.after(wait, once)
}

func (x *instance) replicate() {
	if x.role != model.RoleReplica || x.upstream == nil {
		x.after(100*time.Millisecond, x.replicate)
		return
	}
	up, after := x.upstream, x.position()
	finished := false
	again := func() {
		if !finished {
			finished = true
			x.replicate()
		}
	}
	x.after(700*time.Millisecond, again)
	x.simulator.send(&x.machine, &up.machine, func() {
		up.awaitBeyond(after, 300*time.Millisecond, func() {
			entries, cut, isCut := up.entriesAfter(after)
			term := up.term
			x.simulator.send(&up.machine, &x.machine, func() {
				x.after(x.replicationDelay, func() {
					if !finished && x.role == model.RoleReplica && x.upstream == up && x.position() == after {
						x.apply(entries, cut, isCut, term)
					}
					again()
				})
			})
		})
	})
}

func (x *instance) entriesAfter(after model.Position) ([]standin.Entry, int, bool) {
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
		x.simulator.record("%s cuts its log from %d back to %d", x.name, len(x.entries), cut)
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
	fleet           *fleet
	delay           time.Duration
	refusals        int
	cutOff          bool
	calls           int
	keepsOldPrimary bool
}

func (p *platform) promote(from *controlServer, call asyncrepl.Promote) {
	p.simulator.record("%s calls for %s to be promoted to term %d", from.name, call.Instance, call.Term)
	p.simulator.send(&from.machine, &p.machine, func() {
		if p.cutOff {
			return
		}
		if p.refusals > 0 {
			p.refusals--
			return
		}
		p.calls++
		p.after(p.delay, func() { p.applyPromotion(call) })
	})
}

func (p *platform) applyPromotion(call asyncrepl.Promote) {
	target := p.fleet.findInstance(call.Instance)
	p.simulator.send(&p.machine, &target.machine, func() {
		if target.term >= call.Term {
			return
		}
		target.role, target.term, target.upstream = model.RolePrimary, call.Term, nil
		target.append(standin.Entry{Term: call.Term, Index: uint64(len(target.entries)) + 1})
		target.executions = append(target.executions, standin.Ran{At: int64(p.simulator.now), Instance: target.name, Database: target.database, Act: "promote", Term: call.Term})
		p.simulator.record("%s promoted to term %d at %v", target.name, target.term, target.position())
		for _, other := range p.fleet.instances {
			if other.database == target.database && other != target {
				p.redirectReplica(other, target, call.Term, 400)
			}
		}
	})
}

func (p *platform) redirectReplica(other, target *instance, term uint64, goes int) {
	if goes == 0 {
		return
	}
	if p.keepsOldPrimary {
		p.after(200*time.Millisecond, func() { p.redirectReplica(other, target, term, goes-1) })
		return
	}
	isHeard := false
	p.simulator.send(&p.machine, &other.machine, func() {
		isHeard = true
		if term < other.term || (other.role == model.RolePrimary && other.term == term) {
			return
		}
		other.role, other.upstream, other.term = model.RoleReplica, target, term
	})
	p.after(200*time.Millisecond, func() {
		if !isHeard {
			p.redirectReplica(other, target, term, goes-1)
		}
	})
}
