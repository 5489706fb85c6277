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

func (i *Instance) onConnectionOpened(ctx context.Context, conn net.Conn) context.Context {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.connectionCount++
	opened := &connection{
		id:       fmt.Sprintf("%s#%d#%d", i.config.Name, os.Getpid(), i.connectionCount),
		settings: map[string]string{}, prepared: map[string]string{},
	}
	i.connections.Store(conn, opened)
	return context.WithValue(ctx, connectionKey{}, opened)
}

func (i *Instance) onConnectionState(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	if closed, found := i.connections.LoadAndDelete(conn); found {
		i.onConnectionClosed(closed.(*connection))
	}
}

func (i *Instance) onConnectionClosed(c *connection) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if c.open {
		i.openCount--
		c.open = false
	}
	c.transaction = nil
}
