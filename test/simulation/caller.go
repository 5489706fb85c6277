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
	fleet    *fleet
	database string
	freshMS  int
	home     *node
	remote   string
	remotes  int
	session  string
	count    int
	marks    map[string]model.Position
	setting  string
	prepared string
	random   *rand.Rand
	cut      func()
	isReader bool
	isReset  bool
	decks    map[int][]int
}

func (f *fleet) startCallers(seed uint64) {
	for at := range f.shape.Callers {
		one := &caller{
			machine: machine{world: f.world, name: fmt.Sprintf("caller%d", at), isUp: true}, fleet: f,
			database: f.databases[at%len(f.databases)], freshMS: bounds[at%len(bounds)], random: rand.New(rand.NewPCG(seed, uint64(at)+99)),
			marks: map[string]model.Position{}, decks: map[int][]int{}, isReader: at%6 == 1 || at%6 == 2,
		}
		one.do(f.world.between(0, 100*time.Millisecond), one.live)
	}
}

func (c *caller) think() time.Duration {
	return time.Duration(c.random.ExpFloat64() * float64(60*time.Millisecond) / c.fleet.rush)
}

func (c *caller) leave() {
	if c.home == nil {
		return
	}
	home, remote := c.home, c.remote
	home.remotes = slices.DeleteFunc(home.remotes, func(one *caller) bool { return one == c })
	c.home, c.session, c.setting, c.prepared = nil, "", "", ""
	c.world.stream(&c.machine, &home.machine, func() {
		home.step(func(now time.Duration) { home.hall.Gone(remote, now) })
	})
}

func (c *caller) homeDied(home *node, isVanished bool) {
	if c.home != home {
		return
	}
	c.home, c.session, c.setting, c.prepared = nil, "", "", ""
	if cut := c.cut; cut != nil && !isVanished {
		c.do(time.Millisecond, cut)
	}
}

func (c *caller) live() {
	if c.home != nil && c.random.IntN(60) == 0 {
		c.leave()
	}
	if c.session == "" {
		c.open(c.live)
		return
	}
	c.turn()
}

func (c *caller) next() { c.do(c.think(), c.live) }

func (c *caller) open(then func()) {
	c.leave()
	home := c.fleet.nodes[c.random.IntN(len(c.fleet.nodes))]
	if !home.isUp || home.isGone || c.fleet.removed[home.name] {
		c.do(50*time.Millisecond, then)
		return
	}
	c.remotes++
	remote := fmt.Sprintf("%s#%d", c.name, c.remotes)
	c.home, c.remote = home, remote
	home.remotes = append(home.remotes, c)
	isOver, sent := false, int64(c.world.now)
	over := func(session string, sequence uint64, wait time.Duration) {
		if isOver {
			return
		}
		isOver = true
		c.cut = nil
		if session != "" && c.home == home && c.remote == remote {
			c.session, c.count = session, 0
			event := c.event("open", "", "")
			event.Sent, event.Outcome, event.Sequence = sent, "done", sequence
			event.Got = int64(c.world.now)
			c.fleet.events = append(c.fleet.events, event)
			then()
			return
		}
		c.leave()
		c.do(wait, then)
	}
	c.cut = func() { over("", 0, 50*time.Millisecond) }
	c.do(time.Second, c.cut)
	marks := maps.Clone(c.marks)
	binding := bindingOf(c.database, c.freshMS)
	c.world.stream(&c.machine, &home.machine, func() {
		home.step(func(now time.Duration) {
			opened, refusal, _ := home.hall.Open(binding, remote, marks, now)
			c.world.stream(&home.machine, &c.machine, func() {
				over(opened.Session, opened.Sequence, refusal.Retry+c.think())
			})
		})
	})
}

func (c *caller) event(kind, id, text string) standin.Event {
	event := standin.Event{
		Caller: c.name, Session: c.session, Kind: kind, Database: c.database, FreshMS: c.freshMS, Go: id, Text: text,
		Sent: int64(c.world.now), WantSet: c.setting,
	}
	if c.home != nil {
		event.Door = c.home.name
	}
	return event
}

func (c *caller) nextGo() string {
	c.count++
	return fmt.Sprintf("%s.%d", c.session, c.count)
}

const patience = 6500 * time.Millisecond

func (c *caller) ask(event standin.Event, op httppool.Op, done func(standin.Event, bool)) {
	f := c.fleet
	isOver := false
	f.outs++
	number := f.outs
	f.out[number] = event
	home, remote := c.home, c.remote
	finish := func(told httppool.Result, isCut bool) {
		if isOver {
			return
		}
		isOver = true
		c.cut = nil
		delete(f.out, number)
		event.Outcome, event.Error, event.Sequence, event.Got = told.Outcome, told.Fault, told.Sequence, int64(c.world.now)
		event.RetryMS = told.Retry.Milliseconds()
		event.Position = standin.Position{Term: told.Position.Term, Index: told.Position.Index}
		if isCut {
			event.Outcome = "cut"
			if c.isReset {
				event.Error = history.ResetByRun
			}
		}
		c.isReset = false
		var got rows
		if len(told.Rows) > 0 && json.Unmarshal(told.Rows, &got) == nil {
			event.Upto, event.Settings, event.RanText = got.Upto, got.Settings, got.Text
		}
		f.events = append(f.events, event)
		c.world.note("%s %s %s %s %v upto %v seq %d via %s: %s", c.name, event.Kind, event.Go, event.Outcome, event.Position, event.Upto, event.Sequence, event.Door, event.Error)
		for database, position := range told.Marks {
			c.marks[database] = c.marks[database].Later(position)
		}
		isOn := !isCut && !told.IsClosed && told.Cause != httppool.CauseNoSession && told.Cause != httppool.CauseNoBinding
		if !isOn && c.remote == remote {
			c.leave()
		}
		done(event, isOn)
	}
	c.cut = func() { finish(httppool.Result{}, true) }
	c.do(patience, c.cut)
	if home == nil || !home.isUp {
		c.do(time.Millisecond, c.cut)
		return
	}
	life, session := home.life, c.session
	bound := time.Duration(0)
	if !c.fleet.isMirrored && c.random.IntN(12) == 0 {
		bound = time.Duration(5+c.random.IntN(400)) * time.Millisecond
		event.DeadMS = bound.Milliseconds()
	}
	c.world.stream(&c.machine, &home.machine, func() {
		home.enter(session, op, bound, func(told httppool.Result) {
			if home.life == life {
				c.world.stream(&home.machine, &c.machine, func() {
					if c.home == home && c.remote == remote {
						finish(told, false)
					}
				})
			}
		})
	})
}

func (c *caller) deal(count int) int {
	if c.fleet.shape.IsDiced {
		return c.random.IntN(count)
	}
	if len(c.decks[count]) == 0 {
		c.decks[count] = c.random.Perm(count)
	}
	first := c.decks[count][0]
	c.decks[count] = c.decks[count][1:]
	return first
}

func (c *caller) draw() int {
	if c.fleet.shape.IsDiced {
		return c.random.IntN(100)
	}
	return c.deal(10)*10 + c.random.IntN(10)
}

func (c *caller) turn() {
	draw := c.draw()
	ways := []struct {
		part int
		act  func()
	}{{42, c.read}, {40, c.write}, {10, c.transact}, {3, c.set}, {3, c.prepare}, {100, c.usePrepared}}
	if c.isReader {
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

func (c *caller) wait(event standin.Event) {
	c.do(time.Duration(event.RetryMS)*time.Millisecond+c.think(), c.live)
}

func (c *caller) read() {
	text := fmt.Sprintf("look by %s %d", c.name, c.random.IntN(1e6))
	c.ask(c.event("read", "", text), httppool.Op{Act: httppool.ActRun, Text: text}, func(event standin.Event, _ bool) { c.wait(event) })
}

func (c *caller) set() {
	value := c.session
	c.ask(c.event("set", "", ""), httppool.Op{Act: httppool.ActSet, Name: "app", Value: value}, func(event standin.Event, isOn bool) {
		if isOn && event.Outcome == "done" {
			c.setting = value
		}
		c.wait(event)
	})
}

func (c *caller) prepare() {
	text := fmt.Sprintf("look by %s prepared %d", c.name, c.random.IntN(1e6))
	c.ask(c.event("prepare", "", ""), httppool.Op{Act: httppool.ActPrepare, Name: "p", Text: text}, func(event standin.Event, isOn bool) {
		if isOn && event.Outcome == "done" {
			c.prepared = text
		}
		c.wait(event)
	})
}

func (c *caller) usePrepared() {
	if c.prepared == "" {
		c.read()
		return
	}
	c.ask(c.event("read", "", c.prepared), httppool.Op{Act: httppool.ActRun, Prepared: "p"}, func(event standin.Event, _ bool) { c.wait(event) })
}

func (c *caller) write() {
	id := c.nextGo()
	text := fmt.Sprintf("book %s by %s x", id, c.name)
	c.writeGo(id, text, 0)
}

func (c *caller) writeGo(id, text string, again int) {
	event := c.event("write", id, text)
	event.IsAgain = again > 0
	c.ask(event, httppool.Op{Act: httppool.ActRun, Text: text, IsWrite: true, Go: id}, func(event standin.Event, _ bool) {
		isOpen := event.Outcome == "unknown" || event.Outcome == "cut"
		if !isOpen || again >= 3 {
			c.wait(event)
			return
		}
		c.do(time.Duration(event.RetryMS)*time.Millisecond/4+c.world.between(20*time.Millisecond, 300*time.Millisecond), func() {
			if c.random.IntN(3) > 0 {
				c.leave()
			}
			c.back(func() { c.writeGo(id, text, again+1) })
		})
	})
}

func (c *caller) back(then func()) {
	if c.session != "" {
		then()
		return
	}
	c.open(func() { c.back(then) })
}

func (c *caller) transact() {
	c.ask(c.event("begin", "", ""), httppool.Op{Act: httppool.ActBegin}, func(event standin.Event, isOn bool) {
		if !isOn || event.Outcome != "done" {
			c.wait(event)
			return
		}
		c.inside(nil, 1+c.random.IntN(3))
	})
}

func (c *caller) inside(gos []string, left int) {
	if left == 0 {
		c.end(gos)
		return
	}
	if c.deal(25) == 0 {
		c.fleet.walkedOff(c, gos)
		c.leave()
		c.next()
		return
	}
	id := c.nextGo()
	text := fmt.Sprintf("hold %s by %s x", id, c.name)
	c.ask(c.event("inside", id, text), httppool.Op{Act: httppool.ActRun, Text: text, IsWrite: true, Go: id}, func(event standin.Event, isOn bool) {
		gos = append(gos, id)
		if !isOn {
			c.fleet.walkedOff(c, gos)
			c.wait(event)
			return
		}
		if event.Outcome != "done" {
			c.rollback(gos)
			return
		}
		c.do(c.think()/4, func() { c.inside(gos, left-1) })
	})
}

func (c *caller) rollback(gos []string) {
	event := c.event("rollback", "", "")
	event.Gos = gos
	c.ask(event, httppool.Op{Act: httppool.ActRollback}, func(event standin.Event, _ bool) { c.ended(event) })
}

func (c *caller) end(gos []string) {
	if c.deal(8) == 0 {
		c.rollback(gos)
		return
	}
	c.commit(c.nextGo(), gos, 0)
}

func (c *caller) commit(id string, gos []string, again int) {
	event := c.event("commit", id, "")
	event.Gos, event.IsAgain = gos, again > 0
	c.ask(event, httppool.Op{Act: httppool.ActCommit, Go: id}, func(event standin.Event, _ bool) {
		isOpen := event.Outcome == "unknown" || event.Outcome == "cut"
		if !isOpen || again >= 3 {
			c.ended(event)
			return
		}
		c.do(c.world.between(20*time.Millisecond, 300*time.Millisecond), func() {
			c.back(func() { c.commit(id, gos, again+1) })
		})
	})
}

func (c *caller) ended(event standin.Event) {
	if !c.fleet.shape.IsDiced && event.Outcome != "done" && event.Outcome != "kept" {
		c.leave()
	}
	c.wait(event)
}

func (f *fleet) walkedOff(c *caller, gos []string) {
	event := c.event("rollback", "", "")
	event.Gos, event.Got, event.Outcome = gos, int64(c.world.now), "left"
	f.events = append(f.events, event)
}
