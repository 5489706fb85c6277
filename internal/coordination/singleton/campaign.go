package singleton

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/proposal"
)

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

// Campaign returns the effects of campaigning for all roles and of evaluating the
// databases of those that this control server leads.
func (m *Machine) Campaign(state NodeState, now time.Duration) []Effect {
	var effects []Effect
	for _, database := range m.databases {
		if !slices.Contains(m.synced, database) {
			effects = append(effects, m.campaignForAsync(database, state, now)...)
		}
	}
	if len(m.synced) > 0 {
		effects = append(effects, m.campaignForSync(state, now)...)
	}
	return effects
}

// campaignForAsync campaigns for the role of a database with asynchronous replication.
func (m *Machine) campaignForAsync(database string, state NodeState, now time.Duration) []Effect {
	role := asyncRolePrefix + database
	effects := m.requestVotes(role, state, now)
	if m.isLeader(role, now) {
		effects = append(effects, Evaluate{Database: database})
	}
	return effects
}

// campaignForSync campaigns for the role of all databases with synchronous replication.
func (m *Machine) campaignForSync(state NodeState, now time.Duration) []Effect {
	effects := m.requestVotes(syncRole, state, now)
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
