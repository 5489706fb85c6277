package simulation

import (
	"encoding/json"
	"time"

	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/test/history"
	"tansyseam/test/standin"
)

const (
	requestTimeout = 6500 * time.Millisecond
	// One in requestsPerDeadline requests has its own deadline.
	requestsPerDeadline = 12
	minDeadlineMS       = 5
	deadlineRangeMS     = 400
)

// callerRequest is a pending request of a caller.
type callerRequest struct {
	caller *caller
	number uint64
	event  standin.Event
	// node is the peer of the connection over which the request was sent, remote
	// the caller's address on it.
	node     *node
	remote   string
	finished bool
	// done is called with the event of the answer. open is true if the session
	// is still open.
	done func(event standin.Event, open bool)
}

// request sends an operation, and records its outcome.
func (c *caller) request(event standin.Event, op httppool.Op, done func(event standin.Event, open bool)) {
	number := c.fleet.recorder.beginRequest(event)
	r := &callerRequest{caller: c, number: number, event: event, node: c.node, remote: c.remoteAddress, done: done}
	c.disconnect = func() { r.finish(httppool.Result{}, true) }
	c.after(requestTimeout, c.disconnect)
	if r.node == nil || !r.node.running {
		c.after(disconnectDelay, c.disconnect)
		return
	}
	deadline := c.drawDeadline()
	if deadline != 0 {
		r.event.DeadlineMS = deadline.Milliseconds()
	}
	incarnation, session := r.node.incarnation, c.session
	c.simulator.sendReliable(&r.node.machine, func() {
		r.node.execute(session, op, deadline, func(result httppool.Result) {
			if r.node.incarnation == incarnation {
				c.simulator.sendReliable(&c.machine, func() { r.onResult(result) })
			}
		})
	})
}

// drawDeadline returns a deadline for some of the requests, and 0 for the others.
func (c *caller) drawDeadline() time.Duration {
	if c.fleet.windows.enabled || c.random.IntN(requestsPerDeadline) != 0 {
		return 0
	}
	return time.Duration(minDeadlineMS+c.random.IntN(deadlineRangeMS)) * time.Millisecond
}

func (r *callerRequest) onResult(result httppool.Result) {
	if r.caller.isConnectedBy(r.node, r.remote) {
		r.finish(result, false)
	}
}

// finish ends the request with its result. cut is true if the connection was lost
// or the request timed out instead.
func (r *callerRequest) finish(result httppool.Result, cut bool) {
	if r.finished {
		return
	}
	r.finished = true
	c := r.caller
	c.disconnect = nil
	r.fillEvent(result, cut)
	c.resetByRun = false
	c.fleet.recorder.finishRequest(r.number, r.event)
	event := r.event
	c.simulator.record("%s %s %s %s %v upto %v seq %d via %s: %s", c.name, event.Kind, event.RequestID, event.Outcome, event.Position, event.AppliedPosition, event.Sequence, event.Address, event.Error)
	for database, position := range result.MinPositions {
		c.minPositions[database] = c.minPositions[database].Max(position)
	}
	open := !cut && isSessionUsable(result)
	if !open && c.remoteAddress == r.remote {
		c.leave()
	}
	r.done(event, open)
}

func (r *callerRequest) fillEvent(result httppool.Result, cut bool) {
	event := &r.event
	event.Outcome, event.Error, event.Sequence, event.AnsweredAt = string(result.Outcome), result.Error, result.BindingSequence, int64(r.caller.simulator.now)
	event.RetryAfterMS = result.RetryAfter.Milliseconds()
	event.Position = standin.Position{Term: result.Position.Term, Index: result.Position.Index}
	if cut {
		event.Outcome = history.OutcomeCut
		if r.caller.resetByRun {
			event.Error = history.ErrorResetByRun
		}
	}
	var rows answerRows
	if len(result.Rows) > 0 && json.Unmarshal(result.Rows, &rows) == nil {
		event.AppliedPosition, event.Settings, event.ExecutedText = rows.Upto, rows.Settings, rows.Text
	}
}
