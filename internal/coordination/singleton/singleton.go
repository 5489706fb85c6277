// Package singleton is the state machine by which a control server campaigns for
// the singleton roles of deciding on failovers, and keeps those that it wins.
//
// There is a role for each database with asynchronous replication, and one for
// all databases with synchronous replication. A role is held by a lease, which a
// majority of the voters grants. The control primary campaigns for all roles;
// another voter campaigns for a role only once it has been vacant for a while.
//
// The machine is pure: the caller passes the time, as a duration on its
// monotonic clock, and executes the effects.
package singleton

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/proposal"
)

// LeaseDuration is how long a vote for a role binds the voter.
const LeaseDuration = 1200 * time.Millisecond

// Names of the roles as they are sent and shown.
const (
	syncRole        = "takeover"
	asyncRolePrefix = "failover/"
)

// Machine is the part of one control server. It is not safe for concurrent use.
type Machine struct {
	self    string
	voters  consensus.Electorate
	grantor *proposal.Grantor
	// candidates are by role.
	candidates map[string]*proposal.Candidate
	// evaluating has the databases whose evaluation has begun and not ended.
	evaluating map[string]bool
	// databases lists all databases, synced those with synchronous replication.
	databases []string
	synced    []string

	// nextCampaign, nextRefresh and nextRemoteEvaluate are when the next campaign, request
	// for the list of databases and evaluation from remote evidence are due.
	nextCampaign       time.Duration
	nextRefresh        time.Duration
	nextRemoteEvaluate time.Duration
}

// New returns a machine without databases. It grants no vote until one lease
// duration has passed, since a lease it granted before a restart may still bind.
func New(self string, now time.Duration) *Machine {
	return &Machine{
		self:       self,
		grantor:    proposal.NewGrantor(LeaseDuration, now),
		candidates: map[string]*proposal.Candidate{},
		evaluating: map[string]bool{},
	}
}

// SetVoters sets the current voters. A control server that becomes a voter grants
// no vote for one lease duration: the votes of the one that it replaced may bind
// until then.
func (m *Machine) SetVoters(voters consensus.Electorate, now time.Duration) {
	if voters.IncludesSelf && !m.voters.IncludesSelf {
		m.grantor.Suspend(now + LeaseDuration)
	}
	m.voters = voters
}

// SetDatabases sets the list of all databases, and of those among them with
// synchronous replication.
func (m *Machine) SetDatabases(databases, synced []string) {
	m.databases = databases
	m.synced = synced
}

// candidate gives the candidate for a role, which is made once this control
// server is a voter. Ranks differ by role, so that they spread the backoff.
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

// OnVoteRequest returns the vote of this control server. It grants a vote only to
// a candidate that counts the same voters, and none while a change of voters may
// be decided: a majority of the old voters has accepted each change, so that none
// of them can extend a lease once another may be won among the new ones.
func (m *Machine) OnVoteRequest(from string, request proposal.VoteRequest, now time.Duration) proposal.Vote {
	eligible := m.voters.IncludesSelf && !m.voters.Changing && request.Voters == string(m.voters.Voters)
	if !eligible {
		return proposal.Vote{Voter: m.self, Role: request.Role, Attempt: request.Attempt}
	}
	vote := m.grantor.OnVoteRequest(from, request, now)
	vote.Voter = m.self
	return vote
}

// OnVote counts a vote, and says whether it newly wins the role. A vote of another
// control server than the one that was asked is ignored.
func (m *Machine) OnVote(from string, vote proposal.Vote, now time.Duration) bool {
	candidate, found := m.candidates[vote.Role]
	return found && vote.Voter == from && candidate.OnVote(from, vote, now)
}
