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
