package linepool

import (
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/state/lineproto"
)

// onStamped handles a complete answer with a stamp. It answers the statement that waits:
// the connection has not delivered the stamp before, and the instance owes no other one.
func (m *Machine) onStamped(conn *Conn, received answer, ready lineproto.Message, now time.Duration) {
	attempt := conn.sentStatement()
	if attempt == nil {
		m.closeUnasked(conn, now)
		return
	}
	if !conn.isProven(attempt, received, ready) {
		m.closeUnproven(conn, now)
		return
	}
	conn.pending = conn.pending[:0]
	m.acceptAnswer(conn, attempt, received, ready, now)
	m.completeStatement(attempt, ready, now)
}

// acceptAnswer records an answer that belongs to an attempt.
func (m *Machine) acceptAnswer(conn *Conn, attempt *requestAttempt, received answer, ready lineproto.Message, now time.Duration) {
	instance, kind := conn.instance, attempt.request.rowKind()
	instance.maxRows[kind] = max(instance.maxRows[kind], len(received.rows))
	attempt.rows, attempt.result = received.rows, received.result
	conn.errors.forget(attempt.sentAt)
	conn.record(received, ready, now)
}

// onFailed handles a complete answer with an error.
func (m *Machine) onFailed(conn *Conn, received answer, ready lineproto.Message, now time.Duration) {
	if conn.errors.has(received.result.Payload) {
		m.closeWithUnprovenError(conn, received, now)
		return
	}
	conn.errors.add(received.result.Payload, now)
	attempt := conn.popPending()
	conn.record(received, ready, now)
	if attempt == nil {
		m.Count("own_statements_failed", 1)
		conn.dirty = true
		m.onOwnCommandAnswered(conn, ready, now)
		return
	}
	attempt.rows, attempt.result = received.rows, received.result
	if !attempt.statementSent {
		m.onBeginRefused(attempt, ready, now)
		return
	}
	m.completeStatement(attempt, ready, now)
}

// closeWithUnprovenError closes a connection with an error that may be a repetition. It is
// most likely none, so it counts in the window as an error and not as a lost statement.
func (m *Machine) closeWithUnprovenError(conn *Conn, received answer, now time.Duration) {
	m.Count("answers_unproven", 1)
	attempt := conn.attempt
	if attempt == nil {
		m.ConnLost(conn, now)
		return
	}
	attempt.result = received.result
	m.markLagging(attempt, now)
	if attempt.statementSent {
		m.recordOutcome(attempt, now)
	} else {
		conn.instance.window.Release(flowcontrol.Rejected, 0)
	}
	m.loseConn(conn, now)
}

// onAcknowledged handles a complete answer without a stamp. It is dropped if the session
// is not in the state that the command leaves, since it may then be a repetition.
func (m *Machine) onAcknowledged(conn *Conn, received answer, ready lineproto.Message, now time.Duration) {
	if !conn.awaitsAcknowledgment() {
		m.closeMalformed(conn, now)
		return
	}
	attempt := conn.pending[0]
	begins := attempt != nil
	endsTransaction := attempt == nil && conn.attempt == nil
	inTransaction := ready.State == lineproto.StateInTransaction
	if conn.acknowledged && ((begins && !inTransaction) || (endsTransaction && ready.State != lineproto.StateIdle)) {
		m.Count("answers_repeated", 1)
		return
	}
	if begins && !inTransaction {
		m.closeMalformed(conn, now)
		return
	}
	if begins && !conn.isBeginProven(ready, now) {
		m.closeUnproven(conn, now)
		return
	}
	conn.popPending()
	conn.acknowledged = true
	conn.record(received, ready, now)
	if inTransaction {
		conn.begun = beginRecord{position: conn.begun.position.Max(ready.Position), at: now}
	}
	if begins {
		m.onBegun(attempt, ready, now)
		return
	}
	m.onOwnCommandAnswered(conn, ready, now)
}

// popPending removes the oldest answer that the instance owes, and returns the attempt
// that it belongs to, or nil for a command of the node's own.
func (c *Conn) popPending() *requestAttempt {
	attempt := c.pending[0]
	kept := copy(c.pending, c.pending[1:])
	c.pending = c.pending[:kept]
	return attempt
}

// record remembers an accepted answer.
func (c *Conn) record(received answer, ready lineproto.Message, now time.Duration) {
	c.position = c.position.Max(ready.Position)
	c.instance.position = c.instance.position.Max(ready.Position)
	c.history.add(received, ready, now)
}
