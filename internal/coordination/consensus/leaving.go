package consensus

import "time"

// leavingTTL is for how long a node's announcement that it leaves counts.
const leavingTTL = time.Second

// shutdown is the planned end of this node.
type shutdown struct {
	// requested says that this node is to end.
	requested bool
	// releasedEpoch is the epoch in which the primary let it, or 0.
	releasedEpoch uint64
}

// leavingNodes is when each node last announced to the primary that it shuts down.
type leavingNodes map[string]time.Duration

// has says whether a node's announcement counts.
func (l leavingNodes) has(name string, now time.Duration) bool {
	at, ok := l[name]
	return ok && now-at < leavingTTL
}

func (m *Machine) onLeave(_ Leave, now time.Duration) {
	m.shutdown.requested = true
	m.announceLeaving(now)
}

// announceLeaving tells the primary that this node is shutting down.
func (m *Machine) announceLeaving(now time.Duration) {
	if m.shutdown.requested && m.isFormed() && !m.holdsLease(now) && m.voterState.Decided.Primary != m.self {
		m.send(m.voterState.Decided.Primary, Leaving{})
	}
}

// onLeaving notes that a voter leaves. It is released at once where no standby could
// vote in its place, and the others are a majority without it.
func (m *Machine) onLeaving(from string, _ Leaving, now time.Duration) {
	m.leaving[from] = now
	decided := m.voterState.Decided
	hasRole := from == decided.Primary || from == decided.Backup
	if m.holdsLease(now) && !hasRole && !m.hasStandby(now) && m.hasQuorumWithout(from, now) {
		m.send(from, Released{Epoch: decided.Epoch})
	}
}

func (m *Machine) onReleased(from string, released Released, _ time.Duration) {
	if from == m.voterState.Decided.Primary {
		m.shutdown.releasedEpoch = released.Epoch
	}
}

// MayStop says whether this node may shut down without a gap in service: it is no
// voter, or is neither primary nor backup and was released.
func (m *Machine) MayStop() bool {
	decided := m.voterState.Decided
	hasRole := decided.Primary == m.self || decided.Backup == m.self
	return !m.IsMember() || (!hasRole && m.shutdown.releasedEpoch == decided.Epoch)
}

// transferPrimary proposes an epoch in which the backup is primary, where this primary
// is shutting down, and says whether it did.
func (m *Machine) transferPrimary(now time.Duration) bool {
	decided := m.voterState.Decided
	isReady := decided.Backup != "" && m.tracker.acknowledgedWithin(m.timing.PrimaryLease/2, decided.Backup, now) &&
		!m.leaving.has(decided.Backup, now)
	if !m.shutdown.requested || !isReady {
		return false
	}
	m.propose(Record{Epoch: decided.Epoch + 1, Primary: decided.Backup, Backup: m.self, Voters: decided.Voters}, now)
	return true
}
