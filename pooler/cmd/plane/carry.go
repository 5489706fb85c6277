package plane

import (
	"reflect"
	"time"

	"tansyseam.example/pooler/coordination/goes"
	"tansyseam.example/pooler/coordination/hall"
	"tansyseam.example/pooler/transport/run"
	"tansyseam.example/pooler/transport/web"
)

type arrival struct {
	job    *hall.Job
	answer web.Answer
}

var carriers map[reflect.Type]func(*Plane, hall.Effect)

func on[T hall.Effect](act func(*Plane, T)) {
	carriers[reflect.TypeFor[T]()] = func(p *Plane, effect hall.Effect) { act(p, effect.(T)) }
}

func init() {
	carriers = map[reflect.Type]func(*Plane, hall.Effect){}
	on(func(_ *Plane, tell hall.Tell) { tell.Job.Token.(chan hall.Result) <- tell.Result })
	on(func(p *Plane, admit hall.Admit) {
		if !p.admits.Push(admit.Job, admit.Job.Deadline()-p.now()) {
			p.giveUp(admit.Job)
		}
	})
	on(func(p *Plane, forward hall.Forward) {
		if !p.forward.Offer(forward.Job) {
			p.node.Counts.Add("forward_full", 1)
			p.step((*hall.Machine).NotForwarded)(forward.Job)
		}
	})
	on(func(p *Plane, send hall.Send) { p.send(send) })
	on(func(p *Plane, open hall.Open) { p.node.Crew.Go(func() { p.open(open) }) })
	on(func(_ *Plane, shut hall.Shut) {
		if session, isOpen := shut.Wire.Link.(*web.Session); isOpen {
			session.Close()
		}
	})
	on(func(p *Plane, seek hall.Seek) { p.node.Crew.Go(func() { p.seek(seek) }) })
	on(func(p *Plane, watch hall.Watch) { p.node.Crew.Go(func() { p.watch(watch.Instance) }) })
	on(func(p *Plane, _ hall.Report) { p.report() })
	on(func(p *Plane, turned hall.Turned) {
		after := turned.Moved.After
		p.log.Info("writer role", "database", turned.Moved.Database, "term", after.Term, "phase", after.Phase, "primary", after.Primary)
	})
	on(func(p *Plane, shown hall.Shown) { p.log.Info("bindings in force", "sequence", shown.Sequence) })
}

func (p *Plane) carry(effect hall.Effect) { carriers[reflect.TypeOf(effect)](p, effect) }

func (p *Plane) send(send hall.Send) {
	path, body := p.wires.Encode(send.Op)
	send.Wire.Link.(*web.Session).Do(path, body, func(answer web.Answer) {
		came := &arrival{job: send.Job, answer: answer}
		if !p.answer.Offer(came) {
			p.onAnswer(came)
		}
	})
}

func (p *Plane) onAnswer(came *arrival) {
	reply, err := hall.Reply{}, came.answer.Err
	if err == nil {
		reply, err = p.wires.Decode(came.answer.Status, came.answer.Body)
	}
	p.do(func(now time.Duration) { p.hall.Answered(came.job, reply, err != nil, now) })
}

func (p *Plane) open(open hall.Open) {
	session, err := p.client.Dial(open.Address, 600*time.Millisecond, func() {
		p.do(func(now time.Duration) { p.hall.Lost(open.Wire, now) })
	})
	var reply hall.Reply
	if err == nil {
		path, body := p.wires.Encode(hall.Op{Act: hall.ActOpen})
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

func (p *Plane) seek(seek hall.Seek) {
	ask := goes.Ask{Go: seek.Job.Go(), By: p.node.Place().Name}
	p.node.Counts.Add("goes_asked", 1)
	var answer goes.Answer
	isAnswered := false
	if node, isKnown := p.node.Find(seek.Target); isKnown {
		reply, err := p.node.Hub.Call(node.Link, ask, 800*time.Millisecond)
		answer, isAnswered = reply.(goes.Answer)
		isAnswered = isAnswered && err == nil
	}
	p.do(func(now time.Duration) { p.hall.Heard(seek.Job, seek.Target, answer, isAnswered, now) })
}

func run20() { run.Await(make(chan struct{}), 20*time.Millisecond) }

func (p *Plane) watch(name string) {
	var session *web.Session
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
