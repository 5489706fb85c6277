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

// Mix describes the operations of a client of a route.
type Mix struct {
	Route
	Zone string
	// WriteShare and TransactionShare are the shares of the operations that are
	// single writes and transactions. The rest are reads.
	WriteShare, TransactionShare float64
	// ThinkTime is the mean time between operations.
	ThinkTime time.Duration
	// LineEndShare is the share of texts that contain characters of the line end.
	LineEndShare float64
	// SplitsWrites is true if each query is written in two parts.
	SplitsWrites bool
}

// disconnectAfterOperationShare is the share of operations after which a client
// ends its session.
const disconnectAfterOperationShare = 0.02

// Clients is a set of clients that run until their group stops.
type Clients struct {
	group    *worker.Group
	platform *Platform
	history  *History
}

// NewClients returns an empty set of clients. The group should be used by these
// clients only, so that they can be stopped before the servers.
func NewClients(group *worker.Group, platform *Platform, history *History) *Clients {
	return &Clients{group: group, platform: platform, history: history}
}

// Add starts a client. The same seed and number produce the same random choices.
func (c *Clients) Add(mix Mix, seed, number uint64) {
	added := &client{clients: c, mix: mix, name: fmt.Sprintf("u%d", number), random: rand.New(rand.NewPCG(seed, number))}
	c.group.Go(added.run)
}

// client has at most one session at a time and is used by one goroutine.
type client struct {
	clients          *Clients
	mix              Mix
	name             string
	random           *rand.Rand
	conn             net.Conn
	reader           *bufio.Reader
	session          string
	values           map[string]string
	preparedName     string
	preparedText     string
	queryCount       int
	transactionCount int
}

// pause waits for a random time with the given mean, or until the group stops.
func (c *client) pause(mean time.Duration) {
	worker.Await(c.clients.group.Stopping(), time.Duration(c.random.ExpFloat64()*float64(mean)))
}

func (c *client) run() {
	c.pause(c.mix.ThinkTime)
	for !c.clients.group.IsStopping() {
		c.operate()
		c.pause(c.mix.ThinkTime)
		if c.random.Float64() < disconnectAfterOperationShare {
			c.closeSession(true)
		}
	}
	c.closeSession(true)
}

func (c *client) closeSession(sendBye bool) {
	if c.conn == nil {
		return
	}
	if sendBye {
		_, _ = c.conn.Write([]byte("BYE\r\n"))
	}
	_ = c.conn.Close()
	c.conn = nil
}

func (c *client) now() time.Duration { return c.clients.history.group.Now() }

// openSession opens a session if the client has none. It reports whether the
// client has a session.
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
	line, err := readLine(c.reader)
	if err == nil && strings.HasPrefix(line, "READY I ") {
		return true
	}
	if line != "" {
		c.recordRejection(line)
	}
	c.closeSession(false)
	return false
}

// recordRejection records an error that was the answer to CONNECT.
func (c *client) recordRejection(line string) {
	code := strings.Fields(strings.TrimPrefix(line, "ERROR ") + " -")[0]
	query := linehistory.Query{Session: c.session, Host: c.mix.Host, Kind: c.mix.Kind, ID: c.session, Sent: c.now(), Answered: c.now(), Code: code}
	c.clients.history.Update(func(h *linehistory.History) { h.Queries = append(h.Queries, query) })
}
