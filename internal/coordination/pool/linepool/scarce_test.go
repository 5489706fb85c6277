package linepool

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
)

const (
	fleetStep       = 5 * time.Millisecond
	handshakeTime   = 12 * time.Millisecond
	statementTime   = 8 * time.Millisecond
	thinkTime       = 25 * time.Millisecond
	deadConnTimeout = 3 * time.Second

	never = time.Duration(1 << 62)
)

// serverConn is one connection at the shared instance.
type serverConn struct {
	node     *fleetNode
	conn     *Conn
	queue    []Command
	answerAt time.Duration
	// freedAt is the time at which the instance drops the connection after its
	// node has died; 0 while the node is up.
	freedAt time.Duration
}

// clientOperation is the work of one client: the statements that are still to
// be sent, and the time at which the next one is sent.
type clientOperation struct {
	client    *Client
	remaining []Query
	dueAt     time.Duration
	startedAt time.Duration
	// idle is true if the client stays inside its transaction without sending
	// anything more.
	idle bool
}

type fleetNode struct {
	*harness
	name       string
	operations []*clientOperation
	down       bool
}

// fleet runs many machines, in virtual time, against one primary that accepts a
// limited number of connections.
type fleet struct {
	random    *rand.Rand
	now       time.Duration
	maxConns  int
	nodes     []*fleetNode
	conns     []*serverConn
	liveNames []string
	rate      float64
	// logIndex is the position of the instance.
	logIndex  uint64
	mostConns int
	opened    int
	refused   int
	completed int
	failed    int
	slowest   time.Duration
}

func newFleet(seed uint64, count, maxConns int, rate float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 3)), now: time.Hour, logIndex: 100, maxConns: maxConns, rate: rate, liveNames: nodes(count)}
	for _, name := range f.liveNames {
		f.nodes = append(f.nodes, &fleetNode{name: name})
		f.start(f.nodes[len(f.nodes)-1])
	}
	return f
}

func (f *fleet) start(node *fleetNode) {
	node.harness, node.down, node.operations = newHarnessFor(node.name, f.maxConns), false, nil
	node.manualOpen, node.now = true, f.now
	node.update(time.Hour)
	node.Tick(f.liveNames, 1, f.now)
}

// kill stops a node. The instance drops the node's connections at once, or
// after deadConnTimeout if the node vanished without closing them.
func (f *fleet) kill(node *fleetNode, vanished bool) {
	node.down = true
	for _, conn := range f.conns {
		if conn.node == node {
			conn.freedAt = f.now
			if vanished {
				conn.freedAt = f.now + deadConnTimeout
			}
		}
	}
}

func (f *fleet) addOperation(node *fleetNode, idle bool) {
	operation := &clientOperation{client: node.client("strict"), startedAt: f.now, dueAt: f.now, remaining: []Query{write("1")}, idle: idle}
	if idle || f.random.Float64() < 0.6 {
		operation.remaining = []Query{begin(), write("1"), write("2"), commit()}
	}
	if idle {
		operation.remaining = operation.remaining[:2]
	}
	node.operations = append(node.operations, operation)
}

// run advances the time. Each node that is up starts new operations at the
// fleet's rate.
func (f *fleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; {
		f.now += fleetStep
		f.serve()
		for _, node := range f.nodes {
			if !node.down {
				f.advanceNode(node)
			}
		}
	}
}

func (f *fleet) advanceNode(node *fleetNode) {
	node.now = f.now
	if f.now%(25*time.Millisecond) == 0 {
		node.Tick(f.liveNames, 1, f.now)
		node.applyEffects()
	}
	if f.random.Float64() < f.rate*fleetStep.Seconds() {
		f.addOperation(node, false)
	}
	for _, operation := range slices.Clone(node.operations) {
		f.advanceOperation(node, operation)
	}
	f.collect(node)
}

func (f *fleet) advanceOperation(node *fleetNode, operation *clientOperation) {
	for _, answer := range node.responses[operation.client] {
		if strings.HasPrefix(answer, "ERROR") && !operation.idle {
			f.failed++
			operation.remaining = nil
		}
		operation.dueAt = f.now + thinkTime
		if len(operation.remaining) == 0 && !operation.idle {
			f.endOperation(node, operation)
			return
		}
	}
	node.responses[operation.client] = nil
	waiting := operation.client.request != nil
	if !waiting && len(operation.remaining) > 0 && f.now >= operation.dueAt {
		query := operation.remaining[0]
		operation.remaining = operation.remaining[1:]
		node.query(operation.client, query)
		operation.dueAt = never
	}
}

func (f *fleet) endOperation(node *fleetNode, operation *clientOperation) {
	node.operations = slices.DeleteFunc(node.operations, func(other *clientOperation) bool { return other == operation })
	f.completed++
	f.slowest = max(f.slowest, f.now-operation.startedAt)
	node.Terminate(operation.client, f.now)
	node.applyEffects()
}

// collect delivers a node's effects to the shared instance, which refuses
// connections beyond its limit.
func (f *fleet) collect(node *fleetNode) {
	for _, conn := range node.closedConns {
		f.conns = slices.DeleteFunc(f.conns, func(other *serverConn) bool { return other.conn == conn })
	}
	node.closedConns = nil
	for _, open := range slices.Clone(node.opens) {
		f.opened++
		if len(f.conns) >= f.maxConns {
			f.refused++
			node.opens = slices.DeleteFunc(node.opens, func(other OpenConn) bool { return other.Conn == open.Conn })
			node.receive(open.Conn, failure(lineproto.CodeTooManyConnections))
			continue
		}
		f.conns = append(f.conns, &serverConn{node: node, conn: open.Conn, answerAt: f.now + handshakeTime})
	}
	node.opens = nil
	for _, send := range node.sends {
		for _, conn := range f.conns {
			if conn.conn == send.Conn {
				conn.queue, conn.answerAt = append(conn.queue, send.Commands...), f.now+statementTime
			}
		}
	}
	node.sends = nil
	f.mostConns = max(f.mostConns, len(f.conns))
}

// resultOfCommand returns the result of a command that succeeds.
func resultOfCommand(command Command) lineproto.Message {
	if command.Kind == CommandText || command.Kind == CommandExecute {
		return done("s")
	}
	return done(lineproto.NoStamp)
}

// serve sends the answers of the shared instance that are due.
func (f *fleet) serve() {
	f.conns = slices.DeleteFunc(f.conns, func(conn *serverConn) bool { return conn.freedAt != 0 && f.now >= conn.freedAt })
	for _, conn := range slices.Clone(f.conns) {
		if conn.freedAt != 0 || conn.answerAt == 0 || f.now < conn.answerAt {
			continue
		}
		conn.answerAt, conn.node.now = 0, f.now
		if len(conn.queue) == 0 {
			conn.node.acceptAndApply(OpenConn{Conn: conn.conn})
			continue
		}
		queue := conn.queue
		conn.queue = nil
		for index, command := range queue {
			state := byte(lineproto.StateIdle)
			inTransaction := conn.conn.owner != nil && !(command.Kind == CommandText && command.Text == "commit")
			if inTransaction && (index > 0 || command.Kind == CommandBegin || command.Kind == CommandText) {
				state = lineproto.StateInTransaction
			}
			if command.Text == "commit" || (command.Kind == CommandText && !inTransaction) {
				f.logIndex++
			}
			conn.node.logIndex = f.logIndex
			conn.node.receive(conn.conn, resultOfCommand(command), conn.node.readyIn(state))
		}
	}
}

// idleConns returns the number of connections that nodes keep without using
// them.
func (f *fleet) idleConns() int {
	count := 0
	for _, node := range f.nodes {
		if !node.down {
			count += len(node.instance("a").idle)
		}
	}
	return count
}

// firstFraction returns the first of the given number of equal parts of the
// nodes.
func (f *fleet) firstFraction(parts int) []*fleetNode { return f.nodes[:len(f.nodes)/parts] }

func TestScarceConnections(t *testing.T) {
	Convey("An instance with few connections for its number of nodes serves the operations of all nodes", t, func() {
		for _, load := range []struct {
			count, maxConns int
			rate            float64
		}{{60, 51, 0.5}, {60, 51, 1}, {30, 20, 0.6}, {60, 110, 1}, {120, 51, 0.3}} {
			f := newFleet(1, load.count, load.maxConns, load.rate)
			f.run(8 * time.Second)
			So(f.completed, ShouldBeGreaterThan, int(float64(load.count)*load.rate*6))
			So(f.failed, ShouldEqual, 0)
			So(f.slowest, ShouldBeLessThan, 600*time.Millisecond)
			So(f.mostConns, ShouldBeLessThanOrEqualTo, load.maxConns)
			So(float64(f.refused), ShouldBeLessThan, 0.02*float64(f.opened)+1)
			f.rate = 0
			f.run(3 * time.Second)
			So(f.idleConns(), ShouldBeLessThanOrEqualTo, load.maxConns/2)
			So(len(f.conns), ShouldEqual, f.idleConns())
		}
	})
	Convey("Operations are served while nodes die, return and leave", t, func() {
		f := newFleet(2, 60, 51, 0.6)
		f.run(5 * time.Second)
		killed := f.firstFraction(3)
		for _, node := range killed {
			f.kill(node, true)
		}
		f.run(1500 * time.Millisecond)
		f.liveNames = f.liveNames[len(killed):]
		f.run(4 * time.Second)
		f.liveNames = nodes(60)
		for _, node := range killed {
			f.start(node)
		}
		f.run(5 * time.Second)
		for _, node := range f.nodes[50:] {
			f.kill(node, false)
		}
		f.liveNames = f.liveNames[:50]
		f.run(8 * time.Second)
		f.rate = 0.05
		f.run(62 * time.Second)
		So(f.failed, ShouldEqual, 0)
		So(f.mostConns, ShouldBeLessThanOrEqualTo, f.maxConns)
		f.rate = 0
		f.run(3 * time.Second)
		So(f.idleConns(), ShouldBeLessThanOrEqualTo, f.maxConns/2)
	})
	Convey("Operations are served next to idle transactions, which are ended at the idle limit", t, func() {
		f := newFleet(3, 60, 51, 0.5)
		f.run(3 * time.Second)
		for _, node := range f.firstFraction(3) {
			f.addOperation(node, true)
		}
		f.run(10 * time.Second)
		So(f.failed, ShouldEqual, 0)
		timedOut := int64(0)
		for _, node := range f.nodes {
			timedOut += node.counts["transactions_rested_out"]
		}
		So(timedOut, ShouldEqual, len(f.firstFraction(3)))
	})
	Convey("When idle transactions take all connections, other operations are served after those transactions are ended", t, func() {
		f := newFleet(4, 60, 51, 0)
		for range 2 {
			for _, node := range f.nodes {
				f.addOperation(node, true)
			}
		}
		f.run(2 * time.Second)
		So(len(f.conns), ShouldEqual, f.maxConns)
		f.run(5 * time.Second)
		f.failed, f.rate = 0, 0.5
		f.run(5 * time.Second)
		So(f.completed, ShouldBeGreaterThan, 100)
		So(f.failed, ShouldEqual, 0)
	})
}
