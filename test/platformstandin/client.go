package platformstandin

import (
	"bufio"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/linehistory"
)

// Mix is what clients of a route do.
type Mix struct {
	Route
	Zone string
	// WriteShare and Turns are parts of the operations; the rest are reads.
	WriteShare, TransactionShare float64
	// ThinkTime is the mean pause between operations.
	ThinkTime time.Duration
}

// Clients runs sessions until its crew stops.
type Clients struct {
	group    *worker.Group
	platform *Platform
	history  *History
}

// NewClients makes one; the crew is theirs alone, so that they end first.
func NewClients(group *worker.Group, platform *Platform, history *History) *Clients {
	return &Clients{group: group, platform: platform, history: history}
}

// Add starts a client.
func (c *Clients) Add(mix Mix, seed, number uint64) {
	one := &client{clients: c, mix: mix, name: fmt.Sprintf("u%d", number), random: rand.New(rand.NewPCG(seed, number))}
	c.group.Go(one.run)
}

type client struct {
	clients          *Clients
	mix              Mix
	name             string
	random           *rand.Rand
	conn             net.Conn
	reader           *bufio.Reader
	session          string
	state            string
	values           map[string]string
	preparedText     string
	queryCount       int
	transactionCount int
}

func (c *client) pause(mean time.Duration) {
	worker.Await(c.clients.group.Stopping(), time.Duration(c.random.ExpFloat64()*float64(mean)))
}

func (c *client) run() {
	c.pause(c.mix.ThinkTime)
	for !c.clients.group.IsStopping() {
		c.operate()
		c.pause(c.mix.ThinkTime)
		if c.random.Float64() < 0.02 {
			c.closeSession(true)
		}
	}
	c.closeSession(true)
}

func (c *client) closeSession(sayGoodbye bool) {
	if c.conn == nil {
		return
	}
	if sayGoodbye {
		_, _ = c.conn.Write([]byte("BYE\r\n"))
	}
	_ = c.conn.Close()
	c.conn = nil
}

func (c *client) now() time.Duration { return c.clients.history.group.Now() }

const answerTimeout = 5 * time.Second

func (c *client) openSession() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", c.clients.platform.SessionAddress(c.mix.Zone), time.Second)
	if err != nil {
		return false
	}
	c.queryCount++
	c.conn, c.reader, c.session = conn, bufio.NewReader(conn), fmt.Sprintf("%s.%d", c.name, c.queryCount)
	c.values, c.preparedText, c.state = nil, "", "I"
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = conn.Write([]byte("CONNECT " + c.mix.Host + " " + c.name + "\r\n"))
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY I ") {
		code := strings.Fields(strings.TrimPrefix(line, "ERROR ") + " -")[0]
		query := linehistory.Query{Session: c.session, Host: c.mix.Host, Kind: c.mix.Kind, ID: c.session, Sent: c.now(), Answered: c.now(), Code: code}
		if line != "" {
			c.clients.history.Update(func(h *linehistory.History) { h.Queries = append(h.Queries, query) })
		}
		c.closeSession(false)
		return false
	}
	return true
}

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
