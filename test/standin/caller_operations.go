package standin

import "context"

const (
	// preparedName is the name of the prepared statement in every session.
	preparedName = "p"
	// preparedShare is the share of reads that use the prepared statement, in
	// sessions that have one.
	preparedShare = 0.5
	// rollbackShare is the share of transactions that the caller rolls back
	// instead of committing.
	rollbackShare = 0.1
	// maxWriteRetries is the maximum number of retries of a write whose outcome
	// is unknown.
	maxWriteRetries = 3
)

// Outcomes on which the callers act. Proxies send outcomeDone and
// outcomeUnknown. A caller records outcomeCut if it received no answer.
const (
	outcomeDone    = "done"
	outcomeUnknown = "unknown"
	outcomeCut     = "cut"
)

// operate runs one operation, chosen at random by the role's shares.
func (c *caller) operate(ctx context.Context) {
	sample := c.random.Float64()
	if !c.changeSetting() || !c.prepareStatement() {
		return
	}
	actions := []struct {
		share float64
		act   func(context.Context)
	}{{c.role.WriteShare, c.write}, {c.role.TransactionShare, c.runTransaction}, {2, c.read}}
	for _, action := range actions {
		if sample < action.share {
			action.act(ctx)
			return
		}
		sample -= action.share
	}
}

// changeSetting sets a setting with the probability SessionStateShare, unless
// the session already has one. It returns whether the session is still open.
func (c *caller) changeSetting() bool {
	if c.setting != "" || c.random.Float64() >= c.role.SessionStateShare {
		return true
	}
	value := c.session
	event, open := c.request("set", "/v1/setting", sessionRequest{Name: "app", Value: value})
	c.callers.history.Add(event)
	if open && event.Outcome == outcomeDone {
		c.setting = value
	}
	return open
}

// prepareStatement prepares a statement with the probability
// SessionStateShare, unless the session already has one. It returns whether the
// session is still open.
func (c *caller) prepareStatement() bool {
	if c.preparedText != "" || c.random.Float64() >= c.role.SessionStateShare {
		return true
	}
	text := c.newStatement("look", c.database+" prepared")
	event, open := c.request("prepare", "/v1/prepare", sessionRequest{Name: preparedName, Text: text})
	event.Text = ""
	c.callers.history.Add(event)
	if open && event.Outcome == outcomeDone {
		c.preparedText = text
	}
	return open
}

func (c *caller) read(ctx context.Context) {
	body := sessionRequest{Kind: "read", Text: c.newStatement("look", c.database)}
	prepared := c.preparedText
	usePrepared := prepared != "" && c.random.Float64() < preparedShare
	if usePrepared {
		body = sessionRequest{Kind: "read", Prepared: preparedName}
	}
	event, _ := c.request("read", "/v1/statement", body)
	if usePrepared {
		event.Text = prepared
	}
	c.callers.history.Add(event)
	c.awaitRetry(ctx, event)
}

// write makes one write outside a transaction. While the outcome is unknown or
// the answer is missing, it retries with the same request id, at most
// maxWriteRetries times.
func (c *caller) write(ctx context.Context) {
	id := c.nextRequestID()
	body := sessionRequest{Kind: "write", Text: c.newStatement("book", id), RequestID: id}
	unknown := c.tryWrite(ctx, body, false)
	for retry := 0; unknown && retry < maxWriteRetries && ctx.Err() == nil; retry++ {
		if c.session == "" && !c.openSession(ctx) {
			continue
		}
		unknown = c.tryWrite(ctx, body, true)
	}
}

func (c *caller) tryWrite(ctx context.Context, body sessionRequest, retry bool) (unknown bool) {
	event, _ := c.request("write", "/v1/statement", body)
	event.Retry = retry
	c.callers.history.Add(event)
	c.awaitRetry(ctx, event)
	return event.Outcome == outcomeUnknown || event.Outcome == outcomeCut
}

// runTransaction runs one or two writes in a transaction, then commits it or
// rolls it back.
func (c *caller) runTransaction(ctx context.Context) {
	event, open := c.request("begin", "/v1/begin", sessionRequest{})
	c.callers.history.Add(event)
	if !open || event.Outcome != outcomeDone {
		c.awaitRetry(ctx, event)
		return
	}
	var requestIDs []string
	for range 1 + c.random.IntN(2) {
		id := c.nextRequestID()
		event, open = c.request("inside", "/v1/statement", sessionRequest{Kind: "write", Text: c.newStatement("hold", id), RequestID: id})
		c.callers.history.Add(event)
		requestIDs = append(requestIDs, id)
		if !open {
			return
		}
		if event.Outcome != outcomeDone {
			event, _ = c.request("rollback", "/v1/rollback", sessionRequest{})
			c.callers.history.Add(event)
			return
		}
	}
	if c.random.Float64() < rollbackShare {
		event, _ = c.request("rollback", "/v1/rollback", sessionRequest{})
		event.RequestIDs = requestIDs
		c.callers.history.Add(event)
		return
	}
	event, _ = c.request("commit", "/v1/commit", sessionRequest{RequestID: c.nextRequestID()})
	event.RequestIDs = requestIDs
	c.callers.history.Add(event)
	c.awaitRetry(ctx, event)
}
