package linepool

import (
	"cmp"
	"slices"
	"time"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// Met takes a session that was accepted; nil says that the node has as many
// as it takes.
func (m *Machine) Accept(token any, now time.Duration) *Client {
	if len(m.clients) >= m.timing.MaxClients {
		m.count("clients_refused", 1)
		return nil
	}
	m.clientSerial++
	client := &Client{Token: token, state: lineproto.StateIdle, serial: m.clientSerial, lastUsed: now}
	m.clients[client] = true
	m.count("clients_met", 1)
	return client
}

// Gone tells that a client's session ended.
func (m *Machine) ClientLost(client *Client, now time.Duration) {
	if client.closed {
		return
	}
	client.closed = true
	delete(m.clients, client)
	client.pipelined = nil
	if request := client.request; request != nil {
		m.abandonRequest(request, now)
	}
	m.endTransaction(client, now)
}

func (m *Machine) closeClient(client *Client, now time.Duration) {
	if !client.closed {
		m.emit(CloseClient{Client: client})
		m.ClientLost(client, now)
	}
}

// Connect takes a client's connect.
func (m *Machine) Connect(client *Client, name string, now time.Duration) {
	if client.closed {
		return
	}
	if client.connected || client.binding != "" {
		m.ProtocolError(client, lineproto.CodeMalformed, "connected already", now)
		return
	}
	client.binding, client.lastUsed = name, now
	m.connecting = append(m.connecting, client)
	m.admitConnecting(now)
}

func (m *Machine) admitConnecting(now time.Duration) {
	if len(m.connecting) == 0 {
		return
	}
	leased := m.routing.HasLease(now)
	set := m.effectiveSet(now)
	var kept []*Client
	for _, client := range m.connecting {
		if client.closed {
			continue
		}
		if !leased || set.Sequence == 0 {
			if now-client.lastUsed < m.timing.ConnectWait && !m.isIsolated(now) {
				kept = append(kept, client)
				continue
			}
			m.count("clients_not_welcomed", 1)
			m.respondError(client, lineproto.CodeBusy, "not served now; come back in 500 ms", false)
			m.closeClient(client, now)
			continue
		}
		if _, found := set.Binding(client.binding); !found {
			m.respondError(client, lineproto.CodeUnknownDatabase, client.binding, false)
			m.closeClient(client, now)
			continue
		}
		client.connected = true
		m.respond(client, lineproto.Message{Kind: lineproto.KindReady, State: client.state})
	}
	m.connecting = kept
}

// Bad takes a message that makes no sense; it is answered and the session
// ends.
func (m *Machine) ProtocolError(client *Client, code lineproto.Code, text string, now time.Duration) {
	if client.closed {
		return
	}
	m.count("clients_malformed", 1)
	m.respondError(client, code, text, false)
	m.closeClient(client, now)
}

// Query takes a client's query.
func (m *Machine) Query(client *Client, query Query, now time.Duration) {
	if client.closed {
		return
	}
	if !client.connected {
		m.ProtocolError(client, lineproto.CodeMalformed, "not connected", now)
		return
	}
	if client.request != nil {
		if len(client.pipelined) >= m.timing.MaxPipelined {
			m.ProtocolError(client, lineproto.CodeTooMuchInput, "too much sent ahead", now)
			return
		}
		client.pipelined = append(client.pipelined, query)
		return
	}
	client.lastUsed = now
	m.handleQuery(client, query, now)
}

func (m *Machine) handlePipelined(client *Client, now time.Duration) {
	client.lastUsed = now
	for len(client.pipelined) > 0 && client.request == nil && !client.closed {
		query := client.pipelined[0]
		client.pipelined = client.pipelined[1:]
		m.handleQuery(client, query, now)
	}
}

func (m *Machine) respond(client *Client, messages ...lineproto.Message) {
	if !client.closed {
		m.emit(Respond{Client: client, Messages: messages})
	}
}

func (m *Machine) readyMessage(client *Client, position model.Position) lineproto.Message {
	return lineproto.Message{Kind: lineproto.KindReady, State: client.state, Position: position}
}

func (m *Machine) respondError(client *Client, code lineproto.Code, text string, withReady bool) {
	messages := []lineproto.Message{{Kind: lineproto.KindError, Code: code, Text: text}}
	if withReady {
		messages = append(messages, m.readyMessage(client, model.Position{}))
	}
	m.respond(client, messages...)
}

func (m *Machine) respondDone(client *Client) {
	m.respond(client, lineproto.Message{Kind: lineproto.KindDone, Payload: "-"}, m.readyMessage(client, model.Position{}))
}

type queryHandler func(m *Machine, client *Client, query Query, now time.Duration)

var queryHandlers map[lineproto.Action]queryHandler

func init() {
	queryHandlers = map[lineproto.Action]queryHandler{
		lineproto.ActionBegin:         func(m *Machine, client *Client, _ Query, now time.Duration) { m.begin(client, false, now) },
		lineproto.ActionBeginReadOnly: func(m *Machine, client *Client, _ Query, now time.Duration) { m.begin(client, true, now) },
		lineproto.ActionCommit:        (*Machine).commit,
		lineproto.ActionRollback:      func(m *Machine, client *Client, _ Query, now time.Duration) { m.rollback(client, now) },
		lineproto.ActionSet: func(m *Machine, client *Client, query Query, _ time.Duration) {
			if client.variables == nil {
				client.variables = map[string]string{}
			}
			client.variables[query.Statement.Name] = query.Statement.Value
			m.respondDone(client)
		},
		lineproto.ActionPrepare: func(m *Machine, client *Client, query Query, _ time.Duration) {
			if client.prepared == nil {
				client.prepared = map[string]preparedStatement{}
			}
			client.prepared[query.Statement.Name] = preparedStatement{text: query.Statement.PreparedText, write: query.Statement.Write}
			m.respondDone(client)
		},
		lineproto.ActionDeallocate: func(m *Machine, client *Client, query Query, _ time.Duration) {
			if _, found := client.prepared[query.Statement.Name]; !found {
				m.respondError(client, lineproto.CodeNotFound, query.Statement.Name, true)
				return
			}
			delete(client.prepared, query.Statement.Name)
			m.respondDone(client)
		},
		lineproto.ActionRead:    (*Machine).statement,
		lineproto.ActionWrite:   (*Machine).statement,
		lineproto.ActionExecute: (*Machine).statement,
	}
}

func (m *Machine) handleQuery(client *Client, query Query, now time.Duration) {
	act, found := queryHandlers[query.Statement.Action]
	isEnd := query.Statement.Action == lineproto.ActionCommit || query.Statement.Action == lineproto.ActionRollback
	if !found || (client.state == lineproto.StateFailed && !isEnd) {
		if client.state == lineproto.StateInTransaction {
			m.failTransaction(client, now)
		}
		m.respondError(client, lineproto.CodeMalformed, "not taken in this state", true)
		return
	}
	act(m, client, query, now)
}

func (m *Machine) begin(client *Client, isRead bool, now time.Duration) {
	if client.state != lineproto.StateIdle {
		m.failTransaction(client, now)
		m.respondError(client, lineproto.CodeMalformed, "inside a transaction already", true)
		return
	}
	client.state, client.transaction = lineproto.StateInTransaction, &transactionState{readOnly: isRead}
	m.respondDone(client)
}

func (m *Machine) failTransaction(client *Client, now time.Duration) {
	m.endTransaction(client, now)
	client.state = lineproto.StateFailed
}

// endTurn gives up a client's transaction where it has one: what an instance
// holds of it is rolled back.
func (m *Machine) endTransaction(client *Client, now time.Duration) {
	transaction := client.transaction
	client.transaction = nil
	if transaction == nil || transaction.conn == nil {
		return
	}
	conn := transaction.conn
	transaction.conn = nil
	conn.owner = nil
	if conn.state != connIdle || conn.attempt != nil {
		m.closeConn(conn, now)
		return
	}
	conn.dirty = conn.dirty || conn.changed
	m.send(conn, nil, []Command{{Kind: CommandRollback}})
}

func (m *Machine) rollback(client *Client, now time.Duration) {
	if client.state == lineproto.StateIdle {
		m.respondError(client, lineproto.CodeMalformed, "no transaction", true)
		return
	}
	m.endTransaction(client, now)
	client.state = lineproto.StateIdle
	m.respondDone(client)
}

func (m *Machine) commit(client *Client, query Query, now time.Duration) {
	if client.state == lineproto.StateIdle {
		m.respondError(client, lineproto.CodeMalformed, "no transaction", true)
		return
	}
	if client.state == lineproto.StateFailed || client.transaction.lost {
		m.endTransaction(client, now)
		client.state = lineproto.StateIdle
		m.respondError(client, lineproto.CodeAborted, "the transaction had failed; nothing is kept", true)
		return
	}
	m.submit(&Request{client: client, query: query, commit: true, transaction: client.transaction}, now)
}

func (m *Machine) statement(client *Client, query Query, now time.Duration) {
	request := &Request{client: client, query: query, write: query.Statement.Action == lineproto.ActionWrite, transaction: client.transaction}
	if query.Statement.Action == lineproto.ActionExecute {
		held, found := client.prepared[query.Statement.Name]
		if !found {
			if client.transaction != nil {
				m.failTransaction(client, now)
			}
			m.respondError(client, lineproto.CodeNotFound, query.Statement.Name, true)
			return
		}
		request.prepared, request.write = held, held.write
	}
	if client.transaction != nil && client.transaction.lost {
		m.failTransaction(client, now)
		m.respondError(client, lineproto.CodeAborted, "the transaction was lost with its instance; nothing is kept", true)
		return
	}
	m.submit(request, now)
}

// Leave makes the node unready; after a while sessions end as they rest.
func (m *Machine) Drain(now time.Duration) {
	if !m.draining {
		m.draining, m.drainStarted = true, now
	}
}

func (m *Machine) closeIdleClients(now time.Duration) {
	m.admitConnecting(now)
	isDue := now-m.lastIdleCheck > 200*time.Millisecond
	if !isDue && !m.draining {
		return
	}
	m.lastIdleCheck = now
	inside := m.idleInTransactionLimit(now)
	for _, client := range m.clientsBySerial() {
		isResting := client.transaction != nil && client.request == nil && now-client.lastUsed > inside
		if isResting && !client.transaction.lost {
			m.count("transactions_rested_out", 1)
			m.loseTransaction(client, now)
		}
	}
	past := now - m.drainStarted
	if !m.draining || past < m.timing.Linger {
		return
	}
	for _, client := range m.clientsBySerial() {
		isIdle := client.state == lineproto.StateIdle && client.request == nil && len(client.pipelined) == 0
		isOut := past > m.timing.EndTransactions && client.request == nil
		if isIdle || isOut || past > m.timing.EndSessions {
			m.closeClient(client, now)
		}
	}
}

func (m *Machine) idleInTransactionLimit(now time.Duration) time.Duration {
	if bound := m.effectiveSet(now).Limits.TransactionIdleTimeout; bound > 0 {
		return bound
	}
	return m.timing.IdleInTransaction
}

func (m *Machine) clientsBySerial() []*Client {
	list := make([]*Client, 0, len(m.clients))
	for client := range m.clients {
		list = append(list, client)
	}
	slices.SortFunc(list, func(a, b *Client) int { return cmp.Compare(a.serial, b.serial) })
	return list
}

// IsDrained says whether no session is left.
func (m *Machine) IsDrained() bool { return len(m.clients) == 0 }

// Bye takes a client's good-bye.
func (m *Machine) Terminate(client *Client, now time.Duration) { m.closeClient(client, now) }
