package httppool

import (
	"time"

	"tansyseam/internal/state/model"
)

type phase int

const (
	phaseNew phase = iota
	// phaseAwaitingLease waits for the node to have a lease again.
	phaseAwaitingLease
	// phaseLookup waits for another node's status of the request id.
	phaseLookup
	// phaseAwaitingFirst waits for the first attempt of the same request id.
	phaseAwaitingFirst
	phaseQueued
	// phaseAssigned has a connection and a slot, but isn't sent yet.
	phaseAssigned
	phaseInFlight
	// phaseUnconfirmed has run, but isn't known to be safe on the replicas.
	phaseUnconfirmed
	phaseDone
)

// Request is one request of a session, from Accept to Respond.
type Request struct {
	// Token belongs to the caller of Accept.
	Token any

	op        Op
	session   *clientSession
	arrivedAt time.Duration
	deadline  time.Duration
	phase     phase
	responded bool

	// inTransaction says that the session was in a transaction at Accept.
	inTransaction bool

	// The next are set by Bind, the first two by Accept already if the node has
	// a lease then. strict requests need the primary, pinned ones the connection
	// of their session; the others may go to each instance whose position is not
	// older than freshness and not before minPosition.
	databaseName    string
	freshness       time.Duration
	bindingSequence uint64
	minPosition     model.Position
	strict          bool
	pinned          bool

	lookupNode  string
	lookupCount int

	// The next are set when an instance is assigned. assignedPosition is the
	// position that it was known to have reached then.
	instance         *instanceState
	conn             *Conn
	term             uint64
	assignedPosition model.Position
	sentAt           time.Duration

	// abandoned is for a request that was given up while it was in flight.
	abandoned bool

	// The next are set once a commit has run.
	executedAt time.Duration
	position   model.Position
	rows       []byte
}

// Deadline is when the request is to be cancelled.
func (r *Request) Deadline() time.Duration { return r.deadline }

// RequestID is the id under which the client retries it, empty for what is no
// write.
func (r *Request) RequestID() string { return r.op.RequestID }

// Instance names the instance it was last assigned to, empty if there is
// none yet.
func (r *Request) Instance() string {
	if r.instance == nil {
		return ""
	}
	return r.instance.name()
}

// mayPersist reports whether it has an effect of its own that lasts: a commit, or
// a write outside of a transaction.
func (r *Request) mayPersist() bool {
	return r.op.Kind == OpCommit || (r.op.Kind == OpRun && r.op.Write && !r.inTransaction)
}

// setRequirements derives from the binding and the session where the request may
// be run.
func (r *Request) setRequirements() {
	r.minPosition = r.session.minPositions[r.databaseName]
	r.pinned = r.session.pinnedConn != nil
	r.strict = !r.isRead() || r.freshness == 0 || r.pinned
}

// misplacedInTransaction is true of a begin inside a transaction and of a
// rollback outside of one. A commit outside of one may be a retry.
func (r *Request) misplacedInTransaction() bool {
	nestedBegin := r.op.Kind == OpBegin && r.session.inTransaction
	strayRollback := r.op.Kind == OpRollback && !r.session.inTransaction
	return nestedBegin || strayRollback
}

func (r *Request) isRead() bool { return r.op.Kind == OpRun && !r.op.Write }
