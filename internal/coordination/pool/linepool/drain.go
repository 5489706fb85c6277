package linepool

import (
	"time"

	"tansyseam/internal/state/lineproto"
)

// idleCheckInterval is the interval between searches for transactions that have
// been idle for too long.
const idleCheckInterval = 200 * time.Millisecond

// Drain makes the node unready. The node continues to serve for Timing.Linger
// and then closes sessions as they become idle. From Timing.EndTransactions on it
// rejects new work, and at Timing.EndSessions it ends what is left.
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

// drainStage is the progress of a drain.
type drainStage int

const (
	// drainNone means that the node does not drain, or still lingers.
	drainNone drainStage = iota
	// drainClosingIdle means that sessions are closed when they are idle.
	drainClosingIdle
	// drainRejecting means that no new work is begun: connect requests and
	// statements outside transactions are rejected. What was read before is
	// served.
	drainRejecting
	// drainEnded means that all sessions are closed.
	drainEnded
)

func (m *Machine) drainStage(now time.Duration) drainStage {
	elapsed := now - m.drainStarted
	if !m.Draining() || elapsed < m.timing.Linger {
		return drainNone
	}
	if elapsed < m.timing.EndTransactions {
		return drainClosingIdle
	}
	if elapsed < m.timing.EndSessions {
		return drainRejecting
	}
	return drainEnded
}

// rejectsNewWork reports whether the node begins no new work because it stops.
func (m *Machine) rejectsNewWork(now time.Duration) bool { return m.drainStage(now) >= drainRejecting }

// drainSteps holds, by stage, what each tick does to a session.
var drainSteps = map[drainStage]func(*Machine, *Client, time.Duration){
	drainNone:        func(*Machine, *Client, time.Duration) {},
	drainClosingIdle: (*Machine).closeIfIdle,
	drainRejecting:   (*Machine).closeIfInactive,
	drainEnded:       (*Machine).endSession,
}

func (m *Machine) closeDrainedClients(now time.Duration) {
	step := drainSteps[m.drainStage(now)]
	for _, client := range m.clientsBySerial() {
		step(m, client, now)
	}
}

// closeIfIdle closes a session that waits for nothing, is in no transaction, and
// has been idle for Timing.DrainIdle.
func (m *Machine) closeIfIdle(client *Client, now time.Duration) {
	waitsForNothing := client.request == nil && client.state == lineproto.StateIdle && !client.isConnecting()
	if waitsForNothing && now-client.lastUsed >= m.timing.DrainIdle {
		m.closeStopping(client, now)
	}
}

// closeIfInactive closes a session that is idle, also if it has been idle in a
// transaction for Timing.DrainIdleInTransaction.
func (m *Machine) closeIfInactive(client *Client, now time.Duration) {
	inTransaction := client.request == nil && client.state != lineproto.StateIdle
	if inTransaction && now-client.lastUsed >= m.timing.DrainIdleInTransaction {
		m.closeStopping(client, now)
		return
	}
	m.closeIfIdle(client, now)
}

// rejectNewWork answers a query that would begin new work on a stopping node.
// The session is closed after the other queries that arrived with it.
func (m *Machine) rejectNewWork(client *Client) {
	client.rejected = true
	m.Count("drain_rejected", 1)
	m.respondError(client, errStopping)
}

// EndInput must be called after the queries that arrived together. It closes the
// session if the node has rejected one of them because it stops, so that the
// client continues at another node.
func (m *Machine) EndInput(client *Client, now time.Duration) {
	if client.rejected && !client.closed && client.request == nil {
		m.closeStopping(client, now)
	}
}

// endSession answers everything that a client waits for, and closes its
// session.
func (m *Machine) endSession(client *Client, now time.Duration) {
	m.countUnanswered(client)
	for client.request != nil {
		drainEnders[client.request.phase](m, client.request, now)
	}
	m.closeStopping(client, now)
}

// closeStopping closes a session that waits for nothing, because the node stops.
// The client is sent an error, which is the answer to a statement that crosses
// with the close: the node drops the statement and rolls the client's open
// transaction back, so that nothing is kept.
func (m *Machine) closeStopping(client *Client, now time.Duration) {
	if client.closed {
		return
	}
	err := errStopping
	if client.state != lineproto.StateIdle {
		err = stoppingErrors.aborted
	}
	m.Count("drain_sessions", 1)
	m.closeWithError(client, err, now)
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

// countUnanswered counts what a session still waits for at the end of a drain.
func (m *Machine) countUnanswered(client *Client) {
	if client.request == nil {
		return
	}
	m.Count("drain_sessions_busy", 1)
	m.Count(drainCounters[client.request.phase], 1)
	m.Count("drain_pipelined", int64(len(client.pipelined)))
}
