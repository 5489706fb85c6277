package standin

import (
	"fmt"
	"net/http"
)

func (x *Instance) onOpen(c *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !c.open && x.openCount >= x.config.Connections {
		return x.reject(c, http.StatusTooManyRequests, "connections are capped")
	}
	if !c.open {
		c.open = true
		x.openCount++
	}
	return http.StatusOK, x.reply(c, nil)
}

func (x *Instance) onRun(c *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	if x.resetConnections > 0 {
		x.resetConnections--
		x.mutex.Unlock()
		return 0, nil
	}
	if code, body := x.checkRequest(c, request, request.Write); code != 0 {
		x.mutex.Unlock()
		return code, body
	}
	text := request.Text
	if request.Prepared != "" {
		prepared, found := c.prepared[request.Prepared]
		if !found {
			code, body := x.reject(c, http.StatusUnprocessableEntity, "no such prepared statement")
			x.mutex.Unlock()
			return code, body
		}
		text = prepared
	}
	transaction := c.transaction
	x.mutex.Unlock()
	x.occupySlot(request.Write)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if c.transaction != transaction {
		return 0, nil
	}
	if request.Write && x.role != "primary" {
		return x.reject(c, http.StatusConflict, "not primary any more")
	}
	x.recordExecution(c, request, text)
	if !request.Write {
		return x.answerOrLose(x.reply(c, map[string]any{"rows": map[string]any{"upto": x.position(), "settings": c.settings, "text": text}}))
	}
	if c.transaction != nil {
		c.transaction.requestIDs = append(c.transaction.requestIDs, request.RequestID)
		c.transaction.statements = append(c.transaction.statements, text)
		return x.answerOrLose(x.reply(c, map[string]any{"rows": map[string]any{"settings": c.settings, "text": text}}))
	}
	x.appendEntry(Entry{Term: x.term, Index: x.position().Index + 1, RequestIDs: []string{request.RequestID}, Statements: []string{text}})
	return x.answerOrLose(x.reply(c, map[string]any{"rows": map[string]any{"settings": c.settings, "text": text}}))
}

func (x *Instance) onBegin(c *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if code, body := x.checkRequest(c, request, false); code != 0 {
		return code, body
	}
	if c.transaction != nil {
		return x.reject(c, http.StatusUnprocessableEntity, "a transaction is open")
	}
	x.transactionCount++
	c.transaction = &transaction{id: fmt.Sprintf("%s/%d", c.id, x.transactionCount)}
	return x.answerOrLose(x.reply(c, nil))
}

func (x *Instance) onCommit(c *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	if code, body := x.checkRequest(c, request, true); code != 0 {
		x.mutex.Unlock()
		return code, body
	}
	if c.transaction == nil {
		code, body := x.reject(c, http.StatusUnprocessableEntity, "no transaction is open")
		x.mutex.Unlock()
		return code, body
	}
	done := c.transaction
	x.mutex.Unlock()
	x.occupySlot(true)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.role != "primary" {
		return x.reject(c, http.StatusConflict, "not primary any more")
	}
	request.Action = "commit"
	x.recordExecution(c, request, "")
	c.transaction = nil
	x.appendEntry(Entry{Term: x.term, Index: x.position().Index + 1, RequestIDs: append(done.requestIDs, request.RequestID), Statements: done.statements})
	return x.answerOrLose(x.reply(c, nil))
}

func (x *Instance) onRollback(c *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if code, body := x.checkRequest(c, request, false); code != 0 {
		return code, body
	}
	c.transaction = nil
	return x.answerOrLose(x.reply(c, nil))
}

func (x *Instance) onSet(c *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if code, body := x.checkRequest(c, request, false); code != 0 {
		return code, body
	}
	c.settings[request.Name] = request.Value
	return x.answerOrLose(x.reply(c, nil))
}

func (x *Instance) onPrepare(c *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if code, body := x.checkRequest(c, request, false); code != 0 {
		return code, body
	}
	c.prepared[request.Name] = request.Text
	return x.answerOrLose(x.reply(c, nil))
}
