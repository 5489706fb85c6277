package platformstandin

import (
	"fmt"
	"strconv"
	"strings"

	"tansyseam/test/linehistory"
)

// statement is one query. rest is its text after the first word, and minPosition
// is the position up to which the instance must have applied its log before it
// runs the statement.
type statement struct {
	id, text, rest string
	minPosition    linehistory.Position
}

// statementHandlers are the handlers of statements by the first word of the
// query's text. A handler returns false if the connection must be closed.
var statementHandlers = map[string]func(c *session, statement *statement) bool{
	"BEGIN":    (*session).begin,
	"COMMIT":   (*session).commit,
	"ROLLBACK": func(c *session, _ *statement) bool { c.transaction = nil; return c.writeDone() },
	"FETCH": func(c *session, statement *statement) bool {
		return c.execute(operation{statement: statement, act: linehistory.ActRead, arguments: statement.rest})
	},
	"PUT": func(c *session, statement *statement) bool {
		return c.execute(operation{statement: statement, act: linehistory.ActWrite, arguments: statement.rest})
	},
	"SET":     (*session).setValue,
	"RESET":   (*session).reset,
	"PREPARE": (*session).prepare,
	"FORGET": func(c *session, statement *statement) bool {
		delete(c.preparedTexts, statement.rest)
		return c.writeDone()
	},
	"RUN":      (*session).runPrepared,
	"STATUS":   func(c *session, _ *statement) bool { return c.writeStatus(func(*Instance) {}) },
	"RESUME":   func(c *session, _ *statement) bool { return c.writeStatus(resume) },
	"STEPDOWN": func(c *session, statement *statement) bool { return c.applyOrder(statement, (*Instance).stepDown) },
	"PAUSE": func(c *session, statement *statement) bool {
		return c.applyOrder(statement, func(i *Instance) { i.pausedTerm, _ = strconv.ParseUint(statement.rest, 10, 64) })
	},
}

func (c *session) begin(statement *statement) bool {
	i, readOnly, code, term := c.instance, statement.rest == "FETCH", "", uint64(0)
	if c.transaction != nil {
		return c.fail("MALFORMED")
	}
	i.service.withLock(func() {
		term = i.term
		if !readOnly && !i.primary {
			code = "READONLY " + i.ID
		} else if !i.appliedPosition().Covers(statement.minPosition) {
			code = "LAGGING"
		}
	})
	if code != "" {
		return c.fail(code)
	}
	c.transactionCount++
	c.transaction = &transaction{number: c.transactionCount, readOnly: readOnly, term: term, values: map[string]string{}}
	return c.writeDone()
}

func (c *session) commit(statement *statement) bool {
	if c.transaction == nil {
		return c.fail("MALFORMED")
	}
	if c.transaction.failed {
		c.transaction = nil
		return c.write("ERROR ABORTED", c.readyLine())
	}
	return c.execute(operation{statement: statement, act: linehistory.ActCommit})
}

func (c *session) setValue(statement *statement) bool {
	name, value, _ := strings.Cut(statement.rest, " ")
	c.values[name] = value
	return c.writeDone()
}

func (c *session) reset(*statement) bool {
	c.values, c.preparedTexts = map[string]string{}, map[string]string{}
	return c.writeDone()
}

func (c *session) prepare(statement *statement) bool {
	name, text, _ := strings.Cut(statement.rest, " ")
	c.preparedTexts[name] = text
	return c.writeDone()
}

func (c *session) runPrepared(statement *statement) bool {
	name, arguments, _ := strings.Cut(statement.rest, " ")
	text, found := c.preparedTexts[name]
	if !found {
		return c.fail("NOTFOUND " + name)
	}
	verb, _, _ := strings.Cut(text, " ")
	act := map[string]string{"FETCH": linehistory.ActRead, "PUT": linehistory.ActWrite}[verb]
	return c.execute(operation{statement: statement, act: act, arguments: arguments, preparedText: text, preparedRest: " " + arguments})
}

// resume ends a pause of replication: the entries that the instance has missed
// are replicated to it.
func resume(i *Instance) {
	i.pausedTerm = 0
	if i.upstream != nil {
		i.service.replicateTo(i.upstream, i)
	}
}

// applyOrder carries out an order if its term, which is the statement's argument,
// is later than the instance's term.
func (c *session) applyOrder(statement *statement, apply func(*Instance)) bool {
	term, _ := strconv.ParseUint(statement.rest, 10, 64)
	return c.writeStatus(func(i *Instance) {
		if term > i.term {
			apply(i)
		}
	})
}

// writeStatus applies a change to the instance and answers with the instance's
// status: its role, its term, the position of its last log entry, the term in
// which it is paused, an additional lag (always 0), the number of running
// statements and the number of sessions.
func (c *session) writeStatus(apply func(*Instance)) bool {
	row, i := "", c.instance
	i.service.withLock(func() {
		apply(i)
		row = fmt.Sprintf("ROW %s %d %s %d 0 %d %d", i.role(), i.term, formatPosition(i.lastPosition()), i.pausedTerm, len(i.slots), len(i.sessions))
	})
	return c.write(row, "DONE -", c.readyLine())
}
