package routing

import (
	"time"

	"tansyseam/internal/state/model"
)

// Verdict is the durability of a commit that was executed, as far as the node can
// decide it.
type Verdict int

const (
	// VerdictNone means that the commit cannot be decided yet.
	VerdictNone Verdict = iota
	// VerdictDurable means that the commit survives a change of the primary.
	VerdictDurable
	// VerdictUnknown means that the term is over, and the commit may be lost.
	VerdictUnknown
)

// MayWrite reports whether a write of a term may be sent to the primary.
func (m *Machine) MayWrite(database string, term uint64, now time.Duration) bool {
	role := m.snapshot.Writers[database]
	return m.lease.IsValid(now) && role.Phase == model.PhaseOpen && role.Term == term
}

// LaggingReplicas returns the names of the required replicas that have not reached a
// commit's position yet, in no particular order.
func (m *Machine) LaggingReplicas(database string, position model.Position) []string {
	var names []string
	for name, incarnation := range m.snapshot.Writers[database].RequiredReplicas {
		observation := m.Observation(name)
		if observation.Instance.Incarnation != incarnation || observation.Position.IsBefore(position) {
			names = append(names, name)
		}
	}
	return names
}

// CommitVerdict returns the verdict on a commit that was executed in a term at a
// position. The commit is durable once every required replica has it, since only required
// replicas may be promoted. It is also durable if the next term began past its position.
// Otherwise it is unknown as soon as its term is over. Without a lease nothing is
// decided.
func (m *Machine) CommitVerdict(database string, term uint64, position model.Position, now time.Duration) Verdict {
	if !m.lease.IsValid(now) {
		return VerdictNone
	}
	role := m.snapshot.Writers[database]
	if role.Term == term && !m.isReplicated(role, database, position) {
		return VerdictNone
	}
	isInNextTerm := role.PreviousTerm == term && position.Term <= term && position.Index < role.TermStart.Index
	if role.Term != term && !isInNextTerm {
		return VerdictUnknown
	}
	m.highWatermarks[database] = m.highWatermarks[database].Max(position)
	return VerdictDurable
}

// isReplicated reports whether the term is open and every required replica has reached a
// position.
func (m *Machine) isReplicated(role model.WriterRole, database string, position model.Position) bool {
	return role.Phase == model.PhaseOpen && len(role.RequiredReplicas) > 0 && len(m.LaggingReplicas(database, position)) == 0
}

// HighWatermark returns the furthest position of a database confirmed by this node.
func (m *Machine) HighWatermark(database string) model.Position { return m.highWatermarks[database] }
