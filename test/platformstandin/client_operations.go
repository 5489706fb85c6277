package platformstandin

import (
	"fmt"
	"time"

	"tansyseam/test/linehistory"
)

// operate does one operation, again where that is allowed.
func (c *client) operate() {
	drawn := c.random.Float64()
	act := c.read
	if drawn < c.mix.WriteShare {
		act = c.write
	} else if drawn < c.mix.WriteShare+c.mix.TransactionShare {
		act = c.runTransaction
	}
	for attempt := 0; attempt < 3 && !c.clients.group.IsStopping(); attempt++ {
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

// setSessionState sets values and prepares a shape now and then; false where that
// failed.
func (c *client) setSessionState() bool {
	if c.values == nil && c.random.Float64() < 0.2 {
		value := c.session
		if got := c.query(linehistory.Query{}, "SET app "+value); !succeeded(got) {
			c.closeSession(true)
			return false
		}
		c.values = map[string]string{"app": value}
	}
	if c.preparedText == "" && c.random.Float64() < 0.3 {
		text := "FETCH q" + fmt.Sprint(c.random.IntN(5))
		if got := c.query(linehistory.Query{}, "PREPARE s1 "+text); !succeeded(got) {
			c.closeSession(true)
			return false
		}
		c.preparedText = text
	}
	return true
}

func (c *client) randomKey() string { return fmt.Sprintf("t%d", c.random.IntN(40)) }

// read says whether to try again.
func (c *client) read() bool {
	query, text := linehistory.Query{Act: linehistory.ActRead}, "FETCH "+c.randomKey()
	if c.preparedText != "" && c.random.Float64() < 0.5 {
		query.Shape, query.Rest = c.preparedText, " "+c.randomKey()
		text = "RUN s1" + query.Rest
	}
	got := c.query(query, text)
	return !succeeded(got)
}

func (c *client) write() bool {
	got := c.query(linehistory.Query{Act: linehistory.ActWrite}, fmt.Sprintf("PUT %s %s.%d  é", c.randomKey(), c.session, c.queryCount))
	return retryable[got.Code]
}

func (c *client) runTransaction() bool {
	c.transactionCount++
	began, transaction := c.now(), fmt.Sprintf("%s.t%d", c.session, c.transactionCount)
	readOnly := c.mix.WriteShare == 0
	begin := map[bool]string{true: "BEGIN FETCH", false: "BEGIN"}[readOnly]
	if got := c.query(linehistory.Query{}, begin); !succeeded(got) {
		return true
	}
	for at := range 2 + c.random.IntN(3) {
		query := linehistory.Query{Act: linehistory.ActRead, Transaction: transaction, Began: began, First: at == 0}
		text := "FETCH " + c.randomKey()
		if !readOnly && at > 0 {
			query.Act, text = linehistory.ActWrite, fmt.Sprintf("PUT %s %s.%d", c.randomKey(), c.session, c.queryCount)
		}
		got := c.query(query, text)
		if got.Cut {
			return true
		}
		if got.Code != "" {
			c.query(linehistory.Query{}, "ROLLBACK")
			return retryable[got.Code] || got.Code == "FAILED"
		}
		c.pause(5 * time.Millisecond)
	}
	if c.random.Float64() < 0.1 {
		c.query(linehistory.Query{}, "ROLLBACK")
		return false
	}
	if c.random.Float64() < 0.02 {
		c.closeSession(false)
		return false
	}
	got := c.query(linehistory.Query{Act: linehistory.ActCommit, Transaction: transaction, Began: began}, "COMMIT")
	return retryable[got.Code]
}
