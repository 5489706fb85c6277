package syncrepl

import (
	"maps"
	"slices"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

// poll is the state of the probes that a promotion is decided by.
type poll struct {
	// queries are the probes that are due.
	queries []failover.Effect
	// answered are the replicas that answered after the term was settled, with
	// their positions by name.
	answered  []model.Instance
	positions map[string]model.Position
	// silent names the replicas that may still answer, gone those that are not
	// there any more. Both are sorted.
	silent []string
	gone   []string
}

// pollInstances collects the probes of the recorded and recent replicas and of
// the old primary.
func pollInstances(evidence Evidence, timing Timing) poll {
	found := poll{positions: map[string]model.Position{}}
	for _, name := range namesToPoll(evidence, timing) {
		found.add(evidence, name, timing)
	}
	return found
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

func (p *poll) add(evidence Evidence, name string, timing Timing) {
	observed, known := evidence.observation(name)
	probe := evidence.Probes[name]
	running := known && !observed.Instance.Stopped
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

// isComplete says whether every replica that may hold commits has answered.
func (p *poll) isComplete() bool { return len(p.silent) == 0 && len(p.gone) == 0 }

// mostAdvanced gives the first of the instances with the highest position.
func (p *poll) mostAdvanced(instances []model.Instance) string {
	return slices.MaxFunc(instances, func(a, b model.Instance) int {
		return failover.ComparePositions(p.positions[a.Name], p.positions[b.Name])
	}).Name
}
