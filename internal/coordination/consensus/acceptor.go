package consensus

import "time"

func (m *Machine) onPrepare(from string, prepare Prepare, now time.Duration) {
	m.adopt(prepare.Decided, now, reasonCandidateAhead)
	if !m.isFormed() {
		return
	}
	promise := Promise{Epoch: prepare.Decided.Epoch + 1, Number: prepare.Number, Decided: m.voterState.Decided}
	eligible := m.isEligible(from, prepare, now)
	if m.IsMember() {
		promise.RetryAfter = m.voteBlockedFor(from, now)
		if eligible && promise.RetryAfter == 0 {
			m.vote(from, &promise)
		}
	}
	m.send(from, promise)
}

// isEligible reports whether a candidate may become primary. The candidate's newest
// record must be the same as that of this node. The candidate must also be the primary
// or a successor in that record, or a spare voter that votesForSpare accepts. The
// candidate's copy of the record is used, because the copy of this node may have been
// passed on by a build that leaves out the fallback.
func (m *Machine) isEligible(candidate string, prepare Prepare, now time.Duration) bool {
	if !m.voterState.Decided.IsSame(prepare.Decided) {
		return false
	}
	return prepare.Decided.HasRole(candidate) || m.votesForSpare(candidate, prepare.Version, now)
}

// vote fills in the promise and grants it, unless this node has already promised a
// higher proposal.
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

// noteVote records a vote for a candidate. VotedForOther stays set when this node votes
// for the primary again, because the earlier vote may still decide the next epoch.
func (m *Machine) noteVote(candidate string) {
	m.voterState.VotedForOther = m.voterState.VotedForOther || candidate != m.voterState.Decided.Primary
}

func (m *Machine) onAccept(from string, accept Accept, now time.Duration) {
	if !m.IsMember() || accept.Epoch != m.voterState.Decided.Epoch+1 {
		return
	}
	if m.voteBlockedFor(from, now) > 0 || !m.voterState.Acceptor.Accept(accept.Number, accept.Value) {
		return
	}
	m.noteVote(from)
	m.saveVoterState()
	m.send(from, Accepted{Epoch: accept.Epoch, Number: accept.Number})
}
