package platformstandin

import (
	"fmt"
	"strings"
	"time"

	"tansyseam/test/linehistory"
)

// Probabilities of a client's choices, each from 0 to 1.
const (
	// setShare and prepareShare apply before each attempt of an operation, while
	// the session has no value or no prepared statement.
	setShare     = 0.2
	prepareShare = 0.3
	// runPreparedShare applies to reads in sessions with a prepared statement.
	runPreparedShare = 0.5
	// rollbackShare and disconnectBeforeCommitShare apply to transactions.
	rollbackShare               = 0.1
	disconnectBeforeCommitShare = 0.02
)

// maxAttempts is the maximum number of attempts of one operation.
const maxAttempts = 3

// operate runs one operation and retries it if that is allowed.
func (c *client) operate() {
	sample := c.random.Float64()
	runOperation := c.read
	if sample < c.mix.WriteShare {
		runOperation = c.write
	} else if sample < c.mix.WriteShare+c.mix.TransactionShare {
		runOperation = c.runTransaction
	}
	for attempt := 0; attempt < maxAttempts && !c.clients.group.IsStopping(); attempt++ {
		if !c.openSession() {
			c.pause(100 * time.Millisecond)
			continue
		}
		if !c.setUpSessionState() || !runOperation() {
			return
		}
		c.pause(30 * time.Millisecond)
	}
}

// setUpSessionState sets a value with the probability setShare, unless the
// session has one, and likewise prepares a statement with the probability
// prepareShare. It returns false if a query failed.
func (c *client) setUpSessionState() bool {
	if c.values == nil && c.random.Float64() < setShare {
		value := c.vary(c.session)
		if answered := c.query(linehistory.Query{}, "SET app "+value); !succeeded(answered) {
			c.closeSession(true)
			return false
		}
		c.values = map[string]string{"app": value}
	}
	if c.preparedText == "" && c.random.Float64() < prepareShare {
		name, text := c.vary("s1"), "FETCH "+c.vary("q"+fmt.Sprint(c.random.IntN(5)))
		if answered := c.query(linehistory.Query{}, "PREPARE "+name+" "+text); !succeeded(answered) {
			c.closeSession(true)
			return false
		}
		c.preparedName, c.preparedText = name, text
	}
	return true
}

// vary returns a text, with characters of the line end for the mix's share of texts.
// Blanks in it are replaced, because they would divide the fields of a message.
func (c *client) vary(text string) string {
	if c.mix.LineEndShare == 0 || c.random.Float64() >= c.mix.LineEndShare {
		return text
	}
	return strings.ReplaceAll(withLineEnds(text, c.random), " ", "_")
}

// varyData is like vary for a text that extends to the end of the message, in which
// blanks are allowed.
func (c *client) varyData(text string) string {
	if c.mix.LineEndShare == 0 || c.random.Float64() >= c.mix.LineEndShare {
		return text
	}
	return withLineEnds(text, c.random)
}

func (c *client) randomKey() string { return c.vary(fmt.Sprintf("t%d", c.random.IntN(40))) }

// read runs one read. It reports whether to retry.
func (c *client) read() bool {
	query, text := linehistory.Query{Act: linehistory.ActRead}, "FETCH "+c.randomKey()
	if c.preparedText != "" && c.random.Float64() < runPreparedShare {
		query.Shape, query.Rest = c.preparedText, " "+c.randomKey()
		text = "RUN " + c.preparedName + query.Rest
	}
	answered := c.query(query, text)
	return !succeeded(answered)
}

// write runs one write. It reports whether to retry.
func (c *client) write() bool {
	answered := c.query(linehistory.Query{Act: linehistory.ActWrite}, "PUT "+c.randomKey()+" "+c.varyData(fmt.Sprintf("%s.%d  é", c.session, c.queryCount)))
	return linehistory.PromisesNoEffect(answered.Code)
}

// runTransaction runs one transaction. It reports whether to retry.
func (c *client) runTransaction() bool {
	c.transactionCount++
	began, transaction := c.now(), fmt.Sprintf("%s.t%d", c.session, c.transactionCount)
	readOnly := c.mix.WriteShare == 0
	begin := "BEGIN"
	if readOnly {
		begin = "BEGIN FETCH"
	}
	if answered := c.query(linehistory.Query{}, begin); !succeeded(answered) {
		return true
	}
	for index := range 2 + c.random.IntN(3) {
		query := linehistory.Query{Act: linehistory.ActRead, Transaction: transaction, Began: began, First: index == 0}
		text := "FETCH " + c.randomKey()
		if !readOnly && index > 0 {
			query.Act, text = linehistory.ActWrite, "PUT "+c.randomKey()+" "+c.varyData(fmt.Sprintf("%s.%d", c.session, c.queryCount))
		}
		answered := c.query(query, text)
		if answered.Cut {
			return true
		}
		if answered.Code != "" {
			c.query(linehistory.Query{}, "ROLLBACK")
			return linehistory.PromisesNoEffect(answered.Code) || answered.Code == "FAILED"
		}
		c.pause(5 * time.Millisecond)
	}
	if c.random.Float64() < rollbackShare {
		c.query(linehistory.Query{}, "ROLLBACK")
		return false
	}
	if c.random.Float64() < disconnectBeforeCommitShare {
		c.closeSession(false)
		return false
	}
	answered := c.query(linehistory.Query{Act: linehistory.ActCommit, Transaction: transaction, Began: began}, "COMMIT")
	return linehistory.PromisesNoEffect(answered.Code)
}
