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
type Sessions struct {
	node   *node.Node
	log    hclog.Logger
	codec  lineproto.Codec
	engine *lineserver.Engine
	who    string
	// lingerLeast and drainMost bound a stop.
	lingerLeast, drainMost time.Duration

	mutex     sync.Mutex
	pool      *linepool.Machine
	buffer    []byte
	wasReady  bool
	isTelling bool
	isLeaving bool

	names []string
	named time.Duration
}

// Open makes the program; Start begins to serve.
func Open(node *node.Node, codec lineproto.Codec) (*Sessions, error) {
	place := node.Place()
	self := linepool.Place{Name: place.Name, Zone: place.Zone, Birth: node.Self().Birth, Beta: place.Weight}
	timing := linepool.DefaultTiming().Within(place.Grace, place.Drain)
	s := &Sessions{
		lingerLeast: timing.Linger + 200*time.Millisecond, drainMost: timing.Finish + 200*time.Millisecond,
		node: node, log: node.Log, codec: codec, who: place.Name,
		pool: linepool.New(self, timing, lease.DefaultTiming(), node.Counts.Add),
	}
	s.engine = lineserver.New(node.Crew, place.Sessions, lineproto.Longest, s.greet)
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
		for _, node := range s.node.Nodes(model.KindData, membership.IsLive) {
			s.names = append(s.names, node.Name)
		}
	}
	return s.names
}

type client struct {
	sessions *Sessions
	conn     *lineserver.Conn
	client   *linepool.Client
}

func (s *Sessions) greet(conn *lineserver.Conn) lineserver.Handler {
	c := &client{sessions: s, conn: conn}
	s.do(func(now time.Duration) { c.client = s.pool.Met(c, now) })
	if c.client == nil {
		conn.Write(s.codec.Error(nil, lineproto.CodeBusy, "this node has as many sessions as it takes; come back in 1000 ms"))
		conn.Close()
	}
	return c
}

type asker func(s *Sessions, c *linepool.Client, message lineproto.Message, now time.Duration)

var askers = map[lineproto.Kind]asker{
	lineproto.KindConnect: func(s *Sessions, c *linepool.Client, message lineproto.Message, now time.Duration) {
		s.pool.Connect(c, message.Database, now)
	},
	lineproto.KindQuery: func(s *Sessions, c *linepool.Client, message lineproto.Message, now time.Duration) {
		s.pool.Query(c, linepool.Asked{ID: message.ID, Text: message.Text, Statement: s.codec.Read(message.Text)}, now)
	},
	lineproto.KindBye: func(s *Sessions, c *linepool.Client, _ lineproto.Message, now time.Duration) { s.pool.Bye(c, now) },
}

// Lines takes what a client sent.
func (c *client) Lines(lines [][]byte) {
	s := c.sessions
	if c.client == nil {
		return
	}
	messages := make([]lineproto.Message, len(lines))
	for at, line := range lines {
		messages[at] = s.codec.Parse(string(line))
	}
	s.do(func(now time.Duration) {
		for _, message := range messages {
			act, isKnown := askers[message.Kind]
			if !isKnown {
				s.pool.Bad(c.client, lineproto.CodeMalformed, "not a message", now)
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
	if errors.Is(err, lineserver.ErrTooLong) {
		c.sessions.node.Counts.Add("clients_too_long", 1)
	}
	c.sessions.do(func(now time.Duration) { c.sessions.pool.Gone(c.client, now) })
}

type server struct {
	sessions *Sessions
	conn     *linepool.Conn
}

// Lines takes what an instance sent.
func (b *server) Lines(lines [][]byte) {
	s := b.sessions
	messages := make([]lineproto.Message, len(lines))
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

var carriers map[reflect.Type]func(*Sessions, linepool.Effect)

func on[T linepool.Effect](act func(*Sessions, T)) {
	carriers[reflect.TypeFor[T]()] = func(s *Sessions, effect linepool.Effect) { act(s, effect.(T)) }
}

func init() {
	carriers = map[reflect.Type]func(*Sessions, linepool.Effect){}
	on((*Sessions).say)
	on(func(_ *Sessions, over linepool.Close) { over.Client.Token.(*client).conn.Close() })
	on((*Sessions).open)
	on((*Sessions).send)
	on(func(_ *Sessions, shut linepool.Shut) {
		if conn, isOpen := shut.Conn.Link.(*lineserver.Conn); isOpen {
			conn.Close()
		}
	})
	on(func(s *Sessions, _ linepool.Report) { s.report() })
	on(func(s *Sessions, turned linepool.Turned) {
		after := turned.Moved.After
		s.log.Info("writer role", "database", turned.Moved.Database, "term", after.Term, "phase", after.Phase, "primary", after.Primary)
	})
	on(func(s *Sessions, shown linepool.Shown) {
		s.log.Info("bindings in force", "sequence", shown.Set.Sequence, "version", shown.Set.Version)
	})
}

var sayers = map[lineproto.Kind]func(lineproto.Codec, []byte, lineproto.Message) []byte{
	lineproto.KindReady: func(codec lineproto.Codec, to []byte, one lineproto.Message) []byte {
		return codec.Ready(to, one.State, one.Position)
	},
	lineproto.KindRow:  func(codec lineproto.Codec, to []byte, one lineproto.Message) []byte { return codec.Row(to, one.Tail) },
	lineproto.KindDone: func(codec lineproto.Codec, to []byte, one lineproto.Message) []byte { return codec.Done(to, one.Tail) },
	lineproto.KindError: func(codec lineproto.Codec, to []byte, one lineproto.Message) []byte {
		if one.Tail != "" {
			return codec.Fault(to, one.Tail)
		}
		return codec.Error(to, one.Code, one.Text)
	},
}

func (s *Sessions) say(say linepool.Say) {
	s.buffer = s.buffer[:0]
	for _, one := range say.Messages {
		s.buffer = sayers[one.Kind](s.codec, s.buffer, one)
	}
	say.Client.Token.(*client).conn.Write(s.buffer)
}

func (s *Sessions) open(open linepool.Open) {
	handler := &server{sessions: s, conn: open.Conn}
	first := s.codec.Connect(nil, open.Database, s.who, open.Instance)
	s.engine.Open(open.Address, first, 800*time.Millisecond, handler, func(conn *lineserver.Conn) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		open.Conn.Link = conn
		if open.Conn.IsOver() {
			conn.Close()
		}
	})
}

var writers = map[linepool.OutKind]func(lineproto.Codec, linepool.Out) string{
	linepool.OutText:      func(_ lineproto.Codec, out linepool.Out) string { return out.Text },
	linepool.OutBegin:     func(codec lineproto.Codec, _ linepool.Out) string { return codec.Begin(false) },
	linepool.OutBeginRead: func(codec lineproto.Codec, _ linepool.Out) string { return codec.Begin(true) },
	linepool.OutRollback:  func(codec lineproto.Codec, _ linepool.Out) string { return codec.Rollback() },
	linepool.OutReset:     func(codec lineproto.Codec, _ linepool.Out) string { return codec.Reset() },
	linepool.OutSet:       func(codec lineproto.Codec, out linepool.Out) string { return codec.Set(out.Name, out.Value) },
	linepool.OutPrepare:   func(codec lineproto.Codec, out linepool.Out) string { return codec.Prepare(out.Name, out.Value) },
	linepool.OutRun:       func(codec lineproto.Codec, out linepool.Out) string { return codec.Run(out.Name, out.Value) },
}

func (s *Sessions) send(send linepool.Send) {
	s.buffer = s.buffer[:0]
	for _, out := range send.Outs {
		s.buffer = s.codec.Query(s.buffer, out.ID, writers[out.Kind](s.codec, out), out.Floor)
	}
	if conn, isOpen := send.Conn.Link.(*lineserver.Conn); isOpen {
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
		worker.Await(make(chan struct{}), 20*time.Millisecond)
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
		worker.Await(make(chan struct{}), 5*time.Millisecond)
		var told distribution.Told
		s.do(func(now time.Duration) {
			s.isTelling = false
			told = s.pool.Told(now)
		})
		if address, _ := s.node.Primary(); address != "" {
			s.node.Hub.Send(address, told)
		}
	})
}
