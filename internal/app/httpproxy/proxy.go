// Package httpproxy is the data plane's program: it joins the machine of package
// hall to doors, links and instances. A request goes from the door through
// the stages bind, admit, select, forward and answer, joined by bounded
// queues. Lock order: Plane.mutex, then the node's, then a session's.
package httpproxy

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/protocol/backend"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/httpserver"
	"tansyseam/internal/transport/worker"
)

const (
	statusWaitMS  = 80
	finishTimeout = 5500 * time.Millisecond
)

// Plane is the program's state.
type Proxy struct {
	node   *node.Node
	log    hclog.Logger
	client *httpserver.Client
	codec  backend.Codec

	mutex           sync.Mutex
	pool            *httppool.Machine
	reportScheduled bool
	wasReady        bool

	bindStage    *worker.Pool[*httppool.Request]
	enqueueStage *worker.Pool[*httppool.Request]
	forwardStage *worker.Pool[*httppool.Request]
	replyStage   *worker.Pool[*instanceReply]
}

// Open makes the program; Start begins to serve.
func New(host *node.Node) (*Proxy, error) {
	place := host.Config()
	ip, _, _ := net.SplitHostPort(place.RPCAddress)
	client, err := httpserver.NewClient(ip, host.Workers)
	if err != nil {
		return nil, errors.Trace(err)
	}
	self := httppool.Node{Name: place.Name, Zone: place.Zone, Incarnation: fmt.Sprintf("%x", host.Self().Incarnation), Weight: place.Weight}
	p := &Proxy{
		node: host, log: host.Log, client: client, codec: backend.NewJSONCodec(), pool: httppool.New(self, httppool.DefaultTiming(), host.Counters.Add),
	}
	p.bindStage = worker.NewPool(host.Workers, "bind", 512, 8, p.eventHandler((*httppool.Machine).Bind))
	p.enqueueStage = worker.NewPool(host.Workers, "admit", 512, 2, p.eventHandler((*httppool.Machine).Enqueue))
	p.forwardStage = worker.NewPool(host.Workers, "forward", 4096, 8, p.eventHandler((*httppool.Machine).Forward))
	p.replyStage = worker.NewPool(host.Workers, "answer", 8192, 4, p.handleReply)
	host.OnInstance(func(info model.Instance) {
		p.apply(func(now time.Duration) { p.pool.UpdateInstance(info, now) })
	})
	host.OnDisconnect(func(remote string) {
		p.apply(func(now time.Duration) { p.pool.ClientLost(remote, now) })
	})
	host.ForwardUpdateRequests(500 * time.Millisecond)
	node.HandleMessage(host, func(_ string, request idempotency.StatusRequest, answer func(any)) {
		p.apply(func(now time.Duration) { answer(p.pool.HandleStatusRequest(request, now)) })
	})
	node.HandleMessage(host, func(_ string, handover idempotency.Handover, answer func(any)) {
		p.apply(func(now time.Duration) { p.pool.ImportHandover(handover, now) })
		answer(idempotency.HandoverAck{})
	})
	p.adminPages().Register()
	p.registerHandlers()
	return p, nil
}

// Start begins to ask for news and to serve.
func (p *Proxy) Start() {
	p.node.Workers.Go(p.pollUpdates)
	p.node.Workers.Loop(nil, 20*time.Millisecond, p.tick)
}

func (p *Proxy) now() time.Duration { return p.node.Now() }

func (p *Proxy) apply(act func(now time.Duration)) {
	p.mutex.Lock()
	act(p.now())
	effects := p.pool.Effects()
	p.mutex.Unlock()
	for _, effect := range effects {
		p.execute(effect)
	}
}

func (p *Proxy) eventHandler(event func(*httppool.Machine, *httppool.Request, time.Duration)) func(*httppool.Request) {
	return func(request *httppool.Request) {
		p.apply(func(now time.Duration) { event(p.pool, request, now) })
	}
}

func (p *Proxy) cancel(request *httppool.Request) {
	p.eventHandler((*httppool.Machine).Cancel)(request)
}

func (p *Proxy) tick() {
	count, beta := p.node.CountLive(model.KindProxy), p.node.Config().Weight
	p.apply(func(now time.Duration) {
		p.pool.Tick(count, beta, now)
		ready, why := p.pool.Ready(now)
		if ready != p.wasReady {
			p.wasReady = ready
			p.node.Counters.Add("ready_turns", 1)
			p.log.Info("ready", "is", ready, "why", why)
		}
	})
}

func (p *Proxy) sendReport() {
	p.mutex.Lock()
	scheduled := p.reportScheduled
	p.reportScheduled = true
	p.mutex.Unlock()
	if scheduled {
		return
	}
	p.node.Workers.Go(func() {
		pause()
		p.mutex.Lock()
		p.reportScheduled = false
		observations := p.pool.Observations(p.now())
		p.mutex.Unlock()
		if address, _ := p.node.ControlPrimary(); address != "" {
			p.node.Hub.Send(address, observations)
		}
	})
}

func (p *Proxy) pollUpdates() {
	seeker := &node.PrimarySearch{}
	for !p.node.Workers.IsStopping() {
		var request distribution.UpdateRequest
		p.apply(func(now time.Duration) { request = p.pool.UpdateRequest(now) })
		sent := p.now()
		if update, ok := p.node.RequestUpdate(request, seeker, 600*time.Millisecond); ok {
			p.apply(func(now time.Duration) { p.pool.ApplyUpdate(update, sent, now) })
			continue
		}
		worker.Await(make(chan struct{}), 30*time.Millisecond)
	}
}
