package consensus

import (
	"time"

	"tansyseam/internal/state/store"
)

// Where more than one machine may be lost at once, a write is synced by the
// backup and by so many spares, voters that the record does not name, that more
// than half of the voters have it. A spare takes a write on the very state before
// it only, so its stamp tells all that it has.

func (m *Machine) requiredSpares() int {
	if !m.bootstrap.RequireBackup {
		return 0
	}
	return max(m.bootstrap.Voters/2-1, 0)
}

func (m *Machine) isSpare(name string) bool {
	decided := m.voterState.Decided
	return m.requiredSpares() > 0 && m.isRecordedPrimary() && name != decided.Backup && name != m.self && m.isVoter(name)
}

func (m *Machine) eachSpare(each func(string)) {
	m.eachOtherVoter(func(name string) {
		if m.isSpare(name) {
			each(name)
		}
	})
}

// fillSpares compares copies with the spares that lack what this primary has.
func (m *Machine) repairSpares(now time.Duration) {
	if m.requiredSpares() == 0 || now-m.sparesComparedAt < m.timing.ReplyTimeout || !m.holdsLease(now) {
		return
	}
	m.sparesComparedAt = now
	m.eachSpare(func(name string) {
		at, known := m.lastAck[name]
		if known && now-at < m.timing.PrimaryLease && m.spareVersions[name].IsBefore(m.replica.Version) && (m.activeRepair == nil || m.activeRepair.peer != name) {
			m.sendDigests(name)
		}
	})
}

func (m *Machine) noteSpareVersion(name string, stamp store.Version, isSynced bool, now time.Duration) {
	if !isSynced {
		delete(m.spareVersions, name)
		return
	}
	if m.spareVersions[name].IsBefore(stamp) {
		m.spareVersions[name] = stamp
	}
	m.commitIfReplicated(now)
}

func (m *Machine) noteBackupSynced(now time.Duration) {
	if m.pendingWrite != nil {
		m.pendingWrite.backupSynced = true
		m.commitIfReplicated(now)
	}
}

// settleWrite ends the write under way once backup and spares have it.
func (m *Machine) commitIfReplicated(now time.Duration) {
	if m.pendingWrite == nil || !m.pendingWrite.backupSynced {
		return
	}
	count := 0
	m.eachSpare(func(name string) {
		if !m.spareVersions[name].IsBefore(m.pendingWrite.version) {
			count++
		}
	})
	if count >= m.requiredSpares() {
		m.commitWrite(now)
	}
}

// isUnnamed says whether this machine votes and is named by no record, so that it
// is a spare to whoever leads.
func (m *Machine) isUnnamedVoter() bool {
	decided := m.voterState.Decided
	return m.requiredSpares() > 0 && m.IsMember() && decided.Primary != m.self && decided.Backup != m.self
}

// sparePatience is how many spans of primacy a spare leaves to those named.
const spareProposalLeases = 3

// mayStandAsSpare says whether this machine may stand though no record names it.
func (m *Machine) mayProposeAsSpare(now time.Duration) bool {
	patience := spareProposalLeases * m.timing.PrimaryLease
	isSilent := now >= m.grantedAt+patience && now >= m.startedAt+patience
	return m.isUnnamedVoter() && isSilent && !m.voterState.ReplicaIncomplete && !m.isDiskStalled()
}

// yieldsTo says whether this machine votes for a spare: only where it has a copy
// itself, which is not ahead of the candidate's. Each acknowledged write was synced
// by more than half of the voters, so that one of more than half has it.
func (m *Machine) acceptsSpareCandidate(candidate string, stamp store.Version, now time.Duration) bool {
	if m.requiredSpares() == 0 || m.voterState.ReplicaIncomplete || !m.isVoter(candidate) || stamp.IsBefore(m.replica.Version) {
		return false
	}
	if m.isUnnamedVoter() && (m.replica.Version.IsBefore(stamp) || candidate < m.self) {
		m.nextProposalAt = max(m.nextProposalAt, now+m.timing.PrimaryLease)
	}
	return true
}

// isGivenAway says whether this machine has promised its vote to one that may not
// have what the primary would have it sync now.
func (m *Machine) hasPromisedOther(primary string) bool {
	promised := m.voterState.Acceptor.Promised.Name
	return m.requiredSpares() > 0 && promised != "" && promised != m.self && promised != primary
}

// fill notes that the copy is whole, where it was lost before.
func (m *Machine) noteReplicaComplete() {
	if m.voterState.ReplicaIncomplete {
		m.voterState.ReplicaIncomplete = false
		m.saveVoterState()
	}
}
