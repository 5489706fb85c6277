package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Service is one primary with its replicas.
type Service struct {
	Name     string
	Slots    int
	MaxConns int
	// Work is the mean time that a statement holds a slot, and Handshake the time that a
	// new connection does.
	Work, Handshake time.Duration
	// Lag is the time from the receipt of a commit at a replica until reads see it.
	Lag time.Duration

	record    *Record
	mutex     sync.Mutex
	Instances []*Instance
	primary   *Instance
	stamps    int
}

// Position is a place in a log.
type Position struct{ Term, Number uint64 }

func (p Position) covers(other Position) bool {
	return p.Term > other.Term || (p.Term == other.Term && p.Number >= other.Number)
}

func (p Position) String() string {
	if p == (Position{}) {
		return "-"
	}
	return fmt.Sprintf("%d.%d", p.Term, p.Number)
}

func parsePosition(text string) (p Position) {
	term, number, _ := strings.Cut(text, ".")
	p.Term, _ = strconv.ParseUint(term, 10, 64)
	p.Number, _ = strconv.ParseUint(number, 10, 64)
	return p
}

// entry is one commit.
type entry struct {
	position Position
	writes   [][2]string
	received chan struct{} // closed once a replica has the entry
	once     *sync.Once
}

// Arrival is a statement of a client that reached an instance.
type Arrival struct {
	ID, Text     string
	Instance     string
	At, RanUntil time.Duration
	Code         string
}

// Instance is one database server. The mutex of its service guards its state.
type Instance struct {
	ID, Address, Zone string
	service           *Service
	listener          net.Listener
	conns             map[net.Conn]bool
	slots             chan struct{}
	running           bool
	term              uint64
	paused            uint64
	log               []entry
	applied           int
	Arrivals          []Arrival
}

// NewService returns a service without instances.
func NewService(record *Record, name string) *Service {
	return &Service{Name: name, Slots: 10, MaxConns: 110, Work: 55 * time.Millisecond, Handshake: 12 * time.Millisecond, Lag: 20 * time.Millisecond, record: record}
}

// Add adds an instance and starts it. The first one is the primary.
func (s *Service) Add(id, address, zone string) (*Instance, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	i := &Instance{
		ID: id, Address: address, Zone: zone, service: s, listener: listener, conns: map[net.Conn]bool{},
		slots: make(chan struct{}, s.Slots), running: true, term: 3,
	}
	s.mutex.Lock()
	if s.primary == nil {
		s.primary = i
	}
	s.Instances = append(s.Instances, i)
	s.mutex.Unlock()
	go i.accept()
	return i, nil
}

// End ends an instance: it closes its connections and no longer listens.
func (i *Instance) End() {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	i.running = false
	_ = i.listener.Close()
	for conn := range i.conns {
		_ = conn.Close()
	}
}

// IsPrimary reports whether the instance leads.
func (i *Instance) IsPrimary() bool {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	return i.service.primary == i
}

// CanPromote reports whether an instance is running.
func (s *Service) CanPromote(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	i := s.find(id)
	return i != nil && i.running
}

func (s *Service) find(id string) *Instance {
	for _, i := range s.Instances {
		if i.ID == id {
			return i
		}
	}
	return nil
}

// Promote makes an instance the primary of the next term with the log that it has.
func (s *Service) Promote(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	i := s.find(id)
	if i == nil || !i.running || s.primary == i {
		return
	}
	i.term = s.primary.term + 1
	i.paused, i.applied = 0, len(i.log)
	s.primary = i
	for _, other := range s.Instances {
		if other != i {
			other.copyFrom(i)
		}
	}
	s.record.Say("instance %s leads term %d with %v", i.ID, i.term, i.received())
}

func (i *Instance) received() Position {
	if len(i.log) == 0 {
		return Position{Term: i.term}
	}
	return i.log[len(i.log)-1].position
}

func (i *Instance) visible() Position {
	if i.applied == 0 {
		return Position{Term: i.term}
	}
	return i.log[i.applied-1].position
}

// copyFrom makes the log the same as that of the primary.
func (i *Instance) copyFrom(primary *Instance) {
	i.log = append([]entry(nil), primary.log...)
	i.term = primary.term
	i.applied = min(i.applied, len(i.log))
	length := len(i.log)
	time.AfterFunc(i.service.Lag, func() {
		i.service.mutex.Lock()
		defer i.service.mutex.Unlock()
		i.applied = max(i.applied, min(length, len(i.log)))
	})
}

// commit appends a commit to the primary's log and sends it to the replicas.
func (i *Instance) commit(writes [][2]string) entry {
	added := entry{
		position: Position{Term: i.term, Number: i.received().Number + 1}, writes: writes,
		received: make(chan struct{}), once: &sync.Once{},
	}
	i.log = append(i.log, added)
	i.applied = len(i.log)
	for _, replica := range i.service.Instances {
		if replica != i {
			time.AfterFunc(time.Millisecond, func() { i.send(replica, added) })
		}
	}
	return added
}

func (i *Instance) send(replica *Instance, added entry) {
	s := i.service
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.primary != i || !i.running || !replica.running || replica.paused > i.term {
		return
	}
	replica.copyFrom(i)
	added.once.Do(func() { close(added.received) })
}

func (i *Instance) accept() {
	for {
		conn, err := i.listener.Accept()
		if err != nil {
			return
		}
		go i.serve(conn)
	}
}

// session is one connection to an instance.
type session struct {
	i         *Instance
	conn      net.Conn
	connected bool
	state     byte // 'I', 'T' or 'E'
	readOnly  bool
	began     uint64
	writes    [][2]string
	values    map[string]string
	prepared  map[string]string
}

func (i *Instance) serve(conn net.Conn) {
	i.service.mutex.Lock()
	if !i.running {
		i.service.mutex.Unlock()
		_ = conn.Close()
		return
	}
	i.conns[conn] = true
	i.service.mutex.Unlock()
	defer func() {
		i.service.mutex.Lock()
		delete(i.conns, conn)
		i.service.mutex.Unlock()
		_ = conn.Close()
	}()
	c := &session{i: i, conn: conn, state: 'I', values: map[string]string{}, prepared: map[string]string{}}
	reader := bufio.NewReaderSize(conn, 64<<10)
	for {
		line, err := reader.ReadString('\n')
		if err != nil || !c.handle(strings.TrimRight(line, "\r\n")) {
			return
		}
	}
}

func (c *session) handle(line string) bool {
	word, rest, _ := strings.Cut(line, " ")
	if word == "CONNECT" && !c.connected {
		return c.connect(strings.Fields(rest))
	}
	if word != "QUERY" || !c.connected {
		return false
	}
	id, text, _ := strings.Cut(rest, " ")
	return c.query(id, text)
}

func (c *session) connect(fields []string) bool {
	i, s := c.i, c.i.service
	if len(fields) < 2 || fields[0] != s.Name || (len(fields) > 2 && fields[2] != i.ID) {
		c.write("ERROR WRONGHOST " + i.ID)
		return false
	}
	s.mutex.Lock()
	full := len(i.conns) > s.MaxConns
	s.mutex.Unlock()
	if full {
		c.write("ERROR FULL " + i.ID)
		return false
	}
	i.slots <- struct{}{}
	time.Sleep(s.Handshake)
	<-i.slots
	c.connected = true
	return c.ready()
}

func (c *session) write(lines ...string) bool {
	_, err := c.conn.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
	return err == nil
}

func (c *session) readyLine() string {
	c.i.service.mutex.Lock()
	defer c.i.service.mutex.Unlock()
	return fmt.Sprintf("READY %c %v", c.state, c.i.visible())
}

func (c *session) ready(lines ...string) bool { return c.write(append(lines, c.readyLine())...) }

func (c *session) done() bool { return c.ready("DONE -") }

func (c *session) fail(code string) bool {
	if c.state == 'T' {
		c.state = 'E'
	}
	return c.ready("ERROR " + code + " " + c.i.ID)
}

func (c *session) query(id, text string) bool {
	after := Position{}
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		position, statement, _ := strings.Cut(rest, " ")
		after, text = parsePosition(position), statement
	}
	verb, rest, _ := strings.Cut(text, " ")
	if c.state == 'E' && verb != "ROLLBACK" && verb != "COMMIT" {
		return c.fail("MALFORMED")
	}
	switch verb {
	case "BEGIN":
		return c.begin(rest == "FETCH", after)
	case "ROLLBACK":
		c.state, c.writes = 'I', nil
		return c.done()
	case "COMMIT":
		return c.run(id, text, "COMMIT", "", after)
	case "FETCH", "PUT":
		return c.run(id, text, verb, rest, after)
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
		return c.done()
	case "RESET":
		c.values, c.prepared = map[string]string{}, map[string]string{}
		return c.done()
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
		return c.done()
	case "FORGET":
		delete(c.prepared, rest)
		return c.done()
	case "RUN":
		name, arguments, _ := strings.Cut(rest, " ")
		shape, found := c.prepared[name]
		if !found {
			return c.fail("NOTFOUND")
		}
		kind, _, _ := strings.Cut(shape, " ")
		return c.run(id, text, kind, arguments, after)
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return c.status(verb, rest)
	}
	return c.fail("MALFORMED")
}

func (c *session) begin(readOnly bool, after Position) bool {
	if c.state != 'I' {
		return c.fail("MALFORMED")
	}
	s := c.i.service
	s.mutex.Lock()
	code := ""
	if !readOnly && s.primary != c.i {
		code = "READONLY"
	} else if !c.i.visible().covers(after) {
		code = "LAGGING"
	}
	term := c.i.term
	s.mutex.Unlock()
	if code != "" {
		return c.fail(code)
	}
	c.state, c.readOnly, c.began = 'T', readOnly, term
	return c.done()
}

// status carries out an order of the control side and answers with the status.
func (c *session) status(verb, argument string) bool {
	i, s := c.i, c.i.service
	term, _ := strconv.ParseUint(argument, 10, 64)
	s.mutex.Lock()
	if verb == "PAUSE" && term > i.term {
		i.paused = term
	}
	if verb == "RESUME" {
		i.paused = 0
	}
	role := "replica"
	if s.primary == i {
		role = "primary"
	}
	row := fmt.Sprintf("ROW %s %d %v %d 0 %d %d", role, i.term, i.received(), i.paused, len(i.slots), len(i.conns))
	s.mutex.Unlock()
	return c.ready(row, "DONE -")
}

// run runs a read, a write or a commit: it takes a slot, works, and answers.
func (c *session) run(id, text, kind, arguments string, after Position) bool {
	i, s := c.i, c.i.service
	arrived := s.record.Now()
	if id != "-" {
		s.record.Add("instance %s: %s arrives: %s", i.ID, id, text)
	}
	i.slots <- struct{}{}
	time.Sleep(work(s.Work))
	code, rows, written := c.apply(kind, arguments, after)
	<-i.slots
	if written != nil {
		<-written.received
	}
	if id != "-" {
		s.mutex.Lock()
		i.Arrivals = append(i.Arrivals, Arrival{ID: id, Text: text, Instance: i.ID, At: arrived, RanUntil: s.record.Now(), Code: code})
		s.mutex.Unlock()
		s.record.Add("instance %s: %s ends: %s", i.ID, id, orOK(code))
	}
	if kind == "COMMIT" {
		c.state, c.writes = 'I', nil
	}
	if code != "" {
		return c.fail(code)
	}
	s.mutex.Lock()
	s.stamps++
	stamp := fmt.Sprintf("%s.%d.%x", i.ID, s.stamps, uint32(s.stamps)*2654435761)
	s.mutex.Unlock()
	return c.ready(append(rows, "DONE "+stamp)...)
}

func orOK(code string) string {
	if code == "" {
		return "ok"
	}
	return code
}

// work returns a time of work around the mean.
func work(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.6 + 0.8*rand.Float64()))
}

func (c *session) apply(kind, arguments string, after Position) (code string, rows []string, written *entry) {
	i, s := c.i, c.i.service
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key, data, _ := strings.Cut(arguments, " ")
	lost := s.primary != i || (c.state == 'T' && i.term != c.began)
	if c.state == 'I' && !i.visible().covers(after) {
		return "LAGGING", nil, nil
	}
	plain := c.state == 'T' && !c.readOnly
	if lost && (kind == "PUT" || (plain && (kind != "COMMIT" || len(c.writes) > 0))) {
		return "READONLY", nil, nil
	}
	switch kind {
	case "FETCH":
		return "", []string{"ROW " + key + "=" + i.read(key)}, nil
	case "PUT":
		if c.state == 'T' {
			c.writes = append(c.writes, [2]string{key, data})
			return "", nil, nil
		}
		added := i.commit([][2]string{{key, data}})
		return "", nil, &added
	case "COMMIT":
		if c.state != 'T' {
			return "ABORTED", nil, nil
		}
		if len(c.writes) > 0 {
			added := i.commit(c.writes)
			return "", nil, &added
		}
	}
	return "", nil, nil
}

// read returns the visible value of a key.
func (i *Instance) read(key string) string {
	for index := i.applied - 1; index >= 0; index-- {
		writes := i.log[index].writes
		for at := len(writes) - 1; at >= 0; at-- {
			if writes[at][0] == key {
				return writes[at][1]
			}
		}
	}
	return ""
}
