package platformstandin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/linehistory"
)

type commitWaiter struct {
	position linehistory.Position
	done     chan struct{}
}

// Instance is one stand-in server; its state is guarded by the service's lock.
type Instance struct {
	Location
	service          *Service
	controlAddresses func() []string
	slots            chan struct{}
	listener         net.Listener
	sessions         map[*session]bool
	incarnation      int
	connectionCount  int

	running, hung, primary, draining  bool
	upstream                          *Instance
	term, pausedTerm                  uint64
	log                               []logEntry
	applied                           int
	values                            map[string]string
	commitWaiters                     []commitWaiter
	extraDelay                        time.Duration
	slowdown                          float64
	answersToLose, statementsToRefuse int
	busyUntil                         time.Duration
	leaveAcknowledgedAt               time.Duration
	isLeft                            bool
	callCount                         int
	heartbeatTarget                   string
	heartbeatDue                      chan struct{}
}

// Start listens and begins to beat.
func (i *Instance) Start() error {
	listener, err := net.Listen("tcp", i.Address)
	if err != nil {
		return err
	}
	s := i.service
	s.withLock(func() {
		i.running, i.hung, i.draining, i.isLeft, i.leaveAcknowledgedAt, i.listener, i.heartbeatDue = true, false, false, false, 0, listener, make(chan struct{}, 1)
		i.incarnation++
		if s.primary != i {
			i.follow(s.primary)
		}
		i.applied, i.values = 0, map[string]string{}
		i.applyLog()
	})
	incarnation := i.incarnation
	s.group.Go(func() { i.acceptLoop(listener) })
	s.group.Go(func() { i.heartbeatLoop(incarnation) })
	return nil
}

// Crash ends it at once; its log stays.
func (i *Instance) Crash() {
	i.service.withLock(func() {
		i.running = false
		i.incarnation++
		_ = i.listener.Close()
		for one := range i.sessions {
			_ = one.connection.Close()
		}
	})
}

// Hang makes it take and say nothing more, with all connections open.
func (i *Instance) Hang() { i.service.withLock(func() { i.hung = true }) }

// SetReplicationDelay delays what it receives, Slow multiplies its work, Lose has it lose so
// many answers, Refuse refuse so many statements as busy.
func (i *Instance) SetReplicationDelay(lag time.Duration) {
	i.service.withLock(func() { i.extraDelay = lag })
}

// SetSlowdown multiplies its work.
func (i *Instance) SetSlowdown(factor float64) { i.service.withLock(func() { i.slowdown = factor }) }

// LoseAnswers has it lose so many answers.
func (i *Instance) LoseAnswers(count int) { i.service.withLock(func() { i.answersToLose = count }) }

// RefuseStatements has it refuse so many statements as busy.
func (i *Instance) RefuseStatements(count int) {
	i.service.withLock(func() { i.statementsToRefuse = count })
}

// Drain has it report that it leaves.
func (i *Instance) Drain() {
	i.service.withLock(func() {
		i.draining = true
		i.triggerHeartbeat()
	})
}

// LeaveAcknowledgedAt says when its leaving was acknowledged, 0 for not yet.
func (i *Instance) LeaveAcknowledgedAt() time.Duration {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	return i.leaveAcknowledgedAt
}

// IsPrimary says whether it holds itself to be the primary.
func (i *Instance) IsPrimary() bool {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	return i.primary
}

// Leave says that it is gone, and ends it; the status answered is given.
func (i *Instance) Leave() int {
	status := 0
	for _, address := range i.heartbeatAddresses() {
		if status, _ = i.post(address, "leave", []byte("{}")); status/100 == 2 {
			break
		}
	}
	i.Crash()
	return status
}

func (i *Instance) lastPosition() linehistory.Position {
	if len(i.log) == 0 {
		return linehistory.Position{}
	}
	return i.log[len(i.log)-1].position
}

func (i *Instance) appliedPosition() linehistory.Position {
	if i.applied == 0 {
		return linehistory.Position{}
	}
	return i.log[i.applied-1].position
}

func (i *Instance) applyLog() {
	for i.applied < len(i.log) {
		maps.Copy(i.values, i.log[i.applied].values)
		i.applied++
	}
}

func (i *Instance) onReplicated(position linehistory.Position) {
	kept := i.commitWaiters[:0]
	for _, one := range i.commitWaiters {
		if position.Covers(one.position) && position.Term == one.position.Term {
			close(one.done)
			continue
		}
		kept = append(kept, one)
	}
	i.commitWaiters = kept
}

// follow makes it a replica of another; what it has beyond that is cut back.
func (i *Instance) follow(primary *Instance) {
	i.primary, i.upstream, i.pausedTerm = false, primary, 0
	if same := commonPrefix(i.log, primary.log); same < len(i.log) {
		i.log, i.applied, i.values = i.log[:same:same], 0, map[string]string{}
		i.applyLog()
		i.busyUntil = i.service.group.Now() + 50*time.Millisecond
	}
	i.commitWaiters = nil
	i.service.replicateTo(primary, i)
	i.triggerHeartbeat()
}

func (i *Instance) stepDown() {
	if s := i.service; s.primary != i {
		i.follow(s.primary)
		i.term = max(i.term, s.primary.term)
	}
}

func (i *Instance) triggerHeartbeat() {
	select {
	case i.heartbeatDue <- struct{}{}:
	default:
	}
}

func (i *Instance) heartbeatAddresses() []string {
	i.service.mutex.Lock()
	first := i.heartbeatTarget
	i.service.mutex.Unlock()
	if first == "" {
		return i.controlAddresses()
	}
	return append([]string{first}, i.controlAddresses()...)
}

var heartbeatClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (i *Instance) post(address, code string, body []byte) (int, []byte) {
	response, err := heartbeatClient.Post("http://"+address+"/instances/"+i.ID+"/"+code, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, 4097))
	if err != nil || len(data) > 4096 {
		return 0, nil
	}
	return response.StatusCode, data
}

const heartbeatInterval = 400 * time.Millisecond

func (i *Instance) heartbeatLoop(incarnation int) {
	s := i.service
	for !s.group.IsStopping() {
		ended, hung, draining := false, false, false
		var body []byte
		s.withLock(func() {
			ended, hung, draining = i.incarnation != incarnation, i.hung, i.draining
			i.callCount++
			body, _ = json.Marshal(map[string]any{
				"service": s.Name, "address": i.Address, "zone": i.Zone, "version": "v1", "slots": s.Slots,
				"state": map[bool]string{true: "draining", false: "ready"}[i.draining], "cold_left_ms": 0,
				"db_role": map[bool]string{true: "primary", false: "replica"}[i.primary], "call_count": i.callCount,
			})
		})
		if ended {
			return
		}
		if !hung {
			i.sendHeartbeat(body, draining)
		}
		timer := time.NewTimer(heartbeatInterval)
		worker.Receive(i.heartbeatDue, timer.C)
		timer.Stop()
	}
}

func (i *Instance) sendHeartbeat(body []byte, draining bool) {
	for _, address := range i.heartbeatAddresses() {
		status, answer := i.post(address, "heartbeat", body)
		accepted := status/100 == 2
		i.service.withLock(func() {
			i.heartbeatTarget = ""
			if !accepted {
				return
			}
			var message struct {
				BeatTo string `json:"beat_to"`
			}
			_ = json.Unmarshal(answer, &message)
			i.heartbeatTarget = message.BeatTo
			if draining && i.leaveAcknowledgedAt == 0 {
				i.leaveAcknowledgedAt = i.service.group.Now()
			}
		})
		if accepted {
			return
		}
	}
}

func (i *Instance) acceptLoop(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		i.service.group.Go(func() {
			one := &session{instance: i, connection: conn, values: map[string]string{}, preparedTexts: map[string]string{}}
			defer func() { _ = conn.Close() }()
			one.serve()
			i.service.withLock(func() { delete(i.sessions, one) })
		})
	}
}

// session is one connection at an instance.
type session struct {
	instance         *Instance
	connection       net.Conn
	name             string
	connected        bool
	values           map[string]string
	preparedTexts    map[string]string
	transactionCount int
	transaction      *transaction
}

type transaction struct {
	number           int
	readOnly, failed bool
	term             uint64
	ids              []string
	values           map[string]string
}

func (c *session) state() string {
	if c.transaction == nil {
		return "I"
	}
	return map[bool]string{true: "E", false: "T"}[c.transaction.failed]
}

func (c *session) serve() {
	reader := bufio.NewReaderSize(c.connection, 64<<10)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		hung := false
		c.instance.service.withLock(func() { hung = c.instance.hung })
		if hung {
			continue
		}
		code, tail, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		act, known := commands[code]
		if !known || (!c.connected && code != "CONNECT") {
			c.write("ERROR MALFORMED")
			return
		}
		if !act(c, tail) {
			return
		}
	}
}

func (c *session) write(lines ...string) bool {
	_, err := c.connection.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
	return err == nil
}

func (c *session) readyLine() string {
	position := linehistory.Position{}
	c.instance.service.withLock(func() { position = c.instance.appliedPosition() })
	return "READY " + c.state() + " " + formatPosition(position)
}

func formatPosition(position linehistory.Position) string {
	if position == (linehistory.Position{}) {
		return "-"
	}
	return fmt.Sprintf("%d.%d", position.Term, position.Index)
}

var commands = map[string]func(c *session, tail string) bool{
	"CONNECT": func(c *session, tail string) bool {
		parts := strings.Fields(tail)
		i, s, code := c.instance, c.instance.service, ""
		s.withLock(func() {
			wrong := len(parts) < 2 || parts[0] != s.Name || (len(parts) > 2 && parts[2] != i.ID)
			if wrong {
				code = "WRONGHOST " + i.ID
				return
			}
			if len(i.sessions) >= s.MaxConnections {
				code = "FULL"
				return
			}
			i.connectionCount++
			c.name = fmt.Sprintf("%d.%d", i.incarnation, i.connectionCount)
			i.sessions[c] = true
		})
		if code != "" {
			c.write("ERROR " + code)
			return false
		}
		c.connected = true
		return c.write(c.readyLine())
	},
	"BYE": func(*session, string) bool { return false },
	"QUERY": func(c *session, tail string) bool {
		id, text, _ := strings.Cut(tail, " ")
		minPosition := linehistory.Position{}
		if rest, found := strings.CutPrefix(text, "AFTER "); found {
			at, after, _ := strings.Cut(rest, " ")
			term, number, _ := strings.Cut(at, ".")
			minPosition.Term, _ = strconv.ParseUint(term, 10, 64)
			minPosition.Index, _ = strconv.ParseUint(number, 10, 64)
			text = after
		}
		code, rest, _ := strings.Cut(text, " ")
		act, known := statementHandlers[code]
		if !known || (c.transaction != nil && c.transaction.failed && code != "ROLLBACK" && code != "COMMIT") {
			return c.fail("MALFORMED " + code)
		}
		return act(c, &statement{id: id, text: text, rest: rest, minPosition: minPosition})
	},
}

type statement struct {
	id, text, rest string
	minPosition    linehistory.Position
}

func (c *session) fail(what string) bool {
	if c.transaction != nil {
		c.transaction.failed = true
	}
	return c.write("ERROR "+what, c.readyLine())
}

func (c *session) writeDone() bool { return c.write("DONE -", c.readyLine()) }

var statementHandlers map[string]func(c *session, statement *statement) bool

func init() {
	statementHandlers = map[string]func(c *session, statement *statement) bool{
		"BEGIN": func(c *session, statement *statement) bool {
			i, readOnly, code := c.instance, statement.rest == "FETCH", ""
			if c.transaction != nil {
				return c.fail("MALFORMED")
			}
			i.service.withLock(func() {
				if !readOnly && !i.primary {
					code = "READONLY " + i.ID
				} else if !i.appliedPosition().Covers(statement.minPosition) {
					code = "LAGGING"
				}
			})
			if code != "" {
				return c.fail(code)
			}
			c.transactionCount++
			c.transaction = &transaction{number: c.transactionCount, readOnly: readOnly, term: i.term, values: map[string]string{}}
			return c.writeDone()
		},
		"COMMIT": func(c *session, statement *statement) bool {
			transaction := c.transaction
			if transaction == nil {
				return c.fail("MALFORMED")
			}
			if transaction.failed {
				c.transaction = nil
				return c.write("ERROR ABORTED", c.readyLine())
			}
			return c.execute(statement, linehistory.ActCommit, "", "", "")
		},
		"ROLLBACK": func(c *session, _ *statement) bool { c.transaction = nil; return c.writeDone() },
		"FETCH": func(c *session, statement *statement) bool {
			return c.execute(statement, linehistory.ActRead, statement.rest, "", "")
		},
		"PUT": func(c *session, statement *statement) bool {
			return c.execute(statement, linehistory.ActWrite, statement.rest, "", "")
		},
		"SET": func(c *session, statement *statement) bool {
			name, value, _ := strings.Cut(statement.rest, " ")
			c.values[name] = value
			return c.writeDone()
		},
		"RESET": func(c *session, _ *statement) bool {
			c.values, c.preparedTexts = map[string]string{}, map[string]string{}
			return c.writeDone()
		},
		"PREPARE": func(c *session, statement *statement) bool {
			name, text, _ := strings.Cut(statement.rest, " ")
			c.preparedTexts[name] = text
			return c.writeDone()
		},
		"FORGET": func(c *session, statement *statement) bool {
			delete(c.preparedTexts, statement.rest)
			return c.writeDone()
		},
		"RUN": func(c *session, statement *statement) bool {
			name, rest, _ := strings.Cut(statement.rest, " ")
			text, found := c.preparedTexts[name]
			if !found {
				return c.fail("NOTFOUND " + name)
			}
			kind, _, _ := strings.Cut(text, " ")
			act := map[string]string{"FETCH": linehistory.ActRead, "PUT": linehistory.ActWrite}[kind]
			return c.execute(statement, act, rest, text, " "+rest)
		},
		"STATUS":   func(c *session, _ *statement) bool { return c.writeStatus(func(*Instance) {}) },
		"RESUME":   func(c *session, _ *statement) bool { return c.writeStatus(resume) },
		"STEPDOWN": func(c *session, statement *statement) bool { return c.applyOrder(statement, (*Instance).stepDown) },
		"PAUSE": func(c *session, statement *statement) bool {
			return c.applyOrder(statement, func(i *Instance) { i.pausedTerm, _ = strconv.ParseUint(statement.rest, 10, 64) })
		},
	}
}

func resume(i *Instance) {
	i.pausedTerm = 0
	if i.upstream != nil {
		i.service.replicateTo(i.upstream, i)
	}
}

func (c *session) applyOrder(statement *statement, act func(*Instance)) bool {
	term, _ := strconv.ParseUint(statement.rest, 10, 64)
	return c.writeStatus(func(i *Instance) {
		if term > i.term {
			act(i)
		}
	})
}

func (c *session) writeStatus(act func(*Instance)) bool {
	row, i := "", c.instance
	i.service.withLock(func() {
		act(i)
		role := map[bool]string{true: "primary", false: "replica"}[i.primary]
		row = fmt.Sprintf("ROW %s %d %s %d %d %d %d", role, i.term, formatPosition(i.lastPosition()), i.pausedTerm, i.extraDelay.Milliseconds(), len(i.slots), len(i.sessions))
	})
	return c.write(row, "DONE -", c.readyLine())
}

// execute runs a statement that holds a slot.
func (c *session) execute(statement *statement, act, rest, text, tail string) bool {
	i, s := c.instance, c.instance.service
	code, busy, lagging := "", false, false
	s.withLock(func() {
		busy = i.statementsToRefuse > 0 || i.busyUntil > s.group.Now()
		i.statementsToRefuse = max(i.statementsToRefuse-1, 0)
		lagging = c.transaction == nil && !i.appliedPosition().Covers(statement.minPosition)
	})
	timer := time.NewTimer(500 * time.Millisecond)
	defer timer.Stop()
	if !busy && !lagging {
		select {
		case i.slots <- struct{}{}:
		case <-timer.C:
			busy = true
		}
	}
	if busy {
		return c.refuse(act, "BUSY")
	}
	if lagging {
		return c.refuse(act, "LAGGING")
	}
	defer func() { <-i.slots }()
	slow := 1.0
	s.withLock(func() { slow = max(i.slowdown, 1) })
	if worker.Await(s.group.Stopping(), time.Duration(slow*float64(s.StatementTime))) {
		return false
	}
	execution := linehistory.Execution{Instance: i.ID, Service: s.Name, Conn: c.name, ID: statement.id, Act: act, Text: statement.text, Shape: text, Rest: tail, Values: maps.Clone(c.values)}
	if text != "" {
		execution.Text = ""
	}
	key, data, _ := strings.Cut(rest, " ")
	var wait chan struct{}
	lost, aborted := false, false
	s.withLock(func() {
		if !i.running || i.hung {
			aborted = true
			return
		}
		transaction := c.transaction
		writing := transaction != nil && !transaction.readOnly
		empty := act == linehistory.ActCommit && len(transaction.ids) == 0
		readOnly := (act == linehistory.ActWrite || writing) && !empty && (!i.primary || (writing && i.term != transaction.term) || (transaction != nil && transaction.readOnly && act == linehistory.ActWrite))
		if readOnly {
			code = "READONLY " + i.ID
			return
		}
		execution.At, execution.Stamp, execution.LeavingAcknowledged = s.group.Now(), s.newStamp(i), i.leaveAcknowledgedAt
		if transaction != nil {
			execution.Transaction = transaction.number
		}
		if act == linehistory.ActRead {
			execution.Rows = []string{key + "=" + i.values[key]}
		}
		committing := (act == linehistory.ActWrite && transaction == nil) || (act == linehistory.ActCommit && len(transaction.ids) > 0)
		if act == linehistory.ActWrite && transaction != nil {
			transaction.ids = append(transaction.ids, statement.id)
			transaction.values[key] = data
		}
		if committing {
			ids, values := []string{statement.id}, map[string]string{key: data}
			if transaction != nil {
				ids, values = append(transaction.ids, statement.id), transaction.values
			}
			execution.CommittedAt, wait = s.commit(i, ids, values)
		}
		execution.LogEnd = i.appliedPosition()
		if act == linehistory.ActCommit {
			c.transaction = nil
		}
		if i.answersToLose > 0 {
			i.answersToLose--
			lost = true
		}
		s.history.Update(func(h *linehistory.History) { h.Executions = append(h.Executions, execution) })
	})
	if aborted {
		return false
	}
	if code != "" {
		return c.refuse(act, code)
	}
	if wait != nil {
		timeout := time.NewTimer(2 * time.Second)
		defer timeout.Stop()
		if _, timedOut := worker.Receive(timeout.C, wait); timedOut {
			return c.write("ERROR TIMEOUT", c.readyLine())
		}
	}
	if lost {
		return false
	}
	lines := []string{}
	for _, row := range execution.Rows {
		lines = append(lines, "ROW "+row)
	}
	return c.write(append(lines, "DONE "+execution.Stamp, c.readyLine())...)
}

func (c *session) refuse(act, code string) bool {
	if act == linehistory.ActCommit {
		c.transaction = nil
	}
	return c.fail(code)
}
