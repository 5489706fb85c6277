// Package lineproxy is the data plane's program where clients and instances
// speak a line protocol: it joins the machine of package pool to connections
// and to the control plane. Lock order: Sessions.mutex, then the node's.
// Effects are carried out under the lock, in order; none of them blocks.
package lineproxy

import (
	"reflect"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/coordination/pool/linepool"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/lineserver"
	"tansyseam/internal/transport/worker"
)

// Sessions is the program's state.
type Proxy struct {
	node   *node.Node
	log    hclog.Logger
	codec  lineproto.Codec
	engine *lineserver.Server
	name   string
	// lingerLeast and drainMost bound a stop.
	minDrain, maxDrain time.Duration

	mutex     sync.Mutex
	pool      *linepool.Machine
	buffer    []byte
	ready     bool
	reporting bool
	isLeaving bool

	liveNames   []string
	liveNamesAt time.Duration
}

// Open makes the program; Start begins to serve.
func Open(node *node.Node, codec lineproto.Codec) (*Proxy, error) {
	place := node.Config()
	self := linepool.Node{Name: place.Name, Zone: place.Zone, Incarnation: node.Self().Incarnation, Weight: place.Weight}
	timing := linepool.DefaultTiming().Within(place.ShutdownGrace, place.InstanceDrain)
	p := &Proxy{
		minDrain: timing.Linger + 200*time.Millisecond, maxDrain: timing.EndSessions + 200*time.Millisecond,
		node: node, log: node.Log, codec: codec, name: place.Name,
		pool: linepool.New(self, timing, lease.DefaultTiming(), node.Counters.Add),
	}
	p.engine = lineserver.NewServer(node.Workers, place.LineAddress, lineproto.MaxLineBytes, p.acceptClient)
	node.ForwardUpdateRequests(800 * time.Millisecond)
	p.adminCalls().Register()
	return p, nil
}

// Start begins to ask for news and to serve.
func (p *Proxy) Start() error {
	if err := p.engine.Start(); err != nil {
		return errors.Trace(err)
	}
	p.node.Workers.Go(p.pollUpdates)
	p.node.Workers.Loop(nil, tickInterval, p.tick)
	return nil
}

const tickInterval = 25 * time.Millisecond

func (p *Proxy) now() time.Duration { return p.node.Now() }

func (p *Proxy) withPool(act func(now time.Duration)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	act(p.now())
	p.applyEffects()
}

func (p *Proxy) applyEffects() {
	for _, effect := range p.pool.Effects() {
		effectHandlers[reflect.TypeOf(effect)](p, effect)
	}
}

func (p *Proxy) tick() {
	live, weight := p.liveNodes(), p.node.Config().Weight
	p.withPool(func(now time.Duration) {
		p.pool.Tick(live, weight, now)
		ready, reason := p.pool.Ready(now)
		if ready != p.ready {
			p.ready = ready
			p.node.Counters.Add("ready_turns", 1)
			p.log.Info("ready", "is", ready, "why", reason)
		}
	})
}

// liveEvery is how old the names may be by which connections are shared.
const liveNamesTTL = 250 * time.Millisecond

// live names the data-plane nodes that live. Only the beat calls it.
func (p *Proxy) liveNodes() []string {
	if now := p.now(); p.liveNames == nil || now-p.liveNamesAt >= liveNamesTTL {
		p.liveNames, p.liveNamesAt = p.liveNames[:0], now
		for _, node := range p.node.Nodes(model.KindProxy, membership.StatusLive) {
			p.liveNames = append(p.liveNames, node.Name)
		}
	}
	return p.liveNames
}

type clientConn struct {
	proxy  *Proxy
	conn   *lineserver.Conn
	client *linepool.Client
}

func (p *Proxy) acceptClient(conn *lineserver.Conn) lineserver.Handler {
	c := &clientConn{proxy: p, conn: conn}
	p.withPool(func(now time.Duration) { c.client = p.pool.Accept(c, now) })
	if c.client == nil {
		conn.Write(p.codec.Error(nil, lineproto.CodeBusy, "this node has as many sessions as it takes; come back in 1000 ms"))
		conn.Close()
	}
	return c
}

type clientMessageHandler func(p *Proxy, c *linepool.Client, message lineproto.Message, now time.Duration)

var clientMessageHandlers = map[lineproto.Kind]clientMessageHandler{
	lineproto.KindConnect: func(p *Proxy, c *linepool.Client, message lineproto.Message, now time.Duration) {
		p.pool.Connect(c, message.Database, now)
	},
	lineproto.KindQuery: func(p *Proxy, c *linepool.Client, message lineproto.Message, now time.Duration) {
		p.pool.Query(c, linepool.Query{ID: message.ID, Text: message.Text, Statement: p.codec.ParseStatement(message.Text)}, now)
	},
	lineproto.KindTerminate: func(p *Proxy, c *linepool.Client, _ lineproto.Message, now time.Duration) { p.pool.Terminate(c, now) },
}

// Lines takes what a client sent.
func (c *clientConn) OnLines(lines [][]byte) {
	p := c.proxy
	if c.client == nil {
		return
	}
	messages := make([]lineproto.Message, len(lines))
	for at, line := range lines {
		messages[at] = p.codec.Parse(string(line))
	}
	p.withPool(func(now time.Duration) {
		for _, message := range messages {
			act, found := clientMessageHandlers[message.Kind]
			if !found {
				p.pool.ProtocolError(c.client, lineproto.CodeMalformed, "not a message", now)
				continue
			}
			act(p, c.client, message, now)
		}
	})
}

// Ended tells that a client's connection is over.
func (c *clientConn) OnClose(err error) {
	if c.client == nil {
		return
	}
	if errors.Is(err, lineserver.ErrLineTooLong) {
		c.proxy.node.Counters.Add("clients_too_long", 1)
	}
	c.proxy.withPool(func(now time.Duration) { c.proxy.pool.ClientLost(c.client, now) })
}

type instanceConn struct {
	proxy *Proxy
	conn  *linepool.Conn
}

// Lines takes what an instance sent.
func (b *instanceConn) OnLines(lines [][]byte) {
	p := b.proxy
	messages := make([]lineproto.Message, len(lines))
	for at, line := range lines {
		messages[at] = p.codec.Parse(string(line))
	}
	p.withPool(func(now time.Duration) {
		for _, message := range messages {
			p.pool.Received(b.conn, message, now)
		}
	})
}

// Ended tells that an instance's connection is over.
func (b *instanceConn) OnClose(error) {
	b.proxy.withPool(func(now time.Duration) { b.proxy.pool.ConnLost(b.conn, now) })
}

var effectHandlers map[reflect.Type]func(*Proxy, linepool.Effect)

func handle[T linepool.Effect](act func(*Proxy, T)) {
	effectHandlers[reflect.TypeFor[T]()] = func(p *Proxy, effect linepool.Effect) { act(p, effect.(T)) }
}

func init() {
	effectHandlers = map[reflect.Type]func(*Proxy, linepool.Effect){}
	handle((*Proxy).respond)
	handle(func(_ *Proxy, over linepool.CloseClient) { over.Client.Token.(*clientConn).conn.Close() })
	handle((*Proxy).open)
	handle((*Proxy).send)
	handle(func(_ *Proxy, shut linepool.CloseConn) {
		if conn, ok := shut.Conn.Transport.(*lineserver.Conn); ok {
			conn.Close()
		}
	})
	handle(func(p *Proxy, _ linepool.Report) { p.report() })
	handle(func(p *Proxy, turned linepool.WriterChanged) {
		after := turned.Change.Current
		p.log.Info("writer role", "database", turned.Change.Database, "term", after.Term, "phase", after.Phase, "primary", after.Primary)
	})
	handle(func(p *Proxy, shown linepool.BindingsActivated) {
		p.log.Info("bindings in force", "sequence", shown.Set.Sequence, "version", shown.Set.Version)
	})
}

var messageEncoders = map[lineproto.Kind]func(lineproto.Codec, []byte, lineproto.Message) []byte{
	lineproto.KindReady: func(codec lineproto.Codec, to []byte, one lineproto.Message) []byte {
		return codec.Ready(to, one.State, one.Position)
	},
	lineproto.KindRow: func(codec lineproto.Codec, to []byte, one lineproto.Message) []byte {
		return codec.Row(to, one.Payload)
	},
	lineproto.KindDone: func(codec lineproto.Codec, to []byte, one lineproto.Message) []byte {
		return codec.Done(to, one.Payload)
	},
	lineproto.KindError: func(codec lineproto.Codec, to []byte, one lineproto.Message) []byte {
		if one.Payload != "" {
			return codec.RawError(to, one.Payload)
		}
		return codec.Error(to, one.Code, one.Text)
	},
}

func (p *Proxy) respond(say linepool.Respond) {
	p.buffer = p.buffer[:0]
	for _, one := range say.Messages {
		p.buffer = messageEncoders[one.Kind](p.codec, p.buffer, one)
	}
	say.Client.Token.(*clientConn).conn.Write(p.buffer)
}

func (p *Proxy) open(open linepool.OpenConn) {
	handler := &instanceConn{proxy: p, conn: open.Conn}
	first := p.codec.Connect(nil, open.Database, p.name, open.Instance)
	p.engine.Dial(open.Address, first, 800*time.Millisecond, handler, func(conn *lineserver.Conn) {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		open.Conn.Transport = conn
		if open.Conn.IsClosed() {
			conn.Close()
		}
	})
}

var commandTexts = map[linepool.CommandKind]func(lineproto.Codec, linepool.Command) string{
	linepool.CommandText:          func(_ lineproto.Codec, out linepool.Command) string { return out.Text },
	linepool.CommandBegin:         func(codec lineproto.Codec, _ linepool.Command) string { return codec.Begin(false) },
	linepool.CommandBeginReadOnly: func(codec lineproto.Codec, _ linepool.Command) string { return codec.Begin(true) },
	linepool.CommandRollback:      func(codec lineproto.Codec, _ linepool.Command) string { return codec.Rollback() },
	linepool.CommandReset:         func(codec lineproto.Codec, _ linepool.Command) string { return codec.Reset() },
	linepool.CommandSet:           func(codec lineproto.Codec, out linepool.Command) string { return codec.Set(out.Name, out.Value) },
	linepool.CommandPrepare:       func(codec lineproto.Codec, out linepool.Command) string { return codec.Prepare(out.Name, out.Value) },
	linepool.CommandExecute:       func(codec lineproto.Codec, out linepool.Command) string { return codec.Execute(out.Name, out.Value) },
}

func (p *Proxy) send(send linepool.Send) {
	p.buffer = p.buffer[:0]
	for _, out := range send.Commands {
		p.buffer = p.codec.Query(p.buffer, out.ID, commandTexts[out.Kind](p.codec, out), out.MinPosition)
	}
	if conn, ok := send.Conn.Transport.(*lineserver.Conn); ok {
		conn.Write(p.buffer)
	}
}

// Drain makes the node unready, goes on until the platform has taken it from
// its list, then ends sessions as they rest, and what is open by half of the
// grace.
func (p *Proxy) Drain() {
	p.log.Info("stopping: no new sessions")
	p.node.Leave()
	p.withPool(p.pool.Drain)
	began := p.now()
	isOver := func() bool {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		return p.pool.IsDrained() && p.now()-began > p.minDrain
	}
	for p.now()-began < p.maxDrain && !isOver() {
		worker.Await(make(chan struct{}), 20*time.Millisecond)
	}
	p.mutex.Lock()
	left := p.pool.Clients()
	p.mutex.Unlock()
	p.log.Info("stopped", "sessions", left)
	p.engine.Stop()
}

func (p *Proxy) report() {
	if p.reporting {
		return
	}
	p.reporting = true
	p.node.Workers.Go(func() {
		worker.Await(make(chan struct{}), 5*time.Millisecond)
		var told distribution.NodeReport
		p.withPool(func(now time.Duration) {
			p.reporting = false
			told = p.pool.Observations(now)
		})
		if address, _ := p.node.ControlPrimary(); address != "" {
			p.node.Hub.Send(address, told)
		}
	})
}
