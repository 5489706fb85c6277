package consensus

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/proposal"
)

// nextRecord gives the record of the next epoch with this node as primary.
func (m *Machine) nextRecord(backup string) Record {
	decided := m.voterState.Decided
	return Record{Epoch: decided.Epoch + 1, Primary: m.self, Backup: backup, Voters: decided.Voters}
}

// adopt takes over the record of a newer epoch.
func (m *Machine) adopt(record Record, now time.Duration, reason string) {
	if record.Epoch <= m.voterState.Decided.Epoch || !m.isFormed() {
		return
	}
	wasPrimary, previousVoters := m.isRecordedPrimary(), m.voterState.Decided.Voters
	m.setDecided(record)
	m.saveVoterState()
	m.replica.ahead = m.replica.ahead && m.isRecordedPrimary() && record.Backup != ""
	m.proposals.end()
	m.repairs.active = nil
	clear(m.lease.grantSentAt)
	m.assumeLeaseGranted(now)
	m.forgetReplacedVoters(previousVoters, now)
	if !m.isRecordedPrimary() {
		m.lease.until = 0
		m.failWrites()
	}
	if m.IsStandby() {
		// The new primary is offered a standby at once.
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

// setDecided replaces the newest record known, and begins to vote on the one after it.
func (m *Machine) setDecided(record Record) {
	state := &m.voterState
	state.Decided, state.Acceptor, state.VotedForOther = record, proposal.Acceptor{}, false
	state.ReplicaIncomplete = state.ReplicaIncomplete || (m.requiredSpares() > 0 && !m.IsMember())
}

// becomePrimary drops what is known of the voters from an earlier time as primary.
func (m *Machine) becomePrimary(now time.Duration) {
	m.tracker = newVoterTracker(now)
	m.replica.commit()
}

// continueAsPrimary renews the lease at once. The pending write, if any, does not wait
// for the backup of the epoch before.
func (m *Machine) continueAsPrimary(now time.Duration) {
	m.lease.renewedAt = now - m.timing.RenewInterval
	if !m.awaitsBackup() {
		m.noteBackupSynced(now)
	}
}

// forgetReplacedVoters drops what is known of voters that the new record does not have.
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

// decisionRecipients names the other nodes that are sent a record as soon as it is decided: the
// voters before and after it, and the standbys. It is sorted.
func (m *Machine) decisionRecipients(record Record) []string {
	names := slices.Concat(m.Voters(), record.Voters.Names(), slices.Collect(maps.Keys(m.standbys)))
	slices.Sort(names)
	return slices.DeleteFunc(slices.Compact(names), func(name string) bool { return name == m.self })
}

func (m *Machine) onDecided(from string, decided Decided, now time.Duration) {
	m.adopt(decided.Record, now, reasonDecided)
	m.notePrimaryContact(from, decided.Record, now)
}
