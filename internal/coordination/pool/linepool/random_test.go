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

// writeGroup is what is applied as a whole or not at all: a transaction, or a
// single write.
type writeGroup struct {
	id               int
	writes           int
	applied          bool
	noEffectResponse string
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

// simulatedServer is the instance's end of one connection. It runs what it is
// sent.
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

// simulation runs one machine against clients, servers and events that are drawn
// at random.
type simulation struct {
	*harness
	random       *rand.Rand
	clientModels []*simulatedClient
	servers      []*simulatedServer
	senders      map[string]*simulatedClient
	groups       int
	violation    string
	faultFree    bool
	answered     int
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

func (s *simulation) chance(probability float64) bool { return s.random.Float64() < probability }

func (s *simulation) sync() {
	s.applyEffects()
	for _, open := range s.opens {
		s.servers = append(s.servers, &simulatedServer{conn: open.Conn, variables: map[string]string{}, prepared: map[string]string{}})
	}
	s.opens = nil
	for _, send := range s.sends {
		index := slices.IndexFunc(s.servers, func(server *simulatedServer) bool { return server.conn == send.Conn })
		if index < 0 {
			s.violated("sent on a connection that is not open")
			continue
		}
		s.servers[index].queue = append(s.servers[index].queue, send.Commands...)
	}
	s.sends = nil
	for _, client := range s.clientModels {
		s.checkResponses(client)
	}
	s.servers = slices.DeleteFunc(s.servers, func(server *simulatedServer) bool {
		if !server.conn.IsClosed() {
			return false
		}
		for len(server.queue) > 0 && s.chance(0.7) {
			s.runNext(server, lineproto.CodeOther)
		}
		return true
	})
	if violation := s.invariantViolation(); violation != "" {
		s.violated("%s", violation)
	}
}

// checkResponses takes the responses to a client, and checks them.
func (s *simulation) checkResponses(client *simulatedClient) {
	lines := s.harness.responses[client.client]
	s.harness.responses[client.client] = nil
	for _, line := range lines {
		if !client.connected {
			client.connected = true
			continue
		}
		if len(client.pending) == 0 {
			s.violated("an answer to nothing: %s", line)
			return
		}
		s.checkResponse(client, line)
	}
	if s.closedClients[client.client] {
		client.closed = true
	}
}

func (s *simulation) checkResponse(client *simulatedClient, line string) {
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
	pending := client.pending[0]
	client.pending = client.pending[1:]
	s.answered++
	statement := pending.query.Statement
	action := statement.Action
	if action == lineproto.ActionBegin || action == lineproto.ActionBeginReadOnly {
		if code == "" {
			client.group = s.newGroup()
		}
	}
	group := client.group
	single := client.state == lineproto.StateIdle && pending.group != nil
	if single {
		group = pending.group
	}
	noEffect := slices.Contains(noEffectCodeNames, code)
	if noEffect && group != nil && (single || group == client.group) {
		group.noEffectResponse = line
		if group.applied {
			s.violated("%s was sent for a group that was applied: %s %s in group %d", line, pending.query.ID, pending.query.Text, group.id)
		}
	}
	done := code == ""
	applies := done && ((single && pending.group.writes > 0) || (action == lineproto.ActionCommit && group != nil && group.writes > 0))
	if applies && !group.applied {
		s.violated("%s was sent for a group that was not applied", line)
	}
	hasAnswer := action == lineproto.ActionRead || action == lineproto.ActionWrite || action == lineproto.ActionExecute || action == lineproto.ActionCommit
	if done && hasAnswer && end != "s"+pending.query.ID {
		s.violated("%s is not the answer to %s", line, pending.query.ID)
	}
	if done && action == lineproto.ActionSet {
		client.variables[statement.Name] = statement.Value
	}
	if done && action == lineproto.ActionPrepare {
		client.prepared[statement.Name] = statement.PreparedText
	}
	if done && action == lineproto.ActionDeallocate {
		delete(client.prepared, statement.Name)
	}
	if state != lineproto.StateInTransaction {
		client.group = nil
	}
	client.state = state
}

func splitResponse(line string) []string {
	var parts []string
	for {
		index := slices.Index([]byte(line), '/')
		if index < 0 {
			return append(parts, line)
		}
		parts, line = append(parts, line[:index-1]), line[index+2:]
	}
}

func (s *simulation) newGroup() *writeGroup {
	s.groups++
	return &writeGroup{id: s.groups}
}

func (s *simulation) submitQuery(client *simulatedClient, query Query) {
	s.senders[query.ID] = client
	pending := pendingQuery{query: query}
	write := query.Statement.Action == lineproto.ActionWrite || query.Statement.Action == lineproto.ActionExecute
	if write {
		pending.group = s.newGroup()
	}
	client.pending = append(client.pending, pending)
	s.Query(client.client, query, s.now)
}

func (s *simulation) findPending(id string) (*simulatedClient, pendingQuery, bool) {
	client := s.senders[id]
	if client == nil {
		return nil, pendingQuery{}, false
	}
	index := slices.IndexFunc(client.pending, func(pending pendingQuery) bool { return pending.query.ID == id })
	if index < 0 {
		return client, pendingQuery{}, false
	}
	return client, client.pending[index], index == 0 && !client.closed
}

func (s *simulation) rollBack(server *simulatedServer) {
	if s.chance(0.5) && server.savedSession[0] != nil {
		server.variables, server.prepared = server.savedSession[0], server.savedSession[1]
	}
	server.inTransaction, server.failed, server.hasWrites, server.group, server.savedSession = false, false, false, nil, [2]map[string]string{}
}

// runNext runs the oldest command at a server and returns the answer. It
// refuses the command with the code, unless that is CodeOther.
func (s *simulation) runNext(server *simulatedServer, refusal lineproto.Code) []lineproto.Message {
	command := server.queue[0]
	server.queue = server.queue[1:]
	runners := map[CommandKind]func() []lineproto.Message{
		CommandReset: func() []lineproto.Message {
			server.variables, server.prepared = map[string]string{}, map[string]string{}
			return []lineproto.Message{done("-")}
		},
		CommandSet: func() []lineproto.Message {
			server.variables[command.Name] = command.Value
			return []lineproto.Message{done("-")}
		},
		CommandPrepare: func() []lineproto.Message {
			server.prepared[command.Name] = command.Value
			return []lineproto.Message{done("-")}
		},
		CommandRollback: func() []lineproto.Message {
			s.rollBack(server)
			return []lineproto.Message{done("-")}
		},
		CommandBegin:         func() []lineproto.Message { return s.beginTransaction(server, refusal) },
		CommandBeginReadOnly: func() []lineproto.Message { return s.beginTransaction(server, refusal) },
		CommandText:          func() []lineproto.Message { return s.runStatement(server, command, refusal) },
		CommandExecute:       func() []lineproto.Message { return s.runStatement(server, command, refusal) },
	}
	answer := runners[command.Kind]()
	state := lineproto.StateIdle
	if server.inTransaction {
		state = lineproto.StateInTransaction
	}
	if server.failed {
		state = lineproto.StateFailed
	}
	return append(answer, s.readyIn(state))
}

func (s *simulation) beginTransaction(server *simulatedServer, refusal lineproto.Code) []lineproto.Message {
	if server.inTransaction {
		s.violated("begin inside a transaction")
	}
	if refusal != lineproto.CodeOther {
		return []lineproto.Message{failure(refusal)}
	}
	server.inTransaction, server.savedSession = true, [2]map[string]string{maps.Clone(server.variables), maps.Clone(server.prepared)}
	return []lineproto.Message{done("-")}
}

func (s *simulation) runStatement(server *simulatedServer, command Command, refusal lineproto.Code) []lineproto.Message {
	client, pending, current := s.findPending(command.ID)
	if client == nil {
		s.violated("a statement that nobody sent: %s", command.ID)
		return []lineproto.Message{failure(lineproto.CodeOther)}
	}
	action, write := lineproto.ActionRead, false
	if current {
		action = pending.query.Statement.Action
		inTransaction := client.state == lineproto.StateInTransaction
		if inTransaction != server.inTransaction {
			s.violated("%s runs inside %v, its client is inside %v", command.ID, server.inTransaction, inTransaction)
		}
		if !maps.Equal(server.variables, client.variables) {
			s.violated("%s runs with %v, not %v", command.ID, server.variables, client.variables)
		}
		if server.inTransaction && server.group == nil {
			server.group = client.group
		}
		if server.inTransaction && server.group != client.group {
			s.violated("%s runs inside another's transaction", command.ID)
		}
		write = action == lineproto.ActionWrite
	}
	if command.Kind == CommandExecute {
		text, found := server.prepared[command.Name]
		if !found {
			return []lineproto.Message{failure(lineproto.CodeNotFound)}
		}
		write = text[0] == 'w'
		if current && client.prepared[pending.query.Statement.Name] != text {
			s.violated("%s runs %s, not %s", command.ID, text, client.prepared[pending.query.Statement.Name])
		}
	}
	commit := command.Text == "commit"
	if refusal != lineproto.CodeOther {
		if refusal == lineproto.CodeFailed && server.inTransaction {
			server.failed = true
		}
		if commit {
			s.rollBack(server)
		}
		return []lineproto.Message{failure(refusal)}
	}
	if commit {
		if server.group != nil {
			server.group.applied = server.hasWrites
			if server.group.noEffectResponse != "" && server.hasWrites {
				s.violated("applied after %s", server.group.noEffectResponse)
			}
		}
		server.inTransaction, server.hasWrites, server.group = false, false, nil
	} else if write && server.inTransaction {
		server.hasWrites = true
		if server.group != nil {
			server.group.writes++
		}
	} else if write && pending.group != nil {
		pending.group.writes++
		pending.group.applied = true
	}
	return []lineproto.Message{row("r" + command.ID), done("s" + command.ID)}
}

func (s *simulation) randomClient() *simulatedClient {
	var open []*simulatedClient
	for _, client := range s.clientModels {
		if !client.closed {
			open = append(open, client)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[s.random.IntN(len(open))]
}

func (s *simulation) randomQuery() Query {
	names := []string{"n1", "n2"}
	name := names[s.random.IntN(2)]
	generators := []func() Query{
		begin, begin, beginRead, commit, commit, commit, rollback,
		func() Query { return read("t") }, func() Query { return read("t") }, func() Query { return write("t") }, func() Query { return write("t") },
		func() Query { return set(name, fmt.Sprint(s.random.IntN(3))) },
		func() Query { return prepare(name, []string{"read q", "write q", "read z"}[s.random.IntN(3)]) },
		func() Query { return execute(name, "t") }, func() Query { return execute(name, "t") },
		func() Query { return deallocate(name) },
	}
	return generators[s.random.IntN(len(generators))]()
}

func (s *simulation) connectClient() {
	if len(s.clientModels) > 60 {
		return
	}
	names := []string{"strict", "stale", "own", "urgent", "other"}
	client := s.Accept(nil, s.now)
	s.clientModels = append(s.clientModels, &simulatedClient{client: client, state: lineproto.StateIdle, variables: map[string]string{}, prepared: map[string]string{}})
	s.Connect(client, names[s.random.IntN(len(names))], s.now)
}

func (s *simulation) sendQuery() {
	client := s.randomClient()
	if client == nil || !client.connected || len(client.pending) > 4 || (len(client.pending) > 0 && s.chance(0.8)) {
		return
	}
	s.submitQuery(client, s.randomQuery())
}

// advanceServer lets some server go one step.
func (s *simulation) advanceServer() {
	if len(s.servers) == 0 {
		return
	}
	server := s.servers[s.random.IntN(len(s.servers))]
	if !server.accepted {
		if !s.faultFree && s.chance(0.1) {
			s.Received(server.conn, failure([]lineproto.Code{lineproto.CodeTooManyConnections, lineproto.CodeWrongInstance}[s.random.IntN(2)]), s.now)
			return
		}
		server.accepted = true
		s.Received(server.conn, s.readyIn(lineproto.StateIdle), s.now)
		return
	}
	if len(server.queue) == 0 {
		return
	}
	refusal := lineproto.CodeOther
	if !s.faultFree && s.chance(0.15) {
		refusal = []lineproto.Code{lineproto.CodeBusy, lineproto.CodeLagging, lineproto.CodeReadOnly, lineproto.CodeFailed}[s.random.IntN(4)]
	}
	messages := s.runNext(server, refusal)
	if !s.faultFree && s.chance(0.03) {
		messages = messages[:s.random.IntN(len(messages))]
		for _, message := range messages {
			s.Received(server.conn, message, s.now)
		}
		s.ConnLost(server.conn, s.now)
		return
	}
	for _, message := range messages {
		s.Received(server.conn, message, s.now)
	}
}

func (s *simulation) disconnectClient() {
	if client := s.randomClient(); client != nil && s.chance(0.3) {
		client.closed = true
		s.ClientLost(client.client, s.now)
	}
}

func (s *simulation) changeFleet() {
	writer := s.snapshot.Writers["x"]
	changes := []func(){
		func() { s.setWriter(model.PhaseClosing, writer.Primary, writer.Term) },
		func() { s.setWriter(model.PhaseOpen, writer.Primary, writer.Term) },
		func() { s.setWriter(model.PhaseOpen, []string{"a", "b", "c"}[s.random.IntN(3)], writer.Term+1) },
		func() {
			instance := s.registered([]string{"a", "b", "c"}[s.random.IntN(3)])
			instance.Leaving = !instance.Leaving
			s.update(leaseDuration)
		},
		func() {
			instance := s.registered([]string{"b", "c"}[s.random.IntN(2)])
			instance.Stopped = !instance.Stopped
			s.update(400 * time.Millisecond)
		},
	}
	changes[s.random.IntN(len(changes))]()
}

func (s *simulation) step() {
	events := []struct {
		probability float64
		act         func()
	}{
		{0.03, s.connectClient}, {0.3, s.sendQuery}, {0.45, s.advanceServer}, {0.02, s.disconnectClient}, {0.01, s.changeFleet},
		{0.01, func() {
			if len(s.servers) > 0 {
				s.ConnLost(s.servers[s.random.IntN(len(s.servers))].conn, s.now)
			}
		}},
		{0.1, func() { s.advance(time.Duration(s.random.IntN(30)) * time.Millisecond) }},
		{0.005, func() { s.advance(time.Duration(s.random.IntN(2500)) * time.Millisecond) }},
		{1, func() { s.update(leaseDuration) }},
	}
	draw := s.random.Float64()
	for _, event := range events {
		if draw < event.probability {
			event.act()
			break
		}
		draw -= event.probability
	}
	s.sync()
}

// settle ends all faults and lets everything be answered.
func (s *simulation) settle() {
	s.faultFree = true
	for index := range s.registry {
		s.registry[index].Leaving, s.registry[index].Stopped = false, false
	}
	s.setWriter(model.PhaseOpen, "a", s.snapshot.Writers["x"].Term+1)
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
	for _, client := range s.clientModels {
		if !client.closed && len(client.pending) > 0 {
			return fmt.Sprintf("%s was never answered", client.pending[0].query.ID)
		}
	}
	for _, instance := range s.instances.All() {
		if open := instance.window.Reading().InFlight; open != 0 {
			return fmt.Sprintf("%s still counts %d in flight", instance.info.Name, open)
		}
	}
	for _, database := range s.databases.All() {
		if len(database.transactionQueue)+len(database.primaryQueue)+len(database.readQueue)+len(database.inFlight)+len(database.unconfirmed) > 0 {
			return database.name + " has a queue that is not empty"
		}
	}
	return ""
}

func TestRandomSchedules(t *testing.T) {
	Convey("Under random events, by fixed seeds, nothing is miscounted, mixed, leaked, answered twice or never", t, func() {
		answered := 0
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
			answered += s.answered
		}
		So(answered, ShouldBeGreaterThan, 10000)
	})
}
