package httppool

import (
	"slices"
	"time"
)

// Drain marks the node as stopping. It ends the requests that wait for a lease and
// the queued requests outside of transactions, so that their clients retry on
// another node. Assigned requests still run, and open transactions continue.
func (m *Machine) Drain(now time.Duration) {
	m.StartDraining()
	for _, request := range m.awaitingLease {
		m.Cancel(request, now)
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

// DisconnectSessions closes all pinned connections and returns the number of
// sessions that are still open.
func (m *Machine) DisconnectSessions() int {
	for _, session := range m.sessionOrder {
		m.discardPinned(session)
	}
	return len(m.sessions)
}
