package rpc

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"
)

// writeQueue counts the bytes that were passed to one connection and that the kernel has
// not accepted yet. The engine holds these bytes in memory.
type writeQueue struct {
	mutex  sync.Mutex
	bytes  int64
	closed bool
	// total is the sum over all connections of the hub.
	total *atomic.Int64
}

// add counts bytes that are about to be written. A closed connection drops them, so that
// they are not counted.
func (q *writeQueue) add(count int64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.closed {
		return
	}
	q.bytes += count
	q.total.Add(count)
}

// remove counts bytes that the kernel has accepted.
func (q *writeQueue) remove(count int64) { q.add(-count) }

// close counts all remaining bytes as dropped.
func (q *writeQueue) close() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.closed {
		return
	}
	q.closed = true
	q.total.Add(-q.bytes)
	q.bytes = 0
}

func (q *writeQueue) length() int64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.bytes
}

// QueuedBytes returns how many bytes wait at the connections of this hub because their
// remote ends or their links are slow.
func (h *Hub) QueuedBytes() int64 { return h.queuedBytes.Load() }

// MaxQueuedBytes returns the number of bytes that wait at the connection with the longest
// queue.
func (h *Hub) MaxQueuedBytes() int64 {
	longest := int64(0)
	h.queues.Range(func(_, queue any) bool {
		longest = max(longest, queue.(*writeQueue).length())
		return true
	})
	return longest
}

// QueuedBytesTo returns the number of bytes that wait at the connection on which the last
// message of the named process arrived. It is 0 if there is no such connection.
func (h *Hub) QueuedBytesTo(name string) int64 {
	h.mutex.Lock()
	queue, found := h.inbound[name]
	h.mutex.Unlock()
	if !found {
		return 0
	}
	return queue.length()
}

func (h *Hub) noteInbound(name string, queue *writeQueue) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.inbound[name] = queue
}

// onWritten is called while the engine holds the lock of the connection, so it takes no
// lock of the hub.
func (h *Hub) onWritten(conn *nbio.Conn, _ []byte, count int) {
	if queue, found := h.queues.Load(conn); found {
		queue.(*writeQueue).remove(int64(count))
	}
}

// closeQueue ends the accounting of a connection that was closed. The caller must hold the
// mutex.
func (h *Hub) closeQueue(conn *nbio.Conn) {
	found, ok := h.queues.LoadAndDelete(conn)
	if !ok {
		return
	}
	queue := found.(*writeQueue)
	queue.close()
	maps.DeleteFunc(h.inbound, func(_ string, other *writeQueue) bool { return other == queue })
}
