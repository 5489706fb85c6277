package syncrepl

import (
	"fmt"
	"slices"

	"tansyseam/internal/state/model"
)

// chooseCandidate gives the replica to promote with the reason for the audit
// log, or the reason why none is proven to hold all acknowledged commits.
func chooseCandidate(evidence Evidence, poll poll, timing Timing) (candidate, reason string, proven bool) {
	if len(poll.answered) == 0 {
		return "", "term is closed, and no replica answers: nothing is promoted", false
	}
	best, decided := preferredReplica(evidence, poll, timing)
	if !decided {
		return "", "a replica that stays is behind one that leaves", false
	}
	if !holdsAllCommits(evidence, poll, best) {
		return "", fmt.Sprintf("term is closed, and no replica is shown to hold all that was acknowledged (unreachable %v, gone %v): nothing is promoted", poll.silent, poll.gone), false
	}
	position, bound := poll.positions[best], evidence.CommitBound
	reason = fmt.Sprintf("%s received %d.%d; answered %d, unreachable %v, gone %v; acknowledged up to %d.%d, complete %t", best,
		position.Term, position.Index, len(poll.answered), poll.silent, poll.gone, bound.Term, bound.Index, evidence.IsBoundComplete())
	return best, reason, true
}

// preferredReplica gives the most advanced of the replicas that stay, if it is proven to
// hold all acknowledged commits, and else the most advanced of all: one that leaves
// would soon have to be replaced. It is not decided while a replica that stays may
// still catch up.
func preferredReplica(evidence Evidence, poll poll, timing Timing) (name string, decided bool) {
	mostAdvanced := poll.mostAdvanced(poll.answered)
	staying := slices.DeleteFunc(slices.Clone(poll.answered), func(instance model.Instance) bool { return instance.Leaving })
	if len(staying) == 0 {
		return mostAdvanced, true
	}
	preferred := poll.mostAdvanced(staying)
	if holdsAllCommits(evidence, poll, preferred) {
		return preferred, true
	}
	return mostAdvanced, evidence.SettledFor >= timing.ReplicaWait
}

// holdsAllCommits says whether a replica that answered is proven to hold every
// acknowledged commit. Any of three proofs is enough: it is the most advanced
// of all replicas there are, or it has reached the complete commit bound of the
// nodes' reports, or the last position of the old primary.
func holdsAllCommits(evidence Evidence, poll poll, name string) bool {
	position := poll.positions[name]
	if position.IsBefore(evidence.Writer.HighWatermark) {
		return false
	}
	if poll.isComplete() && !position.IsBefore(poll.positions[poll.mostAdvanced(poll.answered)]) {
		return true
	}
	if evidence.IsBoundComplete() && !position.IsBefore(evidence.CommitBound) {
		return true
	}
	last, known := oldPrimaryBound(evidence)
	return known && !position.IsBefore(last)
}

// oldPrimaryBound gives a position at or past every acknowledged commit, where
// the old primary, or an instance that took over its log, gave its position
// after the nodes had stopped using it.
func oldPrimaryBound(evidence Evidence) (bound model.Position, known bool) {
	for _, probe := range evidence.Probes {
		if evidence.Settled && probe.AfterSettled && probe.leads(evidence.Writer.Term) {
			bound, known = bound.Max(probe.Position), true
		}
	}
	return bound, known
}
