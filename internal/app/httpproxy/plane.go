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
	statusWait  = 80
	finishBound = 5500 * time.Millisecond
)

// Plane is the program's state.
type Plane struct {
	node   *node.Node
	log    hclog.Logger
	client *httpserver.Client
	wires  backend.Wire

	mutex     sync.Mutex
	hall      *httppool.Machine
	isTelling bool
	wasReady  bool

	bind    *worker.Stage[*httppool.Job]
	admits  *worker.Stage[*httppool.Job]
	forward *worker.Stage[*httppool.Job]
	answer  *worker.Stage[*arrival]
}

// Open makes the program; Start begins to serve.
func Open(host *node.Node) (*Plane, error) {
	place := host.Place()
	ip, _, _ := net.SplitHostPort(place.Link)
	client, err := httpserver.NewClient(ip, host.Crew)
	if err != nil {
		return nil, errors.Trace(err)
	}
	self := httppool.Place{Name: place.Name, Zone: place.Zone, Birth: fmt.Sprintf("%x", host.Self().Birth), Beta: place.Weight}
	p := &Plane{
		node: host, log: host.Log, client: client, wires: backend.JSON(), hall: httppool.New(self, httppool.DefaultTiming(), host.Counts.Add),
	}
	p.bind = worker.NewStage(host.Crew, "bind", 512, 8, p.step((*httppool.Machine).Bind))
	p.admits = worker.NewStage(host.Crew, "admit", 512, 2, p.step((*httppool.Machine).Join))
	p.forward = worker.NewStage(host.Crew, "forward", 4096, 8, p.step((*httppool.Machine).Pass))
	p.answer = worker.NewStage(host.Crew, "answer", 8192, 4, p.onAnswer)
	host.OnInstance(func(info model.Instance) {
		p.do(func(now time.Duration) { p.hall.Announced(info, now) })
	})
	host.OnGone(func(remote string) {
		p.do(func(now time.Duration) { p.hall.Gone(remote, now) })
	})
	host.OnPassNews(500 * time.Millisecond)
	node.On(host, func(_ string, ask idempotency.Ask, answer func(any)) {
		p.do(func(now time.Duration) { answer(p.hall.OnAsk(ask, now)) })
	})
	node.On(host, func(_ string, left idempotency.Legacy, answer func(any)) {
		p.do(func(now time.Duration) { p.hall.Inherit(left, now) })
		answer(idempotency.LegacyTaken{})
	})
	p.shown().Register()
	p.serveCalls()
	return p, nil
}

// Start begins to ask for news and to serve.
func (p *Plane) Start() {
	p.node.Crew.Go(p.askNews)
	p.node.Crew.Loop(nil, 20*time.Millisecond, p.beat)
}

func (p *Plane) now() time.Duration { return p.node.Now() }

func (p *Plane) do(act func(now time.Duration)) {
	p.mutex.Lock()
	act(p.now())
	effects := p.hall.Effects()
	p.mutex.Unlock()
	for _, effect := range effects {
		p.carry(effect)
	}
}

func (p *Plane) step(event func(*httppool.Machine, *httppool.Job, time.Duration)) func(*httppool.Job) {
	return func(j *httppool.Job) {
		p.do(func(now time.Duration) { event(p.hall, j, now) })
	}
}

func (p *Plane) giveUp(j *httppool.Job) { p.step((*httppool.Machine).GiveUp)(j) }

func (p *Plane) beat() {
	count, beta := p.node.Count(model.KindData), p.node.Place().Weight
	p.do(func(now time.Duration) {
		p.hall.Beat(count, beta, now)
		isReady, why := p.hall.Ready(now)
		if isReady != p.wasReady {
			p.wasReady = isReady
			p.node.Counts.Add("ready_turns", 1)
			p.log.Info("ready", "is", isReady, "why", why)
		}
	})
}

func (p *Plane) report() {
	p.mutex.Lock()
	isTelling := p.isTelling
	p.isTelling = true
	p.mutex.Unlock()
	if isTelling {
		return
	}
	p.node.Crew.Go(func() {
		run20()
		p.mutex.Lock()
		p.isTelling = false
		told := p.hall.Told(p.now())
		p.mutex.Unlock()
		if address, _ := p.node.Primary(); address != "" {
			p.node.Hub.Send(address, told)
		}
	})
}

func (p *Plane) askNews() {
	seeker := &node.Seeker{}
	for !p.node.Crew.IsStopping() {
		var ask distribution.AskNews
		p.do(func(now time.Duration) { ask = p.hall.Ask(now) })
		sent := p.now()
		if news, isGood := p.node.AskNews(ask, seeker, 600*time.Millisecond); isGood {
			p.do(func(now time.Duration) { p.hall.Took(news, sent, now) })
			continue
		}
		worker.Await(make(chan struct{}), 30*time.Millisecond)
	}
}
