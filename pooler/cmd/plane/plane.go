// Package plane is the data plane's program: it joins the machine of package
// hall to doors, links and instances. A request goes from the door through
// the stages bind, admit, select, forward and answer, joined by bounded
// queues. Lock order: Plane.mutex, then the node's, then a session's.
package plane

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"tansyseam.example/pooler/cmd/fleet"
	"tansyseam.example/pooler/coordination/goes"
	"tansyseam.example/pooler/coordination/hall"
	"tansyseam.example/pooler/coordination/steer"
	"tansyseam.example/pooler/protocol/dialect"
	"tansyseam.example/pooler/state/view"
	"tansyseam.example/pooler/transport/run"
	"tansyseam.example/pooler/transport/web"
)

const (
	statusWait  = 80
	finishBound = 5500 * time.Millisecond
)

// Plane is the program's state.
type Plane struct {
	node   *fleet.Node
	log    hclog.Logger
	client *web.Client
	wires  dialect.Wire

	mutex     sync.Mutex
	hall      *hall.Machine
	isTelling bool
	wasReady  bool

	bind    *run.Stage[*hall.Job]
	admits  *run.Stage[*hall.Job]
	forward *run.Stage[*hall.Job]
	answer  *run.Stage[*arrival]
}

// Open makes the program; Start begins to serve.
func Open(node *fleet.Node) (*Plane, error) {
	place := node.Place()
	host, _, _ := net.SplitHostPort(place.Link)
	client, err := web.NewClient(host, node.Crew)
	if err != nil {
		return nil, errors.Trace(err)
	}
	self := hall.Place{Name: place.Name, Zone: place.Zone, Birth: fmt.Sprintf("%x", node.Self().Birth), Beta: place.Weight}
	p := &Plane{
		node: node, log: node.Log, client: client, wires: dialect.JSON(), hall: hall.New(self, hall.DefaultTiming(), node.Counts.Add),
	}
	p.bind = run.NewStage(node.Crew, "bind", 512, 8, p.step((*hall.Machine).Bind))
	p.admits = run.NewStage(node.Crew, "admit", 512, 2, p.step((*hall.Machine).Join))
	p.forward = run.NewStage(node.Crew, "forward", 4096, 8, p.step((*hall.Machine).Pass))
	p.answer = run.NewStage(node.Crew, "answer", 8192, 4, p.onAnswer)
	node.OnInstance(func(info view.Instance) {
		p.do(func(now time.Duration) { p.hall.Announced(info, now) })
	})
	node.OnGone(func(remote string) {
		p.do(func(now time.Duration) { p.hall.Gone(remote, now) })
	})
	node.OnPassNews(500 * time.Millisecond)
	fleet.On(node, func(_ string, ask goes.Ask, answer func(any)) {
		p.do(func(now time.Duration) { answer(p.hall.OnAsk(ask, now)) })
	})
	fleet.On(node, func(_ string, left goes.Legacy, answer func(any)) {
		p.do(func(now time.Duration) { p.hall.Inherit(left, now) })
		answer(goes.LegacyTaken{})
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

func (p *Plane) step(event func(*hall.Machine, *hall.Job, time.Duration)) func(*hall.Job) {
	return func(j *hall.Job) {
		p.do(func(now time.Duration) { event(p.hall, j, now) })
	}
}

func (p *Plane) giveUp(j *hall.Job) { p.step((*hall.Machine).GiveUp)(j) }

func (p *Plane) beat() {
	count, beta := p.node.Count(view.KindData), p.node.Place().Weight
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
	seeker := &fleet.Seeker{}
	for !p.node.Crew.IsStopping() {
		var ask steer.AskNews
		p.do(func(now time.Duration) { ask = p.hall.Ask(now) })
		sent := p.now()
		if news, isGood := p.node.AskNews(ask, seeker, 600*time.Millisecond); isGood {
			p.do(func(now time.Duration) { p.hall.Took(news, sent, now) })
			continue
		}
		run.Await(make(chan struct{}), 30*time.Millisecond)
	}
}
