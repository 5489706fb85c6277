package lineserver

import (
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/lesismal/nbio"

	"tansyseam/internal/transport/worker"
)

// ErrListen is returned when the server cannot listen on its address.
const ErrListen = errors.ConstError("cannot listen on address")

const (
	// readBufferSize is the size of the event loop's read buffer, in bytes.
	readBufferSize = 16 << 10
	// maxWriteBufferSize is the number of queued bytes at which a connection whose
	// remote end does not read is closed.
	maxWriteBufferSize = 4 << 20
)

// Server serves all line connections of a process.
type Server struct {
	engine        *nbio.Engine
	workers       *worker.Group
	maxLineLength int
	newHandler    func(*Conn) Handler
	// mutex guards the session that nbio stores with each raw connection, and the field
	// closed of each Conn.
	mutex sync.Mutex
	// unsentAtClose is the number of bytes that were written to connections which
	// were closed before the bytes were sent.
	unsentAtClose atomic.Int64
}

// closedBeforeAttach is the session of a raw connection that was closed before its
// Conn was attached.
type closedBeforeAttach struct{ err error }

// NewServer returns a server for an address, which Start opens. With an empty
// address the server only dials. newHandler returns the handler of an accepted
// connection. A line may have up to maxLineLength bytes.
func NewServer(workers *worker.Group, address string, maxLineLength int, newHandler func(*Conn) Handler) *Server {
	config := nbio.Config{Network: "tcp", NPoller: 1, ReadBufferSize: readBufferSize, MaxWriteBufferSize: maxWriteBufferSize}
	if address != "" {
		config.Addrs = []string{address}
	}
	s := &Server{engine: nbio.NewEngine(config), workers: workers, maxLineLength: maxLineLength, newHandler: newHandler}
	s.engine.OnOpen(s.onOpen)
	s.engine.OnData(s.onData)
	s.engine.OnClose(s.detach)
	s.engine.OnWrittenSize(func(raw *nbio.Conn, _ []byte, size int) {
		if conn := s.connOf(raw); conn != nil {
			conn.unsent.Add(-int64(size))
		}
	})
	return s
}

// Start listens on the address and serves connections. Its errors are of type
// ErrListen.
func (s *Server) Start() error {
	if err := s.engine.Start(); err != nil {
		return errors.WithType(errors.Trace(err), ErrListen)
	}
	return nil
}

// UnsentAtClose returns the number of bytes that were written to connections which
// were closed before the bytes were sent.
func (s *Server) UnsentAtClose() int64 { return s.unsentAtClose.Load() }

// Stop closes the listener and all connections.
func (s *Server) Stop() { s.engine.Stop() }

func (s *Server) onOpen(raw *nbio.Conn) {
	if s.connOf(raw) != nil {
		return // The connection was dialed and has its Conn already.
	}
	conn := &Conn{raw: raw, maxLineLength: s.maxLineLength}
	conn.handler = s.newHandler(conn)
	s.attach(raw, conn)
}

func (s *Server) onData(raw *nbio.Conn, data []byte) {
	if conn := s.connOf(raw); conn != nil {
		conn.onData(data)
	}
}

// attach makes a Conn the session of its raw connection. If the raw connection has
// been closed in the meantime, attach notifies the handler.
func (s *Server) attach(raw *nbio.Conn, conn *Conn) {
	s.mutex.Lock()
	earlyClose, closed := raw.Session().(closedBeforeAttach)
	conn.closed = closed
	if !closed {
		raw.SetSession(conn)
	}
	s.mutex.Unlock()
	if closed {
		conn.handler.OnClose(earlyClose.err)
	}
}

// detach notifies the handler that the connection was closed, once. If no Conn is
// attached yet, attach notifies the handler later.
func (s *Server) detach(raw *nbio.Conn, err error) {
	s.mutex.Lock()
	conn, attached := raw.Session().(*Conn)
	notified := attached && conn.closed
	if attached && !notified {
		conn.closed = true
		s.unsentAtClose.Add(conn.unsent.Load())
	}
	if !attached {
		raw.SetSession(closedBeforeAttach{err})
	}
	s.mutex.Unlock()
	if attached && !notified {
		conn.handler.OnClose(err)
	}
}

func (s *Server) connOf(raw *nbio.Conn) *Conn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	conn, _ := raw.Session().(*Conn)
	return conn
}
