package asyncrepl

import (
	"time"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

func newObservation(name, role string, term, index uint64, contactAge time.Duration) Observation {
	observed := Observation{ContactAge: contactAge, ReportingNodes: 5, Instance: model.Instance{
		Name: name, Database: "db", Role: role, Incarnation: name + "-1", Term: term, Position: model.Position{Term: term, Index: index},
	}}
	if contactAge > DefaultTiming().SilenceTimeout {
		observed.SilentNodes = 5
	}
	return observed
}

// openTerm returns the evidence on a healthy database: a is the primary of term 1, at
// index 100, b and c are its replicas, at indexes 99 and 97, and commits are confirmed
// up to index 95.
func openTerm() Evidence {
	replicas := map[string]string{"b": "b-1", "c": "c-1"}
	return Evidence{
		Database:           "db",
		Known:              true,
		ReportingNodes:     5,
		GatheredFor:        time.Minute,
		Settled:            true,
		SettledFor:         time.Minute,
		HasPrimaryPosition: true,
		PrimaryPosition:    model.Position{Term: 1, Index: 90},
		Writer: model.WriterRole{
			Database:           "db",
			Term:               1,
			Primary:            "a",
			PrimaryIncarnation: "a-1",
			Phase:              model.PhaseOpen,
			RequiredReplicas:   replicas,
			Candidates:         replicas,
			HighWatermark:      model.Position{Term: 1, Index: 95},
		},
		Observations: []Observation{
			newObservation("a", model.RolePrimary, 1, 100, 100*time.Millisecond),
			newObservation("b", model.RoleReplica, 1, 99, 100*time.Millisecond),
			newObservation("c", model.RoleReplica, 1, 97, 100*time.Millisecond),
		},
	}
}

// closedTerm returns the evidence on a database whose primary is silent and whose term
// is closed.
func closedTerm() Evidence {
	evidence := openTerm()
	evidence.Observations[0] = newObservation("a", model.RolePrimary, 1, 100, 2*time.Second)
	evidence.Writer.Phase = model.PhaseClosed
	return evidence
}

// promotingTerm returns the evidence at the time sinceCall after the promote call for b.
func promotingTerm(sinceCall time.Duration) Evidence {
	evidence := closedTerm()
	evidence.Writer.Phase = model.PhasePromoting
	evidence.Writer.Promoting = "b"
	evidence.setSinceTransition(sinceCall)
	return evidence
}

// setSinceTransition sets the wall time so that the last transition was since ago.
func (e *Evidence) setSinceTransition(since time.Duration) {
	e.Writer.LastTransitionAt = int64(10 * time.Second)
	e.WallNanos = e.Writer.LastTransitionAt + int64(since)
}

// firstWriter returns the writer role that the first effect of a step records, or the
// zero value if the step has no effects.
func firstWriter(evidence Evidence) model.WriterRole {
	effects := Step(evidence, DefaultTiming())
	if len(effects) == 0 {
		return model.WriterRole{}
	}
	return effects[0].(failover.Record).Writer
}
