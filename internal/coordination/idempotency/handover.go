package idempotency

import "time"

// maxPredecessors bounds the nodes whose successor is remembered.
const maxPredecessors = 64

// Handover is what a node that shuts down leaves to its successor: its records,
// and for each of its sessions the highest number pruned. Without Requests and
// Sessions it only says who the successor is.
type Handover struct {
	Node        string
	Incarnation string
	Successor   string
	Requests    map[string]Status
	Sessions    map[string]uint64
}

// HandoverAck answers a Handover that was taken.
type HandoverAck struct{}

// predecessor is a node that has shut down. Only its successor has its records.
type predecessor struct {
	successor string
	records   map[string]*requestRecord
	sessions  map[string]*sessionRecord
}

// Export returns the records to be handed over to a successor. What is still in
// flight is unknown there.
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

// Import takes the records that another node hands over, or the name of the
// node that has them.
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

// statusFromPredecessor answers for a node that handed its records over to this
// one.
func (m *Machine) statusFromPredecessor(owner nodeID, request StatusRequest, now time.Duration) Status {
	left, found := m.predecessors[owner]
	if !found || left.successor != m.self.name {
		return Status{State: StateUnknown}
	}
	if record, found := left.records[request.RequestID]; found {
		return record.Status
	}
	if !isUnseen(left.sessions, request.RequestID) {
		return Status{State: StateUnknown}
	}
	transferred := Status{State: StateTransferred, Owner: request.Requester}
	left.records[request.RequestID] = &requestRecord{Status: transferred, updatedAt: now}
	return Status{State: StateUnseen}
}
