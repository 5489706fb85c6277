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
	Voters []string
	Formed bool
}

// Ballots is the durable state of a voter.
type VoterState struct {
	Sequence uint64
	Decided  Record
	Acceptor proposal.Acceptor
	// IsPledged says that the machine has promised or accepted for another than the
	// primary, since the epoch was decided: it grants nothing more in it.
	VotedForOther bool
	// IsHollow says that the machine lost its copy, or did not vote for a time,
	// and was not filled since.
	ReplicaIncomplete bool
}

// Saved is what the disk held when the machine started.
type PersistentState struct {
	Identity      *Identity
	VoterState    *VoterState
	Table         *store.Table
	TableSequence uint64
	// IsUnsound says that files were passed over, so that what is held may be
	// older than what was synced.
	Corrupted bool
}

// Kinds lists the kinds of files.
func FileKinds() []string { return []string{FileIdentity, FileVoterState, FileTable} }

// Kinds of files.
const (
	FileIdentity   = "identity"
	FileVoterState = "ballots"
	FileTable      = "table"
)

// Timing holds the machine's bounds.
type Timing struct {
	PrimaryLease  time.Duration
	RenewInterval time.Duration
	ReplyTimeout  time.Duration
	FormInterval  time.Duration
}

// DefaultTiming gives the project's bounds.
func DefaultTiming() Timing {
	return Timing{
		PrimaryLease: 700 * time.Millisecond, RenewInterval: 100 * time.Millisecond,
		ReplyTimeout: 400 * time.Millisecond, FormInterval: 300 * time.Millisecond,
	}
}

type write struct {
	token        uint64
	puts         []store.Put
	version      store.Version
	sentAt       time.Duration
	backupSynced bool
}

type repair struct {
	peer    string
	sentAt  time.Duration
	version store.Version
}

// Founding says how a new fleet chooses its voters.
type BootstrapConfig struct {
	// Disks is the exact number of disk machines that must be met, all of
	// which vote; what follows counts only where it is 0.
	ExactVoters int
	// Voters is how many vote; other disk machines follow.
	Voters int
	// IsFounder allows this machine to found a fleet while its disk is blank.
	MayBootstrap bool
	// Seeds are the link addresses behind which the voters are looked for.
	Seeds []string
	// IsPaired holds writes while the epoch names no backup, so that each
	// acknowledged one is on two disks.
	RequireBackup bool
}

// Machine is the state of one disk machine. It does no I/O.
type Machine struct {
	self              string
	bootstrap         BootstrapConfig
	timing            Timing
	identity          *Identity
	voterState        VoterState
	replica           *store.Table
	committed         *store.Table
	tableSequence     uint64
	startedAt         time.Duration
	corrupted         bool
	syncPending       time.Duration
	proposalUnsettled bool
	replicaAhead      bool

	processIncarnation int64
	localWallNanos     int64
	wallReadAt         time.Duration
	clockOffset        int64
	clockConfirmed     bool
	peers              []string
	peersByAddress     map[string]string
	zones              map[string]string
	enoughPeersSince   time.Duration
	formAcks           map[string]Member
	statusRequestedAt  time.Duration
	lastPrimaryContact time.Duration
	grantedTo          string
	grantedAt          time.Duration

	lastAck        map[string]time.Duration
	clockOffsets   map[string]int64
	renewedAt      time.Duration
	leaseUntil     time.Duration
	proposer       *proposal.Proposer
	proposalBase   Record
	highestRound   uint64
	nextProposalAt time.Duration
	retryAt        time.Duration
	pendingWrite   *write
	// spares are the stamps up to which machines that the record does not name
	// have synced the copy of this primary.
	spareVersions    map[string]store.Version
	sparesComparedAt time.Duration
	submitQueue      []Submit
	activeRepair     *repair
	excludedUntil    map[string]time.Duration
	grantSentAt      map[string]time.Duration
	// heardFrom tells when each machine was last heard in whatever message.
	lastReceived map[string]time.Duration
	// standbys are the machines that offered to vote, leaving the voters that are
	// about to end, and votersAt when this primary first counted on its voters.
	standbys         map[string]standby
	leavingAnnounced map[string]time.Duration
	votersSince      time.Duration
	stopping         bool
	// releasedIn is the epoch in which the primary said that this machine may end.
	releasedEpoch uint64
	effects       []Effect
}

// Effect is one of the effect types.
type Effect any

// New makes the machine of a fleet in which all disk machines vote, from what
// its disk held.
func New(self string, disks int, timing Timing, saved PersistentState, now time.Duration) *Machine {
	return NewWithBootstrap(self, BootstrapConfig{ExactVoters: disks}, timing, saved, now)
}

// NewFounding makes the machine from what its disk held.
func NewWithBootstrap(self string, founding BootstrapConfig, timing Timing, saved PersistentState, now time.Duration) *Machine {
	m := &Machine{
		self: self, bootstrap: founding, timing: timing, identity: saved.Identity, replica: store.New(),
		tableSequence: saved.TableSequence, startedAt: now, formAcks: map[string]Member{},
		lastAck: map[string]time.Duration{}, clockOffsets: map[string]int64{}, grantSentAt: map[string]time.Duration{},
		excludedUntil: map[string]time.Duration{}, spareVersions: map[string]store.Version{},
		standbys: map[string]standby{}, leavingAnnounced: map[string]time.Duration{}, lastReceived: map[string]time.Duration{},
	}
	m.restore(saved)
	if saved.Table != nil {
		m.replica = saved.Table
	}
	m.committed = m.replica
	m.proposalUnsettled = m.voterState.Acceptor.Promised.Name == self
	decided := m.voterState.Decided
	m.replicaAhead = decided.Primary == self && decided.Backup != "" && m.replica.Version.Epoch == decided.Epoch
	m.statusRequestedAt, m.lastPrimaryContact, m.votersSince = now-timing.FormInterval, now-contactLossLeases*timing.PrimaryLease, now
	return m
}

// restore takes up what the disk held. Where that may be less than what was
// synced, the machine has forgotten, and is as one whose disk is blank.
func (m *Machine) restore(saved PersistentState) {
	m.corrupted = saved.Corrupted
	if saved.VoterState != nil {
		m.voterState = *saved.VoterState
	}
	isWithoutBallots := saved.Identity != nil && saved.Identity.Formed && saved.VoterState == nil
	if saved.Identity == nil || saved.Corrupted || isWithoutBallots {
		m.identity, m.voterState = nil, VoterState{Sequence: m.voterState.Sequence}
		return
	}
	if m.voterState.Decided.Voters == "" && saved.Identity.Formed {
		m.voterState.Decided.Voters = votersWithoutIncarnation(saved.Identity.Voters)
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
	if m.pendingWrite != nil {
		pending := *m.pendingWrite
		other.pendingWrite = &pending
	}
	if m.proposer != nil {
		other.proposer = m.proposer.Clone()
	}
	other.formAcks, other.standbys, other.leavingAnnounced = maps.Clone(m.formAcks), maps.Clone(m.standbys), maps.Clone(m.leavingAnnounced)
	other.lastAck, other.clockOffsets = maps.Clone(m.lastAck), maps.Clone(m.clockOffsets)
	other.excludedUntil, other.grantSentAt = maps.Clone(m.excludedUntil), maps.Clone(m.grantSentAt)
	other.spareVersions, other.lastReceived = maps.Clone(m.spareVersions), maps.Clone(m.lastReceived)
	other.submitQueue, other.effects = slices.Clone(m.submitQueue), nil
	return &other
}

// Record gives the epoch record last known.
func (m *Machine) Record() Record { return m.voterState.Decided }

// Table gives the state that is safe to publish, to be read only: it holds
// no write that the backup may lack.
func (m *Machine) CommittedTable() *store.Table { return m.committed }

// Copy gives this machine's copy with the write under way, to be read only.
func (m *Machine) ReplicaTable() *store.Table { return m.replica }

// Voters names the machines that vote on the next epoch, as far as is known.
func (m *Machine) Voters() []string {
	if !m.isFormed() {
		return nil
	}
	return m.voterState.Decided.Voters.Names()
}

// IsAtRest says whether this machine has promised and accepted nothing past
// the epoch last decided.
func (m *Machine) IsSettled() bool {
	return m.proposer == nil && m.voterState.Acceptor.Promised.Name == ""
}

// Cluster gives the fleet's identity.
func (m *Machine) Cluster() string {
	if m.identity == nil {
		return ""
	}
	return m.identity.Cluster
}

// IsPrimary says whether primacy is held at this moment, with a copy that is
// safe to publish.
func (m *Machine) IsPrimary(now time.Duration) bool { return m.holdsLease(now) && !m.replicaAhead }

func (m *Machine) holdsLease(now time.Duration) bool {
	return m.isRecordedPrimary() && now < m.leaseUntil
}

// Primacy gives the moment until which primacy is held.
func (m *Machine) LeaseUntil() time.Duration {
	if m.replicaAhead {
		return 0
	}
	return m.leaseUntil
}

func (m *Machine) isFormed() bool { return m.identity != nil && m.identity.Formed }

func (m *Machine) isRecordedPrimary() bool {
	return m.IsMember() && m.voterState.Decided.Primary == m.self
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) send(to string, body any) { m.emit(Send{To: to, Body: body}) }

func (m *Machine) emitEpochChanged(record Record, why string) {
	m.emit(EpochChanged{Record: record, Reason: why, Table: m.committed})
}

func (m *Machine) eachOtherVoter(each func(string)) {
	for _, name := range m.Voters() {
		if name != m.self {
			each(name)
		}
	}
}

func (m *Machine) saveIdentity() {
	m.emit(Save{Kind: FileIdentity, Sequence: 1 + boolBit(m.identity.Formed), Data: store.Encode(*m.identity)})
}

func (m *Machine) saveVoterState() {
	m.voterState.Sequence++
	m.emit(Save{Kind: FileVoterState, Sequence: m.voterState.Sequence, Data: store.Encode(m.voterState)})
}

func (m *Machine) saveTable() {
	m.tableSequence++
	m.emit(Save{Kind: FileTable, Sequence: m.tableSequence, Data: store.Encode(*m.replica)})
}

func boolBit(is bool) uint64 {
	if is {
		return 1
	}
	return 0
}
