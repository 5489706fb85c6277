package httppool

import (
	"time"

	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/coordination/routing"
	"tansyseam/internal/state/model"
)

// confirmCommits answers the executed commits for which there is a verdict by now. A
// commit is durable if all required replicas have it or if the next term began past
// its position. The outcome of any other commit is unknown once its term has ended.
func (m *Machine) confirmCommits(database *databaseState, now time.Duration) {
	if len(database.unconfirmed) == 0 {
		return
	}
	var unconfirmed []*Request
	for _, request := range database.unconfirmed {
		verdict := m.Routing().CommitVerdict(request.databaseName, request.term, request.position, now)
		if verdict == routing.VerdictNone {
			unconfirmed = append(unconfirmed, request)
			continue
		}
		m.confirmCommit(request, verdict == routing.VerdictDurable, now)
	}
	database.unconfirmed = unconfirmed
}

func (m *Machine) confirmCommit(request *Request, durable bool, now time.Duration) {
	request.phase = phaseDone
	if !durable {
		m.recordOutcome(request, idempotency.StateUnknown, request.rows, request.position, now)
		m.respond(request, unknownOutcome("it ran on a primary that has since lost the writer role"), now)
		return
	}
	m.Count("confirm_us", (now - request.executedAt).Microseconds())
	request.session.raiseMinPosition(request.databaseName, request.position)
	m.recordOutcome(request, idempotency.StateCommitted, request.rows, request.position, now)
	m.respond(request, Result{Outcome: OutcomeCommitted, Rows: request.rows, Position: request.position, Instance: request.Instance()}, now)
}

func (m *Machine) recordNotCommitted(request *Request, now time.Duration) {
	m.recordOutcome(request, idempotency.StateNotCommitted, nil, model.Position{}, now)
}

func (m *Machine) recordUnknown(request *Request, now time.Duration) {
	m.recordOutcome(request, idempotency.StateUnknown, nil, model.Position{}, now)
}

// recordOutcome stores the final state of a request in the record of its request
// id, if there is a record, and answers the retries that wait for that state.
func (m *Machine) recordOutcome(request *Request, state string, rows []byte, position model.Position, now time.Duration) {
	waiters, status := m.requestLog.Complete(request.op.RequestID, state, rows, position, now)
	for _, waiter := range waiters {
		m.respond(waiter.(*Request), resultFromStatus(status), now)
	}
}
