package node

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/state/model"
)

// nodeCacheLifetime is the maximum age of a cached result of FindNode.
const nodeCacheLifetime = 100 * time.Millisecond

func (n *Node) onGossip(_ string, gossip membership.Gossip, _ func(any)) {
	n.stepMembership(membership.GossipReceived{Gossip: gossip})
}

func (n *Node) stepMembership(event membership.Event) {
	n.mutex.Lock()
	effects := n.membership.Step(event, n.Now())
	n.mutex.Unlock()
	for _, effect := range effects {
		if send, ok := effect.(membership.Send); ok {
			n.Hub.Send(send.Address, send.Gossip)
			continue
		}
		if changed, ok := effect.(membership.StatusChanged); ok {
			n.Counters.Add("member_"+changed.Status, 1)
			n.Log.Info("node "+changed.Status, "node", changed.Node.Name, "kind", changed.Node.Kind, "reason", changed.Reason)
		}
	}
}

// Nodes returns the nodes of a kind with one of the membership statuses, sorted by
// name. An empty kind means all kinds.
func (n *Node) Nodes(kind string, statuses ...string) []model.Node {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.DeleteFunc(n.membership.Nodes(statuses...), func(node model.Node) bool {
		return kind != "" && node.Kind != kind
	})
}

// CountLive returns the number of live nodes of a kind, this one included.
func (n *Node) CountLive(kind string) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.membership.CountLive(kind)
}

// Status returns the membership status of a node, or "" for an unknown node, and
// the time since its last heartbeat.
func (n *Node) Status(name string) (string, time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.membership.Status(name), n.membership.SinceHeartbeat(name, n.Now())
}

// Peers returns the live nodes of this node's kind that this node watches. If it
// watches none of them, Peers returns all other live nodes of its kind.
func (n *Node) Peers() []model.Node {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.membership.Peers()
}

// FindNode returns a live or dead node by name. The result may be up to
// nodeCacheLifetime old.
func (n *Node) FindNode(name string) (model.Node, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	node, found := n.nodesByName[name]
	if found && n.Now()-n.nodesByNameAt <= nodeCacheLifetime {
		return node, true
	}
	n.nodesByName, n.nodesByNameAt = map[string]model.Node{}, n.Now()
	for _, member := range n.membership.Nodes(membership.StatusLive, membership.StatusDead) {
		n.nodesByName[member.Name] = member
	}
	node, found = n.nodesByName[name]
	return node, found
}

// Self returns this node's own entry.
func (n *Node) Self() model.Node {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.membership.Self()
}
