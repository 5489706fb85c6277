package syncrepl

import (
	"fmt"
	"maps"
	"slices"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

// onOpen closes the term if the primary is suspected, or records why the term cannot be
// closed. If the primary is not suspected, it maintains the open term.
func onOpen(evidence Evidence, timing Timing) []failover.Effect {
	primary, found := evidence.observation(evidence.Writer.Primary)
	reason, suspected := suspectPrimary(evidence, primary, found, timing)
	if !suspected {
		return maintainOpenTerm(evidence, primary, found, timing)
	}
	reason = evidence.Writer.Primary + " " + reason
	if !hasOtherInstance(evidence, timing) {
		return failover.RecordReason(evidence.Writer, reason+", and no other instance is reachable")
	}
	return []failover.Effect{failover.CloseTerm(evidence.Writer, evidence.WallNanos, reason)}
}

func hasOtherInstance(evidence Evidence, timing Timing) bool {
	return slices.ContainsFunc(evidence.Observations, func(observed Observation) bool {
		instance := observed.Instance
		usable := instance.Name != evidence.Writer.Primary && !instance.Leaving && !instance.Stopped
		return usable && evidence.contactAge(observed) <= timing.MaxContactAge
	})
}

// maintainOpenTerm demotes other primaries, covers reporting gaps and records changes of
// the set of replicas.
func maintainOpenTerm(evidence Evidence, primary Observation, found bool, timing Timing) []failover.Effect {
	var effects []failover.Effect
	for _, observed := range evidence.Observations {
		effects = append(effects, demoteOtherPrimary(evidence, observed, timing)...)
	}
	effects = append(effects, reportBound(evidence)...)
	if found {
		effects = append(effects, probePrimary(evidence, primary, timing)...)
	}
	return append(effects, recordReplicas(evidence, timing)...)
}

// reportBound reports the primary's position if it covers a reporting gap.
func reportBound(evidence Evidence) []failover.Effect {
	if evidence.IsBoundComplete() || !primaryCoversGap(evidence) {
		return nil
	}
	return []failover.Effect{ReportBound{
		Database:    evidence.Database,
		Tenure:      evidence.Tenure,
		GapSequence: evidence.GapSequence,
		Position:    evidence.Probes[evidence.Writer.Primary].Position,
	}}
}

// probePrimary probes the primary if its position is needed to cover a reporting gap, or
// if it may be down or demoted.
func probePrimary(evidence Evidence, primary Observation, timing Timing) []failover.Effect {
	needsPosition := !evidence.IsBoundComplete() && !primaryCoversGap(evidence)
	inDoubt := evidence.isUnobserved(primary, timing) || evidence.currentRole(primary) == model.RoleReplica
	if !needsPosition && !inDoubt {
		return nil
	}
	if !evidence.probeDue(evidence.Writer.Primary, timing.IdleProbeInterval) {
		return nil
	}
	return []failover.Effect{queryStatus(primary.Instance)}
}

// recordReplicas records the set of known replicas if it has changed, and otherwise
// clears the recorded reason, if any.
func recordReplicas(evidence Evidence, timing Timing) []failover.Effect {
	replicas := knownReplicas(evidence, timing)
	if maps.Equal(replicas, evidence.Writer.RequiredReplicas) {
		return failover.ClearReason(evidence.Writer)
	}
	writer := model.CloneWriterRole(evidence.Writer)
	writer.RequiredReplicas = replicas
	names := slices.Sorted(maps.Keys(replicas))
	return []failover.Effect{failover.Record{Writer: writer, Change: "replicas known", Reason: fmt.Sprint(names)}}
}

// primaryCoversGap reports whether the primary answered with its position after the last
// event that made the reports incomplete. That position covers all commits before the
// event.
func primaryCoversGap(evidence Evidence) bool {
	probe := evidence.Probes[evidence.Writer.Primary]
	return probe.leads(evidence.Writer.Term) && probe.GapSequence >= evidence.GapSequence && probe.Tenure == evidence.Tenure
}

// knownReplicas returns the replicas that may hold commits: replicas with recent contact,
// and recorded replicas. A recorded replica is dropped only if it has no recent contact
// and the commit bound is complete.
func knownReplicas(evidence Evidence, timing Timing) map[string]string {
	replicas := evidence.recentReplicas(evidence.Writer.Primary, timing)
	mayForget := evidence.IsBoundComplete() && evidence.GatheredFor > timing.ReplicaRetention
	for name := range evidence.Writer.RequiredReplicas {
		observed, found := evidence.observation(name)
		expired := !found || evidence.contactAge(observed) > timing.ReplicaRetention
		if name != evidence.Writer.Primary && !(mayForget && expired) {
			replicas[name] = ""
		}
	}
	return replicas
}

// demoteOtherPrimary orders another instance that claims to be primary to step down,
// after a probe has confirmed that it is primary of an earlier term.
func demoteOtherPrimary(evidence Evidence, observed Observation, timing Timing) []failover.Effect {
	instance := observed.Instance
	claimsRole := instance.Name != evidence.Writer.Primary && !instance.Stopped && evidence.claimsPrimary(observed, timing)
	if !claimsRole || !evidence.probeDue(instance.Name, timing.StepDownInterval) {
		return nil
	}
	probe := evidence.Probes[instance.Name]
	if probe.Answered && probe.Term < evidence.Writer.Term {
		return []failover.Effect{StepDown{Instance: instance.Name, Address: instance.Address, Term: evidence.Writer.Term}}
	}
	return []failover.Effect{queryStatus(instance)}
}
