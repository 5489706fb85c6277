package httppool

import (
	"time"

	"tansyseam/internal/coordination/idempotency"
)

const (
	// maxLookupsPerRequest limits how often the lookup of one request may move on to
	// another node, so that it ends if nodes refer to each other.
	maxLookupsPerRequest = 64

	// lookupRetryDelay is the delay before a node is asked again, if the first
	// attempt was still in flight there.
	lookupRetryDelay = 40 * time.Millisecond
)

// lookups holds the requests that need a status from another node.
type lookups struct {
	// inFlight and queued are keyed by the name of the node that is asked.
	inFlight map[string]int
	queued   map[string][]*Request
	retries  []lookupRetry
}

type lookupRetry struct {
	request *Request
	at      time.Duration
}

func newLookups() lookups {
	return lookups{inFlight: map[string]int{}, queued: map[string][]*Request{}}
}

var decisionHandlers map[idempotency.DecisionKind]func(*Machine, *Request, idempotency.Decision, time.Duration)

func init() {
	decisionHandlers = map[idempotency.DecisionKind]func(*Machine, *Request, idempotency.Decision, time.Duration){
		idempotency.Execute: (*Machine).executeFirstAttempt,
		idempotency.Wait: func(_ *Machine, request *Request, _ idempotency.Decision, _ time.Duration) {
			request.phase = phaseAwaitingFirstAttempt
		},
		idempotency.Reply: func(m *Machine, request *Request, decision idempotency.Decision, now time.Duration) {
			m.respond(request, resultFromStatus(decision.Status), now)
		},
		idempotency.Invalid: func(m *Machine, request *Request, _ idempotency.Decision, now time.Duration) {
			result := notCommitted("a go's id must be a session's id, a dot and a count")
			result.Cause = ErrInvalidRequestID
			m.respond(request, result, now)
		},
		idempotency.Lookup: (*Machine).beginLookup,
	}
}

func (m *Machine) applyDecision(request *Request, decision idempotency.Decision, now time.Duration) {
	m.Count("goes_"+string(decision.Kind), 1)
	decisionHandlers[decision.Kind](m, request, decision, now)
}

func (m *Machine) executeFirstAttempt(request *Request, _ idempotency.Decision, now time.Duration) {
	if request.op.Kind == OpCommit && !request.session.inTransaction {
		m.recordNotCommitted(request, now)
		m.respond(request, noTransactionResult, now)
		return
	}
	request.phase = phaseNew
	m.Emit(Enqueue{Request: request})
}

func (m *Machine) beginLookup(request *Request, decision idempotency.Decision, now time.Duration) {
	request.phase, request.lookupNode = phaseLookup, decision.Node
	request.lookupCount++
	if request.lookupCount > maxLookupsPerRequest {
		m.Cancel(request, now)
		return
	}
	m.lookup(request, now)
}

// lookup asks the request's lookupNode for the status of the request id. If
// MaxLookups lookups are in flight at that node, the request waits until one of them
// has ended.
func (m *Machine) lookup(request *Request, now time.Duration) {
	node := request.lookupNode
	if node == m.node.Name {
		statusRequest := idempotency.StatusRequest{RequestID: request.op.RequestID, Requester: m.node.Name}
		m.applyStatus(request, m.requestLog.HandleStatusRequest(statusRequest, now), now)
		return
	}
	if m.lookups.inFlight[node] >= m.timing.MaxLookups {
		m.lookups.queued[node] = append(m.lookups.queued[node], request)
		return
	}
	m.lookups.inFlight[node]++
	m.Emit(Lookup{Request: request, Node: node})
}

// LookupDone handles the end of a Lookup. If the node did not answer, answered is
// false and status is ignored.
func (m *Machine) LookupDone(request *Request, node string, status idempotency.Status, answered bool, now time.Duration) {
	m.lookups.inFlight[node]--
	m.startQueuedLookups(node, now)
	if request.responded {
		return
	}
	if !answered {
		m.respond(request, unknownOutcome("the node that had this go cannot be asked"), now)
		return
	}
	m.applyStatus(request, status, now)
}

func (m *Machine) startQueuedLookups(node string, now time.Duration) {
	for len(m.lookups.queued[node]) > 0 && m.lookups.inFlight[node] < m.timing.MaxLookups {
		next := m.lookups.queued[node][0]
		m.lookups.queued[node] = m.lookups.queued[node][1:]
		if !next.responded {
			m.lookup(next, now)
		}
	}
	if m.lookups.inFlight[node] == 0 {
		delete(m.lookups.inFlight, node)
		delete(m.lookups.queued, node)
	}
}

func (m *Machine) applyStatus(request *Request, status idempotency.Status, now time.Duration) {
	if status.State == idempotency.StateInFlight {
		m.lookups.retries = append(m.lookups.retries, lookupRetry{request, now + lookupRetryDelay})
		return
	}
	m.applyDecision(request, m.requestLog.DecideFromPeer(request.op.RequestID, request, status, now), now)
}

func (m *Machine) retryLookups(now time.Duration) {
	retries := m.lookups.retries
	m.lookups.retries = nil
	for _, retry := range retries {
		if retry.request.responded {
			continue
		}
		if retry.at > now {
			m.lookups.retries = append(m.lookups.retries, retry)
			continue
		}
		m.lookup(retry.request, now)
	}
}

// HandleStatusRequest returns the answer to another node's Lookup.
func (m *Machine) HandleStatusRequest(request idempotency.StatusRequest, now time.Duration) idempotency.Status {
	return m.requestLog.HandleStatusRequest(request, now)
}

// ImportHandover imports the records of request ids of a node that is shutting down.
func (m *Machine) ImportHandover(handover idempotency.Handover, now time.Duration) {
	m.requestLog.Import(handover, now)
	m.Count("legacies_taken", 1)
}
