package lineserver

import (
	"bytes"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/lesismal/nbio"
)

// ErrLineTooLong is passed to OnClose when the connection was closed because the
// remote end sent a line longer than the server allows.
const ErrLineTooLong = errors.ConstError("line too long")

// Handler handles the events of one connection.
type Handler interface {
	// OnLines is called with the complete lines that arrived together, without their
	// line ends. The lines are valid until OnLines returns.
	OnLines(lines [][]byte)
	// OnClose is called once, when the connection was closed or could not be
	// opened.
	OnClose(err error)
}

// Conn is a TCP connection that carries lines.
type Conn struct {
	raw     *nbio.Conn
	handler Handler
	// partial is the start of a line that has not arrived completely.
	partial       []byte
	maxLineLength int
	// unsent is the number of bytes that were written and that the socket has not
	// accepted yet.
	unsent atomic.Int64
	// closed is guarded by the server's mutex.
	closed bool
}

// Write sends bytes without blocking. Bytes that the socket does not accept at once
// are queued. The connection is closed if its queue grows too large.
func (c *Conn) Write(data []byte) {
	c.unsent.Add(int64(len(data)))
	_, _ = c.raw.Write(data)
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.raw.Close() }

func (c *Conn) onData(data []byte) {
	if len(c.partial) > 0 {
		data = append(c.partial, data...)
		c.partial = nil
	}
	lines, rest := splitLines(data, c.maxLineLength)
	if len(lines) > 0 {
		c.handler.OnLines(lines)
	}
	if len(rest) > c.maxLineLength {
		_ = c.raw.CloseWithError(ErrLineTooLong)
		return
	}
	if len(rest) > 0 {
		c.partial = append([]byte(nil), rest...)
	}
}

// splitLines returns the complete lines at the start of data, up to the first line
// that is too long, and the bytes after them.
func splitLines(data []byte, maxLineLength int) (lines [][]byte, rest []byte) {
	for {
		end := bytes.IndexByte(data, '\n')
		if end < 0 || end > maxLineLength {
			return lines, data
		}
		lines = append(lines, bytes.TrimSuffix(data[:end], []byte{'\r'}))
		data = data[end+1:]
	}
}
