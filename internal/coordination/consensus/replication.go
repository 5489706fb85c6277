package consensus

import (
	"time"

	"tansyseam/internal/state/store"
)

// write is the write under way.
type write struct {
	token        uint64
	puts         []store.Put
	version      store.Version
	sentAt       time.Duration
	backupSynced bool
}

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

// startNextWrite takes writes from the queue until one waits for the backup.
func (m *Machine) startNextWrite(now time.Duration) {
	for len(m.submitQueue) > 0 && m.mayWrite(now) {
		submit := m.submitQueue[0]
		m.submitQueue = m.submitQueue[1:]
		puts := submit.Build(m.replica.table)
		if len(puts) == 0 {
			m.emit(SubmitResult{Token: submit.Token, Committed: true, Version: m.replica.version()})
			continue
		}
		m.startWrite(submit.Token, puts, now)
	}
}

func (m *Machine) mayWrite(now time.Duration) bool {
	return m.pendingWrite == nil && !m.proposals.unsettled && !m.awaitsBackup() && m.IsPrimary(now)
}

func (m *Machine) startWrite(token uint64, puts []store.Put, now time.Duration) {
	previous := m.replica.version()
	version := store.Version{Epoch: m.voterState.Decided.Epoch, Sequence: previous.Sequence + 1}
	m.applyPuts(version, puts)
	m.pendingWrite = &write{token: token, puts: puts, version: version, sentAt: now}
	if m.voterState.Decided.Backup == "" {
		m.commitWrite(now)
		return
	}
	replicate := Replicate{Record: m.voterState.Decided, PreviousVersion: previous, Version: version, Puts: puts}
	m.send(replicate.Record.Backup, replicate)
	m.eachSpare(func(name string) { m.send(name, replicate) })
}

// applyPuts writes to the replica and saves it.
func (m *Machine) applyPuts(version store.Version, puts []store.Put) {
	m.replica.apply(version, puts)
	m.saveTable()
}

// commitWrite ends the pending write, and starts the next.
func (m *Machine) commitWrite(now time.Duration) {
	if m.pendingWrite == nil {
		return
	}
	version := m.pendingWrite.version
	m.replica.commit()
	m.emit(TableCommitted{Version: version, Table: m.replica.committed})
	m.emit(SubmitResult{Token: m.pendingWrite.token, Committed: true, Version: version})
	m.pendingWrite = nil
	m.startNextWrite(now)
}

// failWrites ends all writes of a node that is not primary any more.
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

// rejectQueueWithoutLease rejects the writes that were not begun, where the lease has
// lapsed while the disk is stalled.
func (m *Machine) rejectQueueWithoutLease(now time.Duration) {
	if !m.holdsLease(now) {
		m.rejectQueue()
	}
}

// awaitsBackup says whether writes are held until there is a backup.
func (m *Machine) awaitsBackup() bool {
	return m.bootstrap.RequireBackup && m.voterState.Decided.Backup == "" && len(m.Voters()) > 1
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

// followsPrimary says whether this node takes over the state of the primary of a
// record: it is that of the newest epoch known, and this node has promised its vote to
// nobody who may lack that state.
func (m *Machine) followsPrimary(from string, record Record) bool {
	return m.voterState.Decided == record && record.Primary == from && m.IsMember() && !m.hasPromisedOther(from)
}

func (m *Machine) onReplicateAck(from string, ack ReplicateAck, now time.Duration) {
	if m.isSpare(from) {
		m.noteSpareVersion(from, ack.Version, ack.Synced, now)
		return
	}
	isAwaited := m.pendingWrite != nil && ack.Version == m.pendingWrite.version
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
	if m.pendingWrite != nil {
		m.pendingWrite.backupSynced = true
		m.commitIfReplicated(now)
	}
}

// commitIfReplicated commits the pending write once the backup and enough spare voters
// have synced it.
func (m *Machine) commitIfReplicated(now time.Duration) {
	if m.pendingWrite == nil || !m.pendingWrite.backupSynced {
		return
	}
	synced := 0
	m.eachSpare(func(name string) {
		if m.tracker.hasSpareSynced(name, m.pendingWrite.version) {
			synced++
		}
	})
	if synced >= m.requiredSpares() {
		m.commitWrite(now)
	}
}
