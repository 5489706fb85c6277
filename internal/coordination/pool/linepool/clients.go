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
func (p *Pool) Accept(token any, now time.Duration) *Client {
	if len(p.clients) >= p.config.MaxClients {
		p.count("clients_refused", 1)
		return nil
	}
	p.clientSerial++
	made := &Client{Token: token, state: lineproto.StateIdle, serial: p.clientSerial, lastUsed: now}
	p.clients[made] = true
	p.count("clients_met", 1)
	return made
}

// Gone tells that a client's session ended.
func (p *Pool) ClientDisconnected(c *Client, now time.Duration) {
	if c.closed {
		return
	}
	c.closed = true
	delete(p.clients, c)
	c.pipelined = nil
	if request := c.request; request != nil {
		p.abandonRequest(request, now)
	}
	p.endTransaction(c, now)
}

func (p *Pool) closeClient(c *Client, now time.Duration) {
	if !c.closed {
		p.emit(CloseClient{Client: c})
		p.ClientDisconnected(c, now)
	}
}

// Connect takes a client's connect.
func (p *Pool) Connect(c *Client, name string, now time.Duration) {
	if c.closed {
		return
	}
	if c.connected || c.binding != "" {
		p.ProtocolError(c, lineproto.CodeMalformed, "connected already", now)
		return
	}
	c.binding, c.lastUsed = name, now
	p.connecting = append(p.connecting, c)
	p.admitConnecting(now)
}

func (p *Pool) admitConnecting(now time.Duration) {
	if len(p.connecting) == 0 {
		return
	}
	leased := p.routing.HasLease(now)
	set := p.effectiveSet(now)
	var kept []*Client
	for _, c := range p.connecting {
		if c.closed {
			continue
		}
		if !leased || set.Sequence == 0 {
			if now-c.lastUsed < p.config.ConnectWait && !p.isIsolated(now) {
				kept = append(kept, c)
				continue
			}
			p.count("clients_not_welcomed", 1)
			p.respondError(c, lineproto.CodeBusy, "not served now; come back in 500 ms", false)
			p.closeClient(c, now)
			continue
		}
		if _, found := set.Binding(c.binding); !found {
			p.respondError(c, lineproto.CodeUnknownDatabase, c.binding, false)
			p.closeClient(c, now)
			continue
		}
		c.connected = true
		p.respond(c, lineproto.Message{Kind: lineproto.KindReady, State: c.state})
	}
	p.connecting = kept
}

// Bad takes a message that makes no sense; it is answered and the session
// ends.
func (p *Pool) ProtocolError(c *Client, code lineproto.Code, text string, now time.Duration) {
	if c.closed {
		return
	}
	p.count("clients_malformed", 1)
	p.respondError(c, code, text, false)
	p.closeClient(c, now)
}

// Query takes a client's query.
func (p *Pool) Query(c *Client, query Query, now time.Duration) {
	if c.closed {
		return
	}
	if !c.connected {
		p.ProtocolError(c, lineproto.CodeMalformed, "not connected", now)
		return
	}
	if c.request != nil {
		if len(c.pipelined) >= p.config.MaxPipelined {
			p.ProtocolError(c, lineproto.CodeTooMuchInput, "too much sent ahead", now)
			return
		}
		c.pipelined = append(c.pipelined, query)
		return
	}
	c.lastUsed = now
	p.handleQuery(c, query, now)
}

func (p *Pool) handlePipelined(c *Client, now time.Duration) {
	c.lastUsed = now
	for len(c.pipelined) > 0 && c.request == nil && !c.closed {
		query := c.pipelined[0]
		c.pipelined = c.pipelined[1:]
		p.handleQuery(c, query, now)
	}
}

func (p *Pool) respond(c *Client, messages ...lineproto.Message) {
	if !c.closed {
		p.emit(Respond{Client: c, Messages: messages})
	}
}

func (p *Pool) readyMessage(c *Client, position model.Position) lineproto.Message {
	return lineproto.Message{Kind: lineproto.KindReady, State: c.state, Position: position}
}

func (p *Pool) respondError(c *Client, code lineproto.Code, text string, withReady bool) {
	messages := []lineproto.Message{{Kind: lineproto.KindError, Code: code, Text: text}}
	if withReady {
		messages = append(messages, p.readyMessage(c, model.Position{}))
	}
	p.respond(c, messages...)
}

func (p *Pool) respondDone(c *Client) {
	p.respond(c, lineproto.Message{Kind: lineproto.KindDone, Payload: "-"}, p.readyMessage(c, model.Position{}))
}

type queryHandler func(p *Pool, c *Client, query Query, now time.Duration)

var queryHandlers map[lineproto.Action]queryHandler

func init() {
	queryHandlers = map[lineproto.Action]queryHandler{
		lineproto.ActionBegin:         func(p *Pool, c *Client, _ Query, now time.Duration) { p.begin(c, false, now) },
		lineproto.ActionBeginReadOnly: func(p *Pool, c *Client, _ Query, now time.Duration) { p.begin(c, true, now) },
		lineproto.ActionCommit:        (*Pool).commit,
		lineproto.ActionRollback:      func(p *Pool, c *Client, _ Query, now time.Duration) { p.rollback(c, now) },
		lineproto.ActionSet: func(p *Pool, c *Client, query Query, _ time.Duration) {
			if c.variables == nil {
				c.variables = map[string]string{}
			}
			c.variables[query.Statement.Name] = query.Statement.Value
			p.respondDone(c)
		},
		lineproto.ActionPrepare: func(p *Pool, c *Client, query Query, _ time.Duration) {
			if c.prepared == nil {
				c.prepared = map[string]preparedStatement{}
			}
			c.prepared[query.Statement.Name] = preparedStatement{text: query.Statement.PreparedText, write: query.Statement.Write}
			p.respondDone(c)
		},
		lineproto.ActionDeallocate: func(p *Pool, c *Client, query Query, _ time.Duration) {
			if _, found := c.prepared[query.Statement.Name]; !found {
				p.respondError(c, lineproto.CodeNotFound, query.Statement.Name, true)
				return
			}
			delete(c.prepared, query.Statement.Name)
			p.respondDone(c)
		},
		lineproto.ActionRead:    (*Pool).statement,
		lineproto.ActionWrite:   (*Pool).statement,
		lineproto.ActionExecute: (*Pool).statement,
	}
}

func (p *Pool) handleQuery(c *Client, query Query, now time.Duration) {
	act, found := queryHandlers[query.Statement.Action]
	isEnd := query.Statement.Action == lineproto.ActionCommit || query.Statement.Action == lineproto.ActionRollback
	if !found || (c.state == lineproto.StateFailed && !isEnd) {
		if c.state == lineproto.StateInTransaction {
			p.failTransaction(c, now)
		}
		p.respondError(c, lineproto.CodeMalformed, "not taken in this state", true)
		return
	}
	act(p, c, query, now)
}

func (p *Pool) begin(c *Client, isRead bool, now time.Duration) {
	if c.state != lineproto.StateIdle {
		p.failTransaction(c, now)
		p.respondError(c, lineproto.CodeMalformed, "inside a transaction already", true)
		return
	}
	c.state, c.transaction = lineproto.StateInTransaction, &transaction{readOnly: isRead}
	p.respondDone(c)
}

func (p *Pool) failTransaction(c *Client, now time.Duration) {
	p.endTransaction(c, now)
	c.state = lineproto.StateFailed
}

// endTurn gives up a client's transaction where it has one: what an instance
// holds of it is rolled back.
func (p *Pool) endTransaction(c *Client, now time.Duration) {
	held := c.transaction
	c.transaction = nil
	if held == nil || held.conn == nil {
		return
	}
	conn := held.conn
	held.conn = nil
	conn.owner = nil
	if conn.state != connIdle || conn.attempt != nil {
		p.closeConn(conn, now)
		return
	}
	conn.dirty = conn.dirty || conn.changed
	p.send(conn, nil, []Command{{Kind: CommandRollback}})
}

func (p *Pool) rollback(c *Client, now time.Duration) {
	if c.state == lineproto.StateIdle {
		p.respondError(c, lineproto.CodeMalformed, "no transaction", true)
		return
	}
	p.endTransaction(c, now)
	c.state = lineproto.StateIdle
	p.respondDone(c)
}

func (p *Pool) commit(c *Client, query Query, now time.Duration) {
	if c.state == lineproto.StateIdle {
		p.respondError(c, lineproto.CodeMalformed, "no transaction", true)
		return
	}
	if c.state == lineproto.StateFailed || c.transaction.lost {
		p.endTransaction(c, now)
		c.state = lineproto.StateIdle
		p.respondError(c, lineproto.CodeAborted, "the transaction had failed; nothing is kept", true)
		return
	}
	p.submit(&Request{client: c, query: query, commit: true, transaction: c.transaction}, now)
}

func (p *Pool) statement(c *Client, query Query, now time.Duration) {
	request := &Request{client: c, query: query, write: query.Statement.Action == lineproto.ActionWrite, transaction: c.transaction}
	if query.Statement.Action == lineproto.ActionExecute {
		held, found := c.prepared[query.Statement.Name]
		if !found {
			if c.transaction != nil {
				p.failTransaction(c, now)
			}
			p.respondError(c, lineproto.CodeNotFound, query.Statement.Name, true)
			return
		}
		request.prepared, request.write = held, held.write
	}
	if c.transaction != nil && c.transaction.lost {
		p.failTransaction(c, now)
		p.respondError(c, lineproto.CodeAborted, "the transaction was lost with its instance; nothing is kept", true)
		return
	}
	p.submit(request, now)
}

// Leave makes the node unready; after a while sessions end as they rest.
func (p *Pool) Drain(now time.Duration) {
	if !p.draining {
		p.draining, p.drainStarted = true, now
	}
}

func (p *Pool) closeIdleClients(now time.Duration) {
	p.admitConnecting(now)
	isDue := now-p.lastIdleCheck > 200*time.Millisecond
	if !isDue && !p.draining {
		return
	}
	p.lastIdleCheck = now
	inside := p.idleInTransactionLimit(now)
	for _, c := range p.clientsBySerial() {
		isResting := c.transaction != nil && c.request == nil && now-c.lastUsed > inside
		if isResting && !c.transaction.lost {
			p.count("transactions_rested_out", 1)
			p.loseTransaction(c, now)
		}
	}
	past := now - p.drainStarted
	if !p.draining || past < p.config.Linger {
		return
	}
	for _, c := range p.clientsBySerial() {
		isIdle := c.state == lineproto.StateIdle && c.request == nil && len(c.pipelined) == 0
		isOut := past > p.config.EndTransactions && c.request == nil
		if isIdle || isOut || past > p.config.EndSessions {
			p.closeClient(c, now)
		}
	}
}

func (p *Pool) idleInTransactionLimit(now time.Duration) time.Duration {
	if bound := p.effectiveSet(now).Limits.TransactionIdleTimeout; bound > 0 {
		return bound
	}
	return p.config.TransactionIdleTimeout
}

func (p *Pool) clientsBySerial() []*Client {
	list := make([]*Client, 0, len(p.clients))
	for c := range p.clients {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *Client) int { return cmp.Compare(a.serial, b.serial) })
	return list
}

// IsDrained says whether no session is left.
func (p *Pool) IsDrained() bool { return len(p.clients) == 0 }

// Bye takes a client's good-bye.
func (p *Pool) Terminate(c *Client, now time.Duration) { p.closeClient(c, now) }
