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

// Machine is the distribution state machine of one control node. Only the control primary
// grants leases and sends updates. On any other node the machine follows the epoch record
// and the control state, and Flush answers the requests still pending with the record.
type Machine struct {
	self   string
	timing lease.Timing
	record consensus.Record
	// state is the newest committed control state, and snapshot is the part of it that
	// is sent to nodes.
	state        *store.Table
	snapshot     model.Snapshot
	clockTrusted bool
	pending      []pendingRequest
	// tenureCount is the number of tenures that this process has started. tenureEpoch is
	// the lowest epoch whose writes belong to the current tenure: the epoch in which it
	// began or, after a start of the process, the one after the epoch on disk.
	// firstVersion is the version of the first such write that was published. A node that
	// has applied that version or a later one has no writes that are missing from the
	// state of this tenure, and may get a delta.
	tenureCount  uint64
	tenureEpoch  uint64
	firstVersion store.Version
	setCache     setCache
	departures   departureList

	tenureState
}

// tenureState is the state of one tenure that is not part of the control state.
type tenureState struct {
	// tenure identifies the tenure by the control node's name and the Unix time of the
	// first use. tenureNumber is the hash of tenure and is never 0 once assigned.
	tenure       string
	tenureNumber uint64
	// inheritedVersion is the version of the control state at the start of the tenure.
	inheritedVersion store.Version
	grantor          *lease.Grantor
	// registering contains the nodes that a pending write registers or removes.
	registering map[string]bool
	// nodesWithBaseline contains the nodes whose complete reports this tenure has
	// received.
	nodesWithBaseline map[string]bool
	// activeSequences maps each node to the sequence of its active binding set, and
	// highestActive is the highest sequence reported as active.
	activeSequences map[string]uint64
	highestActive   uint64
	// activating and collecting are true while a write returned by NextActivation or
	// NextCollection is pending.
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

// Write is a write to the control state that the caller carries out. Build computes its
// puts from the control state at the time of the write. Done must be called when the write
// has ended, whether or not it succeeded.
type Write struct {
	Build func(*store.Table) []store.Put
	Done  func()
}

// New returns a machine that starts from the epoch record and the state on disk.
func New(self string, timing lease.Timing, record consensus.Record, state *store.Table, now time.Duration) *Machine {
	m := &Machine{
		self: self, timing: timing, record: record, state: state, tenureEpoch: record.Epoch + 1, setCache: newSetCache(),
		departures: newDepartureList(),
	}
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

// EpochChanged handles a new epoch record. It returns true if the record makes this node
// the primary, which starts a new tenure.
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

// SetClockTrusted sets whether the primary's clock can be relied on. If it cannot, it is
// unknown how long ago an earlier primary accepted a pending set.
func (m *Machine) SetClockTrusted(trusted bool) { m.clockTrusted = trusted }

// Publish handles a new committed state.
func (m *Machine) Publish(state *store.Table) {
	previous := m.snapshot
	m.snapshot, _ = model.RefreshSnapshot(state, previous, m.state)
	m.departures.recorded = model.ReadDepartures(state, m.departures.recorded, m.state)
	m.state = state
	m.setCache.retain(m.snapshot.Sets)
	if m.firstVersion == (store.Version{}) && state.Version.Epoch >= m.tenureEpoch {
		m.firstVersion = state.Version
	}
	if m.snapshot.Version.IsBefore(m.firstVersion) {
		m.snapshot.Version = m.firstVersion
	}
	if previous.HasPendingSet() && !m.snapshot.HasPendingSet() {
		// From now on each lease is granted with a snapshot that contains the effective
		// time. The lease may therefore last past that time, even if the write that
		// assigned it has not ended yet.
		m.grantor.Unfreeze()
	}
	m.coverage.coverChangedTerms(previous.Writers, m.snapshot.Writers)
}

// ensureTenure returns the identifier of the tenure, and assigns it on first use.
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

// Snapshot returns the part of the published state that is sent to nodes.
func (m *Machine) Snapshot() model.Snapshot { return m.snapshot }

// LeasedNodes returns the nodes that may hold a lease, with the version of the snapshot
// that each node has applied.
func (m *Machine) LeasedNodes(now time.Duration) map[string]store.Version {
	return m.grantor.LeasedNodes(now)
}

// ActiveSequence returns the sequence of the binding set that a node last reported as
// active.
func (m *Machine) ActiveSequence(node string) uint64 { return m.activeSequences[node] }
