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

// platform is the users' platform. It promotes instances when it is called, and
// makes the other instances follow the new primary.
type platform struct {
	machine
	fleet *fleet
	// delay is the duration of a call.
	delay time.Duration
	// refusals is the number of upcoming calls that the platform refuses.
	refusals int
	cutOff   bool
	// keepsOldPrimary is true if the platform does not make the other instances
	// follow the new primary.
	keepsOldPrimary bool
}

// requestPromotion sends a call for the promotion of an instance to the platform.
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

// becomePrimary makes the instance the primary of a term. The term begins with an
// empty log entry.
func (i *instance) becomePrimary(term uint64) {
	i.role, i.term, i.upstream = model.RolePrimary, term, nil
	i.append(nil, nil)
	i.executions = append(i.executions, standin.Execution{At: int64(i.simulator.now), Instance: i.name, Database: i.database, Action: history.ActPromote, Term: term})
	i.simulator.record("%s promoted to term %d at %v", i.name, i.term, i.position())
}

// redirect makes an instance follow the primary of a term. It retries until the
// instance has received the order, at most attempts times.
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
