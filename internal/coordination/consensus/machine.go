package consensus

import (
	"maps"
	"time"

	"tansyseam/internal/state/store"
)

// Machine is the state machine of one control node. It does no I/O, and is not safe
// for concurrent use.
//
// Each part of its state is a type with one job, which states what holds for its fields.
// What handles a message, and what the ticks of a role do, is in the file of the part
// that it is about.
type Machine struct {
	self      string
	bootstrap BootstrapConfig
	timing    Timing
	// startedAt is when this run of the program began, or the node entered its cluster.
	startedAt time.Duration
	// processIncarnation is the wall clock at the first tick, which distinguishes replies
	// to an earlier run of the program. It is 0 before that tick.
	processIncarnation int64

	// What is on disk, or on the way there. The identity is nil before the node has one.
	identity   *Identity
	voterState VoterState
	replica    replica
	disk       diskHealth

	// What each node keeps.
	peers    peerSet
	contacts contacts
	clock    clusterClock
	// formAcks are the voters that agreed to form a cluster.
	formAcks map[string]Member
	shutdown shutdown

	// What a voter keeps. Only the primary, its backup and spares propose.
	granted   grantedLease
	proposals proposalState

	// What the primary keeps.
	lease    heldLease
	tracker  voterTracker
	writes   writeQueue
	repairs  repairState
	standbys map[string]standby
	leaving  leavingNodes

	// effects are those of the step under way.
	effects []Effect
}

// NewWithBootstrap makes the machine of a node from what its disk held.
func NewWithBootstrap(self string, bootstrap BootstrapConfig, timing Timing, saved PersistentState, now time.Duration) *Machine {
	m := &Machine{
		self: self, bootstrap: bootstrap, timing: timing, startedAt: now,
		identity: saved.Identity, replica: newReplica(saved),
		contacts: contacts{received: map[string]time.Duration{}},
		clock:    clusterClock{peerOffsets: map[string]int64{}},
		formAcks: map[string]Member{},
		lease:    heldLease{grantSentAt: map[string]time.Duration{}},
		tracker:  newVoterTracker(now),
		standbys: map[string]standby{},
		leaving:  leavingNodes{},
	}
	m.restore(saved)
	m.proposals.unsettled = m.voterState.Acceptor.Promised.Name == self
	decided := m.voterState.Decided
	m.replica.ahead = decided.Primary == self && decided.Backup != "" && m.replica.version().Epoch == decided.Epoch
	m.requestStatusOnNextTick(now)
	m.contacts.primaryAt = now - m.leaseDurations(contactLossLeases)
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
	other.contacts = m.contacts.clone()
	other.clock = m.clock.clone()
	other.formAcks = maps.Clone(m.formAcks)
	other.proposals = m.proposals.clone()
	other.lease = m.lease.clone()
	other.tracker = m.tracker.clone()
	other.writes = m.writes.clone()
	other.standbys = maps.Clone(m.standbys)
	other.leaving = maps.Clone(m.leaving)
	other.effects = nil
	return &other
}

// Record gives the newest epoch record known.
func (m *Machine) Record() Record { return m.voterState.Decided }

// CommittedTable gives the state that may be served, to be read only: it has no write
// that the backup may lack.
func (m *Machine) CommittedTable() *store.Table { return m.replica.committed }

// ReplicaTable gives this node's replica with the write under way, to be read only.
func (m *Machine) ReplicaTable() *store.Table { return m.replica.table }

// Voters names the voters on the next epoch by the newest record known, sorted. There
// are none before the cluster is formed.
func (m *Machine) Voters() []string {
	if !m.isFormed() {
		return nil
	}
	return m.voterState.Decided.Voters.Names()
}

// Cluster gives the name of the cluster, or "" before this node knows one.
func (m *Machine) Cluster() string {
	if m.identity == nil {
		return ""
	}
	return m.identity.Cluster
}

// IsSettled says whether this node has no part in a proposal for the next epoch.
func (m *Machine) IsSettled() bool {
	return !m.proposals.isUnderWay() && m.voterState.Acceptor.Promised.Name == ""
}

// IsPrimary says whether this node holds the lease, and its replica may be served.
func (m *Machine) IsPrimary(now time.Duration) bool { return m.holdsLease(now) && !m.replica.ahead }

// LeaseUntil gives the moment until which this node is primary; where it is past or 0,
// it is none.
func (m *Machine) LeaseUntil() time.Duration {
	if m.replica.ahead {
		return 0
	}
	return m.lease.until
}

// IsMember says whether this node is a voter by the newest record known, with the disk
// that it has.
func (m *Machine) IsMember() bool {
	return m.isFormed() && m.voterState.Decided.Voters.Has(Member{Name: m.self, Incarnation: m.identity.Incarnation})
}

// IsStandby says whether this node knows a cluster and is no voter in it.
func (m *Machine) IsStandby() bool { return m.isFormed() && !m.IsMember() }

func (m *Machine) isFormed() bool { return m.identity != nil && m.identity.Formed }

// isRecordedPrimary says whether the newest record names this node the primary. It may
// still have no lease.
func (m *Machine) isRecordedPrimary() bool {
	return m.IsMember() && m.voterState.Decided.Primary == m.self
}

func (m *Machine) isVoter(name string) bool {
	_, found := m.voterState.Decided.Voters.Find(name)
	return found
}

func (m *Machine) eachOtherVoter(visit func(name string)) {
	for _, name := range m.Voters() {
		if name != m.self {
			visit(name)
		}
	}
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) send(to string, body any) { m.emit(Send{To: to, Body: body}) }

func (m *Machine) emitEpochChanged(reason string) {
	m.emit(EpochChanged{Record: m.voterState.Decided, Reason: reason, Table: m.replica.committed})
}
