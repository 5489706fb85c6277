package idempotency

import "tansyseam/internal/state/model"

// States of a request id. The strings must not change, since nodes send them to each
// other.
const (
	// StateUnseen means that the id was never executed. The answering node transfers it
	// to the requester, and will never execute it itself.
	StateUnseen = "never"
	// StateInFlight means that an attempt is being executed.
	StateInFlight = "out"
	// StateCommitted means that the request was committed.
	StateCommitted = "kept"
	// StateNotCommitted means that the request ended without effect.
	StateNotCommitted = "not_kept"
	// StateUnknown means that it cannot be determined whether the request took effect.
	StateUnknown = "unknown"
	// StateTransferred means that another node, the owner, has the record.
	StateTransferred = "moved"
)

// StatusRequest is the message that asks a node for the status of a request id. An unseen
// id is transferred to Requester.
type StatusRequest struct {
	RequestID string
	Requester string
}

// Status is the recorded status of a request id. Rows and Position are those of the
// answer to a committed request. Owner is the node to which a transferred id went.
type Status struct {
	State    string
	Rows     []byte
	Position model.Position
	Owner    string
}
