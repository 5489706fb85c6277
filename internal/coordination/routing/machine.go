package routing

import (
	"time"

	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// Machine is the state machine of one node.
type Machine struct {
	self     string
	lease    *lease.Lease
	snapshot model.Snapshot
	// activeSequence is the sequence of the active binding set; it never falls.
	activeSequence uint64
	// activationTimes are the times on this node's clock at which the sets take effect,
	// by sequence.
	activationTimes map[uint64]time.Duration
	observations    map[string]*Observation
	// samples are positions of the primaries in the order of the answers, by database.
	samples map[string][]primarySample
	// highWatermarks are the furthest positions confirmed by this node, by database.
	highWatermarks map[string]model.Position
	requestCount   uint64
	reporter       Reporter
	// heldSets identifies the sets of the snapshot. refusesChanges is true if the last
	// update could not be applied, so that the next one must contain complete sets.
	heldSets       []model.HeldSet
	refusesChanges bool
}

// New returns the machine of the node named self, before its first update.
func New(self string, timing lease.Timing) *Machine {
	return &Machine{
		self:            self,
		lease:           lease.NewLease(timing),
		activationTimes: map[uint64]time.Duration{},
		observations:    map[string]*Observation{},
		samples:         map[string][]primarySample{},
		highWatermarks:  map[string]model.Position{},
	}
}

// HasLease reports whether the node holds a valid lease, and so may serve.
func (m *Machine) HasLease(now time.Duration) bool { return m.lease.IsValid(now) }

// LeaseRemaining returns the remaining time of the lease.
func (m *Machine) LeaseRemaining(now time.Duration) time.Duration { return m.lease.Remaining(now) }

// Epoch returns the highest epoch that granted a lease.
func (m *Machine) Epoch() uint64 { return m.lease.Epoch() }

// Version returns the version of the snapshot.
func (m *Machine) Version() store.Version { return m.snapshot.Version }

// Snapshot returns the snapshot that the node has applied.
func (m *Machine) Snapshot() model.Snapshot { return m.snapshot }

// WriterRole returns a database's writer role.
func (m *Machine) WriterRole(database string) model.WriterRole { return m.snapshot.Writers[database] }

// ActiveSet returns the active binding set, and whether that set has become active since
// the last call. UpdateRequest, DeltaUpdateRequest and ApplyUpdate make such calls too.
func (m *Machine) ActiveSet(now time.Duration) (model.BindingSet, bool) {
	var active model.BindingSet
	for _, set := range m.snapshot.Sets {
		activation, scheduled := m.activationTimes[set.Sequence]
		if (scheduled && activation <= now) || set.Sequence <= m.activeSequence {
			active = set
		}
	}
	changed := active.Sequence > m.activeSequence
	m.activeSequence = max(m.activeSequence, active.Sequence)
	return active, changed
}
