package simulation

import (
	"fmt"
	"time"

	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/test/history"
	"tansyseam/test/standin"
)

const (
	maxRepeats    = 3
	minRepeatWait = 20 * time.Millisecond
	maxRepeatWait = 300 * time.Millisecond
	// One in transactionsPerRollback transactions is rolled back, and the
	// transaction is abandoned at one in statementsPerAbandon statements.
	transactionsPerRollback = 8
	statementsPerAbandon    = 25
	maxStatements           = 3
	// One in repeatsPerSameSession repeats of a write uses the same session.
	repeatsPerSameSession = 3
	// maxTextNumber bounds the random numbers that make the texts of statements
	// differ.
	maxTextNumber = 1e6
)

// Percentages of the operations. The remaining operations run a prepared
// statement.
const (
	readPercent         = 42
	writePercent        = 40
	transactionPercent  = 10
	setPercent          = 3
	preparePercent      = 3
	readOnlyReadPercent = readPercent + writePercent + transactionPercent
)

// weightedOperation is an operation with the percentage of draws that select it.
type weightedOperation struct {
	percent int
	run     func()
}

// runOperation draws the next operation and runs it.
func (c *caller) runOperation() {
	operations := []weightedOperation{
		{readPercent, c.read}, {writePercent, c.write}, {transactionPercent, c.beginTransaction},
		{setPercent, c.set}, {preparePercent, c.prepare}, {100, c.runPrepared},
	}
	if c.readOnly {
		operations[0].percent, operations[1].percent, operations[2].percent = readOnlyReadPercent, 0, 0
	}
	runWeighted(operations, c.drawPercent())
}

// runWeighted runs the operation whose range of percentages contains draw, a
// number from 0 to 99.
func runWeighted(operations []weightedOperation, draw int) {
	for _, operation := range operations {
		if draw < operation.percent {
			operation.run()
			return
		}
		draw -= operation.percent
	}
}

// drawFromDeck draws a number below count. Each number is drawn once before any
// is drawn a second time, so that the load is even, unless the configuration has
// IndependentDraws.
func (c *caller) drawFromDeck(count int) int {
	if c.fleet.config.IndependentDraws {
		return c.random.IntN(count)
	}
	if len(c.decks[count]) == 0 {
		c.decks[count] = c.random.Perm(count)
	}
	first := c.decks[count][0]
	c.decks[count] = c.decks[count][1:]
	return first
}

// drawPercent draws a number from 0 to 99. Its tens digit is drawn from a deck,
// so that each occurs equally often.
func (c *caller) drawPercent() int {
	if c.fleet.config.IndependentDraws {
		return c.random.IntN(100)
	}
	return c.drawFromDeck(10)*10 + c.random.IntN(10)
}

func (c *caller) read() {
	text := fmt.Sprintf("look by %s %d", c.name, c.random.IntN(maxTextNumber))
	c.request(c.newStatementEvent(history.KindRead, "", text), httppool.Op{Kind: httppool.OpRun, Text: text}, c.runAfterAnswer)
}

func (c *caller) runAfterAnswer(event standin.Event, _ bool) { c.runAfterRetry(event) }

func (c *caller) set() {
	value := c.session
	c.request(c.newEvent(history.KindSet), httppool.Op{Kind: httppool.OpSet, Name: history.SessionSetting, Value: value}, func(event standin.Event, open bool) {
		if open && event.Outcome == history.OutcomeDone {
			c.setting = value
		}
		c.runAfterRetry(event)
	})
}

// prepare prepares a statement. All callers use the same statement name, with
// different texts.
func (c *caller) prepare() {
	text := fmt.Sprintf("look by %s prepared %d", c.name, c.random.IntN(maxTextNumber))
	c.request(c.newEvent(history.KindPrepare), httppool.Op{Kind: httppool.OpPrepare, Name: "p", Text: text}, func(event standin.Event, open bool) {
		if open && event.Outcome == history.OutcomeDone {
			c.prepared = text
		}
		c.runAfterRetry(event)
	})
}

func (c *caller) runPrepared() {
	if c.prepared == "" {
		c.read()
		return
	}
	c.request(c.newStatementEvent(history.KindRead, "", c.prepared), httppool.Op{Kind: httppool.OpRun, Prepared: "p"}, c.runAfterAnswer)
}

func (c *caller) write() {
	id := c.nextRequestID()
	c.attemptWrite(id, fmt.Sprintf("book %s by %s x", id, c.name), 0)
}

// attemptWrite sends a write. It repeats the write under the same request ID
// while the outcome is unknown, up to maxRepeats times.
func (c *caller) attemptWrite(id, text string, repeats int) {
	event := c.newStatementEvent(history.KindWrite, id, text)
	event.Retry = repeats > 0
	c.request(event, httppool.Op{Kind: httppool.OpRun, Text: text, Write: true, RequestID: id}, func(event standin.Event, _ bool) {
		if !isUnknown(event) || repeats >= maxRepeats {
			c.runAfterRetry(event)
			return
		}
		c.after(time.Duration(event.RetryAfterMS)*time.Millisecond/4+c.simulator.randomDuration(minRepeatWait, maxRepeatWait), func() {
			if c.random.IntN(repeatsPerSameSession) > 0 {
				c.leave()
			}
			c.withSession(func() { c.attemptWrite(id, text, repeats+1) })
		})
	})
}

// isUnknown reports whether the caller cannot tell if its request took effect.
func isUnknown(event standin.Event) bool {
	return event.Outcome == history.OutcomeUnknown || event.Outcome == history.OutcomeCut
}

func (c *caller) beginTransaction() {
	c.request(c.newEvent(history.KindBegin), httppool.Op{Kind: httppool.OpBegin}, func(event standin.Event, open bool) {
		if !open || event.Outcome != history.OutcomeDone {
			c.runAfterRetry(event)
			return
		}
		c.runInTransaction(nil, 1+c.random.IntN(maxStatements))
	})
}

// runInTransaction runs the remaining number of write statements, and then ends
// the transaction.
func (c *caller) runInTransaction(requestIDs []string, remaining int) {
	if remaining == 0 {
		c.endTransaction(requestIDs)
		return
	}
	if c.drawFromDeck(statementsPerAbandon) == 0 {
		c.recordAbandoned(requestIDs)
		c.leave()
		c.runAfterThinking()
		return
	}
	id := c.nextRequestID()
	text := fmt.Sprintf("hold %s by %s x", id, c.name)
	c.request(c.newStatementEvent(history.KindInside, id, text), httppool.Op{Kind: httppool.OpRun, Text: text, Write: true, RequestID: id}, func(event standin.Event, open bool) {
		requestIDs = append(requestIDs, id)
		if !open {
			c.recordAbandoned(requestIDs)
			c.runAfterRetry(event)
			return
		}
		if event.Outcome != history.OutcomeDone {
			c.rollBack(requestIDs)
			return
		}
		c.after(c.thinkTime()/4, func() { c.runInTransaction(requestIDs, remaining-1) })
	})
}

func (c *caller) endTransaction(requestIDs []string) {
	if c.drawFromDeck(transactionsPerRollback) == 0 {
		c.rollBack(requestIDs)
		return
	}
	c.attemptCommit(c.nextRequestID(), requestIDs, 0)
}

func (c *caller) rollBack(requestIDs []string) {
	event := c.newEvent(history.KindRollback)
	event.RequestIDs = requestIDs
	c.request(event, httppool.Op{Kind: httppool.OpRollback}, func(event standin.Event, _ bool) { c.onTransactionEnd(event) })
}

// attemptCommit sends a commit. It repeats the commit under the same request ID
// while the outcome is unknown, up to maxRepeats times.
func (c *caller) attemptCommit(id string, requestIDs []string, repeats int) {
	event := c.newStatementEvent(history.KindCommit, id, "")
	event.RequestIDs, event.Retry = requestIDs, repeats > 0
	c.request(event, httppool.Op{Kind: httppool.OpCommit, RequestID: id}, func(event standin.Event, _ bool) {
		if !isUnknown(event) || repeats >= maxRepeats {
			c.onTransactionEnd(event)
			return
		}
		c.after(c.simulator.randomDuration(minRepeatWait, maxRepeatWait), func() {
			c.withSession(func() { c.attemptCommit(id, requestIDs, repeats+1) })
		})
	})
}

func (c *caller) onTransactionEnd(event standin.Event) {
	ended := event.Outcome == history.OutcomeDone || event.Outcome == history.OutcomeKept
	if !ended && !c.fleet.config.IndependentDraws {
		c.leave()
	}
	c.runAfterRetry(event)
}

// recordAbandoned records that the caller disconnected within a transaction,
// which must not take effect.
func (c *caller) recordAbandoned(requestIDs []string) {
	event := c.newEvent(history.KindRollback)
	event.RequestIDs, event.AnsweredAt, event.Outcome = requestIDs, int64(c.simulator.now), history.OutcomeLeft
	c.fleet.recorder.addEvent(event)
}
