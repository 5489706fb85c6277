package simulation

import (
	"fmt"
	"time"

	"tansyseam/internal/state/lineproto"
)

const (
	minStatementPause = time.Millisecond
	maxStatementPause = 30 * time.Millisecond
	maxLineStatements = 4
)

// Of statementsPerDisconnect statements, one is replaced by the end of the
// session on average, and of statementsPerSet statements, one is preceded by a
// change of a setting. Of lineTransactionsPerRollback transactions, one is rolled
// back.
const (
	statementsPerDisconnect     = 40
	statementsPerSet            = 10
	lineTransactionsPerRollback = 8
)

func (o *operation) beginTransaction(text string, action lineproto.Action) {
	transaction := &clientTransaction{sentAt: o.client.simulator.now}
	o.client.sendQuery(text, lineproto.Statement{Action: action}, nil, func(_ *query, answer response) {
		if !answer.succeeded() {
			o.fail(answer)
			return
		}
		o.runInTransaction(transaction, 1+o.client.random.IntN(maxLineStatements))
	})
}

// runInTransaction runs the remaining statements, and then ends the transaction.
func (o *operation) runInTransaction(transaction *clientTransaction, remaining int) {
	random := o.client.random
	if remaining == 0 {
		o.endTransaction(transaction)
		return
	}
	if random.IntN(statementsPerDisconnect) == 0 {
		o.client.endSession()
		return
	}
	if random.IntN(statementsPerSet) == 0 {
		o.setInTransaction(transaction, remaining)
		return
	}
	write := !o.readOnly && random.IntN(2) == 0
	text, action := "read "+o.client.randomKey(), lineproto.ActionRead
	if write {
		text, action = "write "+o.client.randomKey(), lineproto.ActionWrite
	}
	o.client.sendQuery(text, lineproto.Statement{Action: action}, transaction, func(sent *query, answer response) {
		if write {
			o.writeIDs = append(o.writeIDs, sent.id)
		}
		if !answer.succeeded() {
			o.fail(answer)
			return
		}
		o.client.fleet.checker.checkAnswer(sent, answer, 1)
		o.client.after(o.client.randomDuration(minStatementPause, maxStatementPause), func() {
			if o.client.node == nil || o.client.transactionState != lineproto.StateInTransaction {
				o.fail(response{disconnected: true})
				return
			}
			o.runInTransaction(transaction, remaining-1)
		})
	})
}

func (o *operation) setInTransaction(transaction *clientTransaction, remaining int) {
	name, value := "v1", fmt.Sprint(o.client.random.IntN(settingValues))
	o.client.sendQuery(nodeLocalText, lineproto.Statement{Action: lineproto.ActionSet, Name: name, Value: value}, transaction, func(_ *query, answer response) {
		if !answer.succeeded() {
			o.fail(answer)
			return
		}
		o.client.state.values[name] = value
		o.runInTransaction(transaction, remaining)
	})
}

func (o *operation) endTransaction(transaction *clientTransaction) {
	if o.client.random.IntN(lineTransactionsPerRollback) == 0 {
		o.rollBack(transaction)
		return
	}
	o.writeSent = len(o.writeIDs) > 0
	o.client.sendQuery(commitText, lineproto.Statement{Action: lineproto.ActionCommit}, transaction, func(sent *query, answer response) {
		if !answer.succeeded() {
			o.fail(answer)
			return
		}
		checker := o.client.fleet.checker
		checker.checkAnswer(sent, answer, 0)
		if len(o.writeIDs) > 0 {
			checker.checkAcknowledgement(sent)
		}
		o.succeed()
	})
}

func (o *operation) rollBack(transaction *clientTransaction) {
	o.client.sendQuery("rollback", lineproto.Statement{Action: lineproto.ActionRollback}, transaction, func(_ *query, answer response) {
		if !answer.succeeded() {
			o.fail(answer)
			return
		}
		o.succeed()
	})
}
