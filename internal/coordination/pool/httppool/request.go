package httppool

import (
	"time"

	"tansyseam/internal/state/model"
)

type phase int

const (
	phaseNew phase = iota
	// phaseAwaitingLease means that the request waits until the node has a lease again.
	phaseAwaitingLease
	// phaseLookup means that the request waits for another node's status of the
	// request id.
	phaseLookup
	// phaseAwaitingFirstAttempt means that the request waits for the end of the
	// first attempt with the same request id.
	phaseAwaitingFirstAttempt
	phaseQueued
	// phaseAssigned means that the request has a connection and a slot, but has not
	// been sent yet.
	phaseAssigned
	phaseInFlight
	// phaseUnconfirmed means that the commit has run, but is not known to be safe on
	// the replicas.
	phaseUnconfirmed
	phaseDone
)

// Request is one request of a session, from Accept to Respond.
type Request struct {
	// Token belongs to the caller of Accept.
	Token any

	// number is the request's number in order of acceptance.
	number    uint64
	op        Op
	session   *clientSession
	arrivedAt time.Duration
	deadline  time.Duration
	phase     phase
	responded bool

	// inTransaction is true if the session was in a transaction at Accept.
	inTransaction bool

	// The following fields are set by Bind. If the node has a lease at Accept,
	// Accept already sets the first two. A strict request must run on the primary.
	// A pinned request must use the connection of its session. Any other request
	// may run on an instance whose data is not older than freshness and whose
	// position is not before minPosition.
	databaseName    string
	freshness       time.Duration
	bindingSequence uint64
	minPosition     model.Position
	strict          bool
	pinned          bool

	lookupNode  string
	lookupCount int

	// The following fields are set when the request is assigned to an instance,
	// sentAt when it is sent. assignedPosition is the position that the instance
	// was known to have reached at the assignment.
	instance         *instanceState
	conn             *Conn
	term             uint64
	assignedPosition model.Position
	sentAt           time.Duration

	// abandoned is true if the request was abandoned while it was in flight.
	abandoned bool

	// The following fields are set when a commit has run.
	executedAt time.Duration
	position   model.Position
	rows       []byte
}

// Deadline returns the time at which the request is to be cancelled.
func (r *Request) Deadline() time.Duration { return r.deadline }

// RequestID returns the id under which the client retries the request. It is empty
// for a request that is not a write.
func (r *Request) RequestID() string { return r.op.RequestID }

// Instance returns the name of the instance to which the request was last assigned,
// or an empty string if it has not been assigned yet.
func (r *Request) Instance() string {
	if r.instance == nil {
		return ""
	}
	return r.instance.name()
}

// mayPersist reports whether the request itself can have a lasting effect: whether
// it is a commit, or a write outside of a transaction.
func (r *Request) mayPersist() bool {
	return r.op.Kind == OpCommit || (r.op.Kind == OpRun && r.op.Write && !r.inTransaction)
}

// setRequirements derives from the binding and the session the requirements that the
// request has on its instance and connection.
func (r *Request) setRequirements() {
	r.minPosition = r.session.minPositions[r.databaseName]
	r.pinned = r.session.pinnedConn != nil
	r.strict = !r.isRead() || r.freshness == 0 || r.pinned
}

// misplacedInTransaction reports whether the request is a begin inside a transaction
// or a rollback outside of a transaction. A commit outside of a transaction is not
// misplaced, since it may be a retry.
func (r *Request) misplacedInTransaction() bool {
	nestedBegin := r.op.Kind == OpBegin && r.session.inTransaction
	strayRollback := r.op.Kind == OpRollback && !r.session.inTransaction
	return nestedBegin || strayRollback
}

func (r *Request) isRead() bool { return r.op.Kind == OpRun && !r.op.Write }
