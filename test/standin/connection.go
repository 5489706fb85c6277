package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
)

type transaction struct {
	id         string
	requestIDs []string
	statements []string
}

// connection is the database session of one TCP connection.
type connection struct {
	id          string
	open        bool
	settings    map[string]string
	prepared    map[string]string
	transaction *transaction
}

type connectionKey struct{}

func (c *connection) isClean() bool {
	return c.transaction == nil && len(c.settings) == 0 && len(c.prepared) == 0
}

func (x *Instance) onConnectionOpened(ctx context.Context, raw net.Conn) context.Context {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.connectionCount++
	opened := &connection{
		id:       fmt.Sprintf("%s#%d#%d", x.config.Name, os.Getpid(), x.connectionCount),
		settings: map[string]string{}, prepared: map[string]string{},
	}
	x.connections.Store(raw, opened)
	return context.WithValue(ctx, connectionKey{}, opened)
}

func (x *Instance) onConnectionState(raw net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	if closed, found := x.connections.LoadAndDelete(raw); found {
		x.onConnectionClosed(closed.(*connection))
	}
}

func (x *Instance) onConnectionClosed(c *connection) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if c.open {
		x.openCount--
		c.open = false
	}
	c.transaction = nil
}
