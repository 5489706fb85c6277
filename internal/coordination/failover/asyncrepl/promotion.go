package asyncrepl

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

// onClosed chooses the most advanced promotable candidate. If there is none, it reopens
// the term under the old primary, provided that the old primary has returned.
func onClosed(evidence Evidence, timing Timing) []failover.Effect {
	candidates := evidence.promotable(timing)
	if len(candidates) > 0 {
		return intendPromotion(evidence, mostAdvanced(candidates))
	}
	if primaryReturned(evidence, timing) {
		reason := evidence.Writer.Primary + " is back with all that was confirmed, and nothing was promoted"
		return []failover.Effect{failover.ReopenTerm(evidence.Writer, evidence.WallNanos, reason)}
	}
	return failover.RecordReason(evidence.Writer, "term is closed, and no reachable replica is shown to hold every confirmed commit: nothing is promoted")
}

// mostAdvanced returns the first of the instances with the highest position.
func mostAdvanced(candidates []Observation) model.Instance {
	return slices.MaxFunc(candidates, func(a, b Observation) int {
		return failover.ComparePositions(a.Instance.Position, b.Instance.Position)
	}).Instance
}

// intendPromotion records the choice of a replica, and then makes the promote call.
func intendPromotion(evidence Evidence, chosen model.Instance) []failover.Effect {
	writer := model.CloneWriterRole(evidence.Writer)
	writer.Phase = model.PhasePromoting
	writer.Promoting = chosen.Name
	writer.LastTransitionAt = evidence.WallNanos
	writer.PromoteCalls = 1
	confirmed := evidence.Writer.HighWatermark
	reason := fmt.Sprintf("%s at %d/%d, confirmed up to %d/%d", chosen.Name, chosen.Position.Term, chosen.Position.Index, confirmed.Term, confirmed.Index)
	return []failover.Effect{
		failover.Record{Writer: writer, Change: "promotion intended", Reason: reason},
		promoteCall(evidence, chosen),
	}
}

func promoteCall(evidence Evidence, instance model.Instance) Promote {
	return Promote{
		Database: evidence.Database,
		Instance: instance.Name,
		Address:  instance.Address,
		Term:     evidence.Writer.Term + 1,
	}
}

// primaryReturned reports whether the old primary is responsive again, in its role and
// term and with all confirmed commits.
func primaryReturned(evidence Evidence, timing Timing) bool {
	primary, found := evidence.observation(evidence.Writer.Primary)
	if !found || primary.ContactAge > timing.SilenceTimeout || primary.Instance.Leaving {
		return false
	}
	leading := primary.Instance.Role == model.RolePrimary && primary.Instance.Term == evidence.Writer.Term
	return leading && evidence.holdsConfirmedCommits(primary.Instance, evidence.Writer.PrimaryIncarnation)
}

// onPromoting determines the outcome of the promote call from the observation of the
// chosen instance. No other instance is called while the outcome is unknown.
func onPromoting(evidence Evidence, timing Timing) []failover.Effect {
	observed, found := evidence.observation(evidence.Writer.Promoting)
	instance := observed.Instance
	sinceCall := time.Duration(evidence.WallNanos - evidence.Writer.LastTransitionAt)
	// A position from before the call does not show what the instance holds now.
	positionIsRecent := found && observed.PositionAge < min(sinceCall, timing.SilenceTimeout)
	holdsCommits := evidence.holdsConfirmedCommits(instance, evidence.Writer.Candidates[instance.Name])
	if positionIsRecent && !holdsCommits {
		return []failover.Effect{abandonPromotion(evidence, instance)}
	}
	promoted := found && instance.Role == model.RolePrimary && instance.Term > evidence.Writer.Term
	if promoted && observed.ContactAge <= timing.SilenceTimeout {
		return openNewTerm(evidence, instance, timing)
	}
	stillReplica := found && instance.Role == model.RoleReplica && observed.ContactAge < timing.MaxContactAge
	if stillReplica && sinceCall > timing.PromoteRetryInterval {
		return retryPromotion(evidence, instance)
	}
	if !stillReplica && sinceCall > 2*timing.PromoteRetryInterval {
		return failover.RecordReason(evidence.Writer, "promotion of "+evidence.Writer.Promoting+" is undecided until it answers again: no other is promoted")
	}
	return nil
}

// abandonPromotion returns the effect that moves the writer role back to the closed
// phase. It skips the term that the call may have opened, so that the term is never
// opened by a second instance.
func abandonPromotion(evidence Evidence, instance model.Instance) failover.Record {
	writer := model.CloneWriterRole(evidence.Writer)
	delete(writer.Candidates, evidence.Writer.Promoting)
	writer.Phase = model.PhaseClosed
	writer.Promoting = ""
	writer.PromoteCalls = 0
	writer.LastTransitionAt = evidence.WallNanos
	writer.Term = max(writer.Term+1, instance.Term)
	confirmed := evidence.Writer.HighWatermark
	reason := fmt.Sprintf("%s came back without what was confirmed: at %d/%d as %s, confirmed up to %d/%d",
		instance.Name, instance.Position.Term, instance.Position.Index, instance.Incarnation, confirmed.Term, confirmed.Index)
	return failover.Record{Writer: writer, Change: "promotion abandoned, its term skipped", Reason: reason}
}

func openNewTerm(evidence Evidence, primary model.Instance, timing Timing) []failover.Effect {
	replicas := map[string]string{}
	for _, other := range evidence.responsive(timing) {
		if other.Instance.Name != primary.Name && other.Instance.Role == model.RoleReplica && !other.Instance.Leaving {
			replicas[other.Instance.Name] = other.Instance.Incarnation
		}
	}
	if len(replicas) == 0 {
		return failover.RecordReason(evidence.Writer, "promoted, but no replica is reachable: commits could not be replicated")
	}
	writer := model.WriterRole{
		Database:           evidence.Database,
		Term:               primary.Term,
		PreviousTerm:       evidence.Writer.Term,
		Primary:            primary.Name,
		PrimaryIncarnation: primary.Incarnation,
		Phase:              model.PhaseOpen,
		LastTransitionAt:   evidence.WallNanos,
		HighWatermark:      primary.Position,
		TermStart:          primary.Position,
		RequiredReplicas:   replicas,
		Candidates:         maps.Clone(replicas),
	}
	return []failover.Effect{failover.Record{Writer: writer, Change: "new term open", Reason: primaryOfTermReason(primary)}}
}

func retryPromotion(evidence Evidence, instance model.Instance) []failover.Effect {
	writer := model.CloneWriterRole(evidence.Writer)
	writer.PromoteCalls++
	writer.LastTransitionAt = evidence.WallNanos
	return []failover.Effect{
		failover.Record{Writer: writer, Change: "promote call made again", Reason: instance.Name + " still announces itself a replica"},
		promoteCall(evidence, instance),
	}
}
