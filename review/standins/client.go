package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// Query is one statement of a client with its answer.
type Query struct {
	ID, Text, Client, Proxy string
	Sent, Ended             time.Duration
	// Code is the code of an error, and empty after a success. Cut is true if the
	// connection ended without a complete answer.
	Code string
	Cut  bool
}

// Clients are closed-loop clients: each has one session, sends a statement, reads the
// answer and sends the next one after a pause.
type Clients struct {
	record   *Record
	platform *Platform
	host     string
	zones    []string
	// Pause is the time between an answer and the next statement. It stands for the way
	// between the client and the proxy and back.
	Pause time.Duration

	mutex   sync.Mutex
	queries []Query
	stop    chan struct{}
	group   sync.WaitGroup
}

// NewClients returns clients that use the route of a host.
func NewClients(record *Record, platform *Platform, host string, zones []string, pause time.Duration) *Clients {
	return &Clients{record: record, platform: platform, host: host, zones: zones, Pause: pause, stop: make(chan struct{})}
}

// Start starts a number of clients, one after the other with a pause between them.
func (c *Clients) Start(count int, apart time.Duration) {
	for number := range count {
		time.Sleep(apart)
		c.group.Add(1)
		go c.run(fmt.Sprintf("u%d", number+1), c.zones[number%len(c.zones)])
	}
}

// Stop ends all clients.
func (c *Clients) Stop() {
	close(c.stop)
	c.group.Wait()
}

// Queries returns all statements so far.
func (c *Clients) Queries() []Query {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]Query(nil), c.queries...)
}

func (c *Clients) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

func (c *Clients) run(name, zone string) {
	defer c.group.Done()
	for try := 0; !c.stopped(); try++ {
		c.session(name, zone, try)
		time.Sleep(50 * time.Millisecond)
	}
}

// session opens a session and uses it until it ends.
func (c *Clients) session(name, zone string, try int) {
	proxy := c.platform.Proxy(name, zone, try)
	if proxy == nil {
		return
	}
	conn, err := net.DialTimeout("tcp", proxy.sessions, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "CONNECT %s %s\r\n", c.host, name); err != nil {
		return
	}
	line, err := reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY I") {
		c.record.Add("client %s: session at %s: %s %v", name, proxy.Name, strings.TrimSpace(line), err)
		return
	}
	c.record.Add("client %s: session at %s is open", name, proxy.Name)
	for number := 1; !c.stopped(); number++ {
		query := Query{
			ID: fmt.Sprintf("%s.%d.%d", name, try, number), Text: fmt.Sprintf("FETCH k%d", rand.IntN(50)), Client: name, Proxy: proxy.Name,
		}
		c.ask(conn, reader, &query)
		c.mutex.Lock()
		c.queries = append(c.queries, query)
		c.mutex.Unlock()
		if query.Cut {
			return
		}
		if c.Pause > 0 {
			time.Sleep(c.Pause)
		}
	}
	_, _ = conn.Write([]byte("BYE\r\n"))
}

// deadline is the time after which a client gives up.
const deadline = 12 * time.Second

// ask sends a statement and reads its answer.
func (c *Clients) ask(conn net.Conn, reader *bufio.Reader, query *Query) {
	_ = conn.SetDeadline(time.Now().Add(deadline))
	query.Sent = c.record.Now()
	c.record.Add("client %s: %s sent to %s: %s", query.Client, query.ID, query.Proxy, query.Text)
	_, err := fmt.Fprintf(conn, "QUERY %s %s\r\n", query.ID, query.Text)
	outcome := "no answer"
	for err == nil {
		line := ""
		if line, err = reader.ReadString('\n'); err != nil {
			break
		}
		word, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		if word == "ERROR" {
			query.Code, _, _ = strings.Cut(rest, " ")
			outcome = rest
		}
		if word == "DONE" {
			outcome = "done"
		}
		if word == "READY" {
			break
		}
	}
	query.Cut, query.Ended = err != nil, c.record.Now()
	if query.Cut {
		c.record.Add("client %s: %s is cut: %v", query.Client, query.ID, err)
		return
	}
	c.record.Add("client %s: %s answered: %s", query.Client, query.ID, outcome)
}
