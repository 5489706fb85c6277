package httppool

import (
	"maps"
	"time"
)

// respond answers a request that has not been answered yet, and ends the session if
// it is closed or its state is lost.
func (m *Machine) respond(request *Request, result Result, now time.Duration) {
	if request.responded {
		return
	}
	request.responded = true
	delete(m.unanswered, request)
	if result.Error != "" && result.RetryAfter == 0 && result.Cause == nil {
		result.RetryAfter = retryAfterDefault
	}
	session := request.session
	if result.Outcome == OutcomeCommitted {
		session.raiseMinPosition(request.databaseName, result.Position)
	}
	session.busy, session.lastUsed = false, now
	if session.closed || session.stateLost {
		m.discardPinned(session)
	}
	result.SessionClosed = result.SessionClosed || session.closed
	if result.SessionClosed {
		m.endSession(session, now)
	}
	result.BindingSequence, result.MinPositions = request.bindingSequence, maps.Clone(session.minPositions)
	m.Count("outcome_"+string(result.Outcome), 1)
	m.Emit(Respond{Request: request, Result: result})
}
