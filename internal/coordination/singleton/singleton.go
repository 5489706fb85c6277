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
	"maps"
	"slices"
	"strings"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/proposal"
)

// LeaseDuration is how long a vote for a role binds the voter.
const LeaseDuration = 1200 * time.Millisecond

// TickInterval is the time between calls of Due.
const TickInterval = 25 * time.Millisecond

const (
	// campaignInterval is the time between campaigns while no failover is active.
	campaignInterval = 100 * time.Millisecond
	// refreshInterval is the time between requests for the list of databases at a
	// control server that is not the primary.
	refreshInterval = time.Second
	// remoteEvaluateInterval is the time between evaluations of the databases with
	// synchronous replication at a leader that is not the control primary, and
	// has to fetch the evidence from there.
	remoteEvaluateInterval = 300 * time.Millisecond
	// takeoverDelay is how long a role must be vacant before a control server
	// that is not the primary campaigns for it.
	takeoverDelay = 2 * LeaseDuration
)

// Names of the roles as they are sent and shown.
const (
	syncRole        = "takeover"
	asyncRolePrefix = "failover/"
)

// NodeState is what the machine depends on of its own control server.
type NodeState struct {
	// Primary says that it is the control primary.
	Primary bool
	// FailoverActive says that a writer role is being moved, so that each step is
	// to be taken as soon as possible.
	FailoverActive bool
}

// Effect is what Machine.Campaign wants done: RequestVotes or Evaluate.
type Effect any

// RequestVotes is the effect of sending a request to all voters, this control
// server included.
type RequestVotes struct {
	Request proposal.VoteRequest
	Voters  []string
}

// Evaluate is the effect of deciding on a database as leader of its role.
type Evaluate struct {
	Database string
	// Synced says that the database replicates synchronously.
	Synced bool
}

// Machine is the part of one control server. It is not safe for concurrent use.
type Machine struct {
	self       string
	voters     consensus.Electorate
	grantor    *proposal.Grantor
	candidates map[string]*proposal.Candidate
	evaluating map[string]bool
	// databases lists all databases, synced those with synchronous replication.
	databases          []string
	synced             []string
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

// Due says whether to campaign now, and whether to refresh the list of databases
// from the control primary before.
func (m *Machine) Due(state NodeState, now time.Duration) (campaign, refresh bool) {
	if now < m.nextCampaign {
		return false, false
	}
	m.nextCampaign = now + campaignInterval
	if state.FailoverActive {
		m.nextCampaign = now + TickInterval
	}
	refresh = state.Primary || now >= m.nextRefresh
	if refresh {
		m.nextRefresh = now + refreshInterval
	}
	return true, refresh
}

// SetDatabases sets the list of all databases, and of those among them with
// synchronous replication.
func (m *Machine) SetDatabases(databases, synced []string) {
	m.databases = databases
	m.synced = synced
}

// Campaign returns the effects of campaigning for all roles and of evaluating the
// databases of those that this control server leads.
func (m *Machine) Campaign(state NodeState, now time.Duration) []Effect {
	var effects []Effect
	for _, database := range m.databases {
		if slices.Contains(m.synced, database) {
			continue
		}
		effects = append(effects, m.requestVotes(asyncRolePrefix+database, state, now)...)
		if m.isLeader(asyncRolePrefix+database, now) {
			effects = append(effects, Evaluate{Database: database})
		}
	}
	if len(m.synced) == 0 {
		return effects
	}
	effects = append(effects, m.requestVotes(syncRole, state, now)...)
	if !m.isLeader(syncRole, now) || (!state.Primary && now < m.nextRemoteEvaluate) {
		return effects
	}
	m.nextRemoteEvaluate = now + remoteEvaluateInterval
	for _, database := range m.synced {
		effects = append(effects, Evaluate{Database: database, Synced: true})
	}
	return effects
}

// requestVotes gives the vote request for a role that is due now, if any.
func (m *Machine) requestVotes(role string, state NodeState, now time.Duration) []Effect {
	candidate, found := m.candidate(role)
	if !found || !m.voters.IncludesSelf {
		return nil
	}
	if !state.Primary && m.grantor.VacantFor(role, now) <= takeoverDelay {
		return nil
	}
	request, due := candidate.Tick(now)
	if !due {
		return nil
	}
	request.Voters = string(m.voters.Voters)
	return []Effect{RequestVotes{Request: request, Voters: m.voters.Voters.Names()}}
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

// RoleStatus is the state of a role as it is shown to operators.
type RoleStatus struct {
	Role     string `json:"duty"`
	Database string `json:"database"`
	// Leading says that this control server leads the role.
	Leading bool `json:"is_held"`
	// Leader is the other leader that a voter named last, if any.
	Leader string `json:"seen_held_by"`
}

// Roles lists the roles that this control server is a candidate for, by name.
func (m *Machine) Roles(now time.Duration) []RoleStatus {
	list := []RoleStatus{}
	for _, role := range slices.Sorted(maps.Keys(m.candidates)) {
		candidate := m.candidates[role]
		list = append(list, RoleStatus{
			Role:     role,
			Database: strings.TrimPrefix(role, asyncRolePrefix),
			Leading:  candidate.IsLeader(now),
			Leader:   candidate.Leader(),
		})
	}
	return list
}

// BeginEvaluation says whether an evaluation of a database may begin: one runs at
// a time, until EndEvaluation.
func (m *Machine) BeginEvaluation(database string) bool {
	if m.evaluating[database] {
		return false
	}
	m.evaluating[database] = true
	return true
}

// EndEvaluation ends the evaluation of a database.
func (m *Machine) EndEvaluation(database string) { delete(m.evaluating, database) }
