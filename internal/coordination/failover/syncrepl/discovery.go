package syncrepl

import (
	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

// onUnknown records the writer role of a database once every instance that
// claims to be primary was probed; the one with the highest term leads.
func onUnknown(evidence Evidence, timing Timing) []failover.Effect {
	var queries []failover.Effect
	var primary model.Instance
	var latest ProbeResult
	complete := true
	for _, observed := range evidence.Observations {
		instance := observed.Instance
		if instance.Stopped || !evidence.claimsPrimary(observed, timing) {
			continue
		}
		probe := evidence.Probes[instance.Name]
		if !probe.Answered || probe.Age > timing.IdleProbeInterval {
			complete = false
			if evidence.probeDue(instance.Name, timing.FastProbeInterval) {
				queries = append(queries, queryStatus(instance))
			}
			continue
		}
		if probe.Term > latest.Term {
			primary, latest = instance, probe
		}
	}
	if !complete || latest.Term == 0 {
		return queries
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
	return []failover.Effect{failover.Record{Writer: writer, Change: "writer role known", Reason: saysPrimary(primary, latest.Term)}}
}
