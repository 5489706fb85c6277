package syncrepl

import (
	"fmt"
	"maps"
	"slices"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

// onClosing waits until no node with a lease uses the primary any more, probes
// the instances, and promotes one that is proven to hold all acknowledged
// commits. The term is reopened where its primary answers after all.
func onClosing(evidence Evidence, timing Timing) []failover.Effect {
	if !evidence.Settled {
		return nil
	}
	if primary, probe, found := evidence.newerPrimary(); found && probe.AfterSettled {
		return []failover.Effect{openNewTerm(evidence, primary, probe, timing)}
	}
	old, known := evidence.observation(evidence.Writer.Primary)
	staying := known && !old.Instance.Leaving && !old.Instance.Stopped
	oldProbe := evidence.Probes[evidence.Writer.Primary]
	if staying && oldProbe.AfterSettled && oldProbe.leads(evidence.Writer.Term) {
		reason := evidence.Writer.Primary + " answers as primary, and nothing was promoted"
		return []failover.Effect{failover.ReopenTerm(evidence.Writer, evidence.WallNanos, reason)}
	}
	poll := pollInstances(evidence, timing)
	waitsForPrimary := staying && !oldProbe.AfterSettled && evidence.SettledFor <= timing.OldPrimaryWait
	waitsForReplicas := len(poll.silent) > 0 && evidence.SettledFor <= timing.ReplicaWait
	if waitsForPrimary || waitsForReplicas {
		return poll.queries
	}
	candidate, reason, proven := chooseCandidate(evidence, poll, timing)
	if !proven {
		return append(poll.queries, failover.RecordReason(evidence.Writer, reason)...)
	}
	writer := model.CloneWriterRole(evidence.Writer)
	writer.Phase = model.PhasePromoting
	writer.Promoting = candidate
	writer.LastTransitionAt = evidence.WallNanos
	writer.PromoteCalls = 1
	writer.MinPosition = poll.positions[candidate]
	return promoteEffects(evidence, writer, "promotion intended", reason)
}

// poll is the state of the probes that a promotion is decided by.
type poll struct {
	// queries are the probes that are due.
	queries []failover.Effect
	// answered are the replicas that answered after the term was settled, with
	// their positions by name.
	answered  []model.Instance
	positions map[string]model.Position
	// silent names the replicas that may still answer, gone those that are not
	// there any more. Both are sorted.
	silent []string
	gone   []string
}

// pollInstances collects the probes of the recorded and recent replicas and of
// the old primary.
func pollInstances(evidence Evidence, timing Timing) poll {
	found := poll{positions: map[string]model.Position{}}
	for _, name := range namesToPoll(evidence, timing) {
		found.add(evidence, name, timing)
	}
	return found
}

func namesToPoll(evidence Evidence, timing Timing) []string {
	names := map[string]bool{}
	for name := range evidence.Writer.RequiredReplicas {
		names[name] = true
	}
	for _, observed := range evidence.Observations {
		instance := observed.Instance
		recent := instance.Name == evidence.Writer.Primary || evidence.contactAge(observed) <= timing.ReplicaRetention
		if recent && !instance.Stopped {
			names[instance.Name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

func (p *poll) add(evidence Evidence, name string, timing Timing) {
	observed, known := evidence.observation(name)
	probe := evidence.Probes[name]
	running := known && !observed.Instance.Stopped
	due := evidence.probeDue(name, timing.RetryInterval) || (!probe.AfterSettled && evidence.probeDue(name, 0))
	if running && !probe.Gone && due {
		p.queries = append(p.queries, queryStatus(observed.Instance))
	}
	if running && probe.AfterSettled && probe.Answered && probe.Role == model.RoleReplica {
		p.answered = append(p.answered, observed.Instance)
		p.positions[name] = probe.Position
		return
	}
	if name == evidence.Writer.Primary {
		return
	}
	if probe.Gone || !running {
		p.gone = append(p.gone, name)
		return
	}
	p.silent = append(p.silent, name)
}

// isComplete says whether every replica that may hold commits has answered.
func (p *poll) isComplete() bool { return len(p.silent) == 0 && len(p.gone) == 0 }

// mostAdvanced gives the first of the instances with the highest position.
func (p *poll) mostAdvanced(instances []model.Instance) string {
	return slices.MaxFunc(instances, func(a, b model.Instance) int {
		return failover.ComparePositions(p.positions[a.Name], p.positions[b.Name])
	}).Name
}

// chooseCandidate gives the replica to promote with the reason for the audit
// log, or the reason why none is proven to hold all acknowledged commits.
// Replicas that stay are preferred to those that are leaving.
func chooseCandidate(evidence Evidence, poll poll, timing Timing) (candidate, reason string, proven bool) {
	if len(poll.answered) == 0 {
		return "", "term is closed, and no replica answers: nothing is promoted", false
	}
	best := poll.mostAdvanced(poll.answered)
	staying := slices.DeleteFunc(slices.Clone(poll.answered), func(instance model.Instance) bool { return instance.Leaving })
	if len(staying) > 0 {
		preferred := poll.mostAdvanced(staying)
		preferredProven := holdsAllCommits(evidence, poll, preferred)
		if preferredProven {
			best = preferred
		}
		if !preferredProven && evidence.SettledFor < timing.ReplicaWait {
			return "", "a replica that stays is behind one that leaves", false
		}
	}
	if !holdsAllCommits(evidence, poll, best) {
		return "", fmt.Sprintf("term is closed, and no replica is shown to hold all that was acknowledged (silent %v, gone %v): nothing is promoted", poll.silent, poll.gone), false
	}
	position, bound := poll.positions[best], evidence.CommitBound
	reason = fmt.Sprintf("%s received %d.%d; heard %d, silent %v, gone %v; acknowledged up to %d.%d, whole %t", best,
		position.Term, position.Index, len(poll.answered), poll.silent, poll.gone, bound.Term, bound.Index, evidence.IsBoundComplete())
	return best, reason, true
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
