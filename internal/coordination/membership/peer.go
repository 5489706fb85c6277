package membership

import (
	"time"

	"tansyseam/internal/state/model"
)

// peer is what this node knows about another.
type peer struct {
	node model.Node
	// lastHeartbeat is when a new heartbeat of the node was learned, from
	// whomever; lastContact is when a message came from the node itself.
	lastHeartbeat time.Duration
	lastContact   time.Duration
	status        string
	statusSince   time.Duration
	// gossipUntil is until when the entry is attached to messages for nodes with
	// another digest; refuteUntil is until when it is attached to all messages,
	// because its heartbeat refutes a suspicion.
	gossipUntil time.Duration
	refuteUntil time.Duration
	// digest is the last that the node sent, and lastCompared is when range
	// digests were last compared with it.
	digest       uint64
	lastCompared time.Duration
	// knowsSelf says that the node has this node's complete entry.
	knowsSelf bool
	// lastRequested is when its heartbeats were last subscribed to,
	// subscribedUntil is until when it subscribes to those of this node, and
	// lastSent is when a message was last sent to it.
	lastRequested   time.Duration
	subscribedUntil time.Duration
	lastSent        time.Duration
}

// heartbeatOnly returns the part of an entry that changes with each heartbeat,
// for receivers that have the rest.
func heartbeatOnly(node model.Node) model.Node {
	return model.Node{Name: node.Name, Incarnation: node.Incarnation, Heartbeat: node.Heartbeat, Left: node.Left}
}

// isHeartbeatOnly says whether an entry was made by heartbeatOnly.
func isHeartbeatOnly(node model.Node) bool { return node.RPCAddress == "" }

// observe merges an entry from a message. The entry is direct if the message
// came from the node itself.
func (m *Machine) observe(node model.Node, now time.Duration, direct bool) {
	if node.Name == m.self.Name || node.Name == "" {
		return
	}
	other, known := m.peers[node.Name]
	if !known {
		if node.Left || isHeartbeatOnly(node) {
			return
		}
		other = &peer{node: node, lastHeartbeat: now}
		m.peers[node.Name] = other
		m.setStatus(other, StatusLive, reasonDiscovered, now)
	}
	restarted := node.Incarnation > other.node.Incarnation
	if isHeartbeatOnly(node) && restarted {
		return
	}
	if restarted || (node.Incarnation == other.node.Incarnation && node.Heartbeat > other.node.Heartbeat) {
		m.updatePeer(other, node, restarted, now)
	}
	if direct {
		other.lastContact = now
	}
}

// updatePeer replaces a peer's entry by a newer one.
func (m *Machine) updatePeer(other *peer, node model.Node, restarted bool, now time.Duration) {
	if isHeartbeatOnly(node) {
		heartbeat, left := node.Heartbeat, node.Left
		node = other.node
		node.Heartbeat, node.Left = heartbeat, left
	}
	m.refuteSuspicions(other, node, now)
	if restarted {
		other.knowsSelf = false
	}
	changed := restarted || digestOf(node) != digestOf(other.node)
	other.node, other.lastHeartbeat = node, now
	if changed {
		m.digests.stale = true
		m.scheduleGossip(other, now+m.timing.GossipPeriod)
	}
	if node.Left {
		m.setStatus(other, StatusLeft, reasonLeft, now)
		return
	}
	m.setStatus(other, StatusLive, reasonResumed, now)
}

func (m *Machine) setStatus(other *peer, status, reason string, now time.Duration) {
	if other.status == status {
		return
	}
	other.status, other.statusSince = status, now
	m.watchedValid, m.liveByKindValid = false, false
	m.digests.stale = true
	m.scheduleGossip(other, now+m.timing.GossipPeriod)
	m.effects = append(m.effects, StatusChanged{Node: other.node, Status: status, Reason: reason})
}

// forget removes a peer that has long been dead.
func (m *Machine) forget(name string) {
	delete(m.peers, name)
	m.digests.stale = true
}
