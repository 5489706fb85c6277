package syncrepl

import (
	"time"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

const wallTime = int64(1000 * time.Hour)

func positionAt(term, index uint64) model.Position { return model.Position{Term: term, Index: index} }

func newObservation(name, role string) Observation {
	return Observation{
		Instance:   model.Instance{Name: name, Database: "db", Address: name + ":1", Role: role, SyncReplication: true},
		ContactAge: 200 * time.Millisecond, AnswerAge: 50 * time.Millisecond, ReportingNodes: 4,
	}
}

func answeredProbe(role string, term, index uint64) ProbeResult {
	return ProbeResult{Answered: true, Role: role, Term: term, Position: positionAt(term, index), AfterSettled: true, Age: 50 * time.Millisecond, GapSequence: 1, Tenure: "c1@1"}
}

func failedProbe() ProbeResult { return ProbeResult{AfterSettled: true, Age: 50 * time.Millisecond} }

func openTerm() Evidence {
	return Evidence{
		Database: "db", Self: "c1", Known: true, Settled: true, SettledFor: time.Minute, GatheredFor: time.Minute, WallNanos: wallTime,
		GapSequence: 1, CoveredSequence: 1, Tenure: "c1@1", CommitBound: positionAt(3, 95),
		Writer: model.WriterRole{
			Database: "db", Term: 3, Primary: "a", Phase: model.PhaseOpen, SyncReplication: true, LastTransitionAt: wallTime - int64(time.Minute),
			RequiredReplicas: map[string]string{"b": "", "c": ""}, HighWatermark: positionAt(3, 95), Promoter: "c1", FencingToken: 4,
		},
		Observations: []Observation{newObservation("a", model.RolePrimary), newObservation("b", model.RoleReplica), newObservation("c", model.RoleReplica)},
		Probes:       map[string]ProbeResult{},
	}
}

func closingTerm(probe map[string]ProbeResult) Evidence {
	evidence := openTerm()
	evidence.Writer.Phase, evidence.Writer.LastTransitionAt, evidence.SettledFor, evidence.Probes = model.PhaseClosing, wallTime-int64(time.Second), 100*time.Millisecond, probe
	return evidence
}

func promotingTerm(probe map[string]ProbeResult, since time.Duration) Evidence {
	evidence := closingTerm(probe)
	evidence.Writer.Phase, evidence.Writer.Promoting, evidence.Writer.PromoteCalls, evidence.Writer.MinPosition = model.PhasePromoting, "b", 1, positionAt(3, 99)
	evidence.Writer.LastTransitionAt = wallTime - int64(since)
	return evidence
}

func recordedWriter(evidence Evidence) (model.WriterRole, bool) {
	for _, effect := range Step(evidence, DefaultTiming()) {
		if record, ok := effect.(failover.Record); ok {
			return record.Writer, true
		}
	}
	return model.WriterRole{}, false
}

func effectsOf[T any](evidence Evidence) []T {
	var found []T
	for _, effect := range Step(evidence, DefaultTiming()) {
		if match, ok := effect.(T); ok {
			found = append(found, match)
		}
	}
	return found
}

func intendedPrimary(evidence Evidence) string {
	writer, _ := recordedWriter(evidence)
	if writer.Phase != model.PhasePromoting {
		return ""
	}
	return writer.Promoting
}
