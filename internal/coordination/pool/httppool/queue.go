package httppool

// compactionThreshold is the number of entries above which a queue is compacted if
// fewer than half of its entries are still queued.
const compactionThreshold = 64

// requestQueue holds requests in the order in which they are to be assigned. A
// request leaves the queue when its phase changes. Its entry in requests is removed
// later, when the entry reaches the front or the queue is compacted.
type requestQueue struct {
	requests []*Request
	// length is the number of requests that are still queued.
	length int
}

func (q *requestQueue) pushBack(request *Request) {
	q.requests = append(q.requests, request)
	q.length++
}

func (q *requestQueue) pushFront(request *Request) {
	q.requests = append([]*Request{request}, q.requests...)
	q.length++
}

// onRemoved updates the length of the queue and compacts it if necessary. It must be
// called when a request has left the queue.
func (q *requestQueue) onRemoved() {
	q.length--
	if len(q.requests) > compactionThreshold && q.length < len(q.requests)/2 {
		q.compact()
	}
}

func (q *requestQueue) compact() {
	queued := make([]*Request, 0, q.length)
	for _, request := range q.requests {
		if request.phase == phaseQueued {
			queued = append(queued, request)
		}
	}
	q.requests = queued
}

// front returns the first request that is still queued, or nil if there is none.
func (q *requestQueue) front() *Request {
	for len(q.requests) > 0 && q.requests[0].phase != phaseQueued {
		q.requests = q.requests[1:]
	}
	if len(q.requests) == 0 {
		return nil
	}
	return q.requests[0]
}

// databaseState is the pool's state for one database.
type databaseState struct {
	name string
	// transactions holds the requests that are pinned to a connection. They are
	// assigned first, since their sessions may hold locks.
	transactions requestQueue
	writes       requestQueue
	reads        requestQueue
	// unconfirmed holds the commits that have run but are not yet known to be safe
	// on the replicas.
	unconfirmed []*Request
}

func (d *databaseState) queueOf(request *Request) *requestQueue {
	if request.pinned {
		return &d.transactions
	}
	if request.strict {
		return &d.writes
	}
	return &d.reads
}

func (d *databaseState) queueLength() int {
	return d.reads.length + d.writes.length + d.transactions.length
}
