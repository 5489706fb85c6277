package linehistory

import (
	"fmt"
	"maps"
	"slices"
)

// Unrequested finds executed statements that no client sent, or that differ from
// the statement the client sent. It also finds commits of transactions whose
// client did not request the commit.
func Unrequested(h History) []string {
	var found violations
	queries := h.queriesByID()
	for _, execution := range h.Executions {
		query, sent := queries[execution.ID]
		matches := sent && execution.Act == query.Act && execution.Text == query.Text && execution.Shape == query.Shape && execution.Rest == query.Rest
		if !matches {
			found.add("%s ran %s %q %q %q as %s at %d ms, for which the client sent %q", execution.Instance, execution.Act, execution.Text, execution.Shape, execution.Rest, execution.ID, execution.At.Milliseconds(), query.Text)
		}
	}
	for service, log := range h.Logs {
		for _, entry := range log {
			for _, id := range entry.IDs {
				if transaction := queries[id].Transaction; transaction != "" && !holdsCommit(entry, transaction, queries) {
					found.add("%s committed %s of transaction %s, whose client did not send its commit", service, id, transaction)
				}
			}
		}
	}
	return found
}

func holdsCommit(entry LogEntry, transaction string, queries map[string]Query) bool {
	return slices.ContainsFunc(entry.IDs, func(id string) bool {
		return queries[id].Act == ActCommit && queries[id].Transaction == transaction
	})
}

// answerKey identifies an execution of a query by the stamp of its answer.
type answerKey struct{ id, stamp string }

// MixedAnswers finds successful answers whose stamp is not that of an execution of
// the query, or whose rows differ from the rows of that execution.
func MixedAnswers(h History) []string {
	executions := map[answerKey]Execution{}
	for _, execution := range h.Executions {
		executions[answerKey{execution.ID, execution.Stamp}] = execution
	}
	var found violations
	for _, query := range h.Queries {
		if query.Act == "" || !query.succeeded() {
			continue
		}
		execution, executed := executions[answerKey{query.ID, query.Stamp}]
		if !executed || !slices.Equal(execution.Rows, query.Rows) {
			found.add("%s was answered at %d ms with stamp %q and rows %q, but its execution returned %q", query.ID, query.Answered.Milliseconds(), query.Stamp, query.Rows, execution.Rows)
		}
	}
	return found
}

// sessionChecker tracks which client's transaction runs in which transaction of a
// connection.
type sessionChecker struct {
	// places holds, by the client's transaction, the instance, connection and
	// transaction number in which it runs. owners is the inverse of places.
	places map[string]string
	owners map[string]string
	found  violations
}

// WrongSession finds statements that ran in the wrong transaction, on the wrong
// connection, or with settings or prepared shapes other than their client's.
func WrongSession(h History) []string {
	queries := h.queriesByID()
	checker := &sessionChecker{places: map[string]string{}, owners: map[string]string{}}
	for _, execution := range h.Executions {
		if query, sent := queries[execution.ID]; sent {
			checker.checkTransaction(execution, query)
			checker.checkState(execution, query)
		}
	}
	for _, query := range h.Queries {
		if query.Shape != "" && query.Code == codeNotFound {
			checker.found.add("%s: its prepared statement was not found", query.ID)
		}
	}
	return checker.found
}

func (c *sessionChecker) checkTransaction(execution Execution, query Query) {
	ranInside, sentInside := execution.Transaction != 0, query.Transaction != ""
	if ranInside != sentInside {
		c.found.add("%s of transaction %q ran in the connection's transaction %d", execution.ID, query.Transaction, execution.Transaction)
	}
	if !ranInside || !sentInside {
		return
	}
	place := fmt.Sprint(execution.Instance, " ", execution.Conn, " ", execution.Transaction)
	if first, ok := c.places[query.Transaction]; ok && first != place {
		c.found.add("%s of transaction %s ran at %s, but an earlier statement ran at %s", execution.ID, query.Transaction, place, first)
	}
	if owner, ok := c.owners[place]; ok && owner != query.Transaction {
		c.found.add("%s of transaction %s ran in the transaction of %s", execution.ID, query.Transaction, owner)
	}
	c.places[query.Transaction], c.owners[place] = place, query.Transaction
}

func (c *sessionChecker) checkState(execution Execution, query Query) {
	if !maps.Equal(execution.Values, query.Values) {
		c.found.add("%s ran with settings %v, its client has %v", execution.ID, execution.Values, query.Values)
	}
	if execution.Shape != query.Shape {
		c.found.add("%s ran shape %q, its client prepared %q", execution.ID, execution.Shape, query.Shape)
	}
}
