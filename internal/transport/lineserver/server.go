// Package lineserver carries lines over TCP, on one engine of nbio: sessions that
// are accepted and sessions that are opened. Lines end with LF, with or
// without CR before it.
package lineserver

import (
	"bytes"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/lesismal/nbio"

	"tansyseam/internal/transport/tcp"
	"tansyseam/internal/transport/worker"
)

// Errors of the wire layer.
const (
	ErrListen      = errors.ConstError("address cannot be listened on")
	ErrLineTooLong = errors.ConstError("line too long")
)

// Handler hears of one connection. Lines hears of all whole lines that came
// together, in order; they are not valid after it returns. Ended comes once.
type Handler interface {
	OnLines(lines [][]byte)
	OnClose(err error)
}

// Conn is one connection.
type Conn struct {
	raw           *nbio.Conn
	handler       Handler
	partial       []byte
	maxLineLength int
	closed        bool
}

// Write sends bytes; what the network does not take now follows later, in
// order. It does not block.
func (c *Conn) Write(data []byte) { _, _ = c.raw.Write(data) }

// Close ends the connection.
func (c *Conn) Close() { _ = c.raw.Close() }

// Remote gives the far end's address.
func (c *Conn) RemoteAddress() string { return c.raw.RemoteAddr().String() }

// Engine serves all connections of a process.
type Server struct {
	engine        *nbio.Engine
	workers       *worker.Group
	maxLineLength int
	accept        func(*Conn) Handler
	mutex         sync.Mutex
}

type closedEarly struct{ err error }

// put joins a connection to the engine's; one that has ended meanwhile is
// told so.
func (e *Server) attach(raw *nbio.Conn, conn *Conn) {
	e.mutex.Lock()
	over, closed := raw.Session().(closedEarly)
	conn.closed = closed
	if !closed {
		raw.SetSession(conn)
	}
	e.mutex.Unlock()
	if closed {
		conn.handler.OnClose(over.err)
	}
}

// end tells the end of a connection once, even where it comes before the
// connection was joined.
func (e *Server) detach(raw *nbio.Conn, err error) {
	e.mutex.Lock()
	conn, attached := raw.Session().(*Conn)
	notified := attached && conn.closed
	if attached {
		conn.closed = true
	} else {
		raw.SetSession(closedEarly{err})
	}
	e.mutex.Unlock()
	if attached && !notified {
		conn.handler.OnClose(err)
	}
}

func (e *Server) connOf(raw *nbio.Conn) *Conn {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	conn, _ := raw.Session().(*Conn)
	return conn
}

// New makes an engine; address may be empty, for one that only opens. Greet
// gives the handler of each accepted connection.
func NewServer(workers *worker.Group, address string, maxLineLength int, accept func(*Conn) Handler) *Server {
	config := nbio.Config{Network: "tcp", NPoller: 1, ReadBufferSize: 16 << 10, MaxWriteBufferSize: 4 << 20}
	if address != "" {
		config.Addrs = []string{address}
	}
	e := &Server{engine: nbio.NewEngine(config), workers: workers, maxLineLength: maxLineLength, accept: accept}
	e.engine.OnOpen(func(raw *nbio.Conn) {
		if e.connOf(raw) != nil {
			return
		}
		conn := &Conn{raw: raw, maxLineLength: maxLineLength}
		conn.handler = e.accept(conn)
		e.attach(raw, conn)
	})
	e.engine.OnData(func(raw *nbio.Conn, data []byte) {
		if conn := e.connOf(raw); conn != nil {
			conn.onData(data)
		}
	})
	e.engine.OnClose(e.detach)
	return e
}

// Start listens and serves.
func (e *Server) Start() error {
	if err := e.engine.Start(); err != nil {
		return errors.WithType(errors.Trace(err), ErrListen)
	}
	return nil
}

// Stop ends all connections.
func (e *Server) Stop() { e.engine.Stop() }

// Open opens a connection and writes first as soon as it is up. The handler
// hears of lines and of the end, also where the connection never came up; up
// hears of the connection before all else. It does not block.
func (e *Server) Dial(address string, first []byte, timeout time.Duration, handler Handler, onConnect func(*Conn)) {
	e.workers.Go(func() {
		dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: tcp.KeepAlive}
		dialled, err := dialer.Dial("tcp", address)
		if err != nil {
			handler.OnClose(err)
			return
		}
		tcp.SetUserTimeout(dialled.(*net.TCPConn), userTimeout)
		raw, err := nbio.NBConn(dialled)
		if err != nil {
			_ = dialled.Close()
			handler.OnClose(err)
			return
		}
		conn := &Conn{raw: raw, handler: handler, maxLineLength: e.maxLineLength}
		e.attach(raw, conn)
		onConnect(conn)
		if _, err := e.engine.AddConn(raw); err != nil {
			e.detach(raw, err)
			return
		}
		if len(first) > 0 {
			conn.Write(first)
		}
	})
}

const userTimeout = 2 * time.Second

func (c *Conn) onData(data []byte) {
	if len(c.partial) > 0 {
		data = append(c.partial, data...)
		c.partial = nil
	}
	var lines [][]byte
	for {
		at := bytes.IndexByte(data, '\n')
		if at < 0 || at > c.maxLineLength {
			break
		}
		lines = append(lines, bytes.TrimSuffix(data[:at], []byte{'\r'}))
		data = data[at+1:]
	}
	if len(lines) > 0 {
		c.handler.OnLines(lines)
	}
	if len(data) > c.maxLineLength {
		_ = c.raw.CloseWithError(ErrLineTooLong)
		return
	}
	if len(data) > 0 {
		c.partial = append([]byte(nil), data...)
	}
}
