package lineserver

import (
	"sync"
	"sync/atomic"
	"syscall"

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
	// mutex guards the session that nbio stores with each raw connection, and the fields
	// of each Conn that are marked so.
	mutex sync.Mutex
	// unsentAtClose is the number of bytes that were written to connections which
	// were closed before the bytes were sent.
	unsentAtClose atomic.Int64
	// accepted is the number of accepted connections that are not closed.
	accepted atomic.Int64
	// sending is the number of connections in a graceful close that have bytes to send.
	sending atomic.Int64
	// loneLineFeeds is the number of received LF characters inside lines.
	loneLineFeeds atomic.Int64
}

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
	s.engine.OnWrittenSize(onSent)
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

// LoneLineFeeds returns the number of LF characters that were received inside lines.
func (s *Server) LoneLineFeeds() int64 { return s.loneLineFeeds.Load() }

// Accepted returns the number of accepted connections that are open, or in a graceful
// close.
func (s *Server) Accepted() int { return int(s.accepted.Load()) }

// Sending returns the number of connections in a graceful close that have bytes to
// send.
func (s *Server) Sending() int { return int(s.sending.Load()) }

// Stop closes the listener and all connections.
func (s *Server) Stop() { s.engine.Stop() }

func (s *Server) onOpen(raw *nbio.Conn) {
	if s.connOf(raw) != nil {
		return // The connection was dialed and has its Conn already.
	}
	conn := s.newConn(raw, true)
	s.attach(conn, s.newHandler(conn))
}

// onSent needs no mutex: a connection has its Conn before anything is written to it.
func onSent(raw *nbio.Conn, _ []byte, size int) {
	if conn, ok := raw.Session().(*Conn); ok {
		conn.onSent(size)
	}
}

func (s *Server) onData(raw *nbio.Conn, data []byte) {
	if conn := s.connOf(raw); conn != nil {
		conn.onData(data)
	}
}

// newConn returns the Conn of a raw connection. It has no handler yet.
func (s *Server) newConn(raw *nbio.Conn, accepted bool) *Conn {
	conn := &Conn{server: s, raw: raw, accepted: accepted, maxLineLength: s.maxLineLength}
	if accepted {
		s.accepted.Add(1)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	raw.SetSession(conn)
	return conn
}

// attach sets the handler of a connection. If the connection has been closed in the
// meantime, attach notifies the handler.
func (s *Server) attach(conn *Conn, handler Handler) {
	s.mutex.Lock()
	conn.handler = handler
	closed := conn.closed
	s.mutex.Unlock()
	if closed {
		handler.OnClose(conn.closeError)
	}
}

// detach notifies the handler that the connection was closed, once. If the connection
// has no handler yet, attach notifies it later.
func (s *Server) detach(raw *nbio.Conn, err error) {
	if conn := s.connOf(raw); conn != nil && s.markClosed(conn, err) {
		conn.handler.OnClose(err)
	}
}

// markClosed records that a connection was closed. It returns true if a handler is to be
// notified of it.
func (s *Server) markClosed(conn *Conn, err error) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if conn.closed {
		return false
	}
	conn.closed, conn.closeError = true, err
	s.unsentAtClose.Add(conn.unsent.Load())
	s.clearSending(conn)
	if conn.accepted {
		s.accepted.Add(-1)
	}
	return conn.handler != nil
}

// clearSending records that a connection has no bytes to send any more. The caller
// holds the mutex.
func (s *Server) clearSending(conn *Conn) {
	if conn.sending {
		conn.sending = false
		s.sending.Add(-1)
	}
}

// beginClose records the start of a graceful close.
func (s *Server) beginClose(conn *Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !conn.closed {
		conn.sending = true
		s.sending.Add(1)
	}
}

// endWriting ends the sending direction of a connection, so that the remote end receives
// the end of the connection after everything that was sent. The mutex keeps the socket
// open meanwhile: the engine calls detach before it closes a socket.
func (s *Server) endWriting(conn *Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if conn.closed {
		return
	}
	s.clearSending(conn)
	socket, err := conn.raw.SyscallConn()
	if err != nil {
		return
	}
	_ = socket.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_WR) })
}

func (s *Server) connOf(raw *nbio.Conn) *Conn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	conn, _ := raw.Session().(*Conn)
	return conn
}
