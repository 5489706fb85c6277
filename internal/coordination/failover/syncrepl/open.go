package syncrepl

import (
	"fmt"
	"maps"
	"slices"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

// onOpen closes the term of a suspected primary, and otherwise maintains the
// open term.
func onOpen(evidence Evidence, timing Timing) []failover.Effect {
	primary, known := evidence.observation(evidence.Writer.Primary)
	reason, suspected := suspectPrimary(evidence, primary, known, timing)
	if !suspected {
		return maintainOpenTerm(evidence, primary, known, timing)
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

// maintainOpenTerm demotes other primaries, closes reporting gaps and records
// changes of the set of replicas.
func maintainOpenTerm(evidence Evidence, primary Observation, known bool, timing Timing) []failover.Effect {
	var effects []failover.Effect
	for _, observed := range evidence.Observations {
		effects = append(effects, demoteRival(evidence, observed, timing)...)
	}
	effects = append(effects, reportBound(evidence)...)
	if known {
		effects = append(effects, probePrimary(evidence, primary, timing)...)
	}
	return append(effects, recordReplicas(evidence, timing)...)
}

// reportBound reports the primary's position where it covers a reporting gap.
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

// probePrimary probes the primary where its position is needed for a reporting gap,
// or where it may be down or demoted.
func probePrimary(evidence Evidence, primary Observation, timing Timing) []failover.Effect {
	missesBound := !evidence.IsBoundComplete() && !primaryCoversGap(evidence)
	inDoubt := evidence.isUnobserved(primary, timing) || evidence.currentRole(primary) == model.RoleReplica
	if !missesBound && !inDoubt {
		return nil
	}
	if !evidence.probeDue(evidence.Writer.Primary, timing.IdleProbeInterval) {
		return nil
	}
	return []failover.Effect{queryStatus(primary.Instance)}
}

// recordReplicas records the known replicas where they have changed, and else clears
// a reason that was noted before.
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

// primaryCoversGap says whether the primary gave its position after the last
// event that made reports incomplete: that position covers all commits before.
func primaryCoversGap(evidence Evidence) bool {
	probe := evidence.Probes[evidence.Writer.Primary]
	return probe.leads(evidence.Writer.Term) && probe.GapSequence >= evidence.GapSequence && probe.Tenure == evidence.Tenure
}

// knownReplicas gives the replicas that may hold commits: those with recent
// contact, and recorded ones, which are forgotten only while the commit bound is
// complete.
func knownReplicas(evidence Evidence, timing Timing) map[string]string {
	replicas := evidence.recentReplicas(evidence.Writer.Primary, timing)
	mayForget := evidence.IsBoundComplete() && evidence.GatheredFor > timing.ReplicaRetention
	for name := range evidence.Writer.RequiredReplicas {
		observed, known := evidence.observation(name)
		expired := !known || evidence.contactAge(observed) > timing.ReplicaRetention
		if name != evidence.Writer.Primary && !(mayForget && expired) {
			replicas[name] = ""
		}
	}
	return replicas
}

// demoteRival orders another instance out of the role of primary of an earlier
// term, after it has confirmed that it still claims it.
func demoteRival(evidence Evidence, observed Observation, timing Timing) []failover.Effect {
	instance := observed.Instance
	rival := instance.Name != evidence.Writer.Primary && !instance.Stopped && evidence.claimsPrimary(observed, timing)
	if !rival || !evidence.probeDue(instance.Name, timing.StepDownInterval) {
		return nil
	}
	probe := evidence.Probes[instance.Name]
	if probe.Answered && probe.Term < evidence.Writer.Term {
		return []failover.Effect{StepDown{Instance: instance.Name, Address: instance.Address, Term: evidence.Writer.Term}}
	}
	return []failover.Effect{queryStatus(instance)}
}
