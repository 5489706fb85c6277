package linepool

import (
	"time"

	"tansyseam/internal/state/lineproto"
)

// Query is one query from a client.
type Query struct {
	// ID is chosen by the client; it is sent to the instance with the
	// statement.
	ID string
	// Text is the query as the client wrote it. Statement is its parsed form.
	Text      string
	Statement lineproto.Statement
}

// Query handles a query from a client. The query waits if an earlier one is
// being served.
func (m *Machine) Query(client *Client, query Query, now time.Duration) {
	if client.closed {
		return
	}
	if !client.connected {
		m.protocolError(client, errNotConnected, now)
		return
	}
	if client.request == nil {
		client.lastUsed = now
		m.handleQuery(client, query, now)
		return
	}
	if len(client.pipelined) >= m.timing.MaxPipelined {
		m.protocolError(client, errTooMuchPipelined, now)
		return
	}
	client.pipelined = append(client.pipelined, query)
}

// handlePipelined serves the client's pipelined queries, up to the first that
// has to wait for an instance. If they were rejected, it closes the session.
func (m *Machine) handlePipelined(client *Client, now time.Duration) {
	client.lastUsed = now
	for len(client.pipelined) > 0 && client.request == nil && !client.closed {
		query := client.pipelined[0]
		client.pipelined = client.pipelined[1:]
		m.handleQuery(client, query, now)
	}
	m.EndInput(client, now)
}

type queryHandler func(m *Machine, client *Client, query Query, now time.Duration)

// queryHandlers is filled by init because its functions call handleQuery in
// turn, for pipelined queries.
var queryHandlers map[lineproto.Action]queryHandler

func init() {
	queryHandlers = map[lineproto.Action]queryHandler{
		lineproto.ActionBegin:         (*Machine).handleBegin,
		lineproto.ActionBeginReadOnly: (*Machine).handleBeginReadOnly,
		lineproto.ActionCommit:        (*Machine).handleCommit,
		lineproto.ActionRollback:      (*Machine).handleRollback,
		lineproto.ActionSet:           (*Machine).handleSet,
		lineproto.ActionPrepare:       (*Machine).handlePrepare,
		lineproto.ActionDeallocate:    (*Machine).handleDeallocate,
		lineproto.ActionRead:          (*Machine).handleStatement,
		lineproto.ActionWrite:         (*Machine).handleStatement,
		lineproto.ActionExecute:       (*Machine).handleExecute,
	}
}

func (m *Machine) handleQuery(client *Client, query Query, now time.Duration) {
	if client.state == lineproto.StateIdle && m.rejectsNewWork(now) {
		m.rejectNewWork(client)
		return
	}
	action := query.Statement.Action
	handler, found := queryHandlers[action]
	endsTransaction := action == lineproto.ActionCommit || action == lineproto.ActionRollback
	if found && (client.state != lineproto.StateFailed || endsTransaction) {
		handler(m, client, query, now)
		return
	}
	if client.state == lineproto.StateInTransaction {
		m.failTransaction(client, now)
	}
	m.respondError(client, errInvalidInState)
}

func (m *Machine) handleSet(client *Client, query Query, _ time.Duration) {
	if client.variables == nil {
		client.variables = map[string]string{}
	}
	client.variables[query.Statement.Name] = query.Statement.Value
	m.respondDone(client)
}

func (m *Machine) handlePrepare(client *Client, query Query, _ time.Duration) {
	if client.prepared == nil {
		client.prepared = map[string]preparedStatement{}
	}
	client.prepared[query.Statement.Name] = preparedStatement{text: query.Statement.PreparedText, write: query.Statement.Write}
	m.respondDone(client)
}

func (m *Machine) handleDeallocate(client *Client, query Query, _ time.Duration) {
	name := query.Statement.Name
	if _, found := client.prepared[name]; !found {
		m.respondError(client, errNotPrepared(name))
		return
	}
	delete(client.prepared, name)
	m.respondDone(client)
}

func (m *Machine) handleStatement(client *Client, query Query, now time.Duration) {
	write := query.Statement.Action == lineproto.ActionWrite
	m.submitStatement(&Request{client: client, query: query, write: write}, now)
}

func (m *Machine) handleExecute(client *Client, query Query, now time.Duration) {
	prepared, found := client.prepared[query.Statement.Name]
	if !found {
		if client.transaction != nil {
			m.failTransaction(client, now)
		}
		m.respondError(client, errNotPrepared(query.Statement.Name))
		return
	}
	m.submitStatement(&Request{client: client, query: query, prepared: prepared, write: prepared.write}, now)
}

func (m *Machine) submitStatement(request *Request, now time.Duration) {
	client := request.client
	if client.transaction != nil && client.transaction.lost {
		m.failTransaction(client, now)
		m.respondError(client, errTransactionLost)
		return
	}
	request.transaction = client.transaction
	m.submit(request, now)
}
