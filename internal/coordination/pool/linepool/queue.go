package linepool

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

// requestQueue is a list of requests, first those that are served first.
type requestQueue []*Request

func (q *requestQueue) remove(request *Request) {
	if index := slices.Index(*q, request); index >= 0 {
		*q = slices.Delete(*q, index, index+1)
	}
}

// insert adds a request behind those of the same or a more urgent priority;
// a lower number is more urgent.
func (q *requestQueue) insert(request *Request) {
	index := len(*q)
	for index > 0 && (*q)[index-1].binding.Priority > request.binding.Priority {
		index--
	}
	*q = slices.Insert(*q, index, request)
}

// databaseState is what the node has under way for one database.
type databaseState struct {
	name string
	// transactionQueue has the statements of transactions that are open at an
	// instance, primaryQueue the other strict ones, readQueue the rest.
	transactionQueue requestQueue
	primaryQueue     requestQueue
	readQueue        requestQueue
	inFlight         requestQueue
	unconfirmed      requestQueue
	samples          []positionSample
	// highWatermark covers every commit that was confirmed to a client.
	highWatermark model.Position
	// writerClosedAt is when the primary's term was seen to close; 0 while it
	// is open.
	writerClosedAt time.Duration
	// closeReported says that the node may have reported to the control primary
	// that it confirms no more commits of the closing term.
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

// bind gives a request the binding that is in force, and queues it. One inside
// a transaction keeps the binding of its first statement. Without a lease it
// waits, unless it reads inside a transaction that has begun.
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

// bindToActiveSet rejects the request and returns false if there is no binding
// of the name that its client gave.
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

// isReadOnly reports whether the request, or the transaction that it is part of,
// writes nothing.
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

// isIsolated reports whether the lease has been gone for so long that nothing
// new waits for it.
func (m *Machine) isIsolated(now time.Duration) bool {
	return m.ticked && !m.Routing().HasLease(now) && now-m.lastTickWithLease > m.timing.UnavailableWait
}

// resumeAwaitingLease binds again what waits for a lease.
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

// requeue puts a request back into its queue. What is in flight of it is not
// waited for.
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
