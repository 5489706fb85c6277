// Package membership is the machine by which nodes find each other from three
// seeds, tell each other what they know, and hold one another dead only on
// the word of more than one watcher. Beats go between a node and its few
// watchers and carry what has lately changed; the rest is compared by digests
// over ranges and mended from the newer. A watcher asks for the beats of those
// that it watches, and is then sent them unasked for some time.
package membership

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"tansyseam/internal/coordination/rendezvous"
	"tansyseam/internal/state/model"
)

// Watchers is how many others watch each node.
const WatchersPerNode = 3

// Suspicion is one watcher's word that a node is silent since a beat.
type Suspicion struct {
	Node        string
	Reporter    string
	Heartbeat   uint64
	Incarnation int64
}

// Ranges is how many ranges of names digests are taken over.
const DigestRanges = 16

// Gossip is what nodes tell each other. From holds only name, birth and beat
// where the other knows the rest.
type Gossip struct {
	From       model.Node
	Nodes      []model.Node
	Suspicions []Suspicion
	Reply      bool
	// IsWatch says that the sender wants the other's beats.
	Subscribe bool
	// Digest is that of all the sender knows; Digests are those of the ranges,
	// given to one whose Digest is unlike, and Want names ranges to be filled.
	Digest       uint64
	RangeDigests []uint64
	WantRanges   []int
}

// Told is a Gossip with the address it came for.
type GossipReceived struct {
	Gossip Gossip
}

// Tick is a clock event.
type Tick struct{}

// Send is an effect: gossip for a link address.
type Send struct {
	Address string
	Gossip  Gossip
}

// Changed is an effect: a node's standing turned.
type StatusChanged struct {
	Node   model.Node
	Status string
	Reason string
}

// Standings of a node.
const (
	StatusLive = "live"
	StatusDead = "dead"
	StatusLeft = "left"
)

type peer struct {
	node          model.Node
	lastHeartbeat time.Duration
	lastContact   time.Duration
	status        string
	statusSince   time.Duration
	// fresh is until when it is told to others that know something else, and
	// doubted until when to all, since its beats refute a suspicion; compared
	// is when digests were last compared with it, digest the last that it gave,
	// and isKnown whether it knows this node whole.
	gossipUntil  time.Duration
	refuteUntil  time.Duration
	lastCompared time.Duration
	digest       uint64
	knowsSelf    bool
	// asked is when its beats were last asked for, wanted until when it wants
	// those of this node, and sent when it was last sent anything.
	lastRequested, subscribedUntil, lastSent time.Duration
}

// Timing holds the machine's bounds.
type Timing struct {
	HeartbeatInterval time.Duration
	SuspicionTimeout  time.Duration
	DeadRetention     time.Duration
	// Fresh is how long a change is told, Compare the pace at which digests
	// are compared with one other node.
	GossipPeriod, DigestInterval time.Duration
	// Renew is the pace at which a watcher asks for beats that it gets; they
	// are sent for twice as long. Roam is the pace of going to a seed though
	// all of them are known to live.
	SubscriptionInterval, SeedInterval time.Duration
}

// DefaultTiming gives the project's bounds.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 350 * time.Millisecond, SuspicionTimeout: 1500 * time.Millisecond, DeadRetention: 90 * time.Second,
		GossipPeriod: 1500 * time.Millisecond, DigestInterval: 500 * time.Millisecond,
		SubscriptionInterval: 2800 * time.Millisecond, SeedInterval: 22 * time.Second,
	}
}

// Machine is one node's knowledge of the others.
type Machine struct {
	self            model.Node
	seeds           []string
	timing          Timing
	peers           map[string]*peer
	suspicions      map[Suspicion]time.Duration
	lastHeartbeat   time.Duration
	lastSeedContact time.Duration
	seedContacts    int
	selfGossipUntil time.Duration
	gossipUntil     time.Duration
	rangeDigests    [DigestRanges]uint64
	digest          uint64
	digestsStale    bool
	watched         []string
	watchedValid    bool
	liveByKind      map[string]int
	liveByKindValid bool
	effects         []any
}

// New makes the machine of a node.
func New(self model.Node, seeds []string, timing Timing) *Machine {
	return &Machine{
		self: self, seeds: seeds, timing: timing, peers: map[string]*peer{},
		suspicions: map[Suspicion]time.Duration{}, lastHeartbeat: -timing.HeartbeatInterval, digestsStale: true,
	}
}

// Self gives the node's own entry.
func (m *Machine) Self() model.Node { return m.self }

// Leave marks this node as having said goodbye.
func (m *Machine) Leave() { m.self.Left, m.digestsStale = true, true }

// Nodes lists the known nodes of some standings, this node among the live.
func (m *Machine) Nodes(statuses ...string) []model.Node {
	var nodes []model.Node
	if slices.Contains(statuses, StatusLive) {
		nodes = append(nodes, m.self)
	}
	for _, other := range m.peers {
		if slices.Contains(statuses, other.status) {
			nodes = append(nodes, other.node)
		}
	}
	slices.SortFunc(nodes, func(a, b model.Node) int { return compareNames(a.Name, b.Name) })
	return nodes
}

func compareNames(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// Count counts the live nodes of a kind, this one among them.
func (m *Machine) CountLive(kind string) int {
	if !m.liveByKindValid {
		m.liveByKind, m.liveByKindValid = map[string]int{m.self.Kind: 1}, true
		for _, other := range m.peers {
			if other.status == StatusLive {
				m.liveByKind[other.node.Kind]++
			}
		}
	}
	return m.liveByKind[kind]
}

// Standing gives how a node is held.
func (m *Machine) Status(name string) string {
	if name == m.self.Name {
		return StatusLive
	}
	if other, known := m.peers[name]; known {
		return other.status
	}
	return ""
}

// Silence gives how long nothing was heard of a node.
func (m *Machine) SinceHeartbeat(name string, now time.Duration) time.Duration {
	if other, known := m.peers[name]; known {
		return now - other.lastHeartbeat
	}
	return 0
}

// Watched names the nodes that this node watches.
func (m *Machine) Watched() []string {
	if m.watchedValid {
		return m.watched
	}
	names := m.liveNames()
	m.watched, m.watchedValid = nil, true
	for _, name := range names {
		if name != m.self.Name && rendezvous.IsSelected(names, name, m.self.Name, WatchersPerNode) {
			m.watched = append(m.watched, name)
		}
	}
	return m.watched
}

// Fellows gives the live nodes of this one's kind that it watches, or, where
// it watches none, all that live.
func (m *Machine) Peers() []model.Node {
	isWatched := map[string]bool{}
	for _, name := range m.Watched() {
		isWatched[name] = true
	}
	var watched, live []model.Node
	for _, node := range m.Nodes(StatusLive) {
		if node.Name != m.self.Name && node.Kind == m.self.Kind {
			live = append(live, node)
			if isWatched[node.Name] {
				watched = append(watched, node)
			}
		}
	}
	if len(watched) == 0 {
		return live
	}
	return watched
}

func (m *Machine) liveNames() []string {
	names := []string{m.self.Name}
	for name, other := range m.peers {
		if other.status == StatusLive {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Step takes an event and gives effects.
func (m *Machine) Step(event any, now time.Duration) []any {
	m.effects = nil
	if told, included := event.(GossipReceived); included {
		m.onGossip(told.Gossip, now)
		return m.effects
	}
	m.onTick(now)
	return m.effects
}

func rangeOf(name string) int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(name))
	return int(sum.Sum32() % DigestRanges)
}

func digestOf(node model.Node) uint64 {
	sum := fnv.New64a()
	_, _ = fmt.Fprint(sum, node.Name, "|", node.Incarnation, "|", node.Left, "|", node.RPCAddress, "|", node.HTTPAddress, "|", node.Weight)
	return sum.Sum64()
}

func (m *Machine) refreshDigests() {
	if !m.digestsStale {
		return
	}
	m.digestsStale, m.rangeDigests, m.digest = false, [DigestRanges]uint64{}, 0
	m.rangeDigests[rangeOf(m.self.Name)] = digestOf(m.self)
	for _, other := range m.peers {
		if other.status != StatusDead {
			m.rangeDigests[rangeOf(other.node.Name)] ^= digestOf(other.node)
		}
	}
	for _, one := range m.rangeDigests {
		m.digest = m.digest*1099511628211 ^ one
	}
}

func heartbeatOnly(node model.Node) model.Node {
	return model.Node{Name: node.Name, Incarnation: node.Incarnation, Heartbeat: node.Heartbeat, Left: node.Left}
}

func (m *Machine) newGossip(to *peer, now time.Duration) Gossip {
	m.refreshDigests()
	gossip := Gossip{From: m.self, Digest: m.digest}
	if to != nil && to.knowsSelf && m.selfGossipUntil <= now {
		gossip.From = heartbeatOnly(m.self)
	}
	if m.gossipUntil > now {
		for _, other := range m.peers {
			pending := other.gossipUntil > now && (to == nil || to.digest != m.digest)
			if (pending || other.refuteUntil > now) && other != to {
				gossip.Nodes = append(gossip.Nodes, other.node)
			}
		}
	}
	for suspicion, at := range m.suspicions {
		if other, found := m.peers[suspicion.Node]; found && (other.status == StatusLive || now-at < m.timing.GossipPeriod) {
			gossip.Suspicions = append(gossip.Suspicions, suspicion)
		}
	}
	slices.SortFunc(gossip.Nodes, func(a, b model.Node) int { return compareNames(a.Name, b.Name) })
	slices.SortFunc(gossip.Suspicions, func(a, b Suspicion) int { return compareNames(a.Node+"|"+a.Reporter, b.Node+"|"+b.Reporter) })
	return gossip
}

func (m *Machine) onTick(now time.Duration) {
	if now-m.lastHeartbeat < m.timing.HeartbeatInterval*9/10 {
		return
	}
	m.lastHeartbeat = now
	m.self.Heartbeat++
	sent := map[string]bool{m.self.RPCAddress: true}
	send := func(address string, to *peer, subscribe, reply bool) {
		if address == "" || sent[address] {
			return
		}
		sent[address] = true
		gossip := m.newGossip(to, now)
		gossip.Subscribe, gossip.Reply = subscribe, reply
		if to != nil {
			to.lastSent = now
		}
		m.effects = append(m.effects, Send{Address: address, Gossip: gossip})
	}
	for _, name := range m.Watched() {
		if other := m.peers[name]; m.shouldRequestHeartbeat(other, now) {
			other.lastRequested = now
			send(other.node.RPCAddress, other, true, false)
		}
	}
	if lost := m.nextDead(); lost != nil {
		send(lost.node.RPCAddress, lost, false, false)
	}
	for _, seed := range m.seedsDue(now) {
		send(seed, m.liveAt(seed), false, false)
	}
	for _, other := range m.subscribers(now) {
		send(other.node.RPCAddress, other, false, true)
	}
	m.suspect(now)
	m.declareDead(now)
}

// isToAsk says whether the beats of a watched node are to be asked for: in
// their turn, where none came of late, and where there is something to tell.
func (m *Machine) shouldRequestHeartbeat(other *peer, now time.Duration) bool {
	m.refreshDigests()
	hasUpdates := m.selfGossipUntil > now || (m.gossipUntil > now && other.digest != m.digest) || len(m.suspicions) > 0
	return hasUpdates || !other.knowsSelf || now-other.lastContact >= 2*m.timing.HeartbeatInterval || now-other.lastRequested >= m.timing.SubscriptionInterval
}

func (m *Machine) subscribers(now time.Duration) []*peer {
	var list []*peer
	for _, other := range m.peers {
		if other.subscribedUntil > now && other.status == StatusLive && now-other.lastSent >= m.timing.HeartbeatInterval*9/10 {
			list = append(list, other)
		}
	}
	slices.SortFunc(list, func(a, b *peer) int { return compareNames(a.node.Name, b.node.Name) })
	return list
}

// seedsDue gives the seeds to go to: all while few nodes are known or a seed is
// not known to live, one in its turn seldom.
func (m *Machine) seedsDue(now time.Duration) []string {
	seedMissing := slices.ContainsFunc(m.seeds, func(seed string) bool { return seed != m.self.RPCAddress && m.liveAt(seed) == nil })
	if m.liveCount() < 4 || (seedMissing && m.self.Heartbeat%8 == 0) {
		return m.seeds
	}
	if m.seedContacts == 0 {
		m.lastSeedContact, m.seedContacts = now-time.Duration(digestOf(m.self)%uint64(m.timing.SeedInterval)), 1
	}
	if len(m.seeds) == 0 || now < m.lastSeedContact+m.timing.SeedInterval {
		return nil
	}
	m.lastSeedContact = now
	m.seedContacts++
	return m.seeds[m.seedContacts%len(m.seeds):][:1]
}

// liveCount counts the nodes held live, this one among them.
func (m *Machine) liveCount() int {
	count := 1
	for _, other := range m.peers {
		if other.status == StatusLive {
			count++
		}
	}
	return count
}

func (m *Machine) scheduleGossip(other *peer, until time.Duration) {
	other.gossipUntil = max(other.gossipUntil, until)
	m.gossipUntil = max(m.gossipUntil, until)
}

func (m *Machine) scheduleRefutation(other *peer, until time.Duration) {
	other.refuteUntil = max(other.refuteUntil, until)
	m.gossipUntil = max(m.gossipUntil, until)
}

// lost gives one of the nodes held dead, each in its turn: after a cut that
// fell between halves, somebody must try the other.
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

func (m *Machine) liveAt(link string) *peer {
	for _, other := range m.peers {
		if other.node.RPCAddress == link && other.status == StatusLive {
			return other
		}
	}
	return nil
}

func (m *Machine) suspect(now time.Duration) {
	for _, name := range m.Watched() {
		other := m.peers[name]
		if now-max(other.lastContact, other.lastHeartbeat) > m.timing.SuspicionTimeout {
			m.suspicions[Suspicion{Node: name, Reporter: m.self.Name, Heartbeat: other.node.Heartbeat, Incarnation: other.node.Incarnation}] = now
		}
	}
	for suspicion, at := range m.suspicions {
		other, known := m.peers[suspicion.Node]
		stale := !known || other.node.Heartbeat > suspicion.Heartbeat+1 || other.node.Incarnation > suspicion.Incarnation
		if stale || now-at > 10*m.timing.SuspicionTimeout {
			delete(m.suspicions, suspicion)
		}
	}
}

func (m *Machine) declareDead(now time.Duration) {
	count := m.liveCount()
	for name, other := range m.peers {
		if other.status == StatusDead && now-other.statusSince > m.timing.DeadRetention {
			delete(m.peers, name)
			m.digestsStale = true
			continue
		}
		if other.status != StatusLive || now-other.lastHeartbeat <= m.timing.SuspicionTimeout {
			continue
		}
		by := map[string]bool{}
		for suspicion := range m.suspicions {
			if suspicion.Node == name && suspicion.Incarnation == other.node.Incarnation {
				by[suspicion.Reporter] = true
			}
		}
		need := min(2, max(min(WatchersPerNode, count-1), 1))
		if len(by) >= need {
			m.setStatus(other, StatusDead, "silent to more than one watcher", now)
		}
	}
}

func (m *Machine) setStatus(other *peer, status, reason string, now time.Duration) {
	if other.status == status {
		return
	}
	other.status, other.statusSince = status, now
	m.watchedValid, m.liveByKindValid = false, false
	m.digestsStale = true
	m.scheduleGossip(other, now+m.timing.GossipPeriod)
	m.effects = append(m.effects, StatusChanged{Node: other.node, Status: status, Reason: reason})
}

func (m *Machine) onGossip(gossip Gossip, now time.Duration) {
	m.observe(gossip.From, now, true)
	for _, node := range gossip.Nodes {
		m.observe(node, now, false)
	}
	for _, suspicion := range gossip.Suspicions {
		m.onSuspicion(suspicion, now)
	}
	if gossip.From.Name == m.self.Name {
		return
	}
	from := m.peers[gossip.From.Name]
	if from != nil {
		from.digest = gossip.Digest
	}
	reply := m.newGossip(from, now)
	reply.Reply = true
	digestExchange := len(gossip.RangeDigests) > 0 || len(gossip.WantRanges) > 0
	if digestExchange {
		m.repair(&reply, gossip)
	}
	differs := gossip.Digest != reply.Digest
	due := from == nil || now-from.lastCompared >= m.timing.DigestInterval
	if differs && due && !digestExchange {
		reply.RangeDigests, reply.From = slices.Clone(m.rangeDigests[:]), m.self
		if from != nil {
			from.lastCompared = now
		}
	}
	if from != nil {
		from.knowsSelf = !differs
	}
	if from != nil && gossip.Subscribe {
		from.subscribedUntil = now + 2*m.timing.SubscriptionInterval
	}
	if !gossip.Reply || len(reply.RangeDigests) > 0 || (digestExchange && (len(reply.Nodes) > 0 || len(reply.WantRanges) > 0)) {
		link := gossip.From.RPCAddress
		if from != nil {
			link, from.lastSent = from.node.RPCAddress, now
		}
		if link != "" {
			m.effects = append(m.effects, Send{Address: link, Gossip: reply})
		}
	}
}

// mend fills the ranges that are unlike, and asks for those of the other.
func (m *Machine) repair(reply *Gossip, gossip Gossip) {
	reply.From = m.self
	wanted := slices.Clone(gossip.WantRanges)
	for rank, digest := range gossip.RangeDigests {
		if rank < DigestRanges && digest != m.rangeDigests[rank] {
			wanted = append(wanted, rank)
			reply.WantRanges = append(reply.WantRanges, rank)
		}
	}
	for _, other := range m.peers {
		included := slices.ContainsFunc(reply.Nodes, func(node model.Node) bool { return node.Name == other.node.Name })
		if other.status != StatusDead && !included && slices.Contains(wanted, rangeOf(other.node.Name)) {
			reply.Nodes = append(reply.Nodes, other.node)
		}
	}
	slices.SortFunc(reply.Nodes, func(a, b model.Node) int { return compareNames(a.Name, b.Name) })
}

func (m *Machine) onSuspicion(suspicion Suspicion, now time.Duration) {
	if suspicion.Node == m.self.Name {
		m.selfGossipUntil = now + m.timing.GossipPeriod
		return
	}
	other, known := m.peers[suspicion.Node]
	if !known || other.node.Incarnation != suspicion.Incarnation {
		return
	}
	if other.node.Heartbeat > suspicion.Heartbeat+1 {
		m.scheduleRefutation(other, now+m.timing.GossipPeriod)
		return
	}
	if _, found := m.suspicions[suspicion]; !found {
		m.suspicions[suspicion] = now
	}
}

func (m *Machine) observe(node model.Node, now time.Duration, direct bool) {
	if node.Name == m.self.Name || node.Name == "" {
		return
	}
	other, known := m.peers[node.Name]
	isBrief := node.RPCAddress == ""
	if !known {
		if node.Left || isBrief {
			return
		}
		other = &peer{node: node, lastHeartbeat: now}
		m.peers[node.Name] = other
		m.setStatus(other, StatusLive, "met", now)
	}
	restarted := node.Incarnation > other.node.Incarnation
	if isBrief && restarted {
		return
	}
	newer := restarted || (node.Incarnation == other.node.Incarnation && node.Heartbeat > other.node.Heartbeat)
	if newer {
		m.updatePeer(other, node, restarted, now)
	}
	if direct {
		other.lastContact = now
	}
}

func (m *Machine) updatePeer(other *peer, node model.Node, restarted bool, now time.Duration) {
	wasGone := other.status != StatusLive
	isBrief := node.RPCAddress == ""
	if isBrief {
		beat, isLeft := node.Heartbeat, node.Left
		node = other.node
		node.Heartbeat, node.Left = beat, isLeft
	}
	changed := restarted || digestOf(node) != digestOf(other.node)
	for suspicion := range m.suspicions {
		if suspicion.Node == node.Name && node.Heartbeat > suspicion.Heartbeat+1 {
			m.scheduleRefutation(other, now+m.timing.GossipPeriod)
		}
	}
	if restarted {
		other.knowsSelf = false
	}
	other.node, other.lastHeartbeat = node, now
	if changed {
		m.digestsStale = true
		m.scheduleGossip(other, now+m.timing.GossipPeriod)
	}
	if node.Left {
		m.setStatus(other, StatusLeft, "said goodbye", now)
		return
	}
	if wasGone {
		m.setStatus(other, StatusLive, "heard again", now)
	}
}

// Reseed takes changed seeds and weight.
func (m *Machine) Reconfigure(seeds []string, weight float64) {
	m.seeds = seeds
	m.self.Weight, m.digestsStale = weight, true
}
