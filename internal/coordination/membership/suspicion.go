package membership

import (
	"time"

	"tansyseam/internal/state/model"
)

// Suspicion is the report of a watcher that a node has been silent since a
// heartbeat. Heartbeats of the node that are newer refute it.
type Suspicion struct {
	Node     string
	Reporter string
	// Heartbeat and Incarnation are the node's, as the watcher last knew them.
	Heartbeat   uint64
	Incarnation int64
}

// isRefutedBy says whether a node's heartbeat is newer than the suspicion. The
// next heartbeat after that of the suspicion may still have been under way.
func (s Suspicion) isRefutedBy(node model.Node) bool { return node.Heartbeat > s.Heartbeat+1 }

// suspect adds suspicions of the watched nodes that are silent, and drops those
// that are refuted or have expired.
func (m *Machine) suspect(now time.Duration) {
	for _, name := range m.Watched() {
		other := m.peers[name]
		if now-max(other.lastContact, other.lastHeartbeat) <= m.timing.SuspicionTimeout {
			continue
		}
		suspicion := Suspicion{
			Node: name, Reporter: m.self.Name, Heartbeat: other.node.Heartbeat, Incarnation: other.node.Incarnation,
		}
		m.suspicions[suspicion] = now
	}
	for suspicion, since := range m.suspicions {
		other, known := m.peers[suspicion.Node]
		refuted := !known || suspicion.isRefutedBy(other.node) || other.node.Incarnation > suspicion.Incarnation
		if refuted || now-since > suspicionLifetime*m.timing.SuspicionTimeout {
			delete(m.suspicions, suspicion)
		}
	}
}

// onSuspicion takes another watcher's suspicion.
func (m *Machine) onSuspicion(suspicion Suspicion, now time.Duration) {
	if suspicion.Node == m.self.Name {
		m.selfGossipUntil = now + m.timing.GossipPeriod
		return
	}
	other, known := m.peers[suspicion.Node]
	if !known || other.node.Incarnation != suspicion.Incarnation {
		return
	}
	if suspicion.isRefutedBy(other.node) {
		m.scheduleRefutation(other, now+m.timing.GossipPeriod)
		return
	}
	if _, found := m.suspicions[suspicion]; !found {
		m.suspicions[suspicion] = now
	}
}

// refuteSuspicions gossips a peer's new entry to all if it refutes a suspicion.
func (m *Machine) refuteSuspicions(other *peer, node model.Node, now time.Duration) {
	for suspicion := range m.suspicions {
		if suspicion.Node == node.Name && suspicion.isRefutedBy(node) {
			m.scheduleRefutation(other, now+m.timing.GossipPeriod)
		}
	}
}

// declareDead marks the nodes as dead that enough watchers suspect, and forgets
// those that have been dead for long.
func (m *Machine) declareDead(now time.Duration) {
	watchers := min(WatchersPerNode, m.countAllLive()-1)
	quorum := min(suspicionQuorum, max(watchers, 1))
	for name, other := range m.peers {
		if other.status == StatusDead && now-other.statusSince > m.timing.DeadRetention {
			m.forget(name)
			continue
		}
		silent := now-other.lastHeartbeat > m.timing.SuspicionTimeout
		if other.status == StatusLive && silent && m.countReporters(other.node) >= quorum {
			m.setStatus(other, StatusDead, reasonSilent, now)
		}
	}
}

// countReporters returns how many watchers suspect a node.
func (m *Machine) countReporters(node model.Node) int {
	reporters := map[string]bool{}
	for suspicion := range m.suspicions {
		if suspicion.Node == node.Name && suspicion.Incarnation == node.Incarnation {
			reporters[suspicion.Reporter] = true
		}
	}
	return len(reporters)
}
