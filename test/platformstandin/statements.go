package platformstandin

import (
	"fmt"
	"strconv"
	"strings"

	"tansyseam/test/linehistory"
)

type statement struct {
	id, text, rest string
	minPosition    linehistory.Position
}

var statementHandlers map[string]func(c *session, statement *statement) bool

func init() {
	statementHandlers = map[string]func(c *session, statement *statement) bool{
		"BEGIN": func(c *session, statement *statement) bool {
			i, readOnly, code := c.instance, statement.rest == "FETCH", ""
			if c.transaction != nil {
				return c.fail("MALFORMED")
			}
			i.service.withLock(func() {
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
			c.transaction = &transaction{number: c.transactionCount, readOnly: readOnly, term: i.term, values: map[string]string{}}
			return c.writeDone()
		},
		"COMMIT": func(c *session, statement *statement) bool {
			transaction := c.transaction
			if transaction == nil {
				return c.fail("MALFORMED")
			}
			if transaction.failed {
				c.transaction = nil
				return c.write("ERROR ABORTED", c.readyLine())
			}
			return c.execute(statement, linehistory.ActCommit, "", "", "")
		},
		"ROLLBACK": func(c *session, _ *statement) bool { c.transaction = nil; return c.writeDone() },
		"FETCH": func(c *session, statement *statement) bool {
			return c.execute(statement, linehistory.ActRead, statement.rest, "", "")
		},
		"PUT": func(c *session, statement *statement) bool {
			return c.execute(statement, linehistory.ActWrite, statement.rest, "", "")
		},
		"SET": func(c *session, statement *statement) bool {
			name, value, _ := strings.Cut(statement.rest, " ")
			c.values[name] = value
			return c.writeDone()
		},
		"RESET": func(c *session, _ *statement) bool {
			c.values, c.preparedTexts = map[string]string{}, map[string]string{}
			return c.writeDone()
		},
		"PREPARE": func(c *session, statement *statement) bool {
			name, text, _ := strings.Cut(statement.rest, " ")
			c.preparedTexts[name] = text
			return c.writeDone()
		},
		"FORGET": func(c *session, statement *statement) bool {
			delete(c.preparedTexts, statement.rest)
			return c.writeDone()
		},
		"RUN": func(c *session, statement *statement) bool {
			name, rest, _ := strings.Cut(statement.rest, " ")
			text, found := c.preparedTexts[name]
			if !found {
				return c.fail("NOTFOUND " + name)
			}
			kind, _, _ := strings.Cut(text, " ")
			act := map[string]string{"FETCH": linehistory.ActRead, "PUT": linehistory.ActWrite}[kind]
			return c.execute(statement, act, rest, text, " "+rest)
		},
		"STATUS":   func(c *session, _ *statement) bool { return c.writeStatus(func(*Instance) {}) },
		"RESUME":   func(c *session, _ *statement) bool { return c.writeStatus(resume) },
		"STEPDOWN": func(c *session, statement *statement) bool { return c.applyOrder(statement, (*Instance).stepDown) },
		"PAUSE": func(c *session, statement *statement) bool {
			return c.applyOrder(statement, func(i *Instance) { i.pausedTerm, _ = strconv.ParseUint(statement.rest, 10, 64) })
		},
	}
}

func resume(i *Instance) {
	i.pausedTerm = 0
	if i.upstream != nil {
		i.service.replicateTo(i.upstream, i)
	}
}

func (c *session) applyOrder(statement *statement, act func(*Instance)) bool {
	term, _ := strconv.ParseUint(statement.rest, 10, 64)
	return c.writeStatus(func(i *Instance) {
		if term > i.term {
			act(i)
		}
	})
}

func (c *session) writeStatus(act func(*Instance)) bool {
	row, i := "", c.instance
	i.service.withLock(func() {
		act(i)
		role := map[bool]string{true: "primary", false: "replica"}[i.primary]
		row = fmt.Sprintf("ROW %s %d %s %d 0 %d %d", role, i.term, formatPosition(i.lastPosition()), i.pausedTerm, len(i.slots), len(i.sessions))
	})
	return c.write(row, "DONE -", c.readyLine())
}
