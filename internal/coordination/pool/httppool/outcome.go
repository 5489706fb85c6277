package httppool

import (
	"maps"
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/state/model"
)

func (m *Machine) respond(request *Request, result Result, now time.Duration) {
	if request.responded {
		return
	}
	request.responded = true
	if result.Error != "" && result.RetryAfter == 0 && result.Cause == "" {
		result.RetryAfter = time.Second
	}
	session := request.session
	if result.Outcome == OutcomeCommitted {
		session.minPositions[request.databaseName] = session.minPositions[request.databaseName].Max(result.Position)
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
	m.count("outcome_"+result.Outcome, 1)
	m.emit(Respond{Request: request, Result: result})
}

// GiveUp ends a request whose deadline has passed, or that could not go on
// to the next stage.
func (m *Machine) Cancel(request *Request, now time.Duration) {
	if request.responded {
		return
	}
	m.count("gave_up", 1)
	cancelByPhase[request.phase](m, request, now)
}

var cancelByPhase = map[phase]func(*Machine, *Request, time.Duration){
	phaseNew:           cancelUnsent,
	phaseAwaitingLease: cancelUnsent,
	phaseLookup: func(m *Machine, request *Request, now time.Duration) {
		m.respond(request, Result{Outcome: OutcomeUnknown, Error: "the node that had this go has not answered", RetryAfter: time.Second}, now)
	},
	phaseAwaitingFirst: func(m *Machine, request *Request, now time.Duration) {
		m.respond(request, Result{Outcome: OutcomeUnknown, Error: "its first sending is still out", RetryAfter: time.Second}, now)
	},
	phaseQueued: func(m *Machine, request *Request, now time.Duration) {
		m.dequeue(request)
		m.recordOutcome(request.op.RequestID, idempotency.StateNotCommitted, nil, model.Position{}, now)
		m.respond(request, Result{Outcome: OutcomeNotCommitted, Error: "deadline passed while waiting in line: " + m.waitReason(request, now), RetryAfter: m.retryAfter(request, now)}, now)
	},
	phaseAssigned: func(m *Machine, request *Request, now time.Duration) {
		m.recordOutcome(request.op.RequestID, idempotency.StateNotCommitted, nil, model.Position{}, now)
		m.respond(request, Result{Outcome: OutcomeNotCommitted, Error: "deadline passed before it was passed on", RetryAfter: m.retryAfter(request, now)}, now)
	},
	phaseInFlight: func(m *Machine, request *Request, now time.Duration) { m.abandon(request, now) },
	phaseUnconfirmed: func(m *Machine, request *Request, now time.Duration) {
		m.recordOutcome(request.op.RequestID, idempotency.StateUnknown, nil, model.Position{}, now)
		m.respond(request, Result{Outcome: OutcomeUnknown, Error: "it ran, but is not yet shown to be safe on the replicas", RetryAfter: time.Second}, now)
	},
	phaseDone: func(*Machine, *Request, time.Duration) {},
}

func cancelUnsent(m *Machine, request *Request, now time.Duration) {
	m.respond(request, Result{Outcome: m.unsentOutcome(request), Error: "deadline passed before it was passed on", RetryAfter: m.retryAfter(request, now)}, now)
}

func (m *Machine) unsentOutcome(request *Request) string {
	if request.mayPersist() && !m.requestLog.IsUnseen(request.op.RequestID) {
		return OutcomeUnknown
	}
	return OutcomeNotCommitted
}

func (m *Machine) waitReason(request *Request, now time.Duration) string {
	writer := m.routing.WriterRole(request.databaseName)
	checks := []struct {
		is  bool
		why string
	}{
		{!m.routing.HasLease(now), "this node has no lease from the control plane"},
		{writer.Phase == "", "the database's primary is not known yet"},
		{writer.Phase != model.PhaseOpen && (request.strict || request.op.Write), "the writer role is moving"},
	}
	for _, check := range checks {
		if check.is {
			return check.why
		}
	}
	return "no room in the windows of its instances"
}

func (m *Machine) retryAfter(request *Request, now time.Duration) time.Duration {
	database := m.database(request.databaseName)
	spread := m.jitter(30 * time.Millisecond)
	if m.routing.WriterRole(request.databaseName).Phase != model.PhaseOpen || !m.routing.HasLease(now) {
		return 800*time.Millisecond + spread
	}
	ahead := database.reads.length + database.writes.length + database.transactions.length
	room, cal := 0, time.Duration(0)
	for _, instance := range m.instances {
		if m.databaseOf(instance) == database {
			room += instance.window.Size()
			cal = max(cal, instance.window.Reading().AverageLatency)
		}
	}
	return min(100*time.Millisecond+spread+time.Duration(ahead+1)*cal/time.Duration(max(room, 1)), 5*time.Second)
}

func (m *Machine) recordOutcome(id, state string, rows []byte, position model.Position, now time.Duration) {
	waiters, status := m.requestLog.Complete(id, state, rows, position, now)
	for _, token := range waiters {
		m.respond(token.(*Request), resultFromStatus(status), now)
	}
}

func resultFromStatus(status idempotency.Status) Result {
	results := map[string]Result{
		idempotency.StateCommitted:    {Outcome: OutcomeCommitted, Rows: status.Rows, Position: status.Position},
		idempotency.StateNotCommitted: {Outcome: OutcomeNotCommitted, Error: "this go ended before with nothing kept", RetryAfter: time.Second},
	}
	if found, ok := results[status.State]; ok {
		return found
	}
	return Result{Outcome: OutcomeUnknown, Error: "what became of this go is not known", RetryAfter: time.Second}
}

var decisionHandlers map[idempotency.DecisionKind]func(*Machine, *Request, idempotency.Decision, time.Duration)

func init() {
	decisionHandlers = map[idempotency.DecisionKind]func(*Machine, *Request, idempotency.Decision, time.Duration){
		idempotency.Execute: func(m *Machine, request *Request, _ idempotency.Decision, now time.Duration) {
			if request.op.Kind == OpCommit && !request.session.inTransaction {
				m.recordOutcome(request.op.RequestID, idempotency.StateNotCommitted, nil, model.Position{}, now)
				m.respond(request, noTransactionResult, now)
				return
			}
			request.phase = phaseNew
			m.emit(Enqueue{Request: request})
		},
		idempotency.Wait: func(_ *Machine, request *Request, _ idempotency.Decision, _ time.Duration) {
			request.phase = phaseAwaitingFirst
		},
		idempotency.Reply: func(m *Machine, request *Request, decision idempotency.Decision, now time.Duration) {
			m.respond(request, resultFromStatus(decision.Status), now)
		},
		idempotency.Invalid: func(m *Machine, request *Request, _ idempotency.Decision, now time.Duration) {
			m.respond(request, Result{Outcome: OutcomeNotCommitted, Error: "a go's id must be a session's id, a dot and a count", Cause: CauseInvalidRequestID}, now)
		},
		idempotency.Lookup: func(m *Machine, request *Request, decision idempotency.Decision, now time.Duration) {
			request.phase, request.lookupNode = phaseLookup, decision.Node
			request.lookupCount++
			if request.lookupCount > 64 {
				m.Cancel(request, now)
				return
			}
			m.lookup(request, now)
		},
	}
}

func (m *Machine) applyDecision(request *Request, decision idempotency.Decision, now time.Duration) {
	m.count("goes_"+string(decision.Kind), 1)
	decisionHandlers[decision.Kind](m, request, decision, now)
}

func (m *Machine) lookup(request *Request, now time.Duration) {
	if request.lookupNode == m.node.Name {
		m.applyLookup(request, m.requestLog.HandleStatusRequest(idempotency.StatusRequest{RequestID: request.op.RequestID, Requester: m.node.Name}, now), now)
		return
	}
	if m.lookupsInFlight[request.lookupNode] >= m.timing.MaxLookups {
		m.queuedLookups[request.lookupNode] = append(m.queuedLookups[request.lookupNode], request)
		return
	}
	m.lookupsInFlight[request.lookupNode]++
	m.emit(Lookup{Request: request, Node: request.lookupNode})
}

// Heard takes another node's answer on a go; false where there was none.
func (m *Machine) LookupDone(request *Request, target string, status idempotency.Status, answered bool, now time.Duration) {
	m.lookupsInFlight[target]--
	for next := m.queuedLookups[target]; len(next) > 0 && m.lookupsInFlight[target] < m.timing.MaxLookups; next = m.queuedLookups[target] {
		m.queuedLookups[target] = next[1:]
		if !next[0].responded {
			m.lookup(next[0], now)
		}
	}
	if m.lookupsInFlight[target] == 0 {
		delete(m.lookupsInFlight, target)
		delete(m.queuedLookups, target)
	}
	if request.responded {
		return
	}
	if !answered {
		m.respond(request, Result{Outcome: OutcomeUnknown, Error: "the node that had this go cannot be asked", RetryAfter: time.Second}, now)
		return
	}
	m.applyLookup(request, status, now)
}

func (m *Machine) applyLookup(request *Request, status idempotency.Status, now time.Duration) {
	if status.State == idempotency.StateInFlight {
		m.pendingPolls = append(m.pendingPolls, pendingPoll{request, now + pollInterval})
		return
	}
	m.applyDecision(request, m.requestLog.DecideFromPeer(request.op.RequestID, request, status, now), now)
}

const pollInterval = 40 * time.Millisecond

type pendingPoll struct {
	request *Request
	at      time.Duration
}

func (m *Machine) retryPolls(now time.Duration) {
	waiting := m.pendingPolls
	m.pendingPolls = nil
	for _, poll := range waiting {
		if poll.at > now && !poll.request.responded {
			m.pendingPolls = append(m.pendingPolls, poll)
			continue
		}
		if !poll.request.responded {
			m.lookup(poll.request, now)
		}
	}
}

// OnAsk answers another node that was brought a go of ours.
func (m *Machine) HandleStatusRequest(request idempotency.StatusRequest, now time.Duration) idempotency.Status {
	return m.requestLog.HandleStatusRequest(request, now)
}

// Inherit takes a stopping node's record of goes.
func (m *Machine) ImportHandover(handover idempotency.Handover, now time.Duration) {
	m.requestLog.Import(handover, now)
	m.count("legacies_taken", 1)
}

// Window gives what a window shows, for an instance that was met.
func (m *Machine) WindowReading(instanceName string) (flowcontrol.Reading, bool) {
	instance := m.instance(instanceName)
	if instance == nil {
		return flowcontrol.Reading{}, false
	}
	return instance.window.Reading(), true
}
