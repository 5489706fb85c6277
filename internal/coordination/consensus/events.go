package consensus

import (
	"time"

	"tansyseam/internal/state/store"
)

// The events that Machine.Step processes.
type (
	// Tick is the periodic event. It must occur several times within each duration of
	// Timing.
	Tick struct {
		// WallNanos is this node's wall clock.
		WallNanos int64
		// SyncPending is how long the first queued disk task has been pending, or 0 if
		// there is none; see SyncGate.SyncPending.
		SyncPending time.Duration
	}
	// Received is a message from another node.
	Received struct {
		From string
		Body any
	}
	// Peers lists the control nodes discovered so far.
	Peers struct {
		Names []string
		// ByAddress maps an RPC address to the name of its node, if that is known.
		ByAddress map[string]string
		// Zones maps the name of a node to its failure domain.
		Zones map[string]string
	}
	// Leave requests that this node hand over its roles, because it is shutting down.
	Leave struct{}
	// Submit requests a write.
	Submit struct {
		// Token identifies the SubmitResult that answers this Submit.
		Token uint64
		// Build returns the puts of the write, given the state that they apply to. It
		// must not change that state. If it returns no puts, nothing is written.
		Build func(*store.Table) []store.Put
	}
)

// Effect is an action requested by Machine.Step: one of Send, Save, RemoveCorrupt,
// SubmitResult, EpochChanged and TableCommitted. Effects must be carried out in order,
// each once the files that it depends on are synced; see SyncGate.
type Effect any

// The types of effects.
type (
	// Send sends a message to another node. The message may be lost.
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
		// Committed is true if the write is durable. If it is false, the write was not made,
		// unless OutcomeUnknown is true.
		Committed bool
		// OutcomeUnknown is true if the write is not committed but may still be
		// committed later.
		OutcomeUnknown bool
		// Version is the version of the table that includes the write.
		Version store.Version
	}
	// EpochChanged reports a new epoch, or the failure of a backup.
	EpochChanged struct {
		Record Record
		// Reason is the text for the log.
		Reason string
		// Table is the state that may be served from now on. It is part of the effect
		// because the machine's own table may already include writes of later effects.
		Table *store.Table
	}
	// TableCommitted reports a committed write.
	TableCommitted struct {
		Version store.Version
		Table   *store.Table
	}
)
