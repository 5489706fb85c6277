package httppool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/state/model"
)

// Opened is a consumer that was let in.
type OpenedSession struct {
	ID              string
	BindingSequence uint64
	// Marks are those given that tell of databases known here.
	MinPositions map[string]model.Position
}

func reject(cause string, retry time.Duration, text string, parts ...any) Result {
	return Result{Cause: cause, RetryAfter: retry, Error: fmt.Sprintf(text, parts...)}
}

// Open lets a consumer in; false gives the refusal.
func (m *Machine) OpenSession(binding, remote string, minPositions map[string]model.Position, now time.Duration) (OpenedSession, Result, bool) {
	if ready, reason := m.Ready(now); !ready {
		return OpenedSession{}, reject(CauseNotReady, 500*time.Millisecond+m.jitter(50*time.Millisecond), "not ready: %s", reason), false
	}
	if len(m.sessions) >= m.timing.MaxSessions {
		return OpenedSession{}, reject(CauseNotReady, time.Second, "this node has as many sessions as it takes"), false
	}
	set := m.effectiveSet(now)
	if _, bindingFound := set.Binding(binding); !bindingFound {
		return OpenedSession{}, reject(CauseNoBinding, 0, "no binding %q in sequence %d", binding, set.Sequence), false
	}
	m.lastSessionNumber++
	session := &clientSession{id: m.requestLog.SessionID(m.lastSessionNumber), binding: binding, remoteAddress: remote, minPositions: map[string]model.Position{}, lastUsed: now}
	for database, position := range minPositions {
		if _, found := m.databaseNames.Lookup(database); found {
			session.minPositions[database] = position
		}
	}
	m.sessions[session.id] = session
	m.sessionOrder = append(m.sessionOrder, session)
	m.sessionsByAddress[remote] = append(m.sessionsByAddress[remote], session)
	m.requestLog.OpenSession(session.id)
	m.count("consumers_opened", 1)
	return OpenedSession{ID: session.id, BindingSequence: set.Sequence, MinPositions: maps.Clone(session.minPositions)}, Result{}, true
}

func (m *Machine) jitter(step time.Duration) time.Duration {
	m.jitterCount++
	return time.Duration(m.jitterCount%16) * step
}

// Close lets a consumer go and gives its marks.
func (m *Machine) CloseSession(sessionID string, now time.Duration) (map[string]model.Position, bool) {
	session, found := m.sessions[sessionID]
	if !found {
		return nil, false
	}
	m.endSession(session, now)
	return maps.Clone(session.minPositions), true
}

// Gone tells that a consumer's connection ended.
func (m *Machine) ClientLost(remote string, now time.Duration) {
	for _, session := range slices.Clone(m.sessionsByAddress[remote]) {
		m.count("consumers_gone", 1)
		m.endSession(session, now)
	}
}

func (m *Machine) endSession(session *clientSession, now time.Duration) {
	session.closed = true
	if !session.busy {
		m.discardPinned(session)
	}
	m.removeSession(session, now)
}

func (m *Machine) removeSession(session *clientSession, now time.Duration) {
	if m.sessions[session.id] != session {
		return
	}
	m.requestLog.CloseSession(session.id, now)
	delete(m.sessions, session.id)
	remaining := slices.DeleteFunc(m.sessionsByAddress[session.remoteAddress], func(other *clientSession) bool { return other == session })
	m.sessionsByAddress[session.remoteAddress] = remaining
	if len(remaining) == 0 {
		delete(m.sessionsByAddress, session.remoteAddress)
	}
}

func (m *Machine) pin(session *clientSession, conn *Conn) {
	session.pinnedConn = conn
	conn.instance.pinnedSessions = append(conn.instance.pinnedSessions, session)
}

func (m *Machine) unpin(session *clientSession) {
	instance := session.pinnedConn.instance
	instance.pinnedSessions = slices.DeleteFunc(instance.pinnedSessions, func(other *clientSession) bool { return other == session })
	session.pinnedConn, session.inTransaction, session.stateLost = nil, false, false
}

func (m *Machine) discardPinned(session *clientSession) {
	if session.pinnedConn == nil {
		return
	}
	conn := session.pinnedConn
	m.unpin(session)
	m.closeConn(conn)
	session.closed = true
	m.count("sessions_lost", 1)
}

// Enter takes a request from a consumer. Where it is taken, Bind is next;
// false gives the refusal.
func (m *Machine) Accept(sessionID string, op Op, timeout time.Duration, token any, now time.Duration) (*Request, Result, bool) {
	session, found := m.sessions[sessionID]
	if !found || session.closed {
		m.count("sessions_unknown", 1)
		return nil, reject(CauseNoSession, 0, "no such session here: open one and come back"), false
	}
	if session.busy {
		return nil, reject(CauseSessionBusy, 0, "the session has a request out"), false
	}
	if timeout == 0 {
		timeout = m.timing.DefaultDeadline
	}
	request := &Request{Token: token, op: op, session: session, arrivedAt: now, deadline: now + timeout, strict: true, inTransaction: session.inTransaction}
	if m.draining && !session.inTransaction {
		result := drainingResult
		result.Outcome = m.unsentOutcome(request)
		m.endSession(session, now)
		result.MinPositions = maps.Clone(session.minPositions)
		return nil, result, false
	}
	if m.routing.HasLease(now) {
		set := m.effectiveSet(now)
		binding, bindingFound := set.Binding(session.binding)
		if !bindingFound {
			return nil, reject(CauseNoBinding, 0, "no binding %q in sequence %d", session.binding, set.Sequence), false
		}
		request.databaseName, request.freshness = binding.Database, binding.Freshness
	}
	session.busy, session.lastUsed = true, now
	return request, Result{}, true
}

var drainingResult = Result{Outcome: OutcomeNotCommitted, Error: "this node is stopping: open a session at another", RetryAfter: 50 * time.Millisecond, SessionClosed: true}

func (m *Machine) expireSessions(now time.Duration) {
	if now-m.lastSweep < time.Second {
		return
	}
	m.lastSweep = now
	m.requestLog.ExpireSessions(now)
	kept := m.sessionOrder[:0]
	for _, session := range m.sessionOrder {
		stuck := session.inTransaction && !session.busy && now-session.lastUsed > m.timing.IdleInTransaction
		if stuck {
			m.count("transactions_abandoned", 1)
			m.discardPinned(session)
		}
		expired := !session.busy && now-session.lastUsed > m.timing.SessionIdleTimeout
		if expired || (session.closed && !session.busy && now-session.lastUsed > time.Minute) {
			m.discardPinned(session)
			m.removeSession(session, now)
		}
		if m.sessions[session.id] == session {
			kept = append(kept, session)
		}
	}
	clear(m.sessionOrder[len(kept):])
	m.sessionOrder = kept
}

// Leave makes the node unready and ends what waits in line with a word on
// coming back; transactions that are open go on.
func (m *Machine) Drain(now time.Duration) {
	m.draining = true
	for _, request := range m.awaitingLease {
		m.Cancel(request, now)
	}
	for _, database := range m.databases {
		for _, queue := range []*requestQueue{&database.transactions, &database.writes, &database.reads} {
			for _, request := range slices.Clone(queue.requests) {
				if request.phase == phaseQueued && !request.session.inTransaction {
					m.dequeue(request)
					m.recordOutcome(request.op.RequestID, idempotency.StateNotCommitted, nil, model.Position{}, now)
					m.respond(request, drainingResult, now)
				}
			}
		}
	}
}

// Busy counts the consumers with a request out or a transaction open.
func (m *Machine) ActiveSessions() int {
	count := 0
	for _, session := range m.sessionOrder {
		if m.sessions[session.id] == session && (session.busy || session.inTransaction) {
			count++
		}
	}
	return count
}

// Part shuts every connection that a consumer holds.
func (m *Machine) DisconnectSessions() int {
	for _, session := range m.sessionOrder {
		m.discardPinned(session)
	}
	return len(m.sessions)
}
