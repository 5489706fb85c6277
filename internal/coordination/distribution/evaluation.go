package distribution

import (
	"time"

	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/state/model"
)

// FailoverEvidence is the evidence on a database. The field for the database's kind of
// replication is set, and the other field is zero.
type FailoverEvidence struct {
	Async asyncrepl.Evidence
	Sync  syncrepl.Evidence
}

// FailoverEvidence returns the evidence on a database, on which the holder of the
// database's singleton role decides.
func (m *Machine) FailoverEvidence(database string, observations []Observation, wallNanos int64, now time.Duration) FailoverEvidence {
	if m.UsesSyncReplication(database, observations) {
		return FailoverEvidence{Sync: m.SyncFailoverEvidence(database, observations, wallNanos, now)}
	}
	return FailoverEvidence{Async: m.AsyncFailoverEvidence(database, observations, wallNanos, now)}
}

// DatabasesByReplication returns the sorted names of all databases, and the sorted names of
// the databases with synchronous replication. Each kind of replication has its own singleton
// roles.
func (m *Machine) DatabasesByReplication(observations []Observation) (all, synchronous []string) {
	all = m.Databases(observations)
	for _, database := range all {
		if m.UsesSyncReplication(database, observations) {
			synchronous = append(synchronous, database)
		}
	}
	return all, synchronous
}

// IsSyncFailoverActive reports whether the writer role of any database with synchronous
// replication is being moved, which is the case in every phase except open.
func (m *Machine) IsSyncFailoverActive() bool {
	for _, writer := range m.snapshot.Writers {
		if writer.SyncReplication && writer.Phase != model.PhaseOpen {
			return true
		}
	}
	return false
}
