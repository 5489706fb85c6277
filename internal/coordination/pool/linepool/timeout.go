package linepool

import (
	"slices"
	"time"
)

// expireRequests ends the requests that have timed out, and the commits that
// are still in flight at a former primary when the closing grace is over.
func (m *Machine) expireRequests(now time.Duration) {
	m.expireAwaitingLease(now)
	for _, database := range m.databases.All() {
		m.expireList(database, database.transactionQueue, now)
		m.expireList(database, database.primaryQueue, now)
		m.expireList(database, database.readQueue, now)
		m.expireList(database, database.inFlight, now)
		m.expireList(database, database.unconfirmed, now)
		m.expireStranded(database, now)
	}
}

func (m *Machine) expireAwaitingLease(now time.Duration) {
	for _, request := range slices.Clone(m.awaitingLease) {
		waitDeadline := min(request.arrivedAt+m.timing.UnavailableWait, m.queueDeadline(request))
		if request.phase == phaseAwaitingLease && now >= waitDeadline {
			m.timeOut(request, now)
		}
	}
}

// expireList ends the requests of a list that have timed out. It works on a
// copy of the list, because a request that ends is removed from the list and
// the next request of its client may be added.
func (m *Machine) expireList(database *databaseState, list requestQueue, now time.Duration) {
	for _, request := range slices.Clone(list) {
		if request.phase != phaseEnded && m.isExpired(database, request, now) {
			m.timeOut(request, now)
		}
	}
}

// expireStranded ends the commits that a former primary has not answered within
// Timing.ClosingGrace after its term was closed.
func (m *Machine) expireStranded(database *databaseState, now time.Duration) {
	if database.writerClosedAt == 0 || now-database.writerClosedAt < m.timing.ClosingGrace {
		return
	}
	for _, request := range m.strandedCommits(database) {
		m.abortStranded(request, now)
	}
}

func (m *Machine) isExpired(database *databaseState, request *Request, now time.Duration) bool {
	if now >= request.deadline {
		return true
	}
	if request.phase != phaseQueued {
		return false
	}
	if now >= m.queueDeadline(request) {
		return true
	}
	return now >= request.arrivedAt+m.timing.UnavailableWait && m.isTargetUnavailable(database, request, now)
}

// queueDeadline returns the time until which a request may be queued. A request
// is rejected early enough for its client to retry in time. In a transaction
// that has begun it may wait until its deadline, since a rejection would lose
// the work of the transaction.
func (m *Machine) queueDeadline(request *Request) time.Duration {
	if request.transaction.isOpenAtInstance() {
		return request.deadline
	}
	timeout := request.deadline - request.arrivedAt
	return request.arrivedAt + time.Duration(float64(timeout)*m.timing.QueueFraction)
}

// isTargetUnavailable reports whether a queued request waits for the lease or
// for an open writer role, rather than for capacity.
func (m *Machine) isTargetUnavailable(database *databaseState, request *Request, now time.Duration) bool {
	_, _, open := m.writer(database)
	return !m.Routing().HasLease(now) || (request.strict && !open)
}

var timeoutHandlers = map[phase]func(*Machine, *Request, time.Duration){
	phaseAwaitingLease: (*Machine).timeOutQueued,
	phaseQueued:        (*Machine).timeOutQueued,
	phaseInFlight:      (*Machine).timeOutInFlight,
	phaseUnconfirmed:   (*Machine).timeOutUnconfirmed,
}

func (m *Machine) timeOut(request *Request, now time.Duration) {
	m.Count("timeouts", 1)
	timeoutHandlers[request.phase](m, request, now)
}

func (m *Machine) timeOutQueued(request *Request, now time.Duration) {
	err := errNoCapacity
	if request.transaction.isOpenAtInstance() {
		err = errNoCapacityAborted
	}
	m.reject(request, err, now)
}

func (m *Machine) timeOutInFlight(request *Request, now time.Duration) {
	m.abandonInFlight(request, timeoutErrors, now)
}

// abandonInFlight answers a request without waiting for the instance any longer,
// and closes its connections. The instance rolls back what was not committed.
func (m *Machine) abandonInFlight(request *Request, errs inFlightErrors, now time.Duration) {
	outcomeUnknown := request.mayPersist() && request.isSent()
	m.closeAttemptConns(request, now)
	transaction := request.transaction
	if transaction != nil {
		transaction.conn = nil
	}
	if outcomeUnknown {
		m.respondUnknown(request, errs.unknown, now)
		return
	}
	if transaction != nil {
		transaction.lost = true
		m.reject(request, errs.aborted, now)
		return
	}
	m.reject(request, errs.read, now)
}

func (m *Machine) timeOutUnconfirmed(request *Request, now time.Duration) {
	m.respondUnknown(request, errLeaseTimeout, now)
}

// closeAttemptConns abandons the attempts of a request and closes the
// connections on which they are in flight.
func (m *Machine) closeAttemptConns(request *Request, now time.Duration) {
	for _, attempt := range request.attempts {
		attempt.abandoned = true
		conn := attempt.conn
		if conn.state == connBusy && conn.attempt == attempt {
			conn.owner = nil
			m.closeConn(conn, now)
		}
	}
}
