package consensus

import "time"

const (
	// backupSilentLeases is the number of leases for which the backup may fail to reply
	// before the primary proposes an epoch without it.
	backupSilentLeases = 3
	// droppedBackupLeases is the number of leases for which a dropped backup is not
	// tried again.
	droppedBackupLeases = 4
)

func (m *Machine) onTick(tick Tick, now time.Duration) {
	m.clock.readLocal(tick.WallNanos, now)
	m.disk.syncPending = tick.SyncPending
	if m.processIncarnation == 0 {
		m.processIncarnation = tick.WallNanos
	}
	if !m.isFormed() {
		m.discoverCluster(now)
		return
	}
	m.refreshStatus(now)
	m.announceLeaving(now)
	m.proposals.expire(m.timing.ReplyTimeout, now)
	if m.isRecordedPrimary() {
		m.tickPrimary(now)
		return
	}
	m.failWrites()
	if m.mayReplacePrimary(now) {
		m.propose(m.withoutBackup(), now)
	}
}

// mayReplacePrimary reports whether this node, as a successor or a spare, may propose
// itself as primary now.
func (m *Machine) mayReplacePrimary(now time.Duration) bool {
	isSuccessor := m.voterState.Decided.IsSuccessor(m.self) && m.IsMember() && !m.isDiskStalled()
	if !isSuccessor && !m.mayProposeAsSpare(now) {
		return false
	}
	return m.hasGrantedNoLeaseFor(m.timing.PrimaryLease, now) && !m.proposals.isUnderWay() && m.proposals.isDue(now)
}

func (m *Machine) tickPrimary(now time.Duration) {
	if m.isDiskStalled() {
		m.rejectQueueWithoutLease(now)
		// Renew the lease at once when the disk works again.
		m.lease.renewedAt = now - m.leaseDurations(isolatedRenewLeases)
		return
	}
	if m.writes.pending != nil && m.disk.syncPending > 0 {
		m.writes.pending.sentAt = now
	}
	m.renewLease(now)
	m.repairSpares(now)
	if m.isBackupLate(now) {
		m.dropBackup(now, reasonBackupTimeout)
	}
	if m.proposals.isUnderWay() || (m.writes.pending != nil && !m.awaitsBackup()) {
		return
	}
	if m.proposeEpoch(now) {
		return
	}
	m.repairNextBackup(now)
	m.startNextWrite(now)
}

// proposeEpoch proposes a new epoch if one is due. It reports whether the primary must
// postpone all other work until the epoch is decided.
func (m *Machine) proposeEpoch(now time.Duration) bool {
	if m.isStateUncertain() && m.settleUncertainState(now) {
		return true
	}
	mayPropose := m.proposals.isDue(now)
	if mayPropose && m.holdsLease(now) && (m.transferPrimary(now) || m.replaceVoter(now)) {
		return true
	}
	if mayPropose && m.holdsLease(now) && m.isBackupSilent(now) {
		m.dropBackup(now, reasonBackupSilent)
		return true
	}
	if mayPropose && m.isLeaseRefused(now) {
		m.proposeAfterRefusal(now)
		return true
	}
	return false
}

// isStateUncertain reports whether a proposal of this node may still be decided, or a
// write may be on this node's disk and not on the backup's.
func (m *Machine) isStateUncertain() bool {
	return m.proposals.unsettled || (m.replica.ahead && m.voterState.Decided.Backup != "")
}

// settleUncertainState proposes an epoch without a backup. Once that epoch is decided,
// it is certain which record was decided before, and the next backup receives the writes
// of this node. The function reports whether the primary must wait for the decision.
func (m *Machine) settleUncertainState(now time.Duration) bool {
	if m.proposals.isDue(now) && m.holdsLease(now) {
		m.propose(m.withoutBackup(), now)
	}
	return m.proposals.isUnderWay() || m.holdsLease(now)
}

// proposeAfterRefusal proposes an epoch that keeps the backup, unless the backup may
// lack a write that this replica has.
func (m *Machine) proposeAfterRefusal(now time.Duration) {
	decided := m.voterState.Decided
	if m.replica.ahead {
		m.propose(m.withoutBackup(), now)
		return
	}
	m.propose(m.nextRecord(decided.Backup, decided.Voters), now)
}

// isLeaseRefused reports whether the lease has lapsed although voters respond.
func (m *Machine) isLeaseRefused(now time.Duration) bool {
	return !m.holdsLease(now) && now-m.startedAt > m.timing.PrimaryLease && m.hasRespondingVoter(now)
}

// isBackupLate reports whether the backup has failed to sync the pending write in time.
func (m *Machine) isBackupLate(now time.Duration) bool {
	if m.writes.pending == nil || m.writes.pending.backupSynced || m.awaitsBackup() || m.proposals.isUnderWay() {
		return false
	}
	return now-m.writes.pending.sentAt > m.timing.ReplyTimeout && m.proposals.isDue(now)
}

func (m *Machine) isBackupSilent(now time.Duration) bool {
	backup, maxSilence := m.voterState.Decided.Backup, m.leaseDurations(backupSilentLeases)
	return backup != "" && now-m.tracker.lastAck[backup] > maxSilence && now-m.startedAt > maxSilence
}

// dropBackup proposes an epoch without a backup.
func (m *Machine) dropBackup(now time.Duration, reason string) {
	m.tracker.exclude(m.voterState.Decided.Backup, now+m.leaseDurations(droppedBackupLeases))
	m.emitEpochChanged(reason)
	m.propose(m.withoutBackup(), now)
}
