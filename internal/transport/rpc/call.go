package rpc

import (
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/transport/worker"
)

// Errors of a call, for errors.Is.
const (
	// ErrTimeout says that no reply came in time. The call may have been handled.
	ErrTimeout = errors.ConstError("no reply in time")
	// ErrUnreachable says that the remote hub could not be reached or that the
	// connection to it broke. The call may have been handled.
	ErrUnreachable = errors.ConstError("peer unreachable")
)

// pendingCall is a call that waits for its reply. An envelope without a body says
// that there will be none.
type pendingCall struct {
	response chan Envelope
	address  string
}

// Call sends a request and waits for the reply. The error is ErrTimeout, also if
// the hub's workers stop, or ErrUnreachable.
func (h *Hub) Call(address string, body any, timeout time.Duration) (any, error) {
	id, response := h.addCall(address)
	h.sendTo(address, Envelope{From: h.name, Version: ProtocolVersion, ID: id, Body: body})
	envelope, received := worker.ReceiveWithin(h.workers, response, timeout)
	if !received {
		h.takeCall(id)
		return nil, errors.Annotatef(ErrTimeout, "%s", address)
	}
	if envelope.Body == nil {
		return nil, errors.Annotatef(ErrUnreachable, "%s", address)
	}
	return envelope.Body, nil
}

func (h *Hub) addCall(address string) (uint64, chan Envelope) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.lastCallID++
	response := make(chan Envelope, 1)
	h.pending[h.lastCallID] = pendingCall{response: response, address: address}
	return h.lastCallID, response
}

// takeCall removes a call from the pending ones.
func (h *Hub) takeCall(id uint64) (pendingCall, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	call, found := h.pending[id]
	delete(h.pending, id)
	return call, found
}

// resolveCall gives a reply to its call, if that still waits.
func (h *Hub) resolveCall(envelope Envelope) {
	if call, found := h.takeCall(envelope.ID); found {
		call.response <- envelope
	}
}

// failCalls ends the pending calls to an address. The caller holds the mutex.
func (h *Hub) failCalls(address string) {
	for id, call := range h.pending {
		if call.address == address {
			delete(h.pending, id)
			call.response <- Envelope{}
		}
	}
}
