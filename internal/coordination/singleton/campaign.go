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
	// remoteEvaluationInterval is the time between evaluations of the databases with
	// synchronous replication at a leader that is not the control primary. Such a
	// leader has to fetch the evidence from the control primary.
	remoteEvaluationInterval = 300 * time.Millisecond
	// takeoverDelay is how long a role must be vacant before a control server
	// that is not the primary campaigns for it.
	takeoverDelay = 2 * LeaseDuration
)

// NodeState is the state of the machine's own control server that campaigns depend on.
type NodeState struct {
	// Primary is true if the control server is the control primary.
	Primary bool
	// FailoverActive is true if a writer role is being moved. Campaigns are then due at
	// each TickInterval, so that each step of the failover is taken as soon as
	// possible.
	FailoverActive bool
}

// Effect is an action that Machine.Campaign requests of its caller: RequestVotes or
// Evaluate.
type Effect any

// RequestVotes is the effect of sending a vote request to all voters, including this
// control server.
type RequestVotes struct {
	Request proposal.VoteRequest
	Voters  []string
}

// Evaluate is the effect of deciding, as the leader of a database's role, on a failover of
// the database.
type Evaluate struct {
	Database string
	// Synced is true if the database replicates synchronously.
	Synced bool
}

// Due reports whether to campaign now, and whether to refresh the list of databases
// from the control primary before the campaign.
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
// databases whose roles this control server leads.
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
	if !m.isLeader(syncRole, now) || (!state.Primary && now < m.nextRemoteEvaluation) {
		return effects
	}
	m.nextRemoteEvaluation = now + remoteEvaluationInterval
	for _, database := range m.synced {
		effects = append(effects, Evaluate{Database: database, Synced: true})
	}
	return effects
}

// requestVotes returns the vote request for a role, if one is due now.
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

// BeginEvaluation reports whether an evaluation of a database may begin, and if so
// records that it has begun. At most one evaluation of a database runs at a time, until
// EndEvaluation is called.
func (m *Machine) BeginEvaluation(database string) bool {
	if m.evaluating[database] {
		return false
	}
	m.evaluating[database] = true
	return true
}

// EndEvaluation records that the evaluation of a database has ended.
func (m *Machine) EndEvaluation(database string) { delete(m.evaluating, database) }
