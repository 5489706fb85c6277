package consensus

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

// proposalState is this node's state as a proposer of the record of the next epoch. At
// most one proposal is in progress.
type proposalState struct {
	// current is the proposal in progress, or nil. base is the record that the proposed
	// record follows.
	current *proposal.Proposer
	base    Record
	// unsettled is true if a proposal of this node may still be decided. This is either
	// the proposal in progress or a proposal that the node gave up, possibly before its
	// restart. It is reset when the next epoch is decided.
	unsettled bool
	// highestRound is the highest known round of a proposal by this node or another.
	highestRound uint64
	// nextAt is when this node may propose again.
	nextAt time.Duration
	// retryAt is when the first of the voters that refused the current proposal may
	// vote for it, or 0 if none of them has reported a time.
	retryAt time.Duration
}

func (p proposalState) clone() proposalState {
	if p.current != nil {
		p.current = p.current.Clone()
	}
	return p
}

func (p *proposalState) isUnderWay() bool { return p.current != nil }

// isDue reports whether this node may propose again.
func (p *proposalState) isDue(now time.Duration) bool { return now >= p.nextAt }

// delayUntil prevents this node from proposing before the given time.
func (p *proposalState) delayUntil(until time.Duration) { p.nextAt = max(p.nextAt, until) }

// epoch returns the epoch whose record is proposed.
func (p *proposalState) epoch() uint64 { return p.base.Epoch + 1 }

// hasNumber reports whether the proposal in progress has the given number.
func (p *proposalState) hasNumber(number proposal.Number) bool {
	return p.current != nil && p.current.Number == number
}

// observeRound records the round of a proposal that a voter has promised.
func (p *proposalState) observeRound(round uint64) { p.highestRound = max(p.highestRound, round) }

// nextNumber returns the number of a new proposal, which is higher than all known
// numbers.
func (p *proposalState) nextNumber(name string) proposal.Number {
	p.highestRound++
	return proposal.Number{Round: p.highestRound, Name: name}
}

// start replaces the proposal in progress, if any.
func (p *proposalState) start(current *proposal.Proposer, base Record) {
	p.current, p.base = current, base
	p.unsettled, p.retryAt = true, 0
}

// expire gives up a proposal that was not decided within replyTimeout. It also gives up
// a proposal that is still being prepared once a voter that refused it may vote for it,
// so that this node can propose again at once.
func (p *proposalState) expire(replyTimeout, now time.Duration) {
	if p.current != nil && now-p.current.StartedAt > replyTimeout {
		p.current = nil
	}
	if p.current != nil && p.current.IsPreparing() && p.retryAt != 0 && now >= p.retryAt {
		p.current, p.nextAt = nil, now
	}
}

// scheduleRetry schedules another proposal for the earliest time at which a voter may
// vote for it.
func (p *proposalState) scheduleRetry(at time.Duration) {
	if p.retryAt == 0 || at < p.retryAt {
		p.retryAt = at
	}
}

// end discards the proposal in progress once the epoch is decided. The next proposal
// may follow at once.
func (p *proposalState) end() { p.current, p.unsettled, p.nextAt = nil, false, 0 }

// propose starts a proposal for the record of the next epoch.
func (m *Machine) propose(record Record, now time.Duration) {
	if !m.IsMember() {
		return
	}
	decided := m.voterState.Decided
	m.proposals.observeRound(m.voterState.Acceptor.Promised.Round)
	number := m.proposals.nextNumber(m.self)
	m.proposals.start(proposal.NewProposer(number, len(m.Voters()), store.EncodePlain(record), now), decided)
	m.proposals.nextAt = now + m.proposalBackoff()
	prepare := Prepare{Decided: decided, Number: number, Version: m.replica.version()}
	m.eachOtherVoter(func(name string) { m.send(name, prepare) })
	if m.voterState.Acceptor.Promise(number) {
		m.noteVote(m.self)
		m.saveVoterState()
		m.onPromise(m.self, Promise{
			Epoch: m.proposals.epoch(), Number: number, Granted: true,
			Accepted: m.voterState.Acceptor.Accepted, Value: m.voterState.Acceptor.Value,
		}, now)
	}
}

// proposalBackoff returns the minimum time between two proposals of this node. It
// differs among the voters, so that proposals that collided do not collide a second
// time.
func (m *Machine) proposalBackoff() time.Duration {
	rank := slices.Index(m.Voters(), m.self)
	return m.timing.ReplyTimeout/2 + time.Duration(rank)*m.timing.ReplyTimeout/4
}

func (m *Machine) onPromise(from string, promise Promise, now time.Duration) {
	m.adopt(promise.Decided, now, reasonVoterAhead)
	m.proposals.observeRound(promise.HighestPromised.Round)
	if !m.proposals.hasNumber(promise.Number) {
		return
	}
	if !promise.Granted {
		m.noteRefusal(from, promise.RetryAfter, now)
		return
	}
	if promise.Epoch != m.proposals.epoch() {
		return
	}
	if m.proposals.current.OnPromise(from, promise.Accepted, promise.Value) {
		m.sendAccept(now)
	}
}

// noteRefusal schedules the next proposal after a voter has refused one. The voter must
// not vote for this node for retryAfter. If the voter is the primary or this node is a
// spare voter, the next proposal is also postponed by retryAfter, unless expire makes it
// due earlier.
func (m *Machine) noteRefusal(voter string, retryAfter time.Duration, now time.Duration) {
	retryAt := now + retryAfter
	if retryAfter > 0 {
		m.proposals.scheduleRetry(retryAt)
	}
	if voter == m.voterState.Decided.Primary || m.isSpareVoter() {
		m.proposals.delayUntil(retryAt)
	}
}

// sendAccept asks the voters to accept the value of a prepared proposal. This node
// accepts it first.
func (m *Machine) sendAccept(now time.Duration) {
	accept := Accept{Epoch: m.proposals.epoch(), Number: m.proposals.current.Number, Value: m.proposals.current.Value}
	accepted := m.voterState.Acceptor.Accept(accept.Number, accept.Value)
	if accepted {
		m.saveVoterState()
	}
	m.eachOtherVoter(func(name string) { m.send(name, accept) })
	if accepted {
		m.onAccepted(m.self, Accepted{Epoch: accept.Epoch, Number: accept.Number}, now)
	}
}

func (m *Machine) onAccepted(from string, accepted Accepted, now time.Duration) {
	if !m.proposals.hasNumber(accepted.Number) || accepted.Epoch != m.proposals.epoch() {
		return
	}
	if !m.proposals.current.OnAccepted(from) {
		return
	}
	record, err := decodeRecord(m.proposals.current.Value)
	if err != nil {
		return
	}
	recipients := m.decisionRecipients(record)
	m.adopt(record, now, reasonProposalWon)
	for _, name := range recipients {
		m.send(name, Decided{Record: record})
	}
}
