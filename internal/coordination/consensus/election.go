package consensus

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

func (m *Machine) propose(record Record, now time.Duration) {
	if !m.IsMember() {
		return
	}
	m.highestRound = max(m.highestRound, m.voterState.Acceptor.Promised.Round) + 1
	number := proposal.Number{Round: m.highestRound, Name: m.self}
	m.proposer = proposal.NewProposer(number, len(m.Voters()), store.EncodePlain(record), now)
	m.proposalBase = m.voterState.Decided
	m.proposalUnsettled, m.retryAt = true, 0
	rank := slices.Index(m.Voters(), m.self)
	m.nextProposalAt = now + m.timing.ReplyTimeout/2 + time.Duration(rank)*m.timing.ReplyTimeout/4
	prepare := Prepare{Decided: m.voterState.Decided, Number: number, Version: m.replica.Version}
	m.eachOtherVoter(func(name string) { m.send(name, prepare) })
	if m.voterState.Acceptor.Promise(number) {
		m.noteVote(m.self)
		m.saveVoterState()
		m.onPromise(m.self, Promise{
			Epoch: m.proposalBase.Epoch + 1, Number: number, Granted: true,
			Accepted: m.voterState.Acceptor.Accepted, Value: m.voterState.Acceptor.Value,
		}, now)
	}
}

func (m *Machine) onPrepare(from string, ask Prepare, now time.Duration) {
	m.adopt(ask.Decided, now, "candidate is ahead")
	if !m.isFormed() {
		return
	}
	decided := m.voterState.Decided
	answer := Promise{Epoch: ask.Decided.Epoch + 1, Number: ask.Number, Decided: decided}
	isEntitled := decided == ask.Decided && (from == decided.Primary || from == decided.Backup || m.acceptsSpareCandidate(from, ask.Version, now))
	if !m.IsMember() {
		m.send(from, answer)
		return
	}
	answer.RetryAfter = m.voteBoundFor(from, now)
	if !isEntitled || answer.RetryAfter > 0 {
		m.send(from, answer)
		return
	}
	answer.Accepted, answer.Value = m.voterState.Acceptor.Accepted, m.voterState.Acceptor.Value
	answer.Granted = m.voterState.Acceptor.Promise(ask.Number)
	answer.HighestPromised = m.voterState.Acceptor.Promised
	if answer.Granted {
		m.noteVote(from)
		m.saveVoterState()
	}
	m.send(from, answer)
}

// pledge notes a vote for a candidate. The next epoch may be settled by it, also
// once this machine has voted for the primary since.
func (m *Machine) noteVote(candidate string) {
	m.voterState.VotedForOther = m.voterState.VotedForOther || candidate != m.voterState.Decided.Primary
}

// bound says for how long this machine votes for no such candidate: its grant
// to another, or its own primacy, may still be relied on, or one that it has
// forgotten with its last run.
func (m *Machine) voteBoundFor(candidate string, now time.Duration) time.Duration {
	until := time.Duration(0)
	if m.grantedTo != "" && m.grantedTo != candidate {
		until = m.grantedAt + m.timing.PrimaryLease
	}
	if m.isRecordedPrimary() {
		until = max(until, m.leaseUntil)
	}
	if candidate != m.voterState.Decided.Primary {
		until = max(until, m.startedAt+m.timing.PrimaryLease)
	}
	return max(until-now, 0)
}

func (m *Machine) onPromise(from string, promised Promise, now time.Duration) {
	m.adopt(promised.Decided, now, "a voter is ahead")
	m.highestRound = max(m.highestRound, promised.HighestPromised.Round)
	isCurrent := m.proposer != nil && promised.Number == m.proposer.Number
	if isCurrent && !promised.Granted && promised.RetryAfter > 0 && (m.retryAt == 0 || now+promised.RetryAfter < m.retryAt) {
		m.retryAt = now + promised.RetryAfter
	}
	if isCurrent && !promised.Granted && (from == m.voterState.Decided.Primary || m.isUnnamedVoter()) {
		m.nextProposalAt = max(m.nextProposalAt, now+promised.RetryAfter)
	}
	if m.proposer == nil || !promised.Granted || promised.Number != m.proposer.Number || promised.Epoch != m.proposalBase.Epoch+1 {
		return
	}
	if !m.proposer.OnPromise(from, promised.Accepted, promised.Value) {
		return
	}
	accept := Accept{Epoch: m.proposalBase.Epoch + 1, Number: m.proposer.Number, Value: m.proposer.Value}
	isOurs := m.voterState.Acceptor.Accept(accept.Number, accept.Value)
	if isOurs {
		m.saveVoterState()
	}
	m.eachOtherVoter(func(name string) { m.send(name, accept) })
	if isOurs {
		m.onAccepted(m.self, Accepted{Epoch: accept.Epoch, Number: accept.Number}, now)
	}
}

func (m *Machine) onAccept(from string, accept Accept, now time.Duration) {
	if !m.IsMember() || accept.Epoch != m.voterState.Decided.Epoch+1 {
		return
	}
	if m.voteBoundFor(from, now) > 0 || !m.voterState.Acceptor.Accept(accept.Number, accept.Value) {
		return
	}
	m.noteVote(from)
	m.saveVoterState()
	m.send(from, Accepted{Epoch: accept.Epoch, Number: accept.Number})
}

func (m *Machine) onAccepted(from string, accepted Accepted, now time.Duration) {
	if m.proposer == nil || accepted.Number != m.proposer.Number || accepted.Epoch != m.proposalBase.Epoch+1 {
		return
	}
	if !m.proposer.OnAccepted(from) {
		return
	}
	var record Record
	if !decodeRecord(m.proposer.Value, &record) {
		return
	}
	told := m.recordAudience(record)
	m.adopt(record, now, "ballot won")
	for _, name := range told {
		m.send(name, Decided{Record: record})
	}
}

func (m *Machine) adopt(record Record, now time.Duration, why string) {
	if record.Epoch <= m.voterState.Decided.Epoch || !m.isFormed() {
		return
	}
	wasNamed, before := m.isRecordedPrimary(), m.voterState.Decided.Voters
	m.voterState.Decided = record
	m.voterState.Acceptor, m.voterState.VotedForOther = proposal.Acceptor{}, false
	m.voterState.ReplicaIncomplete = m.voterState.ReplicaIncomplete || (m.requiredSpares() > 0 && !m.IsMember())
	m.saveVoterState()
	m.proposalUnsettled = false
	m.replicaAhead = m.replicaAhead && m.isRecordedPrimary() && record.Backup != ""
	m.proposer, m.activeRepair = nil, nil
	clear(m.grantSentAt)
	m.grantedTo, m.grantedAt, m.lastPrimaryContact = record.Primary, now, now
	m.nextProposalAt = 0
	m.forgetReplacedVoters(before, now)
	if !m.isRecordedPrimary() {
		m.leaseUntil = 0
		m.failWrites()
	}
	if m.IsStandby() {
		m.statusRequestedAt = now - m.timing.FormInterval
	}
	if m.isRecordedPrimary() && !wasNamed {
		m.lastAck, m.votersSince = map[string]time.Duration{}, now
		m.spareVersions = map[string]store.Version{}
		m.excludedUntil = map[string]time.Duration{}
		m.committed = m.replica
	}
	m.emitEpochChanged(record, why)
	if m.isRecordedPrimary() {
		m.renewedAt = now - m.timing.RenewInterval
		if !m.awaitsBackup() {
			m.noteBackupSynced(now)
		}
	}
}

// concerned names the machines that are to be told of a record at once: the voters
// before and after it, and the standbys.
func (m *Machine) recordAudience(record Record) []string {
	names := slices.Concat(m.Voters(), record.Voters.Names(), slices.Collect(maps.Keys(m.standbys)))
	slices.Sort(names)
	return slices.DeleteFunc(slices.Compact(names), func(name string) bool { return name == m.self })
}

func decodeRecord(data []byte, into *Record) bool { return store.DecodePlain(data, into) == nil }
