package rpc

import (
	"net"
	"sync"

	"github.com/juju/errors"
	"github.com/lesismal/nbio"

	"tansyseam/internal/transport/tcp"
	"tansyseam/internal/transport/worker"
)

// ErrListen says that the hub's address cannot be listened on.
const ErrListen = errors.ConstError("address cannot be listened on")

const (
	// inboxSize is the number of messages that wait for a worker; more are
	// dropped.
	inboxSize = 4096
	// inboxWorkers is the number of messages that are handled at a time. It is large
	// since handlers may wait, for instance for a call of their own.
	inboxWorkers = 48

	// readBufferSize is in bytes.
	readBufferSize = 16 << 10
	// maxWriteBufferSize is the number of queued bytes at which a connection whose
	// remote end does not read is closed.
	maxWriteBufferSize = 16 << 20
)

// Handler handles a message or call. It replies to a call by reply, at any time
// or never; for other messages reply does nothing.
type Handler func(from string, body any, reply func(any))

// Hub is the end of all connections of a process.
type Hub struct {
	name      string
	localHost string
	workers   *worker.Group
	counters  *worker.Counters
	engine    *nbio.Engine
	handler   Handler
	inbox     *worker.Pool[inboundMessage]

	// mutex guards the fields below and the sessions of the connections. It is not held
	// while bytes are sent.
	mutex      sync.Mutex
	links      map[string]*outboundLink
	pending    map[uint64]pendingCall
	lastCallID uint64
}

type inboundMessage struct {
	envelope Envelope
	from     *peer
}

// NewHub returns a hub for an address, which Listen opens. Its outgoing
// connections have the address's IP, if that is a specific one.
func NewHub(name, address string, workers *worker.Group, counters *worker.Counters, handler Handler) *Hub {
	h := &Hub{
		name:     name,
		workers:  workers,
		counters: counters,
		handler:  handler,
		links:    map[string]*outboundLink{},
		pending:  map[uint64]pendingCall{},
	}
	if host, _, err := net.SplitHostPort(address); err == nil {
		h.localHost = host
	}
	h.engine = nbio.NewEngine(nbio.Config{
		Network:            "tcp",
		Addrs:              []string{address},
		NPoller:            1,
		ReadBufferSize:     readBufferSize,
		MaxWriteBufferSize: maxWriteBufferSize,
	})
	h.engine.OnOpen(h.onOpen)
	h.engine.OnData(h.onData)
	h.engine.OnClose(h.onClose)
	h.inbox = worker.NewPool(workers, "inbox", inboxSize, inboxWorkers, h.handle)
	return h
}

// Listen opens the hub's address. Its errors are of type ErrListen.
func (h *Hub) Listen() error {
	return errors.WithType(errors.Annotate(h.engine.Start(), "listen"), ErrListen)
}

// Close closes the address and all connections.
func (h *Hub) Close() { h.engine.Stop() }

func (h *Hub) onOpen(conn *nbio.Conn) {
	tcp.SetUserTimeout(conn, userTimeout)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	conn.SetSession(newPeer(conn, h.counters))
}

func (h *Hub) peerOf(conn *nbio.Conn) (*peer, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	from, ok := conn.Session().(*peer)
	return from, ok
}

func (h *Hub) onData(conn *nbio.Conn, data []byte) {
	from, ok := h.peerOf(conn)
	if !ok {
		return
	}
	if len(from.unparsed) > 0 {
		data = append(from.unparsed, data...)
	}
	rest, err := h.receiveFrames(from, data)
	if err != nil {
		h.counters.Add(rejectionCounters[err], 1)
		_ = conn.Close()
		return
	}
	// The event loop reuses the buffer that data is in.
	from.unparsed = append([]byte(nil), rest...)
}

// receiveFrames receives the complete frames at the start of data, and returns the
// bytes after them. Its errors are those of rejectionCounters.
func (h *Hub) receiveFrames(from *peer, data []byte) ([]byte, error) {
	for {
		received, rest, err := cutFrame(data)
		if errors.Is(err, errIncomplete) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		if err := h.receive(from, received); err != nil {
			return nil, err
		}
		data = rest
	}
}

// receive passes the message in a frame on. The error is errGarbage.
func (h *Hub) receive(from *peer, received frame) error {
	envelope, err := from.decode(received)
	if errors.Is(err, errUnknownMessage) {
		h.counters.Add(counterUnknownMessage, 1)
		return nil
	}
	if err != nil {
		return err
	}
	h.counters.Add(counterReceived, 1)
	if envelope.IsReply {
		h.resolveCall(envelope)
		return nil
	}
	if !h.inbox.TrySubmit(inboundMessage{envelope: envelope, from: from}) {
		h.counters.Add(counterInboxFull, 1)
	}
	return nil
}

func (h *Hub) handle(received inboundMessage) {
	h.handler(received.envelope.From, received.envelope.Body, func(body any) { h.reply(received, body) })
}

func (h *Hub) reply(received inboundMessage, body any) {
	id := received.envelope.ID
	if id == 0 || body == nil {
		return
	}
	envelope := Envelope{From: h.name, Version: ProtocolVersion, ID: id, IsReply: true, Body: body}
	if err := received.from.send(envelope); err != nil {
		h.counters.Add(counterEncodeFailed, 1)
	}
}

func (h *Hub) onClose(conn *nbio.Conn, _ error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for address, link := range h.links {
		if link.peer != nil && link.peer.conn == conn {
			delete(h.links, address)
			h.failCalls(address)
		}
	}
}
