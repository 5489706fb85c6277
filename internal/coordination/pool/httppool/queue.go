package httppool

// compactionThreshold is the length from which a queue that is mostly empty
// places is compacted.
const compactionThreshold = 64

// requestQueue holds requests in the order in which they are to be assigned. A
// request leaves it by a change of its phase; its place is given up when it
// comes to the front, or by compaction.
type requestQueue struct {
	requests []*Request
	// length counts the requests that are still queued.
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

// removed is to be called when a request has left the queue.
func (q *requestQueue) removed() {
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

// front returns the first request that is queued, or nil.
func (q *requestQueue) front() *Request {
	for len(q.requests) > 0 && q.requests[0].phase != phaseQueued {
		q.requests = q.requests[1:]
	}
	if len(q.requests) == 0 {
		return nil
	}
	return q.requests[0]
}

// databaseState is what the pool holds for one database.
type databaseState struct {
	name string
	// transactions holds requests that are pinned to a connection. They go first,
	// since they may hold locks.
	transactions requestQueue
	writes       requestQueue
	reads        requestQueue
	// unconfirmed holds commits that ran and aren't known to be safe.
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
