package linepool

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/state/lineproto"
)

func (m *Machine) closeIdleConns(instance *instanceState, now time.Duration) {
	for _, conn := range slices.Clone(instance.idle) {
		m.closeConn(conn, now)
	}
}

// recycle makes a connection idle, unless it should not go on.
func (m *Machine) release(conn *Conn, now time.Duration) {
	instance := conn.instance
	if conn.state == connClosed {
		return
	}
	conn.state, conn.attempt = connIdle, nil
	if (instance.drainingSince != 0 && !m.isPrimary(instance)) || instance.info.Stopped || len(instance.conns) > instance.quota.MaxOpen {
		m.closeConn(conn, now)
		return
	}
	conn.changed, conn.idleSince = false, now
	instance.idle = append(instance.idle, conn)
}

func (m *Machine) releaseInState(conn *Conn, state byte, now time.Duration) {
	if state != lineproto.StateIdle {
		m.closeConn(conn, now)
		return
	}
	m.release(conn, now)
}

// shut closes a connection of ours.
func (m *Machine) closeConn(conn *Conn, now time.Duration) {
	if conn.state == connClosed {
		return
	}
	m.removeConn(conn)
	m.emit(CloseConn{Conn: conn})
	if attempt := conn.attempt; attempt != nil {
		conn.attempt = nil
		conn.instance.window.Release(flowcontrol.Lost, m.normalizedLatency(attempt.request, now-attempt.sentAt))
	}
}

func (m *Machine) removeConn(conn *Conn) {
	instance := conn.instance
	if conn.state == connOpening {
		instance.opening--
	}
	conn.state = connClosed
	same := func(other *Conn) bool { return other == conn }
	instance.conns = slices.DeleteFunc(instance.conns, same)
	instance.idle = slices.DeleteFunc(instance.idle, same)
}

// Lost tells that a connection has ended by itself, or makes no sense.
func (m *Machine) ConnLost(conn *Conn, now time.Duration) {
	if conn.state == connClosed {
		return
	}
	instance := conn.instance
	isOpening := conn.state == connOpening
	if isOpening {
		instance.refusals++
		m.count("connections_refused", 1)
		m.backOff(instance, now)
	}
	m.removeConn(conn)
	m.emit(CloseConn{Conn: conn})
	attempt := conn.attempt
	conn.attempt = nil
	if attempt != nil {
		instance.window.Release(flowcontrol.Lost, m.normalizedLatency(attempt.request, now-attempt.sentAt))
		instance.health.Observe(true, now)
	}
	owner := conn.owner
	conn.owner = nil
	if attempt != nil && !attempt.abandoned && attempt.request.phase == phaseInFlight {
		m.count("statements_cut", 1)
		m.onAttemptLost(attempt, now)
	} else if owner != nil && owner.transaction != nil && owner.transaction.conn == conn {
		owner.transaction.conn = nil
		m.loseTransaction(owner, now)
	}
	if !isOpening {
		instance.backoffUntil = max(instance.backoffUntil, now)
	}
	m.dispatch(m.databaseOf(instance), now)
}

func (m *Machine) onAttemptLost(attempt *requestAttempt, now time.Duration) {
	request := attempt.request
	if request.mayPersist() && attempt.statementSent {
		if request.transaction != nil {
			request.transaction.conn = nil
		}
		m.respondUnknown(request, "the instance's connection ended before its answer came", now)
		return
	}
	if request.transaction != nil && !attempt.statementSent {
		request.transaction.conn = nil
		m.requeue(request, now)
		return
	}
	if request.transaction != nil {
		request.transaction.conn, request.transaction.lost = nil, true
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

// hasTwin says whether the statement is out at another instance too.
func (attempt *requestAttempt) hasOtherAttempt() bool {
	return slices.ContainsFunc(attempt.request.attempts, func(other *requestAttempt) bool {
		return other != attempt && !other.abandoned && other.conn.state == connBusy
	})
}

// expire ends what its bound has passed for: statements and openings.
func (m *Machine) expireRequests(now time.Duration) {
	for _, request := range slices.Clone(m.awaitingLease) {
		if request.phase == phaseAwaitingLease && now >= min(request.arrivedAt+m.timing.UnavailableWait, m.queueDeadline(request)) {
			m.timeOut(request, now)
		}
	}
	for _, database := range m.databases {
		for _, list := range []*[]*Request{&database.transactionQueue, &database.primaryQueue, &database.readQueue, &database.inFlight, &database.unconfirmed} {
			for _, request := range slices.Clone(*list) {
				isAway := request.phase == phaseQueued && now >= request.arrivedAt+m.timing.UnavailableWait && m.isTargetUnavailable(database, request, now)
				isLong := request.phase == phaseQueued && now >= m.queueDeadline(request)
				if request.phase != phaseEnded && (now >= request.deadline || isAway || isLong) {
					m.timeOut(request, now)
				}
			}
		}
		if database.writerClosedAt != 0 && now-database.writerClosedAt >= m.timing.ClosingGrace {
			for _, request := range m.strandedCommits(database) {
				m.abortStranded(request, now)
			}
		}
	}
}

// cut ends a commit that is out at a primary that is one no more.
func (m *Machine) abortStranded(request *Request, now time.Duration) {
	for _, attempt := range request.attempts {
		if attempt.conn.state == connBusy && attempt.conn.attempt == attempt {
			attempt.abandoned = true
			attempt.conn.owner = nil
			m.closeConn(attempt.conn, now)
		}
	}
	if request.transaction != nil {
		request.transaction.conn = nil
	}
	m.respondUnknown(request, "its primary lost the writer role before it answered", now)
}

// patience is until when a statement may wait in line: what is given up on is
// told so while its client has time for another try. A transaction that has
// begun waits to the end, since its work would be lost.
func (m *Machine) queueDeadline(request *Request) time.Duration {
	if request.transaction != nil && request.transaction.conn != nil {
		return request.deadline
	}
	return request.arrivedAt + time.Duration(float64(request.deadline-request.arrivedAt)*m.timing.QueueFraction)
}

// isAway says whether what a statement in line waits for is not there at all:
// the lease, or the writer role.
func (m *Machine) isTargetUnavailable(database *databaseState, request *Request, now time.Duration) bool {
	_, _, open := m.writer(database)
	return !m.routing.HasLease(now) || (request.strict && !open)
}

var timeoutHandlers map[phase]func(*Machine, *Request, time.Duration)

func init() {
	timeoutHandlers = map[phase]func(*Machine, *Request, time.Duration){
		phaseAwaitingLease: (*Machine).timeOutQueued,
		phaseQueued:        (*Machine).timeOutQueued,
		phaseInFlight:      (*Machine).timeOutInFlight,
		phaseUnconfirmed: func(m *Machine, request *Request, now time.Duration) {
			m.respondUnknown(request, "it ran, but the lease to say so did not come in time", now)
		},
	}
}

func (m *Machine) timeOut(request *Request, now time.Duration) {
	m.count("timeouts", 1)
	timeoutHandlers[request.phase](m, request, now)
}

func (m *Machine) timeOutQueued(request *Request, now time.Duration) {
	code := lineproto.CodeBusy
	if request.transaction != nil && request.transaction.conn != nil {
		code = lineproto.CodeAborted
	}
	m.reject(request, code, "no room in time; come back in 200 ms", now)
}

func (m *Machine) timeOutInFlight(request *Request, now time.Duration) {
	if request.mayPersist() && request.isSent() {
		for _, attempt := range request.attempts {
			m.abandon(attempt, now)
		}
		if request.transaction != nil {
			request.transaction.conn = nil
		}
		m.respondUnknown(request, "no answer from the instance in time", now)
		return
	}
	for _, attempt := range request.attempts {
		m.abandon(attempt, now)
	}
	if request.transaction != nil {
		request.transaction.conn, request.transaction.lost = nil, true
		m.abortTransaction(request, now)
		return
	}
	m.reject(request, lineproto.CodeTimeout, "no answer from the instance in time", now)
}

// abandon closes the connection of a statement that nobody waits for.
func (m *Machine) abandon(attempt *requestAttempt, now time.Duration) {
	attempt.abandoned = true
	if attempt.conn.state == connBusy && attempt.conn.attempt == attempt {
		attempt.conn.owner = nil
		m.closeConn(attempt.conn, now)
	}
}

// tend looks after an instance's connections.
func (m *Machine) maintainConns(instance *instanceState, now time.Duration) {
	for _, conn := range slices.Clone(instance.conns) {
		isStuck := conn.state == connOpening && now-conn.openedAt > m.timing.OpenTimeout
		isDead := conn.state == connBusy && conn.attempt != nil && conn.attempt.abandoned && now-conn.attempt.sentAt > m.timing.AbandonedTimeout
		if isStuck {
			m.ConnLost(conn, now)
		}
		if isDead {
			m.closeConn(conn, now)
		}
	}
	m.closeSurplusConns(instance, now)
	if !m.isDrainOver(instance, now) {
		return
	}
	m.closeIdleConns(instance, now)
	for _, conn := range slices.Clone(instance.conns) {
		if conn.owner != nil {
			m.loseTransaction(conn.owner, now)
		}
	}
}

// giveBack closes what rests over the node's rights.
func (m *Machine) closeSurplusConns(instance *instanceState, now time.Duration) {
	if !instance.quota.IsScarce() {
		return
	}
	for _, conn := range slices.Clone(instance.idle) {
		if len(instance.conns) > instance.quota.MaxIdle && now-conn.idleSince >= m.timing.SurplusIdle {
			m.count("connections_given_back", 1)
			m.closeConn(conn, now)
		}
	}
}

// isSpent says whether an instance has been leaving for so long that nothing
// more is sent there.
func (m *Machine) isDrainOver(instance *instanceState, now time.Duration) bool {
	return instance.drainingSince != 0 && now-instance.drainingSince >= m.timing.DrainWindow
}

// IsOver says whether the machine has given the connection up.
func (c *Conn) IsClosed() bool { return c.state == connClosed }
