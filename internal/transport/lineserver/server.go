package lineserver

import (
	"sync"

	"github.com/juju/errors"
	"github.com/lesismal/nbio"

	"tansyseam/internal/transport/worker"
)

// ErrListen says that the server's address cannot be listened on.
const ErrListen = errors.ConstError("address cannot be listened on")

const (
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
	accept        func(*Conn) Handler
	// mutex guards the sessions of the raw connections.
	mutex sync.Mutex
}

// closedEarly is the session of a raw connection that ended before its Conn was
// attached.
type closedEarly struct{ err error }

// NewServer returns a server for an address, which Start opens. With an empty
// address the server only dials. The function accept returns the handler of an
// accepted connection; lines may have maxLineLength bytes.
func NewServer(workers *worker.Group, address string, maxLineLength int, accept func(*Conn) Handler) *Server {
	config := nbio.Config{Network: "tcp", NPoller: 1, ReadBufferSize: readBufferSize, MaxWriteBufferSize: maxWriteBufferSize}
	if address != "" {
		config.Addrs = []string{address}
	}
	s := &Server{engine: nbio.NewEngine(config), workers: workers, maxLineLength: maxLineLength, accept: accept}
	s.engine.OnOpen(s.onOpen)
	s.engine.OnData(s.onData)
	s.engine.OnClose(s.detach)
	return s
}

// Start opens the address and serves. Its errors are of type ErrListen.
func (s *Server) Start() error {
	if err := s.engine.Start(); err != nil {
		return errors.WithType(errors.Trace(err), ErrListen)
	}
	return nil
}

// Stop closes the address and all connections.
func (s *Server) Stop() { s.engine.Stop() }

func (s *Server) onOpen(raw *nbio.Conn) {
	if s.connOf(raw) != nil {
		return // It was dialed.
	}
	conn := &Conn{raw: raw, maxLineLength: s.maxLineLength}
	conn.handler = s.accept(conn)
	s.attach(raw, conn)
}

func (s *Server) onData(raw *nbio.Conn, data []byte) {
	if conn := s.connOf(raw); conn != nil {
		conn.onData(data)
	}
}

// attach joins a Conn to its raw connection. If that has ended in the meantime,
// the handler is notified.
func (s *Server) attach(raw *nbio.Conn, conn *Conn) {
	s.mutex.Lock()
	early, closed := raw.Session().(closedEarly)
	conn.closed = closed
	if !closed {
		raw.SetSession(conn)
	}
	s.mutex.Unlock()
	if closed {
		conn.handler.OnClose(early.err)
	}
}

// detach notifies the handler of the end of a connection, once. If no Conn is
// attached yet, attach does it.
func (s *Server) detach(raw *nbio.Conn, err error) {
	s.mutex.Lock()
	conn, attached := raw.Session().(*Conn)
	notified := attached && conn.closed
	if attached {
		conn.closed = true
	} else {
		raw.SetSession(closedEarly{err})
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
