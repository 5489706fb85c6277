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

func openTerm() Evidence {
	both := map[string]string{"b": "b-1", "c": "c-1"}
	return Evidence{
		Database: "db", Known: true, ReportingNodes: 5, GatheredFor: time.Minute, Settled: true, SettledFor: time.Minute,
		HasPrimaryPosition: true, PrimaryPosition: model.Position{Term: 1, Index: 90},
		Writer: model.WriterRole{Database: "db", Term: 1, Primary: "a", PrimaryIncarnation: "a-1", Phase: model.PhaseOpen, RequiredReplicas: both, Candidates: both, HighWatermark: model.Position{Term: 1, Index: 95}},
		Observations: []Observation{
			newObservation("a", model.RolePrimary, 1, 100, 100*time.Millisecond), newObservation("b", model.RoleReplica, 1, 99, 100*time.Millisecond),
			newObservation("c", model.RoleReplica, 1, 97, 100*time.Millisecond),
		},
	}
}

func firstWriter(evidence Evidence) model.WriterRole {
	effects := Step(evidence, DefaultTiming())
	if len(effects) == 0 {
		return model.WriterRole{}
	}
	return effects[0].(failover.Record).Writer
}
