package membership

import (
	"slices"
	"strings"
	"time"

	"tansyseam/internal/coordination/rendezvous"
	"tansyseam/internal/state/model"
)

// Machine is the membership state of one node. It is not safe for concurrent use.
type Machine struct {
	self model.Node
	// seeds are RPC addresses. This node's own address may be one of them.
	seeds  []string
	timing Timing
	// peers holds the other nodes by name, including those that are dead or have left.
	peers map[string]*peer
	// suspicions holds the suspicions from all watchers. The value is the time when the
	// suspicion was first received or, if it is this node's own, last confirmed.
	suspicions map[Suspicion]time.Duration
	// lastHeartbeat is when this node last sent heartbeats.
	lastHeartbeat time.Duration
	// lastSeedContact is when a seed was last contacted in turn. Before the first such
	// contact, it is the time from which the seed interval is counted. seedContacts is 0
	// until the first contact is scheduled, which sets it to 1. Each contact then adds 1.
	lastSeedContact time.Duration
	seedContacts    int
	// selfGossipUntil is the time until which this node's complete entry is included in
	// all its messages. gossipUntil is the latest time until which any peer's entry is
	// attached to messages.
	selfGossipUntil time.Duration
	gossipUntil     time.Duration
	digests         digestCache

	// watched and liveByKind are caches. A change of any node's status invalidates them.
	watched         []string
	watchedValid    bool
	liveByKind      map[string]int
	liveByKindValid bool

	effects []Effect
}

// New returns the machine of a node. The seeds are RPC addresses.
func New(self model.Node, seeds []string, timing Timing) *Machine {
	return &Machine{
		self:          self,
		seeds:         seeds,
		timing:        timing,
		peers:         map[string]*peer{},
		suspicions:    map[Suspicion]time.Duration{},
		lastHeartbeat: -timing.HeartbeatInterval,
		digests:       digestCache{stale: true},
	}
}

// Step handles an event and returns its effects, which the caller must carry out in
// order.
func (m *Machine) Step(event Event, now time.Duration) []Effect {
	m.effects = nil
	event.apply(m, now)
	return m.effects
}

// Self returns this node's own entry.
func (m *Machine) Self() model.Node { return m.self }

// Leave marks this node as shutting down. Later messages announce this to the other
// nodes.
func (m *Machine) Leave() {
	m.self.Left = true
	m.digests.stale = true
}

// Reconfigure replaces the seeds and this node's weight.
func (m *Machine) Reconfigure(seeds []string, weight float64) {
	m.seeds = seeds
	m.self.Weight = weight
	m.digests.stale = true
}

// Nodes returns the known nodes with one of the statuses, sorted by name. This
// node counts as live.
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
	sortByName(nodes)
	return nodes
}

func sortByName(nodes []model.Node) {
	slices.SortFunc(nodes, func(a, b model.Node) int { return strings.Compare(a.Name, b.Name) })
}

// CountLive returns the number of live nodes of a kind, this one included.
func (m *Machine) CountLive(kind string) int {
	if m.liveByKindValid {
		return m.liveByKind[kind]
	}
	m.liveByKind, m.liveByKindValid = map[string]int{m.self.Kind: 1}, true
	for _, other := range m.peers {
		if other.status == StatusLive {
			m.liveByKind[other.node.Kind]++
		}
	}
	return m.liveByKind[kind]
}

// countAllLive returns the number of live nodes, this one included.
func (m *Machine) countAllLive() int {
	count := 1
	for _, other := range m.peers {
		if other.status == StatusLive {
			count++
		}
	}
	return count
}

// Status returns the status of a node, or "" if the node is not known.
func (m *Machine) Status(name string) string {
	if name == m.self.Name {
		return StatusLive
	}
	if other, found := m.peers[name]; found {
		return other.status
	}
	return ""
}

// SinceHeartbeat returns the time since a new heartbeat of a node was last received,
// or 0 if the node is not known.
func (m *Machine) SinceHeartbeat(name string, now time.Duration) time.Duration {
	if other, found := m.peers[name]; found {
		return now - other.lastHeartbeat
	}
	return 0
}

// Watched returns the names of the nodes that this node watches, sorted. The
// caller must not change the slice.
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

// Peers returns the live nodes of this node's kind that it watches. If it watches
// none of them, Peers returns all other live nodes of its kind.
func (m *Machine) Peers() []model.Node {
	var watched, live []model.Node
	for _, node := range m.Nodes(StatusLive) {
		if node.Name == m.self.Name || node.Kind != m.self.Kind {
			continue
		}
		live = append(live, node)
		if slices.Contains(m.Watched(), node.Name) {
			watched = append(watched, node)
		}
	}
	if len(watched) == 0 {
		return live
	}
	return watched
}

// liveNames returns the names of the live nodes, this one included, sorted.
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

// livePeerAt returns the live peer with an RPC address, or nil.
func (m *Machine) livePeerAt(address string) *peer {
	for _, other := range m.peers {
		if other.node.RPCAddress == address && other.status == StatusLive {
			return other
		}
	}
	return nil
}
