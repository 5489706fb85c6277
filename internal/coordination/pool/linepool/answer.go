package linepool

import (
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// onOwnCommandAnswered makes a connection idle after the answer to the last of
// the node's own commands, unless a client's statement has been sent after it.
func (m *Machine) onOwnCommandAnswered(conn *Conn, ready lineproto.Message, now time.Duration) {
	if len(conn.pending) == 0 && conn.attempt == nil {
		m.releaseInState(conn, ready.State, now)
		m.dispatch(conn.instance.database, now)
	}
}

// onBegun handles the acknowledgment of the BEGIN command of a transaction. It sends the
// transaction's first statement, unless the transaction has ended meanwhile.
func (m *Machine) onBegun(attempt *requestAttempt, ready lineproto.Message, now time.Duration) {
	request, conn := attempt.request, attempt.conn
	if !attempt.isCurrent() {
		m.releaseBegin(attempt, ready, now)
		return
	}
	attempt.statementSent, attempt.sentAt = true, now
	m.send(conn, attempt, []Command{statementCommand(request, conn, model.Position{})}, now)
}

// onBeginRefused handles an error in answer to the BEGIN command of a transaction, whose
// first statement is then queued again.
func (m *Machine) onBeginRefused(attempt *requestAttempt, ready lineproto.Message, now time.Duration) {
	request, current := attempt.request, attempt.isCurrent()
	m.markLagging(attempt, now)
	if current {
		request.transaction.conn = nil
	}
	m.releaseBegin(attempt, ready, now)
	if current {
		m.requeueAfterRefusal(request, attempt.result.Code, now)
	}
	m.dispatch(attempt.conn.instance.database, now)
}

// releaseBegin ends an attempt whose statement was not sent.
func (m *Machine) releaseBegin(attempt *requestAttempt, ready lineproto.Message, now time.Duration) {
	conn := attempt.conn
	conn.attempt, conn.owner = nil, nil
	conn.instance.window.Release(flowcontrol.Rejected, 0)
	m.Count("begins_refused", 1)
	m.releaseInState(conn, ready.State, now)
}

// completeStatement handles the answer to a statement that was sent.
func (m *Machine) completeStatement(attempt *requestAttempt, ready lineproto.Message, now time.Duration) {
	conn := attempt.conn
	conn.attempt = nil
	m.samplePrimaryPosition(attempt, ready.Position, now)
	m.recordOutcome(attempt, now)
	m.complete(attempt, ready, now)
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
