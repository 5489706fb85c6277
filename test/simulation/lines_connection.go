package simulation

import (
	"time"

	"tansyseam/internal/coordination/pool/linepool"
	"tansyseam/internal/state/lineproto"
)

const (
	// lineMessageGap keeps the messages of one direction in order.
	lineMessageGap = time.Microsecond
	// lateAnswerDelay is that of the defect LateAnswers.
	lateAnswerDelay = 2 * time.Millisecond
	// connectTime is how long an instance takes to open a session.
	connectTime = 2 * time.Millisecond
	// lineCrashDetection is how soon an instance sees the crash of a node,
	// lineVanishedTimeout how soon where the node vanished.
	lineCrashDetection  = 2 * time.Millisecond
	lineVanishedTimeout = 3 * time.Second
)

// lineConnection is a connection from a node to an instance.
type lineConnection struct {
	node                *lineNode
	nodeIncarnation     int
	instance            *lineInstance
	instanceIncarnation int
	poolConnection      *linepool.Conn
	// session is the instance's end; nil until it is open.
	session *serverSession
	// lastToInstance and lastToNode are when the last messages arrive.
	lastToInstance, lastToNode time.Duration
	closed                     bool

	window connectionWindow
}

func (c *lineConnection) transitTime() time.Duration {
	s := c.node.simulator
	return s.reliableTransit() + s.network.extraDelay
}

// nextArrival gives when a message arrives that is sent now, after the last
// one.
func (c *lineConnection) nextArrival(last time.Duration) time.Duration {
	return max(c.node.simulator.now+c.transitTime(), last+lineMessageGap)
}

func (c *lineConnection) sendToInstance(receive func()) {
	s := c.node.simulator
	c.lastToInstance = c.nextArrival(c.lastToInstance)
	s.after(c.lastToInstance-s.now, func() {
		if c.instance.running && c.instance.incarnation == c.instanceIncarnation {
			c.instance.runDuring(c.instanceIncarnation, receive)
			return
		}
		if c.instance.running || !c.instance.vanished {
			c.breakOff()
		}
	})
}

func (c *lineConnection) sendToNode(receive func()) {
	s := c.node.simulator
	c.lastToNode = c.nextArrival(c.lastToNode)
	s.after(c.lastToNode-s.now, func() {
		c.node.runDuring(c.nodeIncarnation, func() {
			if !c.closed {
				receive()
			}
		})
	})
}

// deliverMessages passes an instance's messages to the node's pool.
func (c *lineConnection) deliverMessages(messages ...lineproto.Message) {
	c.sendToNode(func() {
		c.node.step(func(now time.Duration) {
			if c.node.fleet.defects.LateAnswers {
				now += lateAnswerDelay
			}
			for _, message := range messages {
				c.node.modelAnswer(c, message)
				c.node.pool.Received(c.poolConnection, message, now)
			}
		})
	})
}

// breakOff ends the connection at the instance's end.
func (c *lineConnection) breakOff() {
	c.sendToNode(func() {
		c.node.dropConnection(c)
		c.node.step(func(now time.Duration) { c.node.pool.ConnLost(c.poolConnection, now) })
	})
}

// refuse answers with an error, and ends the connection.
func (c *lineConnection) refuse(code lineproto.Code, text string) {
	c.deliverMessages(errorMessage(code, text))
	c.breakOff()
}

// closeSession ends the instance's end, for the node's end that is closed.
func (c *lineConnection) closeSession() {
	if c.session != nil {
		c.session.closeFromPeer()
	}
}

// onNodeCrash has the instance see the crash of the node, after what was sent
// before.
func (c *lineConnection) onNodeCrash(vanished bool) {
	c.closed = true
	delay := lineCrashDetection
	if vanished {
		delay = lineVanishedTimeout
	}
	s := c.node.simulator
	s.after(max(delay, c.lastToInstance-s.now+lineMessageGap), func() {
		c.instance.runDuring(c.instanceIncarnation, c.closeSession)
	})
}

// accept opens a session at the instance, which takes a slot for a while.
func (c *lineConnection) accept(instance string) {
	target := c.instance
	if instance != target.name {
		c.refuse(lineproto.CodeWrongInstance, "WRONGHOST")
		return
	}
	if len(target.sessions) >= target.fleet.config.Connections {
		c.refuse(lineproto.CodeTooManyConnections, "FULL")
		return
	}
	session := newServerSession(target, c)
	target.sessions = append(target.sessions, session)
	accepted := target.runInSlot(func(release func()) {
		target.after(connectTime, func() {
			release()
			if !session.closed {
				c.session = session
				session.answer()
			}
		})
	})
	if !accepted {
		session.close()
		c.refuse(lineproto.CodeBusy, "BUSY")
	}
}
