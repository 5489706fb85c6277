package simulation

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/state/model"
	"tansyseam/test/history"
	"tansyseam/test/standin"
)

type caller struct {
	machine
	fleet           *fleet
	database        string
	stalenessMS     int
	node            *node
	remoteAddress   string
	connectionsMade int
	session         string
	requestsMade    int
	minPositions    map[string]model.Position
	setting         string
	prepared        string
	random          *rand.Rand
	disconnect      func()
	readOnly        bool
	resetByRun      bool
	decks           map[int][]int
}

func (f *fleet) startCallers(seed uint64) {
	for at := range f.config.Callers {
		one := &caller{
			machine: machine{simulator: f.simulator, name: fmt.Sprintf("caller%d", at), running: true}, fleet: f,
			database: f.databases[at%len(f.databases)], stalenessMS: stalenessBoundsMS[at%len(stalenessBoundsMS)], random: rand.New(rand.NewPCG(seed, uint64(at)+99)),
			minPositions: map[string]model.Position{}, decks: map[int][]int{}, readOnly: at%6 == 1 || at%6 == 2,
		}
		one.after(f.simulator.randomDuration(0, 100*time.Millisecond), one.run)
	}
}

func (c *caller) thinkTime() time.Duration {
	return time.Duration(c.random.ExpFloat64() * float64(60*time.Millisecond) / c.fleet.loadFactor)
}

func (c *caller) leave() {
	if c.node == nil {
		return
	}
	home, remote := c.node, c.remoteAddress
	home.callers = slices.DeleteFunc(home.callers, func(one *caller) bool { return one == c })
	c.node, c.session, c.setting, c.prepared = nil, "", "", ""
	c.simulator.sendReliable(&c.machine, &home.machine, func() {
		home.step(func(now time.Duration) { home.pool.ClientLost(remote, now) })
	})
}

func (c *caller) onNodeCrash(home *node, vanished bool) {
	if c.node != home {
		return
	}
	c.node, c.session, c.setting, c.prepared = nil, "", "", ""
	if cut := c.disconnect; cut != nil && !vanished {
		c.after(time.Millisecond, cut)
	}
}

func (c *caller) run() {
	if c.node != nil && c.random.IntN(60) == 0 {
		c.leave()
	}
	if c.session == "" {
		c.openSession(c.run)
		return
	}
	c.runOperation()
}

func (c *caller) runNext() { c.after(c.thinkTime(), c.run) }

func (c *caller) openSession(then func()) {
	c.leave()
	home := c.fleet.nodes[c.random.IntN(len(c.fleet.nodes))]
	if !home.running || home.stopping || c.fleet.removedNodes[home.name] {
		c.after(50*time.Millisecond, then)
		return
	}
	c.connectionsMade++
	remote := fmt.Sprintf("%s#%d", c.name, c.connectionsMade)
	c.node, c.remoteAddress = home, remote
	home.callers = append(home.callers, c)
	finished, sent := false, int64(c.simulator.now)
	over := func(session string, sequence uint64, wait time.Duration) {
		if finished {
			return
		}
		finished = true
		c.disconnect = nil
		if session != "" && c.node == home && c.remoteAddress == remote {
			c.session, c.requestsMade = session, 0
			event := c.newEvent("open", "", "")
			event.Sent, event.Outcome, event.Sequence = sent, "done", sequence
			event.Got = int64(c.simulator.now)
			c.fleet.events = append(c.fleet.events, event)
			then()
			return
		}
		c.leave()
		c.after(wait, then)
	}
	c.disconnect = func() { over("", 0, 50*time.Millisecond) }
	c.after(time.Second, c.disconnect)
	marks := maps.Clone(c.minPositions)
	binding := bindingName(c.database, c.stalenessMS)
	c.simulator.sendReliable(&c.machine, &home.machine, func() {
		home.step(func(now time.Duration) {
			opened, refusal, _ := home.pool.OpenSession(binding, remote, marks, now)
			c.simulator.sendReliable(&home.machine, &c.machine, func() {
				over(opened.ID, opened.BindingSequence, refusal.RetryAfter+c.thinkTime())
			})
		})
	})
}

func (c *caller) newEvent(kind, id, text string) standin.Event {
	event := standin.Event{
		Caller: c.name, Session: c.session, Kind: kind, Database: c.database, FreshMS: c.stalenessMS, Go: id, Text: text,
		Sent: int64(c.simulator.now), WantSet: c.setting,
	}
	if c.node != nil {
		event.Door = c.node.name
	}
	return event
}

func (c *caller) nextRequestID() string {
	c.requestsMade++
	return fmt.Sprintf("%s.%d", c.session, c.requestsMade)
}

const requestTimeout = 6500 * time.Millisecond

func (c *caller) request(event standin.Event, op httppool.Op, done func(standin.Event, bool)) {
	f := c.fleet
	finished := false
	f.lastRequest++
	number := f.lastRequest
	f.outstanding[number] = event
	home, remote := c.node, c.remoteAddress
	finish := func(told httppool.Result, isCut bool) {
		if finished {
			return
		}
		finished = true
		c.disconnect = nil
		delete(f.outstanding, number)
		event.Outcome, event.Error, event.Sequence, event.Got = string(told.Outcome), told.Error, told.BindingSequence, int64(c.simulator.now)
		event.RetryMS = told.RetryAfter.Milliseconds()
		event.Position = standin.Position{Term: told.Position.Term, Index: told.Position.Index}
		if isCut {
			event.Outcome = "cut"
			if c.resetByRun {
				event.Error = history.ErrorResetByRun
			}
		}
		c.resetByRun = false
		var got answerRows
		if len(told.Rows) > 0 && json.Unmarshal(told.Rows, &got) == nil {
			event.Upto, event.Settings, event.RanText = got.Upto, got.Settings, got.Text
		}
		f.events = append(f.events, event)
		c.simulator.record("%s %s %s %s %v upto %v seq %d via %s: %s", c.name, event.Kind, event.Go, event.Outcome, event.Position, event.Upto, event.Sequence, event.Door, event.Error)
		for database, position := range told.MinPositions {
			c.minPositions[database] = c.minPositions[database].Max(position)
		}
		isOn := !isCut && !told.SessionClosed && told.Cause != httppool.ErrNoSession && told.Cause != httppool.ErrNoBinding
		if !isOn && c.remoteAddress == remote {
			c.leave()
		}
		done(event, isOn)
	}
	c.disconnect = func() { finish(httppool.Result{}, true) }
	c.after(requestTimeout, c.disconnect)
	if home == nil || !home.running {
		c.after(time.Millisecond, c.disconnect)
		return
	}
	life, session := home.incarnation, c.session
	bound := time.Duration(0)
	if !c.fleet.modelsWindows && c.random.IntN(12) == 0 {
		bound = time.Duration(5+c.random.IntN(400)) * time.Millisecond
		event.DeadMS = bound.Milliseconds()
	}
	c.simulator.sendReliable(&c.machine, &home.machine, func() {
		home.execute(session, op, bound, func(told httppool.Result) {
			if home.incarnation == life {
				c.simulator.sendReliable(&home.machine, &c.machine, func() {
					if c.node == home && c.remoteAddress == remote {
						finish(told, false)
					}
				})
			}
		})
	})
}

func (c *caller) drawFromDeck(count int) int {
	if c.fleet.config.IndependentDraws {
		return c.random.IntN(count)
	}
	if len(c.decks[count]) == 0 {
		c.decks[count] = c.random.Perm(count)
	}
	first := c.decks[count][0]
	c.decks[count] = c.decks[count][1:]
	return first
}

func (c *caller) drawPercent() int {
	if c.fleet.config.IndependentDraws {
		return c.random.IntN(100)
	}
	return c.drawFromDeck(10)*10 + c.random.IntN(10)
}

func (c *caller) runOperation() {
	draw := c.drawPercent()
	ways := []struct {
		part int
		act  func()
	}{{42, c.read}, {40, c.write}, {10, c.beginTransaction}, {3, c.set}, {3, c.prepare}, {100, c.usePrepared}}
	if c.readOnly {
		ways[1].part, ways[2].part, ways[0].part = 0, 0, 92
	}
	for _, way := range ways {
		if draw < way.part {
			way.act()
			return
		}
		draw -= way.part
	}
}

func (c *caller) runAfterRetry(event standin.Event) {
	c.after(time.Duration(event.RetryMS)*time.Millisecond+c.thinkTime(), c.run)
}

func (c *caller) read() {
	text := fmt.Sprintf("look by %s %d", c.name, c.random.IntN(1e6))
	c.request(c.newEvent("read", "", text), httppool.Op{Kind: httppool.OpRun, Text: text}, func(event standin.Event, _ bool) { c.runAfterRetry(event) })
}

func (c *caller) set() {
	value := c.session
	c.request(c.newEvent("set", "", ""), httppool.Op{Kind: httppool.OpSet, Name: "app", Value: value}, func(event standin.Event, isOn bool) {
		if isOn && event.Outcome == "done" {
			c.setting = value
		}
		c.runAfterRetry(event)
	})
}

func (c *caller) prepare() {
	text := fmt.Sprintf("look by %s prepared %d", c.name, c.random.IntN(1e6))
	c.request(c.newEvent("prepare", "", ""), httppool.Op{Kind: httppool.OpPrepare, Name: "p", Text: text}, func(event standin.Event, isOn bool) {
		if isOn && event.Outcome == "done" {
			c.prepared = text
		}
		c.runAfterRetry(event)
	})
}

func (c *caller) usePrepared() {
	if c.prepared == "" {
		c.read()
		return
	}
	c.request(c.newEvent("read", "", c.prepared), httppool.Op{Kind: httppool.OpRun, Prepared: "p"}, func(event standin.Event, _ bool) { c.runAfterRetry(event) })
}

func (c *caller) write() {
	id := c.nextRequestID()
	text := fmt.Sprintf("book %s by %s x", id, c.name)
	c.attemptWrite(id, text, 0)
}

func (c *caller) attemptWrite(id, text string, again int) {
	event := c.newEvent("write", id, text)
	event.IsAgain = again > 0
	c.request(event, httppool.Op{Kind: httppool.OpRun, Text: text, Write: true, RequestID: id}, func(event standin.Event, _ bool) {
		isOpen := event.Outcome == "unknown" || event.Outcome == "cut"
		if !isOpen || again >= 3 {
			c.runAfterRetry(event)
			return
		}
		c.after(time.Duration(event.RetryMS)*time.Millisecond/4+c.simulator.randomDuration(20*time.Millisecond, 300*time.Millisecond), func() {
			if c.random.IntN(3) > 0 {
				c.leave()
			}
			c.withSession(func() { c.attemptWrite(id, text, again+1) })
		})
	})
}

func (c *caller) withSession(then func()) {
	if c.session != "" {
		then()
		return
	}
	c.openSession(func() { c.withSession(then) })
}

func (c *caller) beginTransaction() {
	c.request(c.newEvent("begin", "", ""), httppool.Op{Kind: httppool.OpBegin}, func(event standin.Event, isOn bool) {
		if !isOn || event.Outcome != "done" {
			c.runAfterRetry(event)
			return
		}
		c.runInTransaction(nil, 1+c.random.IntN(3))
	})
}

func (c *caller) runInTransaction(requestIDs []string, left int) {
	if left == 0 {
		c.endTransaction(requestIDs)
		return
	}
	if c.drawFromDeck(25) == 0 {
		c.fleet.recordAbandoned(c, requestIDs)
		c.leave()
		c.runNext()
		return
	}
	id := c.nextRequestID()
	text := fmt.Sprintf("hold %s by %s x", id, c.name)
	c.request(c.newEvent("inside", id, text), httppool.Op{Kind: httppool.OpRun, Text: text, Write: true, RequestID: id}, func(event standin.Event, isOn bool) {
		requestIDs = append(requestIDs, id)
		if !isOn {
			c.fleet.recordAbandoned(c, requestIDs)
			c.runAfterRetry(event)
			return
		}
		if event.Outcome != "done" {
			c.rollback(requestIDs)
			return
		}
		c.after(c.thinkTime()/4, func() { c.runInTransaction(requestIDs, left-1) })
	})
}

func (c *caller) rollback(requestIDs []string) {
	event := c.newEvent("rollback", "", "")
	event.Gos = requestIDs
	c.request(event, httppool.Op{Kind: httppool.OpRollback}, func(event standin.Event, _ bool) { c.onTransactionEnd(event) })
}

func (c *caller) endTransaction(requestIDs []string) {
	if c.drawFromDeck(8) == 0 {
		c.rollback(requestIDs)
		return
	}
	c.commit(c.nextRequestID(), requestIDs, 0)
}

func (c *caller) commit(id string, requestIDs []string, again int) {
	event := c.newEvent("commit", id, "")
	event.Gos, event.IsAgain = requestIDs, again > 0
	c.request(event, httppool.Op{Kind: httppool.OpCommit, RequestID: id}, func(event standin.Event, _ bool) {
		isOpen := event.Outcome == "unknown" || event.Outcome == "cut"
		if !isOpen || again >= 3 {
			c.onTransactionEnd(event)
			return
		}
		c.after(c.simulator.randomDuration(20*time.Millisecond, 300*time.Millisecond), func() {
			c.withSession(func() { c.commit(id, requestIDs, again+1) })
		})
	})
}

func (c *caller) onTransactionEnd(event standin.Event) {
	if !c.fleet.config.IndependentDraws && event.Outcome != "done" && event.Outcome != "kept" {
		c.leave()
	}
	c.runAfterRetry(event)
}

func (f *fleet) recordAbandoned(c *caller, requestIDs []string) {
	event := c.newEvent("rollback", "", "")
	event.Gos, event.Got, event.Outcome = requestIDs, int64(c.simulator.now), "left"
	f.events = append(f.events, event)
}
