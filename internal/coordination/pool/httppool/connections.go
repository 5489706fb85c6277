package httppool

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/coordination/routing"
	"tansyseam/internal/state/model"
)

func (m *Machine) closeConn(conn *Conn) {
	if conn.closed {
		return
	}
	conn.closed = true
	conn.instance.connections--
	m.emit(CloseConn{Conn: conn})
}

func (m *Machine) closeIdleConns(instance *instanceState) {
	for _, conn := range instance.idle {
		m.closeConn(conn)
	}
	instance.idle = nil
}

// Opened takes a connection that was to be opened; isOpen is false where the
// instance could not be reached, and reply then says nothing.
func (m *Machine) ConnOpened(conn *Conn, reply Reply, connected bool, now time.Duration) {
	instance := conn.instance
	instance.opening--
	sameIncarnation := reply.Incarnation == instance.observation.Instance.Incarnation
	if connected && !sameIncarnation {
		m.count("sessions_to_reborn", 1)
	}
	database := m.databaseOf(instance)
	if !connected || !sameIncarnation || reply.Rejected || reply.Failed {
		m.closeConn(conn)
		m.count("sessions_refused", 1)
		instance.backoff = min(max(2*instance.backoff, m.timing.BackoffMin), m.timing.BackoffMax)
		instance.backoffUntil = now + instance.backoff
		m.dispatch(database, now)
		return
	}
	m.count("sessions_opened", 1)
	instance.observation.LastResponse, instance.backoff = now, 0
	conn.incarnation, conn.term = reply.Incarnation, m.routing.WriterRole(database.name).Term
	m.releaseConn(conn)
	m.dispatch(database, now)
}

func (m *Machine) releaseConn(conn *Conn) {
	instance := conn.instance
	writer := m.routing.WriterRole(m.databaseOf(instance).name)
	primary := writer.Primary == instance.observation.Instance.Name
	stale := primary && (writer.Phase != model.PhaseOpen || conn.term != writer.Term)
	restarted := conn.incarnation != instance.observation.Instance.Incarnation
	if conn.closed {
		return
	}
	if conn.broken || instance.leavingAt != 0 || stale || restarted || instance.connections > m.connectionShare(instance) {
		m.closeConn(conn)
		return
	}
	instance.idle = append(instance.idle, conn)
}

// Lost tells that a connection has ended. Where a statement is out on it,
// Answered tells the rest.
func (m *Machine) ConnLost(conn *Conn, now time.Duration) {
	conn.broken = true
	instance := conn.instance
	rank := slices.Index(instance.idle, conn)
	if rank >= 0 {
		instance.idle = slices.Delete(instance.idle, rank, rank+1)
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

// Answered takes the end of a request that was sent: its answer, or that
// the connection broke or made no sense.
func (m *Machine) ReplyReceived(request *Request, reply Reply, broken bool, now time.Duration) {
	database := m.database(request.databaseName)
	if broken {
		m.onConnBroken(request, now)
		m.dispatch(database, now)
		return
	}
	request.instance.observation.LastResponse = now
	m.recordLatency(request, reply, now)
	m.returnConn(request, reply)
	if request.phase == phaseInFlight {
		m.handleReply(request, database, reply, now)
	}
	m.dispatch(database, now)
}

func (m *Machine) releaseAbandoned(request *Request) bool {
	rank := slices.Index(request.instance.abandoned, request)
	if rank >= 0 {
		request.instance.abandoned = slices.Delete(request.instance.abandoned, rank, rank+1)
		request.instance.window.ReleaseAbandoned()
	}
	return rank >= 0
}

func (m *Machine) recordLatency(request *Request, reply Reply, now time.Duration) {
	if request.abandoned {
		m.releaseAbandoned(request)
		return
	}
	outcome := flowcontrol.Completed
	if reply.Rejected {
		outcome = flowcontrol.Rejected
	}
	m.removeInFlight(request)
	request.instance.window.Release(outcome, now-request.sentAt)
}

func (m *Machine) returnConn(request *Request, reply Reply) {
	conn, session := request.conn, request.session
	if session.pinnedConn == conn {
		session.inTransaction = reply.InTransaction
		if session.stateLost || session.closed {
			m.discardPinned(session)
			return
		}
		if reply.Clean {
			m.unpin(session)
			m.releaseConn(conn)
		}
		return
	}
	if reply.Clean {
		m.releaseConn(conn)
		return
	}
	keepsState := request.op.Kind == OpBegin || request.op.Kind == OpSet || request.op.Kind == OpPrepare
	if keepsState && !request.responded && !session.closed && session.pinnedConn == nil && !conn.closed {
		m.pin(session, conn)
		session.inTransaction = reply.InTransaction
		return
	}
	m.closeConn(conn)
	m.count("sessions_closed_unclean", 1)
}

func (m *Machine) onConnBroken(request *Request, now time.Duration) {
	m.count("sessions_broken", 1)
	if !m.releaseAbandoned(request) && slices.Contains(request.instance.inFlight, request) {
		m.removeInFlight(request)
		request.instance.window.Release(flowcontrol.Lost, now-request.sentAt)
	}
	if request.session.pinnedConn == request.conn {
		m.discardPinned(request.session)
	}
	m.closeConn(request.conn)
	if request.phase != phaseInFlight {
		return
	}
	request.phase = phaseDone
	if request.mayPersist() {
		m.recordOutcome(request.op.RequestID, idempotency.StateUnknown, nil, model.Position{}, now)
		m.respond(request, Result{Outcome: OutcomeUnknown, Error: "the instance's session ended before its answer came", RetryAfter: time.Second}, now)
		return
	}
	m.respond(request, Result{Outcome: OutcomeNotCommitted, Error: "the instance's session ended before its answer came", RetryAfter: 200 * time.Millisecond}, now)
}

func (m *Machine) handleReply(request *Request, database *databaseState, reply Reply, now time.Duration) {
	request.phase = phaseDone
	name := request.instance.observation.Instance.Name
	if reply.Rejected || reply.Failed {
		m.recordOutcome(request.op.RequestID, idempotency.StateNotCommitted, nil, model.Position{}, now)
		result := Result{Outcome: OutcomeNotCommitted, Error: reply.Error, Cause: CauseStatementFailed, Instance: name}
		if reply.Rejected {
			result.Cause, result.RetryAfter = "", 200*time.Millisecond
		}
		m.respond(request, result, now)
		return
	}
	if request.op.Kind == OpCommit || (request.op.Kind == OpRun && request.op.Write && !reply.InTransaction) {
		request.phase, request.executedAt, request.position, request.rows = phaseUnconfirmed, now, reply.Position, reply.Rows
		database.unconfirmed = append(database.unconfirmed, request)
		m.confirmCommits(database, now)
		return
	}
	if request.isRead() && reply.Position.IsBefore(request.assignedPosition) {
		m.count("reads_gone_back", 1)
		m.respond(request, Result{Outcome: OutcomeNotCommitted, Error: "the instance went back behind where it stood", RetryAfter: 50 * time.Millisecond}, now)
		return
	}
	result := Result{Outcome: OutcomeDone, Rows: reply.Rows, Instance: name, Position: reply.Position}
	if request.isRead() {
		result.Outcome = OutcomeRead
	}
	m.respond(request, result, now)
}

func (m *Machine) confirmCommits(database *databaseState, now time.Duration) {
	if len(database.unconfirmed) == 0 {
		return
	}
	var kept []*Request
	for _, request := range database.unconfirmed {
		verdict := m.routing.CommitVerdict(request.databaseName, request.term, request.position, now)
		if verdict == routing.VerdictNone {
			kept = append(kept, request)
			continue
		}
		if verdict == routing.VerdictDurable {
			m.count("confirm_us", (now - request.executedAt).Microseconds())
			request.session.minPositions[request.databaseName] = request.session.minPositions[request.databaseName].Max(request.position)
		}
		request.phase = phaseDone
		m.recordOutcome(request.op.RequestID, verdict, request.rows, request.position, now)
		m.respond(request, map[string]Result{
			routing.VerdictDurable: {Outcome: OutcomeCommitted, Rows: request.rows, Position: request.position, Instance: request.instance.observation.Instance.Name},
			routing.VerdictUnknown: {Outcome: OutcomeUnknown, Error: "it ran on a primary that has since lost the writer role", RetryAfter: time.Second},
		}[verdict], now)
	}
	database.unconfirmed = kept
}

func (m *Machine) abandon(request *Request, now time.Duration) {
	if !request.abandoned {
		request.abandoned = true
		request.instance.window.Abandon(now - request.sentAt)
		m.removeInFlight(request)
		request.instance.abandoned = append(request.instance.abandoned, request)
	}
	result := Result{Outcome: OutcomeNotCommitted, Error: "no answer from the instance in time", RetryAfter: time.Second}
	if request.mayPersist() {
		result = Result{Outcome: OutcomeUnknown, Error: "passed on, but no answer from the instance in time", RetryAfter: time.Second}
		m.recordOutcome(request.op.RequestID, idempotency.StateUnknown, nil, model.Position{}, now)
	}
	if request.session.pinnedConn == request.conn {
		request.session.stateLost = true
		result.SessionClosed = true
	}
	request.phase = phaseDone
	m.respond(request, result, now)
}

func (m *Machine) abandonAll(instance *instanceState, now time.Duration) {
	for _, request := range slices.Clone(instance.inFlight) {
		if request.phase == phaseInFlight {
			m.abandon(request, now)
			m.closeConn(request.conn)
		}
	}
}

func (m *Machine) onWriterChanged(moved routing.WriterRoleChanged, now time.Duration) {
	m.count("writer_moves", 1)
	old := m.instance(moved.Previous.Primary)
	fenced := moved.Previous.Phase == model.PhaseOpen && old != nil && (moved.Current.Phase != model.PhaseOpen || moved.Current.Primary != moved.Previous.Primary)
	if !fenced {
		return
	}
	m.closeIdleConns(old)
	m.abandonAll(old, now)
	for _, session := range slices.Clone(old.pinnedSessions) {
		session.stateLost = true
		if !session.busy {
			m.discardPinned(session)
		}
	}
}

func (m *Machine) reapAbandoned(instance *instanceState, now time.Duration) {
	for _, request := range slices.Clone(instance.abandoned) {
		if now-request.sentAt > m.timing.AbandonedTimeout {
			m.releaseAbandoned(request)
			if request.session.pinnedConn == request.conn {
				m.discardPinned(request.session)
			}
			m.closeConn(request.conn)
		}
	}
	if instance.leavingAt == 0 || now-instance.leavingAt <= m.timing.LeaveGrace {
		return
	}
	m.abandonAll(instance, now)
	for _, session := range slices.Clone(instance.pinnedSessions) {
		if !session.busy {
			m.discardPinned(session)
		}
	}
}
