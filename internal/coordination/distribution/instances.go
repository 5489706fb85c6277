package distribution

import (
	"maps"
	"slices"
	"strings"
	"time"

	"tansyseam/internal/state/model"
)

// maxObservationAge is how long before the start of a tenure an instance may have been
// observed and still be listed in that tenure. For an older observation, nodes may have
// received newer data from the previous tenure.
const maxObservationAge = time.Second

// Observation is an instance as observed by this control node itself.
type Observation struct {
	Instance   model.Instance
	ObservedAt time.Duration
}

// instanceList is the versioned list of the instances with synchronous replication.
type instanceList struct {
	entries map[string]listedInstance
	// number is incremented whenever an instance is added or changes.
	number uint64
}

type listedInstance struct {
	instance model.Instance
	// changeNumber is the list's number after the last change of this instance.
	changeNumber uint64
}

func newInstanceList() instanceList { return instanceList{entries: map[string]listedInstance{}} }

// listEntry returns an instance without the fields that change constantly and are not part
// of the list.
func listEntry(instance model.Instance) model.Instance {
	instance.Position, instance.Term, instance.AnnouncementNumber, instance.Incarnation = model.Position{}, 0, 0, ""
	return instance
}

func (l *instanceList) register(instance model.Instance) bool {
	entry := listEntry(instance)
	if !entry.SyncReplication || l.entries[entry.Name].instance == entry {
		return false
	}
	l.number++
	l.entries[entry.Name] = listedInstance{instance: entry, changeNumber: l.number}
	return true
}

// changedSince returns the instances that changed after a number of the list, sorted by
// name.
func (l *instanceList) changedSince(number uint64) []model.Instance {
	var changed []model.Instance
	for _, listed := range l.entries {
		if listed.changeNumber > number {
			changed = append(changed, listed.instance)
		}
	}
	slices.SortFunc(changed, func(a, b model.Instance) int { return strings.Compare(a.Name, b.Name) })
	return changed
}

// UpdateInstances replaces the list with the instances that this control node has observed,
// and with those that have departed, which nodes may still list as ready. Observations made
// more than maxObservationAge before the tenure are left out. It returns true if an instance
// was added or a listed field of one changed.
func (m *Machine) UpdateInstances(observations []Observation) bool {
	present, changed := map[string]bool{}, false
	for _, observation := range observations {
		if observation.ObservedAt < m.grantor.StartedAt()-maxObservationAge {
			continue
		}
		present[observation.Instance.Name] = true
		changed = m.RegisterInstance(observation.Instance) || changed
	}
	for _, name := range slices.Sorted(maps.Keys(m.departures.recorded)) {
		if !present[name] {
			present[name] = true
			changed = m.RegisterInstance(m.departures.recorded[name].Instance) || changed
		}
	}
	maps.DeleteFunc(m.instances.entries, func(name string, _ listedInstance) bool { return !present[name] })
	return changed
}

// RegisterInstance adds one instance to the list or updates it, and returns true if the
// list has changed. An instance that has departed is listed as such.
func (m *Machine) RegisterInstance(instance model.Instance) bool {
	return m.instances.register(m.WithDeparture(instance))
}

func (m *Machine) listVersion(wallNanos int64) ListVersion {
	return ListVersion{Tenure: m.ensureTenure(wallNanos), Number: m.instances.number}
}

// listNumberOf returns the list number of a node's version of the list, or 0 if the version
// is not of this tenure.
func (m *Machine) listNumberOf(version ListVersion) uint64 {
	if version.Tenure != m.tenure {
		return 0
	}
	return version.Number
}

func (m *Machine) hasInstanceUpdate(request UpdateRequest, wallNanos int64) bool {
	return request.Kind == model.KindProxy && m.instances.number > 0 && request.ListVersion != m.listVersion(wallNanos)
}
