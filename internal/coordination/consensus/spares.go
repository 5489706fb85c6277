package consensus

import (
	"time"

	"tansyseam/internal/state/store"
)

// Where more than one disk may be lost at once, a write is synced by the backup and by
// so many spare voters, which the record does not name, that more than half of the
// voters have it. A replica takes a write only on top of the version before it, so
// that its version tells all that it has.

// spareProposalLeases is for how many leases a spare leaves it to the nodes that the
// record names to propose an epoch.
const spareProposalLeases = 3

// requiredSpares is how many spare voters must sync each write.
func (m *Machine) requiredSpares() int {
	if !m.bootstrap.RequireBackup {
		return 0
	}
	return max(m.bootstrap.Voters/2-1, 0)
}

// isSpare says whether a node is a spare voter of this primary.
func (m *Machine) isSpare(name string) bool {
	isOther := name != m.voterState.Decided.Backup && name != m.self
	return m.requiredSpares() > 0 && m.isRecordedPrimary() && isOther && m.isVoter(name)
}

func (m *Machine) eachSpare(visit func(name string)) {
	m.eachOtherVoter(func(name string) {
		if m.isSpare(name) {
			visit(name)
		}
	})
}

// repairSpares sends digests to the spares that lack writes, every ReplyTimeout.
func (m *Machine) repairSpares(now time.Duration) {
	if m.requiredSpares() == 0 || now-m.repairs.spareDigestsSentAt < m.timing.ReplyTimeout || !m.holdsLease(now) {
		return
	}
	m.repairs.spareDigestsSentAt = now
	m.eachSpare(func(name string) {
		isBehind := !m.tracker.hasSpareSynced(name, m.replica.version())
		if m.respondsWithinLease(name, now) && isBehind && !m.repairs.isRepairing(name) {
			m.sendDigests(name)
		}
	})
}

// noteSpareVersion notes the version that a spare has synced, or that it could not take
// a write.
func (m *Machine) noteSpareVersion(name string, version store.Version, synced bool, now time.Duration) {
	if !synced {
		m.tracker.noteSpareBehind(name)
		return
	}
	m.tracker.noteSpareVersion(name, version)
	m.commitIfReplicated(now)
}

// isSpareVoter says whether this node is a spare voter of whoever is primary.
func (m *Machine) isSpareVoter() bool {
	decided := m.voterState.Decided
	return m.requiredSpares() > 0 && m.IsMember() && decided.Primary != m.self && decided.Backup != m.self
}

// mayProposeAsSpare says whether this node may propose itself as primary though the
// record does not name it.
func (m *Machine) mayProposeAsSpare(now time.Duration) bool {
	hasNoRecentLease := m.hasGrantedNoLeaseFor(m.leaseDurations(spareProposalLeases), now)
	return m.isSpareVoter() && hasNoRecentLease && !m.voterState.ReplicaIncomplete && !m.isDiskStalled()
}

// votesForSpare says whether this node votes for a spare: only where its own replica is
// complete and not ahead of the candidate's. Each committed write was synced by more
// than half of the voters, so that one of any majority has it. A spare that could be
// primary itself leaves the better candidate a lease of time.
func (m *Machine) votesForSpare(candidate string, version store.Version, now time.Duration) bool {
	if m.requiredSpares() == 0 || m.voterState.ReplicaIncomplete || !m.isVoter(candidate) || version.IsBefore(m.replica.version()) {
		return false
	}
	isBetter := m.replica.version().IsBefore(version) || candidate < m.self
	if m.isSpareVoter() && isBetter {
		m.proposals.delayUntil(now + m.timing.PrimaryLease)
	}
	return true
}

// hasPromisedOther says whether this node has promised its vote to a candidate that may
// lack what the primary would have it sync now.
func (m *Machine) hasPromisedOther(primary string) bool {
	promised := m.voterState.Acceptor.Promised.Name
	return m.requiredSpares() > 0 && promised != "" && promised != m.self && promised != primary
}
