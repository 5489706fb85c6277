// Package sessions is the data plane's program where clients and instances
// speak a line protocol: it joins the machine of package pool to connections
// and to the control plane. Lock order: Sessions.mutex, then the node's.
// Effects are carried out under the lock, in order; none of them blocks.
package sessions

import (
	"reflect"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"tansyseam.example/pooler/cmd/fleet"
	"tansyseam.example/pooler/coordination/lease"
	"tansyseam.example/pooler/coordination/member"
	"tansyseam.example/pooler/coordination/pool"
	"tansyseam.example/pooler/coordination/steer"
	"tansyseam.example/pooler/state/stream"
	"tansyseam.example/pooler/state/view"
	"tansyseam.example/pooler/transport/run"
	"tansyseam.example/pooler/transport/wire"
)

// Sessions is the program's state.
type Sessions struct {
	node   *fleet.Node
	log    hclog.Logger
	codec  stream.Codec
	engine *wire.Engine
	who    string
	// lingerLeast and drainMost bound a stop.
	lingerLeast, drainMost time.Duration

	mutex     sync.Mutex
	pool      *pool.Machine
	buffer    []byte
	wasReady  bool
	isTelling bool
	isLeaving bool

	names []string
	named time.Duration
}

// Open makes the program; Start begins to serve.
func Open(node *fleet.Node, codec stream.Codec) (*Sessions, error) {
	place := node.Place()
	self := pool.Place{Name: place.Name, Zone: place.Zone, Birth: node.Self().Birth, Beta: place.Weight}
	timing := pool.DefaultTiming().Within(place.Grace, place.Drain)
	s := &Sessions{
		lingerLeast: timing.Linger + 200*time.Millisecond, drainMost: timing.Finish + 200*time.Millisecond,
		node: node, log: node.Log, codec: codec, who: place.Name,
		pool: pool.New(self, timing, lease.DefaultTiming(), node.Counts.Add),
	}
	s.engine = wire.New(node.Crew, place.Sessions, stream.Longest, s.greet)
	node.OnPassNews(800 * time.Millisecond)
	s.shown().Register()
	return s, nil
}

// Start begins to ask for news and to serve.
func (s *Sessions) Start() error {
	if err := s.engine.Start(); err != nil {
		return errors.Trace(err)
	}
	s.node.Crew.Go(s.askNews)
	s.node.Crew.Loop(nil, beatEvery, s.beat)
	return nil
}

const beatEvery = 25 * time.Millisecond

func (s *Sessions) now() time.Duration { return s.node.Now() }

func (s *Sessions) do(act func(now time.Duration)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	act(s.now())
	s.flush()
}

func (s *Sessions) flush() {
	for _, effect := range s.pool.Effects() {
		carriers[reflect.TypeOf(effect)](s, effect)
	}
}

func (s *Sessions) beat() {
	live, beta := s.live(), s.node.Place().Weight
	s.do(func(now time.Duration) {
		s.pool.Beat(live, beta, now)
		isReady, why := s.pool.Ready(now)
		if isReady != s.wasReady {
			s.wasReady = isReady
			s.node.Counts.Add("ready_turns", 1)
			s.log.Info("ready", "is", isReady, "why", why)
		}
	})
}

// liveEvery is how old the names may be by which connections are shared.
const liveEvery = 250 * time.Millisecond

// live names the data-plane nodes that live. Only the beat calls it.
func (s *Sessions) live() []string {
	if now := s.now(); s.names == nil || now-s.named >= liveEvery {
		s.names, s.named = s.names[:0], now
		for _, node := range s.node.Nodes(view.KindData, member.IsLive) {
			s.names = append(s.names, node.Name)
		}
	}
	return s.names
}

type client struct {
	sessions *Sessions
	conn     *wire.Conn
	client   *pool.Client
}

func (s *Sessions) greet(conn *wire.Conn) wire.Handler {
	c := &client{sessions: s, conn: conn}
	s.do(func(now time.Duration) { c.client = s.pool.Met(c, now) })
	if c.client == nil {
		conn.Write(s.codec.Error(nil, stream.CodeBusy, "this node has as many sessions as it takes; come back in 1000 ms"))
		conn.Close()
	}
	return c
}

type asker func(s *Sessions, c *pool.Client, message stream.Message, now time.Duration)

var askers = map[stream.Kind]asker{
	stream.KindConnect: func(s *Sessions, c *pool.Client, message stream.Message, now time.Duration) {
		s.pool.Connect(c, message.Database, now)
	},
	stream.KindQuery: func(s *Sessions, c *pool.Client, message stream.Message, now time.Duration) {
		s.pool.Query(c, pool.Asked{ID: message.ID, Text: message.Text, Statement: s.codec.Read(message.Text)}, now)
	},
	stream.KindBye: func(s *Sessions, c *pool.Client, _ stream.Message, now time.Duration) { s.pool.Bye(c, now) },
}

// Lines takes what a client sent.
func (c *client) Lines(lines [][]byte) {
	s := c.sessions
	if c.client == nil {
		return
	}
	messages := make([]stream.Message, len(lines))
	for at, line := range lines {
		messages[at] = s.codec.Parse(string(line))
	}
	s.do(func(now time.Duration) {
		for _, message := range messages {
			act, isKnown := askers[message.Kind]
			if !isKnown {
				s.pool.Bad(c.client, stream.CodeMalformed, "not a message", now)
				continue
			}
			act(s, c.client, message, now)
		}
	})
}

// Ended tells that a client's connection is over.
func (c *client) Ended(err error) {
	if c.client == nil {
		return
	}
	if errors.Is(err, wire.ErrTooLong) {
		c.sessions.node.Counts.Add("clients_too_long", 1)
	}
	c.sessions.do(func(now time.Duration) { c.sessions.pool.Gone(c.client, now) })
}

type server struct {
	sessions *Sessions
	conn     *pool.Conn
}

// Lines takes what an instance sent.
func (b *server) Lines(lines [][]byte) {
	s := b.sessions
	messages := make([]stream.Message, len(lines))
	for at, line := range lines {
		messages[at] = s.codec.Parse(string(line))
	}
	s.do(func(now time.Duration) {
		for _, message := range messages {
			s.pool.Came(b.conn, message, now)
		}
	})
}

// Ended tells that an instance's connection is over.
func (b *server) Ended(error) {
	b.sessions.do(func(now time.Duration) { b.sessions.pool.Lost(b.conn, now) })
}

var carriers map[reflect.Type]func(*Sessions, pool.Effect)

func on[T pool.Effect](act func(*Sessions, T)) {
	carriers[reflect.TypeFor[T]()] = func(s *Sessions, effect pool.Effect) { act(s, effect.(T)) }
}

func init() {
	carriers = map[reflect.Type]func(*Sessions, pool.Effect){}
	on((*Sessions).say)
	on(func(_ *Sessions, over pool.Close) { over.Client.Token.(*client).conn.Close() })
	on((*Sessions).open)
	on((*Sessions).send)
	on(func(_ *Sessions, shut pool.Shut) {
		if conn, isOpen := shut.Conn.Link.(*wire.Conn); isOpen {
			conn.Close()
		}
	})
	on(func(s *Sessions, _ pool.Report) { s.report() })
	on(func(s *Sessions, turned pool.Turned) {
		after := turned.Moved.After
		s.log.Info("writer role", "database", turned.Moved.Database, "term", after.Term, "phase", after.Phase, "primary", after.Primary)
	})
	on(func(s *Sessions, shown pool.Shown) {
		s.log.Info("bindings in force", "sequence", shown.Set.Sequence, "version", shown.Set.Version)
	})
}

var sayers = map[stream.Kind]func(stream.Codec, []byte, stream.Message) []byte{
	stream.KindReady: func(codec stream.Codec, to []byte, one stream.Message) []byte {
		return codec.Ready(to, one.State, one.Position)
	},
	stream.KindRow:  func(codec stream.Codec, to []byte, one stream.Message) []byte { return codec.Row(to, one.Tail) },
	stream.KindDone: func(codec stream.Codec, to []byte, one stream.Message) []byte { return codec.Done(to, one.Tail) },
	stream.KindError: func(codec stream.Codec, to []byte, one stream.Message) []byte {
		if one.Tail != "" {
			return codec.Fault(to, one.Tail)
		}
		return codec.Error(to, one.Code, one.Text)
	},
}

func (s *Sessions) say(say pool.Say) {
	s.buffer = s.buffer[:0]
	for _, one := range say.Messages {
		s.buffer = sayers[one.Kind](s.codec, s.buffer, one)
	}
	say.Client.Token.(*client).conn.Write(s.buffer)
}

func (s *Sessions) open(open pool.Open) {
	handler := &server{sessions: s, conn: open.Conn}
	first := s.codec.Connect(nil, open.Database, s.who, open.Instance)
	s.engine.Open(open.Address, first, 800*time.Millisecond, handler, func(conn *wire.Conn) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		open.Conn.Link = conn
		if open.Conn.IsOver() {
			conn.Close()
		}
	})
}

var writers = map[pool.OutKind]func(stream.Codec, pool.Out) string{
	pool.OutText:      func(_ stream.Codec, out pool.Out) string { return out.Text },
	pool.OutBegin:     func(codec stream.Codec, _ pool.Out) string { return codec.Begin(false) },
	pool.OutBeginRead: func(codec stream.Codec, _ pool.Out) string { return codec.Begin(true) },
	pool.OutRollback:  func(codec stream.Codec, _ pool.Out) string { return codec.Rollback() },
	pool.OutReset:     func(codec stream.Codec, _ pool.Out) string { return codec.Reset() },
	pool.OutSet:       func(codec stream.Codec, out pool.Out) string { return codec.Set(out.Name, out.Value) },
	pool.OutPrepare:   func(codec stream.Codec, out pool.Out) string { return codec.Prepare(out.Name, out.Value) },
	pool.OutRun:       func(codec stream.Codec, out pool.Out) string { return codec.Run(out.Name, out.Value) },
}

func (s *Sessions) send(send pool.Send) {
	s.buffer = s.buffer[:0]
	for _, out := range send.Outs {
		s.buffer = s.codec.Query(s.buffer, out.ID, writers[out.Kind](s.codec, out), out.Floor)
	}
	if conn, isOpen := send.Conn.Link.(*wire.Conn); isOpen {
		conn.Write(s.buffer)
	}
}

// Drain makes the node unready, goes on until the platform has taken it from
// its list, then ends sessions as they rest, and what is open by half of the
// grace.
func (s *Sessions) Drain() {
	s.log.Info("stopping: no new sessions")
	s.node.Leave()
	s.do(s.pool.Leave)
	began := s.now()
	isOver := func() bool {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return s.pool.IsDrained() && s.now()-began > s.lingerLeast
	}
	for s.now()-began < s.drainMost && !isOver() {
		run.Await(make(chan struct{}), 20*time.Millisecond)
	}
	s.mutex.Lock()
	left := s.pool.Clients()
	s.mutex.Unlock()
	s.log.Info("stopped", "sessions", left)
	s.engine.Stop()
}

func (s *Sessions) report() {
	if s.isTelling {
		return
	}
	s.isTelling = true
	s.node.Crew.Go(func() {
		run.Await(make(chan struct{}), 5*time.Millisecond)
		var told steer.Told
		s.do(func(now time.Duration) {
			s.isTelling = false
			told = s.pool.Told(now)
		})
		if address, _ := s.node.Primary(); address != "" {
			s.node.Hub.Send(address, told)
		}
	})
}
