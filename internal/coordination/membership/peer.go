package membership

import (
	"time"

	"tansyseam/internal/state/model"
)

// peer is the state that this node holds about another node.
type peer struct {
	node model.Node
	// lastHeartbeat is when a new heartbeat of the node was last received, directly
	// or through another node. lastContact is when a message from the node itself was
	// last received.
	lastHeartbeat time.Duration
	lastContact   time.Duration
	status        string
	statusSince   time.Duration
	// gossipUntil is the time until which the entry is attached to messages for nodes
	// whose digest differs. refuteUntil is the time until which the entry is attached
	// to all messages, because its heartbeat refutes a suspicion.
	gossipUntil time.Duration
	refuteUntil time.Duration
	// digest is the last digest that the node sent. lastCompared is when range digests
	// were last sent to the node to start an exchange.
	digest       uint64
	lastCompared time.Duration
	// hasSelfEntry is true if the node's last digest shows that it has this node's
	// complete entry.
	hasSelfEntry bool
	// lastRequested is when this node last subscribed to the peer's heartbeats.
	// subscribedUntil is when the peer's subscription to this node's heartbeats ends.
	// lastSent is when a message was last sent to the peer.
	lastRequested   time.Duration
	subscribedUntil time.Duration
	lastSent        time.Duration
}

// heartbeatOnly returns the part of an entry that is sent to receivers that have
// the rest: the name, the incarnation, the heartbeat and whether the node has left.
func heartbeatOnly(node model.Node) model.Node {
	return model.Node{Name: node.Name, Incarnation: node.Incarnation, Heartbeat: node.Heartbeat, Left: node.Left}
}

// isHeartbeatOnly reports whether an entry was made by heartbeatOnly.
func isHeartbeatOnly(node model.Node) bool { return node.RPCAddress == "" }

// observe merges an entry from a message. The direct flag is true if the message
// came from the node itself.
func (m *Machine) observe(node model.Node, now time.Duration, direct bool) {
	if node.Name == m.self.Name || node.Name == "" {
		return
	}
	other, found := m.peers[node.Name]
	if !found {
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

// updatePeer replaces a peer's entry with a newer one.
func (m *Machine) updatePeer(other *peer, node model.Node, restarted bool, now time.Duration) {
	if isHeartbeatOnly(node) {
		heartbeat, left := node.Heartbeat, node.Left
		node = other.node
		node.Heartbeat, node.Left = heartbeat, left
	}
	m.refuteSuspicions(other, node, now)
	if restarted {
		other.hasSelfEntry = false
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

// removePeer removes a peer that has been dead for longer than DeadRetention.
func (m *Machine) removePeer(name string) {
	delete(m.peers, name)
	m.digests.stale = true
}
