// Package lineproxy is the data plane for clients that use a line protocol. It
// connects the pure state machine of package linepool to the connections of clients
// and database instances, and to the control plane.
//
// Each event is passed to the machine under Proxy.mutex. Its effects are executed
// under the same lock, in order; no effect blocks. Lock order: Proxy.mutex, then
// the node's.
package lineproxy

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"tansyseam/internal/app/admin"
	"tansyseam/internal/app/dataplane"
	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/coordination/pool/linepool"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/lineserver"
)

const (
	tickInterval = 25 * time.Millisecond
	// liveNamesMaxAge bounds the age of the list of live proxy nodes, among which
	// the connections to instances are divided.
	liveNamesMaxAge = 250 * time.Millisecond
)

// gaugeLoneLineFeeds is the gauge of the LF characters that were received inside texts.
const gaugeLoneLineFeeds = "lone_line_feeds"

// Proxy is the state of the line proxy.
type Proxy struct {
	node    *node.Node
	log     hclog.Logger
	codec   lineproto.Codec
	server  *lineserver.Server
	control *dataplane.ControlClient
	// name is the name that the node sends to instances when it connects.
	name string
	// minDrain and maxDrain bound the time that a shutdown takes.
	minDrain, maxDrain time.Duration

	mutex sync.Mutex
	pool  *linepool.Machine
	// buffer is reused to encode the data that is written to connections.
	buffer    []byte
	readiness *dataplane.ReadinessLog

	// liveNames and liveNamesAt are accessed by tick only.
	liveNames   []string
	liveNamesAt time.Duration
}

// New returns a proxy and registers its calls at node n. The proxy serves after
// Start. The codec encodes and parses the messages of the line protocol.
func New(n *node.Node, codec lineproto.Codec) *Proxy {
	cfg := n.Config()
	self := linepool.Node{Name: cfg.Name, Zone: cfg.Zone, Incarnation: n.Self().Incarnation, Weight: cfg.Weight}
	timing := linepool.DefaultTiming().Within(cfg.ShutdownGrace, cfg.InstanceDrain)
	p := &Proxy{
		node: n, log: n.Log, codec: codec, name: cfg.Name,
		minDrain: timing.Linger + drainMargin, maxDrain: timing.EndSessions + drainMargin,
		pool:      linepool.New(self, timing, lease.DefaultTiming(), n.Counters.Add),
		readiness: dataplane.NewReadinessLog(n.Log, n.Counters),
	}
	p.control = p.newControlClient()
	p.server = lineserver.NewServer(n.Workers, cfg.LineAddress, lineproto.MaxLineBytes, p.acceptClient)
	n.AddGauge(gaugeLoneLineFeeds, p.server.LoneLineFeeds)
	n.ForwardUpdateRequests(forwardTimeout)
	p.adminAPI().Register()
	return p
}

// Start starts to serve and to request updates. It fails if the proxy cannot
// listen on the address for clients.
func (p *Proxy) Start() error {
	if err := p.server.Start(); err != nil {
		return errors.Trace(err)
	}
	p.node.Workers.Go(p.control.PollUpdates)
	p.node.Workers.Loop(nil, tickInterval, p.tick)
	return nil
}

func (p *Proxy) now() time.Duration { return p.node.Now() }

// apply passes one event to the pool and executes its effects, in order and under
// the lock.
func (p *Proxy) apply(event func(now time.Duration)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	event(p.now())
	for _, effect := range p.pool.Effects() {
		p.execute(effect)
	}
}

func (p *Proxy) tick() {
	live, weight := p.liveProxies(), p.node.Config().Weight
	p.apply(func(now time.Duration) {
		p.pool.Tick(live, weight, now)
		p.readiness.Record(p.pool.Ready(now))
	})
}

// liveProxies returns the names of the live proxy nodes.
func (p *Proxy) liveProxies() []string {
	now := p.now()
	if p.liveNames != nil && now-p.liveNamesAt < liveNamesMaxAge {
		return p.liveNames
	}
	p.liveNames, p.liveNamesAt = p.liveNames[:0], now
	for _, peer := range p.node.Nodes(model.KindProxy, membership.StatusLive) {
		p.liveNames = append(p.liveNames, peer.Name)
	}
	return p.liveNames
}

func (p *Proxy) adminAPI() *admin.API {
	return &admin.API{
		Node: p.node, Locker: &p.mutex, Proxy: p.pool, SessionCount: p.pool.Clients,
		QueueDepths: p.queueDepths,
		Describe:    func(now time.Duration) (any, any) { return p.pool.Status(now) },
	}
}

// queueDepths returns the number of queued statements by database.
func (p *Proxy) queueDepths(now time.Duration) map[string]int {
	_, queues := p.pool.Status(now)
	depths := map[string]int{}
	for _, queue := range queues {
		depths[queue.Database] = queue.Transactions + queue.Writes + queue.Reads
	}
	return depths
}
