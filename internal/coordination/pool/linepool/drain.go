package linepool

import (
	"time"

	"tansyseam/internal/state/lineproto"
)

// idleCheckInterval is the interval between searches for transactions that have
// been idle for too long.
const idleCheckInterval = 200 * time.Millisecond

// Drain makes the node unready. The node continues to serve for Timing.Linger
// and then closes sessions as they become idle.
func (m *Machine) Drain(now time.Duration) {
	if !m.Draining() {
		m.StartDraining()
		m.drainStarted = now
	}
}

// IsDrained reports whether no client session is left.
func (m *Machine) IsDrained() bool { return len(m.clients) == 0 }

// closeIdleClients ends transactions that have been idle for too long and,
// while the node drains, closes sessions.
func (m *Machine) closeIdleClients(now time.Duration) {
	due := now-m.lastIdleCheck > idleCheckInterval
	if !due && !m.Draining() {
		return
	}
	m.lastIdleCheck = now
	m.abortIdleTransactions(now)
	if m.Draining() {
		m.closeDrainedClients(now)
	}
}

func (m *Machine) abortIdleTransactions(now time.Duration) {
	limit := m.idleInTransactionLimit(now)
	for _, client := range m.clientsBySerial() {
		idle := client.transaction != nil && client.request == nil && now-client.lastUsed > limit
		if idle && !client.transaction.lost {
			m.Count("transactions_rested_out", 1)
			m.loseTransaction(client, now)
		}
	}
}

func (m *Machine) idleInTransactionLimit(now time.Duration) time.Duration {
	if limit := m.EffectiveSet(now).Limits.TransactionIdleTimeout; limit > 0 {
		return limit
	}
	return m.timing.IdleInTransaction
}

func (m *Machine) closeDrainedClients(now time.Duration) {
	elapsed := now - m.drainStarted
	if elapsed < m.timing.Linger {
		return
	}
	for _, client := range m.clientsBySerial() {
		idle := client.request == nil && client.state == lineproto.StateIdle && len(client.pipelined) == 0
		idleInTransaction := client.request == nil && elapsed > m.timing.EndTransactions
		if idle || idleInTransaction || m.isDrainEnded(now) {
			m.countDrained(client)
			m.endSession(client, now)
		}
	}
}

// isDrainEnded reports whether the node drains and the time has come at which
// it closes all sessions.
func (m *Machine) isDrainEnded(now time.Duration) bool {
	return m.Draining() && now-m.drainStarted > m.timing.EndSessions
}

// endSession answers everything that a client waits for, and closes its
// session.
func (m *Machine) endSession(client *Client, now time.Duration) {
	for client.request != nil {
		drainEnders[client.request.phase](m, client.request, now)
	}
	m.closeClient(client, now)
}

// drainEnders holds, by phase, the function that ends a request at the end of a
// drain.
var drainEnders = map[phase]func(*Machine, *Request, time.Duration){
	phaseAwaitingLease: (*Machine).rejectStopping,
	phaseQueued:        (*Machine).rejectStopping,
	phaseInFlight:      (*Machine).abandonStopping,
	phaseUnconfirmed:   (*Machine).respondUnconfirmedStopping,
}

func (m *Machine) abandonStopping(request *Request, now time.Duration) {
	m.abandonInFlight(request, stoppingErrors, now)
}

func (m *Machine) respondUnconfirmedStopping(request *Request, now time.Duration) {
	m.respondUnknown(request, stoppingErrors.unknown, now)
}

// rejectStopping ends a request that has not been sent.
func (m *Machine) rejectStopping(request *Request, now time.Duration) {
	if request.transaction != nil {
		m.reject(request, stoppingErrors.aborted, now)
		return
	}
	m.reject(request, errStopping, now)
}

// drainCounters holds, by phase, the name of the counter of the statements that
// a drain ended in that phase.
var drainCounters = map[phase]string{
	phaseAwaitingLease: "drain_awaiting_lease",
	phaseQueued:        "drain_queued",
	phaseInFlight:      "drain_in_flight",
	phaseUnconfirmed:   "drain_unconfirmed",
}

// countDrained counts a session that the drain is about to close, and what it
// still waits for.
func (m *Machine) countDrained(client *Client) {
	isConnecting := client.binding != "" && !client.connected
	if isConnecting {
		m.Count("drain_connecting", 1)
	}
	if client.request == nil {
		m.Count("drain_sessions_idle", 1)
		return
	}
	m.Count("drain_sessions_busy", 1)
	m.Count(drainCounters[client.request.phase], 1)
	m.Count("drain_pipelined", int64(len(client.pipelined)))
}
