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

	"tansyseam/internal/transport/worker"
)

// Errors of the wire layer.
const (
	ErrListen  = errors.ConstError("address cannot be listened on")
	ErrTooLong = errors.ConstError("line too long")
)

// Handler hears of one connection. Lines hears of all whole lines that came
// together, in order; they are not valid after it returns. Ended comes once.
type Handler interface {
	Lines(lines [][]byte)
	Ended(err error)
}

// Conn is one connection.
type Conn struct {
	raw     *nbio.Conn
	handler Handler
	rest    []byte
	longest int
	isEnded bool
}

// Write sends bytes; what the network does not take now follows later, in
// order. It does not block.
func (c *Conn) Write(data []byte) { _, _ = c.raw.Write(data) }

// Close ends the connection.
func (c *Conn) Close() { _ = c.raw.Close() }

// Remote gives the far end's address.
func (c *Conn) Remote() string { return c.raw.RemoteAddr().String() }

// Engine serves all connections of a process.
type Engine struct {
	engine  *nbio.Engine
	crew    *worker.Crew
	longest int
	greet   func(*Conn) Handler
	mutex   sync.Mutex
}

type ended struct{ err error }

// put joins a connection to the engine's; one that has ended meanwhile is
// told so.
func (e *Engine) put(raw *nbio.Conn, conn *Conn) {
	e.mutex.Lock()
	over, isOver := raw.Session().(ended)
	conn.isEnded = isOver
	if !isOver {
		raw.SetSession(conn)
	}
	e.mutex.Unlock()
	if isOver {
		conn.handler.Ended(over.err)
	}
}

// end tells the end of a connection once, even where it comes before the
// connection was joined.
func (e *Engine) end(raw *nbio.Conn, err error) {
	e.mutex.Lock()
	conn, isJoined := raw.Session().(*Conn)
	isTold := isJoined && conn.isEnded
	if isJoined {
		conn.isEnded = true
	} else {
		raw.SetSession(ended{err})
	}
	e.mutex.Unlock()
	if isJoined && !isTold {
		conn.handler.Ended(err)
	}
}

func (e *Engine) get(raw *nbio.Conn) *Conn {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	conn, _ := raw.Session().(*Conn)
	return conn
}

// New makes an engine; address may be empty, for one that only opens. Greet
// gives the handler of each accepted connection.
func New(crew *worker.Crew, address string, longest int, greet func(*Conn) Handler) *Engine {
	config := nbio.Config{Network: "tcp", NPoller: 1, ReadBufferSize: 16 << 10, MaxWriteBufferSize: 4 << 20}
	if address != "" {
		config.Addrs = []string{address}
	}
	e := &Engine{engine: nbio.NewEngine(config), crew: crew, longest: longest, greet: greet}
	e.engine.OnOpen(func(raw *nbio.Conn) {
		if e.get(raw) != nil {
			return
		}
		conn := &Conn{raw: raw, longest: longest}
		conn.handler = e.greet(conn)
		e.put(raw, conn)
	})
	e.engine.OnData(func(raw *nbio.Conn, data []byte) {
		if conn := e.get(raw); conn != nil {
			conn.onData(data)
		}
	})
	e.engine.OnClose(e.end)
	return e
}

// Start listens and serves.
func (e *Engine) Start() error {
	if err := e.engine.Start(); err != nil {
		return errors.WithType(errors.Trace(err), ErrListen)
	}
	return nil
}

// Stop ends all connections.
func (e *Engine) Stop() { e.engine.Stop() }

// Open opens a connection and writes first as soon as it is up. The handler
// hears of lines and of the end, also where the connection never came up; up
// hears of the connection before all else. It does not block.
func (e *Engine) Open(address string, first []byte, bound time.Duration, handler Handler, up func(*Conn)) {
	e.crew.Go(func() {
		dialer := net.Dialer{Timeout: bound, KeepAliveConfig: keepAlive}
		dialled, err := dialer.Dial("tcp", address)
		if err != nil {
			handler.Ended(err)
			return
		}
		worker.LimitSilence(dialled.(*net.TCPConn), silence)
		raw, err := nbio.NBConn(dialled)
		if err != nil {
			_ = dialled.Close()
			handler.Ended(err)
			return
		}
		conn := &Conn{raw: raw, handler: handler, longest: e.longest}
		e.put(raw, conn)
		up(conn)
		if _, err := e.engine.AddConn(raw); err != nil {
			e.end(raw, err)
			return
		}
		if len(first) > 0 {
			conn.Write(first)
		}
	})
}

const silence = 2 * time.Second

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

func (c *Conn) onData(data []byte) {
	if len(c.rest) > 0 {
		data = append(c.rest, data...)
		c.rest = nil
	}
	var lines [][]byte
	for {
		at := bytes.IndexByte(data, '\n')
		if at < 0 || at > c.longest {
			break
		}
		lines = append(lines, bytes.TrimSuffix(data[:at], []byte{'\r'}))
		data = data[at+1:]
	}
	if len(lines) > 0 {
		c.handler.Lines(lines)
	}
	if len(data) > c.longest {
		_ = c.raw.CloseWithError(ErrTooLong)
		return
	}
	if len(data) > 0 {
		c.rest = append([]byte(nil), data...)
	}
}
