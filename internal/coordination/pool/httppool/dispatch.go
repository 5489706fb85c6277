package httppool

import (
	"time"

	"tansyseam/internal/coordination/balancer"
	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/coordination/pool"
	"tansyseam/internal/state/model"
)

// maxUnassignedReads is the number of reads that a pass over a queue may fail to
// assign and still continue.
const maxUnassignedReads = 8

func (m *Machine) dispatchAll(now time.Duration) {
	m.resumeAwaitingLease(now)
	for _, database := range m.databases.All() {
		m.confirmCommits(database, now)
		m.dispatch(database, now)
	}
}

// dispatch assigns queued requests of a database to instances that have room, if
// the node has a lease.
func (m *Machine) dispatch(database *databaseState, now time.Duration) {
	if m.Routing().HasLease(now) {
		m.dispatchWrites(database, now)
		m.dispatchReads(database, now)
	}
}

// dispatchWrites assigns the requests that must run on the primary.
func (m *Machine) dispatchWrites(database *databaseState, now time.Duration) {
	writer := m.Routing().WriterRole(database.name)
	if database.transactions.length+database.writes.length == 0 || writer.Phase != model.PhaseOpen {
		return
	}
	primary := m.instances.Get(writer.Primary)
	if primary == nil || primary.incarnation() != writer.PrimaryIncarnation {
		return
	}
	m.dispatchToPrimary(&database.transactions, primary, writer.Term, now)
	m.dispatchToPrimary(&database.writes, primary, writer.Term, now)
}

// dispatchToPrimary assigns the requests of a queue in order, as long as the
// primary's window has room and a connection is available.
func (m *Machine) dispatchToPrimary(queue *requestQueue, primary *instanceState, term uint64, now time.Duration) {
	for request := queue.front(); request != nil && primary.window.HasRoom(); request = queue.front() {
		if !m.assign(request, primary, term, now) {
			m.reclaimIdle(primary, request, now)
			m.openConns(primary, queue.length, now)
			return
		}
	}
}

// dispatchReads assigns the requests that may run on any instance that is fresh
// enough.
func (m *Machine) dispatchReads(database *databaseState, now time.Duration) {
	if database.reads.length == 0 {
		return
	}
	unassigned := 0
	for _, request := range database.reads.requests {
		if unassigned > maxUnassignedReads {
			break
		}
		if request.phase != phaseQueued {
			continue
		}
		instance := m.selectInstance(database, request, now)
		if instance == nil || !m.assign(request, instance, m.Routing().WriterRole(database.name).Term, now) {
			unassigned++
		}
	}
	database.reads.front()
}

// selectInstance returns the instance for a read, or nil if no instance has room. If
// the best instance has no idle connection, selectInstance opens connections to it
// and returns the best of the instances that have an idle connection.
func (m *Machine) selectInstance(database *databaseState, request *Request, now time.Duration) *instanceState {
	var candidates []balancer.Candidate
	var instances []*instanceState
	for _, instance := range m.instances.All() {
		if instance.database == database && !instance.leaving() {
			candidates = append(candidates, m.candidate(instance, request, now))
			instances = append(instances, instance)
		}
	}
	best := pick(instances, candidates)
	if best == nil || len(best.idle) > 0 {
		return best
	}
	m.openConns(best, database.reads.length, now)
	for index, instance := range instances {
		candidates[index].HasCapacity = candidates[index].HasCapacity && len(instance.idle) > 0
	}
	return pick(instances, candidates)
}

func (m *Machine) candidate(instance *instanceState, request *Request, now time.Duration) balancer.Candidate {
	hasConn := len(instance.idle) > 0 || m.canOpen(instance, now)
	sameZone := instance.observation.Instance.Zone == m.node.Zone
	freshEnough := m.Routing().MayRead(instance.name(), request.arrivedAt, request.freshness, request.minPosition, now)
	return pool.Candidate(instance.window, hasConn, sameZone, freshEnough)
}

func pick(instances []*instanceState, candidates []balancer.Candidate) *instanceState {
	index := balancer.Pick(candidates)
	if index < 0 {
		return nil
	}
	return instances[index]
}

// assign assigns a connection to an instance and a slot of the instance's window to
// a queued request. It returns false if no connection is available. If the request
// is pinned to a connection that is lost, assign ends the request.
func (m *Machine) assign(request *Request, instance *instanceState, term uint64, now time.Duration) bool {
	conn, found := m.connFor(request, instance)
	if !found {
		return false
	}
	m.dequeue(request)
	if conn == nil {
		m.respondStateLost(request, now)
		return true
	}
	request.conn, request.instance, request.term = conn, instance, term
	request.phase, request.assignedPosition = phaseAssigned, instance.observation.Position
	instance.window.Acquire()
	instance.inFlight = append(instance.inFlight, request)
	m.Emit(Forward{Request: request})
	m.Count("admitted", 1)
	m.Count("waited_us", (now - request.arrivedAt).Microseconds())
	return true
}

// respondStateLost ends a request whose pinned connection is lost, and its session.
func (m *Machine) respondStateLost(request *Request, now time.Duration) {
	m.discardPinned(request.session)
	m.recordNotCommitted(request, now)
	result := notCommitted("the session's state was lost with its instance")
	result.SessionClosed = true
	m.respond(request, result, now)
}

// connFor returns the connection for a request. The connection is nil if the request
// is pinned to a connection that is lost. found is false if the request needs an
// idle connection and there is none.
func (m *Machine) connFor(request *Request, instance *instanceState) (conn *Conn, found bool) {
	if request.pinned {
		conn := request.session.pinnedConn
		if conn == nil || conn.instance != instance || request.session.stateLost {
			return nil, true
		}
		return conn, true
	}
	last := len(instance.idle) - 1
	if last < 0 || instance.leaving() {
		return nil, false
	}
	conn = instance.idle[last]
	instance.idle = instance.idle[:last]
	return conn, true
}

// Forward sends an assigned request. If the lease, the term or the connection was
// lost since the assignment, Forward queues the request again instead.
func (m *Machine) Forward(request *Request, now time.Duration) {
	if request.phase != phaseAssigned {
		return
	}
	if request.responded || request.conn.broken || m.isFenced(request, now) {
		m.requeue(request, now)
		return
	}
	request.phase, request.sentAt = phaseInFlight, now
	m.Count("passed_on", 1)
	op := request.op
	if request.strict {
		op.Term = request.term
	}
	m.Emit(Send{Request: request, Conn: request.conn, Op: op})
}

// isFenced reports whether the lease or the term under which a request was
// assigned has ended.
func (m *Machine) isFenced(request *Request, now time.Duration) bool {
	if !m.Routing().HasLease(now) || m.Routing().WriterRole(request.databaseName).Term != request.term {
		return true
	}
	return request.strict && !m.Routing().MayWrite(request.databaseName, request.term, now)
}

// ForwardFailed queues a request again because the forwarding stage had no room for
// it.
func (m *Machine) ForwardFailed(request *Request, now time.Duration) {
	if request.phase == phaseAssigned {
		m.requeue(request, now)
	}
}

// requeue puts an assigned request that was not sent back to the front of its
// queue.
func (m *Machine) requeue(request *Request, now time.Duration) {
	request.instance.removeInFlight(request)
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
	database := m.database(request.databaseName)
	database.queueOf(request).pushFront(request)
	m.Count("fenced_before_sending", 1)
	if request.pinned && conn.broken {
		request.session.stateLost = true
		m.dispatch(database, now)
	}
}
