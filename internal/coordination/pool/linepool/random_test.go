package linepool

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// group is what is kept or lost together: a transaction, or a single write.
type writeGroup struct {
	id              int
	by              *simulatedClient
	writes          int
	submitted       bool
	persisted       bool
	promisedNotKept string
}

type pendingQuery struct {
	query Query
	group *writeGroup
}

type simulatedClient struct {
	client    *Client
	pending   []pendingQuery
	state     byte
	variables map[string]string
	prepared  map[string]string
	group     *writeGroup
	closed    bool
	connected bool
}

// host is the far end of one connection, which runs what it is sent.
type simulatedServer struct {
	conn          *Conn
	queue         []Command
	variables     map[string]string
	prepared      map[string]string
	savedSession  [2]map[string]string
	inTransaction bool
	failed        bool
	hasWrites     bool
	group         *writeGroup
	accepted      bool
}

type simulation struct {
	*harness
	random           *rand.Rand
	simulatedClients []*simulatedClient
	servers          []*simulatedServer
	senders          map[string]*simulatedClient
	groups           int
	violation        string
	faultFree        bool
	answered         int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{harness: newHarness(12), random: rand.New(rand.NewPCG(seed, 7)), senders: map[string]*simulatedClient{}}
	s.manualOpen = true
	return s
}

func (s *simulation) violated(format string, parts ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, parts...)
	}
}

func (s *simulation) chance(part float64) bool { return s.random.Float64() < part }

func (s *simulation) sync() {
	s.applyEffects()
	for _, open := range s.opens {
		s.servers = append(s.servers, &simulatedServer{conn: open.Conn, variables: map[string]string{}, prepared: map[string]string{}})
	}
	s.opens = nil
	for _, send := range s.sends {
		at := slices.IndexFunc(s.servers, func(h *simulatedServer) bool { return h.conn == send.Conn })
		if at < 0 {
			s.violated("sent on a connection that is not open")
			continue
		}
		s.servers[at].queue = append(s.servers[at].queue, send.Commands...)
	}
	s.sends = nil
	for _, p := range s.simulatedClients {
		s.checkResponses(p)
	}
	s.servers = slices.DeleteFunc(s.servers, func(h *simulatedServer) bool {
		if !h.conn.IsClosed() {
			return false
		}
		for len(h.queue) > 0 && s.chance(0.7) {
			s.runNext(h, lineproto.CodeOther)
		}
		return true
	})
	if fault := s.invariantViolation(); fault != "" {
		s.violated("%s", fault)
	}
}

// listen takes what was said to a client, and checks it.
func (s *simulation) checkResponses(p *simulatedClient) {
	lines := s.harness.responses[p.client]
	s.harness.responses[p.client] = nil
	for _, line := range lines {
		if !p.connected {
			p.connected = true
			continue
		}
		if len(p.pending) == 0 {
			s.violated("an answer to nothing: %s", line)
			return
		}
		s.checkResponse(p, line)
	}
	if s.closedClients[p.client] {
		p.closed = true
	}
}

func (s *simulation) checkResponse(p *simulatedClient, line string) {
	var code, end string
	var state byte
	for _, part := range splitResponse(line) {
		if len(part) > 5 && part[:5] == "ERROR" {
			code = part[6:]
		}
		if len(part) > 4 && part[:4] == "DONE" {
			end = part[5:]
		}
		if len(part) > 5 && part[:5] == "READY" {
			state = part[6]
		}
	}
	if state == 0 {
		return
	}
	one := p.pending[0]
	p.pending = p.pending[1:]
	s.answered++
	act, own := one.query.Statement.Action, one.query.Statement
	if act == lineproto.ActionBegin || act == lineproto.ActionBeginReadOnly {
		if code == "" {
			p.group = s.newGroup(p)
		}
	}
	held := p.group
	isSingle := p.state == lineproto.StateIdle && one.group != nil
	if isSingle {
		held = one.group
	}
	isPromise := slices.Contains(promises, code)
	if isPromise && held != nil && (isSingle || held == p.group) {
		held.promisedNotKept = line
		if held.persisted {
			s.violated("%s was told of what is kept: %s %s in group %d", line, one.query.ID, one.query.Text, held.id)
		}
	}
	isDone := code == ""
	isKeeping := isDone && ((isSingle && one.group.writes > 0) || (act == lineproto.ActionCommit && held != nil && held.writes > 0))
	if isKeeping && !held.persisted {
		s.violated("%s was told of what is not kept", line)
	}
	isOwn := act == lineproto.ActionRead || act == lineproto.ActionWrite || act == lineproto.ActionExecute || act == lineproto.ActionCommit
	if isDone && isOwn && end != "s"+one.query.ID {
		s.violated("%s is not the answer to %s", line, one.query.ID)
	}
	if isDone && act == lineproto.ActionSet {
		p.variables[own.Name] = own.Value
	}
	if isDone && act == lineproto.ActionPrepare {
		p.prepared[own.Name] = own.PreparedText
	}
	if isDone && act == lineproto.ActionDeallocate {
		delete(p.prepared, own.Name)
	}
	if state != lineproto.StateInTransaction {
		p.group = nil
	}
	p.state = state
}

func splitResponse(line string) []string {
	var parts []string
	for {
		at := slices.Index([]byte(line), '/')
		if at < 0 {
			return append(parts, line)
		}
		parts, line = append(parts, line[:at-1]), line[at+2:]
	}
}

func (s *simulation) newGroup(p *simulatedClient) *writeGroup {
	s.groups++
	return &writeGroup{id: s.groups, by: p}
}

func (s *simulation) submitQuery(p *simulatedClient, ask Query) {
	s.senders[ask.ID] = p
	one := pendingQuery{query: ask}
	isWrite := ask.Statement.Action == lineproto.ActionWrite || ask.Statement.Action == lineproto.ActionExecute
	if isWrite {
		one.group = s.newGroup(p)
		one.group.submitted = true
	}
	p.pending = append(p.pending, one)
	s.Query(p.client, ask, s.now)
}

func (s *simulation) findPending(id string) (*simulatedClient, pendingQuery, bool) {
	p := s.senders[id]
	if p == nil {
		return nil, pendingQuery{}, false
	}
	at := slices.IndexFunc(p.pending, func(one pendingQuery) bool { return one.query.ID == id })
	if at < 0 {
		return p, pendingQuery{}, false
	}
	return p, p.pending[at], at == 0 && !p.closed
}

func (s *simulation) rollBack(h *simulatedServer) {
	if s.chance(0.5) && h.savedSession[0] != nil {
		h.variables, h.prepared = h.savedSession[0], h.savedSession[1]
	}
	h.inTransaction, h.failed, h.hasWrites, h.group, h.savedSession = false, false, false, nil, [2]map[string]string{}
}

// run runs the oldest text at a host, refusing it with a code where one is
// given, and gives the answer.
func (s *simulation) runNext(h *simulatedServer, refusal lineproto.Code) []lineproto.Message {
	out := h.queue[0]
	h.queue = h.queue[1:]
	ways := map[CommandKind]func() []lineproto.Message{
		CommandReset: func() []lineproto.Message {
			h.variables, h.prepared = map[string]string{}, map[string]string{}
			return []lineproto.Message{ok("-")}
		},
		CommandSet: func() []lineproto.Message {
			h.variables[out.Name] = out.Value
			return []lineproto.Message{ok("-")}
		},
		CommandPrepare: func() []lineproto.Message {
			h.prepared[out.Name] = out.Value
			return []lineproto.Message{ok("-")}
		},
		CommandRollback: func() []lineproto.Message {
			s.rollBack(h)
			return []lineproto.Message{ok("-")}
		},
		CommandBegin:         func() []lineproto.Message { return s.beginTransaction(h, refusal) },
		CommandBeginReadOnly: func() []lineproto.Message { return s.beginTransaction(h, refusal) },
		CommandText:          func() []lineproto.Message { return s.runStatement(h, out, refusal) },
		CommandExecute:       func() []lineproto.Message { return s.runStatement(h, out, refusal) },
	}
	said := ways[out.Kind]()
	state := lineproto.StateIdle
	if h.inTransaction {
		state = lineproto.StateInTransaction
	}
	if h.failed {
		state = lineproto.StateFailed
	}
	return append(said, s.readyIn(state))
}

func (s *simulation) beginTransaction(h *simulatedServer, refusal lineproto.Code) []lineproto.Message {
	if h.inTransaction {
		s.violated("begin inside a transaction")
	}
	if refusal != lineproto.CodeOther {
		return []lineproto.Message{bad(refusal)}
	}
	h.inTransaction, h.savedSession = true, [2]map[string]string{maps.Clone(h.variables), maps.Clone(h.prepared)}
	return []lineproto.Message{ok("-")}
}

func (s *simulation) runStatement(h *simulatedServer, out Command, refusal lineproto.Code) []lineproto.Message {
	p, one, isHead := s.findPending(out.ID)
	if p == nil {
		s.violated("a statement that nobody sent: %s", out.ID)
		return []lineproto.Message{bad(lineproto.CodeOther)}
	}
	act, isWrite := lineproto.ActionRead, false
	if isHead {
		act = one.query.Statement.Action
		isTurn := p.state == lineproto.StateInTransaction
		if isTurn != h.inTransaction {
			s.violated("%s runs inside %v, its client is inside %v", out.ID, h.inTransaction, isTurn)
		}
		if !maps.Equal(h.variables, p.variables) {
			s.violated("%s runs with %v, not %v", out.ID, h.variables, p.variables)
		}
		if h.inTransaction && h.group == nil {
			h.group = p.group
		}
		if h.inTransaction && h.group != p.group {
			s.violated("%s runs inside another's transaction", out.ID)
		}
		isWrite = act == lineproto.ActionWrite
	}
	if out.Kind == CommandExecute {
		shape, found := h.prepared[out.Name]
		if !found {
			return []lineproto.Message{bad(lineproto.CodeNotFound)}
		}
		isWrite = shape[0] == 'w'
		if isHead && p.prepared[one.query.Statement.Name] != shape {
			s.violated("%s runs %s, not %s", out.ID, shape, p.prepared[one.query.Statement.Name])
		}
	}
	isCommit := out.Text == "commit"
	if refusal != lineproto.CodeOther {
		if refusal == lineproto.CodeFailed && h.inTransaction {
			h.failed = true
		}
		if isCommit {
			s.rollBack(h)
		}
		return []lineproto.Message{bad(refusal)}
	}
	if isCommit {
		if h.group != nil {
			h.group.persisted = h.hasWrites
			if h.group.promisedNotKept != "" && h.hasWrites {
				s.violated("kept after %s", h.group.promisedNotKept)
			}
		}
		h.inTransaction, h.hasWrites, h.group = false, false, nil
	} else if isWrite && h.inTransaction {
		h.hasWrites = true
		if h.group != nil {
			h.group.writes++
		}
	} else if isWrite && one.group != nil {
		one.group.writes++
		one.group.persisted = true
	}
	return []lineproto.Message{row("r" + out.ID), ok("s" + out.ID)}
}

func (s *simulation) randomClient() *simulatedClient {
	var list []*simulatedClient
	for _, p := range s.simulatedClients {
		if !p.closed {
			list = append(list, p)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[s.random.IntN(len(list))]
}

func (s *simulation) randomQuery() Query {
	names := []string{"n1", "n2"}
	name := names[s.random.IntN(2)]
	ways := []func() Query{
		begin, begin, beginRead, commit, commit, commit, rollback,
		func() Query { return read("t") }, func() Query { return read("t") }, func() Query { return write("t") }, func() Query { return write("t") },
		func() Query { return set(name, fmt.Sprint(s.random.IntN(3))) },
		func() Query { return prepare(name, []string{"read q", "write q", "read z"}[s.random.IntN(3)]) },
		func() Query { return runs(name, "t") }, func() Query { return runs(name, "t") },
		func() Query { return forget(name) },
	}
	return ways[s.random.IntN(len(ways))]()
}

func (s *simulation) connectClient() {
	if len(s.simulatedClients) > 60 {
		return
	}
	names := []string{"strict", "stale", "own", "urgent", "other"}
	client := s.Accept(nil, s.now)
	s.simulatedClients = append(s.simulatedClients, &simulatedClient{client: client, state: lineproto.StateIdle, variables: map[string]string{}, prepared: map[string]string{}})
	s.Connect(client, names[s.random.IntN(len(names))], s.now)
}

func (s *simulation) sendQuery() {
	p := s.randomClient()
	if p == nil || !p.connected || len(p.pending) > 4 || (len(p.pending) > 0 && s.chance(0.8)) {
		return
	}
	s.submitQuery(p, s.randomQuery())
}

// serve lets a host go one step.
func (s *simulation) advanceServer() {
	if len(s.servers) == 0 {
		return
	}
	h := s.servers[s.random.IntN(len(s.servers))]
	if !h.accepted {
		if !s.faultFree && s.chance(0.1) {
			s.Received(h.conn, bad([]lineproto.Code{lineproto.CodeTooManyConnections, lineproto.CodeWrongInstance}[s.random.IntN(2)]), s.now)
			return
		}
		h.accepted = true
		s.Received(h.conn, s.readyIn(lineproto.StateIdle), s.now)
		return
	}
	if len(h.queue) == 0 {
		return
	}
	refusal := lineproto.CodeOther
	if !s.faultFree && s.chance(0.15) {
		refusal = []lineproto.Code{lineproto.CodeBusy, lineproto.CodeLagging, lineproto.CodeReadOnly, lineproto.CodeFailed}[s.random.IntN(4)]
	}
	messages := s.runNext(h, refusal)
	if !s.faultFree && s.chance(0.03) {
		messages = messages[:s.random.IntN(len(messages))]
		for _, message := range messages {
			s.Received(h.conn, message, s.now)
		}
		s.ConnLost(h.conn, s.now)
		return
	}
	for _, message := range messages {
		s.Received(h.conn, message, s.now)
	}
}

func (s *simulation) disconnectClient() {
	if p := s.randomClient(); p != nil && s.chance(0.3) {
		p.closed = true
		s.ClientLost(p.client, s.now)
	}
}

func (s *simulation) changeFleet() {
	writer := s.doc.Writers["x"]
	ways := []func(){
		func() { s.setWriter(model.PhaseClosing, writer.Primary, writer.Term) },
		func() { s.setWriter(model.PhaseOpen, writer.Primary, writer.Term) },
		func() { s.setWriter(model.PhaseOpen, []string{"a", "b", "c"}[s.random.IntN(3)], writer.Term+1) },
		func() {
			one := s.registered([]string{"a", "b", "c"}[s.random.IntN(3)])
			one.Leaving = !one.Leaving
			s.update(1600 * time.Millisecond)
		},
		func() {
			one := s.registered([]string{"b", "c"}[s.random.IntN(2)])
			one.Stopped = !one.Stopped
			s.update(400 * time.Millisecond)
		},
	}
	ways[s.random.IntN(len(ways))]()
}

func (s *simulation) step() {
	ways := []struct {
		part float64
		act  func()
	}{
		{0.03, s.connectClient}, {0.3, s.sendQuery}, {0.45, s.advanceServer}, {0.02, s.disconnectClient}, {0.01, s.changeFleet},
		{0.01, func() {
			if len(s.servers) > 0 {
				s.ConnLost(s.servers[s.random.IntN(len(s.servers))].conn, s.now)
			}
		}},
		{0.1, func() { s.advance(time.Duration(s.random.IntN(30)) * time.Millisecond) }},
		{0.005, func() { s.advance(time.Duration(s.random.IntN(2500)) * time.Millisecond) }},
		{1, func() { s.update(1600 * time.Millisecond) }},
	}
	draw := s.random.Float64()
	for _, way := range ways {
		if draw < way.part {
			way.act()
			break
		}
		draw -= way.part
	}
	s.sync()
}

// calm ends all trouble and lets everything be answered.
func (s *simulation) settle() {
	s.faultFree = true
	for at := range s.registry {
		s.registry[at].Leaving, s.registry[at].Stopped = false, false
	}
	s.setWriter(model.PhaseOpen, "a", s.doc.Writers["x"].Term+1)
	for range 400 {
		s.advanceInTicks(25 * time.Millisecond)
		s.sync()
		for range 3 * len(s.servers) {
			s.advanceServer()
			s.sync()
		}
	}
}

func (s *simulation) unfinished() string {
	for _, p := range s.simulatedClients {
		if !p.closed && len(p.pending) > 0 {
			return fmt.Sprintf("%s was never answered", p.pending[0].query.ID)
		}
	}
	for _, instance := range s.instances.All() {
		if open := instance.window.Reading().InFlight; open != 0 {
			return fmt.Sprintf("%s still counts %d out", instance.info.Name, open)
		}
	}
	for _, database := range s.databases.All() {
		if len(database.transactionQueue)+len(database.primaryQueue)+len(database.readQueue)+len(database.inFlight)+len(database.unconfirmed) > 0 {
			return database.name + " has a line that is not empty"
		}
	}
	return ""
}

func TestRandomSchedules(t *testing.T) {
	Convey("Under random events, by fixed seeds, nothing is miscounted, mixed, leaked, answered twice or never", t, func() {
		said := 0
		seeds := []uint64{11769, 10165, 1915, 1997, 2055, 2597, 3267, 3510, 3808, 3927}
		for seed := range uint64(40) {
			seeds = append(seeds, seed)
		}
		for _, seed := range append(seeds, 57) {
			s := newSimulation(seed)
			for step := 0; step < 2500 && s.violation == ""; step++ {
				s.step()
			}
			if s.violation == "" {
				s.settle()
			}
			if s.violation == "" {
				s.violation = s.unfinished()
			}
			SoMsg(fmt.Sprintf("seed %d", seed), s.violation, ShouldEqual, "")
			said += s.answered
		}
		So(said, ShouldBeGreaterThan, 10000)
	})
}
