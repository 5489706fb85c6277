package lineserver

import (
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/lesismal/nbio"

	"tansyseam/internal/transport/tcp"
)

// userTimeout is how long sent bytes may stay unacknowledged before a dialed
// connection is given up.
const userTimeout = 2 * time.Second

// Dial opens a connection and sends the bytes in first as soon as it is open. It
// does not block. onConnect is called with the connection before any other call;
// if the connection cannot be opened within timeout, only the handler's OnClose
// is called.
func (s *Server) Dial(address string, first []byte, timeout time.Duration, handler Handler, onConnect func(*Conn)) {
	s.workers.Go(func() {
		raw, err := dial(address, timeout)
		if err != nil {
			handler.OnClose(err)
			return
		}
		conn := &Conn{raw: raw, handler: handler, maxLineLength: s.maxLineLength}
		s.attach(raw, conn)
		onConnect(conn)
		if _, err := s.engine.AddConn(raw); err != nil {
			s.detach(raw, err)
			return
		}
		if len(first) > 0 {
			conn.Write(first)
		}
	})
}

func dial(address string, timeout time.Duration) (*nbio.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: tcp.KeepAlive}
	dialed, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	tcp.SetUserTimeout(dialed.(*net.TCPConn), userTimeout)
	raw, err := nbio.NBConn(dialed)
	if err != nil {
		_ = dialed.Close()
		return nil, errors.Trace(err)
	}
	return raw, nil
}
