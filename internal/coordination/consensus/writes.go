package consensus

import (
	"slices"
	"time"

	"tansyseam/internal/state/store"
)

// maxWaitingWrites is the number of writes that may wait at the primary. Further writes are
// rejected, so that repeated calls do not fill the memory while the disk or the backup is
// slow.
const maxWaitingWrites = 256

// writeQueue holds the writes that were submitted to the primary. The primary makes one
// write at a time, so that at most one write may be on its own disk and not yet on the
// other disks.
type writeQueue struct {
	// pending is the write in progress, or nil. waiting are the writes after it, in
	// order.
	pending *write
	waiting []Submit
}

// write is a write in progress.
type write struct {
	// token identifies the Submit of the write. version is the version of the table
	// with the write.
	token   uint64
	version store.Version
	// sentAt is when the write was sent to the backup, or when a sync of the primary's
	// disk was last pending, if that is later. The backup must reply within ReplyTimeout
	// of sentAt.
	sentAt       time.Duration
	backupSynced bool
}

func (q writeQueue) clone() writeQueue {
	if q.pending != nil {
		pending := *q.pending
		q.pending = &pending
	}
	q.waiting = slices.Clone(q.waiting)
	return q
}

// next removes and returns the first waiting write.
func (q *writeQueue) next() Submit {
	first := q.waiting[0]
	q.waiting = q.waiting[1:]
	return first
}

func (m *Machine) onSubmit(submit Submit, now time.Duration) {
	if !m.isRecordedPrimary() || len(m.writes.waiting) >= maxWaitingWrites {
		m.emit(SubmitResult{Token: submit.Token})
		return
	}
	m.writes.waiting = append(m.writes.waiting, submit)
	if m.isDiskStalled() {
		m.rejectQueueWithoutLease(now)
		return
	}
	m.startNextWrite(now)
}

// startNextWrite starts waiting writes until one of them has to wait for the backup.
func (m *Machine) startNextWrite(now time.Duration) {
	for len(m.writes.waiting) > 0 && m.mayWrite(now) {
		submit := m.writes.next()
		puts := submit.Build(m.replica.table)
		if len(puts) == 0 {
			m.emit(SubmitResult{Token: submit.Token, Committed: true, Version: m.replica.version()})
			continue
		}
		m.startWrite(submit.Token, puts, now)
	}
}

func (m *Machine) mayWrite(now time.Duration) bool {
	return m.writes.pending == nil && !m.proposals.unsettled && !m.awaitsBackup() && m.IsPrimary(now)
}

func (m *Machine) startWrite(token uint64, puts []store.Put, now time.Duration) {
	previous := m.replica.version()
	version := store.Version{Epoch: m.voterState.Decided.Epoch, Sequence: previous.Sequence + 1}
	m.applyPuts(version, puts)
	m.writes.pending = &write{token: token, version: version, sentAt: now}
	if m.voterState.Decided.Backup == "" {
		m.commitWrite(now)
		return
	}
	replicate := Replicate{Record: m.voterState.Decided, PreviousVersion: previous, Version: version, Puts: puts}
	m.send(replicate.Record.Backup, replicate)
	m.eachSpare(func(name string) { m.send(name, replicate) })
}

// commitWrite commits the pending write and starts the next one.
func (m *Machine) commitWrite(now time.Duration) {
	if m.writes.pending == nil {
		return
	}
	version := m.writes.pending.version
	m.replica.commit()
	m.emit(TableCommitted{Version: version, Table: m.replica.committed})
	m.emit(SubmitResult{Token: m.writes.pending.token, Committed: true, Version: version})
	m.writes.pending = nil
	m.startNextWrite(now)
}

// failWrites fails all writes of a node that is no longer primary.
func (m *Machine) failWrites() {
	if m.writes.pending != nil {
		m.emit(SubmitResult{Token: m.writes.pending.token, OutcomeUnknown: true})
		m.writes.pending = nil
	}
	m.rejectQueue()
}

func (m *Machine) rejectQueue() {
	for _, submit := range m.writes.waiting {
		m.emit(SubmitResult{Token: submit.Token})
	}
	m.writes.waiting = nil
}

// rejectQueueWithoutLease rejects the waiting writes if the lease has lapsed while the
// disk is stalled.
func (m *Machine) rejectQueueWithoutLease(now time.Duration) {
	if !m.holdsLease(now) {
		m.rejectQueue()
	}
}

// awaitsBackup reports whether writes are held until there is a backup.
func (m *Machine) awaitsBackup() bool {
	return m.bootstrap.RequireBackup && m.voterState.Decided.Backup == "" && len(m.Voters()) > 1
}
