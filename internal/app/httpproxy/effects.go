package httpproxy

import (
	"reflect"
	"time"

	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/transport/httpserver"
)

// lookupTimeout bounds the wait for another node's answer about a request id.
const lookupTimeout = 800 * time.Millisecond

var effectHandlers = map[reflect.Type]func(*Proxy, httppool.Effect){}

func handleEffect[T httppool.Effect](handle func(*Proxy, T)) {
	effectHandlers[reflect.TypeFor[T]()] = func(p *Proxy, effect httppool.Effect) { handle(p, effect.(T)) }
}

func init() {
	handleEffect((*Proxy).respond)
	handleEffect((*Proxy).enqueue)
	handleEffect((*Proxy).forward)
	handleEffect((*Proxy).send)
	handleEffect(func(p *Proxy, open httppool.OpenConn) { p.node.Workers.Go(func() { p.connect(open) }) })
	handleEffect((*Proxy).closeConn)
	handleEffect(func(p *Proxy, lookup httppool.Lookup) { p.node.Workers.Go(func() { p.lookup(lookup) }) })
	handleEffect(func(p *Proxy, watch httppool.Watch) { p.node.Workers.Go(func() { p.watchInstance(watch.Instance) }) })
	handleEffect(func(p *Proxy, _ httppool.Report) { p.control.ScheduleReport() })
	handleEffect((*Proxy).logWriterChange)
	handleEffect((*Proxy).logActivation)
}

func (p *Proxy) execute(effect httppool.Effect) { effectHandlers[reflect.TypeOf(effect)](p, effect) }

func (p *Proxy) respond(effect httppool.Respond) {
	effect.Request.Token.(chan httppool.Result) <- effect.Result
}

func (p *Proxy) enqueue(effect httppool.Enqueue) {
	if !p.enqueueStage.Submit(effect.Request, effect.Request.Deadline()-p.now()) {
		p.cancel(effect.Request)
	}
}

func (p *Proxy) forward(effect httppool.Forward) {
	if !p.forwardStage.TrySubmit(effect.Request) {
		p.node.Counters.Add("forward_full", 1)
		p.requestHandler((*httppool.Machine).ForwardFailed)(effect.Request)
	}
}

func (p *Proxy) closeConn(effect httppool.CloseConn) {
	if conn, connected := effect.Conn.Transport.(*httpserver.ClientConn); connected {
		conn.Close()
	}
}

func (p *Proxy) logWriterChange(effect httppool.WriterChanged) {
	writer := effect.Change.Current
	p.log.Info("writer role changed", "database", effect.Change.Database, "term", writer.Term, "phase", writer.Phase, "primary", writer.Primary)
}

func (p *Proxy) logActivation(effect httppool.BindingsActivated) {
	p.log.Info("bindings in force", "sequence", effect.Set.Sequence)
}

// lookup asks another node for the status of a request id.
func (p *Proxy) lookup(effect httppool.Lookup) {
	request := idempotency.StatusRequest{RequestID: effect.Request.RequestID(), Requester: p.node.Config().Name}
	p.node.Counters.Add("goes_asked", 1)
	var status idempotency.Status
	answered := false
	if peer, found := p.node.FindNode(effect.Node); found {
		reply, err := p.node.Hub.Call(peer.RPCAddress, request, lookupTimeout)
		status, answered = reply.(idempotency.Status)
		answered = answered && err == nil
	}
	p.apply(func(now time.Duration) { p.pool.LookupDone(effect.Request, effect.Node, status, answered, now) })
}
