package consensus

import "time"

// leavingTTL is for how long a voter's announcement that it leaves counts.
const leavingTTL = time.Second

func (m *Machine) onLeave(_ Leave, now time.Duration) {
	m.stopping = true
	m.announceLeaving(now)
}

// announceLeaving tells the primary that this node is shutting down.
func (m *Machine) announceLeaving(now time.Duration) {
	if m.stopping && m.isFormed() && !m.holdsLease(now) && m.voterState.Decided.Primary != m.self {
		m.send(m.voterState.Decided.Primary, Leaving{})
	}
}

// onLeaving notes that a voter leaves. It is released at once where no standby could
// vote in its place, and the others are a majority without it.
func (m *Machine) onLeaving(from string, _ Leaving, now time.Duration) {
	m.leavingAnnounced[from] = now
	decided := m.voterState.Decided
	hasRole := from == decided.Primary || from == decided.Backup
	if m.holdsLease(now) && !hasRole && !m.hasStandby(now) && m.hasQuorumWithout(from, now) {
		m.send(from, Released{Epoch: decided.Epoch})
	}
}

func (m *Machine) onReleased(from string, released Released, _ time.Duration) {
	if from == m.voterState.Decided.Primary {
		m.releasedEpoch = released.Epoch
	}
}

func (m *Machine) hasAnnouncedLeaving(name string, now time.Duration) bool {
	at, known := m.leavingAnnounced[name]
	return known && now-at < leavingTTL
}

// MayStop says whether this node may shut down without a gap in service: it is no
// voter, or is neither primary nor backup and was released.
func (m *Machine) MayStop() bool {
	decided := m.voterState.Decided
	hasRole := decided.Primary == m.self || decided.Backup == m.self
	return !m.IsMember() || (!hasRole && m.releasedEpoch == decided.Epoch)
}

// transferPrimary proposes an epoch in which the backup is primary, where this primary
// is shutting down, and says whether it did.
func (m *Machine) transferPrimary(now time.Duration) bool {
	decided := m.voterState.Decided
	isReady := decided.Backup != "" && m.tracker.acknowledgedWithin(m.timing.PrimaryLease/2, decided.Backup, now) &&
		!m.hasAnnouncedLeaving(decided.Backup, now)
	if !m.stopping || !isReady {
		return false
	}
	m.propose(Record{Epoch: decided.Epoch + 1, Primary: decided.Backup, Backup: m.self, Voters: decided.Voters}, now)
	return true
}
