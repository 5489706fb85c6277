package consensus

import (
	"time"

	"tansyseam/internal/state/store"
)

func (m *Machine) onSubmit(submit Submit, now time.Duration) {
	if !m.isRecordedPrimary() {
		m.emit(SubmitResult{Token: submit.Token})
		return
	}
	m.submitQueue = append(m.submitQueue, submit)
	if m.isDiskStalled() {
		m.rejectQueueWithoutLease(now)
		return
	}
	m.startNextWrite(now)
}

func (m *Machine) startNextWrite(now time.Duration) {
	for len(m.submitQueue) > 0 && m.pendingWrite == nil && m.proposer == nil && !m.proposalUnsettled && !m.awaitsBackup() && m.IsPrimary(now) {
		submit := m.submitQueue[0]
		m.submitQueue = m.submitQueue[1:]
		puts := submit.Build(m.replica)
		if len(puts) == 0 {
			m.emit(SubmitResult{Token: submit.Token, Committed: true, Version: m.replica.Version})
			continue
		}
		before := m.replica.Version
		stamp := store.Version{Epoch: m.voterState.Decided.Epoch, Sequence: before.Sequence + 1}
		m.replica = m.replica.Clone()
		m.replica.Apply(stamp, puts)
		m.saveTable()
		m.pendingWrite = &write{token: submit.Token, puts: puts, version: stamp, sentAt: now}
		if m.voterState.Decided.Backup == "" {
			m.commitWrite(now)
			continue
		}
		sent := Replicate{Record: m.voterState.Decided, PreviousVersion: before, Version: stamp, Puts: puts}
		m.send(sent.Record.Backup, sent)
		m.eachSpare(func(name string) { m.send(name, sent) })
	}
}

func (m *Machine) commitWrite(now time.Duration) {
	if m.pendingWrite == nil {
		return
	}
	stamp := m.pendingWrite.version
	m.committed = m.replica
	m.emit(TableCommitted{Version: stamp, Table: m.committed})
	m.emit(SubmitResult{Token: m.pendingWrite.token, Committed: true, Version: stamp})
	m.pendingWrite = nil
	m.startNextWrite(now)
}

func (m *Machine) failWrites() {
	if m.pendingWrite != nil {
		m.emit(SubmitResult{Token: m.pendingWrite.token, OutcomeUnknown: true})
		m.pendingWrite = nil
	}
	m.rejectQueue()
}

func (m *Machine) rejectQueue() {
	for _, submit := range m.submitQueue {
		m.emit(SubmitResult{Token: submit.Token})
	}
	m.submitQueue = nil
}

// refuseIdle refuses what waits and was not begun while the disk hangs and
// primacy has lapsed.
func (m *Machine) rejectQueueWithoutLease(now time.Duration) {
	if !m.holdsLease(now) {
		m.rejectQueue()
	}
}

func (m *Machine) onReplicate(from string, sent Replicate, now time.Duration) {
	m.adopt(sent.Record, now, "write from the primary")
	decided := m.voterState.Decided
	isOurs := decided == sent.Record && decided.Primary == from && m.IsMember() && (decided.Backup == m.self || m.requiredSpares() > 0) && !m.hasPromisedOther(from)
	ack := ReplicateAck{Version: sent.Version}
	if isOurs && m.replica.Version == sent.PreviousVersion {
		m.replica = m.replica.Clone()
		m.replica.Apply(sent.Version, sent.Puts)
		m.saveTable()
		m.noteReplicaComplete()
		ack.Synced = true
	}
	m.send(from, ack)
}

func (m *Machine) onReplicateAck(from string, ack ReplicateAck, now time.Duration) {
	if m.isSpare(from) {
		m.noteSpareVersion(from, ack.Version, ack.Synced, now)
		return
	}
	if m.pendingWrite == nil || from != m.voterState.Decided.Backup || ack.Version != m.pendingWrite.version || !m.isRecordedPrimary() {
		return
	}
	if ack.Synced {
		m.noteBackupSynced(now)
		return
	}
	if m.proposer == nil {
		m.dropBackup(now, "backup out of step")
	}
}

// bringIn fills the copy of a voter that is to be the backup. One that failed lately
// is tried only while the backup is about to end.
func (m *Machine) recruitBackup(now time.Duration) {
	if m.activeRepair != nil && now-m.activeRepair.sentAt < m.timing.ReplyTimeout {
		return
	}
	if m.activeRepair != nil {
		m.excludedUntil[m.activeRepair.peer] = now + m.timing.PrimaryLease
		m.activeRepair = nil
	}
	best := m.latestResponder(now, func(name string) bool { return now >= m.excludedUntil[name] })
	if best == "" && m.hasAnnouncedLeaving(m.voterState.Decided.Backup, now) {
		best = m.latestResponder(now, func(string) bool { return true })
	}
	if best != "" {
		m.startRepair(best, now)
	}
}

// lastHeard gives the voter last heard of those that could be the backup.
func (m *Machine) latestResponder(now time.Duration, isFit func(string) bool) string {
	best := ""
	m.eachOtherVoter(func(name string) {
		at, known := m.lastAck[name]
		isOut := name == m.voterState.Decided.Backup || m.hasAnnouncedLeaving(name, now) || !isFit(name)
		if !known || now-at > m.timing.PrimaryLease || isOut {
			return
		}
		if best == "" || m.lastAck[best] < at {
			best = name
		}
	})
	return best
}

func (m *Machine) startRepair(peer string, now time.Duration) {
	m.activeRepair = &repair{peer: peer, sentAt: now, version: m.replica.Version}
	m.sendDigests(peer)
}

func (m *Machine) sendDigests(peer string) {
	m.send(peer, RepairDigests{Record: m.voterState.Decided, Version: m.replica.Version, Digests: m.replica.Digests()})
}

func (m *Machine) onRepairDigests(from string, offer RepairDigests, now time.Duration) {
	m.adopt(offer.Record, now, "offer")
	if m.voterState.Decided != offer.Record || offer.Record.Primary != from || !m.IsMember() || m.hasPromisedOther(from) {
		return
	}
	ranks := store.DifferingRanges(m.replica.Digests(), offer.Digests)
	if len(ranks) == 0 && m.replica.Version == offer.Version {
		m.noteReplicaComplete()
		m.send(from, RepairDone{Version: offer.Version})
		return
	}
	m.send(from, RepairRequest{Version: offer.Version, Ranges: ranks})
}

func (m *Machine) onRepairRequest(from string, want RepairRequest, now time.Duration) {
	isRepaired := m.activeRepair != nil && m.activeRepair.peer == from
	if !isRepaired && !m.isSpare(from) {
		return
	}
	if want.Version != m.replica.Version {
		if isRepaired {
			m.startRepair(from, now)
		}
		return
	}
	m.send(from, RepairRanges{Record: m.voterState.Decided, Version: m.replica.Version, Ranges: want.Ranges, Records: m.replica.RecordsInRanges(want.Ranges)})
}

func (m *Machine) onRepairRanges(from string, fill RepairRanges, _ time.Duration) {
	if m.voterState.Decided != fill.Record || fill.Record.Primary != from || !m.IsMember() || m.hasPromisedOther(from) {
		return
	}
	m.replica = m.replica.Clone()
	m.replica.ReplaceRanges(fill.Version, fill.Ranges, fill.Records)
	m.saveTable()
	m.noteReplicaComplete()
	m.send(from, RepairDone{Version: fill.Version})
}

func (m *Machine) onRepairDone(from string, filled RepairDone, now time.Duration) {
	if m.isSpare(from) {
		m.noteSpareVersion(from, filled.Version, true, now)
	}
	if m.activeRepair == nil || m.activeRepair.peer != from || !m.isRecordedPrimary() {
		return
	}
	if filled.Version != m.replica.Version || (m.pendingWrite != nil && !m.awaitsBackup()) {
		m.startRepair(from, now)
		return
	}
	m.activeRepair = nil
	if m.proposer == nil {
		m.propose(m.nextRecord(from), now)
	}
}
