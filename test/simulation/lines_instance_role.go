package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

const (
	lineRedirectInterval = 200 * time.Millisecond
	lineRedirectAttempts = 200
	// stepDownDelay is the time that an old primary takes to follow a new one.
	stepDownDelay = time.Second
)

// becomePrimary makes the instance the primary of a term, and redirects the
// other instances of its database to it.
func (i *lineInstance) becomePrimary(term uint64) {
	i.role, i.term, i.pendingCommits = model.RolePrimary, term, nil
	i.fleet.newestTerms[i.database] = term
	i.simulator.record("%s becomes primary of term %d at %v", i.name, term, i.position())
	i.fleet.checker.checkComplete(i, "the promoted instance")
	i.announce(i.info(), announcementRetries)
	i.redirectReplicas()
}

// redirectReplicas makes the other instances of the database follow this one. A
// primary does so after its promotion and after each restart.
func (i *lineInstance) redirectReplicas() {
	for _, other := range i.fleet.instancesOf(i.database) {
		if other != i {
			i.redirect(other, i.term, lineRedirectAttempts)
		}
	}
}

// redirect orders another instance to follow this one, and retries until the
// order is delivered or the attempts are used up.
func (i *lineInstance) redirect(other *lineInstance, term uint64, attempts int) {
	if attempts == 0 || i.term != term || other.ended {
		return
	}
	delivered := false
	i.simulator.send(&i.machine, &other.machine, func() {
		delivered = true
		if other.term >= term {
			return
		}
		if other.role == model.RolePrimary {
			other.after(stepDownDelay, func() { other.stepDown(term, i) })
			return
		}
		other.term, other.upstream = term, i
	})
	i.after(lineRedirectInterval, func() {
		if !delivered {
			i.redirect(other, term, attempts-1)
		}
	})
}

// stepDown makes the instance follow the primary of a newer term. Its sessions
// with a commit in flight end.
func (i *lineInstance) stepDown(term uint64, primary *lineInstance) {
	if i.term >= term {
		return
	}
	i.simulator.record("%s steps down for term %d", i.name, term)
	i.role, i.term, i.upstream, i.pendingCommits = model.RoleReplica, term, primary, nil
	for _, session := range slices.Clone(i.sessions) {
		if session.committing {
			session.close()
			session.connection.breakOff()
		}
	}
	i.announce(i.info(), announcementRetries)
}
