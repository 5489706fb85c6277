package consensus

import (
	"slices"
	"time"
)

func (m *Machine) onTick(tick Tick, now time.Duration) {
	m.localWallNanos, m.wallReadAt, m.syncPending = tick.WallNanos, now, tick.SyncPending
	if m.processIncarnation == 0 {
		m.processIncarnation = tick.WallNanos
	}
	if !m.isFormed() {
		m.seekCluster(now)
		return
	}
	m.refreshStatus(now)
	m.announceLeaving(now)
	if m.proposer != nil && now-m.proposer.StartedAt > m.timing.ReplyTimeout {
		m.proposer = nil
	}
	if m.proposer != nil && m.proposer.IsPreparing() && m.retryAt != 0 && now >= m.retryAt {
		m.proposer, m.nextProposalAt = nil, now
	}
	if m.isRecordedPrimary() {
		m.tickPrimary(now)
		return
	}
	m.failWrites()
	isBackup := m.voterState.Decided.Backup == m.self && m.IsMember() && !m.isDiskStalled()
	isSilent := now >= m.grantedAt+m.timing.PrimaryLease && now >= m.startedAt+m.timing.PrimaryLease
	if (isBackup || m.mayProposeAsSpare(now)) && isSilent && m.proposer == nil && now >= m.nextProposalAt {
		m.propose(m.nextRecord(""), now)
	}
}

// isStalled says that the disk has owed a sync for longer than a backup's is
// waited for.
func (m *Machine) isDiskStalled() bool { return m.syncPending > m.timing.ReplyTimeout }

func (m *Machine) tickPrimary(now time.Duration) {
	if m.isDiskStalled() {
		m.rejectQueueWithoutLease(now)
		m.renewedAt = now - isolatedRenewLeases*m.timing.PrimaryLease
		return
	}
	if m.pendingWrite != nil && m.syncPending > 0 {
		m.pendingWrite.sentAt = now
	}
	if now-m.renewedAt >= m.renewInterval(now) {
		m.renewedAt = now
		m.adjustClock(now)
		m.eachOtherVoter(func(name string) {
			m.send(name, RenewLease{Record: m.voterState.Decided, SentAt: now, Incarnation: m.processIncarnation})
		})
		m.extendLease(now)
	}
	m.repairSpares(now)
	if m.pendingWrite != nil && !m.pendingWrite.backupSynced && !m.awaitsBackup() && m.proposer == nil && now-m.pendingWrite.sentAt > m.timing.ReplyTimeout && now >= m.nextProposalAt {
		m.dropBackup(now, "backup did not sync in time")
	}
	decided := m.voterState.Decided
	if m.proposer != nil || (m.pendingWrite != nil && !m.awaitsBackup()) {
		return
	}
	if m.proposalUnsettled || m.replicaAhead {
		if now >= m.nextProposalAt && m.holdsLease(now) {
			m.propose(m.nextRecord(""), now)
		}
		if m.proposer != nil || m.holdsLease(now) {
			return
		}
	}
	if now >= m.nextProposalAt && m.IsPrimary(now) && (m.transferPrimary(now) || m.replaceVoter(now)) {
		return
	}
	if decided.Backup != "" && now-m.lastAck[decided.Backup] > 3*m.timing.PrimaryLease && now-m.startedAt > 3*m.timing.PrimaryLease && now >= m.nextProposalAt && m.IsPrimary(now) {
		m.dropBackup(now, "backup silent")
		return
	}
	if !m.holdsLease(now) && now-m.startedAt > m.timing.PrimaryLease && now >= m.nextProposalAt && len(m.respondingVoters(now)) > 0 {
		next := m.nextRecord(decided.Backup)
		if m.replicaAhead {
			next.Backup = ""
		}
		m.propose(next, now)
		return
	}
	if (decided.Backup == "" || m.hasAnnouncedLeaving(decided.Backup, now)) && m.IsPrimary(now) {
		m.recruitBackup(now)
	}
	m.startNextWrite(now)
}

// deafPace is how many spans of primacy a primary that does not hear a majority leaves
// between renewals: voters that hear it are bound by each for one span, and could
// not help the backup if they followed each other closer.
const isolatedRenewLeases = 3

func (m *Machine) renewInterval(now time.Duration) time.Duration {
	if m.holdsLease(now) || m.hearsQuorum(now) {
		return m.timing.RenewInterval
	}
	return isolatedRenewLeases * m.timing.PrimaryLease
}

// hearsMajority says whether a majority of the voters, this machine among them, was
// heard lately, or may not have had the time since this machine started.
func (m *Machine) hearsQuorum(now time.Duration) bool {
	names := m.Voters()
	count := 0
	for _, name := range names {
		if name == m.self || now-max(m.lastReceived[name], m.startedAt) < contactLossLeases*m.timing.PrimaryLease {
			count++
		}
	}
	return count > len(names)/2
}

func (m *Machine) awaitsBackup() bool {
	return m.bootstrap.RequireBackup && m.voterState.Decided.Backup == "" && len(m.Voters()) > 1
}

func (m *Machine) respondingVoters(now time.Duration) []string {
	var names []string
	m.eachOtherVoter(func(name string) {
		if at, known := m.lastAck[name]; known && now-at < m.timing.PrimaryLease {
			names = append(names, name)
		}
	})
	return names
}

func (m *Machine) dropBackup(now time.Duration, why string) {
	m.excludedUntil[m.voterState.Decided.Backup] = now + 4*m.timing.PrimaryLease
	m.emitEpochChanged(m.voterState.Decided, why)
	m.propose(m.nextRecord(""), now)
}

func (m *Machine) onRenewLease(from string, renew RenewLease, now time.Duration) {
	m.adopt(renew.Record, now, "renewal")
	if m.isFormed() && m.voterState.Decided == renew.Record && renew.Record.Primary == from {
		m.lastPrimaryContact = now
	}
	if !m.IsMember() {
		return
	}
	decided := m.voterState.Decided
	isGranted := decided == renew.Record && decided.Primary == from && !m.voterState.VotedForOther
	if isGranted {
		m.grantedTo, m.grantedAt = from, now
	}
	ack := RenewLeaseAck{Decided: decided, SentAt: renew.SentAt, Incarnation: renew.Incarnation, Granted: isGranted}
	if m.localWallNanos != 0 {
		ack.WallNanos = m.localWallNanos + int64(now-m.wallReadAt)
	}
	m.send(from, ack)
}

func (m *Machine) onRenewLeaseAck(from string, ack RenewLeaseAck, now time.Duration) {
	m.adopt(ack.Decided, now, "a voter is ahead")
	if !m.isRecordedPrimary() || !m.isVoter(from) || ack.SentAt > now || m.processIncarnation == 0 || (ack.Incarnation != 0 && ack.Incarnation != m.processIncarnation) {
		return
	}
	m.lastAck[from] = now
	if ack.WallNanos != 0 && now-ack.SentAt < maxClockRoundTrip {
		m.clockOffsets[from] = ack.WallNanos - int64(ack.SentAt+(now-ack.SentAt)/2)
	}
	if ack.Granted && ack.Decided == m.voterState.Decided {
		m.grantSentAt[from] = max(m.grantSentAt[from], ack.SentAt)
		m.extendLease(now)
		m.startNextWrite(now)
	}
}

func (m *Machine) extendLease(now time.Duration) {
	var sent []time.Duration
	if !m.voterState.VotedForOther {
		sent = append(sent, now)
	}
	m.eachOtherVoter(func(name string) {
		if at, known := m.grantSentAt[name]; known {
			sent = append(sent, at)
		}
	})
	need := len(m.Voters())/2 + 1
	if len(sent) < need {
		return
	}
	if !m.holdsLease(now) {
		m.adjustClock(now)
	}
	slices.Sort(sent)
	m.leaseUntil = max(m.leaseUntil, sent[len(sent)-need]+m.timing.PrimaryLease*9/10)
}

// Wall gives the wall clock that a majority of the disk machines agree on:
// the median, so that one skewed clock moves nothing. While primacy is held
// it only creeps, so that the nodes' reckonings of it stay alike.
func (m *Machine) WallNanos(now time.Duration) int64 { return m.clockOffset + int64(now) }

// IsClockSure says whether that clock was taken from three machines or more,
// or from two that agree.
func (m *Machine) IsClockConfirmed() bool { return m.clockConfirmed }

const (
	maxClockSlewNanos = int64(time.Millisecond)
	maxClockRoundTrip = 200 * time.Millisecond
)

func (m *Machine) adjustClock(now time.Duration) {
	offsets := []int64{m.localWallNanos - int64(m.wallReadAt)}
	for name, offset := range m.clockOffsets {
		if now-m.lastAck[name] < 5*time.Second {
			offsets = append(offsets, offset)
		}
	}
	slices.Sort(offsets)
	median := offsets[(len(offsets)-1)/2]
	if !m.holdsLease(now) {
		m.clockOffset = median
		m.clockConfirmed = len(offsets) > 2 || (len(offsets) == 2 && offsets[1]-offsets[0] < int64(maxClockRoundTrip))
		return
	}
	m.clockOffset += max(min(median-m.clockOffset, maxClockSlewNanos), -maxClockSlewNanos)
}
