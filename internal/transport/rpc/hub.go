package rpc

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/lesismal/nbio"

	"tansyseam/internal/transport/tcp"
	"tansyseam/internal/transport/worker"
)

// ErrListen is returned when the hub cannot listen on its address.
const ErrListen = errors.ConstError("cannot listen on address")

const (
	// inboxSize is the maximum number of messages that wait for a worker. Further
	// messages are dropped.
	inboxSize = 4096
	// inboxWorkers is the number of messages that are handled concurrently. It is large
	// because handlers may block, for instance while they wait for the reply to a call.
	inboxWorkers = 48

	// readBufferSize is the size of the event loop's read buffer, in bytes.
	readBufferSize = 16 << 10
	// maxWriteBufferSize is the number of queued bytes at which a connection whose
	// remote end does not read is closed.
	maxWriteBufferSize = 16 << 20
)

// Handler handles a message or a call. It replies to a call with the function reply, at
// any time or never. For other messages reply does nothing.
type Handler func(from string, body any, reply func(any))

// Hub manages all connections between this process and the other processes of the
// cluster.
type Hub struct {
	name      string
	localHost string
	workers   *worker.Group
	counters  *worker.Counters
	engine    *nbio.Engine
	handler   Handler
	inbox     *worker.Pool[inboundMessage]
	bulk      bulkEncoder
	// transferCheckInterval is the constant of that name, except in tests.
	transferCheckInterval time.Duration

	// queues holds the writeQueue of each connection by its *nbio.Conn, and queuedBytes
	// the sum of their lengths.
	queues      sync.Map
	queuedBytes atomic.Int64

	// mutex guards the fields below and the session that nbio stores with each
	// connection. It is not held while bytes are sent.
	mutex sync.Mutex
	links map[string]*outboundLink
	// inbound holds, by the name of the remote process, the queue of the connection on
	// which its last message arrived.
	inbound    map[string]*writeQueue
	pending    map[uint64]pendingCall
	lastCallID uint64
}

type inboundMessage struct {
	envelope Envelope
	from     *peer
}

// NewHub returns a hub for an address, which Listen opens. If the address contains a
// specific IP address, it is also the local address of the hub's outgoing connections.
func NewHub(name, address string, workers *worker.Group, counters *worker.Counters, handler Handler) *Hub {
	h := &Hub{
		name:     name,
		workers:  workers,
		counters: counters,
		handler:  handler,
		links:    map[string]*outboundLink{},
		inbound:  map[string]*writeQueue{},
		pending:  map[uint64]pendingCall{},

		transferCheckInterval: transferCheckInterval,
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
	h.engine.OnWrittenSize(h.onWritten)
	h.inbox = worker.NewPool(workers, "inbox", inboxSize, inboxWorkers, h.handle)
	return h
}

// Listen listens on the hub's address. Its errors are of type ErrListen.
func (h *Hub) Listen() error {
	return errors.WithType(errors.Annotate(h.engine.Start(), "listen"), ErrListen)
}

// Close closes the listener and all connections.
func (h *Hub) Close() { h.engine.Stop() }

func (h *Hub) onOpen(conn *nbio.Conn) {
	tcp.SetUserTimeout(conn, userTimeout)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	queue := &writeQueue{total: &h.queuedBytes}
	h.queues.Store(conn, queue)
	conn.SetSession(newPeer(conn, queue, &h.bulk, h.counters))
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
	from.arrivedBytes.Add(int64(len(data)))
	if len(from.unparsed) > 0 {
		data = append(from.unparsed, data...)
	}
	rest, err := h.receiveFrames(from, data)
	if err != nil {
		h.counters.Add(rejectionCounters[err], 1)
		_ = conn.Close()
		return
	}
	// The rest is copied because the event loop reuses the buffer of data.
	from.unparsed = append([]byte(nil), rest...)
	from.arriving.Store(len(rest) > 0)
}

// receiveFrames receives the complete frames at the start of data and returns the
// bytes after them. Its errors are the keys of rejectionCounters.
func (h *Hub) receiveFrames(from *peer, data []byte) ([]byte, error) {
	for {
		received, rest, err := parseFrame(data)
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

// receive passes the message in a frame to its pending call or to the inbox. The error
// is errMalformed.
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
	h.noteInbound(envelope.From, from.queue)
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
	h.closeQueue(conn)
	for address, link := range h.links {
		if link.peer != nil && link.peer.conn == conn {
			delete(h.links, address)
			h.failCalls(address)
		}
	}
}
