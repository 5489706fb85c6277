package distribution

import "cmp"

const (
	// MaxQueuedBytes is the number of bytes that may wait at the connections to all nodes
	// before further snapshots are held back.
	MaxQueuedBytes = 32 << 20
	// maxQueuedBytesToNode is the number of bytes that may wait at the connection to one
	// node before its next snapshot is held back. The node then gets one newest snapshot
	// instead of each.
	maxQueuedBytesToNode = 64 << 10
)

// Approximate encoded sizes, in bytes.
const (
	bindingBytes  = 64
	databaseBytes = 32
	writerBytes   = 256
	setBytes      = 256
	rangeBytes    = 8
)

// Links reports how much waits to be sent. A connection is named by the process at its
// other end.
type Links interface {
	// QueuedBytes returns the number of bytes that wait at all connections.
	QueuedBytes() int64
	// QueuedBytesTo returns the number of bytes that wait at the connection to a process.
	QueuedBytesTo(name string) int64
}

// IdleLinks are links on which nothing waits.
type IdleLinks struct{}

// QueuedBytes returns 0.
func (IdleLinks) QueuedBytes() int64 { return 0 }

// QueuedBytesTo returns 0.
func (IdleLinks) QueuedBytesTo(string) int64 { return 0 }

// sendWindow limits the bytes of the snapshots that are sent by one Flush, by what waits at
// the links already. It bounds the memory of the queues over all nodes, whatever their
// number and however slow their links are.
type sendWindow struct {
	links Links
	// queued is the number of bytes that wait, including those reserved by this Flush.
	queued int64
}

func newSendWindow(links Links) sendWindow {
	return sendWindow{links: links, queued: links.QueuedBytes()}
}

// admits reports whether a snapshot may be sent in reply to a request now. A forwarded
// request is answered on the connection to the peer that forwarded it.
func (w *sendWindow) admits(request UpdateRequest) bool {
	connection := cmp.Or(request.ForwardedBy, request.Node)
	return w.queued < MaxQueuedBytes && w.links.QueuedBytesTo(connection) < maxQueuedBytesToNode
}

// reserve counts the bytes of a reply.
func (w *sendWindow) reserve(update Update) {
	if update.Snapshot == nil {
		return
	}
	w.queued += int64(len(update.Snapshot.Writers) * writerBytes)
	for _, set := range update.Snapshot.Sets {
		w.queued += int64(setBytes + len(set.Bindings)*bindingBytes + len(set.Databases)*databaseBytes)
	}
	for _, change := range update.Snapshot.Changes {
		w.queued += int64(setBytes + len(change.Changed)*bindingBytes + len(change.Order)*rangeBytes + len(change.Set.Databases)*databaseBytes)
	}
}
