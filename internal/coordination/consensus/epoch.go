package consensus

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/proposal"
)

// nextRecord returns a record of the next epoch with this node as primary and the given
// backup and voters. If there is no backup, the other node that has all writes becomes
// the fallback, provided that it stays a voter with the same disk.
func (m *Machine) nextRecord(backup string, voters Voters) Record {
	decided := m.voterState.Decided
	record := Record{Epoch: decided.Epoch + 1, Primary: m.self, Backup: backup, Voters: voters}
	if backup == "" && m.bootstrap.RequireBackup {
		record.Fallback = decided.otherHolder(m.self)
	}
	if !record.hasFallback() {
		record.Fallback = Member{}
	}
	return record
}

// withoutBackup returns a record of the next epoch with this node as primary and no
// backup.
func (m *Machine) withoutBackup() Record { return m.nextRecord("", m.voterState.Decided.Voters) }

// adopt makes record the newest known record if it belongs to a newer epoch.
func (m *Machine) adopt(record Record, now time.Duration, reason string) {
	if record.Epoch <= m.voterState.Decided.Epoch || !m.isFormed() {
		return
	}
	wasPrimary, previous := m.isRecordedPrimary(), m.voterState.Decided
	m.setDecided(record)
	m.saveVoterState()
	m.replica.ahead = m.isAheadAfter(previous, wasPrimary)
	m.proposals.end()
	m.repairs.active = nil
	clear(m.lease.grantSentAt)
	m.assumeLeaseGranted(now)
	m.forgetReplacedVoters(previous.Voters, now)
	if !m.isRecordedPrimary() {
		m.lease.until = 0
		m.failWrites()
	}
	if m.IsStandby() {
		// Offer this standby to the new primary on the next tick.
		m.requestStatusOnNextTick(now)
	}
	if m.isRecordedPrimary() && !wasPrimary {
		m.becomePrimary(now)
	}
	m.emitEpochChanged(reason)
	if m.isRecordedPrimary() {
		m.continueAsPrimary(now)
	}
}

// isAheadAfter reports whether, as primary of the record that was just adopted, this
// node may have a write that the backup or the fallback lacks.
//
// A primary that was ahead stays so until there is no other successor, or until a node
// that it repaired in an epoch without a backup is the backup. A fallback that takes over
// may be ahead of the primary before it, because a primary saves a write before the
// backup does.
func (m *Machine) isAheadAfter(previous Record, wasPrimary bool) bool {
	record := m.voterState.Decided
	if !m.isRecordedPrimary() {
		return false
	}
	if record.Backup != "" {
		return m.replica.ahead && previous.Backup != ""
	}
	tookOverAsFallback := !wasPrimary && previous.Backup == ""
	return record.hasFallback() && (m.replica.ahead || tookOverAsFallback)
}

// setDecided replaces the newest known record and resets the acceptor, which then votes
// on the epoch after that record.
func (m *Machine) setDecided(record Record) {
	state := &m.voterState
	state.Decided, state.Acceptor, state.VotedForOther = record, proposal.Acceptor{}, false
	state.ReplicaIncomplete = state.ReplicaIncomplete || (m.requiredSpares() > 0 && !m.IsMember())
}

// becomePrimary discards what remains in the tracker from an earlier time as primary,
// and treats all writes in the replica as committed.
func (m *Machine) becomePrimary(now time.Duration) {
	m.tracker = newVoterTracker(now)
	m.replica.commit()
}

// continueAsPrimary makes the next tick renew the lease. A pending write does not wait
// for the backup of the previous epoch: it counts as synced by the backup, unless writes
// are held until there is a backup.
func (m *Machine) continueAsPrimary(now time.Duration) {
	m.lease.renewedAt = now - m.timing.RenewInterval
	if !m.awaitsBackup() {
		m.noteBackupSynced(now)
	}
}

// forgetReplacedVoters discards the state of the voters that are not in the new record.
func (m *Machine) forgetReplacedVoters(previous Voters, now time.Duration) {
	voters := m.voterState.Decided.Voters
	if previous == voters {
		return
	}
	for _, member := range previous.Members() {
		if !voters.Has(member) {
			m.tracker.forget(member.Name)
			delete(m.leaving, member.Name)
			delete(m.clock.peerOffsets, member.Name)
		}
	}
	m.tracker.since = now
}

// decisionRecipients returns the sorted names of the other nodes to which a record is
// sent as soon as it is decided. These are the voters before and after the decision,
// and the standbys.
func (m *Machine) decisionRecipients(record Record) []string {
	names := slices.Concat(m.Voters(), record.Voters.Names(), slices.Collect(maps.Keys(m.standbys)))
	slices.Sort(names)
	return slices.DeleteFunc(slices.Compact(names), func(name string) bool { return name == m.self })
}

func (m *Machine) onDecided(from string, decided Decided, now time.Duration) {
	m.adopt(decided.Record, now, reasonDecided)
	m.notePrimaryContact(from, decided.Record, now)
}
