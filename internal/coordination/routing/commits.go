package routing

import (
	"time"

	"tansyseam/internal/state/model"
)

// Verdict is what is known of a commit that was executed.
type Verdict int

const (
	// VerdictNone: it cannot be decided yet.
	VerdictNone Verdict = iota
	// VerdictDurable: the commit survives a change of the primary.
	VerdictDurable
	// VerdictUnknown: the term is over, and the commit may be lost.
	VerdictUnknown
)

// MayWrite says whether a write of a term may be sent to the primary.
func (m *Machine) MayWrite(database string, term uint64, now time.Duration) bool {
	role := m.snapshot.Writers[database]
	return m.lease.IsValid(now) && role.Phase == model.PhaseOpen && role.Term == term
}

// LaggingReplicas returns the required replicas that do not have a commit's position
// yet, in no order.
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

// CommitVerdict decides on a commit that was executed in a term at a position. It is
// durable once every replica that may be promoted has it, or if the next term began
// past it. Otherwise it is unknown as soon as its term is over.
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

// isReplicated says whether every required replica of an open term has a position.
func (m *Machine) isReplicated(role model.WriterRole, database string, position model.Position) bool {
	return role.Phase == model.PhaseOpen && len(role.RequiredReplicas) > 0 && len(m.LaggingReplicas(database, position)) == 0
}

// HighWatermark returns the furthest position confirmed by this node.
func (m *Machine) HighWatermark(database string) model.Position { return m.highWatermarks[database] }
