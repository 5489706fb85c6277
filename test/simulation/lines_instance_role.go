package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

const (
	lineRedirectInterval = 200 * time.Millisecond
	lineRedirectAttempts = 200
	// stepDownDelay is how long an old primary takes to follow a new one.
	stepDownDelay = time.Second
)

// becomePrimary makes the instance primary of a term, and has the others
// follow.
func (i *lineInstance) becomePrimary(term uint64) {
	i.role, i.term, i.pendingCommits = model.RolePrimary, term, nil
	i.fleet.newestTerms[i.database] = term
	i.simulator.record("%s leads term %d at %v", i.name, term, i.position())
	i.fleet.checker.checkComplete(i, "the promoted one")
	i.announce(i.info(), announcementRetries)
	i.redirectReplicas()
}

// redirectReplicas has the others follow; a primary that starts again does so
// anew.
func (i *lineInstance) redirectReplicas() {
	for _, other := range i.fleet.instancesOf(i.database) {
		if other != i {
			i.redirect(other, i.term, lineRedirectAttempts)
		}
	}
}

// redirect has an instance follow, and tries again until it has received it.
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

// stepDown makes a primary follow that of a newer term. Sessions with a commit
// in flight end.
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
