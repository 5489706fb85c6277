package platformstandin

import (
	"fmt"
	"time"

	"tansyseam/test/linehistory"
)

// Parts of a client's choices, each from 0 to 1.
const (
	setShare        = 0.2
	prepareShare    = 0.3
	runShare        = 0.5
	rollbackShare   = 0.1
	disconnectShare = 0.02
)

// maxAttempts is for one operation.
const maxAttempts = 3

// operate does one operation, and repeats it where that is allowed.
func (c *client) operate() {
	drawn := c.random.Float64()
	act := c.read
	if drawn < c.mix.WriteShare {
		act = c.write
	} else if drawn < c.mix.WriteShare+c.mix.TransactionShare {
		act = c.runTransaction
	}
	for attempt := 0; attempt < maxAttempts && !c.clients.group.IsStopping(); attempt++ {
		if !c.openSession() {
			c.pause(100 * time.Millisecond)
			continue
		}
		if !c.setSessionState() || !act() {
			return
		}
		c.pause(30 * time.Millisecond)
	}
}

// setSessionState sets a value and prepares a statement now and then; false
// where that failed.
func (c *client) setSessionState() bool {
	if c.values == nil && c.random.Float64() < setShare {
		value := c.session
		if answered := c.query(linehistory.Query{}, "SET app "+value); !succeeded(answered) {
			c.closeSession(true)
			return false
		}
		c.values = map[string]string{"app": value}
	}
	if c.preparedText == "" && c.random.Float64() < prepareShare {
		text := "FETCH q" + fmt.Sprint(c.random.IntN(5))
		if answered := c.query(linehistory.Query{}, "PREPARE s1 "+text); !succeeded(answered) {
			c.closeSession(true)
			return false
		}
		c.preparedText = text
	}
	return true
}

func (c *client) randomKey() string { return fmt.Sprintf("t%d", c.random.IntN(40)) }

// read returns whether to try again.
func (c *client) read() bool {
	query, text := linehistory.Query{Act: linehistory.ActRead}, "FETCH "+c.randomKey()
	if c.preparedText != "" && c.random.Float64() < runShare {
		query.Shape, query.Rest = c.preparedText, " "+c.randomKey()
		text = "RUN s1" + query.Rest
	}
	answered := c.query(query, text)
	return !succeeded(answered)
}

// write returns whether to try again.
func (c *client) write() bool {
	answered := c.query(linehistory.Query{Act: linehistory.ActWrite}, fmt.Sprintf("PUT %s %s.%d  é", c.randomKey(), c.session, c.queryCount))
	return linehistory.PromisesNoEffect(answered.Code)
}

// runTransaction returns whether to try again.
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
			query.Act, text = linehistory.ActWrite, fmt.Sprintf("PUT %s %s.%d", c.randomKey(), c.session, c.queryCount)
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
	if c.random.Float64() < disconnectShare {
		c.closeSession(false)
		return false
	}
	answered := c.query(linehistory.Query{Act: linehistory.ActCommit, Transaction: transaction, Began: began}, "COMMIT")
	return linehistory.PromisesNoEffect(answered.Code)
}
