package linepool

import (
	"slices"
	"time"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// phase is the progress of a request.
type phase int

const (
	// phaseAwaitingLease means that the node has no lease. The request gets its
	// binding once the node has one.
	phaseAwaitingLease phase = iota
	// phaseQueued means that the request is in one of its database's queues.
	phaseQueued
	// phaseInFlight means that the request has been sent to an instance.
	phaseInFlight
	// phaseUnconfirmed means that the instance has committed the request. The
	// client is answered once the node holds a lease.
	phaseUnconfirmed
	// phaseEnded means that the client has been answered or has disconnected.
	phaseEnded
)

// defaultMaxAttempts is the total number of times that a read is run if
// instances fail it and its binding sets no number.
const defaultMaxAttempts = 2

// Request is one statement that an instance has to run.
type Request struct {
	client *Client
	query  Query
	// prepared is the prepared statement that the query executes, if any.
	prepared preparedStatement
	binding  model.Binding
	write    bool
	commit   bool
	// strict is true if only the primary may run the request.
	strict bool
	// transaction is the transaction that the request is part of, or nil.
	transaction *transactionState
	arrivedAt   time.Duration
	deadline    time.Duration
	phase       phase
	attempts    []*requestAttempt
	// hedged is true if a second attempt has been sent in parallel to the
	// first.
	hedged    bool
	retries   int
	notBefore time.Duration
	// avoid is the instance at which the last attempt failed. failures is the
	// number of attempts that instances ran and failed.
	avoid    *instanceState
	failures int
	// term is the writer term under which the request was sent.
	term uint64
	// minPosition is the position that the instance must have reached to run
	// the request.
	minPosition model.Position
	// answer and position are the instance's answer and the position in it.
	answer   []lineproto.Message
	position model.Position
}

// mayPersist reports whether running the statement may commit changes.
func (request *Request) mayPersist() bool {
	if request.commit {
		return !request.transaction.readOnly || request.transaction.hasWrites
	}
	return request.write && request.transaction == nil
}

// kindOfRows is an index of instanceState.maxRows.
type kindOfRows int

const (
	rowsOfRead kindOfRows = iota
	rowsOfWrite
	rowKindCount
)

// rowKind returns the index of the request's kind in instanceState.maxRows.
func (request *Request) rowKind() kindOfRows {
	if request.write || request.commit {
		return rowsOfWrite
	}
	return rowsOfRead
}

// isSent reports whether the statement itself has been sent, rather than only
// the BEGIN command before it.
func (request *Request) isSent() bool {
	if request.phase != phaseInFlight {
		return request.phase == phaseUnconfirmed
	}
	return slices.ContainsFunc(request.attempts, func(attempt *requestAttempt) bool { return attempt.statementSent })
}

// begins reports whether sending the request begins its transaction at the instance.
func (request *Request) begins() bool {
	return request.transaction != nil && request.transaction.conn == nil
}

// isRetryableRead reports whether the statement is a read outside a
// transaction, which may run more than once, or at two instances, without side
// effects.
func (request *Request) isRetryableRead() bool {
	return !request.write && !request.commit && request.transaction == nil
}

// isReady reports whether a queued statement may be sent now. It returns false
// for a statement past its deadline, which is about to be ended.
func (request *Request) isReady(now time.Duration) bool {
	return request.phase == phaseQueued && now >= request.notBefore && now < request.deadline
}

// maxAttempts returns the total number of times that the statement may be run
// if instances fail it.
func (request *Request) maxAttempts() int {
	if request.binding.MaxAttempts > 0 {
		return request.binding.MaxAttempts
	}
	return defaultMaxAttempts
}

// normalizedLatency returns a latency of the request scaled from the latency
// target of its binding to the reference target. The result measures the work
// in the request.
func (m *Machine) normalizedLatency(request *Request, latency time.Duration) time.Duration {
	target := request.binding.LatencyTarget
	if target <= 0 {
		return latency
	}
	return time.Duration(float64(latency) * float64(m.timing.ReferenceTarget) / float64(target))
}

// requestAttempt is one attempt to run a request at an instance.
type requestAttempt struct {
	request *Request
	conn    *Conn
	sentAt  time.Duration
	// abandoned is true if the request no longer waits for the attempt's
	// answer.
	abandoned bool
	// statementSent is true if the statement itself has been sent, rather than
	// only the BEGIN command before it.
	statementSent bool
	// rows and result are the answer, once the instance has answered.
	rows   []lineproto.Message
	result lineproto.Message
}

// isCurrent reports whether the request still waits for the attempt.
func (attempt *requestAttempt) isCurrent() bool {
	return !attempt.abandoned && attempt.request.phase == phaseInFlight
}

// isError reports whether the result is an error with one of the codes, or any
// error if no codes are passed.
func (attempt *requestAttempt) isError(codes ...lineproto.Code) bool {
	if attempt.result.Kind != lineproto.KindError {
		return false
	}
	return len(codes) == 0 || slices.Contains(codes, attempt.result.Code)
}

// hasOtherAttempt reports whether the request is also in flight at another
// instance.
func (attempt *requestAttempt) hasOtherAttempt() bool {
	return slices.ContainsFunc(attempt.request.attempts, func(other *requestAttempt) bool {
		return other != attempt && !other.abandoned && other.conn.state == connBusy
	})
}

// finish removes a request from every queue and list, and abandons its
// attempts.
func (m *Machine) finish(request *Request) {
	database := m.database(request.binding.Database)
	database.dequeue(request)
	database.inFlight.remove(request)
	database.unconfirmed.remove(request)
	request.phase = phaseEnded
	request.abandonAttempts()
	if request.client.request == request {
		request.client.request = nil
	}
}

func (request *Request) abandonAttempts() {
	for _, attempt := range request.attempts {
		attempt.abandoned = true
	}
}

// reject ends a request with an error that guarantees that nothing of it was
// applied.
func (m *Machine) reject(request *Request, err clientError, now time.Duration) {
	m.finish(request)
	m.failTransactionOf(request, now)
	m.respondError(request.client, err)
	m.handlePipelined(request.client, now)
}

// respondWithAnswer ends a request with the instance's answer.
func (m *Machine) respondWithAnswer(request *Request, now time.Duration) {
	m.finish(request)
	m.Count("answered", 1)
	m.respond(request.client, append(request.answer, readyMessage(request.client, request.position))...)
	m.handlePipelined(request.client, now)
}

// respondUnknown ends a request that may or may not have been applied.
func (m *Machine) respondUnknown(request *Request, err clientError, now time.Duration) {
	client := request.client
	m.finish(request)
	if request.transaction != nil {
		m.endTransaction(client, now)
		client.state = lineproto.StateIdle
	}
	m.Count("unknown", 1)
	m.respondError(client, err)
	m.handlePipelined(client, now)
}
