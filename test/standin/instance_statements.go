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
	x.mutex.Lock()
	if x.resetConnections > 0 {
		x.resetConnections--
		x.mutex.Unlock()
		return noAnswer
	}
	text, rejected := x.statementText(c, request)
	if rejected != nil {
		x.mutex.Unlock()
		return *rejected
	}
	transaction := c.transaction
	x.mutex.Unlock()
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
	reply := x.reply(c)
	reply.Rows = &statementRows{Settings: c.settings, Text: text}
	if !request.Write {
		applied := x.position()
		reply.Rows.AppliedPosition = &applied
		return x.answerOrLose(reply)
	}
	if c.transaction != nil {
		c.transaction.requestIDs = append(c.transaction.requestIDs, request.RequestID)
		c.transaction.statements = append(c.transaction.statements, text)
		return x.answerOrLose(reply)
	}
	x.appendEntry(Entry{
		Term: x.term, Index: x.position().Index + 1,
		RequestIDs: []string{request.RequestID}, Statements: []string{text},
	})
	reply.Position = x.position()
	return x.answerOrLose(reply)
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
	x.mutex.Lock()
	rejected := x.checkRequest(c, request, true)
	if rejected == nil && c.transaction == nil {
		rejected = x.reject(c, http.StatusUnprocessableEntity, "no transaction is open")
	}
	if rejected != nil {
		x.mutex.Unlock()
		return *rejected
	}
	committed := c.transaction
	x.mutex.Unlock()
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
