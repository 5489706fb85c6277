package standin

import "context"

func (c *caller) operate(ctx context.Context) {
	drawn := c.random.Float64()
	if c.setting == "" && c.random.Float64() < c.role.SessionStateShare {
		value := c.session
		event, open := c.request("set", "/v1/setting", map[string]any{"name": "app", "value": value})
		c.callers.history.Add(event)
		if open && event.Outcome == "done" {
			c.setting = value
		}
		if !open {
			return
		}
	}
	if c.preparedText == "" && c.random.Float64() < c.role.SessionStateShare {
		text := c.newStatement("look", c.database+" prepared")
		event, open := c.request("prepare", "/v1/prepare", map[string]any{"name": "p", "text": text})
		event.Text = ""
		c.callers.history.Add(event)
		if open && event.Outcome == "done" {
			c.preparedText = text
		}
		if !open {
			return
		}
	}
	actions := []struct {
		part float64
		act  func(context.Context)
	}{{c.role.WriteShare, c.write}, {c.role.TransactionShare, c.runTransaction}, {2, c.read}}
	for _, action := range actions {
		if drawn < action.part {
			action.act(ctx)
			return
		}
		drawn -= action.part
	}
}

func (c *caller) read(ctx context.Context) {
	body := map[string]any{"kind": "read", "text": c.newStatement("look", c.database)}
	prepared := c.preparedText
	usePrepared := prepared != "" && c.random.Float64() < 0.5
	if usePrepared {
		body = map[string]any{"kind": "read", "prepared": "p"}
	}
	event, _ := c.request("read", "/v1/statement", body)
	if usePrepared {
		event.Text = prepared
	}
	c.callers.history.Add(event)
	c.awaitRetry(ctx, event)
}

func (c *caller) write(ctx context.Context) {
	id := c.nextRequestID()
	text := c.newStatement("book", id)
	event, _ := c.request("write", "/v1/statement", map[string]any{"kind": "write", "text": text, "go": id})
	c.callers.history.Add(event)
	c.awaitRetry(ctx, event)
	open := event.Outcome == "unknown" || event.Outcome == "cut"
	for retry := 0; open && retry < 3 && ctx.Err() == nil; retry++ {
		if c.session == "" && !c.openSession(ctx) {
			continue
		}
		event, _ = c.request("write", "/v1/statement", map[string]any{"kind": "write", "text": text, "go": id})
		event.Retry = true
		c.callers.history.Add(event)
		c.awaitRetry(ctx, event)
		open = event.Outcome == "unknown" || event.Outcome == "cut"
	}
}

func (c *caller) runTransaction(ctx context.Context) {
	event, open := c.request("begin", "/v1/begin", map[string]any{})
	c.callers.history.Add(event)
	if !open || event.Outcome != "done" {
		c.awaitRetry(ctx, event)
		return
	}
	var requestIDs []string
	for range 1 + c.random.IntN(2) {
		id := c.nextRequestID()
		event, open = c.request("inside", "/v1/statement", map[string]any{"kind": "write", "text": c.newStatement("hold", id), "go": id})
		c.callers.history.Add(event)
		requestIDs = append(requestIDs, id)
		if !open {
			return
		}
		if event.Outcome != "done" {
			event, _ = c.request("rollback", "/v1/rollback", map[string]any{})
			c.callers.history.Add(event)
			return
		}
	}
	if c.random.Float64() < 0.1 {
		event, _ = c.request("rollback", "/v1/rollback", map[string]any{})
		event.RequestIDs = requestIDs
		c.callers.history.Add(event)
		return
	}
	event, _ = c.request("commit", "/v1/commit", map[string]any{"go": c.nextRequestID()})
	event.RequestIDs = requestIDs
	c.callers.history.Add(event)
	c.awaitRetry(ctx, event)
}
