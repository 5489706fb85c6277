package syncrepl

import (
	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

// onClosing waits until no node with a lease uses the primary any more. It then probes
// the instances, and promotes one that is proven to hold all acknowledged commits. If
// the old primary answers a probe as primary, the term is reopened instead.
func onClosing(evidence Evidence, timing Timing) []failover.Effect {
	if !evidence.Settled {
		return nil
	}
	if primary, probe, found := evidence.newerPrimary(); found && probe.AfterSettled {
		return []failover.Effect{openNewTerm(evidence, primary, probe, timing)}
	}
	if oldPrimaryLeads(evidence) {
		reason := evidence.Writer.Primary + " answers as primary, and nothing was promoted"
		return []failover.Effect{failover.ReopenTerm(evidence.Writer, evidence.WallNanos, reason)}
	}
	poll := pollInstances(evidence, timing)
	if awaitsOldPrimary(evidence, timing) || awaitsReplicas(evidence, poll, timing) {
		return poll.queries
	}
	candidate, reason, proven := chooseCandidate(evidence, poll, timing)
	if !proven {
		return append(poll.queries, failover.RecordReason(evidence.Writer, reason)...)
	}
	return intendPromotion(evidence, candidate, poll.positions[candidate], reason)
}

// oldPrimaryStays reports whether the old primary is neither stopped nor leaving, so that
// the term may be reopened under it.
func oldPrimaryStays(evidence Evidence) bool {
	primary, found := evidence.observation(evidence.Writer.Primary)
	return found && !primary.Instance.Leaving && !primary.Instance.Stopped
}

// oldPrimaryLeads reports whether the old primary stays, and has answered as primary of
// the term since the closing phase was settled.
func oldPrimaryLeads(evidence Evidence) bool {
	probe := evidence.Probes[evidence.Writer.Primary]
	return oldPrimaryStays(evidence) && probe.AfterSettled && probe.leads(evidence.Writer.Term)
}

// awaitsOldPrimary reports whether the old primary may still answer a probe in time.
func awaitsOldPrimary(evidence Evidence, timing Timing) bool {
	probed := evidence.Probes[evidence.Writer.Primary].AfterSettled
	return oldPrimaryStays(evidence) && !probed && evidence.SettledFor <= timing.OldPrimaryWait
}

// awaitsReplicas reports whether a silent replica may still answer a probe in time.
func awaitsReplicas(evidence Evidence, poll poll, timing Timing) bool {
	return len(poll.silent) > 0 && evidence.SettledFor <= timing.ReplicaWait
}

// intendPromotion records the choice of a replica with its position, which covers
// every acknowledged commit, and then makes the promote call.
func intendPromotion(evidence Evidence, candidate string, position model.Position, reason string) []failover.Effect {
	writer := model.CloneWriterRole(evidence.Writer)
	writer.Phase = model.PhasePromoting
	writer.Promoting = candidate
	writer.LastTransitionAt = evidence.WallNanos
	writer.PromoteCalls = 1
	writer.MinPosition = position
	return promoteEffects(evidence, writer, "promotion intended", reason)
}
