package consensus

import "time"

// diskHealth is what is known of this node's disk.
type diskHealth struct {
	// corrupted says that damaged files are still to be removed.
	corrupted bool
	// syncPending is for how long the disk has not finished the sync under way.
	syncPending time.Duration
}

// isDiskStalled says whether the disk has not finished a sync for longer than a
// backup's is waited for.
func (m *Machine) isDiskStalled() bool { return m.disk.syncPending > m.timing.ReplyTimeout }

// removeCorrupt removes the damaged files, once this node is in a cluster that has what
// they held.
func (m *Machine) removeCorrupt() {
	if m.disk.corrupted {
		m.disk.corrupted = false
		m.emit(RemoveCorrupt{})
	}
}
