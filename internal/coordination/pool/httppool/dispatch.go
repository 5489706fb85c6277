package httppool

import (
	"fmt"
	"slices"
	"time"

	"tansyseam/internal/coordination/balancer"
	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/state/model"
)

// Bind finds what a request meets: the binding in force, what its consumer
// must see, and whether its go was made before. Without a lease it waits.
func (m *Machine) Bind(request *Request, now time.Duration) {
	if request.responded {
		return
	}
	if !m.routing.HasLease(now) {
		request.phase = phaseAwaitingLease
		m.awaitingLease = append(m.awaitingLease, request)
		return
	}
	set := m.effectiveSet(now)
	binding, bindingFound := set.Binding(request.session.binding)
	if !bindingFound {
		m.respond(request, Result{Outcome: m.unsentOutcome(request), Error: fmt.Sprintf("no binding %q in sequence %d", request.session.binding, set.Sequence), Cause: CauseNoBinding}, now)
		return
	}
	request.databaseName, request.freshness, request.bindingSequence = binding.Database, binding.Freshness, set.Sequence
	session := request.session
	if session.pinnedConn != nil && m.databaseOf(session.pinnedConn.instance).name != request.databaseName {
		session.stateLost = true
		m.respond(request, Result{Outcome: OutcomeNotCommitted, Error: "the binding moved to another database; the session's state is closed", SessionClosed: true}, now)
		return
	}
	request.minPosition = session.minPositions[request.databaseName]
	request.pinned = session.pinnedConn != nil
	request.strict = !request.isRead() || request.freshness == 0 || request.pinned
	endsTransaction := request.op.Kind == OpCommit || request.op.Kind == OpRollback
	if (endsTransaction && !session.inTransaction && request.op.Kind != OpCommit) || (session.inTransaction && request.op.Kind == OpBegin) {
		m.respond(request, noTransactionResult, now)
		return
	}
	if request.mayPersist() {
		m.applyDecision(request, m.requestLog.Decide(request.op.RequestID, request, now), now)
		return
	}
	m.emit(Enqueue{Request: request})
}

var noTransactionResult = Result{Outcome: OutcomeNotCommitted, Error: "no transaction is open, or one is open already", Cause: CauseNoTransaction}

func (m *Machine) resumeAwaitingLease(now time.Duration) {
	if len(m.awaitingLease) == 0 {
		return
	}
	if !m.routing.HasLease(now) {
		m.awaitingLease = slices.DeleteFunc(m.awaitingLease, func(request *Request) bool { return request.responded })
		return
	}
	waiting := m.awaitingLease
	m.awaitingLease = nil
	for _, request := range waiting {
		m.Bind(request, now)
	}
}

// Join puts a request in its database's line.
func (m *Machine) Enqueue(request *Request, now time.Duration) {
	if request.responded {
		m.recordOutcome(request.op.RequestID, idempotency.StateNotCommitted, nil, model.Position{}, now)
		return
	}
	database := m.database(request.databaseName)
	queue := database.queueOf(request)
	if queue.length >= m.timing.MaxQueue {
		m.recordOutcome(request.op.RequestID, idempotency.StateNotCommitted, nil, model.Position{}, now)
		m.respond(request, Result{Outcome: OutcomeNotCommitted, Error: "the line is full", RetryAfter: m.retryAfter(request, now)}, now)
		return
	}
	request.phase = phaseQueued
	queue.pushBack(request)
	m.dispatch(database, now)
}

func (m *Machine) dequeue(request *Request) {
	request.phase = phaseDone
	m.database(request.databaseName).queueOf(request).removed()
}

func (m *Machine) dispatch(database *databaseState, now time.Duration) {
	if m.routing.HasLease(now) {
		m.dispatchWrites(database, now)
		m.dispatchReads(database, now)
	}
}

func (m *Machine) dispatchWrites(database *databaseState, now time.Duration) {
	writer := m.routing.WriterRole(database.name)
	if database.transactions.length+database.writes.length == 0 || writer.Phase != model.PhaseOpen {
		return
	}
	target := m.instance(writer.Primary)
	if target == nil || target.observation.Instance.Incarnation != writer.PrimaryIncarnation {
		return
	}
	for _, queue := range []*requestQueue{&database.transactions, &database.writes} {
		for request := queue.front(); request != nil; request = queue.front() {
			if !target.window.HasRoom() {
				return
			}
			if !m.assign(request, target, writer.Term, now) {
				m.reclaimIdle(target, request, now)
				m.openConns(target, queue.length, now)
				break
			}
		}
	}
}

func (m *Machine) dispatchReads(database *databaseState, now time.Duration) {
	if database.reads.length == 0 {
		return
	}
	misses := 0
	for _, request := range database.reads.requests {
		if misses > 8 {
			break
		}
		if request.phase != phaseQueued {
			continue
		}
		target := m.selectInstance(database, request, now)
		if target == nil || !m.assign(request, target, m.routing.WriterRole(database.name).Term, now) {
			misses++
		}
	}
	database.reads.front()
}

func (m *Machine) canOpen(instance *instanceState, now time.Duration) bool {
	return instance.connections < m.connectionShare(instance) && now >= instance.backoffUntil && instance.leavingAt == 0
}

func (m *Machine) selectInstance(database *databaseState, request *Request, now time.Duration) *instanceState {
	var candidates []balancer.Candidate
	var targets []*instanceState
	for _, instance := range m.instances {
		if m.databases[instance.databaseID] != database || instance.leavingAt != 0 {
			continue
		}
		reading := instance.window.Reading()
		candidates = append(candidates, balancer.Candidate{
			HasCapacity: instance.window.HasRoom() && (len(instance.idle) > 0 || m.canOpen(instance, now)), SameZone: instance.observation.Instance.Zone == m.node.Zone,
			FreshEnough: m.routing.MayRead(instance.observation.Instance.Name, request.arrivedAt, request.freshness, request.minPosition, now),
			Utilization: float64(reading.InFlight+reading.Abandoned) / max(reading.Size, 1), Latency: reading.AverageLatency,
		})
		targets = append(targets, instance)
	}
	best := balancer.Pick(candidates)
	if best < 0 || len(targets[best].idle) > 0 {
		return instanceAt(targets, best)
	}
	m.openConns(targets[best], database.reads.length, now)
	for rank, instance := range targets {
		candidates[rank].HasCapacity = candidates[rank].HasCapacity && len(instance.idle) > 0
	}
	return instanceAt(targets, balancer.Pick(candidates))
}

func instanceAt(targets []*instanceState, rank int) *instanceState {
	if rank < 0 {
		return nil
	}
	return targets[rank]
}

func (m *Machine) openConns(target *instanceState, waiting int, now time.Duration) {
	want := min(waiting, target.window.Available())
	for target.opening < want && m.canOpen(target, now) {
		target.opening++
		target.connections++
		m.emit(OpenConn{Conn: &Conn{instance: target}, Address: target.observation.Instance.Address})
	}
}

func (m *Machine) reclaimIdle(target *instanceState, request *Request, now time.Duration) {
	exhausted := target.connections >= m.connectionShare(target) && target.opening == 0 && now-request.arrivedAt > m.timing.ReclaimAfter
	if !exhausted {
		return
	}
	var oldest *clientSession
	for _, session := range target.pinnedSessions {
		minIdle := m.timing.ReclaimMinIdle
		if now-request.arrivedAt > m.timing.ReclaimMinIdle {
			minIdle = m.timing.ReclaimAfter
		}
		idle := !session.busy && !session.inTransaction && now-session.lastUsed > minIdle
		if idle && (oldest == nil || session.lastUsed < oldest.lastUsed) {
			oldest = session
		}
	}
	if oldest != nil {
		m.count("sessions_shed", 1)
		m.discardPinned(oldest)
	}
}

func (m *Machine) assign(request *Request, target *instanceState, term uint64, now time.Duration) bool {
	session := request.session
	conn := session.pinnedConn
	if request.pinned && (conn == nil || conn.instance != target || session.stateLost) {
		m.discardPinned(session)
		m.dequeue(request)
		m.recordOutcome(request.op.RequestID, idempotency.StateNotCommitted, nil, model.Position{}, now)
		m.respond(request, Result{Outcome: OutcomeNotCommitted, Error: "the session's state was lost with its instance", SessionClosed: true}, now)
		return true
	}
	if !request.pinned {
		if len(target.idle) == 0 || target.leavingAt != 0 {
			return false
		}
		conn = target.idle[len(target.idle)-1]
		target.idle = target.idle[:len(target.idle)-1]
	}
	m.dequeue(request)
	request.conn, request.instance, request.term, request.phase, request.assignedPosition = conn, target, term, phaseAssigned, target.observation.Position
	target.window.Acquire()
	target.inFlight = append(target.inFlight, request)
	m.emit(Forward{Request: request})
	m.count("admitted", 1)
	m.count("waited_us", (now - request.arrivedAt).Microseconds())
	return true
}

// Pass sends a request to its instance, unless its node may not any more.
func (m *Machine) Forward(request *Request, now time.Duration) {
	if request.phase != phaseAssigned {
		return
	}
	fenced := !m.routing.HasLease(now) || m.routing.WriterRole(request.databaseName).Term != request.term || (request.strict && !m.routing.MayWrite(request.databaseName, request.term, now))
	if request.responded || fenced || request.conn.broken {
		m.requeue(request, now)
		return
	}
	request.phase, request.sentAt = phaseInFlight, now
	m.count("passed_on", 1)
	op := request.op
	if request.strict {
		op.Term = request.term
	}
	m.emit(Send{Request: request, Conn: request.conn, Op: op})
}

// NotForwarded tells that a request could not be passed on to its instance.
func (m *Machine) ForwardFailed(request *Request, now time.Duration) {
	if request.phase == phaseAssigned {
		m.requeue(request, now)
	}
}

func (m *Machine) requeue(request *Request, now time.Duration) {
	m.removeInFlight(request)
	request.instance.window.Release(flowcontrol.Rejected, 0)
	conn := request.conn
	request.conn = nil
	if !request.pinned {
		m.releaseConn(conn)
	}
	if request.responded {
		request.phase = phaseDone
		return
	}
	request.phase = phaseQueued
	m.database(request.databaseName).queueOf(request).pushFront(request)
	m.count("fenced_before_sending", 1)
	if request.pinned && conn.broken {
		request.session.stateLost = true
		m.dispatch(m.database(request.databaseName), now)
	}
}

func (m *Machine) removeInFlight(request *Request) {
	isRequest := func(other *Request) bool { return other == request }
	request.instance.inFlight = slices.DeleteFunc(request.instance.inFlight, isRequest)
}
