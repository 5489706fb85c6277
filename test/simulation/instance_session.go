package simulation

import (
	"encoding/json"
	"maps"

	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/state/model"
	"tansyseam/test/standin"
)

// instanceSession is the state of the instance's end of a connection.
type instanceSession struct {
	id string
	// open is true if the session counts towards the connection limit of the
	// instance.
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

// answerRows are the rows of an answer. They contain the log position, settings
// and text with which the statement ran, so that callers can check them.
type answerRows struct {
	Upto     standin.Position  `json:"upto"`
	Settings map[string]string `json:"settings"`
	Text     string            `json:"text"`
}

// dropConnection closes the instance's end of a connection.
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

// onCrash closes all connections. The nodes detect it soon, or, if the instance
// vanished without resets, after minVanishedDetection to maxVanishedDetection.
func (i *instance) onCrash(vanished bool) {
	connections := i.connections
	i.connections, i.openConnections = nil, 0
	i.slots.reset()
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

// refuse replies that the operation was rejected before it began.
func (i *instance) refuse(c *connection, reason string) {
	reply := i.newReply(c)
	reply.Rejected, reply.Error = true, reason
	c.reply(reply)
}

// fail replies that the operation failed because of its own error.
func (i *instance) fail(c *connection, reason string) {
	reply := i.newReply(c)
	reply.Failed, reply.Error = true, reason
	c.reply(reply)
}

// succeed replies with the rows of the answer, unless a fault loses the answer.
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

// accepts reports whether an operation may run. It rejects an operation of a closed
// session or for another term, and a write at a replica.
func (i *instance) accepts(c *connection, op httppool.Op, write bool) bool {
	if !c.session.open || (op.Term != 0 && op.Term != i.term) || (write && i.role != model.RolePrimary) {
		i.refuse(c, "session closed, or wrong term or role")
		return false
	}
	return true
}

// stillPrimary reports whether a write may still run. It rejects the write if the
// instance lost the writer role while the write waited for a slot.
func (i *instance) stillPrimary(c *connection) bool {
	if i.role != model.RolePrimary {
		i.refuse(c, "not primary any more")
		return false
	}
	return true
}

// runInSlot waits for a free slot, and runs work at the end of its service time.
// Reads take half as long as writes.
func (i *instance) runInSlot(write bool, work func()) {
	i.slots.run(func() {
		service := i.simulator.randomDuration(i.serviceTime/2, i.serviceTime)
		if !write {
			service /= 2
		}
		i.after(service, func() {
			i.slots.release()
			work()
		})
	})
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
