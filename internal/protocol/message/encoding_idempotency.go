package message

import (
	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/state/encoded"
	"tansyseam/internal/state/model"
)

// The encoded field names are those of the first release and must never change; see
// package encoded.

// encodedStatusRequest is the encoded form of idempotency.StatusRequest.
type encodedStatusRequest struct {
	Go string
	By string
}

func encodeStatusRequest(m idempotency.StatusRequest) encodedStatusRequest {
	return encodedStatusRequest{
		Go: m.RequestID,
		By: m.Requester,
	}
}

func decodeStatusRequest(e encodedStatusRequest) idempotency.StatusRequest {
	return idempotency.StatusRequest{
		RequestID: e.Go,
		Requester: e.By,
	}
}

// encodedStatus is the encoded form of idempotency.Status.
type encodedStatus struct {
	Standing string
	Rows     []byte
	Position model.Position
	To       string
}

func encodeStatus(m idempotency.Status) encodedStatus {
	return encodedStatus{
		Standing: m.State,
		Rows:     m.Rows,
		Position: m.Position,
		To:       m.Owner,
	}
}

func decodeStatus(e encodedStatus) idempotency.Status {
	return idempotency.Status{
		State:    e.Standing,
		Rows:     e.Rows,
		Position: e.Position,
		Owner:    e.To,
	}
}

// encodedHandover is the encoded form of idempotency.Handover.
type encodedHandover struct {
	Node   string
	Birth  string
	Heir   string
	Goes   map[string]encodedStatus
	Scopes map[string]uint64
}

func encodeHandover(m idempotency.Handover) encodedHandover {
	return encodedHandover{
		Node:   m.Node,
		Birth:  m.Incarnation,
		Heir:   m.Successor,
		Goes:   encoded.Map(m.Requests, encodeStatus),
		Scopes: m.Sessions,
	}
}

func decodeHandover(e encodedHandover) idempotency.Handover {
	return idempotency.Handover{
		Node:        e.Node,
		Incarnation: e.Birth,
		Successor:   e.Heir,
		Requests:    encoded.Map(e.Goes, decodeStatus),
		Sessions:    e.Scopes,
	}
}
