package syncrepl

import (
	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

// onUnrecorded records the writer role of a database that has none yet, once every
// instance that claims to be primary has answered a probe. The instance with the
// highest term becomes the recorded primary.
func onUnrecorded(evidence Evidence, timing Timing) []failover.Effect {
	var primary model.Instance
	var latest ProbeResult
	claimants := primaryClaimants(evidence, timing)
	for _, instance := range claimants {
		probe := evidence.Probes[instance.Name]
		if !isRecentAnswer(probe, timing) {
			return probeClaimants(evidence, claimants, timing)
		}
		if probe.Term > latest.Term {
			primary, latest = instance, probe
		}
	}
	if latest.Term == 0 {
		return nil
	}
	writer := model.WriterRole{
		Database:         evidence.Database,
		Term:             latest.Term,
		Primary:          primary.Name,
		Phase:            model.PhaseOpen,
		LastTransitionAt: evidence.WallNanos,
		SyncReplication:  true,
		TermStart:        latest.Position,
		RequiredReplicas: evidence.recentReplicas(primary.Name, timing),
	}
	return []failover.Effect{failover.Record{Writer: writer, Change: "writer role known", Reason: primaryOfTermReason(primary, latest.Term)}}
}

// primaryClaimants returns the running instances that claim to be primary.
func primaryClaimants(evidence Evidence, timing Timing) []model.Instance {
	var claimants []model.Instance
	for _, observed := range evidence.Observations {
		if !observed.Instance.Stopped && evidence.claimsPrimary(observed, timing) {
			claimants = append(claimants, observed.Instance)
		}
	}
	return claimants
}

// isRecentAnswer reports whether a probe was answered recently enough to decide on.
func isRecentAnswer(probe ProbeResult, timing Timing) bool {
	return probe.Answered && probe.Age <= timing.IdleProbeInterval
}

// probeClaimants probes each claimant without a recent answer, if a probe of it is due.
func probeClaimants(evidence Evidence, claimants []model.Instance, timing Timing) []failover.Effect {
	var queries []failover.Effect
	for _, instance := range claimants {
		answered := isRecentAnswer(evidence.Probes[instance.Name], timing)
		if !answered && evidence.probeDue(instance.Name, timing.FastProbeInterval) {
			queries = append(queries, queryStatus(instance))
		}
	}
	return queries
}
