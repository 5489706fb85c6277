package platformstandin

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/linehistory"
)

// Mix is what a client of a route does.
type Mix struct {
	Route
	Zone string
	// WriteShare and TransactionShare are parts of the operations; the rest
	// are reads.
	WriteShare, TransactionShare float64
	// ThinkTime is the mean time between operations.
	ThinkTime time.Duration
}

// goodbyeShare is the part of operations after which a client ends its session.
const goodbyeShare = 0.02

// Clients are clients that work until their group stops.
type Clients struct {
	group    *worker.Group
	platform *Platform
	history  *History
}

// NewClients returns clients without any. The group should be theirs alone, so
// that they can end before the servers.
func NewClients(group *worker.Group, platform *Platform, history *History) *Clients {
	return &Clients{group: group, platform: platform, history: history}
}

// Add starts a client. The same seed and number give the same draws.
func (c *Clients) Add(mix Mix, seed, number uint64) {
	added := &client{clients: c, mix: mix, name: fmt.Sprintf("u%d", number), random: rand.New(rand.NewPCG(seed, number))}
	c.group.Go(added.run)
}

// client has one session at a time; it is used by one goroutine.
type client struct {
	clients          *Clients
	mix              Mix
	name             string
	random           *rand.Rand
	conn             net.Conn
	reader           *bufio.Reader
	session          string
	values           map[string]string
	preparedText     string
	queryCount       int
	transactionCount int
}

// pause waits for a random time, or until the group stops.
func (c *client) pause(mean time.Duration) {
	worker.Await(c.clients.group.Stopping(), time.Duration(c.random.ExpFloat64()*float64(mean)))
}

func (c *client) run() {
	c.pause(c.mix.ThinkTime)
	for !c.clients.group.IsStopping() {
		c.operate()
		c.pause(c.mix.ThinkTime)
		if c.random.Float64() < goodbyeShare {
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

// openSession connects where there is no session; false where none was opened.
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
	c.values, c.preparedText = nil, ""
	_ = conn.SetDeadline(time.Now().Add(connectTimeout))
	_, _ = conn.Write([]byte("CONNECT " + c.mix.Host + " " + c.name + "\r\n"))
	line, err := c.reader.ReadString('\n')
	if err == nil && strings.HasPrefix(line, "READY I ") {
		return true
	}
	if line != "" {
		c.recordRejection(line)
	}
	c.closeSession(false)
	return false
}

// recordRejection records an answer to a connect that is an error.
func (c *client) recordRejection(line string) {
	code := strings.Fields(strings.TrimPrefix(line, "ERROR ") + " -")[0]
	query := linehistory.Query{Session: c.session, Host: c.mix.Host, Kind: c.mix.Kind, ID: c.session, Sent: c.now(), Answered: c.now(), Code: code}
	c.clients.history.Update(func(h *linehistory.History) { h.Queries = append(h.Queries, query) })
}
