package standin

import (
	"fmt"
	"net/http"
)

func (x *Instance) onOpen(c *connection, request instanceRequest) result {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !c.open && x.openCount >= x.config.Connections {
		return *x.reject(c, http.StatusTooManyRequests, "connections are capped")
	}
	if !c.open {
		c.open = true
		x.openCount++
	}
	return ok(x.reply(c))
}

func (x *Instance) onRun(c *connection, request instanceRequest) result {
	text, transaction, early := x.admitStatement(c, request)
	if early != nil {
		return *early
	}
	x.occupySlot(request.Write)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if c.transaction != transaction {
		return noAnswer
	}
	if request.Write && x.role != rolePrimary {
		return *x.reject(c, http.StatusConflict, "not primary any more")
	}
	x.recordExecution(c, request, text)
	if request.Write {
		x.applyWrite(c, request, text)
	}
	reply := x.reply(c)
	reply.Rows = &statementRows{Settings: c.settings, Text: text}
	if !request.Write {
		applied := x.position()
		reply.Rows.AppliedPosition = &applied
	}
	return x.answerOrLose(reply)
}

// admitStatement returns the text that a request is to run and the transaction
// that it is part of, or the answer of one that is not run.
func (x *Instance) admitStatement(c *connection, request instanceRequest) (text string, inside *transaction, answer *result) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.resetConnections > 0 {
		x.resetConnections--
		return "", nil, &noAnswer
	}
	text, answer = x.statementText(c, request)
	return text, c.transaction, answer
}

// applyWrite adds a write to its transaction, or commits it where it has none.
func (x *Instance) applyWrite(c *connection, request instanceRequest, text string) {
	if c.transaction != nil {
		c.transaction.requestIDs = append(c.transaction.requestIDs, request.RequestID)
		c.transaction.statements = append(c.transaction.statements, text)
		return
	}
	x.appendEntry(Entry{
		Term: x.term, Index: x.position().Index + 1,
		RequestIDs: []string{request.RequestID}, Statements: []string{text},
	})
}

// statementText returns the text that a request is to run, or why it is
// rejected.
func (x *Instance) statementText(c *connection, request instanceRequest) (string, *result) {
	if rejected := x.checkRequest(c, request, request.Write); rejected != nil {
		return "", rejected
	}
	if request.Prepared == "" {
		return request.Text, nil
	}
	prepared, found := c.prepared[request.Prepared]
	if !found {
		return "", x.reject(c, http.StatusUnprocessableEntity, "no such prepared statement")
	}
	return prepared, nil
}

func (x *Instance) onBegin(c *connection, request instanceRequest) result {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if rejected := x.checkRequest(c, request, false); rejected != nil {
		return *rejected
	}
	if c.transaction != nil {
		return *x.reject(c, http.StatusUnprocessableEntity, "a transaction is open")
	}
	x.transactionCount++
	c.transaction = &transaction{id: fmt.Sprintf("%s/%d", c.id, x.transactionCount)}
	return x.answerOrLose(x.reply(c))
}

func (x *Instance) onCommit(c *connection, request instanceRequest) result {
	committed, rejected := x.admitCommit(c, request)
	if rejected != nil {
		return *rejected
	}
	x.occupySlot(true)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.role != rolePrimary {
		return *x.reject(c, http.StatusConflict, "not primary any more")
	}
	request.Action = "commit"
	x.recordExecution(c, request, "")
	c.transaction = nil
	x.appendEntry(Entry{
		Term: x.term, Index: x.position().Index + 1,
		RequestIDs: append(committed.requestIDs, request.RequestID), Statements: committed.statements,
	})
	return x.answerOrLose(x.reply(c))
}

// admitCommit returns the transaction that a request is to commit, or why it is
// rejected.
func (x *Instance) admitCommit(c *connection, request instanceRequest) (*transaction, *result) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if rejected := x.checkRequest(c, request, true); rejected != nil {
		return nil, rejected
	}
	if c.transaction == nil {
		return nil, x.reject(c, http.StatusUnprocessableEntity, "no transaction is open")
	}
	return c.transaction, nil
}

func (x *Instance) onRollback(c *connection, request instanceRequest) result {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if rejected := x.checkRequest(c, request, false); rejected != nil {
		return *rejected
	}
	c.transaction = nil
	return x.answerOrLose(x.reply(c))
}

func (x *Instance) onSet(c *connection, request instanceRequest) result {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if rejected := x.checkRequest(c, request, false); rejected != nil {
		return *rejected
	}
	c.settings[request.Name] = request.Value
	return x.answerOrLose(x.reply(c))
}

func (x *Instance) onPrepare(c *connection, request instanceRequest) result {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if rejected := x.checkRequest(c, request, false); rejected != nil {
		return *rejected
	}
	c.prepared[request.Name] = request.Text
	return x.answerOrLose(x.reply(c))
}
