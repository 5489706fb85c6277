package standin

import (
	"net"
	"sync"
	"time"
)

// maxRepetitionDelay bounds the time between an answer and its repetition.
const maxRepetitionDelay = 60 * time.Millisecond

// repeatingListener accepts connections on which the instance may send answers twice.
type repeatingListener struct {
	net.Listener
	instance *Instance
}

// Accept waits for the next connection.
func (l *repeatingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatingConn{Conn: conn, instance: l.instance}, nil
}

// repeatingConn is a connection whose writes may be repeated. The server writes each of
// its small answers in one piece.
type repeatingConn struct {
	net.Conn
	instance *Instance
	// writing is held during a write, so that answers do not interleave.
	writing sync.Mutex
}

// Write writes an answer, and plans to write it again if the instance repeats it.
func (c *repeatingConn) Write(answer []byte) (int, error) {
	if delay, repeated := c.instance.drawRepetition(c); repeated {
		again := append([]byte(nil), answer...)
		time.AfterFunc(delay, func() { _, _ = c.write(again) })
	}
	return c.write(answer)
}

func (c *repeatingConn) write(answer []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.Conn.Write(answer)
}

// drawRepetition draws whether an answer on a connection is sent again, and after which
// time. Only the answers in sessions are.
func (i *Instance) drawRepetition(conn net.Conn) (delay time.Duration, repeated bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	stored, found := i.connections.Load(conn)
	if i.repeatedShare == 0 || !found || !stored.(*connection).open || i.random.Float64() >= i.repeatedShare {
		return 0, false
	}
	return time.Duration(i.random.Int64N(int64(maxRepetitionDelay))), true
}
