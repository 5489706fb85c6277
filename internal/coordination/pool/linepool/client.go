package linepool

import (
	"cmp"
	"slices"
	"time"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// Client is one client session.
type Client struct {
	// Token is for the caller of Accept; the machine does not use it.
	Token any
	// binding is the name of the binding in the client's connect request.
	binding string
	// variables and prepared are the client's session state. They are applied
	// to a connection before the client's statements run on it.
	variables map[string]string
	prepared  map[string]preparedStatement
	// ownCommits maps the name of a database to the client's last confirmed
	// commit there.
	ownCommits  map[string]ownCommit
	state       byte
	transaction *transactionState
	// request is the statement that is being served, or nil. pipelined holds
	// the queries that the client sent before that statement was answered.
	request   *Request
	pipelined []Query
	// serial is the client's number in order of arrival.
	serial    uint64
	lastUsed  time.Duration
	connected bool
	closed    bool
	// rejected is true if the node has rejected a statement because it stops.
	rejected bool
}

type preparedStatement struct {
	text  string
	write bool
}

type ownCommit struct {
	position model.Position
	at       time.Duration
}

// Accept adds a client session that has been opened. It returns nil if the node
// has reached Timing.MaxClients.
func (m *Machine) Accept(token any, now time.Duration) *Client {
	if len(m.clients) >= m.timing.MaxClients {
		m.Count("clients_refused", 1)
		return nil
	}
	m.clientSerial++
	client := &Client{Token: token, state: lineproto.StateIdle, serial: m.clientSerial, lastUsed: now}
	m.clients[client] = true
	m.Count("clients_met", 1)
	return client
}

// Clients returns the number of client sessions.
func (m *Machine) Clients() int { return len(m.clients) }

// ClientLost removes a client whose connection has ended.
func (m *Machine) ClientLost(client *Client, now time.Duration) {
	if client.closed {
		return
	}
	client.closed = true
	delete(m.clients, client)
	client.pipelined = nil
	if client.request != nil {
		m.finish(client.request)
	}
	m.endTransaction(client, now)
}

// Terminate ends the session of a client that has requested it.
func (m *Machine) Terminate(client *Client, now time.Duration) {
	if !client.closed {
		m.Emit(CloseClient{Client: client, Requested: true})
		m.ClientLost(client, now)
	}
}

// ProtocolError answers an invalid message with an error and closes the
// session.
func (m *Machine) ProtocolError(client *Client, code lineproto.Code, text string, now time.Duration) {
	m.protocolError(client, clientError{code, text}, now)
}

func (m *Machine) protocolError(client *Client, err clientError, now time.Duration) {
	if client.closed {
		return
	}
	m.Count("clients_malformed", 1)
	m.closeWithError(client, err, now)
}

func (m *Machine) closeWithError(client *Client, err clientError, now time.Duration) {
	m.respond(client, err.message())
	m.closeClient(client, now)
}

func (m *Machine) closeClient(client *Client, now time.Duration) {
	if !client.closed {
		m.Emit(CloseClient{Client: client})
		m.ClientLost(client, now)
	}
}

// Connect handles a client's connect request, which names the binding that the
// client uses. The request is answered once the node has a lease and bindings.
func (m *Machine) Connect(client *Client, binding string, now time.Duration) {
	if client.closed {
		return
	}
	if client.connected || client.isConnecting() {
		m.protocolError(client, errAlreadyConnected, now)
		return
	}
	client.binding, client.lastUsed = binding, now
	m.connecting = append(m.connecting, client)
	m.admitConnecting(now)
}

// isConnecting reports whether the client's connect request waits for its answer.
func (c *Client) isConnecting() bool { return c.binding != "" && !c.connected }

// admitConnecting answers the connect requests that can be answered now, and
// rejects those that have waited for too long.
func (m *Machine) admitConnecting(now time.Duration) {
	if len(m.connecting) == 0 {
		return
	}
	leased := m.Routing().HasLease(now)
	set := m.EffectiveSet(now)
	var waiting []*Client
	for _, client := range m.connecting {
		if client.closed {
			continue
		}
		if m.rejectsNewWork(now) {
			m.closeWithError(client, errStopping, now)
			continue
		}
		if leased && set.Sequence != 0 {
			m.answerConnect(client, set, now)
			continue
		}
		if now-client.lastUsed < m.timing.ConnectWait && !m.isIsolated(now) {
			waiting = append(waiting, client)
			continue
		}
		m.Count("clients_not_welcomed", 1)
		m.closeWithError(client, errNotServed, now)
	}
	m.connecting = waiting
}

func (m *Machine) answerConnect(client *Client, set model.BindingSet, now time.Duration) {
	if _, found := set.Binding(client.binding); !found {
		m.closeWithError(client, errUnknownBinding(client.binding), now)
		return
	}
	client.connected, client.lastUsed = true, now
	m.respond(client, lineproto.Message{Kind: lineproto.KindReady, State: client.state})
}

func (m *Machine) respond(client *Client, messages ...lineproto.Message) {
	if !client.closed {
		m.Emit(Respond{Client: client, Messages: messages})
	}
}

// respondError sends an error that leaves the session open.
func (m *Machine) respondError(client *Client, err clientError) {
	m.respond(client, err.message(), readyMessage(client, model.Position{}))
}

// respondDone answers a statement that the node has handled without an
// instance.
func (m *Machine) respondDone(client *Client) {
	m.respond(client, lineproto.Message{Kind: lineproto.KindDone, Payload: lineproto.NoStamp}, readyMessage(client, model.Position{}))
}

func readyMessage(client *Client, position model.Position) lineproto.Message {
	return lineproto.Message{Kind: lineproto.KindReady, State: client.state, Position: position}
}

// clientsBySerial returns the clients in order of arrival, so that operations
// on all clients do not depend on the iteration order of a map.
func (m *Machine) clientsBySerial() []*Client {
	clients := make([]*Client, 0, len(m.clients))
	for client := range m.clients {
		clients = append(clients, client)
	}
	slices.SortFunc(clients, func(a, b *Client) int { return cmp.Compare(a.serial, b.serial) })
	return clients
}
