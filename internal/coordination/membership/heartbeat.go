package membership

import (
	"slices"
	"strings"
	"time"
)

// heartbeatRound sends the messages of one heartbeat interval. It sends at most
// one message to each address.
type heartbeatRound struct {
	machine   *Machine
	now       time.Duration
	contacted map[string]bool
}

// messageFlags holds the flags of Gossip that are set in a heartbeat.
type messageFlags struct {
	subscribe bool
	reply     bool
}

// send sends a message to an address, unless a message was already sent there in
// this round. The peer is nil if no peer is known at the address.
func (r *heartbeatRound) send(address string, to *peer, flags messageFlags) {
	if address == "" || r.contacted[address] {
		return
	}
	r.contacted[address] = true
	gossip := r.machine.newGossip(to, r.now)
	gossip.Subscribe, gossip.Reply = flags.subscribe, flags.reply
	if to != nil {
		to.lastSent = r.now
	}
	r.machine.effects = append(r.machine.effects, Send{Address: address, Gossip: gossip})
}

func (m *Machine) onTick(now time.Duration) {
	if now-m.lastHeartbeat < m.timing.minHeartbeatInterval() {
		return
	}
	m.lastHeartbeat = now
	m.self.Heartbeat++
	m.sendHeartbeats(now)
	m.updateSuspicions(now)
	m.declareDead(now)
}

func (m *Machine) sendHeartbeats(now time.Duration) {
	round := heartbeatRound{machine: m, now: now, contacted: map[string]bool{m.self.RPCAddress: true}}
	for _, name := range m.Watched() {
		if other := m.peers[name]; m.shouldRequestHeartbeat(other, now) {
			other.lastRequested = now
			round.send(other.node.RPCAddress, other, messageFlags{subscribe: true})
		}
	}
	if dead := m.nextDead(); dead != nil {
		round.send(dead.node.RPCAddress, dead, messageFlags{})
	}
	for _, seed := range m.seedsDue(now) {
		round.send(seed, m.livePeerAt(seed), messageFlags{})
	}
	for _, other := range m.subscribers(now) {
		round.send(other.node.RPCAddress, other, messageFlags{reply: true})
	}
}

// shouldRequestHeartbeat reports whether a message to a watched node is due: the
// subscription needs renewal, heartbeats are missing, the node may lack this
// node's complete entry, or this node has updates to send.
func (m *Machine) shouldRequestHeartbeat(other *peer, now time.Duration) bool {
	m.refreshDigests()
	changed := m.gossipUntil > now && other.digest != m.digests.total
	hasUpdates := m.selfGossipUntil > now || changed || len(m.suspicions) > 0
	missing := now-other.lastContact >= missedHeartbeats*m.timing.HeartbeatInterval
	expiring := now-other.lastRequested >= m.timing.SubscriptionInterval
	return hasUpdates || !other.hasSelfEntry || missing || expiring
}

// subscribers returns the live nodes that subscribe to this node's heartbeats
// and are due one, sorted by name.
func (m *Machine) subscribers(now time.Duration) []*peer {
	var due []*peer
	for _, other := range m.peers {
		subscribed := other.subscribedUntil > now && other.status == StatusLive
		if subscribed && now-other.lastSent >= m.timing.minHeartbeatInterval() {
			due = append(due, other)
		}
	}
	slices.SortFunc(due, func(a, b *peer) int { return strings.Compare(a.node.Name, b.node.Name) })
	return due
}

// seedsDue returns the addresses of the seeds to contact. These are all seeds while
// fewer than minLiveNodes nodes are live, and once in missingSeedHeartbeats
// heartbeats while a seed is missing. Otherwise the seeds are contacted in turn, one
// at each seed interval.
func (m *Machine) seedsDue(now time.Duration) []string {
	missing := slices.ContainsFunc(m.seeds, func(seed string) bool {
		return seed != m.self.RPCAddress && m.livePeerAt(seed) == nil
	})
	if m.countAllLive() < minLiveNodes || (missing && m.self.Heartbeat%missingSeedHeartbeats == 0) {
		return m.seeds
	}
	if m.seedContacts == 0 {
		// The offset, derived from the node's digest, spreads the contacts of
		// different nodes over the interval.
		offset := time.Duration(digestOf(m.self) % uint64(m.timing.SeedInterval))
		m.lastSeedContact, m.seedContacts = now-offset, 1
	}
	if len(m.seeds) == 0 || now < m.lastSeedContact+m.timing.SeedInterval {
		return nil
	}
	m.lastSeedContact = now
	m.seedContacts++
	return m.seeds[m.seedContacts%len(m.seeds):][:1]
}

// nextDead returns one of the dead nodes, in turn, or nil if there is none. Dead
// nodes are contacted because, after a partition into two halves, one half has to
// contact the other.
func (m *Machine) nextDead() *peer {
	var names []string
	for name, other := range m.peers {
		if other.status == StatusDead {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	return m.peers[names[int(m.self.Heartbeat)%len(names)]]
}
