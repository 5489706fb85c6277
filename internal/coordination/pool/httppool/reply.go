package httppool

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/flowcontrol"
)

// ReplyReceived handles the end of a Send. If broken is true, the connection ended
// or the reply could not be decoded, and reply is ignored.
func (m *Machine) ReplyReceived(request *Request, reply Reply, broken bool, now time.Duration) {
	database := m.database(request.databaseName)
	if broken {
		m.handleBrokenConn(request, now)
		m.dispatch(database, now)
		return
	}
	request.instance.observation.LastResponse = now
	m.releaseSlot(request, reply, now)
	m.returnConn(request, reply)
	if request.phase == phaseInFlight {
		m.handleReply(request, database, reply, now)
	}
	m.dispatch(database, now)
}

func (m *Machine) releaseSlot(request *Request, reply Reply, now time.Duration) {
	instance := request.instance
	if request.abandoned {
		instance.removeAbandoned(request)
		return
	}
	outcome := flowcontrol.Completed
	if reply.Rejected {
		outcome = flowcontrol.Rejected
	}
	instance.removeInFlight(request)
	instance.window.Release(outcome, now-request.sentAt)
}

func (m *Machine) handleBrokenConn(request *Request, now time.Duration) {
	m.Count("sessions_broken", 1)
	instance := request.instance
	if !instance.removeAbandoned(request) && slices.Contains(instance.inFlight, request) {
		instance.removeInFlight(request)
		instance.window.Release(flowcontrol.Lost, now-request.sentAt)
	}
	if request.session.pinnedConn == request.conn {
		m.discardPinned(request.session)
	}
	m.closeConn(request.conn)
	if request.phase == phaseInFlight {
		m.respondConnLost(request, now)
	}
}

// respondConnLost ends a request whose connection ended before the instance replied.
// The outcome of a write is unknown, since the write may have run.
func (m *Machine) respondConnLost(request *Request, now time.Duration) {
	request.phase = phaseDone
	result := notCommitted("the instance's session ended before its answer came")
	result.RetryAfter = retryAfterLostConn
	if request.mayPersist() {
		m.recordUnknown(request, now)
		result = unknownOutcome(result.Error)
	}
	m.respond(request, result, now)
}

func (m *Machine) handleReply(request *Request, database *databaseState, reply Reply, now time.Duration) {
	request.phase = phaseDone
	if reply.Rejected || reply.Failed {
		m.handleFailure(request, reply, now)
		return
	}
	singleWrite := request.op.Kind == OpRun && request.op.Write && !reply.InTransaction
	if request.op.Kind == OpCommit || singleWrite {
		m.awaitConfirmation(request, database, reply, now)
		return
	}
	if request.isRead() && reply.Position.IsBefore(request.assignedPosition) {
		m.rejectRegression(request, now)
		return
	}
	result := Result{Outcome: OutcomeDone, Rows: reply.Rows, Instance: request.Instance(), Position: reply.Position}
	if request.isRead() {
		result.Outcome = OutcomeRead
	}
	m.respond(request, result, now)
}

// awaitConfirmation holds back the answer to a commit that has run until it is known
// whether the commit is safe on the replicas.
func (m *Machine) awaitConfirmation(request *Request, database *databaseState, reply Reply, now time.Duration) {
	request.phase = phaseUnconfirmed
	request.executedAt = now
	request.position, request.rows = reply.Position, reply.Rows
	database.unconfirmed = append(database.unconfirmed, request)
	m.confirmCommits(database, now)
}

// rejectRegression ends a read whose reply has a position before the one that the
// instance had reached when the read was assigned. The reply may lack data that the
// read must return.
func (m *Machine) rejectRegression(request *Request, now time.Duration) {
	m.Count("reads_gone_back", 1)
	result := notCommitted("the instance went back behind where it stood")
	result.RetryAfter = retryAfterRegression
	m.respond(request, result, now)
}

func (m *Machine) handleFailure(request *Request, reply Reply, now time.Duration) {
	m.recordNotCommitted(request, now)
	result := notCommitted(reply.Error)
	result.Instance = request.Instance()
	if reply.Rejected {
		result.RetryAfter = retryAfterRejection
	} else {
		result.Cause = ErrStatementFailed
	}
	m.respond(request, result, now)
}

// abandon answers a request that is in flight without waiting for the instance any
// longer. The request's slot and connection are held until the instance answers,
// the connection ends or AbandonedTimeout has passed.
func (m *Machine) abandon(request *Request, now time.Duration) {
	if !request.abandoned {
		request.abandoned = true
		request.instance.window.Abandon(now - request.sentAt)
		request.instance.removeInFlight(request)
		request.instance.abandoned = append(request.instance.abandoned, request)
	}
	result := notCommitted("no answer from the instance in time")
	if request.mayPersist() {
		result = unknownOutcome("passed on, but no answer from the instance in time")
		m.recordUnknown(request, now)
	}
	if request.session.pinnedConn == request.conn {
		request.session.stateLost = true
		result.SessionClosed = true
	}
	request.phase = phaseDone
	m.respond(request, result, now)
}

// abandonAll abandons the requests that are in flight at an instance and closes
// their connections.
func (m *Machine) abandonAll(instance *instanceState, now time.Duration) {
	for _, request := range slices.Clone(instance.inFlight) {
		if request.phase == phaseInFlight {
			m.abandon(request, now)
			m.closeConn(request.conn)
		}
	}
}
