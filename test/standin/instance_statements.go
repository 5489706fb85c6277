package standin

import (
	"fmt"
	"net/http"
)

func (i *Instance) onOpen(c *connection, request instanceRequest) result {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !c.open && i.openCount >= i.config.Connections {
		return *i.reject(c, http.StatusTooManyRequests, "connections are capped")
	}
	if !c.open {
		c.open = true
		i.openCount++
	}
	return ok(i.reply(c))
}

func (i *Instance) onRun(c *connection, request instanceRequest) result {
	text, transaction, rejection := i.admitStatement(c, request)
	if rejection != nil {
		return *rejection
	}
	i.occupySlot(request.Write)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if c.transaction != transaction {
		return noAnswer
	}
	if request.Write && i.role != rolePrimary {
		return *i.reject(c, http.StatusConflict, "not primary any more")
	}
	i.recordExecution(c, request, text)
	if request.Write {
		i.applyWrite(c, request, text)
	}
	reply := i.reply(c)
	reply.Rows = &statementRows{Settings: c.settings, Text: text}
	if !request.Write {
		applied := i.position()
		reply.Rows.AppliedPosition = &applied
	}
	return i.answerOrLose(reply)
}

// admitStatement returns the text that a request is to run and the transaction
// that is open on the connection, or the answer to a request that is not run.
func (i *Instance) admitStatement(c *connection, request instanceRequest) (text string, openTransaction *transaction, rejection *result) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.connectionsToReset > 0 {
		i.connectionsToReset--
		return "", nil, &noAnswer
	}
	text, rejection = i.statementText(c, request)
	return text, c.transaction, rejection
}

// applyWrite adds a write to the connection's transaction, or commits the write
// at once if no transaction is open.
func (i *Instance) applyWrite(c *connection, request instanceRequest, text string) {
	if c.transaction != nil {
		c.transaction.requestIDs = append(c.transaction.requestIDs, request.RequestID)
		c.transaction.statements = append(c.transaction.statements, text)
		return
	}
	i.appendEntry(Entry{
		Term: i.term, Index: i.position().Index + 1,
		RequestIDs: []string{request.RequestID}, Statements: []string{text},
	})
}

// statementText returns the text that a request is to run, or the answer that
// rejects the request.
func (i *Instance) statementText(c *connection, request instanceRequest) (string, *result) {
	if rejected := i.checkRequest(c, request, request.Write); rejected != nil {
		return "", rejected
	}
	if request.Prepared == "" {
		return request.Text, nil
	}
	prepared, found := c.prepared[request.Prepared]
	if !found {
		return "", i.reject(c, http.StatusUnprocessableEntity, "no such prepared statement")
	}
	return prepared, nil
}

func (i *Instance) onBegin(c *connection, request instanceRequest) result {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if rejected := i.checkRequest(c, request, false); rejected != nil {
		return *rejected
	}
	if c.transaction != nil {
		return *i.reject(c, http.StatusUnprocessableEntity, "a transaction is open")
	}
	i.transactionCount++
	c.transaction = &transaction{id: fmt.Sprintf("%s/%d", c.id, i.transactionCount)}
	return i.answerOrLose(i.reply(c))
}

func (i *Instance) onCommit(c *connection, request instanceRequest) result {
	committed, rejected := i.admitCommit(c, request)
	if rejected != nil {
		return *rejected
	}
	i.occupySlot(true)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.role != rolePrimary {
		return *i.reject(c, http.StatusConflict, "not primary any more")
	}
	request.Action = "commit"
	i.recordExecution(c, request, "")
	c.transaction = nil
	i.appendEntry(Entry{
		Term: i.term, Index: i.position().Index + 1,
		RequestIDs: append(committed.requestIDs, request.RequestID), Statements: committed.statements,
	})
	return i.answerOrLose(i.reply(c))
}

// admitCommit returns the transaction that a request is to commit, or the answer
// that rejects the request.
func (i *Instance) admitCommit(c *connection, request instanceRequest) (*transaction, *result) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if rejected := i.checkRequest(c, request, true); rejected != nil {
		return nil, rejected
	}
	if c.transaction == nil {
		return nil, i.reject(c, http.StatusUnprocessableEntity, "no transaction is open")
	}
	return c.transaction, nil
}

func (i *Instance) onRollback(c *connection, request instanceRequest) result {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if rejected := i.checkRequest(c, request, false); rejected != nil {
		return *rejected
	}
	c.transaction = nil
	return i.answerOrLose(i.reply(c))
}

func (i *Instance) onSet(c *connection, request instanceRequest) result {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if rejected := i.checkRequest(c, request, false); rejected != nil {
		return *rejected
	}
	c.settings[request.Name] = request.Value
	return i.answerOrLose(i.reply(c))
}

func (i *Instance) onPrepare(c *connection, request instanceRequest) result {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if rejected := i.checkRequest(c, request, false); rejected != nil {
		return *rejected
	}
	c.prepared[request.Name] = request.Text
	return i.answerOrLose(i.reply(c))
}
