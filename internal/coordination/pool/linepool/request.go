package linepool

import (
	"slices"
	"time"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// phase tells how far a request has come.
type phase int

const (
	// phaseAwaitingLease: the node has no lease; the request is not bound yet.
	phaseAwaitingLease phase = iota
	// phaseQueued: it is in one of its database's queues.
	phaseQueued
	// phaseInFlight: it has been sent to an instance.
	phaseInFlight
	// phaseUnconfirmed: the instance has committed it; the client is answered
	// once the node holds a lease.
	phaseUnconfirmed
	// phaseEnded: the client has been answered, or is gone.
	phaseEnded
)

// defaultMaxAttempts is how often a read that instances fail is run in all,
// where its binding gives no number.
const defaultMaxAttempts = 2

// Request is one statement that an instance has to run.
type Request struct {
	client *Client
	query  Query
	// prepared is the statement that an execute names.
	prepared preparedStatement
	binding  model.Binding
	write    bool
	commit   bool
	// strict says that only the primary may run it.
	strict bool
	// transaction is the one that it is part of, if any.
	transaction *transactionState
	arrivedAt   time.Duration
	deadline    time.Duration
	phase       phase
	attempts    []*requestAttempt
	// hedged says that a second attempt has been sent beside the first.
	hedged    bool
	retries   int
	notBefore time.Duration
	// avoid is the instance at which the last attempt failed; failures counts
	// those that instances ran and failed.
	avoid    *instanceState
	failures int
	// term is the writer term under which it was sent.
	term uint64
	// minPosition is what the instance must have reached to run it.
	minPosition model.Position
	// answer and position are what the instance answered.
	answer   []lineproto.Message
	position model.Position
}

// mayPersist reports whether the statement, once run, may commit something.
func (request *Request) mayPersist() bool {
	if request.commit {
		return !request.transaction.readOnly || request.transaction.hasWrites
	}
	return request.write && request.transaction == nil
}

// isSent reports whether the statement itself has been sent, and not only the
// begin before it.
func (request *Request) isSent() bool {
	if request.phase != phaseInFlight {
		return request.phase == phaseUnconfirmed
	}
	return slices.ContainsFunc(request.attempts, func(attempt *requestAttempt) bool { return attempt.statementSent })
}

// isRetryableRead reports whether the statement may be run again, or at two
// instances, without effect.
func (request *Request) isRetryableRead() bool {
	return !request.write && !request.commit && request.transaction == nil
}

// isReady reports whether a queued statement may be sent now. One whose time
// is over is about to be ended.
func (request *Request) isReady(now time.Duration) bool {
	return request.phase == phaseQueued && now >= request.notBefore && now < request.deadline
}

// maxAttempts is how often the statement may be run in all if instances fail
// it.
func (request *Request) maxAttempts() int {
	if request.binding.MaxAttempts > 0 {
		return request.binding.MaxAttempts
	}
	return defaultMaxAttempts
}

// normalizedLatency scales a latency of the request to the reference target,
// as the measure of the work in it.
func (m *Machine) normalizedLatency(request *Request, latency time.Duration) time.Duration {
	target := request.binding.LatencyTarget
	if target <= 0 {
		return latency
	}
	return time.Duration(float64(latency) * float64(m.timing.ReferenceTarget) / float64(target))
}

// requestAttempt is one sending of a request to an instance.
type requestAttempt struct {
	request *Request
	conn    *Conn
	sentAt  time.Duration
	// abandoned says that its answer is not waited for any more.
	abandoned bool
	// statementSent says that the statement itself has been sent, and not only
	// the begin before it.
	statementSent bool
	rows          []lineproto.Message
	result        lineproto.Message
	hasResult     bool
}

// isCurrent reports whether the request still waits for the attempt.
func (attempt *requestAttempt) isCurrent() bool {
	return !attempt.abandoned && attempt.request.phase == phaseInFlight
}

// isError reports whether the result is an error with one of the codes; with
// any, if none is given.
func (attempt *requestAttempt) isError(codes ...lineproto.Code) bool {
	if attempt.result.Kind != lineproto.KindError {
		return false
	}
	return len(codes) == 0 || slices.Contains(codes, attempt.result.Code)
}

// hasOtherAttempt reports whether the request is in flight at another instance
// too.
func (attempt *requestAttempt) hasOtherAttempt() bool {
	return slices.ContainsFunc(attempt.request.attempts, func(other *requestAttempt) bool {
		return other != attempt && !other.abandoned && other.conn.state == connBusy
	})
}

// finish takes a request out of every queue and list. What is in flight of it
// is not waited for.
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

// reject ends a request with an error for which nothing of it was applied.
func (m *Machine) reject(request *Request, err clientError, now time.Duration) {
	m.finish(request)
	m.failTransactionOf(request, now)
	m.respondError(request.client, err)
	m.handlePipelined(request.client, now)
}

// respondWithAnswer ends a request with what the instance answered.
func (m *Machine) respondWithAnswer(request *Request, now time.Duration) {
	m.finish(request)
	m.Count("answered", 1)
	m.respond(request.client, append(request.answer, readyMessage(request.client, request.position))...)
	m.handlePipelined(request.client, now)
}

// respondUnknown ends a request of which it is not known whether it was
// applied.
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
