package simulation

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/state/model"
	"tansyseam/test/standin"
)

type connection struct {
	node                *node
	nodeIncarnation     int
	instance            *instance
	instanceIncarnation int
	wire                *httppool.Conn
	id                  string
	toInstance, toNode  messageStream
	closed              bool
	pendingReply        func(httppool.Reply, bool)

	open        bool
	settings    map[string]string
	prepared    map[string]string
	transaction *openTransaction
}

type openTransaction struct {
	id         string
	requestIDs []string
	texts      []string
}

type messageStream struct {
	queue      []func()
	delivering bool
}

func (c *connection) accept() {
	c.instanceIncarnation = c.instance.incarnation
	c.instance.connectionsMade++
	c.id = fmt.Sprintf("%s.%d", c.instance.name, c.instance.connectionsMade)
	c.settings, c.prepared = map[string]string{}, map[string]string{}
	c.instance.connections = append(c.instance.connections, c)
}

func (c *connection) enqueue(s *messageStream, from, to *machine, life int, act func()) {
	s.queue = append(s.queue, act)
	if !s.delivering {
		s.delivering = true
		c.node.simulator.after(c.transitTime(), func() { c.deliverNext(s, from, to, life) })
	}
}

func (c *connection) transitTime() time.Duration {
	w := c.node.simulator
	trip := w.randomDuration(200*time.Microsecond, 2500*time.Microsecond)
	if w.lossRate > 0 && w.chance(w.lossRate) {
		trip += w.randomDuration(200*time.Millisecond, 400*time.Millisecond)
	}
	return trip
}

func (c *connection) deliverNext(s *messageStream, from, to *machine, life int) {
	w := c.node.simulator
	isBarred := w.blockedLinks[[2]string{from.name, to.name}] || (!to.running && to.vanished)
	if isBarred && !c.closed {
		w.after(200*time.Millisecond, func() { c.deliverNext(s, from, to, life) })
		return
	}
	if c.closed || len(s.queue) == 0 {
		s.queue, s.delivering = nil, false
		return
	}
	if !to.running || to.incarnation != life {
		c.reset()
		return
	}
	act := s.queue[0]
	s.queue = s.queue[1:]
	to.runDuring(life, act)
	w.after(w.randomDuration(10*time.Microsecond, 200*time.Microsecond), func() { c.deliverNext(s, from, to, life) })
}

func (c *connection) request(op httppool.Op, done func(httppool.Reply, bool)) {
	if c.closed {
		c.node.after(100*time.Microsecond, func() { done(httppool.Reply{}, true) })
		return
	}
	c.pendingReply = done
	c.enqueue(&c.toInstance, &c.node.machine, &c.instance.machine, c.instanceIncarnation, func() { c.instance.runOperation(c, op) })
}

func (c *connection) answer(reply httppool.Reply) {
	c.enqueue(&c.toNode, &c.instance.machine, &c.node.machine, c.nodeIncarnation, func() {
		done := c.pendingReply
		c.pendingReply = nil
		if done != nil {
			done(reply, false)
		}
	})
}

func (c *connection) failPending() {
	if c.node.incarnation != c.nodeIncarnation {
		return
	}
	c.node.after(100*time.Microsecond, func() {
		done := c.pendingReply
		c.pendingReply = nil
		if done != nil {
			done(httppool.Reply{}, true)
		}
	})
}

func (c *connection) reset() {
	if c.closed {
		return
	}
	c.closed = true
	c.toInstance.queue, c.toNode.queue = nil, nil
	c.instance.dropConnection(c)
	if c.node.incarnation == c.nodeIncarnation && c.node.running {
		c.node.after(500*time.Microsecond, func() {
			c.node.step(func(now time.Duration) { c.node.pool.ConnLost(c.wire, now) })
		})
		c.failPending()
	}
}

func (c *connection) close() {
	c.failPending()
	c.enqueue(&c.toInstance, &c.node.machine, &c.instance.machine, c.instanceIncarnation, c.reset)
}

func (c *connection) onNodeCrash(vanished bool) {
	c.pendingReply = nil
	span := c.node.simulator.randomDuration(200*time.Microsecond, 3*time.Millisecond)
	if vanished {
		span = 5 * time.Second
	}
	c.node.simulator.after(span, func() { c.instance.runDuring(c.instanceIncarnation, c.reset) })
}

func (x *instance) dropConnection(c *connection) {
	if c.open {
		x.openConnections--
	}
	c.open, c.transaction = false, nil
	for at, one := range x.connections {
		if one == c {
			x.connections = append(x.connections[:at:at], x.connections[at+1:]...)
			return
		}
	}
}

func (x *instance) onCrash(vanished bool) {
	conns := x.connections
	x.connections, x.openConnections, x.busySlots, x.queue = nil, 0, 0, nil
	for _, c := range conns {
		c.open, c.transaction = false, nil
		if !vanished {
			c.reset()
			continue
		}
		x.simulator.after(x.simulator.randomDuration(time.Second, 4*time.Second), c.probePeer)
	}
}

func (c *connection) probePeer() {
	if c.pendingReply != nil {
		c.node.simulator.after(time.Second, c.probePeer)
		return
	}
	c.reset()
}

func (x *instance) newReply(c *connection) httppool.Reply {
	return httppool.Reply{
		Position: x.position(), Clean: x.claimsClean || (c.transaction == nil && len(c.settings)+len(c.prepared) == 0), InTransaction: c.transaction != nil,
		Role: x.role, Term: x.term, Incarnation: x.incarnationName, Leaving: x.leavingSince != 0 && !x.fleet.defects.IgnoreLeaving,
	}
}

func (x *instance) refuse(c *connection, why string) {
	reply := x.newReply(c)
	reply.Rejected, reply.Error = true, why
	c.answer(reply)
}

func (x *instance) fail(c *connection, why string) {
	reply := x.newReply(c)
	reply.Failed, reply.Error = true, why
	c.answer(reply)
}

type answerRows struct {
	Upto     standin.Position  `json:"upto"`
	Settings map[string]string `json:"settings"`
	Text     string            `json:"text"`
}

func (x *instance) succeed(c *connection, text string) {
	if x.answersToLose > 0 {
		x.answersToLose--
		if x.simulator.chance(0.5) || x.fleet.defects.ResendUnanswered {
			c.failPending()
			return
		}
		c.reset()
		return
	}
	reply := x.newReply(c)
	position := x.position()
	reply.Rows, _ = json.Marshal(answerRows{Upto: standin.Position{Term: position.Term, Index: position.Index}, Settings: c.settings, Text: text})
	c.answer(reply)
}

func (x *instance) accepts(c *connection, op httppool.Op, isWrite bool) bool {
	if !c.open || (op.Term != 0 && op.Term != x.term) || (isWrite && x.role != model.RolePrimary) {
		x.refuse(c, "not here")
		return false
	}
	return true
}

func (x *instance) runInSlot(isWrite bool, act func()) {
	begin := func() {
		x.busySlots++
		service := x.simulator.randomDuration(x.serviceTime/2, x.serviceTime)
		if !isWrite {
			service /= 2
		}
		x.after(service, func() {
			x.busySlots--
			if len(x.queue) > 0 {
				next := x.queue[0]
				x.queue = x.queue[1:]
				next()
			}
			act()
		})
	}
	if x.busySlots < x.fleet.config.Slots {
		begin()
		return
	}
	x.queue = append(x.queue, begin)
}

func (x *instance) recordExecution(c *connection, op httppool.Op, text string) {
	ran := standin.Ran{
		At: int64(x.simulator.now), Instance: x.name, Conn: c.id, Act: string(op.Kind), Text: text, Go: op.RequestID, IsWrite: op.Write, Term: x.term,
		Role: x.role, Leaving: x.leavingSince, Settings: maps.Clone(c.settings),
	}
	if c.transaction != nil {
		ran.Turn = c.transaction.id
	}
	x.executions = append(x.executions, ran)
}

var operations = map[httppool.OpKind]func(*instance, *connection, httppool.Op){
	httppool.OpOpen: func(x *instance, c *connection, _ httppool.Op) {
		if x.openConnections >= x.fleet.config.Connections {
			x.refuse(c, "connections are capped")
			return
		}
		c.open = true
		x.openConnections++
		x.maxOpenConnections = max(x.maxOpenConnections, x.openConnections)
		c.answer(x.newReply(c))
	},
	httppool.OpRun: runStatement,
	httppool.OpBegin: func(x *instance, c *connection, op httppool.Op) {
		if !x.accepts(c, op, false) {
			return
		}
		if c.transaction != nil {
			x.fail(c, "a transaction is open")
			return
		}
		x.transactionsMade++
		c.transaction = &openTransaction{id: fmt.Sprintf("%s/%d", c.id, x.transactionsMade)}
		x.succeed(c, "")
	},
	httppool.OpCommit: func(x *instance, c *connection, op httppool.Op) {
		if !x.accepts(c, op, true) {
			return
		}
		if c.transaction == nil {
			x.fail(c, "no transaction is open")
			return
		}
		over := c.transaction
		x.runInSlot(true, func() {
			if x.role != model.RolePrimary {
				x.refuse(c, "not primary any more")
				return
			}
			x.recordExecution(c, op, "")
			c.transaction = nil
			x.append(standin.Entry{Term: x.term, Index: uint64(len(x.entries)) + 1, Gos: append(over.requestIDs, op.RequestID), Texts: over.texts})
			x.succeed(c, "")
		})
	},
	httppool.OpRollback: func(x *instance, c *connection, op httppool.Op) {
		if x.accepts(c, op, false) {
			c.transaction = nil
			x.succeed(c, "")
		}
	},
	httppool.OpSet: func(x *instance, c *connection, op httppool.Op) {
		if x.accepts(c, op, false) {
			c.settings[op.Name] = op.Value
			x.succeed(c, "")
		}
	},
	httppool.OpPrepare: func(x *instance, c *connection, op httppool.Op) {
		if x.accepts(c, op, false) {
			c.prepared[op.Name] = op.Text
			x.succeed(c, "")
		}
	},
}

func (x *instance) runOperation(c *connection, op httppool.Op) { operations[op.Kind](x, c, op) }

func runStatement(x *instance, c *connection, op httppool.Op) {
	if !x.accepts(c, op, op.Write) {
		return
	}
	text := op.Text
	if op.Prepared != "" {
		held, found := c.prepared[op.Prepared]
		if !found {
			x.fail(c, "no such prepared statement")
			return
		}
		text = held
	}
	turn := c.transaction
	x.runInSlot(op.Write, func() {
		if turn != c.transaction {
			return
		}
		if op.Write && x.role != model.RolePrimary {
			x.refuse(c, "not primary any more")
			return
		}
		x.recordExecution(c, op, text)
		if op.Write && c.transaction != nil {
			c.transaction.requestIDs = append(c.transaction.requestIDs, op.RequestID)
			c.transaction.texts = append(c.transaction.texts, text)
		} else if op.Write {
			x.append(standin.Entry{Term: x.term, Index: uint64(len(x.entries)) + 1, Gos: []string{op.RequestID}, Texts: []string{text}})
		}
		x.succeed(c, text)
	})
}
