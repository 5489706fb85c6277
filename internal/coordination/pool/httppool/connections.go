package httppool

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

// Conn is one connection to an instance.
type Conn struct {
	// Transport belongs to the caller that carries out OpenConn and Send.
	Transport any

	instance    *instanceState
	term        uint64
	incarnation string
	// broken is true if the connection was lost. closed is true if the pool has
	// closed it.
	broken bool
	closed bool
}

func (m *Machine) canOpen(instance *instanceState, now time.Duration) bool {
	return instance.connections < m.connectionShare(instance) && instance.backoff.Over(now) && !instance.leaving()
}

// openConns opens connections for waiting requests, as far as the window and the
// node's share of the instance's connections have room.
func (m *Machine) openConns(instance *instanceState, waiting int, now time.Duration) {
	wanted := min(waiting, instance.window.Available())
	for instance.opening < wanted && m.canOpen(instance, now) {
		instance.opening++
		instance.connections++
		m.Emit(OpenConn{Conn: &Conn{instance: instance}, Address: instance.observation.Instance.Address})
	}
}

// ConnOpened handles the result of OpenConn. If the instance could not be reached,
// connected is false and reply is empty.
func (m *Machine) ConnOpened(conn *Conn, reply Reply, connected bool, now time.Duration) {
	instance := conn.instance
	instance.opening--
	sameIncarnation := reply.Incarnation == instance.incarnation()
	if connected && !sameIncarnation {
		m.Count("sessions_to_reborn", 1)
	}
	if connected && sameIncarnation && !reply.Rejected && !reply.Failed {
		m.useOpenedConn(conn, now)
	} else {
		m.closeRefusedConn(conn, now)
	}
	m.dispatch(instance.database, now)
}

func (m *Machine) useOpenedConn(conn *Conn, now time.Duration) {
	m.Count("sessions_opened", 1)
	instance := conn.instance
	instance.observation.LastResponse = now
	instance.backoff.Succeed()
	conn.incarnation = instance.incarnation()
	conn.term = m.Routing().WriterRole(instance.database.name).Term
	m.releaseConn(conn)
}

func (m *Machine) closeRefusedConn(conn *Conn, now time.Duration) {
	m.closeConn(conn)
	m.Count("sessions_refused", 1)
	conn.instance.backoff.Fail(m.timing.BackoffMin, m.timing.BackoffMax, now)
}

// ConnLost handles the loss of a connection that the pool has not closed. A request
// in flight on the connection ends by a separate event, ReplyReceived.
func (m *Machine) ConnLost(conn *Conn, now time.Duration) {
	conn.broken = true
	instance := conn.instance
	if index := slices.Index(instance.idle, conn); index >= 0 {
		instance.idle = slices.Delete(instance.idle, index, index+1)
		m.closeConn(conn)
	}
	for _, session := range instance.pinnedSessions {
		if session.pinnedConn == conn {
			if !session.busy {
				m.discardPinned(session)
			}
			return
		}
	}
}

func (m *Machine) closeConn(conn *Conn) {
	if conn.closed {
		return
	}
	conn.closed = true
	conn.instance.connections--
	m.Emit(CloseConn{Conn: conn})
}

func (m *Machine) closeIdleConns(instance *instanceState) {
	for _, conn := range instance.idle {
		m.closeConn(conn)
	}
	instance.idle = nil
}

// releaseConn adds a connection without session state to the idle connections, or
// closes it if it must not be used again.
func (m *Machine) releaseConn(conn *Conn) {
	if conn.closed {
		return
	}
	instance := conn.instance
	surplus := instance.connections > m.connectionShare(instance)
	if conn.broken || instance.leaving() || surplus || m.isStale(conn) {
		m.closeConn(conn)
		return
	}
	instance.idle = append(instance.idle, conn)
}

// isStale reports whether a connection was opened to an earlier incarnation of its
// instance, or leads to the primary and was opened in an earlier term. Connections
// to the primary are also stale while its term is not open.
func (m *Machine) isStale(conn *Conn) bool {
	instance := conn.instance
	if conn.incarnation != instance.incarnation() {
		return true
	}
	writer := m.Routing().WriterRole(instance.database.name)
	return writer.Primary == instance.name() && (writer.Phase != model.PhaseOpen || conn.term != writer.Term)
}

// returnConn takes back the connection of a request that was answered. A connection
// without session state becomes idle. A connection with state stays pinned to its
// session, or is pinned to the session if the operation may leave state; otherwise
// it is closed.
func (m *Machine) returnConn(request *Request, reply Reply) {
	conn, session := request.conn, request.session
	if session.pinnedConn == conn {
		m.returnPinned(session, reply)
		return
	}
	if reply.Clean {
		m.releaseConn(conn)
		return
	}
	pinnable := session.pinnedConn == nil && !session.closed && !conn.closed
	if request.op.leavesState() && !request.responded && pinnable {
		session.pin(conn)
		session.inTransaction = reply.InTransaction
		return
	}
	m.closeConn(conn)
	m.Count("sessions_closed_unclean", 1)
}

func (m *Machine) returnPinned(session *clientSession, reply Reply) {
	conn := session.pinnedConn
	session.inTransaction = reply.InTransaction
	if session.stateLost || session.closed {
		m.discardPinned(session)
		return
	}
	if reply.Clean {
		session.unpin()
		m.releaseConn(conn)
	}
}

// reclaimIdle closes the pinned connection that has been idle longest, if a request
// has waited for longer than ReclaimAfter and no other connection is available.
// Connections of sessions inside a transaction are not closed.
func (m *Machine) reclaimIdle(instance *instanceState, request *Request, now time.Duration) {
	waited := now - request.arrivedAt
	exhausted := instance.connections >= m.connectionShare(instance) && instance.opening == 0
	if !exhausted || waited <= m.timing.ReclaimAfter {
		return
	}
	minIdle := m.timing.ReclaimMinIdle
	if waited > m.timing.ReclaimMinIdle {
		minIdle = m.timing.ReclaimAfter
	}
	var oldest *clientSession
	for _, session := range instance.pinnedSessions {
		if session.inTransaction || !session.idleLongerThan(minIdle, now) {
			continue
		}
		if oldest == nil || session.lastUsed < oldest.lastUsed {
			oldest = session
		}
	}
	if oldest != nil {
		m.Count("sessions_shed", 1)
		m.discardPinned(oldest)
	}
}

// closeOverdue closes the connections of abandoned requests that are older than
// AbandonedTimeout. If the instance has been leaving for longer than LeaveGrace,
// closeOverdue also abandons the requests in flight and closes the connections that
// are still in use or pinned.
func (m *Machine) closeOverdue(instance *instanceState, now time.Duration) {
	for _, request := range slices.Clone(instance.abandoned) {
		if now-request.sentAt > m.timing.AbandonedTimeout {
			m.closeAbandoned(request)
		}
	}
	if instance.leaving() && now-instance.leavingSince > m.timing.LeaveGrace {
		m.abandonAll(instance, now)
		m.discardIdlePinned(instance)
	}
}

func (m *Machine) closeAbandoned(request *Request) {
	request.instance.removeAbandoned(request)
	if request.session.pinnedConn == request.conn {
		m.discardPinned(request.session)
	}
	m.closeConn(request.conn)
}

// discardIdlePinned closes the pinned connections to an instance, except those of
// sessions that wait for an answer.
func (m *Machine) discardIdlePinned(instance *instanceState) {
	for _, session := range slices.Clone(instance.pinnedSessions) {
		if !session.busy {
			m.discardPinned(session)
		}
	}
}
