package consensus

import "time"

// leavingTTL is how long a node's announcement that it is leaving stays valid.
const leavingTTL = time.Second

// shutdown is the state of this node's planned shutdown.
type shutdown struct {
	// requested is true if this node is to shut down.
	requested bool
	// releasedEpoch is the epoch in which the primary released this node, or 0 if it
	// has not.
	releasedEpoch uint64
}

// leavingNodes holds when each node last announced to the primary that it is shutting
// down.
type leavingNodes map[string]time.Duration

// has reports whether a node's announcement is still valid.
func (l leavingNodes) has(name string, now time.Duration) bool {
	at, ok := l[name]
	return ok && now-at < leavingTTL
}

func (m *Machine) onLeave(_ Leave, now time.Duration) {
	m.shutdown.requested = true
	m.announceLeaving(now)
}

// announceLeaving notifies the primary that this node is shutting down.
func (m *Machine) announceLeaving(now time.Duration) {
	if m.shutdown.requested && m.isFormed() && !m.holdsLease(now) && m.voterState.Decided.Primary != m.self {
		m.send(m.voterState.Decided.Primary, Leaving{})
	}
}

// onLeaving records that a node is leaving. A node without a role is released at once
// if no standby could vote in its place and the voters that respond are a majority
// without it.
func (m *Machine) onLeaving(from string, _ Leaving, now time.Duration) {
	m.leaving[from] = now
	decided := m.voterState.Decided
	if m.holdsLease(now) && !decided.HasRole(from) && !m.hasStandby(now) && m.hasQuorumWithout(from, now) {
		m.send(from, Released{Epoch: decided.Epoch})
	}
}

func (m *Machine) onReleased(from string, released Released, _ time.Duration) {
	if from == m.voterState.Decided.Primary {
		m.shutdown.releasedEpoch = released.Epoch
	}
}

// MayStop reports whether this node may shut down without interrupting the service. It
// may if it is not a voter, or if it is neither primary nor a successor and the primary has
// released it.
func (m *Machine) MayStop() bool {
	decided := m.voterState.Decided
	return !m.IsMember() || (!decided.HasRole(m.self) && m.shutdown.releasedEpoch == decided.Epoch)
}

// transferPrimary proposes an epoch in which the backup is primary, if this primary is
// shutting down and the backup is ready. It reports whether it proposed one.
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
