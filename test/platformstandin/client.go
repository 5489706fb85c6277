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
	// Writes and Turns are parts of the operations; the rest are reads.
	Writes, Turns float64
	// Think is the mean pause between operations.
	Think time.Duration
}

// Clients runs sessions until its crew stops.
type Clients struct {
	crew     *worker.Group
	platform *Platform
	history  *History
}

// NewClients makes one; the crew is theirs alone, so that they end first.
func NewClients(crew *worker.Group, platform *Platform, history *History) *Clients {
	return &Clients{crew: crew, platform: platform, history: history}
}

// Add starts a client.
func (c *Clients) Add(mix Mix, seed, number uint64) {
	one := &client{all: c, mix: mix, name: fmt.Sprintf("u%d", number), random: rand.New(rand.NewPCG(seed, number))}
	c.crew.Go(one.live)
}

type client struct {
	all     *Clients
	mix     Mix
	name    string
	random  *rand.Rand
	conn    net.Conn
	reader  *bufio.Reader
	session string
	state   string
	values  map[string]string
	shape   string
	count   int
	turns   int
}

func (c *client) pause(mean time.Duration) {
	worker.Await(c.all.crew.Stopping(), time.Duration(c.random.ExpFloat64()*float64(mean)))
}

func (c *client) live() {
	c.pause(c.mix.Think)
	for !c.all.crew.IsStopping() {
		c.operate()
		c.pause(c.mix.Think)
		if c.random.Float64() < 0.02 {
			c.close(true)
		}
	}
	c.close(true)
}

func (c *client) close(isPolite bool) {
	if c.conn == nil {
		return
	}
	if isPolite {
		_, _ = c.conn.Write([]byte("BYE\r\n"))
	}
	_ = c.conn.Close()
	c.conn = nil
}

func (c *client) now() time.Duration { return c.all.history.crew.Now() }

const answerBound = 5 * time.Second

func (c *client) open() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", c.all.platform.Pass(c.mix.Zone), time.Second)
	if err != nil {
		return false
	}
	c.count++
	c.conn, c.reader, c.session = conn, bufio.NewReader(conn), fmt.Sprintf("%s.%d", c.name, c.count)
	c.values, c.shape, c.state = nil, "", "I"
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = conn.Write([]byte("CONNECT " + c.mix.Host + " " + c.name + "\r\n"))
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY I ") {
		code := strings.Fields(strings.TrimPrefix(line, "ERROR ") + " -")[0]
		asked := linehistory.Query{Session: c.session, Host: c.mix.Host, Kind: c.mix.Kind, ID: c.session, Sent: c.now(), Answered: c.now(), Code: code}
		if line != "" {
			c.all.history.Note(func(h *linehistory.History) { h.Queries = append(h.Queries, asked) })
		}
		c.close(false)
		return false
	}
	return true
}

// ask sends one query and takes its answer.
func (c *client) ask(asked linehistory.Query, text string) linehistory.Query {
	c.count++
	asked.ID = fmt.Sprintf("%s.%d", c.session, c.count)
	asked.Session, asked.Host, asked.Kind, asked.Staleness = c.session, c.mix.Host, c.mix.Kind, c.mix.Staleness
	asked.Values, asked.Sent = maps.Clone(c.values), c.now()
	if asked.Shape == "" {
		asked.Text = text
	}
	_ = c.conn.SetDeadline(time.Now().Add(answerBound))
	_, err := c.conn.Write([]byte("QUERY " + asked.ID + " " + text + "\r\n"))
	hasEnd := false
	for err == nil {
		var line string
		if line, err = c.reader.ReadString('\n'); err != nil {
			break
		}
		word, tail, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		if act, isKnown := answers[word]; isKnown {
			hasEnd = act(&asked, tail) || hasEnd
		}
		if word == "READY" {
			c.state, _, _ = strings.Cut(tail, " ")
			break
		}
	}
	asked.Answered, asked.Cut = c.now(), err != nil || !hasEnd
	if asked.Cut {
		c.close(false)
	}
	c.all.history.Note(func(h *linehistory.History) { h.Queries = append(h.Queries, asked) })
	return asked
}

var answers = map[string]func(asked *linehistory.Query, tail string) bool{
	"ROW":  func(asked *linehistory.Query, tail string) bool { asked.Rows = append(asked.Rows, tail); return false },
	"DONE": func(asked *linehistory.Query, tail string) bool { asked.Stamp = tail; return true },
	"ERROR": func(asked *linehistory.Query, tail string) bool {
		asked.Code, _, _ = strings.Cut(tail, " ")
		return true
	},
}

func isGood(asked linehistory.Query) bool { return !asked.Cut && asked.Code == "" }

var promised = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "WRONGHOST": true, "FULL": true}

// operate does one operation, again where that is allowed.
func (c *client) operate() {
	draw := c.random.Float64()
	act := c.read
	if draw < c.mix.Writes {
		act = c.write
	} else if draw < c.mix.Writes+c.mix.Turns {
		act = c.transact
	}
	for try := 0; try < 3 && !c.all.crew.IsStopping(); try++ {
		if !c.open() {
			c.pause(100 * time.Millisecond)
			continue
		}
		if !c.dress() || !act() {
			return
		}
		c.pause(30 * time.Millisecond)
	}
}

// dress sets values and prepares a shape now and then; false where that
// failed.
func (c *client) dress() bool {
	if c.values == nil && c.random.Float64() < 0.2 {
		value := c.session
		if got := c.ask(linehistory.Query{}, "SET app "+value); !isGood(got) {
			c.close(true)
			return false
		}
		c.values = map[string]string{"app": value}
	}
	if c.shape == "" && c.random.Float64() < 0.3 {
		shape := "FETCH q" + fmt.Sprint(c.random.IntN(5))
		if got := c.ask(linehistory.Query{}, "PREPARE s1 "+shape); !isGood(got) {
			c.close(true)
			return false
		}
		c.shape = shape
	}
	return true
}

func (c *client) thing() string { return fmt.Sprintf("t%d", c.random.IntN(40)) }

// read says whether to try again.
func (c *client) read() bool {
	asked, text := linehistory.Query{Act: linehistory.ActRead}, "FETCH "+c.thing()
	if c.shape != "" && c.random.Float64() < 0.5 {
		asked.Shape, asked.Rest = c.shape, " "+c.thing()
		text = "RUN s1" + asked.Rest
	}
	got := c.ask(asked, text)
	return !isGood(got)
}

func (c *client) write() bool {
	got := c.ask(linehistory.Query{Act: linehistory.ActWrite}, fmt.Sprintf("PUT %s %s.%d  é", c.thing(), c.session, c.count))
	return promised[got.Code]
}

func (c *client) transact() bool {
	c.turns++
	began, turn := c.now(), fmt.Sprintf("%s.t%d", c.session, c.turns)
	isReading := c.mix.Writes == 0
	begin := map[bool]string{true: "BEGIN FETCH", false: "BEGIN"}[isReading]
	if got := c.ask(linehistory.Query{}, begin); !isGood(got) {
		return true
	}
	for at := range 2 + c.random.IntN(3) {
		asked := linehistory.Query{Act: linehistory.ActRead, Transaction: turn, Began: began, First: at == 0}
		text := "FETCH " + c.thing()
		if !isReading && at > 0 {
			asked.Act, text = linehistory.ActWrite, fmt.Sprintf("PUT %s %s.%d", c.thing(), c.session, c.count)
		}
		got := c.ask(asked, text)
		if got.Cut {
			return true
		}
		if got.Code != "" {
			c.ask(linehistory.Query{}, "ROLLBACK")
			return promised[got.Code] || got.Code == "FAILED"
		}
		c.pause(5 * time.Millisecond)
	}
	if c.random.Float64() < 0.1 {
		c.ask(linehistory.Query{}, "ROLLBACK")
		return false
	}
	if c.random.Float64() < 0.02 {
		c.close(false)
		return false
	}
	got := c.ask(linehistory.Query{Act: linehistory.ActCommit, Transaction: turn, Began: began}, "COMMIT")
	return promised[got.Code]
}
