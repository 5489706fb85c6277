package consensus

import "time"

// refreshStatus asks the other nodes for newer records while the primary is silent. It
// also offers this node to the primary as a standby while the node is not a voter.
func (m *Machine) refreshStatus(now time.Duration) {
	hasLostPrimary := m.hasLostPrimary(now)
	isDue := m.isStatusRequestDue(now) && !m.holdsLease(now)
	if !isDue || (!hasLostPrimary && m.IsMember()) {
		return
	}
	m.contacts.statusRequestedAt = now
	if !m.IsMember() && !m.shutdown.requested {
		m.send(m.voterState.Decided.Primary, Join{
			Cluster: m.identity.Cluster, Epoch: m.voterState.Decided.Epoch, Incarnation: m.identity.Incarnation,
		})
	}
	if hasLostPrimary {
		m.requestStatusFromAll()
	}
}

func (m *Machine) requestStatusFromAll() {
	for _, name := range m.peers.names {
		if name != m.self {
			m.send(name, StatusRequest{})
		}
	}
}

func (m *Machine) onStatusRequest(from string, _ StatusRequest, _ time.Duration) {
	if m.isFormed() {
		m.send(from, Status{Cluster: m.identity.Cluster, Decided: m.voterState.Decided})
	}
}

func (m *Machine) onStatus(from string, status Status, now time.Duration) {
	m.abandonFormation(from, status)
	if m.identity != nil && m.identity.Cluster != status.Cluster {
		return
	}
	if m.isFormed() {
		m.adopt(status.Decided, now, reasonStatus)
		return
	}
	if m.identity == nil && m.processIncarnation != 0 {
		m.identity = &Identity{Cluster: status.Cluster, Self: m.self, Incarnation: m.diskIncarnation()}
		m.voterState.ReplicaIncomplete = m.requiredSpares() > 0
	}
	if m.identity != nil {
		m.enterCluster(status.Decided, now, reasonStatus)
	}
}
