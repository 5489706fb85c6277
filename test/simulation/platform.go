package simulation

import (
	"time"

	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/state/model"
	"tansyseam/test/history"
	"tansyseam/test/standin"
)

const (
	redirectInterval    = 200 * time.Millisecond
	maxRedirectAttempts = 400
)

// platform is the users' platform, which promotes instances when it is called
// and has the others follow.
type platform struct {
	machine
	fleet *fleet
	// delay is how long a call takes.
	delay time.Duration
	// refusals counts the calls that are still refused.
	refusals int
	cutOff   bool
	// keepsOldPrimary says that the platform does not have others follow.
	keepsOldPrimary bool
}

// requestPromotion calls the platform for the promotion of an instance.
func (p *platform) requestPromotion(from *controlServer, call asyncrepl.Promote) {
	p.simulator.record("%s calls for %s to be promoted to term %d", from.name, call.Instance, call.Term)
	p.simulator.send(&from.machine, &p.machine, func() {
		if p.cutOff {
			return
		}
		if p.refusals > 0 {
			p.refusals--
			return
		}
		p.after(p.delay, func() { p.promote(call) })
	})
}

func (p *platform) promote(call asyncrepl.Promote) {
	target := p.fleet.findInstance(call.Instance)
	p.simulator.send(&p.machine, &target.machine, func() {
		if target.term >= call.Term {
			return
		}
		target.becomePrimary(call.Term)
		for _, other := range p.fleet.instances {
			if other.database == target.database && other != target {
				p.redirect(other, target, call.Term, maxRedirectAttempts)
			}
		}
	})
}

// becomePrimary begins a term with an entry of its own.
func (i *instance) becomePrimary(term uint64) {
	i.role, i.term, i.upstream = model.RolePrimary, term, nil
	i.append(nil, nil)
	i.executions = append(i.executions, standin.Execution{At: int64(i.simulator.now), Instance: i.name, Database: i.database, Action: history.ActPromote, Term: term})
	i.simulator.record("%s promoted to term %d at %v", i.name, i.term, i.position())
}

// redirect has an instance follow the primary of a term, and tries again until
// the instance has received it.
func (p *platform) redirect(other, primary *instance, term uint64, attempts int) {
	if attempts == 0 {
		return
	}
	retry := func() { p.redirect(other, primary, term, attempts-1) }
	if p.keepsOldPrimary {
		p.after(redirectInterval, retry)
		return
	}
	delivered := false
	p.simulator.send(&p.machine, &other.machine, func() {
		delivered = true
		if term < other.term || (other.role == model.RolePrimary && other.term == term) {
			return
		}
		other.role, other.upstream, other.term = model.RoleReplica, primary, term
	})
	p.after(redirectInterval, func() {
		if !delivered {
			retry()
		}
	})
}
