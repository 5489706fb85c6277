package httpserver

import (
	"sync/atomic"

	"github.com/lesismal/nbio"
)

// orderConnectionHandoff makes what was written before a connection was handed
// to a poller visible to that poller by Go's memory model. The kernel orders the
// two already, by epoll_ctl before epoll_wait, which the model does not know.
func orderConnectionHandoff(engine *nbio.Engine) {
	var opened atomic.Uint64
	engine.OnOpen(func(*nbio.Conn) { opened.Add(1) })
	engine.OnReadBufferAlloc(func(conn *nbio.Conn) *[]byte {
		opened.Load()
		return engine.PollerBufferPtr(conn)
	})
}
