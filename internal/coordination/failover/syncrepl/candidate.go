package syncrepl

import (
	"fmt"
	"slices"

	"tansyseam/internal/state/model"
)

// chooseCandidate returns the replica to promote, with the reason for the audit log. If
// proven is false, no replica is proven to hold all acknowledged commits yet, and the
// reason states why.
func chooseCandidate(evidence Evidence, poll poll, timing Timing) (candidate, reason string, proven bool) {
	if len(poll.answered) == 0 {
		return "", "term is closed, and no replica answers: nothing is promoted", false
	}
	preferred, decided := preferredReplica(evidence, poll, timing)
	if !decided {
		return "", "a replica that stays is behind one that leaves", false
	}
	if !holdsAllCommits(evidence, poll, preferred) {
		return "", fmt.Sprintf("term is closed, and no replica is shown to hold all that was acknowledged (unreachable %v, gone %v): nothing is promoted", poll.silent, poll.gone), false
	}
	position, bound := poll.positions[preferred], evidence.CommitBound
	reason = fmt.Sprintf("%s received %d.%d; answered %d, unreachable %v, gone %v; acknowledged up to %d.%d, complete %t", preferred,
		position.Term, position.Index, len(poll.answered), poll.silent, poll.gone, bound.Term, bound.Index, evidence.IsBoundComplete())
	return preferred, reason, true
}

// preferredReplica returns the most advanced of the replicas that are not leaving, if it
// is proven to hold all acknowledged commits, and otherwise the most advanced of all.
// A leaving replica is not preferred, since it would soon have to be replaced. The
// result is undecided while a replica that is not leaving may still catch up.
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

// holdsAllCommits reports whether a replica that answered is proven to hold every
// acknowledged commit. One of three proofs is enough: all replicas have answered and
// it is the most advanced of them, or it has reached the commit bound of the nodes'
// reports and that bound is complete, or it has reached the last position of the old
// primary. In any case it must have reached the recorded high watermark.
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
	oldPrimaryPosition, found := oldPrimaryBound(evidence)
	return found && !position.IsBefore(oldPrimaryPosition)
}

// oldPrimaryBound returns a position at or past every acknowledged commit. Such a bound
// is found if the old primary, or an instance that took over its log, answered with its
// position as primary of the recorded term after the nodes had stopped using the old
// primary.
func oldPrimaryBound(evidence Evidence) (bound model.Position, found bool) {
	for _, probe := range evidence.Probes {
		if evidence.Settled && probe.AfterSettled && probe.leads(evidence.Writer.Term) {
			bound, found = bound.Max(probe.Position), true
		}
	}
	return bound, found
}
