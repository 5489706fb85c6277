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
const Term = 1200 * time.Millisecond

// Pace is how often the machine is to be asked, at most, what is due.
const Pace = 25 * time.Millisecond

const (
	seekPace  = 100 * time.Millisecond
	learnPace = time.Second
	awayPace  = 300 * time.Millisecond
)

// The duty of all synced databases is one.
const (
	synced = "takeover"
	single = "failover/"
)

// Situation is what the machine must know of its own control machine.
type Situation struct {
	IsPrimary bool
	// IsMoving says whether a writer role is on its way, so that each step of
	// it is taken as soon as it can be.
	IsMoving bool
}

// Canvass is an effect: ask the voters, this machine among them, for votes.
type Canvass struct {
	Ask    proposal.Ask
	Voters []string
}

// Attend is an effect: decide on a database as the holder of its duty.
type Attend struct {
	Database string
	IsSynced bool
}

// Machine is one control machine's part.
type Machine struct {
	self      string
	voters    consensus.Electorate
	keeper    *proposal.Keeper
	seekers   map[string]*proposal.Seeker
	attended  map[string]bool
	databases []string
	synced    []string
	seekAt    time.Duration
	learnAt   time.Duration
	awayAt    time.Duration
}

// New makes one that knows of no database, and votes once a term has passed.
func New(self string, now time.Duration) *Machine {
	return &Machine{self: self, keeper: proposal.NewKeeper(Term, now), seekers: map[string]*proposal.Seeker{}, attended: map[string]bool{}}
}

// Elect takes the voters as they are known now. A machine that has come to be one
// of them gives no vote for a term: what the one that it replaced has granted may
// bind until then.
func (m *Machine) Elect(voters consensus.Electorate, now time.Duration) {
	if voters.IsMember && !m.voters.IsMember {
		m.keeper.Hold(now + Term)
	}
	m.voters = voters
}

// Due says whether duties are to be sought now, and whether the control
// primary is to be asked first which databases there are.
func (m *Machine) Due(at Situation, now time.Duration) (isSeeking, isLearning bool) {
	if now < m.seekAt {
		return false, false
	}
	m.seekAt = now + seekPace
	if at.IsMoving {
		m.seekAt = now + Pace
	}
	isLearning = at.IsPrimary || now >= m.learnAt
	if isLearning {
		m.learnAt = now + learnPace
	}
	return true, isLearning
}

// Learn takes all databases, and those that are synced.
func (m *Machine) Learn(databases, synced []string) { m.databases, m.synced = databases, synced }

// Seek gives the effects of seeking every duty there is.
func (m *Machine) Seek(at Situation, now time.Duration) []any {
	var effects []any
	for _, database := range m.databases {
		if slices.Contains(m.synced, database) {
			continue
		}
		asks, isHeld := m.seek(single+database, at, now)
		effects = append(effects, asks...)
		if isHeld {
			effects = append(effects, Attend{Database: database})
		}
	}
	if len(m.synced) == 0 {
		return effects
	}
	asks, isHeld := m.seek(synced, at, now)
	effects = append(effects, asks...)
	if !isHeld || (!at.IsPrimary && now < m.awayAt) {
		return effects
	}
	m.awayAt = now + awayPace
	for _, database := range m.synced {
		effects = append(effects, Attend{Database: database, IsSynced: true})
	}
	return effects
}

func (m *Machine) seek(duty string, at Situation, now time.Duration) (asks []any, isHeld bool) {
	seeker, isKnown := m.seekers[duty]
	names := m.voters.Voters.Names()
	if rank := slices.Index(names, m.self); !isKnown && rank >= 0 {
		seeker = proposal.NewSeeker(duty, len(names), (rank+len(m.seekers))%len(names), Term)
		m.seekers[duty] = seeker
	}
	if seeker == nil {
		return nil, false
	}
	isHeld = seeker.IsHeld(now)
	if !m.voters.IsMember || (!at.IsPrimary && m.keeper.Idle(duty, now) <= 2*Term) {
		return nil, isHeld
	}
	if ask, isDue := seeker.Tick(now); isDue {
		ask.Voters = string(m.voters.Voters)
		asks = append(asks, Canvass{Ask: ask, Voters: names})
	}
	return asks, isHeld
}

// OnAsk gives this machine's vote. It votes only for one that counts the same
// voters, and not while a change of them may be settled: a majority of the old ones
// has accepted each change, so that none of them can lengthen a duty once another
// may be won among the new ones.
func (m *Machine) OnAsk(from string, ask proposal.Ask, now time.Duration) proposal.Vote {
	isFit := m.voters.IsMember && !m.voters.IsChanging && ask.Voters == string(m.voters.Voters)
	if !isFit {
		return proposal.Vote{Voter: m.self, Duty: ask.Duty, Go: ask.Go}
	}
	vote := m.keeper.OnAsk(from, ask, now)
	vote.Voter = m.self
	return vote
}

// OnVote counts a vote; true when it wins the duty anew. A vote that another machine
// gave than the one that was asked is none.
func (m *Machine) OnVote(from string, vote proposal.Vote, now time.Duration) bool {
	seeker, isKnown := m.seekers[vote.Duty]
	return isKnown && vote.Voter == from && seeker.OnVote(from, vote, now)
}

// Sought is what the machine shows of a duty.
type Sought struct {
	Duty     string `json:"duty"`
	Database string `json:"database"`
	IsHeld   bool   `json:"is_held"`
	Holder   string `json:"seen_held_by"`
}

// Show lists the duties sought, by name.
func (m *Machine) Show(now time.Duration) []Sought {
	list := []Sought{}
	for _, name := range slices.Sorted(maps.Keys(m.seekers)) {
		seeker := m.seekers[name]
		list = append(list, Sought{Duty: name, Database: strings.TrimPrefix(name, single), IsHeld: seeker.IsHeld(now), Holder: seeker.Holder()})
	}
	return list
}

// Begin says whether a database may be attended to now: one attendance at a
// time, until End.
func (m *Machine) Begin(database string) bool {
	if m.attended[database] {
		return false
	}
	m.attended[database] = true
	return true
}

// End tells that the attendance is over.
func (m *Machine) End(database string) { delete(m.attended, database) }
