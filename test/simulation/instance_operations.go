package simulation

import (
	"fmt"

	"tansyseam/internal/coordination/pool/httppool"
)

// instanceOperations has the function that runs each kind of operation.
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

// write adds a statement to the transaction, or commits it at once if there is no
// transaction.
func (i *instance) write(transaction *openTransaction, requestID, text string) {
	if transaction == nil {
		i.append([]string{requestID}, []string{text})
		return
	}
	transaction.requestIDs = append(transaction.requestIDs, requestID)
	transaction.texts = append(transaction.texts, text)
}
