package linepool

import (
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// rig plays one machine against scripted instances: a is the primary of
// database x, b and c are its replicas, and y has the primary d alone.
type harness struct {
	*Machine
	now           time.Duration
	counts        map[string]int64
	responses     map[*Client][]string
	closedClients map[*Client]bool
	opens         []OpenConn
	sends         []Send
	closedConns   []*Conn
	reports       int
	stamp         uint64
	doc           model.Snapshot
	registry      []model.Instance
	manualOpen    bool
	logIndex      uint64
}

func newHarness(connections int) *harness { return newHarnessFor("d1", connections) }

func newHarnessFor(name string, connections int) *harness {
	r := &harness{now: time.Hour, counts: map[string]int64{}, responses: map[*Client][]string{}, closedClients: map[*Client]bool{}, logIndex: 100}
	r.Machine = New(Node{Name: name, Zone: "za", Incarnation: 1, Weight: 1}, DefaultTiming(), lease.DefaultTiming(), func(name string, by int64) { r.counts[name] += by })
	for at, name := range []string{"a", "b", "c", "d"} {
		database, role := "x", model.RoleReplica
		if name == "d" {
			database = "y"
		}
		if name == "a" || name == "d" {
			role = model.RolePrimary
		}
		r.registry = append(r.registry, model.Instance{
			Name: name, Database: database, Address: name + ":1", Zone: []string{"zc", "za", "zb", "za"}[at], Role: role, SyncReplication: true,
		})
	}
	fresh := model.Binding{Database: "x", Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond, Priority: 1}
	bound := func(name string, freshness time.Duration, isOwn bool) model.Binding {
		one := fresh
		one.Name, one.Freshness, one.ReadYourWrites = name, freshness, isOwn
		return one
	}
	urgent := bound("urgent", 0, false)
	urgent.Priority = 0
	other := bound("other", 0, false)
	other.Database = "y"
	r.doc = model.Snapshot{
		Writers: map[string]model.WriterRole{
			"x": {Database: "x", Term: 3, Primary: "a", Phase: model.PhaseOpen, SyncReplication: true},
			"y": {Database: "y", Term: 1, Primary: "d", Phase: model.PhaseOpen, SyncReplication: true},
		},
		Sets: []model.BindingSet{{
			Sequence: 1, EffectiveAt: 1, Version: 5, Limits: model.Limits{TransactionIdleTimeout: 3 * time.Second},
			Databases: []model.Database{{Name: "x", MaxConnections: connections, MinSyncReplicas: 1}, {Name: "y", MaxConnections: connections, MinSyncReplicas: 1}},
			Bindings:  []model.Binding{bound("strict", 0, false), bound("stale", 1500*time.Millisecond, false), bound("own", 1500*time.Millisecond, true), urgent, other},
		}},
	}
	r.update(1600 * time.Millisecond)
	return r
}

// news brings the state as it is now, with a lease.
func (r *harness) update(length time.Duration) {
	r.stamp++
	doc := r.doc
	doc.Version = store.Version{Epoch: 1, Sequence: r.stamp}
	doc.Writers = map[string]model.WriterRole{}
	for name, writer := range r.doc.Writers {
		doc.Writers[name] = writer
	}
	doc.Sets = slices.Clone(r.doc.Sets)
	r.ApplyUpdate(distribution.Update{
		FromPrimary: true, Record: consensus.Record{Epoch: 1, Primary: "c1"}, LeaseDuration: length, PrimaryTime: int64(r.now), Snapshot: &doc,
		ListVersion: distribution.ListVersion{Tenure: "t", Number: r.stamp}, Instances: slices.Clone(r.registry),
	}, r.now, r.now)
	r.applyEffects()
}

func (r *harness) setWriter(phase, primary string, term uint64) {
	r.doc.Writers["x"] = model.WriterRole{Database: "x", Term: term, Primary: primary, Phase: phase, SyncReplication: true}
	r.update(1600 * time.Millisecond)
}

func (r *harness) registered(name string) *model.Instance {
	return &r.registry[slices.IndexFunc(r.registry, func(one model.Instance) bool { return one.Name == name })]
}

func (r *harness) applyEffects() {
	for {
		effects := r.Effects()
		if len(effects) == 0 && (r.manualOpen || len(r.opens) == 0) {
			return
		}
		for _, effect := range effects {
			r.applyEffect(effect)
		}
		if len(effects) == 0 {
			r.acceptConn(r.opens[0])
		}
	}
}

func (r *harness) applyEffect(effect Effect) {
	if say, isOne := effect.(Respond); isOne {
		var lines []string
		for _, message := range say.Messages {
			lines = append(lines, formatMessage(message))
		}
		r.responses[say.Client] = append(r.responses[say.Client], strings.Join(lines, " / "))
	}
	if over, isOne := effect.(CloseClient); isOne {
		r.closedClients[over.Client] = true
	}
	if send, isOne := effect.(Send); isOne {
		if send.Conn.IsClosed() {
			So(formatCommands(send), ShouldEqual, "sent on a connection that is over")
		}
		r.sends = append(r.sends, send)
	}
	if shut, isOne := effect.(CloseConn); isOne {
		r.closedConns = append(r.closedConns, shut.Conn)
		r.sends = slices.DeleteFunc(r.sends, func(send Send) bool { return send.Conn == shut.Conn })
		r.opens = slices.DeleteFunc(r.opens, func(open OpenConn) bool { return open.Conn == shut.Conn })
	}
	if open, isOne := effect.(OpenConn); isOne {
		r.opens = append(r.opens, open)
	}
	if _, isOne := effect.(Report); isOne {
		r.reports++
	}
}

func (r *harness) acceptConn(open OpenConn) {
	r.opens = slices.DeleteFunc(r.opens, func(one OpenConn) bool { return one.Conn == open.Conn })
	r.Received(open.Conn, r.readyIn(lineproto.StateIdle), r.now)
}

// welcomed lets an instance take a connection.
func (r *harness) connAccepted(open OpenConn) {
	r.acceptConn(open)
	r.applyEffects()
}

func (r *harness) position() model.Position {
	return model.Position{Term: r.doc.Writers["x"].Term, Index: r.logIndex}
}

var codes = map[lineproto.Code]string{
	lineproto.CodeOther: "OTHER", lineproto.CodeBusy: "BUSY", lineproto.CodeAborted: "ABORTED", lineproto.CodeLagging: "LAGGING",
	lineproto.CodeReadOnly: "READONLY", lineproto.CodeWrongInstance: "WRONGHOST", lineproto.CodeTooManyConnections: "FULL", lineproto.CodeUnknownOutcome: "UNKNOWN",
	lineproto.CodeTimeout: "TIMEOUT", lineproto.CodeFailed: "FAILED", lineproto.CodeNotFound: "NOTFOUND", lineproto.CodeUnknownDatabase: "NODB",
	lineproto.CodeTooMuchInput: "TOOLONG", lineproto.CodeMalformed: "MALFORMED",
}

var promises = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGHOST", "FULL"}

var messageFormats = map[lineproto.Kind]func(lineproto.Message) string{
	lineproto.KindRow:   func(one lineproto.Message) string { return "ROW " + one.Payload },
	lineproto.KindDone:  func(one lineproto.Message) string { return "DONE " + one.Payload },
	lineproto.KindError: func(one lineproto.Message) string { return "ERROR " + codes[one.Code] },
	lineproto.KindReady: func(one lineproto.Message) string { return "READY " + string(one.State) },
}

func formatMessage(message lineproto.Message) string { return messageFormats[message.Kind](message) }

// nodes names so many nodes, the rig's own among them.
func nodes(count int) []string {
	names := make([]string, count)
	for at := range names {
		names[at] = fmt.Sprintf("d%d", at+1)
	}
	return names
}

func (r *harness) advance(span time.Duration) {
	r.now += span
	r.Tick(nodes(1), 1, r.now)
	r.applyEffects()
}

// wait passes time in beats, with a lease all the while.
func (r *harness) advanceInTicks(span time.Duration) {
	for end := r.now + span; r.now < end; {
		r.advance(min(25*time.Millisecond, end-r.now))
		r.update(1600 * time.Millisecond)
	}
}

func (r *harness) client(name string) *Client {
	client := r.Accept(nil, r.now)
	r.Connect(client, name, r.now)
	r.applyEffects()
	return client
}

func (r *harness) query(client *Client, query Query) {
	r.Query(client, query, r.now)
	r.applyEffects()
}

// heard gives the last answer to a client.
func (r *harness) lastResponse(client *Client) string {
	if len(r.responses[client]) == 0 {
		return ""
	}
	return r.responses[client][len(r.responses[client])-1]
}

func (r *harness) responseCount(client *Client) int { return len(r.responses[client]) }

// next takes the oldest write to an instance that is not answered.
func (r *harness) nextSend() Send {
	So(len(r.sends), ShouldBeGreaterThan, 0)
	send := r.sends[0]
	r.sends = r.sends[1:]
	return send
}

func (r *harness) receive(conn *Conn, messages ...lineproto.Message) {
	for _, message := range messages {
		r.Received(conn, message, r.now)
	}
	r.applyEffects()
}

func ok(tail string) lineproto.Message {
	return lineproto.Message{Kind: lineproto.KindDone, Payload: tail}
}

func row(tail string) lineproto.Message {
	return lineproto.Message{Kind: lineproto.KindRow, Payload: tail}
}

func bad(code lineproto.Code) lineproto.Message {
	return lineproto.Message{Kind: lineproto.KindError, Code: code, Payload: codes[code] + " so"}
}

func (r *harness) readyIn(state byte) lineproto.Message {
	return lineproto.Message{Kind: lineproto.KindReady, State: state, Position: r.position()}
}

// answer answers a write to an instance: what goes before the last is done.
func (r *harness) answerSend(send Send, state byte, messages ...lineproto.Message) {
	for range send.Commands[:len(send.Commands)-1] {
		r.receive(send.Conn, ok("-"), r.readyIn(lineproto.StateIdle))
	}
	r.receive(send.Conn, append(messages, r.readyIn(state))...)
}

// begun lets an instance begin the transaction of the next write, and gives
// the write of the statement itself.
func (r *harness) answerBegin() Send {
	send := r.nextSend()
	So([]CommandKind{CommandBegin, CommandBeginReadOnly}, ShouldContain, send.Commands[len(send.Commands)-1].Kind)
	r.answerSend(send, lineproto.StateInTransaction, ok("-"))
	return r.nextSend()
}

func (r *harness) loseConn(conn *Conn) {
	r.ConnLost(conn, r.now)
	r.sends = slices.DeleteFunc(r.sends, func(send Send) bool { return send.Conn == conn })
	r.applyEffects()
}

var commandFormats = map[CommandKind]func(Command) string{
	CommandText:          func(out Command) string { return out.Text },
	CommandBegin:         func(Command) string { return "begin" },
	CommandBeginReadOnly: func(Command) string { return "begin read" },
	CommandRollback:      func(Command) string { return "rollback" },
	CommandReset:         func(Command) string { return "reset" },
	CommandSet:           func(out Command) string { return "set " + out.Name + "=" + out.Value },
	CommandPrepare:       func(out Command) string { return "prepare " + out.Name + " as " + out.Value },
	CommandExecute:       func(out Command) string { return "run " + out.Name + out.Value },
}

func formatCommands(send Send) string {
	var list []string
	for _, out := range send.Commands {
		list = append(list, commandFormats[out.Kind](out))
	}
	return strings.Join(list, ", ")
}

func (send Send) target() string { return send.Conn.instance.info.Name }

func (send Send) minPosition() model.Position { return send.Commands[len(send.Commands)-1].MinPosition }

var serial int

func newQuery(act lineproto.Action, text string) Query {
	serial++
	return Query{ID: fmt.Sprintf("q%d", serial), Text: text, Statement: lineproto.Statement{Action: act}}
}

func read(thing string) Query { return newQuery(lineproto.ActionRead, "read "+thing) }

func write(thing string) Query { return newQuery(lineproto.ActionWrite, "write "+thing) }

func begin() Query { return newQuery(lineproto.ActionBegin, "begin") }

func beginRead() Query { return newQuery(lineproto.ActionBeginReadOnly, "begin read") }

func commit() Query { return newQuery(lineproto.ActionCommit, "commit") }

func rollback() Query { return newQuery(lineproto.ActionRollback, "rollback") }

func set(name, value string) Query {
	one := newQuery(lineproto.ActionSet, "")
	one.Statement.Name, one.Statement.Value = name, value
	return one
}

func prepare(name, text string) Query {
	one := newQuery(lineproto.ActionPrepare, "")
	one.Statement.Name, one.Statement.PreparedText, one.Statement.Write = name, text, strings.HasPrefix(text, "write")
	return one
}

func runs(name, rest string) Query {
	one := newQuery(lineproto.ActionExecute, "")
	one.Statement.Name, one.Statement.Arguments = name, " "+rest
	return one
}

func forget(name string) Query {
	one := newQuery(lineproto.ActionDeallocate, "")
	one.Statement.Name = name
	return one
}

// sampled lets the node learn the primary's position by a read there.
func (r *harness) samplePosition() {
	client := r.client("strict")
	r.query(client, read("sample"))
	r.answerSend(r.nextSend(), lineproto.StateIdle, ok("s"))
	r.Terminate(client, r.now)
	r.applyEffects()
}

// sound checks what must hold of the machine after every event.
func (m *Machine) invariantViolation() string {
	legs := map[*instanceState]int{}
	jobs := map[*Request]int{}
	for _, instance := range m.instances.All() {
		opening := 0
		for _, conn := range instance.conns {
			if conn.state == connClosed || conn.instance != instance {
				return "a connection that is over is kept"
			}
			if conn.state == connOpening {
				opening++
			}
			if conn.attempt != nil {
				legs[instance]++
			}
			isLent := conn.owner != nil && (conn.owner.transaction == nil || conn.owner.transaction.conn != conn)
			if isLent {
				return "a connection's owner does not hold it"
			}
			isLost := conn.state == connIdle && conn.owner == nil && !slices.Contains(instance.idle, conn)
			if isLost {
				return "an idle connection is in no list"
			}
			isStill := conn.state == connBusy && conn.attempt == nil && len(conn.pending) == 0
			if isStill {
				return "a busy connection waits for nothing"
			}
		}
		for at, conn := range instance.idle {
			isBad := conn.state != connIdle || conn.owner != nil || conn.attempt != nil || !slices.Contains(instance.conns, conn) || slices.Contains(instance.idle[:at], conn)
			if isBad {
				return "the list of idle connections is wrong"
			}
		}
		if opening != instance.opening {
			return fmt.Sprintf("%s counts %d openings, has %d", instance.info.Name, instance.opening, opening)
		}
		if reading := instance.window.Reading(); reading.InFlight != legs[instance] {
			return fmt.Sprintf("%s counts %d out, has %d", instance.info.Name, reading.InFlight, legs[instance])
		}
	}
	for _, database := range m.databases.All() {
		for _, list := range [][]*Request{database.transactionQueue, database.primaryQueue, database.readQueue} {
			for _, request := range list {
				jobs[request]++
				if request.phase != phaseQueued {
					return fmt.Sprintf("a line holds a statement in phase %d", request.phase)
				}
			}
		}
		for _, request := range database.inFlight {
			jobs[request]++
			if request.phase != phaseInFlight || len(request.attempts) == 0 {
				return "what is out is in another phase"
			}
		}
		for _, request := range database.unconfirmed {
			jobs[request]++
			if request.phase != phaseUnconfirmed {
				return "what is to be confirmed is in another phase"
			}
		}
	}
	for _, request := range m.awaitingLease {
		if request.phase == phaseAwaitingLease {
			jobs[request]++
		}
	}
	for request, count := range jobs {
		if count != 1 {
			return fmt.Sprintf("a statement is in %d lists", count)
		}
		if request.client.closed || request.client.request != request {
			return "a statement waits for a client that does not"
		}
	}
	for client := range m.clients {
		if client.request != nil && jobs[client.request] != 1 {
			return "a client waits for a statement that is nowhere"
		}
		isTurned := (client.state == lineproto.StateInTransaction) != (client.transaction != nil)
		if isTurned && client.request == nil {
			return fmt.Sprintf("a client in state %c, transaction %v", client.state, client.transaction != nil)
		}
		if client.transaction != nil && client.transaction.conn != nil && (client.transaction.conn.owner != client || client.transaction.conn.state == connClosed) {
			return "a transaction's connection is not its own"
		}
	}
	return ""
}
