package httppool

import (
	"time"

	"tansyseam/internal/state/model"
)

const (
	retryAfterJitter = 30 * time.Millisecond
	retryAfterMin    = 100 * time.Millisecond
	retryAfterMax    = 5 * time.Second
)

// cancelCause is the beginning of the text that tells a client why its request was
// ended before it was sent.
type cancelCause string

const (
	causeDeadline cancelCause = "deadline passed"
	causeStopping cancelCause = "this node stopped"
)

// Cancel ends a request, for example because its deadline has passed or the next
// stage has no capacity for it. The request is answered at once, with the outcome
// as far as it is known.
func (m *Machine) Cancel(request *Request, now time.Duration) { m.cancel(request, causeDeadline, now) }

func (m *Machine) cancel(request *Request, cause cancelCause, now time.Duration) {
	if request.responded {
		return
	}
	m.Count("gave_up", 1)
	cancelByPhase[request.phase](m, request, cause, now)
}

var cancelByPhase = map[phase]func(*Machine, *Request, cancelCause, time.Duration){
	phaseNew:           (*Machine).cancelUnbound,
	phaseAwaitingLease: (*Machine).cancelUnbound,
	phaseLookup: func(m *Machine, request *Request, _ cancelCause, now time.Duration) {
		m.respond(request, unknownOutcome("the node that had this go has not answered"), now)
	},
	phaseAwaitingFirstAttempt: func(m *Machine, request *Request, _ cancelCause, now time.Duration) {
		m.respond(request, unknownOutcome("its first sending is still out"), now)
	},
	phaseQueued:   (*Machine).cancelQueued,
	phaseAssigned: (*Machine).cancelAssigned,
	phaseInFlight: func(m *Machine, request *Request, _ cancelCause, now time.Duration) { m.abandon(request, now) },
	phaseUnconfirmed: func(m *Machine, request *Request, _ cancelCause, now time.Duration) {
		m.recordUnknown(request, now)
		m.respond(request, unknownOutcome("it ran, but is not yet shown to be safe on the replicas"), now)
	},
	phaseDone: func(*Machine, *Request, cancelCause, time.Duration) {},
}

const notForwardedText = " before it was passed on"

func (m *Machine) cancelUnbound(request *Request, cause cancelCause, now time.Duration) {
	text := string(cause) + notForwardedText
	m.respond(request, Result{Outcome: m.unsentOutcome(request), Error: text, RetryAfter: m.retryAfter(request, now)}, now)
}

func (m *Machine) cancelQueued(request *Request, cause cancelCause, now time.Duration) {
	m.dequeue(request)
	m.recordNotCommitted(request, now)
	result := notCommitted(string(cause) + " while waiting in line: " + m.waitReason(request, now))
	result.RetryAfter = m.retryAfter(request, now)
	m.respond(request, result, now)
}

func (m *Machine) cancelAssigned(request *Request, cause cancelCause, now time.Duration) {
	m.recordNotCommitted(request, now)
	result := notCommitted(string(cause) + notForwardedText)
	result.RetryAfter = m.retryAfter(request, now)
	m.respond(request, result, now)
}

// waitReason returns the reason why a queued request is still waiting.
func (m *Machine) waitReason(request *Request, now time.Duration) string {
	writer := m.Routing().WriterRole(request.databaseName)
	if !m.Routing().HasLease(now) {
		return "this node has no lease from the control plane"
	}
	if writer.Phase == "" {
		return "the database's primary is not known yet"
	}
	if writer.Phase != model.PhaseOpen && (request.strict || request.op.Write) {
		return "the writer role is moving"
	}
	return "no room in the windows of its instances"
}

// retryAfter estimates the time after which a retry would be served: the time that
// the instances need for the requests that are queued ahead of it.
func (m *Machine) retryAfter(request *Request, now time.Duration) time.Duration {
	database := m.database(request.databaseName)
	jitter := m.jitter(retryAfterJitter)
	if m.Routing().WriterRole(request.databaseName).Phase != model.PhaseOpen || !m.Routing().HasLease(now) {
		return retryAfterWriterChange + jitter
	}
	slots, latency := 0, time.Duration(0)
	for _, instance := range m.instances.All() {
		if instance.database == database {
			slots += instance.window.Size()
			latency = max(latency, instance.window.Reading().AverageLatency)
		}
	}
	queuePosition := time.Duration(database.queueLength() + 1)
	return min(retryAfterMin+jitter+queuePosition*latency/time.Duration(max(slots, 1)), retryAfterMax)
}
