// Package consensus is the machine of one disk machine: it votes on epochs,
// and as primary or backup keeps the control state. A write is answered once
// primary and backup have synced it; witnesses keep epochs only and decide
// who takes over.
package consensus

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

// Identity says which fleet a data folder belongs to, and which of the machine's
// disks it is on.
type Identity struct {
	Cluster     string
	Self        string
	Incarnation uint64
	// Voters names the machines that the fleet is founded with.
	Voters   []string
	IsFormed bool
}

// Ballots is the durable state of a voter.
type Ballots struct {
	Sequence uint64
	Decided  Record
	Voter    proposal.Voter
	// IsPledged says that the machine has promised or accepted for another than the
	// primary, since the epoch was decided: it grants nothing more in it.
	IsPledged bool
	// IsHollow says that the machine lost its copy, or did not vote for a time,
	// and was not filled since.
	IsHollow bool
}

// Saved is what the disk held when the machine started.
type Saved struct {
	Identity *Identity
	Ballots  *Ballots
	Table    *store.Table
	Copies   uint64
	// IsUnsound says that files were passed over, so that what is held may be
	// older than what was synced.
	IsUnsound bool
}

// Kinds lists the kinds of files.
func Kinds() []string { return []string{FileIdentity, FileBallots, FileTable} }

// Kinds of files.
const (
	FileIdentity = "identity"
	FileBallots  = "ballots"
	FileTable    = "table"
)

// Timing holds the machine's bounds.
type Timing struct {
	Primacy time.Duration
	Renew   time.Duration
	Reply   time.Duration
	Form    time.Duration
}

// DefaultTiming gives the project's bounds.
func DefaultTiming() Timing {
	return Timing{
		Primacy: 700 * time.Millisecond, Renew: 100 * time.Millisecond,
		Reply: 400 * time.Millisecond, Form: 300 * time.Millisecond,
	}
}

type write struct {
	token    uint64
	puts     []store.Put
	stamp    store.Stamp
	sent     time.Duration
	isBacked bool
}

type repair struct {
	peer  string
	sent  time.Duration
	stamp store.Stamp
}

// Founding says how a new fleet chooses its voters.
type Founding struct {
	// Disks is the exact number of disk machines that must be met, all of
	// which vote; what follows counts only where it is 0.
	Disks int
	// Voters is how many vote; other disk machines follow.
	Voters int
	// IsFounder allows this machine to found a fleet while its disk is blank.
	IsFounder bool
	// Seeds are the link addresses behind which the voters are looked for.
	Seeds []string
	// IsPaired holds writes while the epoch names no backup, so that each
	// acknowledged one is on two disks.
	IsPaired bool
}

// Machine is the state of one disk machine. It does no I/O.
type Machine struct {
	self        string
	founding    Founding
	timing      Timing
	identity    *Identity
	ballots     Ballots
	copy        *store.Table
	safe        *store.Table
	copies      uint64
	started     time.Duration
	isUnsound   bool
	owed        time.Duration
	isUnsettled bool
	isAhead     bool

	life    int64
	wall    int64
	wallAt  time.Duration
	offset  int64
	isSure  bool
	peers   []string
	links   map[string]string
	zones   map[string]string
	many    time.Duration
	formed  map[string]Member
	asked   time.Duration
	heardAt time.Duration
	grantTo string
	grantAt time.Duration

	acks      map[string]time.Duration
	walls     map[string]int64
	renewed   time.Duration
	primacy   time.Duration
	round     *proposal.Round
	roundFor  Record
	roundNo   uint64
	waitUntil time.Duration
	retry     time.Duration
	pending   *write
	// spares are the stamps up to which machines that the record does not name
	// have synced the copy of this primary.
	spares    map[string]store.Stamp
	sparedAt  time.Duration
	queue     []Submit
	repairing *repair
	shunned   map[string]time.Duration
	grantsBy  map[string]time.Duration
	// heardFrom tells when each machine was last heard in whatever message.
	heardFrom map[string]time.Duration
	// standbys are the machines that offered to vote, leaving the voters that are
	// about to end, and votersAt when this primary first counted on its voters.
	standbys  map[string]standby
	leaving   map[string]time.Duration
	votersAt  time.Duration
	isLeaving bool
	// releasedIn is the epoch in which the primary said that this machine may end.
	releasedIn uint64
	effects    []Effect
}

// Effect is one of the effect types.
type Effect any

// New makes the machine of a fleet in which all disk machines vote, from what
// its disk held.
func New(self string, disks int, timing Timing, saved Saved, now time.Duration) *Machine {
	return NewFounding(self, Founding{Disks: disks}, timing, saved, now)
}

// NewFounding makes the machine from what its disk held.
func NewFounding(self string, founding Founding, timing Timing, saved Saved, now time.Duration) *Machine {
	m := &Machine{
		self: self, founding: founding, timing: timing, identity: saved.Identity, copy: store.New(),
		copies: saved.Copies, started: now, formed: map[string]Member{},
		acks: map[string]time.Duration{}, walls: map[string]int64{}, grantsBy: map[string]time.Duration{},
		shunned: map[string]time.Duration{}, spares: map[string]store.Stamp{},
		standbys: map[string]standby{}, leaving: map[string]time.Duration{}, heardFrom: map[string]time.Duration{},
	}
	m.restore(saved)
	if saved.Table != nil {
		m.copy = saved.Table
	}
	m.safe = m.copy
	m.isUnsettled = m.ballots.Voter.Promised.Name == self
	decided := m.ballots.Decided
	m.isAhead = decided.Primary == self && decided.Backup != "" && m.copy.Stamp.Epoch == decided.Epoch
	m.asked, m.heardAt, m.votersAt = now-timing.Form, now-unheardSpans*timing.Primacy, now
	return m
}

// restore takes up what the disk held. Where that may be less than what was
// synced, the machine has forgotten, and is as one whose disk is blank.
func (m *Machine) restore(saved Saved) {
	m.isUnsound = saved.IsUnsound
	if saved.Ballots != nil {
		m.ballots = *saved.Ballots
	}
	isWithoutBallots := saved.Identity != nil && saved.Identity.IsFormed && saved.Ballots == nil
	if saved.Identity == nil || saved.IsUnsound || isWithoutBallots {
		m.identity, m.ballots = nil, Ballots{Sequence: m.ballots.Sequence}
		return
	}
	if m.ballots.Decided.Voters == "" && saved.Identity.IsFormed {
		m.ballots.Decided.Voters = foundingVoters(saved.Identity.Voters)
	}
}

// Clone gives a machine in the same state, which shares with the first only
// what neither changes.
func (m *Machine) Clone() *Machine {
	other := *m
	if m.identity != nil {
		identity := *m.identity
		other.identity = &identity
	}
	if m.pending != nil {
		pending := *m.pending
		other.pending = &pending
	}
	if m.round != nil {
		other.round = m.round.Clone()
	}
	other.formed, other.standbys, other.leaving = maps.Clone(m.formed), maps.Clone(m.standbys), maps.Clone(m.leaving)
	other.acks, other.walls = maps.Clone(m.acks), maps.Clone(m.walls)
	other.shunned, other.grantsBy = maps.Clone(m.shunned), maps.Clone(m.grantsBy)
	other.spares, other.heardFrom = maps.Clone(m.spares), maps.Clone(m.heardFrom)
	other.queue, other.effects = slices.Clone(m.queue), nil
	return &other
}

// Record gives the epoch record last known.
func (m *Machine) Record() Record { return m.ballots.Decided }

// Table gives the state that is safe to publish, to be read only: it holds
// no write that the backup may lack.
func (m *Machine) Table() *store.Table { return m.safe }

// Copy gives this machine's copy with the write under way, to be read only.
func (m *Machine) Copy() *store.Table { return m.copy }

// Voters names the machines that vote on the next epoch, as far as is known.
func (m *Machine) Voters() []string {
	if !m.isFormed() {
		return nil
	}
	return m.ballots.Decided.Voters.Names()
}

// IsAtRest says whether this machine has promised and accepted nothing past
// the epoch last decided.
func (m *Machine) IsAtRest() bool { return m.round == nil && m.ballots.Voter.Promised.Name == "" }

// Cluster gives the fleet's identity.
func (m *Machine) Cluster() string {
	if m.identity == nil {
		return ""
	}
	return m.identity.Cluster
}

// IsPrimary says whether primacy is held at this moment, with a copy that is
// safe to publish.
func (m *Machine) IsPrimary(now time.Duration) bool { return m.hasPrimacy(now) && !m.isAhead }

func (m *Machine) hasPrimacy(now time.Duration) bool { return m.isNamed() && now < m.primacy }

// Primacy gives the moment until which primacy is held.
func (m *Machine) Primacy() time.Duration {
	if m.isAhead {
		return 0
	}
	return m.primacy
}

func (m *Machine) isFormed() bool { return m.identity != nil && m.identity.IsFormed }

func (m *Machine) isNamed() bool { return m.IsMember() && m.ballots.Decided.Primary == m.self }

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) send(to string, body any) { m.emit(Send{To: to, Body: body}) }

func (m *Machine) turned(record Record, why string) {
	m.emit(Turned{Record: record, Why: why, Table: m.safe})
}

func (m *Machine) others(each func(string)) {
	for _, name := range m.Voters() {
		if name != m.self {
			each(name)
		}
	}
}

func (m *Machine) saveIdentity() {
	m.emit(Save{Kind: FileIdentity, Sequence: 1 + boolBit(m.identity.IsFormed), Data: store.Encode(*m.identity)})
}

func (m *Machine) saveBallots() {
	m.ballots.Sequence++
	m.emit(Save{Kind: FileBallots, Sequence: m.ballots.Sequence, Data: store.Encode(m.ballots)})
}

func (m *Machine) saveTable() {
	m.copies++
	m.emit(Save{Kind: FileTable, Sequence: m.copies, Data: store.Encode(*m.copy)})
}

func boolBit(is bool) uint64 {
	if is {
		return 1
	}
	return 0
}
