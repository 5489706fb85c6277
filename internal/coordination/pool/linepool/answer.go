package linepool

import (
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// Received handles a message from an instance. Messages must be passed in the
// order in which the instance sent them. A connection that delivers an
// unexpected message is closed.
func (m *Machine) Received(conn *Conn, message lineproto.Message, now time.Duration) {
	if conn.state == connClosed {
		return
	}
	if conn.state == connOpening {
		m.onOpened(conn, message, now)
		return
	}
	conn.instance.lastResponse, conn.instance.refusals = now, 0
	if len(conn.pending) == 0 {
		m.Count("answers_unasked", 1)
		m.ConnLost(conn, now)
		return
	}
	attempt := conn.pending[0]
	handler, found := instanceMessageHandlers[message.Kind]
	afterResult := attempt != nil && attempt.hasResult && message.Kind != lineproto.KindReady
	if !found || afterResult {
		m.closeMalformed(conn, now)
		return
	}
	handler(m, conn, attempt, message, now)
}

func (m *Machine) closeMalformed(conn *Conn, now time.Duration) {
	m.Count("answers_malformed", 1)
	m.ConnLost(conn, now)
}

// instanceMessageHandler handles a message that belongs to an attempt, or to a
// command of the node's own, for which attempt is nil.
type instanceMessageHandler func(m *Machine, conn *Conn, attempt *requestAttempt, message lineproto.Message, now time.Duration)

var instanceMessageHandlers = map[lineproto.Kind]instanceMessageHandler{
	lineproto.KindRow:   (*Machine).onRow,
	lineproto.KindDone:  (*Machine).onResult,
	lineproto.KindError: (*Machine).onResult,
	lineproto.KindReady: (*Machine).onReady,
}

func (m *Machine) onRow(_ *Conn, attempt *requestAttempt, message lineproto.Message, _ time.Duration) {
	if attempt != nil {
		attempt.rows = append(attempt.rows, message)
	}
}

func (m *Machine) onResult(conn *Conn, attempt *requestAttempt, message lineproto.Message, now time.Duration) {
	m.countResult(conn, attempt, message, now)
	if attempt != nil {
		attempt.result, attempt.hasResult = message, true
		return
	}
	if message.Kind == lineproto.KindError {
		m.Count("own_statements_failed", 1)
		conn.dirty = true
	}
}

// countResult counts errors by code, and results that cannot be those of the statement
// which waits for them.
func (m *Machine) countResult(conn *Conn, attempt *requestAttempt, message lineproto.Message, now time.Duration) {
	if message.Kind == lineproto.KindError {
		m.Count("instance_errors_"+message.Code.String(), 1)
		return
	}
	stamped := message.Payload != lineproto.NoStamp
	if attempt != nil && attempt.statementSent != stamped {
		m.Count("results_of_other_kind", 1)
	}
	if stamped && conn.history.contains(message.Payload) {
		m.Count("stamps_repeated", 1)
	}
	if stamped {
		conn.history.add(message.Payload, now)
	}
}

// onReady handles the last message of an answer.
func (m *Machine) onReady(conn *Conn, attempt *requestAttempt, message lineproto.Message, now time.Duration) {
	instance := conn.instance
	conn.pending = conn.pending[1:]
	instance.position = instance.position.Max(message.Position)
	if attempt == nil {
		m.onOwnCommandAnswered(conn, message, now)
		return
	}
	if !attempt.hasResult {
		m.closeMalformed(conn, now)
		return
	}
	if !attempt.statementSent {
		m.onBeginAnswered(attempt, message, now)
		return
	}
	conn.attempt = nil
	m.samplePrimaryPosition(attempt, message.Position, now)
	m.recordOutcome(attempt, now)
	m.complete(attempt, message, now)
	m.dispatch(instance.database, now)
}

// onOwnCommandAnswered makes a connection idle after the answer to the last of
// the node's own commands, unless a client's statement has been sent after it.
func (m *Machine) onOwnCommandAnswered(conn *Conn, ready lineproto.Message, now time.Duration) {
	if len(conn.pending) == 0 && conn.attempt == nil {
		m.releaseInState(conn, ready.State, now)
		m.dispatch(conn.instance.database, now)
	}
}

// onBeginAnswered handles the answer to the BEGIN command of a transaction. If
// the transaction has begun, it sends the transaction's first statement.
func (m *Machine) onBeginAnswered(attempt *requestAttempt, ready lineproto.Message, now time.Duration) {
	request, conn := attempt.request, attempt.conn
	began := attempt.result.Kind == lineproto.KindDone && ready.State == lineproto.StateInTransaction
	current := attempt.isCurrent()
	if began && current {
		attempt.hasResult, attempt.statementSent = false, true
		attempt.rows, attempt.sentAt = nil, now
		m.send(conn, attempt, []Command{statementCommand(request, conn, model.Position{})})
		return
	}
	conn.attempt, conn.owner = nil, nil
	conn.instance.window.Release(flowcontrol.Rejected, 0)
	m.markLagging(attempt, now)
	m.Count("begins_refused", 1)
	m.releaseInState(conn, ready.State, now)
	if current {
		request.transaction.conn = nil
		m.requeueAfterRefusal(request, attempt.result.Code, now)
	}
	m.dispatch(conn.instance.database, now)
}

// markLagging makes reads skip a replica for Timing.LaggingPause if the replica
// refused a request because it lags.
func (m *Machine) markLagging(attempt *requestAttempt, now time.Duration) {
	if attempt.result.Code == lineproto.CodeLagging {
		attempt.conn.instance.laggingUntil = now + m.timing.LaggingPause
	}
}

// recordOutcome records the result of an attempt in the instance's window and
// health.
func (m *Machine) recordOutcome(attempt *requestAttempt, now time.Duration) {
	instance := attempt.conn.instance
	rejected := attempt.isError(lineproto.CodeBusy, lineproto.CodeLagging, lineproto.CodeReadOnly, lineproto.CodeNotFound)
	outcome := flowcontrol.Completed
	if rejected {
		outcome = flowcontrol.Rejected
	}
	instance.window.Release(outcome, m.normalizedLatency(attempt.request, now-attempt.sentAt))
	if !rejected {
		failed := attempt.isError(lineproto.CodeFailed, lineproto.CodeTimeout)
		instance.health.Observe(failed, now)
	}
}

// complete handles the complete answer to a statement.
func (m *Machine) complete(attempt *requestAttempt, ready lineproto.Message, now time.Duration) {
	conn := attempt.conn
	if !attempt.isCurrent() {
		if conn.owner != nil || ready.State != lineproto.StateIdle {
			m.closeConn(conn, now)
			return
		}
		m.release(conn, now)
		return
	}
	if attempt.request.transaction != nil {
		m.completeInTransaction(attempt, ready, now)
	} else {
		m.releaseInState(conn, ready.State, now)
	}
	if attempt.result.Kind == lineproto.KindError {
		m.completeWithError(attempt, now)
		return
	}
	m.completeWithSuccess(attempt, ready, now)
}

// completeInTransaction updates the connection and the client after a statement
// of a transaction has been answered.
func (m *Machine) completeInTransaction(attempt *requestAttempt, ready lineproto.Message, now time.Duration) {
	request, conn, client := attempt.request, attempt.conn, attempt.request.client
	failed := attempt.isError()
	if request.commit || ready.State == lineproto.StateIdle {
		request.transaction.conn, conn.owner = nil, nil
		conn.dirty = conn.dirty || (failed && conn.sessionChanged)
		m.releaseInState(conn, ready.State, now)
		client.transaction, client.state = nil, lineproto.StateIdle
		return
	}
	conn.state = connIdle
	client.state = ready.State
	if failed && attempt.result.Code.GuaranteesNoEffect() {
		client.state = lineproto.StateFailed
	}
	if client.state == lineproto.StateFailed {
		m.endTransaction(client, now)
	}
}

func (m *Machine) completeWithError(attempt *requestAttempt, now time.Duration) {
	request, code := attempt.request, attempt.result.Code
	m.markLagging(attempt, now)
	if code == lineproto.CodeNotFound {
		attempt.conn.dirty = true
	}
	if attempt.isRetryable() {
		m.retry(attempt, now)
		return
	}
	client := request.client
	m.finish(request)
	m.Count("errors_passed", 1)
	failure := lineproto.Message{Kind: lineproto.KindError, Payload: attempt.result.Payload, Code: code}
	m.respond(client, failure, readyMessage(client, model.Position{}))
	m.handlePipelined(client, now)
}

// isRetryable reports whether the request of an attempt that ended with an
// error may be sent again. A statement that was not prepared has not run, so it
// is retried unless it is in a transaction. Other errors are retried for reads
// only, and reads that instances ran and failed only up to maxAttempts.
func (attempt *requestAttempt) isRetryable() bool {
	request := attempt.request
	if attempt.isError(lineproto.CodeNotFound) {
		return request.transaction == nil
	}
	if !request.isRetryableRead() {
		return false
	}
	if attempt.isError(lineproto.CodeFailed) {
		return request.failures+1 < request.maxAttempts()
	}
	return attempt.isError(lineproto.CodeLagging, lineproto.CodeBusy, lineproto.CodeReadOnly)
}

// retry requeues the request of an attempt that ended with an error, unless the
// request is still in flight at another instance.
func (m *Machine) retry(attempt *requestAttempt, now time.Duration) {
	request := attempt.request
	if attempt.isError(lineproto.CodeFailed) {
		m.Count("reads_failed_elsewhere", 1)
		request.failures++
		request.avoid = attempt.conn.instance
	}
	if attempt.hasOtherAttempt() {
		attempt.abandoned = true
		return
	}
	m.requeueAfterRefusal(request, attempt.result.Code, now)
}

// requeueAfterRefusal requeues a request that an instance refused, to be sent
// after a pause. A refusal by a lagging replica causes no pause, since another
// replica may be fresh enough.
func (m *Machine) requeueAfterRefusal(request *Request, code lineproto.Code, now time.Duration) {
	if code != lineproto.CodeLagging {
		request.notBefore = now + time.Duration(request.retries+1)*m.timing.RetryDelay
	}
	m.requeue(request, now)
}

func (m *Machine) completeWithSuccess(attempt *requestAttempt, ready lineproto.Message, now time.Duration) {
	request := attempt.request
	request.answer = append(attempt.rows, attempt.result)
	request.position = ready.Position
	if !request.mayPersist() {
		m.respondWithAnswer(request, now)
		return
	}
	database := m.database(request.binding.Database)
	database.inFlight.remove(request)
	request.phase = phaseUnconfirmed
	database.unconfirmed = append(database.unconfirmed, request)
	m.confirmCommits(database, now)
}
