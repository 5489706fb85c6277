package idempotency

import (
	"time"

	"tansyseam/internal/state/model"
)

// expiryInterval is the minimum time between two scans for expired sessions.
const expiryInterval = time.Second

// Timing is the set of limits for the stored records and sessions.
type Timing struct {
	// Retention is how long a record is kept after its request ended, and a
	// session after it was closed.
	Retention time.Duration
	// MaxRecords is the maximum number of records, including those in flight.
	MaxRecords int
}

// DefaultTiming returns the limits used in production.
func DefaultTiming() Timing { return Timing{Retention: 3 * time.Minute, MaxRecords: 100000} }

// Machine stores one node's records of request ids and decides on requests. It is not
// safe for concurrent use.
type Machine struct {
	self   nodeID
	timing Timing
	// records are the records of the request ids that this node has executed or
	// transferred. recordOrder are these ids, oldest first.
	records     map[string]*requestRecord
	recordOrder []string
	// sessions are the sessions that this node has opened, by id.
	sessions map[string]*sessionRecord
	// predecessors are nodes that have shut down. predecessorOrder are their ids in the
	// order of their handovers.
	predecessors     map[nodeID]*predecessor
	predecessorOrder []nodeID
	// lastExpiry is the time of the last scan for expired sessions.
	lastExpiry time.Duration
}

// New returns the machine of a starting node, without records. The incarnation must
// differ from those of the node's earlier starts.
func New(self, incarnation string, timing Timing) *Machine {
	return &Machine{
		self:         nodeID{name: self, incarnation: incarnation},
		timing:       timing,
		records:      map[string]*requestRecord{},
		sessions:     map[string]*sessionRecord{},
		predecessors: map[nodeID]*predecessor{},
	}
}

// SessionID returns the id of this node's session with the given number.
func (m *Machine) SessionID(number uint64) string { return m.self.sessionID(number) }

// OpenSession registers a session of this node.
func (m *Machine) OpenSession(sessionID string) { m.sessions[sessionID] = &sessionRecord{} }

// CloseSession marks a session as closed. Retries of its requests are still answered for
// the retention time.
func (m *Machine) CloseSession(sessionID string, now time.Duration) {
	if session, found := m.sessions[sessionID]; found {
		session.closed, session.closedAt = true, now
	}
}

// ExpireSessions deletes the closed sessions whose retention time is over.
func (m *Machine) ExpireSessions(now time.Duration) {
	if now-m.lastExpiry < expiryInterval {
		return
	}
	m.lastExpiry = now
	for sessionID, session := range m.sessions {
		if session.closed && now-session.closedAt > m.timing.Retention {
			delete(m.sessions, sessionID)
		}
	}
}

// DecisionKind is the action to take for a request.
type DecisionKind string

// Kinds of decision. The strings must not change, since they are part of the names of
// counters.
const (
	// Execute means that the request must be executed: no node is known to have executed
	// it, and its id is now recorded as in flight.
	Execute DecisionKind = "run"
	// Wait means that the first attempt is in flight at this node. Complete returns the
	// token of the retry when the attempt has ended.
	Wait DecisionKind = "wait"
	// Reply means that the request must be answered with Status, without executing it.
	Reply DecisionKind = "tell"
	// Lookup means that Node must be asked for the status of the request.
	Lookup DecisionKind = "seek"
	// Invalid means that the id does not have the form of a request id.
	Invalid DecisionKind = "bad"
)

// Decision is the action to take for a request that this node received. Node is set for
// a Lookup, and Status for a Reply.
type Decision struct {
	Kind   DecisionKind
	Node   string
	Status Status
}

var unknownDecision = Decision{Kind: Reply, Status: Status{State: StateUnknown}}

// Decide returns the action to take for a request from a client. If the first attempt is
// in flight at this node, the token is kept until that attempt has ended.
func (m *Machine) Decide(requestID string, token any, now time.Duration) Decision {
	sessionID, _, valid := parseRequestID(requestID)
	if !valid {
		return Decision{Kind: Invalid}
	}
	if record, found := m.records[requestID]; found {
		return m.decideFromRecord(record, token)
	}
	owner := ownerOf(sessionID)
	if owner == m.self {
		if !isUnseen(m.sessions, requestID) {
			return unknownDecision
		}
		m.insert(requestID, StateInFlight, "", now)
		return Decision{Kind: Execute}
	}
	if previousOwner, found := m.predecessors[owner]; found {
		return Decision{Kind: Lookup, Node: previousOwner.successor}
	}
	if owner.name == m.self.name || owner.name == "" {
		return unknownDecision
	}
	return Decision{Kind: Lookup, Node: owner.name}
}

// DecideFromPeer returns the action to take after a Lookup, given the status that the
// other node answered.
func (m *Machine) DecideFromPeer(requestID string, token any, status Status, now time.Duration) Decision {
	mayExecute := status.State == StateUnseen || (status.State == StateTransferred && status.Owner == m.self.name)
	if mayExecute {
		if record, found := m.records[requestID]; found && record.State != StateTransferred {
			return m.decideFromRecord(record, token)
		}
		m.insert(requestID, StateInFlight, "", now)
		return Decision{Kind: Execute}
	}
	if status.State == StateTransferred {
		return Decision{Kind: Lookup, Node: status.Owner}
	}
	return Decision{Kind: Reply, Status: status}
}

func (m *Machine) decideFromRecord(record *requestRecord, token any) Decision {
	if record.State == StateTransferred {
		return Decision{Kind: Lookup, Node: record.Owner}
	}
	if record.State == StateInFlight {
		record.waiters = append(record.waiters, token)
		return Decision{Kind: Wait}
	}
	return Decision{Kind: Reply, Status: record.Status}
}

// IsUnseen reports whether a request id has certainly never been executed on any node.
// Only in this case may a node that does not execute the request answer that nothing was
// committed.
func (m *Machine) IsUnseen(requestID string) bool {
	sessionID, _, valid := parseRequestID(requestID)
	return valid && !m.Contains(requestID) && ownerOf(sessionID) == m.self && isUnseen(m.sessions, requestID)
}

// Contains reports whether there is a record of a request id.
func (m *Machine) Contains(requestID string) bool {
	_, found := m.records[requestID]
	return found
}

// HandleStatusRequest answers another node that received a request of a session of this
// node or of one of its predecessors. An unseen id is transferred to that node.
func (m *Machine) HandleStatusRequest(request StatusRequest, now time.Duration) Status {
	if record, found := m.records[request.RequestID]; found {
		return record.Status
	}
	sessionID, _, _ := parseRequestID(request.RequestID)
	owner := ownerOf(sessionID)
	if owner != m.self {
		return m.statusFromPredecessor(owner, request, now)
	}
	if !isUnseen(m.sessions, request.RequestID) {
		return Status{State: StateUnknown}
	}
	m.insert(request.RequestID, StateTransferred, request.Requester, now)
	return Status{State: StateUnseen}
}

// Complete records the outcome of a request, and returns the tokens of the waiting
// retries with the recorded status. A proven state, committed or not committed, is never
// changed. The unknown state may still change to either of them.
func (m *Machine) Complete(requestID, state string, rows []byte, position model.Position, now time.Duration) ([]any, Status) {
	record, found := m.records[requestID]
	if !found || record.State == StateCommitted || record.State == StateNotCommitted {
		return nil, Status{}
	}
	record.Status, record.updatedAt = Status{State: state, Rows: rows, Position: position}, now
	waiters := record.waiters
	record.waiters = nil
	return waiters, record.Status
}
