package consensus

import (
	"maps"
	"time"

	"tansyseam/internal/state/store"
)

// Machine is the state machine of one control node. It does no I/O, and is not safe for
// concurrent use.
//
// Each part of its state is a type with a single purpose, which documents the
// invariants of its fields. The message handlers and the tick functions of a role are
// in the file of the part that they concern.
type Machine struct {
	self      string
	bootstrap BootstrapConfig
	timing    Timing
	// startedAt is when this run of the program began or, if that was later, when the
	// node entered its cluster.
	startedAt time.Duration
	// processIncarnation is the wall clock at the first tick. It distinguishes replies
	// to this run of the program from replies to an earlier run. It is 0 before the
	// first tick.
	processIncarnation int64

	// State that is on disk or being written to disk. The identity is nil until the
	// node has one.
	identity   *Identity
	voterState VoterState
	replica    replica
	disk       diskHealth

	// State of every node.
	peers    peerSet
	contacts contacts
	clock    clusterClock
	// formAcks holds the voters that agreed to form a cluster, by name.
	formAcks map[string]Member
	shutdown shutdown

	// State of a voter. Only the primary, the backup and spares propose.
	granted   grantedLease
	proposals proposalState

	// State of the primary.
	lease    heldLease
	tracker  voterTracker
	writes   writeQueue
	repairs  repairState
	standbys map[string]standby
	leaving  leavingNodes

	// effects are the effects of the step in progress.
	effects []Effect
}

// NewWithBootstrap returns the machine of a node, restored from the content of its
// disk.
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
	m.replica.ahead = m.mayBeAheadAfterRestart()
	m.requestStatusOnNextTick(now)
	m.contacts.primaryAt = now - m.leaseDurations(contactLossLeases)
	return m
}

// mayBeAheadAfterRestart reports whether this node is the recorded primary and its
// replica may have a write that the backup or the fallback lacks. In an epoch without a
// backup, this may be a write of an earlier epoch.
func (m *Machine) mayBeAheadAfterRestart() bool {
	decided := m.voterState.Decided
	if decided.Primary != m.self {
		return false
	}
	if decided.Backup == "" {
		return decided.hasFallback()
	}
	return m.replica.version().Epoch == decided.Epoch
}

// Clone returns a machine in the same state. The two machines share only data that
// neither of them changes.
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

// Record returns the newest known epoch record.
func (m *Machine) Record() Record { return m.voterState.Decided }

// CommittedTable returns the state that may be served while IsPrimary reports true. It
// then contains no write that the backup may lack. The caller must not change it.
func (m *Machine) CommittedTable() *store.Table { return m.replica.committed }

// ReplicaTable returns this node's replica, including the write in progress. The caller
// must not change it.
func (m *Machine) ReplicaTable() *store.Table { return m.replica.table }

// Voters returns the sorted names of the voters on the next epoch according to the
// newest known record. It returns none before the cluster is formed.
func (m *Machine) Voters() []string {
	if !m.isFormed() {
		return nil
	}
	return m.voterState.Decided.Voters.Names()
}

// Cluster returns the name of the cluster, or "" if this node has not received one yet.
func (m *Machine) Cluster() string {
	if m.identity == nil {
		return ""
	}
	return m.identity.Cluster
}

// IsSettled reports whether this node takes part in no proposal for the next epoch.
func (m *Machine) IsSettled() bool {
	return !m.proposals.isUnderWay() && m.voterState.Acceptor.Promised.Name == ""
}

// IsPrimary reports whether this node holds the lease and its replica may be served.
func (m *Machine) IsPrimary(now time.Duration) bool { return m.holdsLease(now) && !m.replica.ahead }

// LeaseUntil returns the time until which this node is primary. If it is 0 or in the
// past, this node is not primary.
func (m *Machine) LeaseUntil() time.Duration {
	if m.replica.ahead {
		return 0
	}
	return m.lease.until
}

// IsMember reports whether this node, with its current disk, is a voter according to
// the newest known record.
func (m *Machine) IsMember() bool {
	return m.isFormed() && m.voterState.Decided.Voters.Has(Member{Name: m.self, Incarnation: m.identity.Incarnation})
}

// IsStandby reports whether this node belongs to a formed cluster and is not a voter.
func (m *Machine) IsStandby() bool { return m.isFormed() && !m.IsMember() }

func (m *Machine) isFormed() bool { return m.identity != nil && m.identity.Formed }

// isRecordedPrimary reports whether the newest known record names this node as primary.
// The node does not necessarily hold the lease.
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
