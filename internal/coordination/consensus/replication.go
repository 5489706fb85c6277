package consensus

import (
	"time"

	"tansyseam/internal/state/store"
)

// applyPuts applies a write to the replica and saves the replica.
func (m *Machine) applyPuts(version store.Version, puts []store.Put) {
	m.replica.apply(version, puts)
	m.saveTable()
}

func (m *Machine) onReplicate(from string, replicate Replicate, now time.Duration) {
	m.adopt(replicate.Record, now, reasonReplicatedWrite)
	isReplica := m.voterState.Decided.Backup == m.self || m.requiredSpares() > 0
	ack := ReplicateAck{Version: replicate.Version}
	if isReplica && m.followsPrimary(from, replicate.Record) && m.replica.version() == replicate.PreviousVersion {
		m.applyPuts(replicate.Version, replicate.Puts)
		m.noteReplicaComplete()
		ack.Synced = true
	}
	m.send(from, ack)
}

// followsPrimary reports whether this node accepts state from the primary of a record.
// The record must be the newest known record, and this node must not have promised its
// vote to a candidate that may lack that state.
func (m *Machine) followsPrimary(from string, record Record) bool {
	return m.voterState.Decided.IsSame(record) && record.Primary == from && m.IsMember() && !m.hasPromisedOther(from)
}

func (m *Machine) onReplicateAck(from string, ack ReplicateAck, now time.Duration) {
	if m.isSpare(from) {
		m.noteSpareVersion(from, ack.Version, ack.Synced, now)
		return
	}
	isAwaited := m.writes.pending != nil && ack.Version == m.writes.pending.version
	if !isAwaited || from != m.voterState.Decided.Backup || !m.isRecordedPrimary() {
		return
	}
	if ack.Synced {
		m.noteBackupSynced(now)
		return
	}
	if !m.proposals.isUnderWay() {
		m.dropBackup(now, reasonBackupOutOfOrder)
	}
}

func (m *Machine) noteBackupSynced(now time.Duration) {
	if m.writes.pending != nil {
		m.writes.pending.backupSynced = true
		m.commitIfReplicated(now)
	}
}

// commitIfReplicated commits the pending write once the backup and enough spare voters
// have synced it.
func (m *Machine) commitIfReplicated(now time.Duration) {
	if m.writes.pending == nil || !m.writes.pending.backupSynced {
		return
	}
	synced := 0
	m.eachSpare(func(name string) {
		if m.tracker.hasSpareSynced(name, m.writes.pending.version) {
			synced++
		}
	})
	if synced >= m.requiredSpares() {
		m.commitWrite(now)
	}
}
