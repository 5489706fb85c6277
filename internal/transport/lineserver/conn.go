package lineserver

import (
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/lesismal/nbio"
)

// ErrLineTooLong is passed to OnClose when the connection was closed because the
// remote end sent a line longer than the server allows.
const ErrLineTooLong = errors.ConstError("line too long")

const (
	// closeSendTimeout is how long a graceful close waits for the remote end to read
	// what was written and to close its side. closeLinger replaces it if everything
	// has been sent already.
	closeSendTimeout = 2 * time.Second
	closeLinger      = 500 * time.Millisecond
)

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
	server *Server
	raw    *nbio.Conn
	// handler is set once, under the server's mutex.
	handler Handler
	// partial is the start of a line that has not arrived completely.
	partial       []byte
	maxLineLength int
	// unsent is the number of bytes that were written and that the socket has not
	// accepted yet.
	unsent atomic.Int64
	// closing is true after CloseGracefully.
	closing atomic.Bool
	// accepted is true if the remote end opened the connection.
	accepted bool
	// closed and closeError are guarded by the server's mutex.
	closed     bool
	closeError error
	// sending is true during a graceful close until everything has been sent. It is
	// guarded by the server's mutex.
	sending bool
}

// Write sends bytes without blocking. Bytes that the socket does not accept at once
// are queued. The connection is closed if its queue grows too large.
func (c *Conn) Write(data []byte) {
	c.unsent.Add(int64(len(data)))
	_, _ = c.raw.Write(data)
}

// Close closes the connection at once. Written bytes that have not been sent are lost.
func (c *Conn) Close() { _ = c.raw.Close() }

// CloseGracefully closes the connection once everything that was written has been sent
// and the remote end has closed its side, or after a time-out. Lines that arrive
// meanwhile are dropped. They are read, because closing a socket with unread
// input makes the kernel reset the connection, and the remote end may then lose what
// was sent.
func (c *Conn) CloseGracefully() {
	if !c.closing.CompareAndSwap(false, true) {
		return
	}
	c.server.beginClose(c)
	timeout := closeSendTimeout
	if c.unsent.Load() == 0 {
		timeout = closeLinger
		c.server.endWriting(c)
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(timeout))
}

// onSent is called when the socket has accepted written bytes.
func (c *Conn) onSent(size int) {
	if c.unsent.Add(-int64(size)) == 0 && c.closing.Load() {
		c.server.endWriting(c)
	}
}

func (c *Conn) onData(data []byte) {
	if c.closing.Load() {
		return
	}
	searched, owned := 0, false
	if len(c.partial) > 0 {
		searched, owned = searchedBytes(c.partial), true
		data = append(c.partial, data...)
		c.partial = nil
	}
	lines, rest := splitLines(data, searched, c.maxLineLength)
	if len(lines) > 0 {
		c.server.countLoneLineFeeds(lines)
		c.handler.OnLines(lines)
	}
	if isTooLong(rest, c.maxLineLength) {
		_ = c.raw.CloseWithError(ErrLineTooLong)
		return
	}
	if len(rest) == 0 {
		return
	}
	if !owned || len(lines) > 0 {
		rest = append([]byte(nil), rest...)
	}
	c.partial = rest
}
