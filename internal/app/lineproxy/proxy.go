// Package lineproxy is the data plane for clients that speak a line protocol.
// It joins the pure machine of package linepool to the connections of clients
// and database instances, and to the control plane.
//
// Each event is handed to the machine under Proxy.mutex, and its effects are
// carried out under the same lock, in order: none of them blocks. Lock order:
// Proxy.mutex, then the node's.
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
	// liveNamesMaxAge bounds the age of the list of proxy nodes among which
	// connections are shared.
	liveNamesMaxAge = 250 * time.Millisecond
)

// Proxy is the program's state.
type Proxy struct {
	node    *node.Node
	log     hclog.Logger
	codec   lineproto.Codec
	server  *lineserver.Server
	control *dataplane.ControlClient
	// name is how the node introduces itself to instances.
	name string
	// minDrain and maxDrain bound the time that a stop takes.
	minDrain, maxDrain time.Duration

	mutex sync.Mutex
	pool  *linepool.Machine
	// buffer is reused for what is written to connections.
	buffer    []byte
	readiness *dataplane.ReadinessLog

	// liveNames is read and written by tick only.
	liveNames   []string
	liveNamesAt time.Duration
}

// New makes the proxy and registers its calls at the node; Start begins to
// serve. The codec gives the words of the line protocol.
func New(host *node.Node, codec lineproto.Codec) *Proxy {
	cfg := host.Config()
	self := linepool.Node{Name: cfg.Name, Zone: cfg.Zone, Incarnation: host.Self().Incarnation, Weight: cfg.Weight}
	timing := linepool.DefaultTiming().Within(cfg.ShutdownGrace, cfg.InstanceDrain)
	p := &Proxy{
		node: host, log: host.Log, codec: codec, name: cfg.Name,
		minDrain: timing.Linger + drainMargin, maxDrain: timing.EndSessions + drainMargin,
		pool:      linepool.New(self, timing, lease.DefaultTiming(), host.Counters.Add),
		readiness: dataplane.NewReadinessLog(host.Log, host.Counters),
	}
	p.control = p.newControlClient()
	p.server = lineserver.NewServer(host.Workers, cfg.LineAddress, lineproto.MaxLineBytes, p.acceptClient)
	host.ForwardUpdateRequests(forwardTimeout)
	p.adminAPI().Register()
	return p
}

// Start begins to serve and to ask for updates. It fails where the address for
// clients cannot be listened on.
func (p *Proxy) Start() error {
	if err := p.server.Start(); err != nil {
		return errors.Trace(err)
	}
	p.node.Workers.Go(p.control.PollUpdates)
	p.node.Workers.Loop(nil, tickInterval, p.tick)
	return nil
}

func (p *Proxy) now() time.Duration { return p.node.Now() }

// apply hands one event to the pool and carries out its effects.
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

// liveProxies returns the names of the proxy nodes that are live.
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
