package httpproxy

import (
	"reflect"
	"time"

	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/transport/httpserver"
	"tansyseam/internal/transport/worker"
)

type instanceReply struct {
	request *httppool.Request
	answer  httpserver.Response
}

var effectHandlers map[reflect.Type]func(*Proxy, httppool.Effect)

func handleEffect[T httppool.Effect](act func(*Proxy, T)) {
	effectHandlers[reflect.TypeFor[T]()] = func(p *Proxy, effect httppool.Effect) { act(p, effect.(T)) }
}

func init() {
	effectHandlers = map[reflect.Type]func(*Proxy, httppool.Effect){}
	handleEffect(func(_ *Proxy, tell httppool.Respond) { tell.Request.Token.(chan httppool.Result) <- tell.Result })
	handleEffect(func(p *Proxy, admit httppool.Enqueue) {
		if !p.enqueueStage.Submit(admit.Request, admit.Request.Deadline()-p.now()) {
			p.cancel(admit.Request)
		}
	})
	handleEffect(func(p *Proxy, forward httppool.Forward) {
		if !p.forwardStage.TrySubmit(forward.Request) {
			p.node.Counters.Add("forward_full", 1)
			p.eventHandler((*httppool.Machine).ForwardFailed)(forward.Request)
		}
	})
	handleEffect(func(p *Proxy, send httppool.Send) { p.send(send) })
	handleEffect(func(p *Proxy, open httppool.OpenConn) { p.node.Workers.Go(func() { p.connect(open) }) })
	handleEffect(func(_ *Proxy, shut httppool.CloseConn) {
		if session, ok := shut.Conn.Transport.(*httpserver.ClientConn); ok {
			session.Close()
		}
	})
	handleEffect(func(p *Proxy, seek httppool.Lookup) { p.node.Workers.Go(func() { p.lookup(seek) }) })
	handleEffect(func(p *Proxy, watch httppool.Watch) { p.node.Workers.Go(func() { p.watchInstance(watch.Instance) }) })
	handleEffect(func(p *Proxy, _ httppool.Report) { p.sendReport() })
	handleEffect(func(p *Proxy, turned httppool.WriterChanged) {
		after := turned.Change.Current
		p.log.Info("writer role", "database", turned.Change.Database, "term", after.Term, "phase", after.Phase, "primary", after.Primary)
	})
	handleEffect(func(p *Proxy, shown httppool.BindingsActivated) {
		p.log.Info("bindings in force", "sequence", shown.Sequence)
	})
}

func (p *Proxy) execute(effect httppool.Effect) { effectHandlers[reflect.TypeOf(effect)](p, effect) }

func (p *Proxy) send(send httppool.Send) {
	path, body := p.codec.Encode(send.Op)
	send.Conn.Transport.(*httpserver.ClientConn).PostAsync(path, body, func(answer httpserver.Response) {
		received := &instanceReply{request: send.Request, answer: answer}
		if !p.replyStage.TrySubmit(received) {
			p.handleReply(received)
		}
	})
}

func (p *Proxy) handleReply(received *instanceReply) {
	reply, err := httppool.Reply{}, received.answer.Err
	if err == nil {
		reply, err = p.codec.Decode(received.answer.Status, received.answer.Body)
	}
	p.apply(func(now time.Duration) { p.pool.ReplyReceived(received.request, reply, err != nil, now) })
}

func (p *Proxy) connect(open httppool.OpenConn) {
	session, err := p.client.Dial(open.Address, 600*time.Millisecond, func() {
		p.apply(func(now time.Duration) { p.pool.ConnLost(open.Conn, now) })
	})
	var reply httppool.Reply
	if err == nil {
		path, body := p.codec.Encode(httppool.Op{Kind: httppool.OpOpen})
		answer := session.Post(path, body, time.Second)
		err = answer.Err
		if err == nil {
			reply, err = p.codec.Decode(answer.Status, answer.Body)
		}
	}
	p.apply(func(now time.Duration) {
		if session != nil {
			open.Conn.Transport = session
		}
		p.pool.ConnOpened(open.Conn, reply, err == nil, now)
	})
}

func (p *Proxy) lookup(seek httppool.Lookup) {
	request := idempotency.StatusRequest{RequestID: seek.Request.RequestID(), Requester: p.node.Config().Name}
	p.node.Counters.Add("goes_asked", 1)
	var status idempotency.Status
	answered := false
	if node, found := p.node.FindNode(seek.Node); found {
		reply, err := p.node.Hub.Call(node.RPCAddress, request, 800*time.Millisecond)
		status, answered = reply.(idempotency.Status)
		answered = answered && err == nil
	}
	p.apply(func(now time.Duration) { p.pool.LookupDone(seek.Request, seek.Node, status, answered, now) })
}

func pause() { worker.Await(make(chan struct{}), 20*time.Millisecond) }

func (p *Proxy) watchInstance(name string) {
	var session *httpserver.ClientConn
	for !p.node.Workers.IsStopping() {
		p.mutex.Lock()
		address, after, active := p.pool.WatchTarget(name, p.now())
		p.mutex.Unlock()
		if !active {
			return
		}
		if session == nil || session.IsClosed() || session.Address() != address {
			fresh, err := p.client.Dial(address, 500*time.Millisecond, nil)
			if err != nil {
				pause()
				pause()
				continue
			}
			session = fresh
		}
		sent := p.now()
		path, body := p.codec.EncodeStatusRequest(after, statusWaitMS)
		answer := session.Post(path, body, time.Second)
		if answer.Err != nil {
			session.Close()
			session = nil
			pause()
			continue
		}
		reply, err := p.codec.Decode(answer.Status, answer.Body)
		if err != nil || reply.Failed {
			pause()
			continue
		}
		p.apply(func(now time.Duration) { p.pool.InstanceStatusReceived(name, reply, sent, now) })
	}
}
