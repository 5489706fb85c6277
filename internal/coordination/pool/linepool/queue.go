package linepool

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

// requestQueue is a list of requests in the order in which they are served.
type requestQueue []*Request

func (q *requestQueue) remove(request *Request) {
	if index := slices.Index(*q, request); index >= 0 {
		*q = slices.Delete(*q, index, index+1)
	}
}

// insert adds a request after those of the same or a more urgent priority. A
// lower number is more urgent.
func (q *requestQueue) insert(request *Request) {
	index := len(*q)
	for index > 0 && (*q)[index-1].binding.Priority > request.binding.Priority {
		index--
	}
	*q = slices.Insert(*q, index, request)
}

// databaseState is the node's state for one database.
type databaseState struct {
	name string
	// transactionQueue holds the statements of transactions that are open at an
	// instance. primaryQueue holds the other strict statements. readQueue holds
	// the rest.
	transactionQueue requestQueue
	primaryQueue     requestQueue
	readQueue        requestQueue
	inFlight         requestQueue
	unconfirmed      requestQueue
	samples          []positionSample
	// highWatermark is a position that covers every commit that was confirmed
	// to a client.
	highWatermark model.Position
	// writerClosedAt is the time at which the node observed that the primary's
	// term was no longer open; 0 while it is open.
	writerClosedAt time.Duration
	// closeReported is true if the node may have reported to the control
	// primary that it confirms no more commits of the closing term.
	closeReported bool
}

func (d *databaseState) queueFor(request *Request) *requestQueue {
	if request.transaction.isOpenAtInstance() {
		return &d.transactionQueue
	}
	if request.strict {
		return &d.primaryQueue
	}
	return &d.readQueue
}

func (d *databaseState) dequeue(request *Request) {
	d.transactionQueue.remove(request)
	d.primaryQueue.remove(request)
	d.readQueue.remove(request)
}

// submit starts to serve a client's request.
func (m *Machine) submit(request *Request, now time.Duration) {
	request.client.request = request
	request.arrivedAt = now
	request.deadline = now + m.timing.DefaultTimeout
	m.bind(request, now)
}

// bind assigns the binding in force to a request and queues the request. In a
// transaction that has begun, the request keeps the binding of the first
// statement. Without a lease the request waits, or is rejected if the node is
// isolated, unless it belongs to a read-only transaction that has begun.
func (m *Machine) bind(request *Request, now time.Duration) {
	isBegun := request.transaction.isOpenAtInstance()
	continuesReadOnly := isBegun && request.transaction.readOnly
	if !m.Routing().HasLease(now) && !continuesReadOnly {
		m.awaitLease(request, now)
		return
	}
	if isBegun {
		request.binding = request.transaction.binding
	} else if !m.bindToActiveSet(request, now) {
		return
	}
	request.applyTimeout(request.binding)
	if now >= request.deadline {
		m.Count("timeouts", 1)
		m.timeOutQueued(request, now)
		return
	}
	request.strict = !request.isReadOnly() || request.binding.Freshness == 0
	m.enqueue(request, now)
}

// bindToActiveSet assigns the client's binding to the request. It rejects the
// request and returns false if there is no binding of that name.
func (m *Machine) bindToActiveSet(request *Request, now time.Duration) bool {
	name := request.client.binding
	binding, found := m.EffectiveSet(now).Binding(name)
	if !found {
		m.reject(request, errUnknownBinding(name), now)
		return false
	}
	request.binding = binding
	if request.transaction != nil {
		request.transaction.binding = binding
	}
	return true
}

func (request *Request) applyTimeout(binding model.Binding) {
	if binding.Timeout > 0 {
		request.deadline = request.arrivedAt + binding.Timeout
	}
}

// isReadOnly reports whether the request, or the transaction that it is part
// of, writes nothing.
func (request *Request) isReadOnly() bool {
	if request.transaction != nil {
		return request.transaction.readOnly
	}
	return !request.write && !request.commit
}

func (m *Machine) awaitLease(request *Request, now time.Duration) {
	if binding, found := m.EffectiveSet(now).Binding(request.client.binding); found {
		request.applyTimeout(binding)
	}
	if m.isIsolated(now) {
		m.Count("refused_cut_off", 1)
		m.reject(request, errNotServed, now)
		return
	}
	request.phase = phaseAwaitingLease
	m.awaitingLease = append(m.awaitingLease, request)
}

// isIsolated reports whether the node has been without a lease for so long that
// new requests are rejected and do not wait for one.
func (m *Machine) isIsolated(now time.Duration) bool {
	return m.ticked && !m.Routing().HasLease(now) && now-m.lastTickWithLease > m.timing.UnavailableWait
}

// resumeAwaitingLease calls bind again for the requests that wait for a lease.
func (m *Machine) resumeAwaitingLease(now time.Duration) {
	if len(m.awaitingLease) == 0 {
		return
	}
	waiting := m.awaitingLease
	m.awaitingLease = nil
	for _, request := range waiting {
		if request.phase == phaseAwaitingLease {
			m.bind(request, now)
		}
	}
}

func (m *Machine) enqueue(request *Request, now time.Duration) {
	database := m.database(request.binding.Database)
	request.phase = phaseQueued
	queue := database.queueFor(request)
	if len(*queue) >= m.timing.MaxQueue {
		m.reject(request, errQueueFull, now)
		return
	}
	queue.insert(request)
	m.dispatch(database, now)
}

// requeue puts a request back into its queue and abandons its attempts. It
// rejects the request after Timing.MaxRetries.
func (m *Machine) requeue(request *Request, now time.Duration) {
	m.database(request.binding.Database).inFlight.remove(request)
	request.abandonAttempts()
	request.attempts, request.hedged = nil, false
	request.retries++
	if request.retries > m.timing.MaxRetries {
		m.reject(request, errTooManyRetries, now)
		return
	}
	m.bind(request, now)
}
