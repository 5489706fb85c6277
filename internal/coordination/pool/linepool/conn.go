package linepool

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

type connState int

const (
	// connOpening means that the handshake is not complete.
	connOpening connState = iota
	// connIdle means that no answer is pending; a transaction may be open.
	connIdle
	// connBusy means that answers are pending.
	connBusy
	// connClosed means that the machine has closed the connection.
	connClosed
)

// Conn is one connection to an instance.
type Conn struct {
	// Transport is for the program that carries out OpenConn; the machine does
	// not use it.
	Transport any
	instance  *instanceState
	state     connState
	// variables and prepared are the session state at the instance; prepared
	// maps the text of a statement to the name under which it is prepared.
	variables     map[string]string
	prepared      map[string]string
	preparedCount int
	// dirty is true if the session state is unknown and must be reset.
	dirty bool
	// sessionChanged is true if session state was changed since the connection
	// was taken from the idle list, or since its transaction began. A rollback
	// may undo the change.
	sessionChanged bool
	// owner is the client whose transaction is open on the connection, or nil.
	owner   *Client
	attempt *requestAttempt
	// pending has one entry for each answer that is still expected, in order:
	// the attempt that the answer belongs to, or nil for a command of the
	// node's own.
	pending   []*requestAttempt
	openedAt  time.Duration
	idleSince time.Duration
	// sentAt is the time at which the last commands were sent.
	sentAt time.Duration
	// term is the writer term in which the open transaction began.
	term uint64
	// incoming is the answer that has arrived in part.
	incoming answer
	// history holds the answers that the connection has delivered recently, and
	// position the highest position in them.
	history  answerHistory
	position model.Position
	// begun describes the acknowledgments inside transactions.
	begun beginRecord
	// errors holds the errors of the connection that may be repeated.
	errors errorHistory
	// acknowledged is true if the connection has delivered an answer without a stamp.
	acknowledged bool
	// repeatedReady is true if the result of a repeated answer was dropped, and its
	// ready message may follow.
	repeatedReady bool
}

// IsClosed reports whether the machine has closed the connection.
func (c *Conn) IsClosed() bool { return c.state == connClosed }

func (m *Machine) canOpen(instance *instanceState, now time.Duration) bool {
	return len(instance.conns) < instance.quota.MaxOpen && instance.backoff.Over(now) && instance.info.Address != ""
}

// openConns opens connections to an instance for the waiting statements, within
// the limits of the instance's window and the node's quota.
func (m *Machine) openConns(instance *instanceState, waiting int, now time.Duration) {
	wanted := min(waiting, max(instance.window.Available(), 1))
	for instance.opening < wanted && m.canOpen(instance, now) {
		conn := &Conn{instance: instance, state: connOpening, openedAt: now}
		instance.opening++
		instance.conns = append(instance.conns, conn)
		m.Emit(OpenConn{Conn: conn, Address: instance.info.Address, Database: instance.info.Database, Instance: instance.info.Name})
	}
}

// onOpened handles the first message on a connection, which ends the handshake.
func (m *Machine) onOpened(conn *Conn, message lineproto.Message, now time.Duration) {
	instance := conn.instance
	if message.Code == lineproto.CodeWrongInstance {
		m.ConnLost(conn, now)
		return
	}
	instance.opening--
	instance.lastResponse, instance.refusals = now, 0
	if message.Kind != lineproto.KindReady {
		m.Count("connections_refused", 1)
		m.backOff(instance, now)
		conn.state = connIdle
		m.closeConn(conn, now)
		return
	}
	m.Count("connections_opened", 1)
	instance.backoff.Succeed()
	conn.record(answer{}, message, now)
	conn.state = connBusy
	m.release(conn, now)
	m.dispatch(instance.database, now)
}

func (m *Machine) backOff(instance *instanceState, now time.Duration) {
	instance.backoff.Fail(m.timing.BackoffMin, m.timing.BackoffMax, now)
}

// releaseInState makes a connection idle if its session is in the idle state,
// and closes it if a transaction is still open.
func (m *Machine) releaseInState(conn *Conn, state byte, now time.Duration) {
	if state != lineproto.StateIdle {
		m.closeConn(conn, now)
		return
	}
	m.release(conn, now)
}

// release makes a connection idle. It closes the connection instead if the
// instance has stopped, if it is draining and not the primary, if the node
// has more connections than its quota, or if the connection has delivered too many
// errors.
func (m *Machine) release(conn *Conn, now time.Duration) {
	if conn.state == connClosed {
		return
	}
	instance := conn.instance
	conn.state, conn.attempt = connIdle, nil
	draining := instance.drainingSince != 0 && !m.isPrimary(instance)
	if draining || instance.info.Stopped || conn.errors.isFull() || len(instance.conns) > instance.quota.MaxOpen {
		m.closeConn(conn, now)
		return
	}
	conn.sessionChanged, conn.idleSince = false, now
	instance.idle = append(instance.idle, conn)
}

func (m *Machine) closeIdleConns(instance *instanceState, now time.Duration) {
	for _, conn := range slices.Clone(instance.idle) {
		m.closeConn(conn, now)
	}
}

// closeConn closes a connection. An attempt that is in flight on it is counted
// as lost in the window; the caller must handle the attempt's request.
func (m *Machine) closeConn(conn *Conn, now time.Duration) {
	if conn.state == connClosed {
		return
	}
	m.removeConn(conn)
	if attempt := conn.attempt; attempt != nil {
		conn.attempt = nil
		m.releaseLost(attempt, now)
	}
}

func (m *Machine) removeConn(conn *Conn) {
	instance := conn.instance
	if conn.state == connOpening {
		instance.opening--
	}
	conn.state = connClosed
	isConn := func(other *Conn) bool { return other == conn }
	instance.conns = slices.DeleteFunc(instance.conns, isConn)
	instance.idle = slices.DeleteFunc(instance.idle, isConn)
	m.Emit(CloseConn{Conn: conn})
}

func (m *Machine) releaseLost(attempt *requestAttempt, now time.Duration) {
	latency := m.normalizedLatency(attempt.request, now-attempt.sentAt)
	attempt.conn.instance.window.Release(flowcontrol.Lost, latency)
}

// ConnLost handles a connection that the instance has closed, that could not be
// opened, or that has delivered an invalid message.
func (m *Machine) ConnLost(conn *Conn, now time.Duration) {
	if conn.state == connClosed {
		return
	}
	instance := conn.instance
	if conn.state == connOpening {
		instance.refusals++
		m.Count("connections_refused", 1)
		m.backOff(instance, now)
	}
	if conn.attempt != nil {
		m.releaseLost(conn.attempt, now)
		instance.health.Observe(true, now)
	}
	m.loseConn(conn, now)
}

// loseConn ends a connection, and the request or transaction on it as far as they depend
// on it. The attempt on it has left the window.
func (m *Machine) loseConn(conn *Conn, now time.Duration) {
	instance := conn.instance
	m.removeConn(conn)
	attempt, owner := conn.attempt, conn.owner
	conn.attempt, conn.owner = nil, nil
	if attempt != nil && attempt.isCurrent() {
		m.Count("statements_cut", 1)
		m.onAttemptLost(attempt, now)
	} else if owner.isInTransactionOn(conn) {
		owner.transaction.conn = nil
		m.loseTransaction(owner, now)
	}
	m.dispatch(instance.database, now)
}

// onAttemptLost requeues or ends a request whose connection ended before the
// answer arrived.
func (m *Machine) onAttemptLost(attempt *requestAttempt, now time.Duration) {
	request := attempt.request
	if request.transaction != nil {
		request.transaction.conn = nil
	}
	if request.mayPersist() && attempt.statementSent {
		m.respondUnknown(request, errConnectionEnded, now)
		return
	}
	if request.transaction != nil && !attempt.statementSent {
		m.requeue(request, now)
		return
	}
	if request.transaction != nil {
		request.transaction.lost = true
		m.abortTransaction(request, now)
		return
	}
	if attempt.hasOtherAttempt() {
		attempt.abandoned = true
		return
	}
	request.avoid = attempt.conn.instance
	m.requeue(request, now)
}

// maintainConns closes the connections to an instance that have timed out, are
// surplus, or remain after the instance's drain window is over.
func (m *Machine) maintainConns(instance *instanceState, now time.Duration) {
	for _, conn := range slices.Clone(instance.conns) {
		if conn.state == connOpening && now-conn.openedAt > m.timing.OpenTimeout {
			m.ConnLost(conn, now)
		}
		if conn.isAbandoned() && now-conn.sentAt > m.timing.AbandonedTimeout {
			m.closeConn(conn, now)
		}
	}
	m.closeSurplusConns(instance, now)
	if m.isDrainOver(instance, now) {
		m.closeDrainedConns(instance, now)
	}
}

// isAbandoned reports whether answers are pending for which no client waits: those to an
// abandoned attempt, or to a command of the node's own.
func (c *Conn) isAbandoned() bool {
	return c.state == connBusy && (c.attempt == nil || c.attempt.abandoned)
}

// closeDrainedConns closes the idle connections to an instance whose drain
// window is over, and ends the transactions on its other connections.
func (m *Machine) closeDrainedConns(instance *instanceState, now time.Duration) {
	m.closeIdleConns(instance, now)
	for _, conn := range slices.Clone(instance.conns) {
		if conn.owner != nil {
			m.loseTransaction(conn.owner, now)
		}
	}
}

// closeSurplusConns closes connections that have been idle for SurplusIdle,
// while the node has more connections, idle or in use, than it may keep idle.
// Other nodes can then open connections.
func (m *Machine) closeSurplusConns(instance *instanceState, now time.Duration) {
	if !instance.quota.IsScarce() {
		return
	}
	for _, conn := range slices.Clone(instance.idle) {
		if len(instance.conns) > instance.quota.MaxIdle && now-conn.idleSince >= m.timing.SurplusIdle {
			m.Count("connections_given_back", 1)
			m.closeConn(conn, now)
		}
	}
}
