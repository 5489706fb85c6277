// Package httpproxy is the data plane for clients that use the product's own
// HTTP API. It connects the pure state machine of package httppool to HTTP
// handlers, links to other nodes and connections to database instances.
//
// A request passes through four stages with bounded queues: bind, admit, forward
// and answer. Each stage passes one event to the machine and executes the effects
// that the machine returns.
//
// Lock order: Proxy.mutex, then the node's, then a connection's.
package httpproxy

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"tansyseam/internal/app/admin"
	"tansyseam/internal/app/dataplane"
	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/protocol/backend"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/httpserver"
	"tansyseam/internal/transport/worker"
)

const tickInterval = 20 * time.Millisecond

// stageSize is the queue length of a stage, in requests, and the number of its
// workers.
type stageSize struct{ queue, workers int }

var (
	bindSize    = stageSize{queue: 512, workers: 8}
	enqueueSize = stageSize{queue: 512, workers: 2}
	forwardSize = stageSize{queue: 4096, workers: 8}
	replySize   = stageSize{queue: 8192, workers: 4}
)

// Proxy is the state of the HTTP proxy.
type Proxy struct {
	node    *node.Node
	log     hclog.Logger
	client  *httpserver.Client
	codec   backend.Codec
	control *dataplane.ControlClient

	mutex     sync.Mutex
	pool      *httppool.Machine
	readiness *dataplane.ReadinessLog

	bindStage    *worker.Pool[*httppool.Request]
	enqueueStage *worker.Pool[*httppool.Request]
	forwardStage *worker.Pool[*httppool.Request]
	replyStage   *worker.Pool[*instanceReply]
}

// New returns a proxy and registers its handlers at node n. The proxy serves after
// Start. New fails if the HTTP client cannot be bound to the IP address of the
// node's RPC address.
func New(n *node.Node) (*Proxy, error) {
	cfg := n.Config()
	localIP, _, _ := net.SplitHostPort(cfg.RPCAddress)
	client, err := httpserver.NewClient(localIP, n.Workers)
	if err != nil {
		return nil, errors.Trace(err)
	}
	self := httppool.Node{Name: cfg.Name, Zone: cfg.Zone, Incarnation: fmt.Sprintf("%x", n.Self().Incarnation), Weight: cfg.Weight}
	p := &Proxy{
		node: n, log: n.Log, client: client, codec: backend.NewJSONCodec(),
		pool:      httppool.New(self, httppool.DefaultTiming(), n.Counters.Add),
		readiness: dataplane.NewReadinessLog(n.Log, n.Counters),
	}
	p.control = p.newControlClient()
	p.startStages()
	p.registerEvents()
	p.adminAPI().Register()
	p.registerHandlers()
	return p, nil
}

// startStages starts the workers of the stages. The names of the stages must not
// change, because they are keys in the admin API's answers.
func (p *Proxy) startStages() {
	workers := p.node.Workers
	p.bindStage = worker.NewPool(workers, "bind", bindSize.queue, bindSize.workers, p.requestHandler((*httppool.Machine).Bind))
	p.enqueueStage = worker.NewPool(workers, "admit", enqueueSize.queue, enqueueSize.workers, p.requestHandler((*httppool.Machine).Enqueue))
	p.forwardStage = worker.NewPool(workers, "forward", forwardSize.queue, forwardSize.workers, p.requestHandler((*httppool.Machine).Forward))
	p.replyStage = worker.NewPool(workers, "answer", replySize.queue, replySize.workers, p.handleReply)
}

// registerEvents registers handlers that pass the node's events and messages to the
// pool.
func (p *Proxy) registerEvents() {
	p.node.OnInstance(func(instance model.Instance) {
		p.apply(func(now time.Duration) { p.pool.UpdateInstance(instance, now) })
	})
	p.node.OnDisconnect(func(remoteAddress string) {
		p.apply(func(now time.Duration) { p.pool.ClientLost(remoteAddress, now) })
	})
	p.node.ForwardUpdateRequests(forwardTimeout)
	node.HandleMessage(p.node, func(_ string, request idempotency.StatusRequest, answer func(any)) {
		p.apply(func(now time.Duration) { answer(p.pool.HandleStatusRequest(request, now)) })
	})
	node.HandleMessage(p.node, func(_ string, handover idempotency.Handover, answer func(any)) {
		p.apply(func(now time.Duration) { p.pool.ImportHandover(handover, now) })
		answer(idempotency.HandoverAck{})
	})
}

func (p *Proxy) adminAPI() *admin.API {
	return &admin.API{
		Node: p.node, Locker: &p.mutex, Proxy: p.pool, SessionCount: p.pool.SessionCount,
		QueueDepths: func(time.Duration) map[string]int {
			return map[string]int{
				p.bindStage.Name:    p.bindStage.QueueLength(),
				p.enqueueStage.Name: p.enqueueStage.QueueLength(),
				p.forwardStage.Name: p.forwardStage.QueueLength(),
				p.replyStage.Name:   p.replyStage.QueueLength(),
			}
		},
		Describe: func(now time.Duration) (any, any) { return p.pool.Status(now) },
	}
}

// Start starts to request updates and to serve.
func (p *Proxy) Start() {
	p.node.Workers.Go(p.control.PollUpdates)
	p.node.Workers.Loop(nil, tickInterval, p.tick)
}

func (p *Proxy) now() time.Duration { return p.node.Now() }

// apply passes one event to the pool under the lock. It then executes the effects,
// in order and without the lock.
func (p *Proxy) apply(event func(now time.Duration)) {
	p.mutex.Lock()
	event(p.now())
	effects := p.pool.Effects()
	p.mutex.Unlock()
	for _, effect := range effects {
		p.execute(effect)
	}
}

func (p *Proxy) requestHandler(event func(*httppool.Machine, *httppool.Request, time.Duration)) func(*httppool.Request) {
	return func(request *httppool.Request) {
		p.apply(func(now time.Duration) { event(p.pool, request, now) })
	}
}

func (p *Proxy) cancel(request *httppool.Request) {
	p.requestHandler((*httppool.Machine).Cancel)(request)
}

func (p *Proxy) tick() {
	liveProxies, weight := p.node.CountLive(model.KindProxy), p.node.Config().Weight
	p.apply(func(now time.Duration) {
		p.pool.Tick(liveProxies, weight, now)
		p.readiness.Record(p.pool.Ready(now))
	})
}
