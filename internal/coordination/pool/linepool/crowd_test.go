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
	crowdStep      = 5 * time.Millisecond
	crowdHandshake = 12 * time.Millisecond
	crowdWork      = 8 * time.Millisecond
	crowdThink     = 25 * time.Millisecond
	crowdDark      = 3 * time.Second
)

// seat is one connection that the shared instance holds.
type seat struct {
	node  *crowdNode
	conn  *Conn
	queue []Out
	due   time.Duration
	// freed is when the instance drops it where its node has died, 0 before.
	freed time.Duration
}

// errand is one operation of a client: its statements, and what came of it.
type errand struct {
	client *Client
	rest   []Asked
	dueAt  time.Duration
	since  time.Duration
	// isHeld says that the client rests inside its transaction for good.
	isHeld bool
}

type crowdNode struct {
	*rig
	name    string
	errands []*errand
	isDown  bool
}

// crowd plays many machines before one primary with a hard bound on its
// connections, all in virtual time.
type crowd struct {
	random  *rand.Rand
	now     time.Duration
	bound   int
	nodes   []*crowdNode
	seats   []*seat
	views   []string
	pace    float64
	most    int
	opened  int
	refused int
	done    int
	failed  int
	slowest time.Duration
}

func newCrowd(seed uint64, count, bound int, pace float64) *crowd {
	c := &crowd{random: rand.New(rand.NewPCG(seed, 3)), now: time.Hour, bound: bound, pace: pace, views: nodes(count)}
	for _, name := range c.views {
		c.nodes = append(c.nodes, &crowdNode{name: name})
		c.start(c.nodes[len(c.nodes)-1])
	}
	return c
}

func (c *crowd) start(node *crowdNode) {
	node.rig, node.isDown, node.errands = newRigOf(node.name, c.bound), false, nil
	node.isSlow, node.now = true, c.now
	node.news(time.Hour)
	node.Beat(c.views, 1, c.now)
}

func (c *crowd) kill(node *crowdNode, isDark bool) {
	node.isDown = true
	for _, one := range c.seats {
		if one.node == node {
			one.freed = c.now
			if isDark {
				one.freed = c.now + crowdDark
			}
		}
	}
}

func (c *crowd) ask(node *crowdNode, isHeld bool) {
	one := &errand{client: node.client("strict"), since: c.now, dueAt: c.now, rest: []Asked{write("1")}, isHeld: isHeld}
	if isHeld || c.random.Float64() < 0.6 {
		one.rest = []Asked{begin(), write("1"), write("2"), commit()}
	}
	if isHeld {
		one.rest = one.rest[:2]
	}
	node.errands = append(node.errands, one)
}

// run passes time; each node that is up asks at the crowd's pace.
func (c *crowd) run(span time.Duration) {
	for end := c.now + span; c.now < end; {
		c.now += crowdStep
		c.serve()
		for _, node := range c.nodes {
			if !node.isDown {
				c.turn(node)
			}
		}
	}
}

func (c *crowd) turn(node *crowdNode) {
	node.now = c.now
	if c.now%(25*time.Millisecond) == 0 {
		node.Beat(c.views, 1, c.now)
		node.flow()
	}
	if c.random.Float64() < c.pace*crowdStep.Seconds() {
		c.ask(node, false)
	}
	for _, one := range slices.Clone(node.errands) {
		c.step(node, one)
	}
	c.collect(node)
}

func (c *crowd) step(node *crowdNode, one *errand) {
	said := node.said[one.client]
	for _, answer := range said {
		isBad := len(answer) > 5 && answer[:5] == "ERROR"
		if isBad && !one.isHeld {
			c.failed++
			one.rest = nil
		}
		one.dueAt = c.now + crowdThink
		if len(one.rest) == 0 && !one.isHeld {
			node.errands = slices.DeleteFunc(node.errands, func(other *errand) bool { return other == one })
			c.done++
			c.slowest = max(c.slowest, c.now-one.since)
			node.Bye(one.client, c.now)
			node.flow()
			return
		}
	}
	node.said[one.client] = nil
	isWaiting := one.client.job != nil
	if !isWaiting && len(one.rest) > 0 && c.now >= one.dueAt {
		asked := one.rest[0]
		one.rest = one.rest[1:]
		node.query(one.client, asked)
		one.dueAt = time.Duration(1 << 62)
	}
}

func (c *crowd) collect(node *crowdNode) {
	for _, conn := range node.shuts {
		c.seats = slices.DeleteFunc(c.seats, func(one *seat) bool { return one.conn == conn })
	}
	node.shuts = nil
	for _, open := range slices.Clone(node.opens) {
		c.opened++
		if len(c.seats) >= c.bound {
			c.refused++
			node.opens = slices.DeleteFunc(node.opens, func(one Open) bool { return one.Conn == open.Conn })
			node.came(open.Conn, bad(lineproto.CodeFull))
			continue
		}
		c.seats = append(c.seats, &seat{node: node, conn: open.Conn, due: c.now + crowdHandshake})
	}
	node.opens = nil
	for _, send := range node.sends {
		for _, one := range c.seats {
			if one.conn == send.Conn {
				one.queue, one.due = append(one.queue, send.Outs...), c.now+crowdWork
			}
		}
	}
	node.sends = nil
	c.most = max(c.most, len(c.seats))
}

// serve answers what is due at the shared instance.
func (c *crowd) serve() {
	c.seats = slices.DeleteFunc(c.seats, func(one *seat) bool { return one.freed != 0 && c.now >= one.freed })
	for _, one := range slices.Clone(c.seats) {
		if one.freed != 0 || one.due == 0 || c.now < one.due {
			continue
		}
		one.due, one.node.now = 0, c.now
		if len(one.queue) == 0 {
			one.node.welcomed(Open{Conn: one.conn})
			continue
		}
		queue := one.queue
		one.queue = nil
		for at, out := range queue {
			state := byte(lineproto.StateIdle)
			isInside := one.conn.owner != nil && !(out.Kind == OutText && out.Text == "commit")
			if isInside && (at > 0 || out.Kind == OutBegin || out.Kind == OutText) {
				state = lineproto.StateInside
			}
			one.node.came(one.conn, ok("s"), one.node.at(state))
		}
	}
}

// resting counts the connections that nodes hold and do not use.
func (c *crowd) resting() int {
	count := 0
	for _, node := range c.nodes {
		if !node.isDown {
			count += len(node.back("a").idle)
		}
	}
	return count
}

func (c *crowd) share(part int) []*crowdNode { return c.nodes[:len(c.nodes)/part] }

func TestCrowd(t *testing.T) {
	Convey("More nodes than an instance takes connections all are served", t, func() {
		for _, shape := range []struct {
			count, bound int
			pace         float64
		}{{60, 51, 0.5}, {60, 51, 1}, {30, 20, 0.6}, {60, 110, 1}, {120, 51, 0.3}} {
			c := newCrowd(1, shape.count, shape.bound, shape.pace)
			c.run(8 * time.Second)
			So(c.done, ShouldBeGreaterThan, int(float64(shape.count)*shape.pace*6))
			So(c.failed, ShouldEqual, 0)
			So(c.slowest, ShouldBeLessThan, 600*time.Millisecond)
			So(c.most, ShouldBeLessThanOrEqualTo, shape.bound)
			So(float64(c.refused), ShouldBeLessThan, 0.02*float64(c.opened)+1)
			c.pace = 0
			c.run(3 * time.Second)
			So(c.resting(), ShouldBeLessThanOrEqualTo, shape.bound/2)
			So(len(c.seats), ShouldEqual, c.resting())
		}
	})
	Convey("They are while nodes die, come back and leave", t, func() {
		c := newCrowd(2, 60, 51, 0.6)
		c.run(5 * time.Second)
		herd := c.share(3)
		for _, node := range herd {
			c.kill(node, true)
		}
		c.run(1500 * time.Millisecond)
		c.views = c.views[len(herd):]
		c.run(4 * time.Second)
		c.views = nodes(60)
		for _, node := range herd {
			c.start(node)
		}
		c.run(5 * time.Second)
		for _, node := range c.nodes[50:] {
			c.kill(node, false)
		}
		c.views = c.views[:50]
		c.run(8 * time.Second)
		c.pace = 0.05
		c.run(62 * time.Second)
		So(c.failed, ShouldEqual, 0)
		So(c.most, ShouldBeLessThanOrEqualTo, c.bound)
		c.pace = 0
		c.run(3 * time.Second)
		So(c.resting(), ShouldBeLessThanOrEqualTo, c.bound/2)
	})
	Convey("They are beside transactions that rest, which end in time", t, func() {
		c := newCrowd(3, 60, 51, 0.5)
		c.run(3 * time.Second)
		for _, node := range c.share(3) {
			c.ask(node, true)
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
		c := newCrowd(4, 60, 51, 0)
		for range 2 {
			for _, node := range c.nodes {
				c.ask(node, true)
			}
		}
		c.run(2 * time.Second)
		So(len(c.seats), ShouldEqual, c.bound)
		c.run(5 * time.Second)
		c.failed, c.pace = 0, 0.5
		c.run(5 * time.Second)
		So(c.done, ShouldBeGreaterThan, 100)
		So(c.failed, ShouldEqual, 0)
	})
}
