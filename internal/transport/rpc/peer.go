package rpc

import (
	"bytes"
	"encoding/gob"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/lesismal/nbio"

	"tansyseam/internal/protocol/message"
	"tansyseam/internal/transport/worker"
)

// errUnknownMessage is returned when a frame contains a message of a type that is not
// registered in this build.
const errUnknownMessage = errors.ConstError("unknown message")

// unknownTypeText is part of the error text of package gob for a type that is not
// registered. Package gob has no error value for this error.
const unknownTypeText = "name not registered"

// Envelope is the content of a frame. Its field names are part of the encoding.
type Envelope struct {
	From    string
	Version int
	// ID is the number of a call and of its reply. It is 0 for other messages.
	ID      uint64
	IsReply bool
	Body    any
}

// peer is one connection with its outgoing and its incoming gob stream.
type peer struct {
	conn     *nbio.Conn
	queue    *writeQueue
	bulk     *bulkEncoder
	counters *worker.Counters

	// mutex guards the outgoing stream. Only the connection's event loop uses the
	// incoming stream.
	mutex     sync.Mutex
	outBuffer bytes.Buffer
	encoder   *gob.Encoder

	// unparsed is the start of a frame that has not arrived completely. arriving is true if
	// there is one, and arrivedBytes counts the bytes that have arrived.
	unparsed     []byte
	arriving     atomic.Bool
	arrivedBytes atomic.Int64
	inBuffer     bytes.Buffer
	decoder      *gob.Decoder
}

func newPeer(conn *nbio.Conn, queue *writeQueue, bulk *bulkEncoder, counters *worker.Counters) *peer {
	p := &peer{conn: conn, queue: queue, bulk: bulk, counters: counters}
	p.encoder, p.decoder = gob.NewEncoder(&p.outBuffer), gob.NewDecoder(&p.inBuffer)
	return p
}

// send writes an envelope to the connection. It closes the connection if the envelope
// cannot be encoded, because the stream cannot be continued after such an error.
func (p *peer) send(envelope Envelope) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	body := envelope.Body
	encode := p.encodeStreamed
	if message.IsBulk(body) {
		encode = p.bulk.encode
	}
	envelope.Body = message.Encode(body)
	if err := encode(&envelope, p.write); err != nil {
		_ = p.conn.Close()
		return errors.Annotatef(err, "encode %T", body)
	}
	return nil
}

// encodeStreamed calls use with the frame of an envelope that continues the connection's
// gob stream. The frame is valid only during the call.
func (p *peer) encodeStreamed(envelope *Envelope, use func(frame []byte)) error {
	p.outBuffer.Reset()
	p.outBuffer.Write(make([]byte, headerSize))
	if err := p.encoder.Encode(envelope); err != nil {
		return err
	}
	frame := p.outBuffer.Bytes()
	writeHeader(frame, streamFlag)
	use(frame)
	return nil
}

// write passes a frame to the connection, which copies what it cannot write at once.
func (p *peer) write(frame []byte) {
	p.queue.add(int64(len(frame)))
	_, _ = p.conn.Write(frame)
	p.counters.Add(counterSentBytes, int64(len(frame)))
}

// decode returns the envelope in a frame. The error is errUnknownMessage or
// errMalformed.
func (p *peer) decode(received frame) (Envelope, error) {
	var envelope Envelope
	err := p.decoderOf(received).Decode(&envelope)
	p.inBuffer.Reset()
	if err != nil && strings.Contains(err.Error(), unknownTypeText) {
		return Envelope{}, errUnknownMessage
	}
	if err != nil {
		return Envelope{}, errMalformed
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
