package consensus

import "time"

const (
	// backupSilentLeases is for how many leases a backup may not reply before an epoch
	// without it is proposed.
	backupSilentLeases = 3
	// droppedBackupLeases is for how many leases a backup that was dropped is not
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
		m.propose(m.nextRecord(""), now)
	}
}

// mayReplacePrimary says whether this node, as backup or spare, is to propose itself
// as primary.
func (m *Machine) mayReplacePrimary(now time.Duration) bool {
	isBackup := m.voterState.Decided.Backup == m.self && m.IsMember() && !m.isDiskStalled()
	if !isBackup && !m.mayProposeAsSpare(now) {
		return false
	}
	return m.hasGrantedNoLeaseFor(m.timing.PrimaryLease, now) && !m.proposals.isUnderWay() && m.proposals.isDue(now)
}

func (m *Machine) tickPrimary(now time.Duration) {
	if m.isDiskStalled() {
		m.rejectQueueWithoutLease(now)
		// The lease is renewed at once when the disk works again.
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

// proposeEpoch proposes a new epoch where one is due, and says whether the primary has
// to leave all else until it is decided.
func (m *Machine) proposeEpoch(now time.Duration) bool {
	if (m.proposals.unsettled || m.replica.ahead) && m.settleUncertainState(now) {
		return true
	}
	mayPropose := m.proposals.isDue(now)
	if mayPropose && m.IsPrimary(now) && (m.transferPrimary(now) || m.replaceVoter(now)) {
		return true
	}
	if mayPropose && m.IsPrimary(now) && m.isBackupSilent(now) {
		m.dropBackup(now, reasonBackupSilent)
		return true
	}
	if mayPropose && m.isLeaseRefused(now) {
		m.proposeAfterRefusal(now)
		return true
	}
	return false
}

// settleUncertainState proposes an epoch without a backup, after which it is certain what was
// decided and which writes are kept. It says whether the primary has to wait for it.
func (m *Machine) settleUncertainState(now time.Duration) bool {
	if m.proposals.isDue(now) && m.holdsLease(now) {
		m.propose(m.nextRecord(""), now)
	}
	return m.proposals.isUnderWay() || m.holdsLease(now)
}

// proposeAfterRefusal proposes an epoch that keeps the backup, unless that may lack a
// write that this replica has.
func (m *Machine) proposeAfterRefusal(now time.Duration) {
	record := m.nextRecord(m.voterState.Decided.Backup)
	if m.replica.ahead {
		record.Backup = ""
	}
	m.propose(record, now)
}

// isLeaseRefused says whether voters respond and yet the lease has lapsed.
func (m *Machine) isLeaseRefused(now time.Duration) bool {
	return !m.holdsLease(now) && now-m.startedAt > m.timing.PrimaryLease && m.hasRespondingVoter(now)
}

// isBackupLate says whether the backup has not synced the pending write in time.
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
	m.propose(m.nextRecord(""), now)
}
