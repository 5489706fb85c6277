package distribution

import (
	"fmt"
	"hash/fnv"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// Machine is the state machine of one control node; only the primary's is in use.
type Machine struct {
	self   string
	timing lease.Timing
	record consensus.Record
	// state is the newest control state that is safe to publish, and snapshot the
	// part of it that nodes get.
	state        *store.Table
	snapshot     model.Snapshot
	clockTrusted bool
	pending      []pendingRequest
	// tenureCount counts the tenures of this process. tenureEpoch is the epoch in
	// which the current one began, and firstVersion that of the first write that it
	// published: a node that has that version has no other history.
	tenureCount  uint64
	tenureEpoch  uint64
	firstVersion store.Version

	tenureState
}

// tenureState is what the machine knows in one tenure beside the control state.
type tenureState struct {
	// tenure identifies the tenure by the node's name and the time when it began;
	// tenureNumber is its hash, never 0.
	tenure       string
	tenureNumber uint64
	// inheritedVersion is the version of the state that the tenure began with.
	inheritedVersion store.Version
	grantor          *lease.Grantor
	// registering names the nodes that a pending write registers or removes.
	registering map[string]bool
	// nodesWithBaseline names the nodes of which this tenure has all that they reported.
	nodesWithBaseline map[string]bool
	// activeSequences are the sequences active at the nodes, and highestActive is
	// the highest one reported.
	activeSequences map[string]uint64
	highestActive   uint64
	// activating and collecting say that a write of that kind is pending.
	activating bool
	collecting bool

	instances          instanceList
	incarnations       map[string]nodeIncarnations
	reports            reportStore
	highWatermarks     map[string]model.Position
	acknowledgedRoles  map[string]acknowledgedRole
	acknowledgedPhases map[string]acknowledgedPhase
	coverage           reportCoverage
}

// Write is an effect: puts that are computed from the control state when the write's
// turn comes. Done must be called when the write has ended, in whatever way.
type Write struct {
	Build func(*store.Table) []store.Put
	Done  func()
}

// New returns a machine that starts from the epoch record and the state on disk.
func New(self string, timing lease.Timing, record consensus.Record, state *store.Table, now time.Duration) *Machine {
	m := &Machine{self: self, timing: timing, record: record, state: state, tenureEpoch: record.Epoch + 1}
	m.startTenure(now)
	m.Publish(state)
	return m
}

func (m *Machine) startTenure(now time.Duration) {
	m.tenureCount++
	m.tenureState = tenureState{
		inheritedVersion:   m.state.Version,
		grantor:            lease.NewGrantor(m.timing, m.registeredNodes(), now),
		registering:        map[string]bool{},
		nodesWithBaseline:  map[string]bool{},
		activeSequences:    map[string]uint64{},
		instances:          newInstanceList(),
		incarnations:       map[string]nodeIncarnations{},
		reports:            newReportStore(),
		highWatermarks:     map[string]model.Position{},
		acknowledgedRoles:  map[string]acknowledgedRole{},
		acknowledgedPhases: map[string]acknowledgedPhase{},
		coverage:           newReportCoverage(),
	}
}

// EpochChanged handles a new epoch record. It returns true if this node has become
// primary by it, which starts a new tenure.
func (m *Machine) EpochChanged(record consensus.Record, state *store.Table, now time.Duration) bool {
	becamePrimary := record.Primary == m.self && m.record.Primary != m.self
	m.record = record
	if becamePrimary {
		m.tenureEpoch, m.firstVersion = record.Epoch, store.Version{}
	}
	m.Publish(state)
	if becamePrimary {
		m.startTenure(now)
	}
	return becamePrimary
}

// SetClockTrusted says whether the primary's clock may be relied on. If it may not,
// it is unknown how long ago an earlier primary accepted a pending set.
func (m *Machine) SetClockTrusted(trusted bool) { m.clockTrusted = trusted }

// Publish handles a new state that is safe to publish.
func (m *Machine) Publish(state *store.Table) {
	previous := m.snapshot
	m.snapshot, _ = model.RefreshSnapshot(state, previous, m.state)
	m.state = state
	if m.firstVersion == (store.Version{}) && state.Version.Epoch >= m.tenureEpoch {
		m.firstVersion = state.Version
	}
	if m.snapshot.Version.IsBefore(m.firstVersion) {
		m.snapshot.Version = m.firstVersion
	}
	if previous.HasPendingSet() && !m.snapshot.HasPendingSet() {
		// From now on each lease comes with a snapshot that has the effective time, so
		// that it may last beyond it, even if the write has not ended yet.
		m.grantor.Unfreeze()
	}
	m.coverage.coverChangedTerms(previous.Writers, m.snapshot.Writers)
}

// ensureTenure returns the identifier of the tenure, which its first use assigns.
func (m *Machine) ensureTenure(wallNanos int64) string {
	if m.tenure == "" {
		m.tenure = fmt.Sprintf("%s@%d", m.self, wallNanos)
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(m.tenure))
		m.tenureNumber = hash.Sum64() | 1
	}
	return m.tenure
}

// Record returns the epoch record.
func (m *Machine) Record() consensus.Record { return m.record }

// State returns the published state, which must not be changed.
func (m *Machine) State() *store.Table { return m.state }

// Snapshot returns the part of the published state that nodes get.
func (m *Machine) Snapshot() model.Snapshot { return m.snapshot }

// LeasedNodes returns the nodes that may hold a lease, with the version of the
// snapshot that each has applied.
func (m *Machine) LeasedNodes(now time.Duration) map[string]store.Version {
	return m.grantor.LeasedNodes(now)
}

// ActiveSequence returns the sequence of the binding set active at a node, as it last
// reported.
func (m *Machine) ActiveSequence(node string) uint64 { return m.activeSequences[node] }
