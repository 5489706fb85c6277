package membership

import (
	"slices"
	"strings"
	"time"

	"tansyseam/internal/state/model"
)

// Gossip is the message between nodes. Each is a heartbeat of its sender.
type Gossip struct {
	// From is the sender's entry. Only name, incarnation, heartbeat and Left are
	// set if the receiver is known to have the rest.
	From       model.Node
	Nodes      []model.Node
	Suspicions []Suspicion
	// Reply says that the message needs no answer.
	Reply bool
	// Subscribe asks the receiver to send its heartbeats for some time.
	Subscribe bool
	// Digest is the digest of all that the sender knows.
	Digest uint64
	// RangeDigests are those of the ranges, sent to a node whose Digest differs.
	// WantRanges asks for the receiver's entries of some ranges, by index.
	RangeDigests []uint64
	WantRanges   []int
}

// newGossip returns the message for a peer, which is nil if not known.
func (m *Machine) newGossip(to *peer, now time.Duration) Gossip {
	m.refreshDigests()
	gossip := Gossip{From: m.self, Digest: m.digests.total}
	if to != nil && to.knowsSelf && m.selfGossipUntil <= now {
		gossip.From = heartbeatOnly(m.self)
	}
	gossip.Nodes = m.recentChanges(to, now)
	gossip.Suspicions = m.sharedSuspicions(now)
	return gossip
}

// recentChanges returns the entries that a message for a peer carries.
func (m *Machine) recentChanges(to *peer, now time.Duration) []model.Node {
	if m.gossipUntil <= now {
		return nil
	}
	inSync := to != nil && to.digest == m.digests.total
	var nodes []model.Node
	for _, other := range m.peers {
		changed := other.gossipUntil > now && !inSync
		if (changed || other.refuteUntil > now) && other != to {
			nodes = append(nodes, other.node)
		}
	}
	sortByName(nodes)
	return nodes
}

// sharedSuspicions returns the suspicions that a message carries: those of live
// nodes, and for a short time those of nodes that are no longer live.
func (m *Machine) sharedSuspicions(now time.Duration) []Suspicion {
	var suspicions []Suspicion
	for suspicion, since := range m.suspicions {
		other, found := m.peers[suspicion.Node]
		if found && (other.status == StatusLive || now-since < m.timing.GossipPeriod) {
			suspicions = append(suspicions, suspicion)
		}
	}
	slices.SortFunc(suspicions, func(a, b Suspicion) int {
		return strings.Compare(a.Node+"|"+a.Reporter, b.Node+"|"+b.Reporter)
	})
	return suspicions
}

// scheduleGossip has a peer's entry attached to messages for nodes with another
// digest.
func (m *Machine) scheduleGossip(other *peer, until time.Duration) {
	other.gossipUntil = max(other.gossipUntil, until)
	m.gossipUntil = max(m.gossipUntil, until)
}

// scheduleRefutation has a peer's entry attached to all messages.
func (m *Machine) scheduleRefutation(other *peer, until time.Duration) {
	other.refuteUntil = max(other.refuteUntil, until)
	m.gossipUntil = max(m.gossipUntil, until)
}

func (m *Machine) onGossip(gossip Gossip, now time.Duration) {
	m.merge(gossip, now)
	if gossip.From.Name == m.self.Name {
		return
	}
	sender := m.peers[gossip.From.Name]
	if sender != nil {
		sender.digest = gossip.Digest
	}
	reply := m.newReply(gossip, sender, now)
	if sender != nil {
		m.updateSender(sender, gossip, now)
	}
	if needsReply(gossip, reply) {
		m.sendReply(gossip.From, sender, reply, now)
	}
}

// newReply returns the answer to a message, with the next step of an exchange of
// entries where the digests differ. The sender is nil if not known.
func (m *Machine) newReply(gossip Gossip, sender *peer, now time.Duration) Gossip {
	reply := m.newGossip(sender, now)
	reply.Reply = true
	if gossip.exchangesRanges() {
		m.fillRanges(&reply, gossip)
		return reply
	}
	if gossip.Digest != reply.Digest {
		m.offerDigests(&reply, sender, now)
	}
	return reply
}

// exchangesRanges says whether a message is part of an exchange of entries.
func (g Gossip) exchangesRanges() bool { return len(g.RangeDigests) > 0 || len(g.WantRanges) > 0 }

// updateSender notes what a message says about its sender's knowledge and wishes.
func (m *Machine) updateSender(sender *peer, gossip Gossip, now time.Duration) {
	// With equal digests both have the same entries, this node's own among them.
	sender.knowsSelf = gossip.Digest == m.digests.total
	if gossip.Subscribe {
		sender.subscribedUntil = now + subscriptionLifetime*m.timing.SubscriptionInterval
	}
}

// needsReply says whether an answer is expected, or brings an exchange of entries
// further. Else two nodes would answer each other's answers without end.
func needsReply(gossip, reply Gossip) bool {
	fillsRanges := gossip.exchangesRanges() && (len(reply.Nodes) > 0 || len(reply.WantRanges) > 0)
	return !gossip.Reply || len(reply.RangeDigests) > 0 || fillsRanges
}

// merge takes the entries and suspicions of a message.
func (m *Machine) merge(gossip Gossip, now time.Duration) {
	m.observe(gossip.From, now, true)
	for _, node := range gossip.Nodes {
		m.observe(node, now, false)
	}
	for _, suspicion := range gossip.Suspicions {
		m.onSuspicion(suspicion, now)
	}
}

// sendReply answers a message. The sender's address is that of its entry, or of
// the message if the sender is not known.
func (m *Machine) sendReply(from model.Node, sender *peer, reply Gossip, now time.Duration) {
	address := from.RPCAddress
	if sender != nil {
		address, sender.lastSent = sender.node.RPCAddress, now
	}
	if address != "" {
		m.effects = append(m.effects, Send{Address: address, Gossip: reply})
	}
}
