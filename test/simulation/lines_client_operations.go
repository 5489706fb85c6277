package simulation

import (
	"fmt"
	"time"

	"tansyseam/internal/state/lineproto"
)

const (
	// operationTimeout is the time after its start in which an operation is
	// retried.
	operationTimeout  = 2 * time.Second
	minOperationRetry = 20 * time.Millisecond
	maxOperationRetry = 200 * time.Millisecond
	settingNames      = 2
	settingValues     = 5
	preparedNames     = 3
	// failuresPerClose is the number of failures inside a transaction of which
	// one, on average, ends the session.
	failuresPerClose = 2
)

// nodeLocalText is the text of statements that the node answers without an
// instance.
const nodeLocalText = "own"

// preparedTexts are the texts of the statements that clients prepare.
var preparedTexts = []string{"read q", "write q", "read z"}

// operation is an operation of a client, which is retried if that is safe.
type operation struct {
	client *lineClient
	// run starts an attempt.
	run       func(*operation)
	startedAt time.Duration
	// readOnly is true if the operation has no writes, so that a retry is
	// always safe.
	readOnly bool
	// writeIDs are the writes of this attempt.
	writeIDs []string
	// writeSent is true if the writes of this attempt may take effect.
	writeSent bool
	// countedForRecovery is true if the operation counts in the check that
	// clients are served after the last fault.
	countedForRecovery bool
}

// runOperation runs a random operation.
func (c *lineClient) runOperation() {
	runWeighted([]weightedOperation{
		{36, c.operationStarter((*operation).read)},
		{20, c.operationStarter((*operation).write)},
		{22, c.operationStarter((*operation).runReadWriteTransaction)},
		{8, c.operationStarter((*operation).runReadOnlyTransaction)},
		{5, c.operationStarter((*operation).set)},
		{4, c.operationStarter((*operation).prepare)},
		{5, c.operationStarter((*operation).execute)},
		{100, c.endSession},
	}, c.random.IntN(100))
}

// operationStarter returns a function that starts an operation.
func (c *lineClient) operationStarter(run func(*operation)) func() {
	return func() {
		started := &operation{client: c, run: run, startedAt: c.simulator.now, countedForRecovery: c.fleet.checker.countsRecovery()}
		if started.countedForRecovery {
			c.fleet.checker.recoveryStarted++
		}
		started.start()
	}
}

// countsRecovery reports whether operations that start now count in the check
// that clients are served after the last fault.
func (c *lineChecker) countsRecovery() bool {
	from, now := c.recoveryCheckFrom, c.simulator.now
	return from != 0 && now > from && now < from+recoveryCheckSpan
}

func (c *lineClient) endSession() {
	c.closeSession()
	c.pause()
}

func (o *operation) start() {
	o.writeIDs, o.writeSent = nil, false
	o.run(o)
}

func (o *operation) succeed() {
	checker := o.client.fleet.checker
	checker.served++
	if o.countedForRecovery {
		checker.recoveryServed++
	}
	o.client.pause()
}

func (o *operation) read() {
	o.readOnly = true
	o.runSingle("read "+o.client.randomKey(), lineproto.Statement{Action: lineproto.ActionRead})
}

func (o *operation) write() {
	o.runSingle("write "+o.client.randomKey(), lineproto.Statement{Action: lineproto.ActionWrite})
}

func (o *operation) runReadWriteTransaction() { o.beginTransaction("begin", lineproto.ActionBegin) }

func (o *operation) runReadOnlyTransaction() {
	o.readOnly = true
	o.beginTransaction("begin read", lineproto.ActionBeginReadOnly)
}

func (o *operation) set() {
	random := o.client.random
	name, value := fmt.Sprintf("v%d", random.IntN(settingNames)), fmt.Sprint(random.IntN(settingValues))
	o.runLocal(lineproto.Statement{Action: lineproto.ActionSet, Name: name, Value: value}, func() { o.client.state.values[name] = value })
}

func (o *operation) prepare() {
	name := preparedName(o.client.random.IntN(preparedNames))
	text := preparedTexts[o.client.random.IntN(len(preparedTexts))]
	statement := lineproto.Statement{Action: lineproto.ActionPrepare, Name: name, PreparedText: text, Write: isWriteText(text)}
	o.runLocal(statement, func() { o.client.state.prepared[name] = text })
}

func preparedName(number int) string { return fmt.Sprintf("s%d", number) }

// execute runs the first prepared statement, or a read if there is none.
func (o *operation) execute() {
	for number := range preparedNames {
		name := preparedName(number)
		if text, found := o.client.state.prepared[name]; found {
			o.readOnly = isReadText(text)
			o.runSingle("run", lineproto.Statement{Action: lineproto.ActionExecute, Name: name, Arguments: " " + o.client.randomKey()})
			return
		}
	}
	o.read()
}

// runLocal sends a statement that the node answers without an instance.
func (o *operation) runLocal(statement lineproto.Statement, onSuccess func()) {
	o.readOnly = true
	o.client.sendQuery(nodeLocalText, statement, nil, func(_ *query, answer response) {
		if !answer.succeeded() {
			o.fail(answer)
			return
		}
		onSuccess()
		o.succeed()
	})
}

// runSingle sends a statement outside of a transaction.
func (o *operation) runSingle(text string, statement lineproto.Statement) {
	write, rows := !o.readOnly, 1
	if write {
		rows = 0
	}
	o.writeSent = write
	o.client.sendQuery(text, statement, nil, func(sent *query, answer response) {
		if write {
			o.writeIDs = []string{sent.id}
		}
		if !answer.succeeded() {
			o.fail(answer)
			return
		}
		checker := o.client.fleet.checker
		checker.checkAnswer(sent, answer, rows)
		if write {
			checker.checkAcknowledgement(sent)
		}
		o.succeed()
	})
}

// fail handles a failed attempt. It brings the session into a state in which
// another operation can start, and retries the operation if that is safe.
func (o *operation) fail(answer response) {
	c := o.client
	o.recordFailure(answer)
	next := c.pause
	if o.mayRetry(answer) && c.simulator.now-o.startedAt < operationTimeout {
		next = func() { c.after(c.randomDuration(minOperationRetry, maxOperationRetry), o.retry) }
	}
	if c.node == nil || answer.disconnected {
		c.closeSession()
		next()
		return
	}
	if c.transactionState == lineproto.StateIdle {
		next()
		return
	}
	if c.random.IntN(failuresPerClose) == 0 {
		c.closeSession()
		next()
		return
	}
	c.sendQuery("rollback", lineproto.Statement{Action: lineproto.ActionRollback}, nil, func(_ *query, answer response) {
		if !answer.succeeded() {
			c.closeSession()
		}
		next()
	})
}

// recordFailure counts a failure by its code. If the code guarantees that the
// writes have no effect, it records that too.
func (o *operation) recordFailure(answer response) {
	checker := o.client.fleet.checker
	code := "cut"
	if answer.failed {
		code = fmt.Sprint("code ", int(answer.code))
	}
	checker.failureCodes[code]++
	if answer.guaranteesNoEffect() {
		for _, id := range o.writeIDs {
			checker.refuse(id, code)
		}
	}
}

func (r response) guaranteesNoEffect() bool { return r.failed && r.code.GuaranteesNoEffect() }

// mayRetry reports whether a retry is safe, because the failed attempt cannot
// have taken effect.
func (o *operation) mayRetry(answer response) bool {
	if answer.guaranteesNoEffect() {
		return true
	}
	statementFailed := answer.code == lineproto.CodeFailed
	if o.readOnly && answer.failed && statementFailed {
		return true
	}
	return !o.writeSent && (answer.disconnected || !statementFailed)
}

func (o *operation) retry() {
	if o.client.node == nil {
		o.client.openSession(o.retry)
		return
	}
	o.start()
}
