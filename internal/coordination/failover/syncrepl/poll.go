package syncrepl

import (
	"maps"
	"slices"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

// poll is the state of the probes that the choice of a replica is based on.
type poll struct {
	// queries are the probes that are due.
	queries []failover.Effect
	// answered are the replicas that answered after the closing phase was settled, and
	// positions are their positions by name.
	answered  []model.Instance
	positions map[string]model.Position
	// silent are the names of the replicas that may still answer. gone are the names
	// of the replicas that have stopped, no longer exist or are no longer observed.
	// Both are sorted.
	silent []string
	gone   []string
}

// pollInstances collects the probes of the recorded and recent replicas and of
// the old primary.
func pollInstances(evidence Evidence, timing Timing) poll {
	result := poll{positions: map[string]model.Position{}}
	for _, name := range namesToPoll(evidence, timing) {
		result.addInstance(evidence, name, timing)
	}
	return result
}

func namesToPoll(evidence Evidence, timing Timing) []string {
	names := map[string]bool{}
	for name := range evidence.Writer.RequiredReplicas {
		names[name] = true
	}
	for _, observed := range evidence.Observations {
		instance := observed.Instance
		recent := instance.Name == evidence.Writer.Primary || evidence.contactAge(observed) <= timing.ReplicaRetention
		if recent && !instance.Stopped {
			names[instance.Name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

func (p *poll) addInstance(evidence Evidence, name string, timing Timing) {
	observed, found := evidence.observation(name)
	probe := evidence.Probes[name]
	running := found && !observed.Instance.Stopped
	due := evidence.probeDue(name, timing.RetryInterval) || (!probe.AfterSettled && evidence.probeDue(name, 0))
	if running && !probe.Gone && due {
		p.queries = append(p.queries, queryStatus(observed.Instance))
	}
	if running && probe.AfterSettled && probe.Answered && probe.Role == model.RoleReplica {
		p.answered = append(p.answered, observed.Instance)
		p.positions[name] = probe.Position
		return
	}
	if name == evidence.Writer.Primary {
		return
	}
	if probe.Gone || !running {
		p.gone = append(p.gone, name)
		return
	}
	p.silent = append(p.silent, name)
}

// isComplete reports whether every replica that may hold commits has answered.
func (p *poll) isComplete() bool { return len(p.silent) == 0 && len(p.gone) == 0 }

// mostAdvanced returns the name of the first instance with the highest position.
func (p *poll) mostAdvanced(instances []model.Instance) string {
	return slices.MaxFunc(instances, func(a, b model.Instance) int {
		return failover.ComparePositions(p.positions[a.Name], p.positions[b.Name])
	}).Name
}
