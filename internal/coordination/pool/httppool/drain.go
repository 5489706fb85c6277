package httppool

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Drain marks the node as stopping. It ends the requests that wait for a lease and
// the queued requests outside of transactions, so that their clients retry on
// another node. Assigned requests still run, and open transactions continue.
func (m *Machine) Drain(now time.Duration) {
	m.StartDraining()
	for _, request := range m.awaitingLease {
		result := drainingResult
		result.Outcome = m.unsentOutcome(request)
		m.respond(request, result, now)
	}
	for _, database := range m.databases.All() {
		for _, queue := range []*requestQueue{&database.transactions, &database.writes, &database.reads} {
			m.drainQueue(queue, now)
		}
	}
}

func (m *Machine) drainQueue(queue *requestQueue, now time.Duration) {
	for _, request := range slices.Clone(queue.requests) {
		if request.phase == phaseQueued && !request.session.inTransaction {
			m.dequeue(request)
			m.recordNotCommitted(request, now)
			m.respond(request, drainingResult, now)
		}
	}
}

// ActiveSessions returns the number of sessions with an unanswered request or an
// open transaction.
func (m *Machine) ActiveSessions() int {
	count := 0
	for _, session := range m.sessionOrder {
		if m.isOpen(session) && (session.busy || session.inTransaction) {
			count++
		}
	}
	return count
}

// EndDrain answers all requests that are not answered yet, each with its outcome as
// far as it is known, and ends their sessions. It closes all pinned connections, which
// rolls their transactions back, and returns the number of sessions that are still
// open. Afterwards no request is accepted.
func (m *Machine) EndDrain(now time.Duration) int {
	requests := m.unansweredRequests()
	m.Count("drain_ended", int64(len(requests)))
	for _, request := range requests {
		request.session.closed = true
	}
	for _, request := range requests {
		m.cancel(request, causeStopping, now)
	}
	for _, session := range m.sessionOrder {
		m.discardPinned(session)
	}
	return len(m.sessions)
}

// unansweredRequests returns the requests that have been accepted and not answered, in
// the order in which they were accepted.
func (m *Machine) unansweredRequests() []*Request {
	return slices.SortedFunc(maps.Keys(m.unanswered), func(a, b *Request) int { return cmp.Compare(a.number, b.number) })
}
