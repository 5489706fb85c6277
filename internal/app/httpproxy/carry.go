package httpproxy

import (
	"reflect"
	"time"

	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/transport/httpserver"
	"tansyseam/internal/transport/worker"
)

type arrival struct {
	job    *httppool.Job
	answer httpserver.Answer
}

var carriers map[reflect.Type]func(*Plane, httppool.Effect)

func on[T httppool.Effect](act func(*Plane, T)) {
	carriers[reflect.TypeFor[T]()] = func(p *Plane, effect httppool.Effect) { act(p, effect.(T)) }
}

func init() {
	carriers = map[reflect.Type]func(*Plane, httppool.Effect){}
	on(func(_ *Plane, tell httppool.Tell) { tell.Job.Token.(chan httppool.Result) <- tell.Result })
	on(func(p *Plane, admit httppool.Admit) {
		if !p.admits.Push(admit.Job, admit.Job.Deadline()-p.now()) {
			p.giveUp(admit.Job)
		}
	})
	on(func(p *Plane, forward httppool.Forward) {
		if !p.forward.Offer(forward.Job) {
			p.node.Counts.Add("forward_full", 1)
			p.step((*httppool.Machine).NotForwarded)(forward.Job)
		}
	})
	on(func(p *Plane, send httppool.Send) { p.send(send) })
	on(func(p *Plane, open httppool.Open) { p.node.Crew.Go(func() { p.open(open) }) })
	on(func(_ *Plane, shut httppool.Shut) {
		if session, isOpen := shut.Wire.Link.(*httpserver.Session); isOpen {
			session.Close()
		}
	})
	on(func(p *Plane, seek httppool.Seek) { p.node.Crew.Go(func() { p.seek(seek) }) })
	on(func(p *Plane, watch httppool.Watch) { p.node.Crew.Go(func() { p.watch(watch.Instance) }) })
	on(func(p *Plane, _ httppool.Report) { p.report() })
	on(func(p *Plane, turned httppool.Turned) {
		after := turned.Moved.After
		p.log.Info("writer role", "database", turned.Moved.Database, "term", after.Term, "phase", after.Phase, "primary", after.Primary)
	})
	on(func(p *Plane, shown httppool.Shown) { p.log.Info("bindings in force", "sequence", shown.Sequence) })
}

func (p *Plane) carry(effect httppool.Effect) { carriers[reflect.TypeOf(effect)](p, effect) }

func (p *Plane) send(send httppool.Send) {
	path, body := p.wires.Encode(send.Op)
	send.Wire.Link.(*httpserver.Session).Do(path, body, func(answer httpserver.Answer) {
		came := &arrival{job: send.Job, answer: answer}
		if !p.answer.Offer(came) {
			p.onAnswer(came)
		}
	})
}

func (p *Plane) onAnswer(came *arrival) {
	reply, err := httppool.Reply{}, came.answer.Err
	if err == nil {
		reply, err = p.wires.Decode(came.answer.Status, came.answer.Body)
	}
	p.do(func(now time.Duration) { p.hall.Answered(came.job, reply, err != nil, now) })
}

func (p *Plane) open(open httppool.Open) {
	session, err := p.client.Dial(open.Address, 600*time.Millisecond, func() {
		p.do(func(now time.Duration) { p.hall.Lost(open.Wire, now) })
	})
	var reply httppool.Reply
	if err == nil {
		path, body := p.wires.Encode(httppool.Op{Act: httppool.ActOpen})
		answer := session.Ask(path, body, time.Second)
		err = answer.Err
		if err == nil {
			reply, err = p.wires.Decode(answer.Status, answer.Body)
		}
	}
	p.do(func(now time.Duration) {
		if session != nil {
			open.Wire.Link = session
		}
		p.hall.Opened(open.Wire, reply, err == nil, now)
	})
}

func (p *Plane) seek(seek httppool.Seek) {
	ask := idempotency.Ask{Go: seek.Job.Go(), By: p.node.Place().Name}
	p.node.Counts.Add("goes_asked", 1)
	var answer idempotency.Answer
	isAnswered := false
	if node, isKnown := p.node.Find(seek.Target); isKnown {
		reply, err := p.node.Hub.Call(node.Link, ask, 800*time.Millisecond)
		answer, isAnswered = reply.(idempotency.Answer)
		isAnswered = isAnswered && err == nil
	}
	p.do(func(now time.Duration) { p.hall.Heard(seek.Job, seek.Target, answer, isAnswered, now) })
}

func run20() { worker.Await(make(chan struct{}), 20*time.Millisecond) }

func (p *Plane) watch(name string) {
	var session *httpserver.Session
	for !p.node.Crew.IsStopping() {
		p.mutex.Lock()
		address, after, isOn := p.hall.Following(name, p.now())
		p.mutex.Unlock()
		if !isOn {
			return
		}
		if session == nil || session.IsShut() || session.Address() != address {
			fresh, err := p.client.Dial(address, 500*time.Millisecond, nil)
			if err != nil {
				run20()
				run20()
				continue
			}
			session = fresh
		}
		sent := p.now()
		path, body := p.wires.Status(after, statusWait)
		answer := session.Ask(path, body, time.Second)
		if answer.Err != nil {
			session.Close()
			session = nil
			run20()
			continue
		}
		reply, err := p.wires.Decode(answer.Status, answer.Body)
		if err != nil || reply.IsFailed {
			run20()
			continue
		}
		p.do(func(now time.Duration) { p.hall.Looked(name, reply, sent, now) })
	}
}
