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
const Watchers = 3

// Suspicion is one watcher's word that a node is silent since a beat.
type Suspicion struct {
	Node string
	By   string
	Beat uint64
	Born int64
}

// Ranges is how many ranges of names digests are taken over.
const Ranges = 16

// Gossip is what nodes tell each other. From holds only name, birth and beat
// where the other knows the rest.
type Gossip struct {
	From       model.Node
	Nodes      []model.Node
	Suspicions []Suspicion
	IsReply    bool
	// IsWatch says that the sender wants the other's beats.
	IsWatch bool
	// Digest is that of all the sender knows; Digests are those of the ranges,
	// given to one whose Digest is unlike, and Want names ranges to be filled.
	Digest  uint64
	Digests []uint64
	Want    []int
}

// Told is a Gossip with the address it came for.
type Told struct {
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
type Changed struct {
	Node model.Node
	Is   string
	Why  string
}

// Standings of a node.
const (
	IsLive = "live"
	IsDead = "dead"
	IsLeft = "left"
)

type peer struct {
	node     model.Node
	heard    time.Duration
	direct   time.Duration
	standing string
	turned   time.Duration
	// fresh is until when it is told to others that know something else, and
	// doubted until when to all, since its beats refute a suspicion; compared
	// is when digests were last compared with it, digest the last that it gave,
	// and isKnown whether it knows this node whole.
	fresh    time.Duration
	doubted  time.Duration
	compared time.Duration
	digest   uint64
	isKnown  bool
	// asked is when its beats were last asked for, wanted until when it wants
	// those of this node, and sent when it was last sent anything.
	asked, wanted, sent time.Duration
}

// Timing holds the machine's bounds.
type Timing struct {
	Beat    time.Duration
	Silence time.Duration
	Forget  time.Duration
	// Fresh is how long a change is told, Compare the pace at which digests
	// are compared with one other node.
	Fresh, Compare time.Duration
	// Renew is the pace at which a watcher asks for beats that it gets; they
	// are sent for twice as long. Roam is the pace of going to a seed though
	// all of them are known to live.
	Renew, Roam time.Duration
}

// DefaultTiming gives the project's bounds.
func DefaultTiming() Timing {
	return Timing{
		Beat: 350 * time.Millisecond, Silence: 1500 * time.Millisecond, Forget: 90 * time.Second,
		Fresh: 1500 * time.Millisecond, Compare: 500 * time.Millisecond,
		Renew: 2800 * time.Millisecond, Roam: 22 * time.Second,
	}
}

// Machine is one node's knowledge of the others.
type Machine struct {
	self       model.Node
	seeds      []string
	timing     Timing
	peers      map[string]*peer
	suspicions map[Suspicion]time.Duration
	beaten     time.Duration
	roamed     time.Duration
	roams      int
	fresh      time.Duration
	freshest   time.Duration
	ranges     [Ranges]uint64
	digest     uint64
	isTurned   bool
	watched    []string
	isWatching bool
	counts     map[string]int
	isCounted  bool
	effects    []any
}

// New makes the machine of a node.
func New(self model.Node, seeds []string, timing Timing) *Machine {
	return &Machine{
		self: self, seeds: seeds, timing: timing, peers: map[string]*peer{},
		suspicions: map[Suspicion]time.Duration{}, beaten: -timing.Beat, isTurned: true,
	}
}

// Self gives the node's own entry.
func (m *Machine) Self() model.Node { return m.self }

// Leave marks this node as having said goodbye.
func (m *Machine) Leave() { m.self.Left, m.isTurned = true, true }

// Nodes lists the known nodes of some standings, this node among the live.
func (m *Machine) Nodes(standings ...string) []model.Node {
	var nodes []model.Node
	if slices.Contains(standings, IsLive) {
		nodes = append(nodes, m.self)
	}
	for _, other := range m.peers {
		if slices.Contains(standings, other.standing) {
			nodes = append(nodes, other.node)
		}
	}
	slices.SortFunc(nodes, func(a, b model.Node) int { return cmpNames(a.Name, b.Name) })
	return nodes
}

func cmpNames(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// Count counts the live nodes of a kind, this one among them.
func (m *Machine) Count(kind string) int {
	if !m.isCounted {
		m.counts, m.isCounted = map[string]int{m.self.Kind: 1}, true
		for _, other := range m.peers {
			if other.standing == IsLive {
				m.counts[other.node.Kind]++
			}
		}
	}
	return m.counts[kind]
}

// Standing gives how a node is held.
func (m *Machine) Standing(name string) string {
	if name == m.self.Name {
		return IsLive
	}
	if other, isKnown := m.peers[name]; isKnown {
		return other.standing
	}
	return ""
}

// Silence gives how long nothing was heard of a node.
func (m *Machine) Silence(name string, now time.Duration) time.Duration {
	if other, isKnown := m.peers[name]; isKnown {
		return now - other.heard
	}
	return 0
}

// Watched names the nodes that this node watches.
func (m *Machine) Watched() []string {
	if m.isWatching {
		return m.watched
	}
	names := m.names()
	m.watched, m.isWatching = nil, true
	for _, name := range names {
		if name != m.self.Name && rendezvous.IsAmong(names, name, m.self.Name, Watchers) {
			m.watched = append(m.watched, name)
		}
	}
	return m.watched
}

// Fellows gives the live nodes of this one's kind that it watches, or, where
// it watches none, all that live.
func (m *Machine) Fellows() []model.Node {
	isWatched := map[string]bool{}
	for _, name := range m.Watched() {
		isWatched[name] = true
	}
	var watched, live []model.Node
	for _, node := range m.Nodes(IsLive) {
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

func (m *Machine) names() []string {
	names := []string{m.self.Name}
	for name, other := range m.peers {
		if other.standing == IsLive {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Step takes an event and gives effects.
func (m *Machine) Step(event any, now time.Duration) []any {
	m.effects = nil
	if told, isTold := event.(Told); isTold {
		m.onGossip(told.Gossip, now)
		return m.effects
	}
	m.onTick(now)
	return m.effects
}

func rangeOf(name string) int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(name))
	return int(sum.Sum32() % Ranges)
}

func digestOf(node model.Node) uint64 {
	sum := fnv.New64a()
	_, _ = fmt.Fprint(sum, node.Name, "|", node.Birth, "|", node.Left, "|", node.Link, "|", node.Door, "|", node.Weight)
	return sum.Sum64()
}

func (m *Machine) digests() {
	if !m.isTurned {
		return
	}
	m.isTurned, m.ranges, m.digest = false, [Ranges]uint64{}, 0
	m.ranges[rangeOf(m.self.Name)] = digestOf(m.self)
	for _, other := range m.peers {
		if other.standing != IsDead {
			m.ranges[rangeOf(other.node.Name)] ^= digestOf(other.node)
		}
	}
	for _, one := range m.ranges {
		m.digest = m.digest*1099511628211 ^ one
	}
}

func brief(node model.Node) model.Node {
	return model.Node{Name: node.Name, Birth: node.Birth, Beat: node.Beat, Left: node.Left}
}

func (m *Machine) gossip(to *peer, now time.Duration) Gossip {
	m.digests()
	gossip := Gossip{From: m.self, Digest: m.digest}
	if to != nil && to.isKnown && m.fresh <= now {
		gossip.From = brief(m.self)
	}
	if m.freshest > now {
		for _, other := range m.peers {
			isNew := other.fresh > now && (to == nil || to.digest != m.digest)
			if (isNew || other.doubted > now) && other != to {
				gossip.Nodes = append(gossip.Nodes, other.node)
			}
		}
	}
	for suspicion, at := range m.suspicions {
		if other, isHeld := m.peers[suspicion.Node]; isHeld && (other.standing == IsLive || now-at < m.timing.Fresh) {
			gossip.Suspicions = append(gossip.Suspicions, suspicion)
		}
	}
	slices.SortFunc(gossip.Nodes, func(a, b model.Node) int { return cmpNames(a.Name, b.Name) })
	slices.SortFunc(gossip.Suspicions, func(a, b Suspicion) int { return cmpNames(a.Node+"|"+a.By, b.Node+"|"+b.By) })
	return gossip
}

func (m *Machine) onTick(now time.Duration) {
	if now-m.beaten < m.timing.Beat*9/10 {
		return
	}
	m.beaten = now
	m.self.Beat++
	sent := map[string]bool{m.self.Link: true}
	send := func(address string, to *peer, isWatch, isReply bool) {
		if address == "" || sent[address] {
			return
		}
		sent[address] = true
		gossip := m.gossip(to, now)
		gossip.IsWatch, gossip.IsReply = isWatch, isReply
		if to != nil {
			to.sent = now
		}
		m.effects = append(m.effects, Send{Address: address, Gossip: gossip})
	}
	for _, name := range m.Watched() {
		if other := m.peers[name]; m.isToAsk(other, now) {
			other.asked = now
			send(other.node.Link, other, true, false)
		}
	}
	if lost := m.lost(); lost != nil {
		send(lost.node.Link, lost, false, false)
	}
	for _, seed := range m.seedsDue(now) {
		send(seed, m.at(seed), false, false)
	}
	for _, other := range m.wanting(now) {
		send(other.node.Link, other, false, true)
	}
	m.suspect(now)
	m.judge(now)
}

// isToAsk says whether the beats of a watched node are to be asked for: in
// their turn, where none came of late, and where there is something to tell.
func (m *Machine) isToAsk(other *peer, now time.Duration) bool {
	m.digests()
	hasNews := m.fresh > now || (m.freshest > now && other.digest != m.digest) || len(m.suspicions) > 0
	return hasNews || !other.isKnown || now-other.direct >= 2*m.timing.Beat || now-other.asked >= m.timing.Renew
}

func (m *Machine) wanting(now time.Duration) []*peer {
	var list []*peer
	for _, other := range m.peers {
		if other.wanted > now && other.standing == IsLive && now-other.sent >= m.timing.Beat*9/10 {
			list = append(list, other)
		}
	}
	slices.SortFunc(list, func(a, b *peer) int { return cmpNames(a.node.Name, b.node.Name) })
	return list
}

// seedsDue gives the seeds to go to: all while few nodes are known or a seed is
// not known to live, one in its turn seldom.
func (m *Machine) seedsDue(now time.Duration) []string {
	isMissed := slices.ContainsFunc(m.seeds, func(seed string) bool { return seed != m.self.Link && m.at(seed) == nil })
	if m.liveCount() < 4 || (isMissed && m.self.Beat%8 == 0) {
		return m.seeds
	}
	if m.roams == 0 {
		m.roamed, m.roams = now-time.Duration(digestOf(m.self)%uint64(m.timing.Roam)), 1
	}
	if len(m.seeds) == 0 || now < m.roamed+m.timing.Roam {
		return nil
	}
	m.roamed = now
	m.roams++
	return m.seeds[m.roams%len(m.seeds):][:1]
}

// liveCount counts the nodes held live, this one among them.
func (m *Machine) liveCount() int {
	count := 1
	for _, other := range m.peers {
		if other.standing == IsLive {
			count++
		}
	}
	return count
}

func (m *Machine) refresh(other *peer, until time.Duration) {
	other.fresh = max(other.fresh, until)
	m.freshest = max(m.freshest, until)
}

func (m *Machine) refute(other *peer, until time.Duration) {
	other.doubted = max(other.doubted, until)
	m.freshest = max(m.freshest, until)
}

// lost gives one of the nodes held dead, each in its turn: after a cut that
// fell between halves, somebody must try the other.
func (m *Machine) lost() *peer {
	var names []string
	for name, other := range m.peers {
		if other.standing == IsDead {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	return m.peers[names[int(m.self.Beat)%len(names)]]
}

func (m *Machine) at(link string) *peer {
	for _, other := range m.peers {
		if other.node.Link == link && other.standing == IsLive {
			return other
		}
	}
	return nil
}

func (m *Machine) suspect(now time.Duration) {
	for _, name := range m.Watched() {
		other := m.peers[name]
		if now-max(other.direct, other.heard) > m.timing.Silence {
			m.suspicions[Suspicion{Node: name, By: m.self.Name, Beat: other.node.Beat, Born: other.node.Birth}] = now
		}
	}
	for suspicion, at := range m.suspicions {
		other, isKnown := m.peers[suspicion.Node]
		isStale := !isKnown || other.node.Beat > suspicion.Beat+1 || other.node.Birth > suspicion.Born
		if isStale || now-at > 10*m.timing.Silence {
			delete(m.suspicions, suspicion)
		}
	}
}

func (m *Machine) judge(now time.Duration) {
	count := m.liveCount()
	for name, other := range m.peers {
		if other.standing == IsDead && now-other.turned > m.timing.Forget {
			delete(m.peers, name)
			m.isTurned = true
			continue
		}
		if other.standing != IsLive || now-other.heard <= m.timing.Silence {
			continue
		}
		by := map[string]bool{}
		for suspicion := range m.suspicions {
			if suspicion.Node == name && suspicion.Born == other.node.Birth {
				by[suspicion.By] = true
			}
		}
		need := min(2, max(min(Watchers, count-1), 1))
		if len(by) >= need {
			m.turn(other, IsDead, "silent to more than one watcher", now)
		}
	}
}

func (m *Machine) turn(other *peer, standing, why string, now time.Duration) {
	if other.standing == standing {
		return
	}
	other.standing, other.turned = standing, now
	m.isWatching, m.isCounted = false, false
	m.isTurned = true
	m.refresh(other, now+m.timing.Fresh)
	m.effects = append(m.effects, Changed{Node: other.node, Is: standing, Why: why})
}

func (m *Machine) onGossip(gossip Gossip, now time.Duration) {
	m.meet(gossip.From, now, true)
	for _, node := range gossip.Nodes {
		m.meet(node, now, false)
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
	reply := m.gossip(from, now)
	reply.IsReply = true
	isAsked := len(gossip.Digests) > 0 || len(gossip.Want) > 0
	if isAsked {
		m.mend(&reply, gossip)
	}
	isUnlike := gossip.Digest != reply.Digest
	isDue := from == nil || now-from.compared >= m.timing.Compare
	if isUnlike && isDue && !isAsked {
		reply.Digests, reply.From = slices.Clone(m.ranges[:]), m.self
		if from != nil {
			from.compared = now
		}
	}
	if from != nil {
		from.isKnown = !isUnlike
	}
	if from != nil && gossip.IsWatch {
		from.wanted = now + 2*m.timing.Renew
	}
	if !gossip.IsReply || len(reply.Digests) > 0 || (isAsked && (len(reply.Nodes) > 0 || len(reply.Want) > 0)) {
		link := gossip.From.Link
		if from != nil {
			link, from.sent = from.node.Link, now
		}
		if link != "" {
			m.effects = append(m.effects, Send{Address: link, Gossip: reply})
		}
	}
}

// mend fills the ranges that are unlike, and asks for those of the other.
func (m *Machine) mend(reply *Gossip, gossip Gossip) {
	reply.From = m.self
	wanted := slices.Clone(gossip.Want)
	for rank, digest := range gossip.Digests {
		if rank < Ranges && digest != m.ranges[rank] {
			wanted = append(wanted, rank)
			reply.Want = append(reply.Want, rank)
		}
	}
	for _, other := range m.peers {
		isTold := slices.ContainsFunc(reply.Nodes, func(node model.Node) bool { return node.Name == other.node.Name })
		if other.standing != IsDead && !isTold && slices.Contains(wanted, rangeOf(other.node.Name)) {
			reply.Nodes = append(reply.Nodes, other.node)
		}
	}
	slices.SortFunc(reply.Nodes, func(a, b model.Node) int { return cmpNames(a.Name, b.Name) })
}

func (m *Machine) onSuspicion(suspicion Suspicion, now time.Duration) {
	if suspicion.Node == m.self.Name {
		m.fresh = now + m.timing.Fresh
		return
	}
	other, isKnown := m.peers[suspicion.Node]
	if !isKnown || other.node.Birth != suspicion.Born {
		return
	}
	if other.node.Beat > suspicion.Beat+1 {
		m.refute(other, now+m.timing.Fresh)
		return
	}
	if _, isHeld := m.suspicions[suspicion]; !isHeld {
		m.suspicions[suspicion] = now
	}
}

func (m *Machine) meet(node model.Node, now time.Duration, isDirect bool) {
	if node.Name == m.self.Name || node.Name == "" {
		return
	}
	other, isKnown := m.peers[node.Name]
	isBrief := node.Link == ""
	if !isKnown {
		if node.Left || isBrief {
			return
		}
		other = &peer{node: node, heard: now}
		m.peers[node.Name] = other
		m.turn(other, IsLive, "met", now)
	}
	isReborn := node.Birth > other.node.Birth
	if isBrief && isReborn {
		return
	}
	isNewer := isReborn || (node.Birth == other.node.Birth && node.Beat > other.node.Beat)
	if isNewer {
		m.renew(other, node, isReborn, now)
	}
	if isDirect {
		other.direct = now
	}
}

func (m *Machine) renew(other *peer, node model.Node, isReborn bool, now time.Duration) {
	wasGone := other.standing != IsLive
	isBrief := node.Link == ""
	if isBrief {
		beat, isLeft := node.Beat, node.Left
		node = other.node
		node.Beat, node.Left = beat, isLeft
	}
	isChanged := isReborn || digestOf(node) != digestOf(other.node)
	for suspicion := range m.suspicions {
		if suspicion.Node == node.Name && node.Beat > suspicion.Beat+1 {
			m.refute(other, now+m.timing.Fresh)
		}
	}
	if isReborn {
		other.isKnown = false
	}
	other.node, other.heard = node, now
	if isChanged {
		m.isTurned = true
		m.refresh(other, now+m.timing.Fresh)
	}
	if node.Left {
		m.turn(other, IsLeft, "said goodbye", now)
		return
	}
	if wasGone {
		m.turn(other, IsLive, "heard again", now)
	}
}

// Reseed takes changed seeds and weight.
func (m *Machine) Reseed(seeds []string, weight float64) {
	m.seeds = seeds
	m.self.Weight, m.isTurned = weight, true
}
