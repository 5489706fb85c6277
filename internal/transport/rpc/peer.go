package rpc

import (
	"bytes"
	"encoding/gob"
	"strings"
	"sync"

	"github.com/juju/errors"
	"github.com/lesismal/nbio"

	"tansyseam/internal/protocol/message"
	"tansyseam/internal/transport/worker"
)

// errUnknownMessage says that a frame holds a message of a type that this build
// does not know.
const errUnknownMessage = errors.ConstError("unknown message")

// unknownTypeText is how package gob words that error, for which it has no value.
const unknownTypeText = "name not registered"

// Envelope is what a frame carries. Its field names are part of the encoding.
type Envelope struct {
	From    string
	Version int
	// ID is the number of a call and of its reply, and 0 for other messages.
	ID      uint64
	IsReply bool
	Body    any
}

// peer is one connection with its two gob streams.
type peer struct {
	conn     *nbio.Conn
	counters *worker.Counters

	// mutex guards the outgoing stream. The incoming one belongs to the
	// connection's event loop.
	mutex     sync.Mutex
	outBuffer bytes.Buffer
	encoder   *gob.Encoder

	// unparsed is the start of a frame whose end has not arrived.
	unparsed []byte
	inBuffer bytes.Buffer
	decoder  *gob.Decoder
}

func newPeer(conn *nbio.Conn, counters *worker.Counters) *peer {
	p := &peer{conn: conn, counters: counters}
	p.encoder, p.decoder = gob.NewEncoder(&p.outBuffer), gob.NewDecoder(&p.inBuffer)
	return p
}

// send writes an envelope to the connection. After an error of encoding, the
// stream cannot be continued and the connection is closed.
func (p *peer) send(envelope Envelope) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.outBuffer.Reset()
	p.outBuffer.Write(make([]byte, headerSize))
	body := envelope.Body
	envelope.Body = message.Encode(body)
	if err := p.encoder.Encode(&envelope); err != nil {
		_ = p.conn.Close()
		return errors.Annotatef(err, "encode %T", body)
	}
	data := p.outBuffer.Bytes()
	writeHeader(data, streamFlag)
	_, _ = p.conn.Write(data)
	p.counters.Add(counterSentBytes, int64(len(data)))
	return nil
}

// decode returns the envelope in a frame. The error is errUnknownMessage or
// errGarbage.
func (p *peer) decode(received frame) (Envelope, error) {
	var envelope Envelope
	err := p.decoderOf(received).Decode(&envelope)
	p.inBuffer.Reset()
	if err != nil && strings.Contains(err.Error(), unknownTypeText) {
		return Envelope{}, errUnknownMessage
	}
	if err != nil {
		return Envelope{}, errGarbage
	}
	envelope.Body = message.Decode(envelope.Body)
	return envelope, nil
}

func (p *peer) decoderOf(received frame) *gob.Decoder {
	if !received.streamed {
		return gob.NewDecoder(bytes.NewReader(received.payload))
	}
	p.inBuffer.Write(received.payload)
	return p.decoder
}
