package idempotency

import "tansyseam/internal/state/model"

// States of a request id. They are sent between nodes: the strings stay.
const (
	// StateUnseen says that the id was never executed, and promises that the
	// node which says so never will: it is transferred to the one that asked.
	StateUnseen = "never"
	// StateInFlight says that an attempt is being executed.
	StateInFlight = "out"
	// StateCommitted says that its effect was kept.
	StateCommitted = "kept"
	// StateNotCommitted says that it ended without effect.
	StateNotCommitted = "not_kept"
	// StateUnknown says that it can't be known whether it took effect.
	StateUnknown = "unknown"
	// StateTransferred says that another node, the owner, has the record.
	StateTransferred = "moved"
)

// StatusRequest asks a node for the status of a request id. Requester is the
// node to which an unseen id is transferred.
type StatusRequest struct {
	RequestID string
	Requester string
}

// Status is what a node knows of a request id. Rows and Position are those of
// the answer that a committed request got; Owner is the node that a transferred
// one went to.
type Status struct {
	State    string
	Rows     []byte
	Position model.Position
	Owner    string
}
