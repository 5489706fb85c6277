package lineserver

import (
	"net"
	"time"

	"tansyseam/internal/transport/tcp"
)

// userTimeout is how long sent bytes may stay unacknowledged before a dialed
// connection is closed.
const userTimeout = 2 * time.Second

// Dial opens a connection and sends initialData as soon as the connection is open. It
// does not block. onConnect is called with the connection before any method of the
// handler. If the connection cannot be opened within timeout, only the handler's
// OnClose is called.
func (s *Server) Dial(address string, initialData []byte, timeout time.Duration, handler Handler, onConnect func(*Conn)) {
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: tcp.KeepAlive}
	s.workers.Go(func() {
		raw, err := tcp.Dial(dialer, address, userTimeout)
		if err != nil {
			handler.OnClose(err)
			return
		}
		conn := s.newConn(raw, false)
		s.attach(conn, handler)
		onConnect(conn)
		if _, err := s.engine.AddConn(raw); err != nil {
			s.detach(raw, err)
			return
		}
		if len(initialData) > 0 {
			conn.Write(initialData)
		}
	})
}
