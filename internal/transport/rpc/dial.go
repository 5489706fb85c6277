package rpc

import (
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/lesismal/nbio"

	"tansyseam/internal/transport/tcp"
)

const (
	// dialTimeout is the maximum time for opening a connection.
	dialTimeout = 500 * time.Millisecond
	// maxBacklog is the maximum number of messages that are kept for a connection that
	// is being opened. Further messages are dropped.
	maxBacklog = 64
	// userTimeout is how long sent bytes may stay unacknowledged before the
	// connection is closed.
	userTimeout = time.Second
)

// outboundLink is the outgoing connection to an address, or the attempt to open it.
type outboundLink struct {
	// peer is nil until the connection is open.
	peer    *peer
	dialing bool
	// backlog holds the messages to send when the connection is open.
	backlog []Envelope
}

// Send sends a message to the hub at an address. It does not block. The message
// is dropped if the hub cannot be reached.
func (h *Hub) Send(address string, body any) {
	h.sendTo(address, Envelope{From: h.name, Version: ProtocolVersion, Body: body})
}

func (h *Hub) sendTo(address string, envelope Envelope) {
	h.mutex.Lock()
	link, found := h.links[address]
	if !found {
		link = &outboundLink{}
		h.links[address] = link
	}
	destination := link.peer
	shouldDial := destination == nil && link.enqueue(envelope)
	h.mutex.Unlock()
	if destination != nil {
		h.transmit(destination, envelope)
	}
	if shouldDial {
		h.workers.Go(func() { h.dial(address, link) })
	}
}

// enqueue keeps a message until the connection is open, or drops it if the backlog is
// full. It reports whether the caller must dial.
func (l *outboundLink) enqueue(envelope Envelope) bool {
	if len(l.backlog) < maxBacklog {
		l.backlog = append(l.backlog, envelope)
	}
	shouldDial := !l.dialing
	l.dialing = true
	return shouldDial
}

func (h *Hub) transmit(destination *peer, envelope Envelope) {
	if err := destination.send(envelope); err != nil {
		h.counters.Add(counterEncodeFailed, 1)
		return
	}
	h.counters.Add(counterSent, 1)
}

// dial opens the connection of a link and sends the link's backlog. If the connection
// cannot be opened, the backlog is dropped and the pending calls to the address fail.
func (h *Hub) dial(address string, link *outboundLink) {
	conn, err := h.openConn(address)
	h.mutex.Lock()
	backlog := link.backlog
	link.backlog, link.dialing = nil, false
	if err != nil {
		delete(h.links, address)
		h.failCalls(address)
		h.mutex.Unlock()
		h.counters.Add(counterDialFailed, 1)
		return
	}
	link.peer, _ = conn.Session().(*peer)
	h.links[address] = link
	h.mutex.Unlock()
	for _, envelope := range backlog {
		h.transmit(link.peer, envelope)
	}
}

func (h *Hub) openConn(address string) (*nbio.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: tcp.LocalAddress(h.localHost)}
	conn, err := tcp.Dial(dialer, address, userTimeout)
	if err != nil {
		return nil, errors.Trace(err)
	}
	_, err = h.engine.AddConn(conn)
	return conn, errors.Trace(err)
}
