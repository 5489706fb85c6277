// Package epoch is the machine of one disk machine: it votes on epochs,
// and as primary or backup keeps the control state. A write is answered once
// primary and backup have synced it; witnesses keep epochs only and decide
// who takes over.
package epoch

import (
	"maps"
	"slices"
	"time"

	"tansyseam.example/pooler/coordination/ballot"
	"tansyseam.example/pooler/state/table"
)

// Record names who holds the control state in an epoch.
type Record struct {
	Epoch   uint64
	Primary string
	Backup  string
}

// Identity says which fleet a data folder belongs to.
type Identity struct {
	Cluster  string
	Self     string
	Voters   []string
	IsFormed bool
}

// Ballots is the durable state of a voter.
type Ballots struct {
	Sequence uint64
	Decided  Record
	Voter    ballot.Voter
	// Muted is the last epoch in which this machine must not vote, since it
	// may have voted there before it lost its disk.
	Muted uint64
	// IsLost says that the machine is named in the epoch decided, and lacks what
	// it held there.
	IsLost bool
	// IsHollow says that the machine lost its copy and was not filled since.
	IsHollow bool
}

// Saved is what the disk held when the machine started.
type Saved struct {
	Identity *Identity
	Ballots  *Ballots
	Table    *table.Table
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

// Messages between disk machines.
type (
	// Form proposes the voters of a new fleet; all must agree.
	Form struct{ Identity Identity }
	// FormAck agrees.
	FormAck struct{ Cluster string }
	// Formed tells that all agreed.
	Formed struct{ Cluster string }
	// AskStanding asks how things stand.
	AskStanding struct{ Life int64 }
	// Standing tells it. Voted is the last epoch on which the teller may have
	// voted; Life is that of the ask, which a build that does not know it leaves
	// out.
	Standing struct {
		Identity Identity
		Decided  Record
		Voted    uint64
		Life     int64
	}
	// Renew asks for primacy for a bounded time.
	// Life tells the asker's run of the program, which no answer outlives; a
	// build that does not know it leaves it out.
	Renew struct {
		Record Record
		Sent   time.Duration
		Life   int64
	}
	// RenewAck grants it, or says who is ahead. Wall is 0 from a machine
	// that has just started and not read its clock yet.
	RenewAck struct {
		Decided   Record
		Sent      time.Duration
		Life      int64
		Wall      int64
		IsGranted bool
		IsMute    bool
	}
	// Prepare asks for a promise on the epoch after Decided. Stamp is that of the
	// candidate's copy.
	Prepare struct {
		Decided Record
		Number  ballot.Number
		Stamp   table.Stamp
	}
	// Promised gives or refuses it. Wait tells for how long what binds the teller
	// still does, where that is why.
	Promised struct {
		Epoch    uint64
		Number   ballot.Number
		IsGiven  bool
		Higher   ballot.Number
		Accepted ballot.Number
		Value    []byte
		Decided  Record
		Wait     time.Duration
	}
	// Accept asks to accept a record.
	Accept struct {
		Epoch  uint64
		Number ballot.Number
		Value  []byte
	}
	// Accepted does so.
	Accepted struct {
		Epoch  uint64
		Number ballot.Number
	}
	// Decided tells a settled record.
	Decided struct{ Record Record }
	// Write carries a write from primary to backup.
	Write struct {
		Record Record
		Before table.Stamp
		Stamp  table.Stamp
		Puts   []table.Put
	}
	// WriteAck says that the backup synced it.
	WriteAck struct {
		Stamp    table.Stamp
		IsSynced bool
	}
	// Offer compares copies by digests.
	Offer struct {
		Record  Record
		Stamp   table.Stamp
		Digests [table.Ranges][32]byte
	}
	// Want names the ranges that are unlike.
	Want struct {
		Stamp  table.Stamp
		Ranges []int
	}
	// Fill brings them.
	Fill struct {
		Record  Record
		Stamp   table.Stamp
		Ranges  []int
		Records map[string]table.Record
	}
	// Filled says that the copy is synced up to a stamp.
	Filled struct{ Stamp table.Stamp }
)

// Events.
type (
	// Tick is a clock event with this machine's wall clock. Owed says for how
	// long the disk has owed a sync.
	Tick struct {
		Wall int64
		Owed time.Duration
	}
	// Heard is a message.
	Heard struct {
		From string
		Body any
	}
	// Peers tells the control nodes met so far, and by link address, where
	// that is known, which of them is met there.
	Peers struct {
		Names []string
		Links map[string]string
	}
	// Submit asks for a write; Build sees the state at its turn and may
	// give no puts.
	Submit struct {
		Token uint64
		Build func(*table.Table) []table.Put
	}
)

// Effects, to be carried out in order.
type (
	// Send passes a message on.
	Send struct {
		To   string
		Body any
	}
	// Save syncs a file before what follows and rests on it.
	Save struct {
		Kind     string
		Sequence uint64
		Data     []byte
	}
	// Clean removes unsound files, now that what they held is made good.
	Clean struct{}
	// Answer ends a Submit; IsKept false means not written.
	Answer struct {
		Token  uint64
		IsKept bool
		// IsUnknown says that the write may yet turn out kept.
		IsUnknown bool
		Stamp     table.Stamp
	}
	// Turned tells a change of role or epoch, with its cause and the state that
	// is safe to publish at that point: later effects may still have to sync
	// what Table gives.
	Turned struct {
		Record Record
		Why    string
		Table  *table.Table
	}
	// Wrote tells that the state changed and is safe.
	Wrote struct {
		Stamp table.Stamp
		Table *table.Table
	}
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
	puts     []table.Put
	stamp    table.Stamp
	sent     time.Duration
	isBacked bool
}

type repair struct {
	peer  string
	sent  time.Duration
	stamp table.Stamp
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
	copy        *table.Table
	safe        *table.Table
	copies      uint64
	started     time.Duration
	isLost      bool
	isTold      bool
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
	many    time.Duration
	outside *Standing
	formed  map[string]bool
	asked   time.Duration
	stands  map[string]Standing
	grantTo string
	grantAt time.Duration

	acks      map[string]time.Duration
	mutes     map[string]bool
	walls     map[string]int64
	renewed   time.Duration
	primacy   time.Duration
	round     *ballot.Round
	roundFor  Record
	roundNo   uint64
	waitUntil time.Duration
	retry     time.Duration
	pending   *write
	// spares are the stamps up to which machines that the record does not name
	// have synced the copy of this primary.
	spares    map[string]table.Stamp
	sparedAt  time.Duration
	queue     []Submit
	repairing *repair
	shunned   map[string]time.Duration
	grantsBy  map[string]time.Duration
	effects   []Effect
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
		self: self, founding: founding, timing: timing, identity: saved.Identity, copy: table.New(),
		copies: saved.Copies, started: now, formed: map[string]bool{}, stands: map[string]Standing{},
		acks: map[string]time.Duration{}, mutes: map[string]bool{}, walls: map[string]int64{},
		shunned: map[string]time.Duration{}, spares: map[string]table.Stamp{},
	}
	if saved.Ballots != nil {
		m.ballots = *saved.Ballots
	}
	if saved.Table != nil {
		m.copy = saved.Table
	}
	m.safe = m.copy
	m.isUnsettled = m.ballots.Voter.Promised.Name == self
	decided := m.ballots.Decided
	m.isAhead = decided.Primary == self && decided.Backup != "" && m.copy.Stamp.Epoch == decided.Epoch
	m.isUnsound = saved.IsUnsound
	isForgetful := saved.Ballots == nil || saved.Ballots.IsLost
	m.isLost = saved.Identity == nil || saved.IsUnsound || (saved.Identity.IsFormed && isForgetful)
	m.isTold = m.isLost && !saved.IsUnsound && m.ballots.IsLost
	m.asked = -timing.Form
	return m
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
	other.formed, other.stands = maps.Clone(m.formed), maps.Clone(m.stands)
	other.acks, other.mutes, other.walls = maps.Clone(m.acks), maps.Clone(m.mutes), maps.Clone(m.walls)
	other.shunned, other.grantsBy = maps.Clone(m.shunned), maps.Clone(m.grantsBy)
	other.spares = maps.Clone(m.spares)
	other.queue, other.effects = slices.Clone(m.queue), nil
	return &other
}

// Record gives the epoch record last known.
func (m *Machine) Record() Record {
	if m.outside != nil && m.identity == nil {
		return m.outside.Decided
	}
	return m.ballots.Decided
}

// IsOutside says whether the machine was told of a fleet in which it has no
// vote.
func (m *Machine) IsOutside() bool { return m.outside != nil && m.identity == nil }

// Table gives the state that is safe to publish, to be read only: it holds
// no write that the backup may lack.
func (m *Machine) Table() *table.Table { return m.safe }

// Copy gives this machine's copy with the write under way, to be read only.
func (m *Machine) Copy() *table.Table { return m.copy }

// Voters names the machines that vote.
func (m *Machine) Voters() []string {
	if m.identity == nil || !m.identity.IsFormed {
		return nil
	}
	return m.identity.Voters
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

// IsLost says whether the machine has lost its disk and not yet been told
// where things stand.
func (m *Machine) IsLost() bool { return m.isLost }

// IsMuted says whether the machine must not vote on the next epoch, since it
// may have done so before it lost its disk.
func (m *Machine) IsMuted() bool { return m.ballots.Muted > m.ballots.Decided.Epoch }

// voted gives the last epoch on which this machine may have accepted a record.
func (m *Machine) voted() uint64 {
	last := max(m.ballots.Decided.Epoch, m.ballots.Muted)
	if m.ballots.Voter.Accepted.Name != "" {
		last = max(last, m.ballots.Decided.Epoch+1)
	}
	return last
}

// Wall gives the wall clock that a majority of the disk machines agree on:
// the median, so that one skewed clock moves nothing. While primacy is held
// it only creeps, so that the nodes' reckonings of it stay alike.
func (m *Machine) Wall(now time.Duration) int64 { return m.offset + int64(now) }

// IsClockSure says whether that clock was taken from three machines or more,
// or from two that agree.
func (m *Machine) IsClockSure() bool { return m.isSure }

const (
	creep     = int64(time.Millisecond)
	clockTrip = 200 * time.Millisecond
)

func (m *Machine) setClock(now time.Duration) {
	offsets := []int64{m.wall - int64(m.wallAt)}
	for name, offset := range m.walls {
		if now-m.acks[name] < 5*time.Second {
			offsets = append(offsets, offset)
		}
	}
	slices.Sort(offsets)
	median := offsets[(len(offsets)-1)/2]
	if !m.hasPrimacy(now) {
		m.offset = median
		m.isSure = len(offsets) > 2 || (len(offsets) == 2 && offsets[1]-offsets[0] < int64(clockTrip))
		return
	}
	m.offset += max(min(median-m.offset, creep), -creep)
}

func (m *Machine) isNamed() bool {
	return m.identity != nil && m.identity.IsFormed && !m.isLost && m.ballots.Decided.Primary == m.self
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) send(to string, body any) { m.emit(Send{To: to, Body: body}) }

func (m *Machine) others(each func(string)) {
	for _, name := range m.Voters() {
		if name != m.self {
			each(name)
		}
	}
}

func (m *Machine) saveIdentity() {
	m.emit(Save{Kind: FileIdentity, Sequence: 1 + boolBit(m.identity.IsFormed), Data: table.Encode(*m.identity)})
}

func (m *Machine) saveBallots() {
	m.ballots.Sequence++
	m.ballots.IsLost = m.isLost
	m.emit(Save{Kind: FileBallots, Sequence: m.ballots.Sequence, Data: table.Encode(m.ballots)})
}

func (m *Machine) saveTable() {
	m.copies++
	m.emit(Save{Kind: FileTable, Sequence: m.copies, Data: table.Encode(*m.copy)})
}

func boolBit(is bool) uint64 {
	if is {
		return 1
	}
	return 0
}

// Step takes one event and gives what is to be done, in order.
func (m *Machine) Step(event any, now time.Duration) []Effect {
	m.effects = nil
	if act, isKnown := steps[kindOf(event)]; isKnown {
		act(m, event, now)
	}
	return m.effects
}

func (m *Machine) onTick(tick Tick, now time.Duration) {
	m.wall, m.wallAt, m.owed = tick.Wall, now, tick.Owed
	if m.life == 0 {
		m.life = tick.Wall
	}
	if m.identity == nil || !m.identity.IsFormed || m.isLost {
		m.seekStanding(now)
		return
	}
	if m.round != nil && now-m.round.Started > m.timing.Reply {
		m.round = nil
	}
	if m.round != nil && m.round.IsAsking() && m.retry != 0 && now >= m.retry {
		m.round, m.waitUntil = nil, now
	}
	if m.isNamed() {
		m.tickPrimary(now)
		return
	}
	m.failQueue()
	isBackup := m.ballots.Decided.Backup == m.self && !m.IsMuted() && !m.isStalled()
	isSilent := now >= m.grantAt+m.timing.Primacy && now >= m.started+m.timing.Primacy
	if (isBackup || m.mayStandAsSpare(now)) && isSilent && m.round == nil && now >= m.waitUntil {
		m.propose(Record{Epoch: m.ballots.Decided.Epoch + 1, Primary: m.self}, now)
	}
}

// isStalled says that the disk has owed a sync for longer than a backup's is
// waited for.
func (m *Machine) isStalled() bool { return m.owed > m.timing.Reply }

func (m *Machine) tickPrimary(now time.Duration) {
	if m.isStalled() {
		m.refuseIdle(now)
		return
	}
	if m.pending != nil && m.owed > 0 {
		m.pending.sent = now
	}
	if now-m.renewed >= m.timing.Renew {
		m.renewed = now
		m.setClock(now)
		m.others(func(name string) { m.send(name, Renew{Record: m.ballots.Decided, Sent: now, Life: m.life}) })
		m.reckon(now)
	}
	m.fillSpares(now)
	if m.pending != nil && !m.pending.isBacked && !m.isUnpaired() && m.round == nil && now-m.pending.sent > m.timing.Reply && now >= m.waitUntil {
		m.dropBackup(now, "backup did not sync in time")
	}
	decided := m.ballots.Decided
	if m.round != nil || (m.pending != nil && !m.isUnpaired()) {
		return
	}
	if m.isUnsettled || m.isAhead {
		if now >= m.waitUntil && m.hasPrimacy(now) {
			m.propose(Record{Epoch: decided.Epoch + 1, Primary: m.self}, now)
		}
		if m.round != nil || m.hasPrimacy(now) {
			return
		}
	}
	if decided.Backup != "" && now-m.acks[decided.Backup] > 3*m.timing.Primacy && now-m.started > 3*m.timing.Primacy && now >= m.waitUntil && m.IsPrimary(now) {
		m.dropBackup(now, "backup silent")
		return
	}
	if !m.hasPrimacy(now) && now-m.started > m.timing.Primacy && now >= m.waitUntil && len(m.refusedBy(now)) > 0 {
		next := Record{Epoch: decided.Epoch + 1, Primary: m.self, Backup: decided.Backup}
		if m.isAhead {
			next.Backup = ""
		}
		m.propose(next, now)
		return
	}
	if decided.Backup == "" && m.IsPrimary(now) {
		m.bringIn(now)
	}
	if len(m.mutes) > 0 && m.IsPrimary(now) && decided.Backup != "" && now >= m.waitUntil {
		clear(m.mutes)
		m.propose(Record{Epoch: decided.Epoch + 1, Primary: m.self, Backup: decided.Backup}, now)
		return
	}
	m.pump(now)
}

func (m *Machine) isUnpaired() bool {
	return m.founding.IsPaired && m.ballots.Decided.Backup == "" && len(m.Voters()) > 1
}

func (m *Machine) refusedBy(now time.Duration) []string {
	var names []string
	m.others(func(name string) {
		if at, isHeard := m.acks[name]; isHeard && now-at < m.timing.Primacy {
			names = append(names, name)
		}
	})
	return names
}

func (m *Machine) dropBackup(now time.Duration, why string) {
	m.shunned[m.ballots.Decided.Backup] = now + 4*m.timing.Primacy
	m.turned(m.ballots.Decided, why)
	m.propose(Record{Epoch: m.ballots.Decided.Epoch + 1, Primary: m.self}, now)
}

func (m *Machine) bringIn(now time.Duration) {
	if m.repairing != nil && now-m.repairing.sent < m.timing.Reply {
		return
	}
	if m.repairing != nil {
		m.shunned[m.repairing.peer] = now + m.timing.Primacy
		m.repairing = nil
	}
	best := ""
	m.others(func(name string) {
		at, isHeard := m.acks[name]
		if !isHeard || now-at > m.timing.Primacy || now < m.shunned[name] {
			return
		}
		if best == "" || m.acks[best] < at {
			best = name
		}
	})
	if best == "" {
		return
	}
	m.offer(best, now)
}

func (m *Machine) offer(peer string, now time.Duration) {
	m.repairing = &repair{peer: peer, sent: now, stamp: m.copy.Stamp}
	m.show(peer)
}

func (m *Machine) show(peer string) {
	m.send(peer, Offer{Record: m.ballots.Decided, Stamp: m.copy.Stamp, Digests: m.copy.Digests()})
}

func (m *Machine) reckon(now time.Duration) {
	var sent []time.Duration
	if promised := m.ballots.Voter.Promised.Name; promised == "" || promised == m.self {
		sent = append(sent, now)
	}
	m.others(func(name string) {
		if at, isHeard := m.granted(name); isHeard {
			sent = append(sent, at)
		}
	})
	need := len(m.Voters())/2 + 1
	if len(sent) < need {
		return
	}
	if !m.hasPrimacy(now) {
		m.setClock(now)
	}
	slices.Sort(sent)
	m.primacy = max(m.primacy, sent[len(sent)-need]+m.timing.Primacy*9/10)
}

func (m *Machine) granted(name string) (time.Duration, bool) {
	at, isHeard := m.grants()[name]
	return at, isHeard
}

func (m *Machine) grants() map[string]time.Duration {
	if m.grantsBy == nil {
		m.grantsBy = map[string]time.Duration{}
	}
	return m.grantsBy
}
