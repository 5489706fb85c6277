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
	m.roundNo = max(m.roundNo, m.ballots.Voter.Promised.Round) + 1
	number := proposal.Number{Round: m.roundNo, Name: m.self}
	m.round = proposal.NewRound(number, len(m.Voters()), store.Encode(record), now)
	m.roundFor = m.ballots.Decided
	m.isUnsettled, m.retry = true, 0
	rank := slices.Index(m.Voters(), m.self)
	m.waitUntil = now + m.timing.Reply/2 + time.Duration(rank)*m.timing.Reply/4
	prepare := Prepare{Decided: m.ballots.Decided, Number: number, Stamp: m.copy.Stamp}
	m.others(func(name string) { m.send(name, prepare) })
	if m.ballots.Voter.Promise(number) {
		m.pledge(m.self)
		m.saveBallots()
		m.onPromised(m.self, Promised{
			Epoch: m.roundFor.Epoch + 1, Number: number, IsGiven: true,
			Accepted: m.ballots.Voter.Accepted, Value: m.ballots.Voter.Value,
		}, now)
	}
}

func (m *Machine) onPrepare(from string, ask Prepare, now time.Duration) {
	m.adopt(ask.Decided, now, "candidate is ahead")
	if !m.isFormed() {
		return
	}
	decided := m.ballots.Decided
	answer := Promised{Epoch: ask.Decided.Epoch + 1, Number: ask.Number, Decided: decided}
	isEntitled := decided == ask.Decided && (from == decided.Primary || from == decided.Backup || m.yieldsTo(from, ask.Stamp, now))
	if !m.IsMember() {
		m.send(from, answer)
		return
	}
	answer.Wait = m.bound(from, now)
	if !isEntitled || answer.Wait > 0 {
		m.send(from, answer)
		return
	}
	answer.Accepted, answer.Value = m.ballots.Voter.Accepted, m.ballots.Voter.Value
	answer.IsGiven = m.ballots.Voter.Promise(ask.Number)
	answer.Higher = m.ballots.Voter.Promised
	if answer.IsGiven {
		m.pledge(from)
		m.saveBallots()
	}
	m.send(from, answer)
}

// pledge notes a vote for a candidate. The next epoch may be settled by it, also
// once this machine has voted for the primary since.
func (m *Machine) pledge(candidate string) {
	m.ballots.IsPledged = m.ballots.IsPledged || candidate != m.ballots.Decided.Primary
}

// bound says for how long this machine votes for no such candidate: its grant
// to another, or its own primacy, may still be relied on, or one that it has
// forgotten with its last run.
func (m *Machine) bound(candidate string, now time.Duration) time.Duration {
	until := time.Duration(0)
	if m.grantTo != "" && m.grantTo != candidate {
		until = m.grantAt + m.timing.Primacy
	}
	if m.isNamed() {
		until = max(until, m.primacy)
	}
	if candidate != m.ballots.Decided.Primary {
		until = max(until, m.started+m.timing.Primacy)
	}
	return max(until-now, 0)
}

func (m *Machine) onPromised(from string, promised Promised, now time.Duration) {
	m.adopt(promised.Decided, now, "a voter is ahead")
	m.roundNo = max(m.roundNo, promised.Higher.Round)
	isCurrent := m.round != nil && promised.Number == m.round.Number
	if isCurrent && !promised.IsGiven && promised.Wait > 0 && (m.retry == 0 || now+promised.Wait < m.retry) {
		m.retry = now + promised.Wait
	}
	if isCurrent && !promised.IsGiven && (from == m.ballots.Decided.Primary || m.isUnnamed()) {
		m.waitUntil = max(m.waitUntil, now+promised.Wait)
	}
	if m.round == nil || !promised.IsGiven || promised.Number != m.round.Number || promised.Epoch != m.roundFor.Epoch+1 {
		return
	}
	if !m.round.OnPromise(from, promised.Accepted, promised.Value) {
		return
	}
	accept := Accept{Epoch: m.roundFor.Epoch + 1, Number: m.round.Number, Value: m.round.Value}
	isOurs := m.ballots.Voter.Accept(accept.Number, accept.Value)
	if isOurs {
		m.saveBallots()
	}
	m.others(func(name string) { m.send(name, accept) })
	if isOurs {
		m.onAccepted(m.self, Accepted{Epoch: accept.Epoch, Number: accept.Number}, now)
	}
}

func (m *Machine) onAccept(from string, accept Accept, now time.Duration) {
	if !m.IsMember() || accept.Epoch != m.ballots.Decided.Epoch+1 {
		return
	}
	if m.bound(from, now) > 0 || !m.ballots.Voter.Accept(accept.Number, accept.Value) {
		return
	}
	m.pledge(from)
	m.saveBallots()
	m.send(from, Accepted{Epoch: accept.Epoch, Number: accept.Number})
}

func (m *Machine) onAccepted(from string, accepted Accepted, now time.Duration) {
	if m.round == nil || accepted.Number != m.round.Number || accepted.Epoch != m.roundFor.Epoch+1 {
		return
	}
	if !m.round.OnAccepted(from) {
		return
	}
	var record Record
	if !decodeRecord(m.round.Value, &record) {
		return
	}
	told := m.concerned(record)
	m.adopt(record, now, "ballot won")
	for _, name := range told {
		m.send(name, Decided{Record: record})
	}
}

func (m *Machine) adopt(record Record, now time.Duration, why string) {
	if record.Epoch <= m.ballots.Decided.Epoch || !m.isFormed() {
		return
	}
	wasNamed, before := m.isNamed(), m.ballots.Decided.Voters
	m.ballots.Decided = record
	m.ballots.Voter, m.ballots.IsPledged = proposal.Voter{}, false
	m.ballots.IsHollow = m.ballots.IsHollow || (m.sparesWanted() > 0 && !m.IsMember())
	m.saveBallots()
	m.isUnsettled = false
	m.isAhead = m.isAhead && m.isNamed() && record.Backup != ""
	m.round, m.repairing = nil, nil
	clear(m.grantsBy)
	m.grantTo, m.grantAt, m.heardAt = record.Primary, now, now
	m.waitUntil = 0
	m.forgetReplaced(before, now)
	if !m.isNamed() {
		m.primacy = 0
		m.failQueue()
	}
	if m.IsStandby() {
		m.asked = now - m.timing.Form
	}
	if m.isNamed() && !wasNamed {
		m.acks, m.votersAt = map[string]time.Duration{}, now
		m.spares = map[string]store.Stamp{}
		m.shunned = map[string]time.Duration{}
		m.safe = m.copy
	}
	m.turned(record, why)
	if m.isNamed() {
		m.renewed = now - m.timing.Renew
		if !m.isUnpaired() {
			m.backed(now)
		}
	}
}

// concerned names the machines that are to be told of a record at once: the voters
// before and after it, and the standbys.
func (m *Machine) concerned(record Record) []string {
	names := slices.Concat(m.Voters(), record.Voters.Names(), slices.Collect(maps.Keys(m.standbys)))
	slices.Sort(names)
	return slices.DeleteFunc(slices.Compact(names), func(name string) bool { return name == m.self })
}

func decodeRecord(data []byte, into *Record) bool { return store.Decode(data, into) == nil }
