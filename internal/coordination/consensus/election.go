package consensus

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

// propose starts a proposal for the record of the next epoch.
func (m *Machine) propose(record Record, now time.Duration) {
	if !m.IsMember() {
		return
	}
	m.highestRound = max(m.highestRound, m.voterState.Acceptor.Promised.Round) + 1
	number := proposal.Number{Round: m.highestRound, Name: m.self}
	m.proposer = proposal.NewProposer(number, len(m.Voters()), store.EncodePlain(record), now)
	m.proposalBase = m.voterState.Decided
	m.proposalUnsettled, m.retryAt = true, 0
	m.nextProposalAt = now + m.proposalBackoff()
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

// proposalBackoff is the least time between two proposals of this node. It differs
// among the voters, so that proposals that collided do so only once.
func (m *Machine) proposalBackoff() time.Duration {
	rank := slices.Index(m.Voters(), m.self)
	return m.timing.ReplyTimeout/2 + time.Duration(rank)*m.timing.ReplyTimeout/4
}

// expireProposal gives up a proposal without an answer in time, or one whose voters
// said that they may vote by now.
func (m *Machine) expireProposal(now time.Duration) {
	if m.proposer != nil && now-m.proposer.StartedAt > m.timing.ReplyTimeout {
		m.proposer = nil
	}
	if m.proposer != nil && m.proposer.IsPreparing() && m.retryAt != 0 && now >= m.retryAt {
		m.proposer, m.nextProposalAt = nil, now
	}
}

func (m *Machine) onPrepare(from string, prepare Prepare, now time.Duration) {
	m.adopt(prepare.Decided, now, reasonCandidateAhead)
	if !m.isFormed() {
		return
	}
	promise := Promise{Epoch: prepare.Decided.Epoch + 1, Number: prepare.Number, Decided: m.voterState.Decided}
	eligible := m.isEligible(from, prepare, now)
	if m.IsMember() {
		promise.RetryAfter = m.voteBoundFor(from, now)
		if eligible && promise.RetryAfter == 0 {
			m.vote(from, &promise)
		}
	}
	m.send(from, promise)
}

// isEligible says whether a candidate may become primary: one that the newest record
// names, or a spare voter.
func (m *Machine) isEligible(candidate string, prepare Prepare, now time.Duration) bool {
	decided := m.voterState.Decided
	if decided != prepare.Decided {
		return false
	}
	return candidate == decided.Primary || candidate == decided.Backup || m.yieldToSpare(candidate, prepare.Version, now)
}

// vote promises a candidate's proposal, unless a higher one was promised before.
func (m *Machine) vote(candidate string, promise *Promise) {
	acceptor := &m.voterState.Acceptor
	promise.Accepted, promise.Value = acceptor.Accepted, acceptor.Value
	promise.Granted = acceptor.Promise(promise.Number)
	promise.HighestPromised = acceptor.Promised
	if promise.Granted {
		m.noteVote(candidate)
		m.saveVoterState()
	}
}

// noteVote notes a vote for a candidate. The next epoch may be decided by it even
// after this node has voted for the primary again.
func (m *Machine) noteVote(candidate string) {
	m.voterState.VotedForOther = m.voterState.VotedForOther || candidate != m.voterState.Decided.Primary
}

func (m *Machine) onPromise(from string, promise Promise, now time.Duration) {
	m.adopt(promise.Decided, now, reasonVoterAhead)
	m.highestRound = max(m.highestRound, promise.HighestPromised.Round)
	if m.proposer == nil || promise.Number != m.proposer.Number {
		return
	}
	if !promise.Granted {
		m.noteRefusal(from, promise.RetryAfter, now)
		return
	}
	if promise.Epoch != m.proposalBase.Epoch+1 {
		return
	}
	if m.proposer.OnPromise(from, promise.Accepted, promise.Value) {
		m.sendAccept(now)
	}
}

// noteRefusal plans the next proposal after one that a voter refused, by the time for
// which it may not vote.
func (m *Machine) noteRefusal(voter string, retryAfter time.Duration, now time.Duration) {
	retryAt := now + retryAfter
	if retryAfter > 0 && (m.retryAt == 0 || retryAt < m.retryAt) {
		m.retryAt = retryAt
	}
	if voter == m.voterState.Decided.Primary || m.isUnnamedVoter() {
		m.nextProposalAt = max(m.nextProposalAt, retryAt)
	}
}

// sendAccept has the value of a prepared proposal accepted, by this node first.
func (m *Machine) sendAccept(now time.Duration) {
	accept := Accept{Epoch: m.proposalBase.Epoch + 1, Number: m.proposer.Number, Value: m.proposer.Value}
	accepted := m.voterState.Acceptor.Accept(accept.Number, accept.Value)
	if accepted {
		m.saveVoterState()
	}
	m.eachOtherVoter(func(name string) { m.send(name, accept) })
	if accepted {
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
	record, err := decodeRecord(m.proposer.Value)
	if err != nil {
		return
	}
	audience := m.audienceOf(record)
	m.adopt(record, now, reasonProposalWon)
	for _, name := range audience {
		m.send(name, Decided{Record: record})
	}
}
