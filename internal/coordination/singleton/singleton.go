// Package singleton is the machine by which a control machine seeks the duties of
// moving writer roles, keeps those that it wins, and says when the databases
// they are for are to be attended to.
package singleton

import (
	"maps"
	"slices"
	"strings"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/proposal"
)

// Term is how long a vote for a duty binds.
const LeaseDuration = 1200 * time.Millisecond

// Pace is how often the machine is to be asked, at most, what is due.
const TickInterval = 25 * time.Millisecond

const (
	campaignInterval       = 100 * time.Millisecond
	refreshInterval        = time.Second
	remoteEvaluateInterval = 300 * time.Millisecond
)

// The duty of all synced databases is one.
const (
	syncRole        = "takeover"
	asyncRolePrefix = "failover/"
)

// Situation is what the machine must know of its own control machine.
type NodeState struct {
	Primary bool
	// IsMoving says whether a writer role is on its way, so that each step of
	// it is taken as soon as it can be.
	FailoverActive bool
}

// Canvass is an effect: ask the voters, this machine among them, for votes.
type RequestVotes struct {
	Request proposal.VoteRequest
	Voters  []string
}

// Attend is an effect: decide on a database as the holder of its duty.
type Evaluate struct {
	Database string
	Synced   bool
}

// Machine is one control machine's part.
type Machine struct {
	self               string
	voters             consensus.Electorate
	grantor            *proposal.Grantor
	candidates         map[string]*proposal.Candidate
	evaluating         map[string]bool
	databases          []string
	synced             []string
	nextCampaign       time.Duration
	nextRefresh        time.Duration
	nextRemoteEvaluate time.Duration
}

// New makes one that knows of no database, and votes once a term has passed.
func New(self string, now time.Duration) *Machine {
	return &Machine{self: self, grantor: proposal.NewGrantor(LeaseDuration, now), candidates: map[string]*proposal.Candidate{}, evaluating: map[string]bool{}}
}

// Elect takes the voters as they are known now. A machine that has come to be one
// of them gives no vote for a term: what the one that it replaced has granted may
// bind until then.
func (m *Machine) SetVoters(voters consensus.Electorate, now time.Duration) {
	if voters.IncludesSelf && !m.voters.IncludesSelf {
		m.grantor.Suspend(now + LeaseDuration)
	}
	m.voters = voters
}

// Due says whether duties are to be sought now, and whether the control
// primary is to be asked first which databases there are.
func (m *Machine) Due(at NodeState, now time.Duration) (campaign, refresh bool) {
	if now < m.nextCampaign {
		return false, false
	}
	m.nextCampaign = now + campaignInterval
	if at.FailoverActive {
		m.nextCampaign = now + TickInterval
	}
	refresh = at.Primary || now >= m.nextRefresh
	if refresh {
		m.nextRefresh = now + refreshInterval
	}
	return true, refresh
}

// Learn takes all databases, and those that are synced.
func (m *Machine) SetDatabases(databases, synced []string) { m.databases, m.synced = databases, synced }

// Seek gives the effects of seeking every duty there is.
func (m *Machine) Campaign(at NodeState, now time.Duration) []any {
	var effects []any
	for _, database := range m.databases {
		if slices.Contains(m.synced, database) {
			continue
		}
		requests, leading := m.campaignFor(asyncRolePrefix+database, at, now)
		effects = append(effects, requests...)
		if leading {
			effects = append(effects, Evaluate{Database: database})
		}
	}
	if len(m.synced) == 0 {
		return effects
	}
	requests, leading := m.campaignFor(syncRole, at, now)
	effects = append(effects, requests...)
	if !leading || (!at.Primary && now < m.nextRemoteEvaluate) {
		return effects
	}
	m.nextRemoteEvaluate = now + remoteEvaluateInterval
	for _, database := range m.synced {
		effects = append(effects, Evaluate{Database: database, Synced: true})
	}
	return effects
}

func (m *Machine) campaignFor(role string, at NodeState, now time.Duration) (requests []any, leading bool) {
	candidate, known := m.candidates[role]
	names := m.voters.Voters.Names()
	if rank := slices.Index(names, m.self); !known && rank >= 0 {
		candidate = proposal.NewCandidate(role, len(names), (rank+len(m.candidates))%len(names), LeaseDuration)
		m.candidates[role] = candidate
	}
	if candidate == nil {
		return nil, false
	}
	leading = candidate.IsLeader(now)
	if !m.voters.IncludesSelf || (!at.Primary && m.grantor.VacantFor(role, now) <= 2*LeaseDuration) {
		return nil, leading
	}
	if request, isDue := candidate.Tick(now); isDue {
		request.Voters = string(m.voters.Voters)
		requests = append(requests, RequestVotes{Request: request, Voters: names})
	}
	return requests, leading
}

// OnAsk gives this machine's vote. It votes only for one that counts the same
// voters, and not while a change of them may be settled: a majority of the old ones
// has accepted each change, so that none of them can lengthen a duty once another
// may be won among the new ones.
func (m *Machine) OnVoteRequest(from string, request proposal.VoteRequest, now time.Duration) proposal.Vote {
	eligible := m.voters.IncludesSelf && !m.voters.Changing && request.Voters == string(m.voters.Voters)
	if !eligible {
		return proposal.Vote{Voter: m.self, Role: request.Role, Attempt: request.Attempt}
	}
	vote := m.grantor.OnVoteRequest(from, request, now)
	vote.Voter = m.self
	return vote
}

// OnVote counts a vote; true when it wins the duty anew. A vote that another machine
// gave than the one that was asked is none.
func (m *Machine) OnVote(from string, vote proposal.Vote, now time.Duration) bool {
	candidate, known := m.candidates[vote.Role]
	return known && vote.Voter == from && candidate.OnVote(from, vote, now)
}

// Sought is what the machine shows of a duty.
type RoleStatus struct {
	Role     string `json:"duty"`
	Database string `json:"database"`
	Leading  bool   `json:"is_held"`
	Leader   string `json:"seen_held_by"`
}

// Show lists the duties sought, by name.
func (m *Machine) Roles(now time.Duration) []RoleStatus {
	list := []RoleStatus{}
	for _, name := range slices.Sorted(maps.Keys(m.candidates)) {
		candidate := m.candidates[name]
		list = append(list, RoleStatus{Role: name, Database: strings.TrimPrefix(name, asyncRolePrefix), Leading: candidate.IsLeader(now), Leader: candidate.Leader()})
	}
	return list
}

// Begin says whether a database may be attended to now: one attendance at a
// time, until End.
func (m *Machine) BeginEvaluation(database string) bool {
	if m.evaluating[database] {
		return false
	}
	m.evaluating[database] = true
	return true
}

// End tells that the attendance is over.
func (m *Machine) EndEvaluation(database string) { delete(m.evaluating, database) }
