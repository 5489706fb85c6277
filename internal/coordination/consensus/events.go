package consensus

import (
	"time"

	"tansyseam/internal/state/store"
)

// The events that Machine.Step takes.
type (
	// Tick is due several times within each span of Timing.
	Tick struct {
		// WallNanos is this node's wall clock.
		WallNanos int64
		// SyncPending is for how long the disk has not finished the sync under way; see
		// SyncGate.SyncPending.
		SyncPending time.Duration
	}
	// Received is a message of another node.
	Received struct {
		From string
		Body any
	}
	// Peers gives the control nodes met so far.
	Peers struct {
		Names []string
		// ByAddress gives the node at an RPC address, where it is known.
		ByAddress map[string]string
		// Zones gives the failure domain of each node.
		Zones map[string]string
	}
	// Leave says that this node is shutting down: it hands its roles over.
	Leave struct{}
	// Submit asks for a write.
	Submit struct {
		// Token tells the SubmitResult that answers.
		Token uint64
		// Build gives the puts by the state that they apply to, which is to be read
		// only. None is no write.
		Build func(*store.Table) []store.Put
	}
)

// Effect is what Machine.Step wants done: one of Send, Save, RemoveCorrupt,
// SubmitResult, EpochChanged and TableCommitted. Effects are to be carried out in
// order, each once what it depends on is synced; see SyncGate.
type Effect any

// The effects.
type (
	// Send sends a message to another node. It may be lost.
	Send struct {
		To   string
		Body any
	}
	// Save writes and syncs a version of a file.
	Save struct {
		Kind     string
		Sequence uint64
		Data     []byte
	}
	// RemoveCorrupt removes damaged files, whose content was recovered from other nodes.
	RemoveCorrupt struct{}
	// SubmitResult answers a Submit.
	SubmitResult struct {
		Token uint64
		// Committed says that the write is durable; else it was not made.
		Committed bool
		// OutcomeUnknown says that the write, though not committed, may yet be.
		OutcomeUnknown bool
		// Version is that of the table with the write.
		Version store.Version
	}
	// EpochChanged tells of a new epoch, or of the failure of a backup.
	EpochChanged struct {
		Record Record
		// Reason is for the log.
		Reason string
		// Table is the state that may be served from here on. It is part of the effect
		// since the machine's own may already have writes of later effects.
		Table *store.Table
	}
	// TableCommitted tells of a committed write.
	TableCommitted struct {
		Version store.Version
		Table   *store.Table
	}
)
