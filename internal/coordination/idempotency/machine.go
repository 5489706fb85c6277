// Package idempotency is the machine by which a node knows what became of each go,
// and by which a repeat brought to any node joins the first or is told its
// outcome, so that none takes effect twice. A go's id is the id of the
// session it was first made in, a dot and a count; a session's id names the
// node that gave it out and that node's birth.
package idempotency

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"tansyseam/internal/state/model"
)

// Standings of a go.
const (
	StateUnseen       = "never"
	StateInFlight     = "out"
	StateCommitted    = "kept"
	StateNotCommitted = "not_kept"
	StateUnknown      = "unknown"
	StateTransferred  = "moved"
)

// Ask asks a node what became of a go.
type StatusRequest struct {
	RequestID string
	Requester string
}

// Answer tells it. Never also promises that the node will not run it.
type Status struct {
	State    string
	Rows     []byte
	Position model.Position
	Owner    string
}

// Legacy is the record that a node leaves when it stops in good order;
// without Goes and Scopes it tells only who the heir is.
type Handover struct {
	Node        string
	Incarnation string
	Successor   string
	Requests    map[string]Status
	Sessions    map[string]uint64
}

// LegacyTaken answers it.
type HandoverAck struct{}

// Timing holds the machine's bounds.
type Timing struct {
	Retention  time.Duration
	MaxRecords int
}

// DefaultTiming gives the project's bounds.
func DefaultTiming() Timing { return Timing{Retention: 3 * time.Minute, MaxRecords: 100000} }

type requestRecord struct {
	Status
	updatedAt time.Duration
	waiters   []any
}

type sessionRecord struct {
	highestPruned uint64
	closedAt      time.Duration
	closed        bool
}

type predecessorRecord struct {
	successor string
	records   map[string]*requestRecord
	sessions  map[string]*sessionRecord
}

// Machine is one node's record.
type Machine struct {
	self             string
	incarnation      string
	timing           Timing
	records          map[string]*requestRecord
	recordOrder      []string
	sessions         map[string]*sessionRecord
	predecessors     map[string]*predecessorRecord
	predecessorOrder []string
	lastSweep        time.Duration
}

// New makes the record of a node that starts.
func New(self, incarnation string, timing Timing) *Machine {
	return &Machine{
		self: self, incarnation: incarnation, timing: timing, records: map[string]*requestRecord{}, sessions: map[string]*sessionRecord{},
		predecessors: map[string]*predecessorRecord{},
	}
}

// Session makes the id of a session by its number.
func (m *Machine) SessionID(number uint64) string {
	return fmt.Sprintf("%s~%s~%d", m.self, m.incarnation, number)
}

// Open notes a session.
func (m *Machine) OpenSession(sessionID string) { m.sessions[sessionID] = &sessionRecord{} }

// Close notes that a session is closed; its goes are kept for a while.
func (m *Machine) CloseSession(sessionID string, now time.Duration) {
	if session, found := m.sessions[sessionID]; found {
		session.closed, session.closedAt = true, now
	}
}

// Sweep forgets sessions long closed.
func (m *Machine) ExpireSessions(now time.Duration) {
	if now-m.lastSweep < time.Second {
		return
	}
	m.lastSweep = now
	for id, session := range m.sessions {
		if session.closed && now-session.closedAt > m.timing.Retention {
			delete(m.sessions, id)
		}
	}
}

func parseRequestID(id string) (sessionID string, count uint64, valid bool) {
	at := strings.LastIndexByte(id, '.')
	if at <= 0 {
		return "", 0, false
	}
	count, err := strconv.ParseUint(id[at+1:], 10, 64)
	return id[:at], count, err == nil
}

func parseSessionID(sessionID string) (node, incarnation string) {
	parts := strings.Split(sessionID, "~")
	if len(parts) != 3 {
		return "", ""
	}
	return parts[0], parts[1]
}

func isUnseen(scopes map[string]*sessionRecord, id string) bool {
	sessionID, count, _ := parseRequestID(id)
	session, found := scopes[sessionID]
	return found && count > session.highestPruned
}

func (m *Machine) insert(id, state, to string, now time.Duration) {
	m.records[id] = &requestRecord{Status: Status{State: state, Owner: to}, updatedAt: now}
	m.recordOrder = append(m.recordOrder, id)
	for len(m.recordOrder) > m.timing.MaxRecords || (len(m.recordOrder) > 0 && m.isExpired(m.recordOrder[0], now)) {
		oldest := m.recordOrder[0]
		m.recordOrder = m.recordOrder[1:]
		delete(m.records, oldest)
		sessionID, count, _ := parseRequestID(oldest)
		if session, found := m.sessions[sessionID]; found {
			session.highestPruned = max(session.highestPruned, count)
		}
	}
}

func (m *Machine) isExpired(id string, now time.Duration) bool {
	record, found := m.records[id]
	return !found || (record.State != StateInFlight && now-record.updatedAt > m.timing.Retention)
}

// Kinds of decision.
const (
	// Run: it was never made, and is on record as out now.
	Execute = "run"
	// Wait: its first is out here; the token was joined to it.
	Wait = "wait"
	// Tell: it has ended, as Answer says.
	Reply = "tell"
	// Seek: the node Target must be asked.
	Lookup = "seek"
	// Bad: the id has not the right shape.
	Invalid = "bad"
)

// Decision says what is to be done with a go that was brought here.
type Decision struct {
	Kind   string
	Node   string
	Status Status
}

var unknownDecision = Decision{Kind: Reply, Status: Status{State: StateUnknown}}

// Decide takes a go. The token is joined to its first where that is out.
func (m *Machine) Decide(id string, token any, now time.Duration) Decision {
	sessionID, _, valid := parseRequestID(id)
	if !valid {
		return Decision{Kind: Invalid}
	}
	if record, found := m.records[id]; found {
		return m.join(record, token)
	}
	owner, incarnation := parseSessionID(sessionID)
	if owner == m.self && incarnation == m.incarnation {
		if !isUnseen(m.sessions, id) {
			return unknownDecision
		}
		m.insert(id, StateInFlight, "", now)
		return Decision{Kind: Execute}
	}
	if predecessor, found := m.predecessors[owner+"~"+incarnation]; found {
		return Decision{Kind: Lookup, Node: predecessor.successor}
	}
	if owner == m.self || owner == "" {
		return unknownDecision
	}
	return Decision{Kind: Lookup, Node: owner}
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

// BirthOf gives the birth of the node that gave out a go's session.
func IncarnationOf(id string) string {
	sessionID, _, _ := parseRequestID(id)
	_, incarnation := parseSessionID(sessionID)
	return incarnation
}

// IsFirst says whether a go was surely never made before: only then may a
// node that does not pass it on say that nothing was kept.
func (m *Machine) IsUnseen(id string) bool {
	sessionID, _, valid := parseRequestID(id)
	owner, incarnation := parseSessionID(sessionID)
	_, found := m.records[id]
	return valid && !found && owner == m.self && incarnation == m.incarnation && isUnseen(m.sessions, id)
}

// Has says whether a go is on record.
func (m *Machine) Contains(id string) bool {
	_, found := m.records[id]
	return found
}

// Heard goes on with what the node that was asked told.
func (m *Machine) DecideFromPeer(id string, token any, status Status, now time.Duration) Decision {
	owned := status.State == StateUnseen || (status.State == StateTransferred && status.Owner == m.self)
	if owned {
		if record, found := m.records[id]; found && record.State != StateTransferred {
			return m.join(record, token)
		}
		m.insert(id, StateInFlight, "", now)
		return Decision{Kind: Execute}
	}
	if status.State == StateTransferred {
		return Decision{Kind: Lookup, Node: status.Owner}
	}
	return Decision{Kind: Reply, Status: status}
}

// OnAsk answers another node that was brought a go. Where the go surely
// never came, it is given up to the asker for good.
func (m *Machine) HandleStatusRequest(request StatusRequest, now time.Duration) Status {
	if record, found := m.records[request.RequestID]; found {
		return record.Status
	}
	sessionID, _, _ := parseRequestID(request.RequestID)
	owner, incarnation := parseSessionID(sessionID)
	if owner == m.self && incarnation == m.incarnation {
		if !isUnseen(m.sessions, request.RequestID) {
			return Status{State: StateUnknown}
		}
		m.insert(request.RequestID, StateTransferred, request.Requester, now)
		return Status{State: StateUnseen}
	}
	predecessor, found := m.predecessors[owner+"~"+incarnation]
	if !found || predecessor.successor != m.self {
		return Status{State: StateUnknown}
	}
	if record, found := predecessor.records[request.RequestID]; found {
		return record.Status
	}
	if !isUnseen(predecessor.sessions, request.RequestID) {
		return Status{State: StateUnknown}
	}
	predecessor.records[request.RequestID] = &requestRecord{Status: Status{State: StateTransferred, Owner: request.Requester}, updatedAt: now}
	return Status{State: StateUnseen}
}

// Settle notes what became of a go and gives the tokens that joined it. A
// standing shown by proof is never changed; unknown may still be settled.
func (m *Machine) Complete(id, state string, rows []byte, position model.Position, now time.Duration) ([]any, Status) {
	record, found := m.records[id]
	if !found || record.State == StateCommitted || record.State == StateNotCommitted {
		return nil, Status{}
	}
	record.Status, record.updatedAt = Status{State: state, Rows: rows, Position: position}, now
	waiters := record.waiters
	record.waiters = nil
	return waiters, record.Status
}

// Leave gives the record for an heir. What is still out is unknown.
func (m *Machine) Export(heir string) Handover {
	handover := Handover{Node: m.self, Incarnation: m.incarnation, Successor: heir, Requests: map[string]Status{}, Sessions: map[string]uint64{}}
	for id, record := range m.records {
		status := record.Status
		if status.State == StateInFlight {
			status.State = StateUnknown
		}
		handover.Requests[id] = status
	}
	for sessionID, session := range m.sessions {
		handover.Sessions[sessionID] = session.highestPruned
	}
	return handover
}

// Inherit takes another node's record, or word of who has it.
func (m *Machine) Import(handover Handover, now time.Duration) {
	predecessor := &predecessorRecord{successor: handover.Successor, records: map[string]*requestRecord{}, sessions: map[string]*sessionRecord{}}
	for id, status := range handover.Requests {
		predecessor.records[id] = &requestRecord{Status: status, updatedAt: now}
	}
	for sessionID, highestPruned := range handover.Sessions {
		predecessor.sessions[sessionID] = &sessionRecord{highestPruned: highestPruned}
	}
	key := handover.Node + "~" + handover.Incarnation
	m.predecessors[key] = predecessor
	m.predecessorOrder = append(m.predecessorOrder, key)
	if len(m.predecessorOrder) > 64 {
		delete(m.predecessors, m.predecessorOrder[0])
		m.predecessorOrder = m.predecessorOrder[1:]
	}
}
