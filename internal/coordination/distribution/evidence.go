package distribution

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

const (
	// reportWindow is the maximum age of a report that counts as evidence.
	reportWindow = time.Second
	// neverObserved is the age used for an observation that was never made.
	neverObserved = time.Hour
)

// Databases returns the names of the databases with a writer role or an observed
// instance, sorted.
func (m *Machine) Databases(observations []Observation) []string {
	names := map[string]bool{}
	for _, observation := range observations {
		names[observation.Instance.Database] = true
	}
	for name := range m.snapshot.Writers {
		names[name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// UsesSyncReplication reports whether a database has synchronous replication, in which the
// instances themselves decide when a commit is safe. This selects the kind of failover.
func (m *Machine) UsesSyncReplication(database string, observations []Observation) bool {
	return m.snapshot.Writers[database].SyncReplication || slices.ContainsFunc(observations, func(observation Observation) bool {
		return observation.Instance.Database == database && observation.Instance.SyncReplication
	})
}

// writerRole returns a copy of a database's writer role. Its high watermark is raised to
// the highest one that nodes have reported.
func (m *Machine) writerRole(database string) (model.WriterRole, bool) {
	role, found := m.snapshot.Writers[database]
	role = model.CloneWriterRole(role)
	role.HighWatermark = role.HighWatermark.Max(m.highWatermarks[database])
	return role, found
}
