package platformstandin

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"tansyseam/test/linehistory"
)

const answerTimeout = 5 * time.Second

// query sends one query and takes its answer.
func (c *client) query(query linehistory.Query, text string) linehistory.Query {
	c.queryCount++
	query.ID = fmt.Sprintf("%s.%d", c.session, c.queryCount)
	query.Session, query.Host, query.Kind, query.Staleness = c.session, c.mix.Host, c.mix.Kind, c.mix.Staleness
	query.Values, query.Sent = maps.Clone(c.values), c.now()
	if query.Shape == "" {
		query.Text = text
	}
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	_, err := c.conn.Write([]byte("QUERY " + query.ID + " " + text + "\r\n"))
	complete := false
	for err == nil {
		var line string
		if line, err = c.reader.ReadString('\n'); err != nil {
			break
		}
		code, tail, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		if act, known := answerParsers[code]; known {
			complete = act(&query, tail) || complete
		}
		if code == "READY" {
			c.state, _, _ = strings.Cut(tail, " ")
			break
		}
	}
	query.Answered, query.Cut = c.now(), err != nil || !complete
	if query.Cut {
		c.closeSession(false)
	}
	c.clients.history.Update(func(h *linehistory.History) { h.Queries = append(h.Queries, query) })
	return query
}

var answerParsers = map[string]func(query *linehistory.Query, tail string) bool{
	"ROW":  func(query *linehistory.Query, tail string) bool { query.Rows = append(query.Rows, tail); return false },
	"DONE": func(query *linehistory.Query, tail string) bool { query.Stamp = tail; return true },
	"ERROR": func(query *linehistory.Query, tail string) bool {
		query.Code, _, _ = strings.Cut(tail, " ")
		return true
	},
}

func succeeded(query linehistory.Query) bool { return !query.Cut && query.Code == "" }

var retryable = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "WRONGHOST": true, "FULL": true}
