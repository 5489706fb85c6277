package linepool

import (
	"time"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// transactionState is a client's open transaction. It begins at an instance
// only when its first statement is sent.
type transactionState struct {
	// binding is the binding that was in force at the first statement; it
	// applies to the whole transaction.
	binding  model.Binding
	readOnly bool
	// lost is true if the instance no longer holds the transaction and nothing
	// of it is kept. The client is notified in the answer to its next
	// statement.
	lost bool
	// hasWrites is true if a write was forwarded, even if the instance refused
	// it.
	hasWrites bool
	// conn is the connection on which the transaction is open. It is nil before
	// the first statement and after the connection has been closed.
	conn *Conn
}

func (t *transactionState) isOpenAtInstance() bool { return t != nil && t.conn != nil }

// isInTransactionOn reports whether the client's transaction is open on a
// connection. The client may be nil, as the owner of a connection without a
// transaction is; the result is then false.
func (c *Client) isInTransactionOn(conn *Conn) bool {
	return c != nil && c.transaction != nil && c.transaction.conn == conn
}

func (m *Machine) handleBegin(client *Client, _ Query, now time.Duration) {
	m.begin(client, &transactionState{}, now)
}

func (m *Machine) handleBeginReadOnly(client *Client, _ Query, now time.Duration) {
	m.begin(client, &transactionState{readOnly: true}, now)
}

func (m *Machine) begin(client *Client, transaction *transactionState, now time.Duration) {
	if client.state != lineproto.StateIdle {
		m.failTransaction(client, now)
		m.respondError(client, errNestedTransaction)
		return
	}
	client.state, client.transaction = lineproto.StateInTransaction, transaction
	m.respondDone(client)
}

// handleRollback answers at once. The transaction is rolled back at the
// instance afterwards.
func (m *Machine) handleRollback(client *Client, _ Query, now time.Duration) {
	if client.state == lineproto.StateIdle {
		m.respondError(client, errNoTransaction)
		return
	}
	m.endTransaction(client, now)
	client.state = lineproto.StateIdle
	m.respondDone(client)
}

func (m *Machine) handleCommit(client *Client, query Query, now time.Duration) {
	if client.state == lineproto.StateIdle {
		m.respondError(client, errNoTransaction)
		return
	}
	if client.state == lineproto.StateFailed || client.transaction.lost {
		m.endTransaction(client, now)
		client.state = lineproto.StateIdle
		m.respondError(client, errTransactionFailed)
		return
	}
	m.submit(&Request{client: client, query: query, commit: true, transaction: client.transaction}, now)
}

// failTransaction ends a client's transaction. The client still has to commit
// or roll back.
func (m *Machine) failTransaction(client *Client, now time.Duration) {
	m.endTransaction(client, now)
	client.state = lineproto.StateFailed
}

// failTransactionOf ends the transaction of a failed request, if it has one.
// The client is idle afterwards if the request was the commit.
func (m *Machine) failTransactionOf(request *Request, now time.Duration) {
	if request.transaction == nil {
		return
	}
	m.failTransaction(request.client, now)
	if request.commit {
		request.client.state = lineproto.StateIdle
	}
}

// endTransaction ends a client's transaction, if it has one. Its changes at the
// instance are rolled back.
func (m *Machine) endTransaction(client *Client, now time.Duration) {
	transaction := client.transaction
	client.transaction = nil
	if !transaction.isOpenAtInstance() {
		return
	}
	conn := transaction.conn
	transaction.conn = nil
	conn.owner = nil
	if conn.state != connIdle || conn.attempt != nil {
		m.closeConn(conn, now)
		return
	}
	conn.dirty = conn.dirty || conn.sessionChanged
	m.send(conn, nil, []Command{{Kind: CommandRollback}}, now)
}

// loseTransaction ends a transaction that cannot continue at its instance. The
// client is notified in the answer to its next statement, or at once if a
// statement is being served. If a commit that may change data has been sent,
// its outcome is unknown.
func (m *Machine) loseTransaction(client *Client, now time.Duration) {
	transaction := client.transaction
	if transaction == nil || transaction.lost {
		return
	}
	request := client.request
	if request != nil && request.isSent() && request.mayPersist() {
		m.abortStranded(request, now)
		return
	}
	transaction.lost = true
	conn := transaction.conn
	transaction.conn = nil
	if conn != nil {
		conn.owner = nil
		m.closeConn(conn, now)
	}
	if request != nil && request.phase != phaseEnded {
		m.abortTransaction(request, now)
	}
}

// abortTransaction ends a statement whose transaction is over and has not
// committed anything. The error guarantees that nothing of the transaction is
// kept.
func (m *Machine) abortTransaction(request *Request, now time.Duration) {
	m.reject(request, errTransactionLost, now)
}
