package idempotency

import (
	"time"

	"tansyseam/internal/state/model"
)

// expiryInterval is the minimum time between two searches for expired sessions.
const expiryInterval = time.Second

// Timing bounds what is kept.
type Timing struct {
	// Retention is how long a record is kept after its request ended, and a
	// session after it was closed.
	Retention time.Duration
	// MaxRecords bounds the records, those in flight included.
	MaxRecords int
}

// DefaultTiming returns the project's bounds.
func DefaultTiming() Timing { return Timing{Retention: 3 * time.Minute, MaxRecords: 100000} }

// Machine is one node's records of request ids. It is not safe for concurrent use.
type Machine struct {
	self   nodeID
	timing Timing
	// records are those of request ids that this node has executed or transferred, and
	// recordOrder are the ids, oldest first.
	records     map[string]*requestRecord
	recordOrder []string
	// sessions are the sessions that this node has opened, by id.
	sessions map[string]*sessionRecord
	// predecessors are nodes that have shut down, and predecessorOrder the same in the
	// order of their handovers.
	predecessors     map[nodeID]*predecessor
	predecessorOrder []nodeID
	// lastExpiry is when expired sessions were last looked for.
	lastExpiry time.Duration
}

// New returns the empty records of a node that starts. The incarnation differs
// from those of its earlier starts.
func New(self, incarnation string, timing Timing) *Machine {
	return &Machine{
		self:         nodeID{name: self, incarnation: incarnation},
		timing:       timing,
		records:      map[string]*requestRecord{},
		sessions:     map[string]*sessionRecord{},
		predecessors: map[nodeID]*predecessor{},
	}
}

// SessionID returns the id of this node's session with a number.
func (m *Machine) SessionID(number uint64) string { return m.self.sessionID(number) }

// OpenSession begins to keep records for a session of this node.
func (m *Machine) OpenSession(sessionID string) { m.sessions[sessionID] = &sessionRecord{} }

// CloseSession notes that a session is closed; retries of its requests are
// still answered for the retention time.
func (m *Machine) CloseSession(sessionID string, now time.Duration) {
	if session, found := m.sessions[sessionID]; found {
		session.closed, session.closedAt = true, now
	}
}

// ExpireSessions forgets the sessions whose retention time is over.
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

// DecisionKind says what is to be done with a request id.
type DecisionKind string

// Kinds of decision. They are part of counters' names: the strings stay.
const (
	// Execute: the id was never seen, and is on record as in flight now.
	Execute DecisionKind = "run"
	// Wait: its first attempt is in flight here; Complete gives the token back.
	Wait DecisionKind = "wait"
	// Reply: it has ended, as Status says.
	Reply DecisionKind = "tell"
	// Lookup: Node must be asked for its status.
	Lookup DecisionKind = "seek"
	// Invalid: it doesn't have the form of a request id.
	Invalid DecisionKind = "bad"
)

// Decision says what is to be done with a request that was received here.
type Decision struct {
	Kind   DecisionKind
	Node   string
	Status Status
}

var unknownDecision = Decision{Kind: Reply, Status: Status{State: StateUnknown}}

// Decide says what is to be done with a request that a client sent. The token
// waits for the first attempt where that is in flight here.
func (m *Machine) Decide(requestID string, token any, now time.Duration) Decision {
	sessionID, _, valid := parseRequestID(requestID)
	if !valid {
		return Decision{Kind: Invalid}
	}
	if record, found := m.records[requestID]; found {
		return m.join(record, token)
	}
	owner := ownerOf(sessionID)
	if owner == m.self {
		if !isUnseen(m.sessions, requestID) {
			return unknownDecision
		}
		m.insert(requestID, StateInFlight, "", now)
		return Decision{Kind: Execute}
	}
	if left, found := m.predecessors[owner]; found {
		return Decision{Kind: Lookup, Node: left.successor}
	}
	if owner.name == m.self.name || owner.name == "" {
		return unknownDecision
	}
	return Decision{Kind: Lookup, Node: owner.name}
}

// DecideFromPeer continues a Lookup with the status that the node gave.
func (m *Machine) DecideFromPeer(requestID string, token any, status Status, now time.Duration) Decision {
	owned := status.State == StateUnseen || (status.State == StateTransferred && status.Owner == m.self.name)
	if owned {
		if record, found := m.records[requestID]; found && record.State != StateTransferred {
			return m.join(record, token)
		}
		m.insert(requestID, StateInFlight, "", now)
		return Decision{Kind: Execute}
	}
	if status.State == StateTransferred {
		return Decision{Kind: Lookup, Node: status.Owner}
	}
	return Decision{Kind: Reply, Status: status}
}

func (m *Machine) join(record *requestRecord, token any) Decision {
	if record.State == StateTransferred {
		return Decision{Kind: Lookup, Node: record.Owner}
	}
	if record.State == StateInFlight {
		record.waiters = append(record.waiters, token)
		return Decision{Kind: Wait}
	}
	return Decision{Kind: Reply, Status: record.Status}
}

// IsUnseen reports whether a request id has certainly never been executed
// anywhere. Only then may a node that doesn't execute it answer that nothing was
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

// HandleStatusRequest answers another node that was sent a request of one of
// this node's sessions, or of a predecessor's.
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

// Complete records how a request ended and gives the tokens of the retries that
// wait for it. A state that was proven, committed or not, is never changed;
// unknown may still become either.
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
