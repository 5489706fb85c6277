package distribution

import (
	"time"

	"tansyseam/internal/coordination/rollout"
	"tansyseam/internal/state/store"
)

// NextCollection returns the write that deletes the sets that every leased node has
// replaced by later sets, if there are any. It returns no write until the leases of the
// previous tenure have ended.
func (m *Machine) NextCollection(wallNanos int64, now time.Duration) (Write, bool) {
	if m.collecting || now <= m.grantor.StartedAt()+m.timing.LeaseDuration {
		return Write{}, false
	}
	lowest := m.snapshot.ActiveSet(wallNanos).Sequence
	if !m.hasSetBelow(lowest) {
		return Write{}, false
	}
	for node := range m.grantor.LeasedNodes(now) {
		lowest = min(lowest, m.activeSequences[node])
	}
	if !m.hasSetBelow(lowest) {
		return Write{}, false
	}
	m.collecting = true
	return Write{
		Build: func(state *store.Table) []store.Put { return rollout.DeleteObsolete(state, lowest) },
		Done:  func() { m.collecting = false },
	}, true
}

func (m *Machine) hasSetBelow(sequence uint64) bool {
	return len(m.snapshot.Sets) > 0 && m.snapshot.Sets[0].Sequence < sequence
}
