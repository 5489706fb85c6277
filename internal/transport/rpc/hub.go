// Package rpc carries gob messages between the fleet's own processes over
// TCP: framed, checksummed, versioned, on one engine. All frames that go one
// way on a connection are one gob stream, so that the description of a type
// goes over it once.
package rpc

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"hash/crc32"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/lesismal/nbio"

	"tansyseam/internal/protocol/message"
	"tansyseam/internal/transport/worker"
)

// Errors of the link layer.
const (
	ErrTimeout     = errors.ConstError("no answer in time")
	ErrUnreachable = errors.ConstError("link down")
)

// Version is the version of the internal protocol that this build speaks;
// it talks with any from Oldest on.
const (
	ProtocolVersion    = 2
	MinProtocolVersion = 2
)

// silence is how long a link's bytes may go untaken before it is given up.
const userTimeout = time.Second

const (
	headerSize   = 4 + 4 + 4
	maxFrameSize = 8 << 20
	// streamed marks, in the size of a frame, one that goes on the
	// connection's gob stream; one without it stands alone.
	streamFlag = 1 << 31
)

var magic = [3]byte{'s', 'm', 'L'}

// Envelope is one message on its way.
type Envelope struct {
	From    string
	Version int
	ID      uint64
	IsReply bool
	Body    any
}

// Handler acts on a message; answer, which may be called later or never,
// replies to a Call.
type Handler func(from string, body any, answer func(any))

// Hub is a process's end of all its links.
type Hub struct {
	name      string
	localHost string
	workers   *worker.Group
	counters  *worker.Counters
	engine    *nbio.Engine
	handler   Handler
	inbox     *worker.Pool[inboundMessage]

	mutex   sync.Mutex
	links   map[string]*outboundLink
	pending map[uint64]pendingCall
	nextID  uint64
}

type pendingCall struct {
	response chan Envelope
	address  string
}

type inboundMessage struct {
	envelope Envelope
	from     *peer
}

type outboundLink struct {
	peer    *peer
	dialing bool
	backlog []*Envelope
}

// peer is one connection with its two gob streams.
type peer struct {
	conn      *nbio.Conn
	counters  *worker.Counters
	mutex     sync.Mutex
	outBuffer bytes.Buffer
	encoder   *gob.Encoder
	unparsed  []byte
	inBuffer  bytes.Buffer
	decoder   *gob.Decoder
}

func newPeer(conn *nbio.Conn, counters *worker.Counters) *peer {
	p := &peer{conn: conn, counters: counters}
	p.encoder, p.decoder = gob.NewEncoder(&p.outBuffer), gob.NewDecoder(&p.inBuffer)
	return p
}

func (p *peer) send(envelope *Envelope) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.outBuffer.Reset()
	p.outBuffer.Write(make([]byte, headerSize))
	sent := *envelope
	sent.Body = message.Encode(envelope.Body)
	if err := p.encoder.Encode(&sent); err != nil {
		_ = p.conn.Close()
		return errors.Annotatef(err, "encode %T", envelope.Body)
	}
	frame := p.outBuffer.Bytes()
	writeHeader(frame, streamFlag)
	_, _ = p.conn.Write(frame)
	p.counters.Add("link_out_bytes", int64(len(frame)))
	return nil
}

func (p *peer) decode(payload []byte, streamed bool) (Envelope, error) {
	var envelope Envelope
	if !streamed {
		err := gob.NewDecoder(bytes.NewReader(payload)).Decode(&envelope)
		envelope.Body = message.Decode(envelope.Body)
		return envelope, err
	}
	p.inBuffer.Write(payload)
	err := p.decoder.Decode(&envelope)
	envelope.Body = message.Decode(envelope.Body)
	p.inBuffer.Reset()
	return envelope, err
}

// New makes a hub that answers with handler once it listens.
func NewHub(name, address string, workers *worker.Group, counters *worker.Counters, handler Handler) *Hub {
	h := &Hub{
		name: name, workers: workers, counters: counters, handler: handler,
		links: map[string]*outboundLink{}, pending: map[uint64]pendingCall{},
	}
	if host, _, err := net.SplitHostPort(address); err == nil {
		h.localHost = host
	}
	h.engine = nbio.NewEngine(nbio.Config{
		Network: "tcp", Addrs: []string{address}, NPoller: 1, ReadBufferSize: 16 << 10, MaxWriteBufferSize: 16 << 20,
	})
	h.engine.OnOpen(func(conn *nbio.Conn) {
		worker.SetUserTimeout(conn, userTimeout)
		h.mutex.Lock()
		defer h.mutex.Unlock()
		conn.SetSession(newPeer(conn, counters))
	})
	h.engine.OnData(h.onData)
	h.engine.OnClose(h.onClose)
	h.inbox = worker.NewPool(workers, "inbox", 4096, 48, h.handle)
	return h
}

// Listen opens the hub's address.
func (h *Hub) Listen() error { return errors.Annotate(h.engine.Start(), "listen") }

// Close shuts all links.
func (h *Hub) Close() { h.engine.Stop() }

func encodeFrame(envelope Envelope) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Write(make([]byte, headerSize))
	sent := envelope
	sent.Body = message.Encode(envelope.Body)
	if err := gob.NewEncoder(&buffer).Encode(&sent); err != nil {
		return nil, errors.Annotatef(err, "encode %T", envelope.Body)
	}
	frame := buffer.Bytes()
	writeHeader(frame, 0)
	return frame, nil
}

func writeHeader(frame []byte, mark uint32) {
	copy(frame, magic[:])
	frame[3] = ProtocolVersion
	binary.BigEndian.PutUint32(frame[4:], uint32(len(frame)-headerSize)|mark)
	binary.BigEndian.PutUint32(frame[8:], crc32.ChecksumIEEE(frame[headerSize:]))
}

func (h *Hub) reject(conn *nbio.Conn, why string) {
	h.counters.Add("link_refused_"+why, 1)
	_ = conn.Close()
}

func (h *Hub) onData(conn *nbio.Conn, data []byte) {
	h.mutex.Lock()
	from, ok := conn.Session().(*peer)
	h.mutex.Unlock()
	if !ok {
		return
	}
	held := data
	if len(from.unparsed) > 0 {
		held = append(from.unparsed, data...)
	}
	for len(held) >= headerSize {
		if !bytes.Equal(held[:3], magic[:]) {
			h.reject(conn, "garbage")
			return
		}
		if held[3] < MinProtocolVersion || held[3] > ProtocolVersion+1 {
			h.reject(conn, "version")
			return
		}
		mark := binary.BigEndian.Uint32(held[4:])
		size := int(mark &^ streamFlag)
		if size > maxFrameSize {
			h.reject(conn, "oversized")
			return
		}
		if len(held) < headerSize+size {
			break
		}
		payload := held[headerSize : headerSize+size]
		if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(held[8:]) {
			h.reject(conn, "checksum")
			return
		}
		envelope, err := from.decode(payload, mark&streamFlag != 0)
		held = held[headerSize+size:]
		if err != nil && strings.Contains(err.Error(), "name not registered") {
			h.counters.Add("link_unknown_message", 1)
			continue
		}
		if err != nil {
			h.reject(conn, "garbage")
			return
		}
		h.counters.Add("link_in", 1)
		if envelope.IsReply {
			h.resolveCall(envelope)
			continue
		}
		if !h.inbox.TrySubmit(inboundMessage{envelope: envelope, from: from}) {
			h.counters.Add("link_inbox_full", 1)
		}
	}
	from.unparsed = append([]byte(nil), held...)
}

func (h *Hub) resolveCall(envelope Envelope) {
	h.mutex.Lock()
	held, found := h.pending[envelope.ID]
	delete(h.pending, envelope.ID)
	h.mutex.Unlock()
	if found {
		held.response <- envelope
	}
}

func (h *Hub) handle(d inboundMessage) {
	h.handler(d.envelope.From, d.envelope.Body, func(reply any) { h.reply(d, reply) })
}

func (h *Hub) reply(d inboundMessage, reply any) {
	if d.envelope.ID == 0 || reply == nil {
		return
	}
	if err := d.from.send(&Envelope{From: h.name, Version: ProtocolVersion, ID: d.envelope.ID, IsReply: true, Body: reply}); err != nil {
		h.counters.Add("link_encode_faults", 1)
	}
}

func (h *Hub) onClose(conn *nbio.Conn, _ error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for address, held := range h.links {
		if held.peer != nil && held.peer.conn == conn {
			delete(h.links, address)
			h.failCalls(address)
		}
	}
}

func (h *Hub) failCalls(address string) {
	for id, out := range h.pending {
		if out.address == address {
			delete(h.pending, id)
			out.response <- Envelope{}
		}
	}
}

// Send passes a message on if it can; a message for a link that is down is
// dropped, since every machine sends again what still matters.
func (h *Hub) Send(address string, body any) {
	h.sendTo(address, &Envelope{From: h.name, Version: ProtocolVersion, Body: body})
}

// Call sends a request and waits for its answer, for a bound.
func (h *Hub) Call(address string, body any, timeout time.Duration) (any, error) {
	response := make(chan Envelope, 1)
	h.mutex.Lock()
	h.nextID++
	id := h.nextID
	h.pending[id] = pendingCall{response: response, address: address}
	h.mutex.Unlock()
	h.sendTo(address, &Envelope{From: h.name, Version: ProtocolVersion, ID: id, Body: body})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case envelope := <-response:
		if envelope.Body == nil {
			return nil, errors.Annotatef(ErrUnreachable, "%s", address)
		}
		return envelope.Body, nil
	case <-timer.C:
	case <-h.workers.Stopping():
	}
	h.mutex.Lock()
	delete(h.pending, id)
	h.mutex.Unlock()
	return nil, errors.Annotatef(ErrTimeout, "%s", address)
}

func (h *Hub) sendTo(address string, envelope *Envelope) {
	h.mutex.Lock()
	held, found := h.links[address]
	if !found {
		held = &outboundLink{}
		h.links[address] = held
	}
	if held.peer != nil {
		to := held.peer
		h.mutex.Unlock()
		h.transmit(to, envelope)
		return
	}
	if len(held.backlog) < 64 {
		held.backlog = append(held.backlog, envelope)
	}
	isFirst := !held.dialing
	held.dialing = true
	h.mutex.Unlock()
	if isFirst {
		h.workers.Go(func() { h.dial(address, held) })
	}
}

func (h *Hub) transmit(to *peer, envelope *Envelope) {
	if err := to.send(envelope); err != nil {
		h.counters.Add("link_encode_faults", 1)
		return
	}
	h.counters.Add("link_out", 1)
}

func (h *Hub) dial(address string, held *outboundLink) {
	dialer := net.Dialer{Timeout: 500 * time.Millisecond}
	if ip := net.ParseIP(h.localHost); ip != nil && !ip.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	raw, err := dialer.Dial("tcp", address)
	var conn *nbio.Conn
	if err == nil {
		worker.SetUserTimeout(raw.(*net.TCPConn), userTimeout)
		if conn, err = nbio.NBConn(raw); err == nil {
			_, err = h.engine.AddConn(conn)
		}
	}
	h.mutex.Lock()
	waiting := held.backlog
	held.backlog = nil
	held.dialing = false
	if err != nil {
		delete(h.links, address)
		h.failCalls(address)
		h.mutex.Unlock()
		h.counters.Add("link_dial_faults", 1)
		return
	}
	held.peer, _ = conn.Session().(*peer)
	h.links[address] = held
	h.mutex.Unlock()
	for _, envelope := range waiting {
		h.transmit(held.peer, envelope)
	}
}
