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

	"tansyseam/internal/transport/worker"
)

// Errors of the link layer.
const (
	ErrTimeout = errors.ConstError("no answer in time")
	ErrDown    = errors.ConstError("link down")
)

// Version is the version of the internal protocol that this build speaks;
// it talks with any from Oldest on.
const (
	Version = 2
	Oldest  = 2
)

// silence is how long a link's bytes may go untaken before it is given up.
const silence = time.Second

const (
	headSize = 4 + 4 + 4
	maxFrame = 8 << 20
	// streamed marks, in the size of a frame, one that goes on the
	// connection's gob stream; one without it stands alone.
	streamed = 1 << 31
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
	name    string
	local   string
	crew    *worker.Crew
	counts  *worker.Counters
	engine  *nbio.Engine
	handler Handler
	inbox   *worker.Stage[delivery]

	mutex  sync.Mutex
	lines  map[string]*line
	calls  map[uint64]call
	nextID uint64
}

type call struct {
	waiter  chan Envelope
	address string
}

type delivery struct {
	envelope Envelope
	peer     *peer
}

type line struct {
	peer    *peer
	isBusy  bool
	backlog []*Envelope
}

// peer is one connection with its two gob streams.
type peer struct {
	conn    *nbio.Conn
	counts  *worker.Counters
	mutex   sync.Mutex
	out     bytes.Buffer
	encoder *gob.Encoder
	rest    []byte
	in      bytes.Buffer
	decoder *gob.Decoder
}

func newPeer(conn *nbio.Conn, counts *worker.Counters) *peer {
	p := &peer{conn: conn, counts: counts}
	p.encoder, p.decoder = gob.NewEncoder(&p.out), gob.NewDecoder(&p.in)
	return p
}

func (p *peer) send(envelope *Envelope) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.out.Reset()
	p.out.Write(make([]byte, headSize))
	if err := p.encoder.Encode(envelope); err != nil {
		_ = p.conn.Close()
		return errors.Annotatef(err, "encode %T", envelope.Body)
	}
	frame := p.out.Bytes()
	head(frame, streamed)
	_, _ = p.conn.Write(frame)
	p.counts.Add("link_out_bytes", int64(len(frame)))
	return nil
}

func (p *peer) decode(payload []byte, isStreamed bool) (Envelope, error) {
	var envelope Envelope
	if !isStreamed {
		return envelope, gob.NewDecoder(bytes.NewReader(payload)).Decode(&envelope)
	}
	p.in.Write(payload)
	err := p.decoder.Decode(&envelope)
	p.in.Reset()
	return envelope, err
}

// New makes a hub that answers with handler once it listens.
func New(name, address string, crew *worker.Crew, counts *worker.Counters, handler Handler) *Hub {
	h := &Hub{
		name: name, crew: crew, counts: counts, handler: handler,
		lines: map[string]*line{}, calls: map[uint64]call{},
	}
	if host, _, err := net.SplitHostPort(address); err == nil {
		h.local = host
	}
	h.engine = nbio.NewEngine(nbio.Config{
		Network: "tcp", Addrs: []string{address}, NPoller: 1, ReadBufferSize: 16 << 10, MaxWriteBufferSize: 16 << 20,
	})
	h.engine.OnOpen(func(conn *nbio.Conn) {
		worker.LimitSilence(conn, silence)
		h.mutex.Lock()
		defer h.mutex.Unlock()
		conn.SetSession(newPeer(conn, counts))
	})
	h.engine.OnData(h.onData)
	h.engine.OnClose(h.onClose)
	h.inbox = worker.NewStage(crew, "inbox", 4096, 48, h.deliver)
	return h
}

// Listen opens the hub's address.
func (h *Hub) Listen() error { return errors.Annotate(h.engine.Start(), "listen") }

// Close shuts all links.
func (h *Hub) Close() { h.engine.Stop() }

func pack(envelope Envelope) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Write(make([]byte, headSize))
	if err := gob.NewEncoder(&buffer).Encode(&envelope); err != nil {
		return nil, errors.Annotatef(err, "encode %T", envelope.Body)
	}
	frame := buffer.Bytes()
	head(frame, 0)
	return frame, nil
}

func head(frame []byte, mark uint32) {
	copy(frame, magic[:])
	frame[3] = Version
	binary.BigEndian.PutUint32(frame[4:], uint32(len(frame)-headSize)|mark)
	binary.BigEndian.PutUint32(frame[8:], crc32.ChecksumIEEE(frame[headSize:]))
}

func (h *Hub) refuse(conn *nbio.Conn, why string) {
	h.counts.Add("link_refused_"+why, 1)
	_ = conn.Close()
}

func (h *Hub) onData(conn *nbio.Conn, data []byte) {
	h.mutex.Lock()
	from, isOurs := conn.Session().(*peer)
	h.mutex.Unlock()
	if !isOurs {
		return
	}
	held := data
	if len(from.rest) > 0 {
		held = append(from.rest, data...)
	}
	for len(held) >= headSize {
		if !bytes.Equal(held[:3], magic[:]) {
			h.refuse(conn, "garbage")
			return
		}
		if held[3] < Oldest || held[3] > Version+1 {
			h.refuse(conn, "version")
			return
		}
		mark := binary.BigEndian.Uint32(held[4:])
		size := int(mark &^ streamed)
		if size > maxFrame {
			h.refuse(conn, "oversized")
			return
		}
		if len(held) < headSize+size {
			break
		}
		payload := held[headSize : headSize+size]
		if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(held[8:]) {
			h.refuse(conn, "checksum")
			return
		}
		envelope, err := from.decode(payload, mark&streamed != 0)
		held = held[headSize+size:]
		if err != nil && strings.Contains(err.Error(), "name not registered") {
			h.counts.Add("link_unknown_message", 1)
			continue
		}
		if err != nil {
			h.refuse(conn, "garbage")
			return
		}
		h.counts.Add("link_in", 1)
		if envelope.IsReply {
			h.settle(envelope)
			continue
		}
		if !h.inbox.Offer(delivery{envelope: envelope, peer: from}) {
			h.counts.Add("link_inbox_full", 1)
		}
	}
	from.rest = append([]byte(nil), held...)
}

func (h *Hub) settle(envelope Envelope) {
	h.mutex.Lock()
	held, isAwaited := h.calls[envelope.ID]
	delete(h.calls, envelope.ID)
	h.mutex.Unlock()
	if isAwaited {
		held.waiter <- envelope
	}
}

func (h *Hub) deliver(d delivery) {
	h.handler(d.envelope.From, d.envelope.Body, func(reply any) { h.answer(d, reply) })
}

func (h *Hub) answer(d delivery, reply any) {
	if d.envelope.ID == 0 || reply == nil {
		return
	}
	if err := d.peer.send(&Envelope{From: h.name, Version: Version, ID: d.envelope.ID, IsReply: true, Body: reply}); err != nil {
		h.counts.Add("link_encode_faults", 1)
	}
}

func (h *Hub) onClose(conn *nbio.Conn, _ error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for address, held := range h.lines {
		if held.peer != nil && held.peer.conn == conn {
			delete(h.lines, address)
			h.failCalls(address)
		}
	}
}

func (h *Hub) failCalls(address string) {
	for id, out := range h.calls {
		if out.address == address {
			delete(h.calls, id)
			out.waiter <- Envelope{}
		}
	}
}

// Send passes a message on if it can; a message for a link that is down is
// dropped, since every machine sends again what still matters.
func (h *Hub) Send(address string, body any) {
	h.write(address, &Envelope{From: h.name, Version: Version, Body: body})
}

// Call sends a request and waits for its answer, for a bound.
func (h *Hub) Call(address string, body any, bound time.Duration) (any, error) {
	waiter := make(chan Envelope, 1)
	h.mutex.Lock()
	h.nextID++
	id := h.nextID
	h.calls[id] = call{waiter: waiter, address: address}
	h.mutex.Unlock()
	h.write(address, &Envelope{From: h.name, Version: Version, ID: id, Body: body})
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case envelope := <-waiter:
		if envelope.Body == nil {
			return nil, errors.Annotatef(ErrDown, "%s", address)
		}
		return envelope.Body, nil
	case <-timer.C:
	case <-h.crew.Stopping():
	}
	h.mutex.Lock()
	delete(h.calls, id)
	h.mutex.Unlock()
	return nil, errors.Annotatef(ErrTimeout, "%s", address)
}

func (h *Hub) write(address string, envelope *Envelope) {
	h.mutex.Lock()
	held, isHeld := h.lines[address]
	if !isHeld {
		held = &line{}
		h.lines[address] = held
	}
	if held.peer != nil {
		to := held.peer
		h.mutex.Unlock()
		h.post(to, envelope)
		return
	}
	if len(held.backlog) < 64 {
		held.backlog = append(held.backlog, envelope)
	}
	isFirst := !held.isBusy
	held.isBusy = true
	h.mutex.Unlock()
	if isFirst {
		h.crew.Go(func() { h.dial(address, held) })
	}
}

func (h *Hub) post(to *peer, envelope *Envelope) {
	if err := to.send(envelope); err != nil {
		h.counts.Add("link_encode_faults", 1)
		return
	}
	h.counts.Add("link_out", 1)
}

func (h *Hub) dial(address string, held *line) {
	dialer := net.Dialer{Timeout: 500 * time.Millisecond}
	if ip := net.ParseIP(h.local); ip != nil && !ip.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	raw, err := dialer.Dial("tcp", address)
	var conn *nbio.Conn
	if err == nil {
		worker.LimitSilence(raw.(*net.TCPConn), silence)
		if conn, err = nbio.NBConn(raw); err == nil {
			_, err = h.engine.AddConn(conn)
		}
	}
	h.mutex.Lock()
	waiting := held.backlog
	held.backlog = nil
	held.isBusy = false
	if err != nil {
		delete(h.lines, address)
		h.failCalls(address)
		h.mutex.Unlock()
		h.counts.Add("link_dial_faults", 1)
		return
	}
	held.peer, _ = conn.Session().(*peer)
	h.lines[address] = held
	h.mutex.Unlock()
	for _, envelope := range waiting {
		h.post(held.peer, envelope)
	}
}
