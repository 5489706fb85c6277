package platformstandin

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"tansyseam/test/linehistory"
)

const (
	answerTimeout  = 5 * time.Second
	connectTimeout = 2 * time.Second
)

// query sends one query, reads its answer, and records and returns both.
func (c *client) query(query linehistory.Query, text string) linehistory.Query {
	c.queryCount++
	query.ID = fmt.Sprintf("%s.%d", c.session, c.queryCount)
	query.Session, query.Host, query.Kind, query.Staleness = c.session, c.mix.Host, c.mix.Kind, c.mix.Staleness
	query.Values, query.Sent = maps.Clone(c.values), c.now()
	if query.Shape == "" {
		query.Text = text
	}
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	err := c.send("QUERY " + query.ID + " " + text + lineEnd)
	complete := false
	if err == nil {
		complete, err = c.readAnswer(&query)
	}
	query.Answered, query.Cut = c.now(), err != nil || !complete
	if query.Cut {
		c.closeSession(false)
	}
	c.clients.history.Update(func(h *linehistory.History) { h.Queries = append(h.Queries, query) })
	return query
}

// send writes a message, in two parts if the client splits its writes.
func (c *client) send(message string) error {
	if c.mix.SplitsWrites {
		return writeSplit(c.conn, []byte(message), c.random, c.clients.group.Stopping())
	}
	_, err := c.conn.Write([]byte(message))
	return err
}

// readAnswer reads lines up to the READY line. complete is true if a DONE or
// ERROR line, which ends an answer, was among the lines read.
func (c *client) readAnswer(query *linehistory.Query) (complete bool, err error) {
	for {
		line, err := readLine(c.reader)
		if err != nil {
			return complete, err
		}
		keyword, rest, _ := strings.Cut(line, " ")
		if parse, found := answerParsers[keyword]; found {
			complete = parse(query, rest) || complete
		}
		if keyword == "READY" {
			return complete, nil
		}
	}
}

// answerParsers are the parsers of an answer's lines by the first word of the
// line. A parser returns whether the line ends the answer.
var answerParsers = map[string]func(query *linehistory.Query, rest string) bool{
	"ROW":  func(query *linehistory.Query, rest string) bool { query.Rows = append(query.Rows, rest); return false },
	"DONE": func(query *linehistory.Query, rest string) bool { query.Stamp = rest; return true },
	"ERROR": func(query *linehistory.Query, rest string) bool {
		query.Code, _, _ = strings.Cut(rest, " ")
		return true
	},
}

func succeeded(query linehistory.Query) bool { return !query.Cut && query.Code == "" }
