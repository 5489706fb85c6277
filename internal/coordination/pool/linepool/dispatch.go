package linepool

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/balancer"
	"tansyseam/internal/coordination/pool"
	"tansyseam/internal/state/model"
)

const (
	// maxDispatchMisses is the number of queued reads that a round may fail to
	// send and still continue.
	maxDispatchMisses = 8
	// hedgeDelayPercent is the percentage of a binding's latency target after
	// which a read is sent to a second instance. defaultHedgeDelay is used
	// where the binding has no target.
	hedgeDelayPercent = 45
	defaultHedgeDelay = time.Second
)

// dispatchAll serves all queues. It is called after changes that may affect any
// of them.
func (m *Machine) dispatchAll(now time.Duration) {
	m.resumeAwaitingLease(now)
	for _, database := range m.databases.All() {
		m.confirmCommits(database, now)
		m.dispatch(database, now)
	}
}

// dispatch sends those requests in a database's queues that can be sent now.
func (m *Machine) dispatch(database *databaseState, now time.Duration) {
	if len(database.transactionQueue) > 0 {
		m.dispatchTransactions(database, now)
	}
	if len(database.primaryQueue) > 0 && m.Routing().HasLease(now) {
		m.dispatchPrimary(database, now)
	}
	if len(database.readQueue) > 0 && m.Routing().HasLease(now) {
		m.dispatchReads(database, now)
	}
}

func (m *Machine) dispatchTransactions(database *databaseState, now time.Duration) {
	for _, request := range slices.Clone(database.transactionQueue) {
		if request.phase != phaseQueued {
			continue
		}
		conn := request.transaction.conn
		if conn == nil || request.transaction.lost {
			database.dequeue(request)
			m.abortTransaction(request, now)
			continue
		}
		if m.mayContinue(database, request, now) && request.isReady(now) && conn.instance.window.HasRoom() {
			request.term = conn.term
			m.forward(request, conn, now)
		}
	}
}

// mayContinue reports whether the next statement of a transaction may be sent.
// A transaction that may write needs the lease, and the term in which it began
// must still be open.
func (m *Machine) mayContinue(database *databaseState, request *Request, now time.Duration) bool {
	if request.transaction.readOnly {
		return true
	}
	writer, _, open := m.writer(database)
	return open && writer.Term == request.transaction.conn.term && m.Routing().HasLease(now)
}

func (m *Machine) dispatchPrimary(database *databaseState, now time.Duration) {
	writer, primary, open := m.writer(database)
	if !open || !m.Routing().MayWrite(database.name, writer.Term, now) || m.isDrainOver(primary, now) {
		return
	}
	unserved := 0
	for _, request := range slices.Clone(database.primaryQueue) {
		if !primary.window.HasRoom() {
			return
		}
		if !request.isReady(now) {
			continue
		}
		conn := primary.takeIdle(request, now)
		if conn == nil && len(primary.idle) == 0 {
			m.openConns(primary, len(database.primaryQueue), now)
			return
		}
		if conn == nil {
			unserved++
			m.replaceIdle(primary, unserved, now)
			continue
		}
		request.term, request.minPosition = writer.Term, model.Position{}
		m.forward(request, conn, now)
	}
}

func (m *Machine) dispatchReads(database *databaseState, now time.Duration) {
	misses := 0
	for _, request := range slices.Clone(database.readQueue) {
		if misses > maxDispatchMisses {
			return
		}
		if request.isReady(now) && !m.dispatchRead(database, request, now) {
			misses++
		}
	}
}

// dispatchRead sends a read to the instance that suits it best. It returns
// false if no instance suits now, or if that instance has no idle connection.
func (m *Machine) dispatchRead(database *databaseState, request *Request, now time.Duration) bool {
	instance, minPosition := m.selectInstance(database, request, request.avoid, now)
	if instance == nil && request.avoid != nil {
		instance, minPosition = m.selectInstance(database, request, nil, now)
	}
	if instance == nil {
		return false
	}
	conn := instance.takeIdle(request, now)
	if conn == nil && len(instance.idle) > 0 {
		m.replaceIdle(instance, 1, now)
		return false
	}
	if conn == nil {
		m.openConns(instance, len(database.readQueue), now)
		return false
	}
	request.term = m.Routing().WriterRole(database.name).Term
	request.minPosition = minPosition
	m.forward(request, conn, now)
	return true
}

// selectInstance returns the best instance for a read, other than excluded, and
// the position that the instance must have reached. It returns nil if no
// instance suits.
func (m *Machine) selectInstance(database *databaseState, request *Request, excluded *instanceState, now time.Duration) (*instanceState, model.Position) {
	var candidates []balancer.Candidate
	var instances []*instanceState
	minPosition, hasMinPosition := m.minPositionFor(database, request)
	writer, primary, open := m.writer(database)
	primaryFresh := open && m.Routing().MayWrite(database.name, writer.Term, now)
	for _, instance := range m.instances.All() {
		if instance.database != database || instance == excluded || !instance.isServing() {
			continue
		}
		freshEnough := primaryFresh
		if instance != primary {
			freshEnough = hasMinPosition && m.isReplicaFresh(instance, database, request, minPosition, now)
		}
		candidates = append(candidates, m.candidate(instance, freshEnough, now))
		instances = append(instances, instance)
	}
	best := balancer.Pick(candidates)
	if best < 0 {
		return nil, model.Position{}
	}
	if instances[best] == primary {
		minPosition = model.Position{}
	}
	return instances[best], minPosition
}

// isServing reports whether an instance accepts new reads, that is, whether it
// is neither draining nor stopped.
func (i *instanceState) isServing() bool { return i.drainingSince == 0 && !i.info.Stopped }

func (m *Machine) candidate(instance *instanceState, freshEnough bool, now time.Duration) balancer.Candidate {
	hasConn := len(instance.idle) > 0 || m.canOpen(instance, now)
	sameZone := instance.info.Zone == m.node.Zone
	candidate := pool.Candidate(instance.window, hasConn, sameZone, freshEnough)
	candidate.CostFactor = instance.health.CostFactor(now)
	return candidate
}

// isReplicaFresh reports whether a replica is likely to be fresh enough for a
// read. It need not be certain, since the replica refuses a read if it has not
// reached the minimum position. But if the session's own commit is too recent
// for most replicas, the read is sent only to a replica that is known to have
// the commit.
func (m *Machine) isReplicaFresh(instance *instanceState, database *databaseState, request *Request, minPosition model.Position, now time.Duration) bool {
	if instance.info.Role == model.RolePrimary || now < instance.laggingUntil {
		return false
	}
	replicated := !request.binding.ReadYourWrites || now-request.client.ownCommits[database.name].at > m.timing.ReplicationBound
	return replicated || !instance.position.IsBefore(minPosition)
}

// hedgeReads sends each read that has been unanswered for its hedge delay to a
// second instance.
func (m *Machine) hedgeReads(now time.Duration) {
	if !m.Routing().HasLease(now) {
		return
	}
	for _, database := range m.databases.All() {
		for _, request := range slices.Clone(database.inFlight) {
			if request.shouldHedge(now) {
				m.hedge(database, request, now)
			}
		}
	}
}

func (request *Request) shouldHedge(now time.Duration) bool {
	if !request.isRetryableRead() || request.hedged || request.strict || len(request.attempts) == 0 {
		return false
	}
	return now-request.attempts[0].sentAt >= request.hedgeDelay()
}

func (request *Request) hedgeDelay() time.Duration {
	if request.binding.LatencyTarget > 0 {
		return request.binding.LatencyTarget * hedgeDelayPercent / 100
	}
	return defaultHedgeDelay
}

func (m *Machine) hedge(database *databaseState, request *Request, now time.Duration) {
	slow := request.attempts[0].conn.instance
	instance, minPosition := m.selectInstance(database, request, slow, now)
	if instance == nil {
		return
	}
	conn := instance.takeIdle(request, now)
	if conn == nil {
		return
	}
	slow.health.Observe(true, now)
	request.hedged, request.minPosition = true, minPosition
	database.inFlight.remove(request)
	m.Count("reads_twinned", 1)
	m.forward(request, conn, now)
}
