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

// harness runs one machine against scripted instances. Database x has the
// primary a and the replicas b and c. Database y has only the primary d.
type harness struct {
	*Machine
	now    time.Duration
	counts map[string]int64
	// responses holds the formatted responses to each client.
	responses     map[*Client][]string
	closedClients map[*Client]bool
	// opens holds the connections that wait for their handshake. sends holds
	// the writes to instances that wait for an answer.
	opens       []OpenConn
	sends       []Send
	closedConns []*Conn
	reports     int
	// snapshot and registry are the contents of the next update. version is the
	// number of updates so far.
	snapshot model.Snapshot
	registry []model.Instance
	version  uint64
	// manualOpen is true if connections wait until the test accepts them.
	manualOpen bool
	// logIndex is the position of database x's primary.
	logIndex uint64
}

// leaseDuration is the duration of the lease that most updates grant.
const leaseDuration = 1600 * time.Millisecond

func newHarness(connections int) *harness { return newHarnessFor("d1", connections) }

func newHarnessFor(name string, connections int) *harness {
	h := &harness{
		now:           time.Hour,
		counts:        map[string]int64{},
		responses:     map[*Client][]string{},
		closedClients: map[*Client]bool{},
		logIndex:      100,
		registry:      testRegistry(),
		snapshot:      testSnapshot(connections),
	}
	node := Node{Name: name, Zone: "za", Incarnation: 1, Weight: 1}
	h.Machine = New(node, DefaultTiming(), lease.DefaultTiming(), func(name string, by int64) { h.counts[name] += by })
	h.update(leaseDuration)
	return h
}

func testRegistry() []model.Instance {
	instance := func(name, database, zone, role string) model.Instance {
		return model.Instance{Name: name, Database: database, Address: name + ":1", Zone: zone, Role: role, SyncReplication: true}
	}
	return []model.Instance{
		instance("a", "x", "zc", model.RolePrimary),
		instance("b", "x", "za", model.RoleReplica),
		instance("c", "x", "zb", model.RoleReplica),
		instance("d", "y", "za", model.RolePrimary),
	}
}

// testSnapshot returns a snapshot with an open term for each database and one
// binding set in force.
func testSnapshot(connections int) model.Snapshot {
	database := func(name string) model.Database {
		return model.Database{Name: name, MaxConnections: connections, MinSyncReplicas: 1}
	}
	return model.Snapshot{
		Writers: map[string]model.WriterRole{
			"x": {Database: "x", Term: 3, Primary: "a", Phase: model.PhaseOpen, SyncReplication: true},
			"y": {Database: "y", Term: 1, Primary: "d", Phase: model.PhaseOpen, SyncReplication: true},
		},
		Sets: []model.BindingSet{{
			Sequence:    1,
			EffectiveAt: 1,
			Version:     5,
			Limits:      model.Limits{TransactionIdleTimeout: 3 * time.Second},
			Databases:   []model.Database{database("x"), database("y")},
			Bindings:    testBindings(),
		}},
	}
}

// testBindings returns bindings that are named after their special property;
// strict has none.
func testBindings() []model.Binding {
	strict := model.Binding{Name: "strict", Database: "x", Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond, Priority: 1}
	stale := strict
	stale.Name, stale.Freshness = "stale", 1500*time.Millisecond
	own := stale
	own.Name, own.ReadYourWrites = "own", true
	urgent := strict
	urgent.Name, urgent.Priority = "urgent", 0
	other := strict
	other.Name, other.Database = "other", "y"
	return []model.Binding{strict, stale, own, urgent, other}
}

// update applies an update with the current snapshot and registry, and with a
// lease.
func (h *harness) update(leaseDuration time.Duration) {
	h.version++
	snapshot := h.snapshot
	snapshot.Version = store.Version{Epoch: 1, Sequence: h.version}
	snapshot.Writers = map[string]model.WriterRole{}
	for name, writer := range h.snapshot.Writers {
		snapshot.Writers[name] = writer
	}
	snapshot.Sets = slices.Clone(h.snapshot.Sets)
	h.ApplyUpdate(distribution.Update{
		FromPrimary: true, Record: consensus.Record{Epoch: 1, Primary: "c1"}, LeaseDuration: leaseDuration, PrimaryTime: int64(h.now), Snapshot: &snapshot,
		ListVersion: distribution.ListVersion{Tenure: "t", Number: h.version}, Instances: slices.Clone(h.registry),
	}, h.now, h.now)
	h.applyEffects()
}

// setWriter changes the writer role of database x.
func (h *harness) setWriter(phase, primary string, term uint64) {
	h.snapshot.Writers["x"] = model.WriterRole{Database: "x", Term: term, Primary: primary, Phase: phase, SyncReplication: true}
	h.update(leaseDuration)
}

// registered returns an instance of the registry, so that the test can change
// it.
func (h *harness) registered(name string) *model.Instance {
	return &h.registry[slices.IndexFunc(h.registry, func(instance model.Instance) bool { return instance.Name == name })]
}

// applyEffects carries out effects until none are left.
func (h *harness) applyEffects() {
	for {
		effects := h.Effects()
		if len(effects) == 0 && (h.manualOpen || len(h.opens) == 0) {
			return
		}
		for _, effect := range effects {
			h.applyEffect(effect)
		}
		if len(effects) == 0 {
			h.acceptConn(h.opens[0])
		}
	}
}

func (h *harness) applyEffect(effect Effect) {
	if respond, ok := effect.(Respond); ok {
		var lines []string
		for _, message := range respond.Messages {
			lines = append(lines, formatMessage(message))
		}
		h.responses[respond.Client] = append(h.responses[respond.Client], strings.Join(lines, " / "))
	}
	if closed, ok := effect.(CloseClient); ok {
		h.closedClients[closed.Client] = true
	}
	if send, ok := effect.(Send); ok {
		if send.Conn.IsClosed() {
			So(formatCommands(send), ShouldEqual, "sent on a closed connection")
		}
		h.sends = append(h.sends, send)
	}
	if closed, ok := effect.(CloseConn); ok {
		h.closedConns = append(h.closedConns, closed.Conn)
		h.sends = slices.DeleteFunc(h.sends, func(send Send) bool { return send.Conn == closed.Conn })
		h.opens = slices.DeleteFunc(h.opens, func(open OpenConn) bool { return open.Conn == closed.Conn })
	}
	if open, ok := effect.(OpenConn); ok {
		h.opens = append(h.opens, open)
	}
	if _, ok := effect.(Report); ok {
		h.reports++
	}
}

func (h *harness) acceptConn(open OpenConn) {
	h.opens = slices.DeleteFunc(h.opens, func(other OpenConn) bool { return other.Conn == open.Conn })
	h.Received(open.Conn, h.readyIn(lineproto.StateIdle), h.now)
}

// acceptAndApply accepts a connection as the instance does, and carries out the
// effects.
func (h *harness) acceptAndApply(open OpenConn) {
	h.acceptConn(open)
	h.applyEffects()
}

func (h *harness) position() model.Position {
	return model.Position{Term: h.snapshot.Writers["x"].Term, Index: h.logIndex}
}

// nodes returns the names of the given number of nodes, including the harness's
// own.
func nodes(count int) []string {
	names := make([]string, count)
	for index := range names {
		names[index] = fmt.Sprintf("d%d", index+1)
	}
	return names
}

// advance advances the time by span and runs one tick.
func (h *harness) advance(span time.Duration) {
	h.now += span
	h.Tick(nodes(1), 1, h.now)
	h.applyEffects()
}

// advanceInTicks advances the time in ticks, with a lease throughout.
func (h *harness) advanceInTicks(span time.Duration) {
	for end := h.now + span; h.now < end; {
		h.advance(min(25*time.Millisecond, end-h.now))
		h.update(leaseDuration)
	}
}

// client connects a client to a binding.
func (h *harness) client(binding string) *Client {
	client := h.Accept(nil, h.now)
	h.Connect(client, binding, h.now)
	h.applyEffects()
	return client
}

func (h *harness) query(client *Client, query Query) {
	h.Query(client, query, h.now)
	h.applyEffects()
}

// lastResponse returns the last response to a client.
func (h *harness) lastResponse(client *Client) string {
	if len(h.responses[client]) == 0 {
		return ""
	}
	return h.responses[client][len(h.responses[client])-1]
}

func (h *harness) responseCount(client *Client) int { return len(h.responses[client]) }

// nextSend removes and returns the oldest unanswered write to an instance.
func (h *harness) nextSend() Send {
	So(len(h.sends), ShouldBeGreaterThan, 0)
	send := h.sends[0]
	h.sends = h.sends[1:]
	return send
}

func (h *harness) receive(conn *Conn, messages ...lineproto.Message) {
	for _, message := range messages {
		h.Received(conn, message, h.now)
	}
	h.applyEffects()
}

func (h *harness) readyIn(state byte) lineproto.Message {
	return lineproto.Message{Kind: lineproto.KindReady, State: state, Position: h.position()}
}

// answerSend answers a write to an instance. The commands before the last are
// answered as done.
func (h *harness) answerSend(send Send, state byte, messages ...lineproto.Message) {
	for range send.Commands[:len(send.Commands)-1] {
		h.receive(send.Conn, done("-"), h.readyIn(lineproto.StateIdle))
	}
	h.receive(send.Conn, append(messages, h.readyIn(state))...)
}

// answerBegin answers the BEGIN command in the next write, and returns the
// following write, which contains the statement itself.
func (h *harness) answerBegin() Send {
	send := h.nextSend()
	So([]CommandKind{CommandBegin, CommandBeginReadOnly}, ShouldContain, send.Commands[len(send.Commands)-1].Kind)
	h.answerSend(send, lineproto.StateInTransaction, done("-"))
	return h.nextSend()
}

func (h *harness) loseConn(conn *Conn) {
	h.ConnLost(conn, h.now)
	h.sends = slices.DeleteFunc(h.sends, func(send Send) bool { return send.Conn == conn })
	h.applyEffects()
}

// target returns the name of the instance that a write is for.
func (send Send) target() string { return send.Conn.instance.info.Name }

func (send Send) minPosition() model.Position { return send.Commands[len(send.Commands)-1].MinPosition }

// samplePosition makes the node sample the primary's position with a read
// there.
func (h *harness) samplePosition() {
	client := h.client("strict")
	h.query(client, read("sample"))
	h.answerSend(h.nextSend(), lineproto.StateIdle, done("s"))
	h.Terminate(client, h.now)
	h.applyEffects()
}
