package distribution

import (
	"time"

	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/state/model"
)

// FailoverEvidence is the evidence on a database, of the kind that its replication
// calls for. The other kind is zero.
type FailoverEvidence struct {
	Async asyncrepl.Evidence
	Sync  syncrepl.Evidence
}

// FailoverEvidence returns the evidence on a database for the leader of its singleton
// role.
func (m *Machine) FailoverEvidence(database string, observations []Observation, wallNanos int64, now time.Duration) FailoverEvidence {
	if m.UsesSyncReplication(database, observations) {
		return FailoverEvidence{Sync: m.SyncFailoverEvidence(database, observations, wallNanos, now)}
	}
	return FailoverEvidence{Async: m.AsyncFailoverEvidence(database, observations, wallNanos, now)}
}

// DatabasesByReplication returns the names of all databases, sorted, and of those among
// them with synchronous replication. Each kind has singleton roles of its own.
func (m *Machine) DatabasesByReplication(observations []Observation) (all, synchronous []string) {
	all = m.Databases(observations)
	for _, database := range all {
		if m.UsesSyncReplication(database, observations) {
			synchronous = append(synchronous, database)
		}
	}
	return all, synchronous
}

// IsSyncFailoverActive says whether the writer role of a database with synchronous
// replication is being moved.
func (m *Machine) IsSyncFailoverActive() bool {
	for _, writer := range m.snapshot.Writers {
		if writer.SyncReplication && writer.Phase != model.PhaseOpen {
			return true
		}
	}
	return false
}
