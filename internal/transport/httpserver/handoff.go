package httpserver

import (
	"sync/atomic"

	"github.com/lesismal/nbio"
)

// syncConnectionHandoff makes the writes before the handoff of a connection to a
// poller, up to OnOpen, visible to that poller, as Go's memory model requires. The
// kernel already orders the handoff by epoll_ctl before epoll_wait, but Go's memory
// model does not cover these calls. OnOpen therefore adds to an atomic counter, which
// the poller loads before it reads from the connection.
func syncConnectionHandoff(engine *nbio.Engine) {
	var openedConnections atomic.Uint64
	engine.OnOpen(func(*nbio.Conn) { openedConnections.Add(1) })
	engine.OnReadBufferAlloc(func(conn *nbio.Conn) *[]byte {
		openedConnections.Load()
		return engine.PollerBufferPtr(conn)
	})
}
