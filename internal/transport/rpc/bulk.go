package rpc

import (
	"bytes"
	"encoding/gob"
	"sync"
)

// maxRetainedBytes is the size up to which a bulkEncoder reuses its buffer.
const maxRetainedBytes = 1 << 20

// bulkEncoder encodes large messages for all connections of a hub, one at a time. A
// connection's own gob stream would keep buffers of the size of its largest message for as
// long as the connection is open. Each large message is therefore a gob stream of its own.
type bulkEncoder struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// encode calls use with the frame of an envelope whose body is in its encoded form. The
// frame is valid only during the call.
func (b *bulkEncoder) encode(envelope *Envelope, use func(frame []byte)) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.buffer.Cap() > maxRetainedBytes {
		b.buffer = bytes.Buffer{}
	}
	b.buffer.Reset()
	b.buffer.Write(make([]byte, headerSize))
	if err := gob.NewEncoder(&b.buffer).Encode(envelope); err != nil {
		return err
	}
	frame := b.buffer.Bytes()
	writeHeader(frame, 0)
	use(frame)
	return nil
}
