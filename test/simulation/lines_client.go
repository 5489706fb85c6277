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
type clientTransaction struct {
	sentAt     time.Duration
	writeIDs   []string
	statements int
	session    *serverSession
}

// ask is one question of a client.
type query struct {
	id           string
	client       *lineClient
	act          words.Action
	text         string
	values       string
	transaction  *clientTransaction
	sentAt       time.Duration
	ownPositions map[string]model.Position
	version      uint64
	byOldPrimary bool
	database     string
	position     model.Position
	continuation bool
}

type response struct {
	disconnected bool
	code         words.Code
	failed       bool
	tail         string
	rows         []string
	state        byte
	position     model.Position
}

// person is a client: one session at a time, one operation after the other.
type lineClient struct {
	machine
	fleet                    *lineFleet
	random                   *rand.Rand
	route                    string
	node                     *lineNode
	nodeIncarnation          int
	session                  *linepool.Client
	sessionNumber            int
	lastToNode, lastToClient time.Duration
	state                    byte
	values                   map[string]string
	shapes                   map[string]string
	ownPositions             map[string]model.Position
	pendingResponse          func(response)
	opened                   bool
	answers                  int
	pace                     time.Duration
}

func (l *lineFleet) startClients(seed uint64) {
	routes := []string{"mark"}
	for _, database := range l.databases {
		routes = append(routes, database+"-strict", database+"-stale", database+"-own")
	}
	for at := range l.lineConfig.Clients {
		p := &lineClient{machine: l.newMachine(fmt.Sprintf("u%d", at+1)), fleet: l, random: rand.New(rand.NewPCG(seed, uint64(at)+100)), route: routes[at%len(routes)], pace: 60 * time.Millisecond}
		p.running = true
		l.clients = append(l.clients, p)
		p.after(l.simulator.randomDuration(0, 500*time.Millisecond), p.run)
	}
	l.probeReadiness()
}

func (p *lineClient) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(p.random.Int64N(int64(high-low)+1))
}

func (p *lineClient) run() {
	if p.node == nil {
		p.openSession(p.run)
		return
	}
	p.runOperation()
}

func (p *lineClient) pause() { p.after(p.randomDuration(p.pace/4, p.pace*2), p.run) }

// open opens a session at a node that the platform lists.
func (p *lineClient) openSession(then func()) {
	l := p.fleet
	var list []*lineNode
	for _, one := range l.lineNodes {
		if one.missedProbes < 2 {
			list = append(list, one)
		}
	}
	if len(list)*2 < len(l.lineNodes) {
		list = l.lineNodes
	}
	home := list[p.random.IntN(len(list))]
	p.sessionNumber++
	p.node, p.nodeIncarnation, p.session, p.opened = home, home.incarnation, nil, false
	p.lastToNode, p.lastToClient, p.state = 0, 0, words.StateIdle
	p.values, p.shapes, p.ownPositions = map[string]string{}, map[string]string{}, map[string]model.Position{}
	serial := p.sessionNumber
	p.pendingResponse = func(got response) {
		if got.disconnected || got.failed {
			if got.failed && got.code == words.CodeUnknownDatabase {
				l.addRuleViolation(RuleConfig, "%s: %s is refused by %s", p.name, p.route, home.name)
			}
			p.closeSession()
			p.after(p.randomDuration(50*time.Millisecond, 400*time.Millisecond), then)
			return
		}
		p.opened = true
		then()
	}
	p.sendToNode(func() {
		p.session = home.pool.Accept(p, home.clock())
		if p.session != nil {
			home.clients[p.session] = p
			home.pool.Connect(p.session, p.route, home.clock())
		}
	})
	p.setTimeout(serial, 2*time.Second)
}

// patience ends the session where no answer comes.
func (p *lineClient) setTimeout(serial int, span time.Duration) {
	before := p.answers
	p.after(span, func() {
		if p.sessionNumber == serial && p.pendingResponse != nil && p.answers == before {
			p.disconnect()
		}
	})
}

func (p *lineClient) disconnect() {
	waiting := p.pendingResponse
	p.pendingResponse = nil
	p.closeSession()
	if waiting != nil {
		waiting(response{disconnected: true})
	}
}

// leave closes the session.
func (p *lineClient) closeSession() {
	if p.node == nil {
		return
	}
	home, client := p.node, p.session
	if client != nil {
		p.sendToNode(func() {
			delete(home.clients, client)
			delete(home.openQueries, client)
			home.pool.ClientLost(client, home.clock())
		})
	}
	p.node, p.session, p.opened = nil, nil, false
	p.sessionNumber++
}

func (p *lineClient) sendToNode(act func()) {
	w, home, life := p.simulator, p.node, p.nodeIncarnation
	trip := w.randomDuration(200*time.Microsecond, 2500*time.Microsecond)
	if w.lossRate > 0 && w.chance(w.lossRate) {
		trip += w.randomDuration(200*time.Millisecond, 400*time.Millisecond)
	}
	p.lastToNode = max(w.now+trip, p.lastToNode+time.Microsecond)
	serial := p.sessionNumber
	w.after(p.lastToNode-w.now, func() {
		if !home.running || home.incarnation != life {
			if p.sessionNumber == serial && p.node == home {
				p.disconnect()
			}
			return
		}
		home.runDuring(life, func() { home.step(func(time.Duration) { act() }) })
	})
}

func (p *lineClient) deliverMessages(home *lineNode, client *linepool.Client, messages []words.Message) {
	w := p.simulator
	p.lastToClient = max(w.now+w.randomDuration(200*time.Microsecond, 2500*time.Microsecond), p.lastToClient+time.Microsecond)
	serial := p.sessionNumber
	w.after(p.lastToClient-w.now, func() {
		if p.sessionNumber == serial && p.node == home && p.session == client {
			p.receive(messages)
		}
	})
}

func (p *lineClient) onSessionClosed(home *lineNode, client *linepool.Client) {
	w, serial := p.simulator, p.sessionNumber
	p.lastToClient = max(w.now+w.randomDuration(200*time.Microsecond, 2500*time.Microsecond), p.lastToClient+time.Microsecond)
	w.after(p.lastToClient-w.now, func() {
		if p.sessionNumber == serial && p.node == home && p.session == client {
			p.disconnect()
		}
	})
}

func (p *lineClient) onNodeCrash(vanished bool) {
	serial := p.sessionNumber
	if vanished {
		return
	}
	p.simulator.after(2*time.Millisecond, func() {
		if p.sessionNumber == serial {
			p.disconnect()
		}
	})
}

func (p *lineClient) receive(messages []words.Message) {
	got := response{}
	last := messages[len(messages)-1]
	for _, one := range messages {
		if one.Kind == words.KindRow {
			got.rows = append(got.rows, one.Payload)
		}
		if one.Kind == words.KindDone || one.Kind == words.KindError {
			got.tail, got.code, got.failed = one.Payload, one.Code, one.Kind == words.KindError
		}
	}
	got.state, got.position = last.State, last.Position
	isWhole := last.Kind == words.KindReady
	if p.pendingResponse == nil {
		if isWhole || !got.failed {
			p.fleet.addRuleViolation(RuleWire, "%s hears %v and has asked nothing", p.name, messages)
		}
		return
	}
	waiting := p.pendingResponse
	p.pendingResponse = nil
	if !isWhole {
		p.closeSession()
		got.disconnected = p.opened
		waiting(got)
		return
	}
	p.state = got.state
	p.answers++
	waiting(got)
}

func (p *lineClient) sendQuery(text string, statement words.Statement, turn *clientTransaction, done func(*query, response)) {
	p.fleet.lastNumber++
	one := &query{
		id: fmt.Sprintf("%s-%d", p.name, p.fleet.lastNumber), client: p, act: statement.Action, text: text, values: joinValues(p.values), transaction: turn, sentAt: p.simulator.now,
		ownPositions: maps.Clone(p.ownPositions),
	}
	if statement.Action == words.ActionExecute {
		one.text = p.shapes[statement.Name] + statement.Arguments
	}
	isCounted := statement.Action == words.ActionRead || statement.Action == words.ActionWrite || statement.Action == words.ActionExecute
	if turn != nil && isCounted {
		turn.statements++
		one.continuation = turn.statements > 1
	}
	p.fleet.queries[one.id] = one
	p.pendingResponse = func(got response) { done(one, got) }
	p.setTimeout(p.sessionNumber, 6*time.Second)
	home, client := p.node, p.session
	p.sendToNode(func() {
		if home.clients[client] == p {
			home.openQueries[client]++
			home.pool.Query(client, linepool.Query{ID: one.id, Text: text, Statement: statement}, home.clock())
		}
	})
}

func (p *lineClient) randomKey() string { return fmt.Sprintf("t%d", p.random.IntN(50)) }

// try is one go at an operation.
type operation struct {
	client      *lineClient
	kind        string
	startedAt   time.Duration
	attempts    int
	writeIDs    []string
	writeSent   bool
	readOnly    bool
	attemptedAt time.Duration
	counted     bool
	statedAt    time.Duration
}

func (p *lineClient) runOperation() {
	draw := p.random.IntN(100)
	kinds := []struct {
		part int
		kind string
	}{{36, "read"}, {20, "write"}, {22, "turn"}, {8, "reading turn"}, {5, "set"}, {4, "prepare"}, {5, "run"}, {100, "leave"}}
	for _, one := range kinds {
		if draw < one.part {
			t := &operation{client: p, kind: one.kind, startedAt: p.simulator.now}
			t.counted = p.fleet.recoveryCheckFrom != 0 && t.startedAt > p.fleet.recoveryCheckFrom && t.startedAt < p.fleet.recoveryCheckFrom+3500*time.Millisecond
			if t.counted && one.kind != "leave" {
				p.fleet.recovered.asked++
			}
			t.start()
			return
		}
		draw -= one.part
	}
}

var operationStarters map[string]func(*operation)

func init() {
	operationStarters = map[string]func(*operation){
		"read": func(t *operation) {
			t.readOnly = true
			t.runSingle("read "+t.client.randomKey(), words.Statement{Action: words.ActionRead})
		},
		"write": func(t *operation) {
			t.runSingle("write "+t.client.randomKey(), words.Statement{Action: words.ActionWrite})
		},
		"turn": func(t *operation) { t.beginTransaction("begin", words.ActionBegin) },
		"reading turn": func(t *operation) {
			t.readOnly = true
			t.beginTransaction("begin read", words.ActionBeginReadOnly)
		},
		"set": func(t *operation) {
			name, value := fmt.Sprintf("v%d", t.client.random.IntN(2)), fmt.Sprint(t.client.random.IntN(5))
			t.runLocal(words.Statement{Action: words.ActionSet, Name: name, Value: value}, func() { t.client.values[name] = value })
		},
		"prepare": func(t *operation) {
			name := fmt.Sprintf("s%d", t.client.random.IntN(3))
			shape := []string{"read q", "write q", "read z"}[t.client.random.IntN(3)]
			statement := words.Statement{Action: words.ActionPrepare, Name: name, PreparedText: shape, Write: strings.HasPrefix(shape, "write")}
			t.runLocal(statement, func() { t.client.shapes[name] = shape })
		},
		"run": func(t *operation) {
			for _, name := range []string{"s0", "s1", "s2"} {
				if shape, found := t.client.shapes[name]; found {
					t.readOnly = strings.HasPrefix(shape, "read")
					t.runSingle("run", words.Statement{Action: words.ActionExecute, Name: name, Arguments: " " + t.client.randomKey()})
					return
				}
			}
			operationStarters["read"](t)
		},
		"leave": func(t *operation) {
			t.client.closeSession()
			t.client.pause()
		},
	}
}

func (t *operation) start() {
	t.attempts++
	t.writeIDs, t.writeSent, t.attemptedAt = nil, false, t.client.simulator.now
	operationStarters[t.kind](t)
}

func (t *operation) succeed() {
	l := t.client.fleet
	l.served++
	if t.counted {
		l.recovered.served++
	}
	t.client.pause()
}

// own asks what the node answers itself.
func (t *operation) runLocal(statement words.Statement, then func()) {
	p := t.client
	t.readOnly = true
	p.sendQuery("own", statement, nil, func(_ *query, got response) {
		if got.disconnected || got.failed {
			t.fail(got)
			return
		}
		then()
		t.succeed()
	})
}

func (t *operation) runSingle(text string, statement words.Statement) {
	p := t.client
	isWrite := !t.readOnly
	t.writeSent = isWrite
	p.sendQuery(text, statement, nil, func(one *query, got response) {
		if isWrite {
			t.writeIDs = []string{one.id}
		}
		if got.disconnected || got.failed {
			t.fail(got)
			return
		}
		rows := 1
		if isWrite {
			rows = 0
		}
		p.checkAnswer(one, got, rows)
		if isWrite {
			p.onCommitted(one)
		}
		t.succeed()
	})
}

func (t *operation) beginTransaction(text string, act words.Action) {
	p := t.client
	held := &clientTransaction{sentAt: p.simulator.now}
	p.sendQuery(text, words.Statement{Action: act}, nil, func(_ *query, got response) {
		if got.disconnected || got.failed {
			t.fail(got)
			return
		}
		t.runInTransaction(held, 1+p.random.IntN(4))
	})
}

func (t *operation) runInTransaction(held *clientTransaction, left int) {
	p := t.client
	if left == 0 {
		t.endTransaction(held)
		return
	}
	if p.random.IntN(40) == 0 {
		p.closeSession()
		p.pause()
		return
	}
	if p.random.IntN(10) == 0 {
		name, value := "v1", fmt.Sprint(p.random.IntN(5))
		p.sendQuery("own", words.Statement{Action: words.ActionSet, Name: name, Value: value}, held, func(_ *query, got response) {
			if got.disconnected || got.failed {
				t.fail(got)
				return
			}
			p.values[name] = value
			t.runInTransaction(held, left)
		})
		return
	}
	isWrite := !t.readOnly && p.random.IntN(2) == 0
	text, act := "read "+p.randomKey(), words.ActionRead
	if isWrite {
		text, act = "write "+p.randomKey(), words.ActionWrite
	}
	p.sendQuery(text, words.Statement{Action: act}, held, func(one *query, got response) {
		if isWrite {
			t.writeIDs = append(t.writeIDs, one.id)
			held.writeIDs = t.writeIDs
		}
		if got.disconnected || got.failed {
			t.fail(got)
			return
		}
		p.checkAnswer(one, got, 1)
		p.after(p.randomDuration(time.Millisecond, 30*time.Millisecond), func() {
			if p.node == nil || p.state != words.StateInTransaction {
				t.fail(response{disconnected: true})
				return
			}
			t.runInTransaction(held, left-1)
		})
	})
}

func (t *operation) endTransaction(held *clientTransaction) {
	p := t.client
	if p.random.IntN(8) == 0 {
		p.sendQuery("rollback", words.Statement{Action: words.ActionRollback}, held, func(_ *query, got response) {
			if got.disconnected || got.failed {
				t.fail(got)
				return
			}
			t.succeed()
		})
		return
	}
	t.writeSent = len(t.writeIDs) > 0
	p.sendQuery("commit", words.Statement{Action: words.ActionCommit}, held, func(one *query, got response) {
		if got.disconnected || got.failed {
			t.fail(got)
			return
		}
		p.checkAnswer(one, got, 0)
		if len(t.writeIDs) > 0 {
			p.onCommitted(one)
		}
		t.succeed()
	})
}

// failed decides whether the operation is tried again.
func (t *operation) fail(got response) {
	p, l := t.client, t.client.fleet
	isPromise := got.failed && got.code.GuaranteesNoEffect()
	word := "cut"
	if got.failed {
		word = fmt.Sprint("code ", int(got.code))
	}
	l.failureCodes[word]++
	if isPromise {
		for _, id := range t.writeIDs {
			l.refusedIDs[id] = word
			if position, isThere := l.commitPositions[id]; isThere {
				l.addRuleViolation(RuleRefused, "%s was told %s, and is kept at %v", id, word, position)
			}
		}
	}
	isAgain := isPromise || (got.failed && got.code == words.CodeFailed && t.readOnly) || (!t.writeSent && (got.disconnected || got.code != words.CodeFailed))
	next := p.pause
	if isAgain && p.simulator.now-t.startedAt < operationTimeout {
		next = func() {
			p.after(p.randomDuration(20*time.Millisecond, 200*time.Millisecond), func() { t.retry() })
		}
	}
	if p.node == nil || got.disconnected {
		p.closeSession()
		next()
		return
	}
	if p.state != words.StateIdle {
		if p.random.IntN(2) == 0 {
			p.closeSession()
			next()
			return
		}
		p.sendQuery("rollback", words.Statement{Action: words.ActionRollback}, nil, func(_ *query, got response) {
			if got.disconnected || got.failed {
				p.closeSession()
			}
			next()
		})
		return
	}
	next()
}

func (t *operation) retry() {
	if t.client.node == nil {
		t.client.openSession(t.retry)
		return
	}
	t.start()
}

// genuine checks that a success is an instance's own.
func (p *lineClient) checkAnswer(one *query, got response, rows int) {
	l := p.fleet
	isOwn := l.stampOwners[got.tail] == one.id && len(got.rows) == rows
	if isOwn && rows > 0 {
		isOwn = got.rows[0] == "row "+got.tail
	}
	if !isOwn {
		l.addRuleViolation(RuleMixed, "%s was answered %s with %v", one.id, got.tail, got.rows)
	}
}

func (p *lineClient) onCommitted(one *query) {
	l := p.fleet
	l.writes++
	if one.position == (model.Position{}) {
		l.addRuleViolation(RuleMixed, "%s was told kept, and is nowhere", one.id)
		return
	}
	if one.byOldPrimary && p.node != nil && p.node.thawedAt < one.sentAt-thawTolerance {
		l.addRuleViolation(RuleOne, "%s was kept at %v by a primary that was one no more, and told so", one.id, one.position)
	}
	l.recordAcknowledged(one.database, one.position)
	p.ownPositions[one.database] = p.ownPositions[one.database].Max(one.position)
}

// watch checks a statement that an instance is about to run.
func (l *lineFleet) checkStatement(x *serverSession, id, text string) *query {
	s := x.instance
	one := l.queries[id]
	if one == nil || one.text != text {
		l.addRuleViolation(RuleUnasked, "%s runs %q as %s", s.name, text, id)
		return nil
	}
	if joinValues(x.values) != one.values {
		l.addRuleViolation(RulePinned, "%s runs with %q, its session has %q", id, joinValues(x.values), one.values)
	}
	if (x.transaction == nil) != (one.transaction == nil) {
		l.addRuleViolation(RulePinned, "%s runs inside a transaction: %v, was sent inside: %v", id, x.transaction != nil, one.transaction != nil)
		return one
	}
	size := len(s.entries)
	if one.transaction != nil {
		if one.transaction.session == nil {
			one.transaction.session = x
		}
		if x.transaction.owner == nil {
			x.transaction.owner = one.transaction
		}
		if one.transaction.session != x || x.transaction.owner != one.transaction {
			l.addRuleViolation(RulePinned, "%s runs on another connection than its transaction, or inside another's", id)
		}
		size = x.transaction.logSize
	}
	l.checkFreshness(one, s, size)
	if !one.continuation && one.act != words.ActionCommit && s.leavingAcknowledged != 0 && l.simulator.now > s.leavingAcknowledged+drainTimeout && !x.connection.node.isRecovering() {
		l.addRuleViolation(RuleDrain, "%s runs at %s, which is leaving since %.3f", id, s.name, (s.leavingAcknowledged-time.Hour).Seconds()*1000)
	}
	if one.client.route == "mark" && !one.continuation && one.act != words.ActionCommit {
		l.checkMarkedRoute(one, s)
	}
	return one
}

// fresh checks what a read sees.
func (l *lineFleet) checkFreshness(one *query, s *lineInstance, size int) {
	if strings.HasPrefix(one.text, "write") || one.act == words.ActionCommit {
		return
	}
	first := one.sentAt
	if one.transaction != nil {
		first = one.transaction.sentAt
	}
	p := one.client
	isBounded := strings.HasSuffix(p.route, "-stale") || strings.HasSuffix(p.route, "-own")
	before := first
	if isBounded {
		before -= stalenessBound
	}
	if position, isMissing := l.missingCommit(s, size, before); isMissing {
		l.addRuleViolation(RuleStale, "%s, sent at %.3f, runs at %s at %d, which lacks %v", one.id, (first-time.Hour).Seconds()*1000, s.name, size, position)
	}
	if own := one.ownPositions[s.database]; strings.HasSuffix(p.route, "-own") && own != (model.Position{}) && (int(own.Index) > size || !s.holds(own)) {
		l.addRuleViolation(RuleStale, "%s runs at %s at %d, which lacks the session's own %v", one.id, s.name, size, own)
	}
}
