package simulation

import (
	"encoding/json"
	"fmt"
	"maps"

	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/state/model"
	"tansyseam/test/standin"
)

// instanceSession is the instance's end of a connection.
type instanceSession struct {
	id string
	// open says that the session counts against the limit of the instance.
	open        bool
	settings    map[string]string
	prepared    map[string]string
	transaction *openTransaction
}

func (s *instanceSession) clean() bool {
	return s.transaction == nil && len(s.settings)+len(s.prepared) == 0
}

// openTransaction holds the writes of a transaction until its commit.
type openTransaction struct {
	id         string
	requestIDs []string
	texts      []string
}

// answerRows are the rows of an answer: what the statement saw, so that
// callers can check it.
type answerRows struct {
	Upto     standin.Position  `json:"upto"`
	Settings map[string]string `json:"settings"`
	Text     string            `json:"text"`
}

// dropConnection ends the instance's end of a connection.
func (i *instance) dropConnection(c *connection) {
	if c.session.open {
		i.openConnections--
	}
	c.session.open, c.session.transaction = false, nil
	for index, other := range i.connections {
		if other == c {
			i.connections = append(i.connections[:index:index], i.connections[index+1:]...)
			return
		}
	}
}

// onCrash ends all connections: the nodes see it at once, or, where the
// instance vanished, after a while.
func (i *instance) onCrash(vanished bool) {
	connections := i.connections
	i.connections, i.openConnections, i.busySlots, i.queue = nil, 0, 0, nil
	for _, connection := range connections {
		connection.session.open, connection.session.transaction = false, nil
		if !vanished {
			connection.reset()
			continue
		}
		i.simulator.after(i.simulator.randomDuration(minVanishedDetection, maxVanishedDetection), connection.probePeer)
	}
}

func (i *instance) newReply(c *connection) httppool.Reply {
	return httppool.Reply{
		Position: i.position(), Clean: i.claimsClean || c.session.clean(), InTransaction: c.session.transaction != nil,
		Role: i.role, Term: i.term, Incarnation: i.incarnationName, Leaving: i.leavingSince != 0 && !i.fleet.defects.IgnoreLeaving,
	}
}

// refuse replies that the operation was not begun.
func (i *instance) refuse(c *connection, reason string) {
	reply := i.newReply(c)
	reply.Rejected, reply.Error = true, reason
	c.reply(reply)
}

// fail replies that the operation failed by its own fault.
func (i *instance) fail(c *connection, reason string) {
	reply := i.newReply(c)
	reply.Failed, reply.Error = true, reason
	c.reply(reply)
}

// succeed replies with rows, unless a fault loses the answer.
func (i *instance) succeed(c *connection, text string) {
	if i.answersToLose > 0 {
		i.answersToLose--
		i.loseAnswer(c)
		return
	}
	reply := i.newReply(c)
	position := i.position()
	reply.Rows, _ = json.Marshal(answerRows{Upto: standin.Position{Term: position.Term, Index: position.Index}, Settings: c.session.settings, Text: text})
	c.reply(reply)
}

func (i *instance) loseAnswer(c *connection) {
	if i.simulator.chance(lostWithoutResetProbability) || i.fleet.defects.ResendUnanswered {
		c.failRequest()
		return
	}
	c.reset()
}

// accepts refuses an operation that is for another term, or a write at a
// replica.
func (i *instance) accepts(c *connection, op httppool.Op, write bool) bool {
	if !c.session.open || (op.Term != 0 && op.Term != i.term) || (write && i.role != model.RolePrimary) {
		i.refuse(c, "not here")
		return false
	}
	return true
}

// stillPrimary refuses a write whose instance lost the writer role while the
// write waited for a slot.
func (i *instance) stillPrimary(c *connection) bool {
	if i.role != model.RolePrimary {
		i.refuse(c, "not primary any more")
		return false
	}
	return true
}

// runInSlot runs work once a slot is free, after its service time. Reads take
// half as long.
func (i *instance) runInSlot(write bool, work func()) {
	begin := func() {
		i.busySlots++
		service := i.simulator.randomDuration(i.serviceTime/2, i.serviceTime)
		if !write {
			service /= 2
		}
		i.after(service, func() {
			i.busySlots--
			if len(i.queue) > 0 {
				next := i.queue[0]
				i.queue = i.queue[1:]
				next()
			}
			work()
		})
	}
	if i.busySlots < i.fleet.config.Slots {
		begin()
		return
	}
	i.queue = append(i.queue, begin)
}

func (i *instance) recordExecution(c *connection, op httppool.Op, text string) {
	execution := standin.Execution{
		At: int64(i.simulator.now), Instance: i.name, Connection: c.session.id, Action: string(op.Kind), Text: text, RequestID: op.RequestID, Write: op.Write, Term: i.term,
		Role: i.role, LeavingSince: i.leavingSince, Settings: maps.Clone(c.session.settings),
	}
	if c.session.transaction != nil {
		execution.Transaction = c.session.transaction.id
	}
	i.executions = append(i.executions, execution)
}

// instanceOperations runs each kind of operation.
var instanceOperations = map[httppool.OpKind]func(*instance, *connection, httppool.Op){
	httppool.OpOpen:     (*instance).openSession,
	httppool.OpRun:      (*instance).runStatement,
	httppool.OpBegin:    (*instance).begin,
	httppool.OpCommit:   (*instance).commit,
	httppool.OpRollback: (*instance).rollBack,
	httppool.OpSet:      (*instance).set,
	httppool.OpPrepare:  (*instance).prepare,
}

func (i *instance) runOperation(c *connection, op httppool.Op) {
	instanceOperations[op.Kind](i, c, op)
}

func (i *instance) openSession(c *connection, _ httppool.Op) {
	if i.openConnections >= i.fleet.config.Connections {
		i.refuse(c, "connections are capped")
		return
	}
	c.session.open = true
	i.openConnections++
	c.reply(i.newReply(c))
}

func (i *instance) begin(c *connection, op httppool.Op) {
	if !i.accepts(c, op, false) {
		return
	}
	if c.session.transaction != nil {
		i.fail(c, "a transaction is open")
		return
	}
	i.transactionsMade++
	c.session.transaction = &openTransaction{id: fmt.Sprintf("%s/%d", c.session.id, i.transactionsMade)}
	i.succeed(c, "")
}

func (i *instance) commit(c *connection, op httppool.Op) {
	if !i.accepts(c, op, true) {
		return
	}
	transaction := c.session.transaction
	if transaction == nil {
		i.fail(c, "no transaction is open")
		return
	}
	i.runInSlot(true, func() {
		if !i.stillPrimary(c) {
			return
		}
		i.recordExecution(c, op, "")
		c.session.transaction = nil
		i.append(append(transaction.requestIDs, op.RequestID), transaction.texts)
		i.succeed(c, "")
	})
}

func (i *instance) rollBack(c *connection, op httppool.Op) {
	if i.accepts(c, op, false) {
		c.session.transaction = nil
		i.succeed(c, "")
	}
}

func (i *instance) set(c *connection, op httppool.Op) {
	if i.accepts(c, op, false) {
		c.session.settings[op.Name] = op.Value
		i.succeed(c, "")
	}
}

func (i *instance) prepare(c *connection, op httppool.Op) {
	if i.accepts(c, op, false) {
		c.session.prepared[op.Name] = op.Text
		i.succeed(c, "")
	}
}

func (i *instance) runStatement(c *connection, op httppool.Op) {
	if !i.accepts(c, op, op.Write) {
		return
	}
	text := op.Text
	if op.Prepared != "" {
		prepared, found := c.session.prepared[op.Prepared]
		if !found {
			i.fail(c, "no such prepared statement")
			return
		}
		text = prepared
	}
	transaction := c.session.transaction
	i.runInSlot(op.Write, func() {
		if transaction != c.session.transaction || (op.Write && !i.stillPrimary(c)) {
			return
		}
		i.recordExecution(c, op, text)
		if op.Write {
			i.write(transaction, op.RequestID, text)
		}
		i.succeed(c, text)
	})
}

// write adds to the transaction, or commits at once where there is none.
func (i *instance) write(transaction *openTransaction, requestID, text string) {
	if transaction == nil {
		i.append([]string{requestID}, []string{text})
		return
	}
	transaction.requestIDs = append(transaction.requestIDs, requestID)
	transaction.texts = append(transaction.texts, text)
}
