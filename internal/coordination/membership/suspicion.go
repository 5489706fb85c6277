package membership

import (
	"time"

	"tansyseam/internal/state/model"
)

// Suspicion is the report of a watcher that a node has been silent since a
// heartbeat. Newer heartbeats of the node refute it.
type Suspicion struct {
	Node     string
	Reporter string
	// Heartbeat and Incarnation are the node's, as last received by the watcher.
	Heartbeat   uint64
	Incarnation int64
}

// isRefutedBy reports whether a node's heartbeat refutes the suspicion. The heartbeat
// that directly follows the one in the suspicion does not, since it may already have
// been in transit when the node was suspected.
func (s Suspicion) isRefutedBy(node model.Node) bool { return node.Heartbeat > s.Heartbeat+1 }

// updateSuspicions adds suspicions of the watched nodes that are silent, and deletes
// suspicions that are refuted or have expired.
func (m *Machine) updateSuspicions(now time.Duration) {
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
		other, found := m.peers[suspicion.Node]
		refuted := !found || suspicion.isRefutedBy(other.node) || other.node.Incarnation > suspicion.Incarnation
		if refuted || now-since > suspicionLifetime*m.timing.SuspicionTimeout {
			delete(m.suspicions, suspicion)
		}
	}
}

// onSuspicion handles a suspicion from a message. If this node itself is suspected,
// its complete entry is gossiped. If a peer's entry refutes the suspicion, that entry
// is gossiped. Otherwise the suspicion is recorded. Suspicions of unknown nodes and of
// other incarnations are ignored.
func (m *Machine) onSuspicion(suspicion Suspicion, now time.Duration) {
	if suspicion.Node == m.self.Name {
		m.selfGossipUntil = now + m.timing.GossipPeriod
		return
	}
	other, found := m.peers[suspicion.Node]
	if !found || other.node.Incarnation != suspicion.Incarnation {
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

// refuteSuspicions attaches a peer's new entry to all messages if the entry refutes a
// suspicion.
func (m *Machine) refuteSuspicions(other *peer, node model.Node, now time.Duration) {
	for suspicion := range m.suspicions {
		if suspicion.Node == node.Name && suspicion.isRefutedBy(node) {
			m.scheduleRefutation(other, now+m.timing.GossipPeriod)
		}
	}
}

// declareDead marks silent nodes as dead if enough watchers suspect them, and removes
// nodes that have been dead for longer than DeadRetention.
func (m *Machine) declareDead(now time.Duration) {
	watchers := min(WatchersPerNode, m.countAllLive()-1)
	quorum := min(suspicionQuorum, max(watchers, 1))
	for name, other := range m.peers {
		if other.status == StatusDead && now-other.statusSince > m.timing.DeadRetention {
			m.removePeer(name)
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
