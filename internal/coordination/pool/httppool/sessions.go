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
func (m *Machine) OpenSession(binding, remote string, marks map[string]model.Position, now time.Duration) (OpenedSession, Result, bool) {
	if ready, why := m.Ready(now); !ready {
		return OpenedSession{}, reject(CauseNotReady, 500*time.Millisecond+m.jitter(50*time.Millisecond), "not ready: %s", why), false
	}
	if len(m.sessions) >= m.timing.MaxSessions {
		return OpenedSession{}, reject(CauseNotReady, time.Second, "this node has as many sessions as it takes"), false
	}
	set := m.effectiveSet(now)
	if _, bindingFound := set.Binding(binding); !bindingFound {
		return OpenedSession{}, reject(CauseNoBinding, 0, "no binding %q in sequence %d", binding, set.Sequence), false
	}
	m.lastSessionNumber++
	made := &clientSession{id: m.requestLog.SessionID(m.lastSessionNumber), binding: binding, remoteAddress: remote, minPositions: map[string]model.Position{}, lastUsed: now}
	for database, position := range marks {
		if _, found := m.databaseNames.Lookup(database); found {
			made.minPositions[database] = position
		}
	}
	m.sessions[made.id] = made
	m.sessionOrder = append(m.sessionOrder, made)
	m.sessionsByAddress[remote] = append(m.sessionsByAddress[remote], made)
	m.requestLog.OpenSession(made.id)
	m.count("consumers_opened", 1)
	return OpenedSession{ID: made.id, BindingSequence: set.Sequence, MinPositions: maps.Clone(made.minPositions)}, Result{}, true
}

func (m *Machine) jitter(step time.Duration) time.Duration {
	m.jitterCount++
	return time.Duration(m.jitterCount%16) * step
}

// Close lets a consumer go and gives its marks.
func (m *Machine) CloseSession(session string, now time.Duration) (map[string]model.Position, bool) {
	held, found := m.sessions[session]
	if !found {
		return nil, false
	}
	m.endSession(held, now)
	return maps.Clone(held.minPositions), true
}

// Gone tells that a consumer's connection ended.
func (m *Machine) ClientLost(remote string, now time.Duration) {
	for _, held := range slices.Clone(m.sessionsByAddress[remote]) {
		m.count("consumers_gone", 1)
		m.endSession(held, now)
	}
}

func (m *Machine) endSession(held *clientSession, now time.Duration) {
	held.closed = true
	if !held.busy {
		m.discardPinned(held)
	}
	m.removeSession(held, now)
}

func (m *Machine) removeSession(held *clientSession, now time.Duration) {
	if m.sessions[held.id] != held {
		return
	}
	m.requestLog.CloseSession(held.id, now)
	delete(m.sessions, held.id)
	left := slices.DeleteFunc(m.sessionsByAddress[held.remoteAddress], func(one *clientSession) bool { return one == held })
	m.sessionsByAddress[held.remoteAddress] = left
	if len(left) == 0 {
		delete(m.sessionsByAddress, held.remoteAddress)
	}
}

func (m *Machine) pin(held *clientSession, conn *Conn) {
	held.pinnedConn = conn
	conn.instance.pinnedSessions = append(conn.instance.pinnedSessions, held)
}

func (m *Machine) unpin(held *clientSession) {
	home := held.pinnedConn.instance
	home.pinnedSessions = slices.DeleteFunc(home.pinnedSessions, func(one *clientSession) bool { return one == held })
	held.pinnedConn, held.inTransaction, held.stateLost = nil, false, false
}

func (m *Machine) discardPinned(held *clientSession) {
	if held.pinnedConn == nil {
		return
	}
	conn := held.pinnedConn
	m.unpin(held)
	m.closeConn(conn)
	held.closed = true
	m.count("sessions_lost", 1)
}

// Enter takes a request from a consumer. Where it is taken, Bind is next;
// false gives the refusal.
func (m *Machine) Accept(session string, op Op, bound time.Duration, token any, now time.Duration) (*Request, Result, bool) {
	held, found := m.sessions[session]
	if !found || held.closed {
		m.count("sessions_unknown", 1)
		return nil, reject(CauseNoSession, 0, "no such session here: open one and come back"), false
	}
	if held.busy {
		return nil, reject(CauseSessionBusy, 0, "the session has a request out"), false
	}
	if bound == 0 {
		bound = m.timing.DefaultDeadline
	}
	request := &Request{Token: token, op: op, session: held, arrivedAt: now, deadline: now + bound, strict: true, inTransaction: held.inTransaction}
	if m.draining && !held.inTransaction {
		result := drainingResult
		result.Outcome = m.unsentOutcome(request)
		m.endSession(held, now)
		result.MinPositions = maps.Clone(held.minPositions)
		return nil, result, false
	}
	if m.routing.HasLease(now) {
		set := m.effectiveSet(now)
		binding, bindingFound := set.Binding(held.binding)
		if !bindingFound {
			return nil, reject(CauseNoBinding, 0, "no binding %q in sequence %d", held.binding, set.Sequence), false
		}
		request.databaseName, request.freshness = binding.Database, binding.Freshness
	}
	held.busy, held.lastUsed = true, now
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
	for _, held := range m.sessionOrder {
		stuck := held.inTransaction && !held.busy && now-held.lastUsed > m.timing.IdleInTransaction
		if stuck {
			m.count("transactions_abandoned", 1)
			m.discardPinned(held)
		}
		expired := !held.busy && now-held.lastUsed > m.timing.SessionIdleTimeout
		if expired || (held.closed && !held.busy && now-held.lastUsed > time.Minute) {
			m.discardPinned(held)
			m.removeSession(held, now)
		}
		if m.sessions[held.id] == held {
			kept = append(kept, held)
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
	for _, one := range m.databases {
		for _, waiting := range []*requestQueue{&one.transactions, &one.writes, &one.reads} {
			for _, request := range slices.Clone(waiting.requests) {
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
	for _, held := range m.sessionOrder {
		if m.sessions[held.id] == held && (held.busy || held.inTransaction) {
			count++
		}
	}
	return count
}

// Part shuts every connection that a consumer holds.
func (m *Machine) DisconnectSessions() int {
	for _, held := range m.sessionOrder {
		m.discardPinned(held)
	}
	return len(m.sessions)
}
