package linepool

import (
	"time"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// sentStatement returns the attempt whose statement waits for its answer, or nil.
func (c *Conn) sentStatement() *requestAttempt {
	if len(c.pending) == 0 {
		return nil
	}
	attempt := c.pending[len(c.pending)-1]
	if attempt == nil || !attempt.statementSent {
		return nil
	}
	return attempt
}

// isProven reports whether the rows and the ready message beside a new stamp belong to
// it. They do not if the state or the position of the session is not one that it can
// have after the statement. If the rows are more than the instance has ever returned, and
// the connection has delivered the first of them before, that one may be a repetition.
func (c *Conn) isProven(attempt *requestAttempt, received answer, ready lineproto.Message) bool {
	request := attempt.request
	expectedState := lineproto.StateIdle
	if request.transaction != nil && !request.commit {
		expectedState = lineproto.StateInTransaction
	}
	if ready.State != expectedState || ready.Position.IsBefore(c.position) {
		return false
	}
	return len(received.rows) <= c.instance.maxRows[request.rowKind()] || !c.history.hasFirstRow(received.rows[0])
}

// beginRecord describes the acknowledgments inside transactions that a connection has
// delivered: the highest position, and the time of the last one.
type beginRecord struct {
	position model.Position
	at       time.Duration
}

// mayRepeat reports whether an acknowledgment inside a transaction, at a position, may be
// the repetition of an earlier one.
func (b beginRecord) mayRepeat(position model.Position, now time.Duration) bool {
	return b.at != 0 && now-b.at <= repetitionWindow && !b.position.IsBefore(position)
}

func (c *Conn) isBeginProven(ready lineproto.Message, now time.Duration) bool {
	return !c.begun.mayRepeat(ready.Position, now)
}

// mayBegin reports whether the acknowledgment of a BEGIN on the connection can be told
// from those of earlier transactions.
func (c *Conn) mayBegin(now time.Duration) bool {
	return !c.begun.mayRepeat(c.instance.position, now)
}
