// Package singleton is the state machine with which a control server campaigns for the
// singleton roles and renews those that it has won. The holder of a role decides on
// failovers.
//
// There is one role for each database with asynchronous replication, and one role
// for all databases with synchronous replication. A role is held under a lease, which
// a majority of the voters grants. The control primary campaigns for all roles.
// Another voter campaigns for a role only after the role has been vacant for
// takeoverDelay.
//
// The machine reads no clock and does no I/O: the caller passes the time, as a
// duration on the caller's monotonic clock, and executes the effects.
package singleton

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/proposal"
)

// LeaseDuration is how long a vote for a role binds the voter.
const LeaseDuration = 1200 * time.Millisecond

// Names of the roles in messages and in the status shown to operators.
const (
	syncRole        = "takeover"
	asyncRolePrefix = "failover/"
)

// Machine is the state of one control server. It is not safe for concurrent use.
type Machine struct {
	self    string
	voters  consensus.Electorate
	grantor *proposal.Grantor
	// candidates holds this control server's candidates by role.
	candidates map[string]*proposal.Candidate
	// evaluating holds the databases whose evaluation has begun and has not ended.
	evaluating map[string]bool
	// databases lists all databases. synced lists those with synchronous replication.
	databases []string
	synced    []string

	// nextCampaign is when the next campaign is due, nextRefresh is when the next request
	// for the list of databases is due, and nextRemoteEvaluation is when the next
	// evaluation from remote evidence is due.
	nextCampaign         time.Duration
	nextRefresh          time.Duration
	nextRemoteEvaluation time.Duration
}

// New returns a machine without databases. It grants no vote until one lease duration
// has passed, since a vote that it granted before a restart may still bind.
func New(self string, now time.Duration) *Machine {
	return &Machine{
		self:       self,
		grantor:    proposal.NewGrantor(LeaseDuration, now),
		candidates: map[string]*proposal.Candidate{},
		evaluating: map[string]bool{},
	}
}

// SetVoters sets the current voters. A control server that becomes a voter grants no
// vote for one lease duration, since the votes of the server that it replaced may bind
// until then.
func (m *Machine) SetVoters(voters consensus.Electorate, now time.Duration) {
	if voters.IncludesSelf && !m.voters.IncludesSelf {
		m.grantor.Suspend(now + LeaseDuration)
	}
	m.voters = voters
}

// SetDatabases sets the list of all databases and the list of those with synchronous
// replication.
func (m *Machine) SetDatabases(databases, synced []string) {
	m.databases = databases
	m.synced = synced
}

// candidate returns the candidate for a role and creates it if needed. It returns false
// if there is none and this control server is not a voter. A server's rank varies
// between roles, so that the backoffs are spread.
func (m *Machine) candidate(role string) (*proposal.Candidate, bool) {
	if candidate, found := m.candidates[role]; found {
		return candidate, true
	}
	names := m.voters.Voters.Names()
	rank := slices.Index(names, m.self)
	if rank < 0 {
		return nil, false
	}
	candidate := proposal.NewCandidate(role, len(names), (rank+len(m.candidates))%len(names), LeaseDuration)
	m.candidates[role] = candidate
	return candidate, true
}

func (m *Machine) isLeader(role string, now time.Duration) bool {
	candidate, found := m.candidates[role]
	return found && candidate.IsLeader(now)
}

// OnVoteRequest returns the vote of this control server. It grants a vote only to a
// candidate that counts the same voters, and grants none while a change of voters may
// be decided. A majority of the old voters has accepted each change, so the old voters
// can no longer extend a lease once another lease may be won among the new voters.
func (m *Machine) OnVoteRequest(from string, request proposal.VoteRequest, now time.Duration) proposal.Vote {
	eligible := m.voters.IncludesSelf && !m.voters.Changing && request.Voters == string(m.voters.Voters)
	if !eligible {
		return proposal.Vote{Voter: m.self, Role: request.Role, Attempt: request.Attempt}
	}
	vote := m.grantor.OnVoteRequest(from, request, now)
	vote.Voter = m.self
	return vote
}

// OnVote counts a vote and reports whether the vote newly wins the role. It ignores a
// vote from a control server other than the one that was asked.
func (m *Machine) OnVote(from string, vote proposal.Vote, now time.Duration) bool {
	candidate, found := m.candidates[vote.Role]
	return found && vote.Voter == from && candidate.OnVote(from, vote, now)
}
