package simulation

import (
	"fmt"
	"time"

	"tansyseam/internal/coordination/pool/httppool"
)

const (
	// lossDetectionDelay is the time after which a node detects that an answer
	// will not arrive, resetDetectionDelay the time after which it detects a
	// connection reset.
	lossDetectionDelay  = 100 * time.Microsecond
	resetDetectionDelay = 500 * time.Microsecond
	// blockedRetryInterval is the time between delivery attempts of a stream
	// whose link is blocked.
	blockedRetryInterval = 200 * time.Millisecond
	minMessageGap        = 10 * time.Microsecond
	maxMessageGap        = 200 * time.Microsecond
	// An instance detects the crash of a node after minCrashDetection to
	// maxCrashDetection. If the node vanished without a reset, the instance
	// detects it by its own time-out, vanishedNodeTimeout.
	// A node probes an instance that vanished after minVanishedDetection to
	// maxVanishedDetection, and again after connectionProbeInterval while it
	// waits for a reply.
	minCrashDetection       = 200 * time.Microsecond
	maxCrashDetection       = 3 * time.Millisecond
	vanishedNodeTimeout     = 5 * time.Second
	minVanishedDetection    = time.Second
	maxVanishedDetection    = 4 * time.Second
	connectionProbeInterval = time.Second
)

// connection is a node's connection to an instance. The node's end has at most
// one outstanding request.
type connection struct {
	node                *node
	nodeIncarnation     int
	instance            *instance
	instanceIncarnation int
	poolConnection      *httppool.Conn
	toInstance, toNode  messageStream
	closed              bool
	pendingReply        func(reply httppool.Reply, broken bool)

	// session is the state of the instance's end.
	session instanceSession
}

// messageStream delivers the messages of one direction in order.
type messageStream struct {
	queue      []func()
	delivering bool
}

// direction is one direction of a connection, with the incarnation of the
// receiver that its messages are for.
type direction struct {
	stream      *messageStream
	from, to    *machine
	incarnation int
}

func (c *connection) towardsInstance() direction {
	return direction{&c.toInstance, &c.node.machine, &c.instance.machine, c.instanceIncarnation}
}

func (c *connection) towardsNode() direction {
	return direction{&c.toNode, &c.instance.machine, &c.node.machine, c.nodeIncarnation}
}

// accept opens the instance's end of the connection.
func (c *connection) accept() {
	c.instanceIncarnation = c.instance.incarnation
	c.instance.connectionsMade++
	c.session = instanceSession{
		id: fmt.Sprintf("%s.%d", c.instance.name, c.instance.connectionsMade), settings: map[string]string{}, prepared: map[string]string{},
	}
	c.instance.connections = append(c.instance.connections, c)
}

func (c *connection) enqueue(dir direction, receive func()) {
	dir.stream.queue = append(dir.stream.queue, receive)
	if !dir.stream.delivering {
		dir.stream.delivering = true
		s := c.node.simulator
		s.after(s.reliableTransit(), func() { c.deliverNext(dir) })
	}
}

// deliverNext delivers the first message of a stream, and schedules the next
// delivery after a random gap. While the link is blocked, or after the
// receiver vanished, it retries after blockedRetryInterval. Otherwise, it resets
// the connection if the receiver has crashed or was restarted.
func (c *connection) deliverNext(dir direction) {
	s := c.node.simulator
	blocked := s.network.blocked[link{dir.from.name, dir.to.name}] || (!dir.to.running && dir.to.vanished)
	if blocked && !c.closed {
		s.after(blockedRetryInterval, func() { c.deliverNext(dir) })
		return
	}
	if c.closed || len(dir.stream.queue) == 0 {
		dir.stream.queue, dir.stream.delivering = nil, false
		return
	}
	if !dir.to.running || dir.to.incarnation != dir.incarnation {
		c.reset()
		return
	}
	receive := dir.stream.queue[0]
	dir.stream.queue = dir.stream.queue[1:]
	dir.to.runDuring(dir.incarnation, receive)
	s.after(s.randomDuration(minMessageGap, maxMessageGap), func() { c.deliverNext(dir) })
}

// request sends an operation. done is called with the reply, or with broken set
// if the connection failed before a reply arrived.
func (c *connection) request(op httppool.Op, done func(reply httppool.Reply, broken bool)) {
	if c.closed {
		c.node.after(lossDetectionDelay, func() { done(httppool.Reply{}, true) })
		return
	}
	c.pendingReply = done
	c.enqueue(c.towardsInstance(), func() { c.instance.runOperation(c, op) })
}

// reply sends the instance's reply to the node.
func (c *connection) reply(reply httppool.Reply) {
	c.enqueue(c.towardsNode(), func() { c.finishRequest(reply, false) })
}

func (c *connection) finishRequest(reply httppool.Reply, broken bool) {
	done := c.pendingReply
	c.pendingReply = nil
	if done != nil {
		done(reply, broken)
	}
}

// failRequest notifies the node that the reply will not arrive.
func (c *connection) failRequest() {
	if c.node.incarnation == c.nodeIncarnation {
		c.node.after(lossDetectionDelay, func() { c.finishRequest(httppool.Reply{}, true) })
	}
}

// reset closes both ends of the connection at once, and drops the messages in
// flight.
func (c *connection) reset() {
	if c.closed {
		return
	}
	c.closed = true
	c.toInstance.queue, c.toNode.queue = nil, nil
	c.instance.dropConnection(c)
	if c.node.incarnation == c.nodeIncarnation && c.node.running {
		c.node.after(resetDetectionDelay, func() {
			c.node.step(func(now time.Duration) { c.node.pool.ConnLost(c.poolConnection, now) })
		})
		c.failRequest()
	}
}

// close closes the connection from the node's end. The messages that the node
// sent before are delivered first.
func (c *connection) close() {
	c.failRequest()
	c.enqueue(c.towardsInstance(), c.reset)
}

// onNodeCrash makes the instance detect the crash of the node. vanished is true
// if the instance receives no reset.
func (c *connection) onNodeCrash(vanished bool) {
	c.pendingReply = nil
	delay := c.node.simulator.randomDuration(minCrashDetection, maxCrashDetection)
	if vanished {
		delay = vanishedNodeTimeout
	}
	c.node.simulator.after(delay, func() { c.instance.runDuring(c.instanceIncarnation, c.reset) })
}

// probePeer makes the node detect that the instance vanished, once the node
// waits for no reply. A request that waits has its own time-out.
func (c *connection) probePeer() {
	if c.pendingReply != nil {
		c.node.simulator.after(connectionProbeInterval, c.probePeer)
		return
	}
	c.reset()
}
