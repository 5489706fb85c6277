package linepool

import (
	"math/rand/v2"
	"slices"
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
)

// seat is one connection that the shared instance holds.
type serverConn struct {
	node     *fleetNode
	conn     *Conn
	queue    []Command
	answerAt time.Duration
	// freed is when the instance drops it where its node has died, 0 before.
	freedAt time.Duration
}

// errand is one operation of a client: its statements, and what came of it.
type operation struct {
	client    *Client
	remaining []Query
	dueAt     time.Duration
	startedAt time.Duration
	// isHeld says that the client rests inside its transaction for good.
	idle bool
}

type fleetNode struct {
	*harness
	name       string
	operations []*operation
	down       bool
}

// crowd plays many machines before one primary with a hard bound on its
// connections, all in virtual time.
type fleet struct {
	random    *rand.Rand
	now       time.Duration
	bound     int
	nodes     []*fleetNode
	conns     []*serverConn
	liveNames []string
	pace      float64
	mostConns int
	opened    int
	refused   int
	done      int
	failed    int
	slowest   time.Duration
}

func newFleet(seed uint64, count, bound int, pace float64) *fleet {
	c := &fleet{random: rand.New(rand.NewPCG(seed, 3)), now: time.Hour, bound: bound, pace: pace, liveNames: nodes(count)}
	for _, name := range c.liveNames {
		c.nodes = append(c.nodes, &fleetNode{name: name})
		c.start(c.nodes[len(c.nodes)-1])
	}
	return c
}

func (c *fleet) start(node *fleetNode) {
	node.harness, node.down, node.operations = newHarnessFor(node.name, c.bound), false, nil
	node.manualOpen, node.now = true, c.now
	node.update(time.Hour)
	node.Tick(c.liveNames, 1, c.now)
}

func (c *fleet) kill(node *fleetNode, isDark bool) {
	node.down = true
	for _, one := range c.conns {
		if one.node == node {
			one.freedAt = c.now
			if isDark {
				one.freedAt = c.now + deadConnTimeout
			}
		}
	}
}

func (c *fleet) addOperation(node *fleetNode, found bool) {
	one := &operation{client: node.client("strict"), startedAt: c.now, dueAt: c.now, remaining: []Query{write("1")}, idle: found}
	if found || c.random.Float64() < 0.6 {
		one.remaining = []Query{begin(), write("1"), write("2"), commit()}
	}
	if found {
		one.remaining = one.remaining[:2]
	}
	node.operations = append(node.operations, one)
}

// run passes time; each node that is up asks at the crowd's pace.
func (c *fleet) run(span time.Duration) {
	for end := c.now + span; c.now < end; {
		c.now += fleetStep
		c.serve()
		for _, node := range c.nodes {
			if !node.down {
				c.advanceNode(node)
			}
		}
	}
}

func (c *fleet) advanceNode(node *fleetNode) {
	node.now = c.now
	if c.now%(25*time.Millisecond) == 0 {
		node.Tick(c.liveNames, 1, c.now)
		node.applyEffects()
	}
	if c.random.Float64() < c.pace*fleetStep.Seconds() {
		c.addOperation(node, false)
	}
	for _, one := range slices.Clone(node.operations) {
		c.advanceOperation(node, one)
	}
	c.collect(node)
}

func (c *fleet) advanceOperation(node *fleetNode, one *operation) {
	said := node.responses[one.client]
	for _, answer := range said {
		isBad := len(answer) > 5 && answer[:5] == "ERROR"
		if isBad && !one.idle {
			c.failed++
			one.remaining = nil
		}
		one.dueAt = c.now + thinkTime
		if len(one.remaining) == 0 && !one.idle {
			node.operations = slices.DeleteFunc(node.operations, func(other *operation) bool { return other == one })
			c.done++
			c.slowest = max(c.slowest, c.now-one.startedAt)
			node.Terminate(one.client, c.now)
			node.applyEffects()
			return
		}
	}
	node.responses[one.client] = nil
	isWaiting := one.client.request != nil
	if !isWaiting && len(one.remaining) > 0 && c.now >= one.dueAt {
		query := one.remaining[0]
		one.remaining = one.remaining[1:]
		node.query(one.client, query)
		one.dueAt = time.Duration(1 << 62)
	}
}

func (c *fleet) collect(node *fleetNode) {
	for _, conn := range node.closedConns {
		c.conns = slices.DeleteFunc(c.conns, func(one *serverConn) bool { return one.conn == conn })
	}
	node.closedConns = nil
	for _, open := range slices.Clone(node.opens) {
		c.opened++
		if len(c.conns) >= c.bound {
			c.refused++
			node.opens = slices.DeleteFunc(node.opens, func(one OpenConn) bool { return one.Conn == open.Conn })
			node.receive(open.Conn, bad(lineproto.CodeTooManyConnections))
			continue
		}
		c.conns = append(c.conns, &serverConn{node: node, conn: open.Conn, answerAt: c.now + handshakeTime})
	}
	node.opens = nil
	for _, send := range node.sends {
		for _, one := range c.conns {
			if one.conn == send.Conn {
				one.queue, one.answerAt = append(one.queue, send.Commands...), c.now+statementTime
			}
		}
	}
	node.sends = nil
	c.mostConns = max(c.mostConns, len(c.conns))
}

// serve answers what is due at the shared instance.
func (c *fleet) serve() {
	c.conns = slices.DeleteFunc(c.conns, func(one *serverConn) bool { return one.freedAt != 0 && c.now >= one.freedAt })
	for _, one := range slices.Clone(c.conns) {
		if one.freedAt != 0 || one.answerAt == 0 || c.now < one.answerAt {
			continue
		}
		one.answerAt, one.node.now = 0, c.now
		if len(one.queue) == 0 {
			one.node.connAccepted(OpenConn{Conn: one.conn})
			continue
		}
		queue := one.queue
		one.queue = nil
		for at, out := range queue {
			state := byte(lineproto.StateIdle)
			inTransaction := one.conn.owner != nil && !(out.Kind == CommandText && out.Text == "commit")
			if inTransaction && (at > 0 || out.Kind == CommandBegin || out.Kind == CommandText) {
				state = lineproto.StateInTransaction
			}
			one.node.receive(one.conn, ok("s"), one.node.readyIn(state))
		}
	}
}

// resting counts the connections that nodes hold and do not use.
func (c *fleet) idleConns() int {
	count := 0
	for _, node := range c.nodes {
		if !node.down {
			count += len(node.instance("a").idle)
		}
	}
	return count
}

func (c *fleet) share(part int) []*fleetNode { return c.nodes[:len(c.nodes)/part] }

func TestScarceConnections(t *testing.T) {
	Convey("More nodes than an instance takes connections all are served", t, func() {
		for _, shape := range []struct {
			count, bound int
			pace         float64
		}{{60, 51, 0.5}, {60, 51, 1}, {30, 20, 0.6}, {60, 110, 1}, {120, 51, 0.3}} {
			c := newFleet(1, shape.count, shape.bound, shape.pace)
			c.run(8 * time.Second)
			So(c.done, ShouldBeGreaterThan, int(float64(shape.count)*shape.pace*6))
			So(c.failed, ShouldEqual, 0)
			So(c.slowest, ShouldBeLessThan, 600*time.Millisecond)
			So(c.mostConns, ShouldBeLessThanOrEqualTo, shape.bound)
			So(float64(c.refused), ShouldBeLessThan, 0.02*float64(c.opened)+1)
			c.pace = 0
			c.run(3 * time.Second)
			So(c.idleConns(), ShouldBeLessThanOrEqualTo, shape.bound/2)
			So(len(c.conns), ShouldEqual, c.idleConns())
		}
	})
	Convey("They are while nodes die, come back and leave", t, func() {
		c := newFleet(2, 60, 51, 0.6)
		c.run(5 * time.Second)
		herd := c.share(3)
		for _, node := range herd {
			c.kill(node, true)
		}
		c.run(1500 * time.Millisecond)
		c.liveNames = c.liveNames[len(herd):]
		c.run(4 * time.Second)
		c.liveNames = nodes(60)
		for _, node := range herd {
			c.start(node)
		}
		c.run(5 * time.Second)
		for _, node := range c.nodes[50:] {
			c.kill(node, false)
		}
		c.liveNames = c.liveNames[:50]
		c.run(8 * time.Second)
		c.pace = 0.05
		c.run(62 * time.Second)
		So(c.failed, ShouldEqual, 0)
		So(c.mostConns, ShouldBeLessThanOrEqualTo, c.bound)
		c.pace = 0
		c.run(3 * time.Second)
		So(c.idleConns(), ShouldBeLessThanOrEqualTo, c.bound/2)
	})
	Convey("They are beside transactions that rest, which end in time", t, func() {
		c := newFleet(3, 60, 51, 0.5)
		c.run(3 * time.Second)
		for _, node := range c.share(3) {
			c.addOperation(node, true)
		}
		c.run(10 * time.Second)
		So(c.failed, ShouldEqual, 0)
		rested := int64(0)
		for _, node := range c.nodes {
			rested += node.counts["transactions_rested_out"]
		}
		So(rested, ShouldEqual, len(c.share(3)))
	})
	Convey("Where transactions that rest take all connections, the others are served again once those have ended", t, func() {
		c := newFleet(4, 60, 51, 0)
		for range 2 {
			for _, node := range c.nodes {
				c.addOperation(node, true)
			}
		}
		c.run(2 * time.Second)
		So(len(c.conns), ShouldEqual, c.bound)
		c.run(5 * time.Second)
		c.failed, c.pace = 0, 0.5
		c.run(5 * time.Second)
		So(c.done, ShouldBeGreaterThan, 100)
		So(c.failed, ShouldEqual, 0)
	})
}
