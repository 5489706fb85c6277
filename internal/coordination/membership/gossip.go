package membership

import (
	"slices"
	"strings"
	"time"

	"tansyseam/internal/state/model"
)

// Gossip is the message that nodes exchange. Each message is also a heartbeat of
// its sender.
type Gossip struct {
	// From is the sender's entry. If the sender assumes that the receiver has the
	// complete entry, only Name, Incarnation, Heartbeat and Left are set.
	From       model.Node
	Nodes      []model.Node
	Suspicions []Suspicion
	// Reply is true if the message needs no answer.
	Reply bool
	// Subscribe asks the receiver to send its heartbeats to the sender until the
	// subscription expires.
	Subscribe bool
	// Digest is the digest of all entries of the sender except those of dead nodes.
	Digest uint64
	// RangeDigests are the digests of the ranges, which are sent to a node whose
	// Digest differs. WantRanges holds the indexes of the ranges whose entries the
	// receiver is asked to send.
	RangeDigests []uint64
	WantRanges   []int
}

// newGossip returns the message for a peer. The peer is nil if this node has no
// entry for the receiver.
func (m *Machine) newGossip(to *peer, now time.Duration) Gossip {
	m.refreshDigests()
	gossip := Gossip{From: m.self, Digest: m.digests.total}
	if to != nil && to.hasSelfEntry && m.selfGossipUntil <= now {
		gossip.From = heartbeatOnly(m.self)
	}
	gossip.Nodes = m.recentChanges(to, now)
	gossip.Suspicions = m.sharedSuspicions(now)
	return gossip
}

// recentChanges returns the recently changed entries, and those that refute a
// suspicion, to attach to a message for a peer.
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

// sharedSuspicions returns the suspicions to attach to a message: suspicions of
// live nodes and, for the gossip period, of nodes that are no longer live.
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

// scheduleGossip attaches a peer's entry, until the given time, to messages for
// nodes whose digest differs from this node's.
func (m *Machine) scheduleGossip(other *peer, until time.Duration) {
	other.gossipUntil = max(other.gossipUntil, until)
	m.gossipUntil = max(m.gossipUntil, until)
}

// scheduleRefutation attaches a peer's entry to all messages until the given time.
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

// newReply returns the answer to a message. If the digests differ, the answer
// contains the next step of an exchange of entries. The sender is nil if this node
// has no entry for it.
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

// exchangesRanges reports whether a message is part of an exchange of entries.
func (g Gossip) exchangesRanges() bool { return len(g.RangeDigests) > 0 || len(g.WantRanges) > 0 }

// updateSender records whether a message's sender has this node's complete entry,
// and its subscription if the message contains one.
func (m *Machine) updateSender(sender *peer, gossip Gossip, now time.Duration) {
	// If the digests are equal, both nodes have the same entries, including this
	// node's own.
	sender.hasSelfEntry = gossip.Digest == m.digests.total
	if gossip.Subscribe {
		sender.subscribedUntil = now + subscriptionLifetime*m.timing.SubscriptionInterval
	}
}

// needsReply reports whether the sender expects an answer or the answer continues
// an exchange of entries. Other answers are not sent, since two nodes would
// otherwise answer each other's answers endlessly.
func needsReply(gossip, reply Gossip) bool {
	fillsRanges := gossip.exchangesRanges() && (len(reply.Nodes) > 0 || len(reply.WantRanges) > 0)
	return !gossip.Reply || len(reply.RangeDigests) > 0 || fillsRanges
}

// merge merges the entries and suspicions of a message into this node's.
func (m *Machine) merge(gossip Gossip, now time.Duration) {
	m.observe(gossip.From, now, true)
	for _, node := range gossip.Nodes {
		m.observe(node, now, false)
	}
	for _, suspicion := range gossip.Suspicions {
		m.onSuspicion(suspicion, now)
	}
}

// sendReply sends the answer to a message. It uses the address in this node's
// entry for the sender, or the address in the message if there is no such entry.
func (m *Machine) sendReply(from model.Node, sender *peer, reply Gossip, now time.Duration) {
	address := from.RPCAddress
	if sender != nil {
		address, sender.lastSent = sender.node.RPCAddress, now
	}
	if address != "" {
		m.effects = append(m.effects, Send{Address: address, Gossip: reply})
	}
}
