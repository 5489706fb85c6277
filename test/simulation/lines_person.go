package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"tansyseam/internal/coordination/pool/linepool"
	words "tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// clientTurn is a transaction as its client sees it.
type clientTurn struct {
	sent    time.Duration
	ids     []string
	count   int
	session *session
}

// ask is one question of a client.
type ask struct {
	id       string
	person   *person
	act      words.Act
	text     string
	values   string
	turn     *clientTurn
	sent     time.Duration
	own      map[string]model.Position
	version  uint64
	isOld    bool
	database string
	position model.Position
	isSecond bool
}

type reply struct {
	isCut    bool
	code     words.Code
	isError  bool
	tail     string
	rows     []string
	state    byte
	position model.Position
}

// person is a client: one session at a time, one operation after the other.
type person struct {
	machine
	lines    *lines
	random   *rand.Rand
	route    string
	home     *front
	homeLife int
	client   *linepool.Client
	serial   int
	to, from time.Duration
	state    byte
	values   map[string]string
	shapes   map[string]string
	own      map[string]model.Position
	waiting  func(reply)
	isIn     bool
	count    int
	rate     time.Duration
}

func (l *lines) startPeople(seed uint64) {
	routes := []string{"mark"}
	for _, database := range l.databases {
		routes = append(routes, database+"-strict", database+"-stale", database+"-own")
	}
	for at := range l.size.Clients {
		p := &person{machine: l.machine(fmt.Sprintf("u%d", at+1)), lines: l, random: rand.New(rand.NewPCG(seed, uint64(at)+100)), route: routes[at%len(routes)], rate: 60 * time.Millisecond}
		p.isUp = true
		l.people = append(l.people, p)
		p.do(l.world.between(0, 500*time.Millisecond), p.live)
	}
	l.probe()
}

func (p *person) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.random.Int64N(int64(high-low)+1))
}

func (p *person) live() {
	if p.home == nil {
		p.open(p.live)
		return
	}
	p.operate()
}

func (p *person) rest() { p.do(p.between(p.rate/4, p.rate*2), p.live) }

// open opens a session at a node that the platform lists.
func (p *person) open(then func()) {
	l := p.lines
	var list []*front
	for _, one := range l.fronts {
		if one.missed < 2 {
			list = append(list, one)
		}
	}
	if len(list)*2 < len(l.fronts) {
		list = l.fronts
	}
	home := list[p.random.IntN(len(list))]
	p.serial++
	p.home, p.homeLife, p.client, p.isIn = home, home.life, nil, false
	p.to, p.from, p.state = 0, 0, words.StateIdle
	p.values, p.shapes, p.own = map[string]string{}, map[string]string{}, map[string]model.Position{}
	serial := p.serial
	p.waiting = func(got reply) {
		if got.isCut || got.isError {
			if got.isError && got.code == words.CodeNoDatabase {
				l.fault(RuleConfig, "%s: %s is refused by %s", p.name, p.route, home.name)
			}
			p.leave()
			p.do(p.between(50*time.Millisecond, 400*time.Millisecond), then)
			return
		}
		p.isIn = true
		then()
	}
	p.toHome(func() {
		p.client = home.pool.Met(p, home.clock())
		if p.client != nil {
			home.people[p.client] = p
			home.pool.Connect(p.client, p.route, home.clock())
		}
	})
	p.patience(serial, 2*time.Second)
}

// patience ends the session where no answer comes.
func (p *person) patience(serial int, span time.Duration) {
	before := p.count
	p.do(span, func() {
		if p.serial == serial && p.waiting != nil && p.count == before {
			p.cut()
		}
	})
}

func (p *person) cut() {
	waiting := p.waiting
	p.waiting = nil
	p.leave()
	if waiting != nil {
		waiting(reply{isCut: true})
	}
}

// leave closes the session.
func (p *person) leave() {
	if p.home == nil {
		return
	}
	home, client := p.home, p.client
	if client != nil {
		p.toHome(func() {
			delete(home.people, client)
			delete(home.owed, client)
			home.pool.Gone(client, home.clock())
		})
	}
	p.home, p.client, p.isIn = nil, nil, false
	p.serial++
}

func (p *person) toHome(act func()) {
	w, home, life := p.world, p.home, p.homeLife
	trip := w.between(200*time.Microsecond, 2500*time.Microsecond)
	if w.drop > 0 && w.chance(w.drop) {
		trip += w.between(200*time.Millisecond, 400*time.Millisecond)
	}
	p.to = max(w.now+trip, p.to+time.Microsecond)
	serial := p.serial
	w.after(p.to-w.now, func() {
		if !home.isUp || home.life != life {
			if p.serial == serial && p.home == home {
				p.cut()
			}
			return
		}
		home.enter(life, func() { home.step(func(time.Duration) { act() }) })
	})
}

func (p *person) toPerson(home *front, client *linepool.Client, messages []words.Message) {
	w := p.world
	p.from = max(w.now+w.between(200*time.Microsecond, 2500*time.Microsecond), p.from+time.Microsecond)
	serial := p.serial
	w.after(p.from-w.now, func() {
		if p.serial == serial && p.home == home && p.client == client {
			p.hear(messages)
		}
	})
}

func (p *person) ended(home *front, client *linepool.Client) {
	w, serial := p.world, p.serial
	p.from = max(w.now+w.between(200*time.Microsecond, 2500*time.Microsecond), p.from+time.Microsecond)
	w.after(p.from-w.now, func() {
		if p.serial == serial && p.home == home && p.client == client {
			p.cut()
		}
	})
}

func (p *person) homeDied(isVanished bool) {
	serial := p.serial
	if isVanished {
		return
	}
	p.world.after(2*time.Millisecond, func() {
		if p.serial == serial {
			p.cut()
		}
	})
}

func (p *person) hear(messages []words.Message) {
	got := reply{}
	last := messages[len(messages)-1]
	for _, one := range messages {
		if one.Kind == words.KindRow {
			got.rows = append(got.rows, one.Tail)
		}
		if one.Kind == words.KindDone || one.Kind == words.KindError {
			got.tail, got.code, got.isError = one.Tail, one.Code, one.Kind == words.KindError
		}
	}
	got.state, got.position = last.State, last.Position
	isWhole := last.Kind == words.KindReady
	if p.waiting == nil {
		if isWhole || !got.isError {
			p.lines.fault(RuleWire, "%s hears %v and has asked nothing", p.name, messages)
		}
		return
	}
	waiting := p.waiting
	p.waiting = nil
	if !isWhole {
		p.leave()
		got.isCut = p.isIn
		waiting(got)
		return
	}
	p.state = got.state
	p.count++
	waiting(got)
}

func (p *person) query(text string, statement words.Statement, turn *clientTurn, done func(*ask, reply)) {
	p.lines.made++
	one := &ask{
		id: fmt.Sprintf("%s-%d", p.name, p.lines.made), person: p, act: statement.Act, text: text, values: joined(p.values), turn: turn, sent: p.world.now,
		own: maps.Clone(p.own),
	}
	if statement.Act == words.ActRun {
		one.text = p.shapes[statement.Name] + statement.Rest
	}
	isCounted := statement.Act == words.ActRead || statement.Act == words.ActWrite || statement.Act == words.ActRun
	if turn != nil && isCounted {
		turn.count++
		one.isSecond = turn.count > 1
	}
	p.lines.asks[one.id] = one
	p.waiting = func(got reply) { done(one, got) }
	p.patience(p.serial, 6*time.Second)
	home, client := p.home, p.client
	p.toHome(func() {
		if home.people[client] == p {
			home.owed[client]++
			home.pool.Query(client, linepool.Asked{ID: one.id, Text: text, Statement: statement}, home.clock())
		}
	})
}

func (p *person) thing() string { return fmt.Sprintf("t%d", p.random.IntN(50)) }

// try is one go at an operation.
type try struct {
	person   *person
	kind     string
	began    time.Duration
	goes     int
	ids      []string
	isSent   bool
	isRead   bool
	first    time.Duration
	isLate   bool
	statedAt time.Duration
}

func (p *person) operate() {
	draw := p.random.IntN(100)
	kinds := []struct {
		part int
		kind string
	}{{36, "read"}, {20, "write"}, {22, "turn"}, {8, "reading turn"}, {5, "set"}, {4, "prepare"}, {5, "run"}, {100, "leave"}}
	for _, one := range kinds {
		if draw < one.part {
			t := &try{person: p, kind: one.kind, began: p.world.now}
			t.isLate = p.lines.lateFrom != 0 && t.began > p.lines.lateFrom && t.began < p.lines.lateFrom+3500*time.Millisecond
			if t.isLate && one.kind != "leave" {
				p.lines.late.asked++
			}
			t.start()
			return
		}
		draw -= one.part
	}
}

var kinds map[string]func(*try)

func init() {
	kinds = map[string]func(*try){
		"read": func(t *try) {
			t.isRead = true
			t.single("read "+t.person.thing(), words.Statement{Act: words.ActRead})
		},
		"write": func(t *try) { t.single("write "+t.person.thing(), words.Statement{Act: words.ActWrite}) },
		"turn":  func(t *try) { t.turn("begin", words.ActBegin) },
		"reading turn": func(t *try) {
			t.isRead = true
			t.turn("begin read", words.ActBeginRead)
		},
		"set": func(t *try) {
			name, value := fmt.Sprintf("v%d", t.person.random.IntN(2)), fmt.Sprint(t.person.random.IntN(5))
			t.own(words.Statement{Act: words.ActSet, Name: name, Value: value}, func() { t.person.values[name] = value })
		},
		"prepare": func(t *try) {
			name := fmt.Sprintf("s%d", t.person.random.IntN(3))
			shape := []string{"read q", "write q", "read z"}[t.person.random.IntN(3)]
			statement := words.Statement{Act: words.ActPrepare, Name: name, Shape: shape, IsWrite: strings.HasPrefix(shape, "write")}
			t.own(statement, func() { t.person.shapes[name] = shape })
		},
		"run": func(t *try) {
			for _, name := range []string{"s0", "s1", "s2"} {
				if shape, isHeld := t.person.shapes[name]; isHeld {
					t.isRead = strings.HasPrefix(shape, "read")
					t.single("run", words.Statement{Act: words.ActRun, Name: name, Rest: " " + t.person.thing()})
					return
				}
			}
			kinds["read"](t)
		},
		"leave": func(t *try) {
			t.person.leave()
			t.person.rest()
		},
	}
}

func (t *try) start() {
	t.goes++
	t.ids, t.isSent, t.first = nil, false, t.person.world.now
	kinds[t.kind](t)
}

func (t *try) done() {
	l := t.person.lines
	l.served++
	if t.isLate {
		l.late.served++
	}
	t.person.rest()
}

// own asks what the node answers itself.
func (t *try) own(statement words.Statement, then func()) {
	p := t.person
	t.isRead = true
	p.query("own", statement, nil, func(_ *ask, got reply) {
		if got.isCut || got.isError {
			t.failed(got)
			return
		}
		then()
		t.done()
	})
}

func (t *try) single(text string, statement words.Statement) {
	p := t.person
	isWrite := !t.isRead
	t.isSent = isWrite
	p.query(text, statement, nil, func(one *ask, got reply) {
		if isWrite {
			t.ids = []string{one.id}
		}
		if got.isCut || got.isError {
			t.failed(got)
			return
		}
		rows := 1
		if isWrite {
			rows = 0
		}
		p.genuine(one, got, rows)
		if isWrite {
			p.heardKept(one)
		}
		t.done()
	})
}

func (t *try) turn(text string, act words.Act) {
	p := t.person
	held := &clientTurn{sent: p.world.now}
	p.query(text, words.Statement{Act: act}, nil, func(_ *ask, got reply) {
		if got.isCut || got.isError {
			t.failed(got)
			return
		}
		t.inside(held, 1+p.random.IntN(4))
	})
}

func (t *try) inside(held *clientTurn, left int) {
	p := t.person
	if left == 0 {
		t.end(held)
		return
	}
	if p.random.IntN(40) == 0 {
		p.leave()
		p.rest()
		return
	}
	if p.random.IntN(10) == 0 {
		name, value := "v1", fmt.Sprint(p.random.IntN(5))
		p.query("own", words.Statement{Act: words.ActSet, Name: name, Value: value}, held, func(_ *ask, got reply) {
			if got.isCut || got.isError {
				t.failed(got)
				return
			}
			p.values[name] = value
			t.inside(held, left)
		})
		return
	}
	isWrite := !t.isRead && p.random.IntN(2) == 0
	text, act := "read "+p.thing(), words.ActRead
	if isWrite {
		text, act = "write "+p.thing(), words.ActWrite
	}
	p.query(text, words.Statement{Act: act}, held, func(one *ask, got reply) {
		if isWrite {
			t.ids = append(t.ids, one.id)
			held.ids = t.ids
		}
		if got.isCut || got.isError {
			t.failed(got)
			return
		}
		p.genuine(one, got, 1)
		p.do(p.between(time.Millisecond, 30*time.Millisecond), func() {
			if p.home == nil || p.state != words.StateInside {
				t.failed(reply{isCut: true})
				return
			}
			t.inside(held, left-1)
		})
	})
}

func (t *try) end(held *clientTurn) {
	p := t.person
	if p.random.IntN(8) == 0 {
		p.query("rollback", words.Statement{Act: words.ActRollback}, held, func(_ *ask, got reply) {
			if got.isCut || got.isError {
				t.failed(got)
				return
			}
			t.done()
		})
		return
	}
	t.isSent = len(t.ids) > 0
	p.query("commit", words.Statement{Act: words.ActCommit}, held, func(one *ask, got reply) {
		if got.isCut || got.isError {
			t.failed(got)
			return
		}
		p.genuine(one, got, 0)
		if len(t.ids) > 0 {
			p.heardKept(one)
		}
		t.done()
	})
}

// failed decides whether the operation is tried again.
func (t *try) failed(got reply) {
	p, l := t.person, t.person.lines
	isPromise := got.isError && got.code.IsPromise()
	word := "cut"
	if got.isError {
		word = fmt.Sprint("code ", int(got.code))
	}
	l.codes[word]++
	if isPromise {
		for _, id := range t.ids {
			l.promised[id] = word
			if position, isThere := l.appended[id]; isThere {
				l.fault(RuleRefused, "%s was told %s, and is kept at %v", id, word, position)
			}
		}
	}
	isAgain := isPromise || (got.isError && got.code == words.CodeFailed && t.isRead) || (!t.isSent && (got.isCut || got.code != words.CodeFailed))
	next := p.rest
	if isAgain && p.world.now-t.began < opBound {
		next = func() {
			p.do(p.between(20*time.Millisecond, 200*time.Millisecond), func() { t.again() })
		}
	}
	if p.home == nil || got.isCut {
		p.leave()
		next()
		return
	}
	if p.state != words.StateIdle {
		if p.random.IntN(2) == 0 {
			p.leave()
			next()
			return
		}
		p.query("rollback", words.Statement{Act: words.ActRollback}, nil, func(_ *ask, got reply) {
			if got.isCut || got.isError {
				p.leave()
			}
			next()
		})
		return
	}
	next()
}

func (t *try) again() {
	if t.person.home == nil {
		t.person.open(t.again)
		return
	}
	t.start()
}

// genuine checks that a success is an instance's own.
func (p *person) genuine(one *ask, got reply, rows int) {
	l := p.lines
	isOwn := l.stamps[got.tail] == one.id && len(got.rows) == rows
	if isOwn && rows > 0 {
		isOwn = got.rows[0] == "row "+got.tail
	}
	if !isOwn {
		l.fault(RuleMixed, "%s was answered %s with %v", one.id, got.tail, got.rows)
	}
}

func (p *person) heardKept(one *ask) {
	l := p.lines
	l.writes++
	if one.position == (model.Position{}) {
		l.fault(RuleMixed, "%s was told kept, and is nowhere", one.id)
		return
	}
	if one.isOld && p.home != nil && p.home.thawed < one.sent-unfreezeBound {
		l.fault(RuleOne, "%s was kept at %v by a primary that was one no more, and told so", one.id, one.position)
	}
	l.toldKept(one.database, one.position)
	p.own[one.database] = p.own[one.database].Later(one.position)
}

// watch checks a statement that an instance is about to run.
func (l *lines) watch(x *session, id, text string) *ask {
	s := x.server
	one := l.asks[id]
	if one == nil || one.text != text {
		l.fault(RuleUnasked, "%s runs %q as %s", s.name, text, id)
		return nil
	}
	if joined(x.values) != one.values {
		l.fault(RulePinned, "%s runs with %q, its session has %q", id, joined(x.values), one.values)
	}
	if (x.turn == nil) != (one.turn == nil) {
		l.fault(RulePinned, "%s runs inside a transaction: %v, was sent inside: %v", id, x.turn != nil, one.turn != nil)
		return one
	}
	size := len(s.entries)
	if one.turn != nil {
		if one.turn.session == nil {
			one.turn.session = x
		}
		if x.turn.by == nil {
			x.turn.by = one.turn
		}
		if one.turn.session != x || x.turn.by != one.turn {
			l.fault(RulePinned, "%s runs on another connection than its transaction, or inside another's", id)
		}
		size = x.turn.size
	}
	l.fresh(one, s, size)
	if !one.isSecond && one.act != words.ActCommit && s.acked != 0 && l.world.now > s.acked+drainBound && !x.link.front.isYoung() {
		l.fault(RuleDrain, "%s runs at %s, which is leaving since %.3f", id, s.name, (s.acked-time.Hour).Seconds()*1000)
	}
	if one.person.route == "mark" && !one.isSecond && one.act != words.ActCommit {
		l.marks(one, s)
	}
	return one
}

// fresh checks what a read sees.
func (l *lines) fresh(one *ask, s *server, size int) {
	if strings.HasPrefix(one.text, "write") || one.act == words.ActCommit {
		return
	}
	first := one.sent
	if one.turn != nil {
		first = one.turn.sent
	}
	p := one.person
	isBounded := strings.HasSuffix(p.route, "-stale") || strings.HasSuffix(p.route, "-own")
	before := first
	if isBounded {
		before -= staleBound
	}
	if position, isMissing := l.missing(s, size, before); isMissing {
		l.fault(RuleStale, "%s, sent at %.3f, runs at %s at %d, which lacks %v", one.id, (first-time.Hour).Seconds()*1000, s.name, size, position)
	}
	if own := one.own[s.database]; strings.HasSuffix(p.route, "-own") && own != (model.Position{}) && (int(own.Index) > size || !s.holds(own)) {
		l.fault(RuleStale, "%s runs at %s at %d, which lacks the session's own %v", one.id, s.name, size, own)
	}
}
