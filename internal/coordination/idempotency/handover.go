package idempotency

import "time"

// maxPredecessors is the maximum number of nodes whose successors are kept.
const maxPredecessors = 64

// Handover is the message with which a node that shuts down passes its records to its
// successor. Requests are the statuses by request id, and Sessions are the highest pruned
// request numbers by session id. Without Requests and Sessions, it only names the
// successor.
type Handover struct {
	Node        string
	Incarnation string
	Successor   string
	Requests    map[string]Status
	Sessions    map[string]uint64
}

// HandoverAck is the answer to a Handover that was imported.
type HandoverAck struct{}

// predecessor is a node that has shut down. The records and sessions are empty unless this
// node is its successor.
type predecessor struct {
	successor string
	records   map[string]*requestRecord
	sessions  map[string]*sessionRecord
}

// Export returns the records to be handed over to a successor. Requests that are still
// in flight are exported with an unknown status.
func (m *Machine) Export(successor string) Handover {
	handover := Handover{
		Node:        m.self.name,
		Incarnation: m.self.incarnation,
		Successor:   successor,
		Requests:    map[string]Status{},
		Sessions:    map[string]uint64{},
	}
	for requestID, record := range m.records {
		status := record.Status
		if status.State == StateInFlight {
			status.State = StateUnknown
		}
		handover.Requests[requestID] = status
	}
	for sessionID, session := range m.sessions {
		handover.Sessions[sessionID] = session.highestPruned
	}
	return handover
}

// Import stores the records that another node hands over to this node, or the name of
// the successor that has them.
func (m *Machine) Import(handover Handover, now time.Duration) {
	imported := &predecessor{
		successor: handover.Successor,
		records:   map[string]*requestRecord{},
		sessions:  map[string]*sessionRecord{},
	}
	for requestID, status := range handover.Requests {
		imported.records[requestID] = &requestRecord{Status: status, updatedAt: now}
	}
	for sessionID, highestPruned := range handover.Sessions {
		imported.sessions[sessionID] = &sessionRecord{highestPruned: highestPruned}
	}
	node := nodeID{name: handover.Node, incarnation: handover.Incarnation}
	m.predecessors[node] = imported
	m.predecessorOrder = append(m.predecessorOrder, node)
	if len(m.predecessorOrder) > maxPredecessors {
		delete(m.predecessors, m.predecessorOrder[0])
		m.predecessorOrder = m.predecessorOrder[1:]
	}
}

// statusFromPredecessor answers a status request in place of an owner that handed its
// records over to this node.
func (m *Machine) statusFromPredecessor(owner nodeID, request StatusRequest, now time.Duration) Status {
	previousOwner, found := m.predecessors[owner]
	if !found || previousOwner.successor != m.self.name {
		return Status{State: StateUnknown}
	}
	if record, found := previousOwner.records[request.RequestID]; found {
		return record.Status
	}
	if !isUnseen(previousOwner.sessions, request.RequestID) {
		return Status{State: StateUnknown}
	}
	transferred := Status{State: StateTransferred, Owner: request.Requester}
	previousOwner.records[request.RequestID] = &requestRecord{Status: transferred, updatedAt: now}
	return Status{State: StateUnseen}
}
