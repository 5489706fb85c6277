package syncrepl

import (
	"time"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

// wallTime is the wall time of all evidence, in nanoseconds since the Unix epoch.
const wallTime = int64(1000 * time.Hour)

func positionAt(term, index uint64) model.Position { return model.Position{Term: term, Index: index} }

func newObservation(name, role string) Observation {
	return Observation{
		Instance:   model.Instance{Name: name, Database: "db", Address: name + ":1", Role: role, SyncReplication: true},
		ContactAge: 200 * time.Millisecond, AnswerAge: 50 * time.Millisecond, ReportingNodes: 4,
	}
}

func answeredProbe(role string, term, index uint64) ProbeResult {
	return ProbeResult{
		Answered:     true,
		Role:         role,
		Term:         term,
		Position:     positionAt(term, index),
		AfterSettled: true,
		Age:          50 * time.Millisecond,
		GapSequence:  1,
		Tenure:       "c1@1",
	}
}

func failedProbe() ProbeResult { return ProbeResult{AfterSettled: true, Age: 50 * time.Millisecond} }

// openTerm returns the evidence on a healthy database: a is the primary of term 3, b and
// c are its replicas, and commits are confirmed up to index 95. The deciding control
// server is c1.
func openTerm() Evidence {
	return Evidence{
		Database:        "db",
		Self:            "c1",
		Known:           true,
		Settled:         true,
		SettledFor:      time.Minute,
		GatheredFor:     time.Minute,
		WallNanos:       wallTime,
		GapSequence:     1,
		CoveredSequence: 1,
		Tenure:          "c1@1",
		CommitBound:     positionAt(3, 95),
		Writer: model.WriterRole{
			Database:         "db",
			Term:             3,
			Primary:          "a",
			Phase:            model.PhaseOpen,
			SyncReplication:  true,
			LastTransitionAt: wallTime - int64(time.Minute),
			RequiredReplicas: map[string]string{"b": "", "c": ""},
			HighWatermark:    positionAt(3, 95),
			Promoter:         "c1",
			FencingToken:     4,
		},
		Observations: []Observation{
			newObservation("a", model.RolePrimary),
			newObservation("b", model.RoleReplica),
			newObservation("c", model.RoleReplica),
		},
		Probes: map[string]ProbeResult{},
	}
}

// closingTerm returns the evidence on a term in the closing phase, which was settled
// 100 ms ago.
func closingTerm(probes map[string]ProbeResult) Evidence {
	evidence := openTerm()
	evidence.Writer.Phase = model.PhaseClosing
	evidence.Writer.LastTransitionAt = wallTime - int64(time.Second)
	evidence.SettledFor = 100 * time.Millisecond
	evidence.Probes = probes
	return evidence
}

// allProbes returns the probe results of a closing term: both replicas have answered, and
// the old primary has not.
func allProbes() map[string]ProbeResult {
	return map[string]ProbeResult{
		"a": failedProbe(),
		"b": answeredProbe(model.RoleReplica, 3, 99),
		"c": answeredProbe(model.RoleReplica, 3, 97),
	}
}

// promotingTerm returns the evidence at the time sinceCall after the first promote call
// for b.
func promotingTerm(probes map[string]ProbeResult, sinceCall time.Duration) Evidence {
	evidence := closingTerm(probes)
	evidence.Writer.Phase = model.PhasePromoting
	evidence.Writer.Promoting = "b"
	evidence.Writer.PromoteCalls = 1
	evidence.Writer.MinPosition = positionAt(3, 99)
	evidence.Writer.LastTransitionAt = wallTime - int64(sinceCall)
	return evidence
}

// recordedWriter returns the writer role that a step records, if it records one.
func recordedWriter(evidence Evidence) (model.WriterRole, bool) {
	for _, effect := range Step(evidence, DefaultTiming()) {
		if record, ok := effect.(failover.Record); ok {
			return record.Writer, true
		}
	}
	return model.WriterRole{}, false
}

// effectsOf returns the effects of a step that are of type T.
func effectsOf[T any](evidence Evidence) []T {
	var found []T
	for _, effect := range Step(evidence, DefaultTiming()) {
		if match, ok := effect.(T); ok {
			found = append(found, match)
		}
	}
	return found
}

// intendedPrimary returns the replica whose promotion a step records, or "" if there is
// none.
func intendedPrimary(evidence Evidence) string {
	writer, _ := recordedWriter(evidence)
	if writer.Phase != model.PhasePromoting {
		return ""
	}
	return writer.Promoting
}
