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

type waiting struct {
	at   linehistory.Position
	done chan struct{}
}

// Instance is one stand-in server; its state is guarded by the service's lock.
type Instance struct {
	Place
	service  *Service
	beats    func() []string
	slots    chan struct{}
	listener net.Listener
	conns    map[*session]bool
	life     int
	serial   int

	isUp, isDark, isPrimary, isDraining bool
	follows                             *Instance
	term, paused                        uint64
	log                                 []entry
	applied                             int
	things                              map[string]string
	waits                               []waiting
	lag                                 time.Duration
	slow                                float64
	lose, refuse                        int
	busyUntil                           time.Duration
	leaving                             time.Duration
	isLeft                              bool
	calls                               int
	beatTo                              string
	told                                chan struct{}
}

// Start listens and begins to beat.
func (i *Instance) Start() error {
	listener, err := net.Listen("tcp", i.Address)
	if err != nil {
		return err
	}
	s := i.service
	s.do(func() {
		i.isUp, i.isDark, i.isDraining, i.isLeft, i.leaving, i.listener, i.told = true, false, false, false, 0, listener, make(chan struct{}, 1)
		i.life++
		if s.leader != i {
			i.follow(s.leader)
		}
		i.applied, i.things = 0, map[string]string{}
		i.apply()
	})
	life := i.life
	s.crew.Go(func() { i.accept(listener) })
	s.crew.Go(func() { i.beat(life) })
	return nil
}

// Crash ends it at once; its log stays.
func (i *Instance) Crash() {
	i.service.do(func() {
		i.isUp = false
		i.life++
		_ = i.listener.Close()
		for one := range i.conns {
			_ = one.conn.Close()
		}
	})
}

// Dark makes it take and say nothing more, with all connections open.
func (i *Instance) Dark() { i.service.do(func() { i.isDark = true }) }

// Lag delays what it receives, Slow multiplies its work, Lose has it lose so
// many answers, Refuse refuse so many statements as busy.
func (i *Instance) Lag(lag time.Duration) { i.service.do(func() { i.lag = lag }) }

// Slow multiplies its work.
func (i *Instance) Slow(factor float64) { i.service.do(func() { i.slow = factor }) }

// Lose has it lose so many answers.
func (i *Instance) Lose(count int) { i.service.do(func() { i.lose = count }) }

// Refuse has it refuse so many statements as busy.
func (i *Instance) Refuse(count int) { i.service.do(func() { i.refuse = count }) }

// Drain has it report that it leaves.
func (i *Instance) Drain() {
	i.service.do(func() {
		i.isDraining = true
		i.tell()
	})
}

// Left says when its leaving was acknowledged, 0 for not yet.
func (i *Instance) Left() time.Duration {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	return i.leaving
}

// IsPrimary says whether it holds itself to be the primary.
func (i *Instance) IsPrimary() bool {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	return i.isPrimary
}

// Leave says that it is gone, and ends it; the status answered is given.
func (i *Instance) Leave() int {
	status := 0
	for _, door := range i.doors() {
		if status, _ = i.post(door, "leave", []byte("{}")); status/100 == 2 {
			break
		}
	}
	i.Crash()
	return status
}

func (i *Instance) end() linehistory.Position {
	if len(i.log) == 0 {
		return linehistory.Position{}
	}
	return i.log[len(i.log)-1].at
}

func (i *Instance) shown() linehistory.Position {
	if i.applied == 0 {
		return linehistory.Position{}
	}
	return i.log[i.applied-1].at
}

func (i *Instance) apply() {
	for i.applied < len(i.log) {
		maps.Copy(i.things, i.log[i.applied].things)
		i.applied++
	}
}

func (i *Instance) received(upto linehistory.Position) {
	kept := i.waits[:0]
	for _, one := range i.waits {
		if upto.Covers(one.at) && upto.Term == one.at.Term {
			close(one.done)
			continue
		}
		kept = append(kept, one)
	}
	i.waits = kept
}

// follow makes it a replica of another; what it has beyond that is cut back.
func (i *Instance) follow(primary *Instance) {
	i.isPrimary, i.follows, i.paused = false, primary, 0
	if same := common(i.log, primary.log); same < len(i.log) {
		i.log, i.applied, i.things = i.log[:same:same], 0, map[string]string{}
		i.apply()
		i.busyUntil = i.service.crew.Now() + 50*time.Millisecond
	}
	i.waits = nil
	i.service.send(primary, i)
	i.tell()
}

func (i *Instance) stepDown() {
	if s := i.service; s.leader != i {
		i.follow(s.leader)
		i.term = max(i.term, s.leader.term)
	}
}

func (i *Instance) tell() {
	select {
	case i.told <- struct{}{}:
	default:
	}
}

func (i *Instance) doors() []string {
	i.service.mutex.Lock()
	first := i.beatTo
	i.service.mutex.Unlock()
	if first == "" {
		return i.beats()
	}
	return append([]string{first}, i.beats()...)
}

var beats = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (i *Instance) post(door, word string, body []byte) (int, []byte) {
	response, err := beats.Post("http://"+door+"/instances/"+i.ID+"/"+word, "application/json", bytes.NewReader(body))
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

const beatEvery = 400 * time.Millisecond

func (i *Instance) beat(life int) {
	s := i.service
	for !s.crew.IsStopping() {
		isOver, isSilent, isLeaving := false, false, false
		var body []byte
		s.do(func() {
			isOver, isSilent, isLeaving = i.life != life, i.isDark, i.isDraining
			i.calls++
			body, _ = json.Marshal(map[string]any{
				"service": s.Name, "address": i.Address, "zone": i.Zone, "version": "v1", "slots": s.Slots,
				"state": map[bool]string{true: "draining", false: "ready"}[i.isDraining], "cold_left_ms": 0,
				"db_role": map[bool]string{true: "primary", false: "replica"}[i.isPrimary], "call_count": i.calls,
			})
		})
		if isOver {
			return
		}
		if !isSilent {
			i.beatOnce(body, isLeaving)
		}
		timer := time.NewTimer(beatEvery)
		worker.Receive(i.told, timer.C)
		timer.Stop()
	}
}

func (i *Instance) beatOnce(body []byte, isLeaving bool) {
	for _, door := range i.doors() {
		status, answer := i.post(door, "heartbeat", body)
		isTaken := status/100 == 2
		i.service.do(func() {
			i.beatTo = ""
			if !isTaken {
				return
			}
			var told struct {
				BeatTo string `json:"beat_to"`
			}
			_ = json.Unmarshal(answer, &told)
			i.beatTo = told.BeatTo
			if isLeaving && i.leaving == 0 {
				i.leaving = i.service.crew.Now()
			}
		})
		if isTaken {
			return
		}
	}
}

func (i *Instance) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		i.service.crew.Go(func() {
			one := &session{instance: i, conn: conn, values: map[string]string{}, shapes: map[string]string{}}
			defer func() { _ = conn.Close() }()
			one.serve()
			i.service.do(func() { delete(i.conns, one) })
		})
	}
}

// session is one connection at an instance.
type session struct {
	instance *Instance
	conn     net.Conn
	name     string
	isMet    bool
	values   map[string]string
	shapes   map[string]string
	turns    int
	turn     *turn
}

type turn struct {
	number           int
	isRead, isFailed bool
	term             uint64
	ids              []string
	things           map[string]string
}

func (c *session) state() string {
	if c.turn == nil {
		return "I"
	}
	return map[bool]string{true: "E", false: "T"}[c.turn.isFailed]
}

func (c *session) serve() {
	reader := bufio.NewReaderSize(c.conn, 64<<10)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		isDark := false
		c.instance.service.do(func() { isDark = c.instance.isDark })
		if isDark {
			continue
		}
		word, tail, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		act, isKnown := heard[word]
		if !isKnown || (!c.isMet && word != "CONNECT") {
			c.say("ERROR MALFORMED")
			return
		}
		if !act(c, tail) {
			return
		}
	}
}

func (c *session) say(lines ...string) bool {
	_, err := c.conn.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
	return err == nil
}

func (c *session) ready() string {
	position := linehistory.Position{}
	c.instance.service.do(func() { position = c.instance.shown() })
	return "READY " + c.state() + " " + textOf(position)
}

func textOf(position linehistory.Position) string {
	if position == (linehistory.Position{}) {
		return "-"
	}
	return fmt.Sprintf("%d.%d", position.Term, position.Index)
}

var heard = map[string]func(c *session, tail string) bool{
	"CONNECT": func(c *session, tail string) bool {
		parts := strings.Fields(tail)
		i, s, word := c.instance, c.instance.service, ""
		s.do(func() {
			isWrong := len(parts) < 2 || parts[0] != s.Name || (len(parts) > 2 && parts[2] != i.ID)
			if isWrong {
				word = "WRONGHOST " + i.ID
				return
			}
			if len(i.conns) >= s.Conns {
				word = "FULL"
				return
			}
			i.serial++
			c.name = fmt.Sprintf("%d.%d", i.life, i.serial)
			i.conns[c] = true
		})
		if word != "" {
			c.say("ERROR " + word)
			return false
		}
		c.isMet = true
		return c.say(c.ready())
	},
	"BYE": func(*session, string) bool { return false },
	"QUERY": func(c *session, tail string) bool {
		id, text, _ := strings.Cut(tail, " ")
		floor := linehistory.Position{}
		if rest, hasFloor := strings.CutPrefix(text, "AFTER "); hasFloor {
			at, after, _ := strings.Cut(rest, " ")
			term, number, _ := strings.Cut(at, ".")
			floor.Term, _ = strconv.ParseUint(term, 10, 64)
			floor.Index, _ = strconv.ParseUint(number, 10, 64)
			text = after
		}
		word, rest, _ := strings.Cut(text, " ")
		act, isKnown := asked[word]
		if !isKnown || (c.turn != nil && c.turn.isFailed && word != "ROLLBACK" && word != "COMMIT") {
			return c.fail("MALFORMED " + word)
		}
		return act(c, &query{id: id, text: text, rest: rest, floor: floor})
	},
}

type query struct {
	id, text, rest string
	floor          linehistory.Position
}

func (c *session) fail(what string) bool {
	if c.turn != nil {
		c.turn.isFailed = true
	}
	return c.say("ERROR "+what, c.ready())
}

func (c *session) done() bool { return c.say("DONE -", c.ready()) }

var asked map[string]func(c *session, q *query) bool

func init() {
	asked = map[string]func(c *session, q *query) bool{
		"BEGIN": func(c *session, q *query) bool {
			i, isRead, word := c.instance, q.rest == "FETCH", ""
			if c.turn != nil {
				return c.fail("MALFORMED")
			}
			i.service.do(func() {
				if !isRead && !i.isPrimary {
					word = "READONLY " + i.ID
				} else if !i.shown().Covers(q.floor) {
					word = "LAGGING"
				}
			})
			if word != "" {
				return c.fail(word)
			}
			c.turns++
			c.turn = &turn{number: c.turns, isRead: isRead, term: i.term, things: map[string]string{}}
			return c.done()
		},
		"COMMIT": func(c *session, q *query) bool {
			held := c.turn
			if held == nil {
				return c.fail("MALFORMED")
			}
			if held.isFailed {
				c.turn = nil
				return c.say("ERROR ABORTED", c.ready())
			}
			return c.work(q, linehistory.ActCommit, "", "", "")
		},
		"ROLLBACK": func(c *session, _ *query) bool { c.turn = nil; return c.done() },
		"FETCH":    func(c *session, q *query) bool { return c.work(q, linehistory.ActRead, q.rest, "", "") },
		"PUT":      func(c *session, q *query) bool { return c.work(q, linehistory.ActWrite, q.rest, "", "") },
		"SET": func(c *session, q *query) bool {
			name, value, _ := strings.Cut(q.rest, " ")
			c.values[name] = value
			return c.done()
		},
		"RESET": func(c *session, _ *query) bool {
			c.values, c.shapes = map[string]string{}, map[string]string{}
			return c.done()
		},
		"PREPARE": func(c *session, q *query) bool {
			name, shape, _ := strings.Cut(q.rest, " ")
			c.shapes[name] = shape
			return c.done()
		},
		"FORGET": func(c *session, q *query) bool { delete(c.shapes, q.rest); return c.done() },
		"RUN": func(c *session, q *query) bool {
			name, rest, _ := strings.Cut(q.rest, " ")
			shape, isHeld := c.shapes[name]
			if !isHeld {
				return c.fail("NOTFOUND " + name)
			}
			kind, _, _ := strings.Cut(shape, " ")
			act := map[string]string{"FETCH": linehistory.ActRead, "PUT": linehistory.ActWrite}[kind]
			return c.work(q, act, rest, shape, " "+rest)
		},
		"STATUS":   func(c *session, _ *query) bool { return c.status(func(*Instance) {}) },
		"RESUME":   func(c *session, _ *query) bool { return c.status(resume) },
		"STEPDOWN": func(c *session, q *query) bool { return c.order(q, (*Instance).stepDown) },
		"PAUSE": func(c *session, q *query) bool {
			return c.order(q, func(i *Instance) { i.paused, _ = strconv.ParseUint(q.rest, 10, 64) })
		},
	}
}

func resume(i *Instance) {
	i.paused = 0
	if i.follows != nil {
		i.service.send(i.follows, i)
	}
}

func (c *session) order(q *query, act func(*Instance)) bool {
	term, _ := strconv.ParseUint(q.rest, 10, 64)
	return c.status(func(i *Instance) {
		if term > i.term {
			act(i)
		}
	})
}

func (c *session) status(act func(*Instance)) bool {
	row, i := "", c.instance
	i.service.do(func() {
		act(i)
		role := map[bool]string{true: "primary", false: "replica"}[i.isPrimary]
		row = fmt.Sprintf("ROW %s %d %s %d %d %d %d", role, i.term, textOf(i.end()), i.paused, i.lag.Milliseconds(), len(i.slots), len(i.conns))
	})
	return c.say(row, "DONE -", c.ready())
}

// work runs a statement that holds a slot.
func (c *session) work(q *query, act, rest, shape, tail string) bool {
	i, s := c.instance, c.instance.service
	word, isBusy, isRaised := "", false, false
	s.do(func() {
		isBusy = i.refuse > 0 || i.busyUntil > s.crew.Now()
		i.refuse = max(i.refuse-1, 0)
		isRaised = c.turn == nil && !i.shown().Covers(q.floor)
	})
	timer := time.NewTimer(500 * time.Millisecond)
	defer timer.Stop()
	if !isBusy && !isRaised {
		select {
		case i.slots <- struct{}{}:
		case <-timer.C:
			isBusy = true
		}
	}
	if isBusy {
		return c.refuse(act, "BUSY")
	}
	if isRaised {
		return c.refuse(act, "LAGGING")
	}
	defer func() { <-i.slots }()
	slow := 1.0
	s.do(func() { slow = max(i.slow, 1) })
	if worker.Await(s.crew.Stopping(), time.Duration(slow*float64(s.Work))) {
		return false
	}
	ran := linehistory.Execution{Instance: i.ID, Service: s.Name, Conn: c.name, ID: q.id, Act: act, Text: q.text, Shape: shape, Rest: tail, Values: maps.Clone(c.values)}
	if shape != "" {
		ran.Text = ""
	}
	thing, data, _ := strings.Cut(rest, " ")
	var wait chan struct{}
	isLost, isCut := false, false
	s.do(func() {
		if !i.isUp || i.isDark {
			isCut = true
			return
		}
		held := c.turn
		isPlain := held != nil && !held.isRead
		isEmpty := act == linehistory.ActCommit && len(held.ids) == 0
		isOff := (act == linehistory.ActWrite || isPlain) && !isEmpty && (!i.isPrimary || (isPlain && i.term != held.term) || (held != nil && held.isRead && act == linehistory.ActWrite))
		if isOff {
			word = "READONLY " + i.ID
			return
		}
		ran.At, ran.Stamp, ran.LeavingAcknowledged = s.crew.Now(), s.stamp(i), i.leaving
		if held != nil {
			ran.Transaction = held.number
		}
		if act == linehistory.ActRead {
			ran.Rows = []string{thing + "=" + i.things[thing]}
		}
		isKeeping := (act == linehistory.ActWrite && held == nil) || (act == linehistory.ActCommit && len(held.ids) > 0)
		if act == linehistory.ActWrite && held != nil {
			held.ids = append(held.ids, q.id)
			held.things[thing] = data
		}
		if isKeeping {
			ids, things := []string{q.id}, map[string]string{thing: data}
			if held != nil {
				ids, things = append(held.ids, q.id), held.things
			}
			ran.CommittedAt, wait = s.commit(i, ids, things)
		}
		ran.LogEnd = i.shown()
		if act == linehistory.ActCommit {
			c.turn = nil
		}
		if i.lose > 0 {
			i.lose--
			isLost = true
		}
		s.history.Note(func(h *linehistory.History) { h.Executions = append(h.Executions, ran) })
	})
	if isCut {
		return false
	}
	if word != "" {
		return c.refuse(act, word)
	}
	if wait != nil {
		bound := time.NewTimer(2 * time.Second)
		defer bound.Stop()
		if _, isLate := worker.Receive(bound.C, wait); isLate {
			return c.say("ERROR TIMEOUT", c.ready())
		}
	}
	if isLost {
		return false
	}
	lines := []string{}
	for _, row := range ran.Rows {
		lines = append(lines, "ROW "+row)
	}
	return c.say(append(lines, "DONE "+ran.Stamp, c.ready())...)
}

func (c *session) refuse(act, word string) bool {
	if act == linehistory.ActCommit {
		c.turn = nil
	}
	return c.fail(word)
}
