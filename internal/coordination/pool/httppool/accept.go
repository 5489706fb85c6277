package httppool

import (
	"maps"
	"slices"
	"time"
)

// Accept admits a request to a session. The request is to be answered within
// timeout, or within DefaultDeadline if timeout is 0. The caller calls Bind next.
// If accepted is false, request is nil and result is the answer. The token belongs
// to the caller, which receives it again in the request of Respond.
func (m *Machine) Accept(sessionID string, op Op, timeout time.Duration, token any, now time.Duration) (request *Request, result Result, accepted bool) {
	session, found := m.sessions[sessionID]
	if !found || session.closed {
		m.Count("sessions_unknown", 1)
		return nil, rejection(ErrNoSession, 0, "no such session here: open one and come back"), false
	}
	if session.busy {
		return nil, rejection(ErrSessionBusy, 0, "the session has a request out"), false
	}
	if timeout == 0 {
		timeout = m.timing.DefaultDeadline
	}
	request = &Request{
		Token:         token,
		op:            op,
		session:       session,
		arrivedAt:     now,
		deadline:      now + timeout,
		inTransaction: session.inTransaction,
	}
	if m.Draining() && !session.inTransaction {
		return nil, m.rejectDraining(request, now), false
	}
	if m.Routing().HasLease(now) {
		set := m.EffectiveSet(now)
		binding, found := set.Binding(session.binding)
		if !found {
			return nil, rejection(ErrNoBinding, 0, noBindingText(session.binding, set.Sequence)), false
		}
		request.databaseName, request.freshness = binding.Database, binding.Freshness
	}
	session.busy, session.lastUsed = true, now
	m.lastRequestNumber++
	request.number = m.lastRequestNumber
	m.unanswered[request] = true
	return request, Result{}, true
}

func (m *Machine) rejectDraining(request *Request, now time.Duration) Result {
	result := drainingResult
	result.Outcome = m.unsentOutcome(request)
	m.endSession(request.session, now)
	result.MinPositions = maps.Clone(request.session.minPositions)
	return result
}

// Bind resolves the binding of a request and looks for an earlier attempt with the
// same request id. If the node has no lease, the request waits for one.
func (m *Machine) Bind(request *Request, now time.Duration) {
	if request.responded {
		return
	}
	if !m.Routing().HasLease(now) {
		request.phase = phaseAwaitingLease
		m.awaitingLease = append(m.awaitingLease, request)
		return
	}
	if !m.bindToActiveSet(request, now) {
		return
	}
	if request.session.isPinnedOutside(request.databaseName) {
		m.respondBindingMoved(request, now)
		return
	}
	request.setRequirements()
	if request.misplacedInTransaction() {
		m.respond(request, noTransactionResult, now)
		return
	}
	if request.mayPersist() {
		m.applyDecision(request, m.requestLog.Decide(request.op.RequestID, request, now), now)
		return
	}
	m.Emit(Enqueue{Request: request})
}

// bindToActiveSet resolves the session's binding in the active set. If the set has
// no binding of that name, it answers the request and returns false.
func (m *Machine) bindToActiveSet(request *Request, now time.Duration) bool {
	name := request.session.binding
	set := m.EffectiveSet(now)
	binding, found := set.Binding(name)
	if !found {
		m.respond(request, Result{
			Outcome: m.unsentOutcome(request),
			Error:   noBindingText(name, set.Sequence),
			Cause:   ErrNoBinding,
		}, now)
		return false
	}
	request.databaseName = binding.Database
	request.freshness = binding.Freshness
	request.bindingSequence = set.Sequence
	return true
}

// respondBindingMoved ends a request and its session, because the binding now names
// another database than that of the instance which holds the session's state.
func (m *Machine) respondBindingMoved(request *Request, now time.Duration) {
	request.session.stateLost = true
	result := notCommitted("the binding moved to another database; the session's state is closed")
	result.SessionClosed = true
	m.respond(request, result, now)
}

// resumeAwaitingLease binds the requests that waited for a lease.
func (m *Machine) resumeAwaitingLease(now time.Duration) {
	if len(m.awaitingLease) == 0 {
		return
	}
	if !m.Routing().HasLease(now) {
		m.awaitingLease = slices.DeleteFunc(m.awaitingLease, func(request *Request) bool { return request.responded })
		return
	}
	waiting := m.awaitingLease
	m.awaitingLease = nil
	for _, request := range waiting {
		m.Bind(request, now)
	}
}

// Enqueue adds a request to its queue. If the queue is full, it rejects the request.
func (m *Machine) Enqueue(request *Request, now time.Duration) {
	if request.responded {
		m.recordNotCommitted(request, now)
		return
	}
	database := m.database(request.databaseName)
	queue := database.queueOf(request)
	if queue.length >= m.timing.MaxQueue {
		m.recordNotCommitted(request, now)
		result := notCommitted("the line is full")
		result.RetryAfter = m.retryAfter(request, now)
		m.respond(request, result, now)
		return
	}
	request.phase = phaseQueued
	queue.pushBack(request)
	m.dispatch(database, now)
}

func (m *Machine) dequeue(request *Request) {
	request.phase = phaseDone
	m.database(request.databaseName).queueOf(request).onRemoved()
}

// unsentOutcome returns the outcome of a request that ends before it is sent. The
// outcome is unknown for a write that may be a retry, since the first attempt may
// have been committed on another node.
func (m *Machine) unsentOutcome(request *Request) Outcome {
	if request.mayPersist() && !m.requestLog.IsUnseen(request.op.RequestID) {
		return OutcomeUnknown
	}
	return OutcomeNotCommitted
}
