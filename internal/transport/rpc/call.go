package rpc

import (
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/transport/worker"
)

// Error types of a call, for errors.Is.
const (
	// ErrTimeout is returned when no reply arrived in time. The remote hub may have
	// handled the call.
	ErrTimeout = errors.ConstError("no reply in time")
	// ErrUnreachable is returned when the remote hub could not be reached or the
	// connection to it broke. The remote hub may have handled the call.
	ErrUnreachable = errors.ConstError("peer unreachable")
)

// pendingCall is a call that waits for its reply.
type pendingCall struct {
	// response receives the reply, or an envelope without a body if the call failed.
	response chan Envelope
	address  string
}

const (
	// transferCheckInterval is how often a call that has reached its timeout checks whether
	// more bytes have arrived.
	transferCheckInterval = 250 * time.Millisecond
	// maxTransferTime is the longest time by which arriving bytes extend a call.
	maxTransferTime = 5 * time.Second
)

// Call sends a request and waits for the reply. The error is ErrUnreachable, or
// ErrTimeout if no reply arrives within timeout or before the hub's workers stop. A call
// whose timeout ends while a message is arriving waits on for as long as bytes arrive, and
// for maxTransferTime at most. Otherwise a reply that a slow link does not carry within the
// timeout would be sent again and again, and never received.
func (h *Hub) Call(address string, body any, timeout time.Duration) (any, error) {
	id, response := h.addCall(address)
	h.sendTo(address, Envelope{From: h.name, Version: ProtocolVersion, ID: id, Body: body})
	envelope, received := worker.ReceiveWithin(h.workers, response, timeout)
	if !received {
		envelope, received = h.awaitTransfer(address, response)
	}
	if !received {
		h.removeCall(id)
		return nil, errors.Annotatef(ErrTimeout, "%s", address)
	}
	if envelope.Body == nil {
		return nil, errors.Annotatef(ErrUnreachable, "%s", address)
	}
	return envelope.Body, nil
}

// awaitTransfer waits for a reply while a message arrives from an address.
func (h *Hub) awaitTransfer(address string, response chan Envelope) (Envelope, bool) {
	previous := int64(-1)
	for waited := time.Duration(0); waited < maxTransferTime; waited += h.transferCheckInterval {
		arrived, arriving := h.arrivedFrom(address)
		if !arriving || arrived == previous {
			break
		}
		previous = arrived
		if envelope, received := worker.ReceiveWithin(h.workers, response, h.transferCheckInterval); received {
			return envelope, true
		}
	}
	return worker.TryReceive(response)
}

// arrivedFrom returns the number of bytes that have arrived on the connection to an address,
// and whether they end in an incomplete message.
func (h *Hub) arrivedFrom(address string) (arrived int64, arriving bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	link, found := h.links[address]
	if !found || link.peer == nil {
		return 0, false
	}
	return link.peer.arrivedBytes.Load(), link.peer.arriving.Load()
}

func (h *Hub) addCall(address string) (uint64, chan Envelope) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.lastCallID++
	response := make(chan Envelope, 1)
	h.pending[h.lastCallID] = pendingCall{response: response, address: address}
	return h.lastCallID, response
}

// removeCall removes a call from the pending calls and returns it. It returns false if
// the call is not pending.
func (h *Hub) removeCall(id uint64) (pendingCall, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	call, found := h.pending[id]
	delete(h.pending, id)
	return call, found
}

// resolveCall passes a reply to its call, if the call is still pending.
func (h *Hub) resolveCall(envelope Envelope) {
	if call, found := h.removeCall(envelope.ID); found {
		call.response <- envelope
	}
}

// failCalls fails the pending calls to an address. The caller must hold the mutex.
func (h *Hub) failCalls(address string) {
	for id, call := range h.pending {
		if call.address == address {
			delete(h.pending, id)
			call.response <- Envelope{}
		}
	}
}
