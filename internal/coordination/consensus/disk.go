package consensus

import "time"

// diskHealth is the observed condition of this node's disk.
type diskHealth struct {
	// corrupted is true while damaged files still have to be removed.
	corrupted bool
	// syncPending is SyncGate.SyncPending as of the last tick. It is 0 if no disk task is
	// queued.
	syncPending time.Duration
}

// isDiskStalled reports whether the disk has not finished a sync within ReplyTimeout,
// which is also the time limit for a sync by the backup.
func (m *Machine) isDiskStalled() bool { return m.disk.syncPending > m.timing.ReplyTimeout }

// removeCorrupt removes the damaged files. It is called once this node is in a cluster
// whose other nodes have the lost content.
func (m *Machine) removeCorrupt() {
	if m.disk.corrupted {
		m.disk.corrupted = false
		m.emit(RemoveCorrupt{})
	}
}
