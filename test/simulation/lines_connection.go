package simulation

import (
	"time"

	"tansyseam/internal/coordination/pool/linepool"
	"tansyseam/internal/state/lineproto"
)

const (
	// lineMessageGap keeps the messages of one direction in order.
	lineMessageGap = time.Microsecond
	// lateAnswerDelay is the delay that the defect LateAnswers adds.
	lateAnswerDelay = 2 * time.Millisecond
	// connectTime is the time that an instance takes to open a session.
	connectTime = 2 * time.Millisecond
	// lineCrashDetection is the time from the crash of a node until instances
	// detect it.
	lineCrashDetection = 2 * time.Millisecond
	// lineVanishedTimeout is the time until instances detect that a node has
	// vanished without closing its connections.
	lineVanishedTimeout = 3 * time.Second
)

// lineConnection is a connection from a node to an instance.
type lineConnection struct {
	node                *lineNode
	nodeIncarnation     int
	instance            *lineInstance
	instanceIncarnation int
	poolConnection      *linepool.Conn
	// session is the instance's end of the connection; nil until it is open.
	session *serverSession
	// lastToInstance and lastToNode are the times at which the last message
	// sent in each direction arrives.
	lastToInstance, lastToNode time.Duration
	closed                     bool

	window connectionWindow
}

func (c *lineConnection) transitTime() time.Duration {
	s := c.node.simulator
	return s.reliableTransit() + s.network.extraDelay
}

// nextArrival returns the arrival time of a message that is sent now. It is later
// than the arrival of the last message in the same direction.
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

// deliverRepeated passes messages that the instance sends again to the node's pool. The
// model of the window does not know them.
func (c *lineConnection) deliverRepeated(messages ...lineproto.Message) {
	c.sendToNode(func() {
		c.node.step(func(now time.Duration) {
			for _, message := range messages {
				c.node.pool.Received(c.poolConnection, message, now)
			}
		})
	})
}

// breakOff ends the connection from the instance's end.
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

// closeSession closes the instance's end, because the node's end is closed.
func (c *lineConnection) closeSession() {
	if c.session != nil {
		c.session.closeFromPeer()
	}
}

// onNodeCrash closes the node's end. The instance detects the crash later, after
// the messages that were sent before.
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

// accept opens a session at the instance. This occupies a slot of the instance
// for connectTime.
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
