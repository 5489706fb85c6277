package scale

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tansyseam.example/pooler/coordination/lease"
	"tansyseam.example/pooler/coordination/member"
	"tansyseam.example/pooler/coordination/pool"
	"tansyseam.example/pooler/coordination/rendezvous"
	"tansyseam.example/pooler/coordination/serve"
	"tansyseam.example/pooler/coordination/steer"
	"tansyseam.example/pooler/protocol/msg"
	"tansyseam.example/pooler/state/view"
	"tansyseam.example/pooler/transport/link"
	"tansyseam.example/pooler/transport/run"
)

type hollow struct {
	herd    *herd
	crew    *run.Crew
	counts  *run.Counters
	hub     *link.Hub
	homes   map[string]bool
	targets []string
	toSeeds []string

	mutex    sync.Mutex
	self     view.Node
	serve    *serve.Machine
	pool     *pool.Machine
	primary  string
	isCut    bool
	shownAt  map[uint64]time.Time
	openAt   map[uint64]time.Time
	began    time.Time
	leasedAt time.Time
	unleased time.Duration
	lastSeen time.Time
}

type herd struct {
	world outside
	seeds []string
	known int

	mutex   sync.Mutex
	nodes   []*hollow
	reals   map[string]view.Node
	realsAt map[string]time.Time
	down    map[string]downed
	ledger  *member.Machine
	fed     map[string]int64
	digest  uint64
	alike   map[string]bool
	fresh   []view.Node
	doubts  []member.Suspicion
	began   time.Time
	watches map[string][]string
	names   []string

	asks     atomic.Int64
	misses   atomic.Int64
	gossiped atomic.Int64
	heard    atomic.Int64
	passed   atomic.Int64
}

type downed struct {
	node view.Node
	at   time.Time
}

func newHerd(w outside, seeds []string, known int) *herd {
	msg.Register()
	return &herd{world: w, seeds: seeds, known: known, reals: map[string]view.Node{}, realsAt: map[string]time.Time{}, down: map[string]downed{}, watches: map[string][]string{}, fed: map[string]int64{}, alike: map[string]bool{}, began: time.Now()}
}

func (h *herd) add(name, zone, address string, homes map[string]bool) (*hollow, error) {
	node := &hollow{
		herd: h, crew: run.NewCrew(), counts: &run.Counters{}, homes: homes,
		self: view.Node{
			Name: name, Kind: view.KindData, Zone: zone, Link: address, Door: address, Birth: time.Now().UnixNano(), Version: link.Version, Weight: 1,
		},
		serve: serve.New(name, lease.DefaultTiming()), shownAt: map[uint64]time.Time{}, openAt: map[uint64]time.Time{}, began: time.Now(),
	}
	if _, isLined := h.world.(*lined); isLined {
		node.pool = pool.New(pool.Place{Name: name, Zone: zone, Birth: node.self.Birth, Beta: 1}, pool.DefaultTiming(), lease.DefaultTiming(), func(string, int64) {})
		node.serve = node.pool.Serve()
	}
	node.hub = link.New(name, address, node.crew, node.counts, node.hear)
	return node, node.hub.Listen()
}

func (h *herd) beat() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.fresh = nil
	for _, node := range h.told() {
		if _, isDown := h.down[node.self.Name]; isDown {
			continue
		}
		node.mutex.Lock()
		node.self.Beat = uint64(time.Since(node.began)/member.DefaultTiming().Beat) + 1
		self, began := node.self, node.began
		node.mutex.Unlock()
		if time.Since(began) < member.DefaultTiming().Fresh {
			h.fresh = append(h.fresh, self)
		}
		if h.fed[self.Name] != self.Birth {
			h.fed[self.Name] = self.Birth
			h.feed(member.Gossip{From: self, IsReply: true})
		}
	}
	h.doubts = nil
	for name, real := range h.reals {
		h.doubt(name, downed{node: real, at: h.realsAt[name]})
	}
	for name, gone := range h.down {
		h.doubt(name, gone)
	}
}

func (h *herd) feed(gossip member.Gossip) []member.Gossip {
	if h.ledger == nil {
		h.ledger = member.New(gossip.From, nil, member.DefaultTiming())
		return nil
	}
	var replies []member.Gossip
	for _, effect := range h.ledger.Step(member.Told{Gossip: gossip}, time.Since(h.began)) {
		if send, isSend := effect.(member.Send); isSend {
			replies = append(replies, send.Gossip)
			h.digest = send.Gossip.Digest
		}
	}
	return replies
}

func (h *herd) take(gossip member.Gossip) []member.Gossip {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	from, known := gossip.From, h.reals[gossip.From.Name]
	if from.Link == "" && from.Birth == known.Birth {
		beat := from.Beat
		from = known
		from.Beat = beat
	}
	if from.Link != "" && (from.Beat >= known.Beat || from.Birth > known.Birth) {
		from.Link = known.Link
		h.reals[from.Name], h.realsAt[from.Name] = from, time.Now()
	}
	replies := h.feed(gossip)
	h.alike[from.Name] = gossip.Digest == h.digest
	return replies
}

func (h *herd) doubtful() []member.Suspicion {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.doubts
}

func (h *herd) linkOf(name string) string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.reals[name].Link
}

func (h *herd) doubt(name string, gone downed) {
	if gone.at.IsZero() || time.Since(gone.at) < member.DefaultTiming().Silence {
		return
	}
	for _, by := range h.watches[name] {
		h.doubts = append(h.doubts, member.Suspicion{Node: name, By: by, Beat: gone.node.Beat, Born: gone.node.Birth})
	}
}

func (h *herd) tell(from view.Node, address string) member.Gossip {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	isFresh := slices.ContainsFunc(h.fresh, func(node view.Node) bool { return node.Name == from.Name })
	for name, real := range h.reals {
		if real.Link == address && h.alike[name] && !isFresh {
			from = brief(from)
		}
	}
	return member.Gossip{From: from, Nodes: h.fresh, Suspicions: h.doubts, Digest: h.digest}
}

func brief(node view.Node) view.Node {
	return view.Node{Name: node.Name, Birth: node.Birth, Beat: node.Beat, Left: node.Left}
}

func (h *herd) told() []*hollow {
	if h.known == 0 {
		return h.nodes
	}
	return h.nodes[:min(h.known, len(h.nodes))]
}

func (h *herd) plan(reals map[string]string) {
	var names []string
	for _, node := range h.told() {
		names = append(names, node.self.Name)
	}
	for name := range reals {
		names = append(names, name)
	}
	slices.Sort(names)
	byName := map[string]*hollow{}
	for _, node := range h.told() {
		byName[node.self.Name] = node
	}
	h.names = names
	for name, address := range reals {
		for _, watcher := range rendezvous.Select(names, name, member.Watchers) {
			if node := byName[watcher]; node != nil {
				node.targets = append(node.targets, address)
				h.watches[name] = append(h.watches[name], watcher)
			}
		}
	}
	for _, node := range h.told() {
		for _, seed := range h.seeds {
			if slices.ContainsFunc(h.nodes, func(other *hollow) bool { return other.self.Link == seed }) {
				continue
			}
			node.toSeeds = append(node.toSeeds, seed)
		}
	}
}

func (n *hollow) start() {
	n.crew.Go(n.askNews)
	n.crew.Loop(nil, member.DefaultTiming().Beat, n.gossip)
}

func (n *hollow) stop() {
	n.crew.Stop(2 * time.Second)
	n.hub.Close()
}

func (n *hollow) now() time.Duration { return n.crew.Now() }

func (n *hollow) entry() view.Node {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.self
}

func (n *hollow) gossip() {
	self := n.entry()
	targets := n.targets
	if self.Beat%8 == uint64(len(self.Name)+int(self.Name[len(self.Name)-1]))%8 {
		targets = append(slices.Clone(targets), n.toSeeds...)
	}
	for _, address := range targets {
		if n.isBarred(address) {
			continue
		}
		n.herd.gossiped.Add(1)
		n.hub.Send(address, n.herd.tell(self, address))
	}
}

func (n *hollow) isBarred(address string) bool {
	n.mutex.Lock()
	isCut, region := n.isCut, regionOf(n.self.Zone)
	n.mutex.Unlock()
	if !isCut {
		return false
	}
	n.herd.mutex.Lock()
	defer n.herd.mutex.Unlock()
	for _, real := range n.herd.reals {
		if real.Link == address {
			return regionOf(real.Zone) != region
		}
	}
	return false
}

func (n *hollow) hear(_ string, body any, answer func(any)) {
	if gossip, isGossip := body.(member.Gossip); isGossip {
		n.herd.heard.Add(1)
		if n.isBarred(n.herd.linkOf(gossip.From.Name)) {
			return
		}
		for _, reply := range n.herd.take(gossip) {
			self := n.entry()
			if reply.From.Link == "" {
				self = brief(self)
			}
			reply.From, reply.Suspicions = self, n.herd.doubtful()
			n.herd.gossiped.Add(1)
			n.hub.Send(n.herd.linkOf(gossip.From.Name), reply)
		}
		return
	}
	if pass, isPass := body.(msg.PassNews); isPass {
		n.herd.passed.Add(1)
		n.mutex.Lock()
		primary := n.primary
		n.mutex.Unlock()
		address := n.herd.linkOf(primary)
		if address == "" || n.isBarred(address) {
			return
		}
		if reply, err := n.hub.Call(address, pass.Ask, 500*time.Millisecond); err == nil {
			answer(reply)
		}
	}
}

func (n *hollow) controls() []string {
	n.herd.mutex.Lock()
	defer n.herd.mutex.Unlock()
	var list []string
	for _, real := range n.herd.reals {
		if real.Kind == view.KindControl {
			list = append(list, real.Link)
		}
	}
	slices.Sort(list)
	return list
}

func (n *hollow) askNews() {
	for misses := 0; !n.crew.IsStopping(); {
		if n.askOnce(misses) {
			misses = 0
			continue
		}
		misses++
		run.Await(n.crew.Stopping(), 30*time.Millisecond)
	}
}

func (n *hollow) askOnce(misses int) bool {
	n.mutex.Lock()
	primary := n.primary
	n.mutex.Unlock()
	address, others := n.herd.linkOf(primary), n.controls()
	if len(others) == 0 {
		return false
	}
	if address == "" || misses%3 == 2 {
		address = others[misses/3%len(others)]
	}
	if n.isBarred(address) {
		return false
	}
	ask := n.ask()
	sent := n.now()
	n.herd.asks.Add(1)
	reply, err := n.hub.Call(address, ask, n.patience())
	news, isOne := reply.(steer.News)
	if err != nil || !isOne || n.isBarred(address) {
		n.herd.misses.Add(1)
		return false
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.primary = news.Record.Primary
	if !news.IsPrimary {
		return false
	}
	if n.pool != nil {
		n.pool.Took(news, sent, n.now())
		n.pool.Effects()
		return true
	}
	n.serve.Take(news, sent, n.now())
	return true
}

// patience is how long the product waits for an answer to an ask.
func (n *hollow) patience() time.Duration {
	if n.pool != nil {
		return 750 * time.Millisecond
	}
	return 600 * time.Millisecond
}

func (n *hollow) ask() steer.AskNews {
	if n.pool != nil {
		return n.askLined()
	}
	live := n.herd.world.live()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, instance := range live {
		if n.homes == nil || n.homes[instance.Database] {
			n.serve.Announced(instance, n.now())
		}
	}
	return n.serve.Ask(n.now(), nil)
}

// askLined asks as a node that has traffic would: each primary that lives has
// just answered, one that was ended refuses connections.
func (n *hollow) askLined() steer.AskNews {
	n.mutex.Lock()
	ask := n.pool.Ask(n.now())
	n.mutex.Unlock()
	outside := n.herd.world.(*lined)
	for at := range ask.Reports {
		one := &ask.Reports[at]
		one.Answered, one.Refused = 0, 0
		if since, isDown := outside.downSince(one.Instance.Name); isDown {
			one.Answered, one.Refused = time.Since(since), 2
		}
	}
	return ask
}

func (n *hollow) look(at time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	if !n.serve.IsLeased(now) {
		if !n.lastSeen.IsZero() {
			n.unleased += at.Sub(n.lastSeen)
		}
		n.leasedAt = time.Time{}
		n.lastSeen = at
		return
	}
	if n.leasedAt.IsZero() {
		n.leasedAt = at
	}
	n.lastSeen = at
	if set, _ := n.serve.Effective(now); n.shownAt[set.Sequence].IsZero() {
		n.shownAt[set.Sequence] = at
	}
	if writer := n.serve.Writer(databaseName(0)); writer.Phase == view.PhaseOpen && n.openAt[writer.Term].IsZero() {
		n.openAt[writer.Term] = at
	}
}

func (h *herd) look() {
	h.mutex.Lock()
	nodes := slices.Clone(h.nodes)
	h.mutex.Unlock()
	at := time.Now()
	for _, node := range nodes {
		node.look(at)
	}
}

func (h *herd) each(act func(*hollow)) {
	h.mutex.Lock()
	nodes := slices.Clone(h.nodes)
	h.mutex.Unlock()
	for _, node := range nodes {
		node.mutex.Lock()
		act(node)
		node.mutex.Unlock()
	}
}

func (h *herd) count(is func(*hollow) bool) int {
	count := 0
	h.each(func(node *hollow) {
		if is(node) {
			count++
		}
	})
	return count
}

func (h *herd) restart(old *hollow, rest time.Duration) (*hollow, error) {
	self := old.entry()
	h.mutex.Lock()
	h.down[self.Name] = downed{node: self, at: time.Now()}
	h.watches[self.Name] = rendezvous.Select(h.names, self.Name, member.Watchers)
	h.mutex.Unlock()
	old.stop()
	run.Await(make(chan struct{}), rest)
	fresh, err := h.add(self.Name, self.Zone, self.Link, old.homes)
	if err != nil {
		return nil, err
	}
	fresh.targets, fresh.toSeeds = old.targets, old.toSeeds
	h.mutex.Lock()
	delete(h.down, self.Name)
	h.nodes[slices.Index(h.nodes, old)] = fresh
	h.mutex.Unlock()
	fresh.start()
	return fresh, nil
}
