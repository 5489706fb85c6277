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
	made := &Client{Token: token, state: lineproto.StateIdle, serial: m.clientSerial, lastUsed: now}
	m.clients[made] = true
	m.count("clients_met", 1)
	return made
}

// Gone tells that a client's session ended.
func (m *Machine) ClientLost(c *Client, now time.Duration) {
	if c.closed {
		return
	}
	c.closed = true
	delete(m.clients, c)
	c.pipelined = nil
	if request := c.request; request != nil {
		m.abandonRequest(request, now)
	}
	m.endTransaction(c, now)
}

func (m *Machine) closeClient(c *Client, now time.Duration) {
	if !c.closed {
		m.emit(CloseClient{Client: c})
		m.ClientLost(c, now)
	}
}

// Connect takes a client's connect.
func (m *Machine) Connect(c *Client, name string, now time.Duration) {
	if c.closed {
		return
	}
	if c.connected || c.binding != "" {
		m.ProtocolError(c, lineproto.CodeMalformed, "connected already", now)
		return
	}
	c.binding, c.lastUsed = name, now
	m.connecting = append(m.connecting, c)
	m.admitConnecting(now)
}

func (m *Machine) admitConnecting(now time.Duration) {
	if len(m.connecting) == 0 {
		return
	}
	leased := m.routing.HasLease(now)
	set := m.effectiveSet(now)
	var kept []*Client
	for _, c := range m.connecting {
		if c.closed {
			continue
		}
		if !leased || set.Sequence == 0 {
			if now-c.lastUsed < m.timing.ConnectWait && !m.isIsolated(now) {
				kept = append(kept, c)
				continue
			}
			m.count("clients_not_welcomed", 1)
			m.respondError(c, lineproto.CodeBusy, "not served now; come back in 500 ms", false)
			m.closeClient(c, now)
			continue
		}
		if _, found := set.Binding(c.binding); !found {
			m.respondError(c, lineproto.CodeUnknownDatabase, c.binding, false)
			m.closeClient(c, now)
			continue
		}
		c.connected = true
		m.respond(c, lineproto.Message{Kind: lineproto.KindReady, State: c.state})
	}
	m.connecting = kept
}

// Bad takes a message that makes no sense; it is answered and the session
// ends.
func (m *Machine) ProtocolError(c *Client, code lineproto.Code, text string, now time.Duration) {
	if c.closed {
		return
	}
	m.count("clients_malformed", 1)
	m.respondError(c, code, text, false)
	m.closeClient(c, now)
}

// Query takes a client's query.
func (m *Machine) Query(c *Client, query Query, now time.Duration) {
	if c.closed {
		return
	}
	if !c.connected {
		m.ProtocolError(c, lineproto.CodeMalformed, "not connected", now)
		return
	}
	if c.request != nil {
		if len(c.pipelined) >= m.timing.MaxPipelined {
			m.ProtocolError(c, lineproto.CodeTooMuchInput, "too much sent ahead", now)
			return
		}
		c.pipelined = append(c.pipelined, query)
		return
	}
	c.lastUsed = now
	m.handleQuery(c, query, now)
}

func (m *Machine) handlePipelined(c *Client, now time.Duration) {
	c.lastUsed = now
	for len(c.pipelined) > 0 && c.request == nil && !c.closed {
		query := c.pipelined[0]
		c.pipelined = c.pipelined[1:]
		m.handleQuery(c, query, now)
	}
}

func (m *Machine) respond(c *Client, messages ...lineproto.Message) {
	if !c.closed {
		m.emit(Respond{Client: c, Messages: messages})
	}
}

func (m *Machine) readyMessage(c *Client, position model.Position) lineproto.Message {
	return lineproto.Message{Kind: lineproto.KindReady, State: c.state, Position: position}
}

func (m *Machine) respondError(c *Client, code lineproto.Code, text string, withReady bool) {
	messages := []lineproto.Message{{Kind: lineproto.KindError, Code: code, Text: text}}
	if withReady {
		messages = append(messages, m.readyMessage(c, model.Position{}))
	}
	m.respond(c, messages...)
}

func (m *Machine) respondDone(c *Client) {
	m.respond(c, lineproto.Message{Kind: lineproto.KindDone, Payload: "-"}, m.readyMessage(c, model.Position{}))
}

type queryHandler func(m *Machine, c *Client, query Query, now time.Duration)

var queryHandlers map[lineproto.Action]queryHandler

func init() {
	queryHandlers = map[lineproto.Action]queryHandler{
		lineproto.ActionBegin:         func(m *Machine, c *Client, _ Query, now time.Duration) { m.begin(c, false, now) },
		lineproto.ActionBeginReadOnly: func(m *Machine, c *Client, _ Query, now time.Duration) { m.begin(c, true, now) },
		lineproto.ActionCommit:        (*Machine).commit,
		lineproto.ActionRollback:      func(m *Machine, c *Client, _ Query, now time.Duration) { m.rollback(c, now) },
		lineproto.ActionSet: func(m *Machine, c *Client, query Query, _ time.Duration) {
			if c.variables == nil {
				c.variables = map[string]string{}
			}
			c.variables[query.Statement.Name] = query.Statement.Value
			m.respondDone(c)
		},
		lineproto.ActionPrepare: func(m *Machine, c *Client, query Query, _ time.Duration) {
			if c.prepared == nil {
				c.prepared = map[string]preparedStatement{}
			}
			c.prepared[query.Statement.Name] = preparedStatement{text: query.Statement.PreparedText, write: query.Statement.Write}
			m.respondDone(c)
		},
		lineproto.ActionDeallocate: func(m *Machine, c *Client, query Query, _ time.Duration) {
			if _, found := c.prepared[query.Statement.Name]; !found {
				m.respondError(c, lineproto.CodeNotFound, query.Statement.Name, true)
				return
			}
			delete(c.prepared, query.Statement.Name)
			m.respondDone(c)
		},
		lineproto.ActionRead:    (*Machine).statement,
		lineproto.ActionWrite:   (*Machine).statement,
		lineproto.ActionExecute: (*Machine).statement,
	}
}

func (m *Machine) handleQuery(c *Client, query Query, now time.Duration) {
	act, found := queryHandlers[query.Statement.Action]
	isEnd := query.Statement.Action == lineproto.ActionCommit || query.Statement.Action == lineproto.ActionRollback
	if !found || (c.state == lineproto.StateFailed && !isEnd) {
		if c.state == lineproto.StateInTransaction {
			m.failTransaction(c, now)
		}
		m.respondError(c, lineproto.CodeMalformed, "not taken in this state", true)
		return
	}
	act(m, c, query, now)
}

func (m *Machine) begin(c *Client, isRead bool, now time.Duration) {
	if c.state != lineproto.StateIdle {
		m.failTransaction(c, now)
		m.respondError(c, lineproto.CodeMalformed, "inside a transaction already", true)
		return
	}
	c.state, c.transaction = lineproto.StateInTransaction, &transaction{readOnly: isRead}
	m.respondDone(c)
}

func (m *Machine) failTransaction(c *Client, now time.Duration) {
	m.endTransaction(c, now)
	c.state = lineproto.StateFailed
}

// endTurn gives up a client's transaction where it has one: what an instance
// holds of it is rolled back.
func (m *Machine) endTransaction(c *Client, now time.Duration) {
	held := c.transaction
	c.transaction = nil
	if held == nil || held.conn == nil {
		return
	}
	conn := held.conn
	held.conn = nil
	conn.owner = nil
	if conn.state != connIdle || conn.attempt != nil {
		m.closeConn(conn, now)
		return
	}
	conn.dirty = conn.dirty || conn.changed
	m.send(conn, nil, []Command{{Kind: CommandRollback}})
}

func (m *Machine) rollback(c *Client, now time.Duration) {
	if c.state == lineproto.StateIdle {
		m.respondError(c, lineproto.CodeMalformed, "no transaction", true)
		return
	}
	m.endTransaction(c, now)
	c.state = lineproto.StateIdle
	m.respondDone(c)
}

func (m *Machine) commit(c *Client, query Query, now time.Duration) {
	if c.state == lineproto.StateIdle {
		m.respondError(c, lineproto.CodeMalformed, "no transaction", true)
		return
	}
	if c.state == lineproto.StateFailed || c.transaction.lost {
		m.endTransaction(c, now)
		c.state = lineproto.StateIdle
		m.respondError(c, lineproto.CodeAborted, "the transaction had failed; nothing is kept", true)
		return
	}
	m.submit(&Request{client: c, query: query, commit: true, transaction: c.transaction}, now)
}

func (m *Machine) statement(c *Client, query Query, now time.Duration) {
	request := &Request{client: c, query: query, write: query.Statement.Action == lineproto.ActionWrite, transaction: c.transaction}
	if query.Statement.Action == lineproto.ActionExecute {
		held, found := c.prepared[query.Statement.Name]
		if !found {
			if c.transaction != nil {
				m.failTransaction(c, now)
			}
			m.respondError(c, lineproto.CodeNotFound, query.Statement.Name, true)
			return
		}
		request.prepared, request.write = held, held.write
	}
	if c.transaction != nil && c.transaction.lost {
		m.failTransaction(c, now)
		m.respondError(c, lineproto.CodeAborted, "the transaction was lost with its instance; nothing is kept", true)
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
	for _, c := range m.clientsBySerial() {
		isResting := c.transaction != nil && c.request == nil && now-c.lastUsed > inside
		if isResting && !c.transaction.lost {
			m.count("transactions_rested_out", 1)
			m.loseTransaction(c, now)
		}
	}
	past := now - m.drainStarted
	if !m.draining || past < m.timing.Linger {
		return
	}
	for _, c := range m.clientsBySerial() {
		isIdle := c.state == lineproto.StateIdle && c.request == nil && len(c.pipelined) == 0
		isOut := past > m.timing.EndTransactions && c.request == nil
		if isIdle || isOut || past > m.timing.EndSessions {
			m.closeClient(c, now)
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
	for c := range m.clients {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *Client) int { return cmp.Compare(a.serial, b.serial) })
	return list
}

// IsDrained says whether no session is left.
func (m *Machine) IsDrained() bool { return len(m.clients) == 0 }

// Bye takes a client's good-bye.
func (m *Machine) Terminate(c *Client, now time.Duration) { m.closeClient(c, now) }
