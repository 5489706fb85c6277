package consensus

import (
	"time"

	"tansyseam/internal/state/store"
)

// A spare voter, or spare, is a voter that is neither primary nor backup in the record
// of a cluster that must tolerate the loss of more than one disk at once. In such a
// cluster, a write is synced by the backup and by enough spare voters that more than half
// of the voters have it. A replica accepts a write only on top of the previous version,
// so its version determines which writes it has.

// spareProposalLeases is the number of leases for which a spare lets the primary and
// the backup propose an epoch before it proposes one itself.
const spareProposalLeases = 3

// requiredSpares returns the number of spare voters that must sync each write, or 0 if
// the cluster has no spare voters.
func (m *Machine) requiredSpares() int {
	if !m.bootstrap.RequireBackup {
		return 0
	}
	return max(m.bootstrap.Voters/2-1, 0)
}

// isSpare reports whether this node is the primary and the named node is one of its
// spare voters.
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

// repairSpares sends digests to the spares that lack writes, once per ReplyTimeout.
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

// noteSpareVersion records the version that a spare has synced, or that the spare could
// not apply a write.
func (m *Machine) noteSpareVersion(name string, version store.Version, synced bool, now time.Duration) {
	if !synced {
		m.tracker.noteSpareBehind(name)
		return
	}
	m.tracker.noteSpareVersion(name, version)
	m.commitIfReplicated(now)
}

// isSpareVoter reports whether this node is a spare voter.
func (m *Machine) isSpareVoter() bool {
	decided := m.voterState.Decided
	return m.requiredSpares() > 0 && m.IsMember() && decided.Primary != m.self && decided.Backup != m.self
}

// mayProposeAsSpare reports whether this node may propose itself as primary although it
// is neither primary nor backup in the record.
func (m *Machine) mayProposeAsSpare(now time.Duration) bool {
	hasNoRecentLease := m.hasGrantedNoLeaseFor(m.leaseDurations(spareProposalLeases), now)
	return m.isSpareVoter() && hasNoRecentLease && !m.voterState.ReplicaIncomplete && !m.isDiskStalled()
}

// votesForSpare reports whether this node votes for a spare. It does so only if its own
// replica is complete and not ahead of the candidate's. Each committed write was synced
// by more than half of the voters, so at least one member of any majority has it. If
// this node is a spare itself, it delays its own proposals by one lease in favour of a
// better candidate, which is one with a newer replica or with a name that sorts before
// this node's.
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

// hasPromisedOther reports whether this node has promised its vote to a candidate that
// may lack the writes that the primary now asks this node to sync.
func (m *Machine) hasPromisedOther(primary string) bool {
	promised := m.voterState.Acceptor.Promised.Name
	return m.requiredSpares() > 0 && promised != "" && promised != m.self && promised != primary
}
