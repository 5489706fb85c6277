package simulation

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/state/model"
	"tansyseam/test/standin"
)

type conn struct {
	node     *node
	nodeLife int
	inst     *instance
	instLife int
	wire     *httppool.Wire
	id       string
	to, from stream
	isReset  bool
	waiting  func(httppool.Reply, bool)

	isOpen   bool
	settings map[string]string
	prepared map[string]string
	turn     *simTurn
}

type simTurn struct {
	id    string
	gos   []string
	texts []string
}

type stream struct {
	queue  []func()
	isBusy bool
}

func (c *conn) accept() {
	c.instLife = c.inst.life
	c.inst.connsMade++
	c.id = fmt.Sprintf("%s.%d", c.inst.name, c.inst.connsMade)
	c.settings, c.prepared = map[string]string{}, map[string]string{}
	c.inst.conns = append(c.inst.conns, c)
}

func (c *conn) push(s *stream, from, to *machine, life int, act func()) {
	s.queue = append(s.queue, act)
	if !s.isBusy {
		s.isBusy = true
		c.node.world.after(c.trip(), func() { c.flow(s, from, to, life) })
	}
}

func (c *conn) trip() time.Duration {
	w := c.node.world
	trip := w.between(200*time.Microsecond, 2500*time.Microsecond)
	if w.drop > 0 && w.chance(w.drop) {
		trip += w.between(200*time.Millisecond, 400*time.Millisecond)
	}
	return trip
}

func (c *conn) flow(s *stream, from, to *machine, life int) {
	w := c.node.world
	isBarred := w.cuts[[2]string{from.name, to.name}] || (!to.isUp && to.isVanished)
	if isBarred && !c.isReset {
		w.after(200*time.Millisecond, func() { c.flow(s, from, to, life) })
		return
	}
	if c.isReset || len(s.queue) == 0 {
		s.queue, s.isBusy = nil, false
		return
	}
	if !to.isUp || to.life != life {
		c.reset()
		return
	}
	act := s.queue[0]
	s.queue = s.queue[1:]
	to.enter(life, act)
	w.after(w.between(10*time.Microsecond, 200*time.Microsecond), func() { c.flow(s, from, to, life) })
}

func (c *conn) request(op httppool.Op, done func(httppool.Reply, bool)) {
	if c.isReset {
		c.node.do(100*time.Microsecond, func() { done(httppool.Reply{}, true) })
		return
	}
	c.waiting = done
	c.push(&c.to, &c.node.machine, &c.inst.machine, c.instLife, func() { c.inst.run(c, op) })
}

func (c *conn) answer(reply httppool.Reply) {
	c.push(&c.from, &c.inst.machine, &c.node.machine, c.nodeLife, func() {
		done := c.waiting
		c.waiting = nil
		if done != nil {
			done(reply, false)
		}
	})
}

func (c *conn) lose() {
	if c.node.life != c.nodeLife {
		return
	}
	c.node.do(100*time.Microsecond, func() {
		done := c.waiting
		c.waiting = nil
		if done != nil {
			done(httppool.Reply{}, true)
		}
	})
}

func (c *conn) reset() {
	if c.isReset {
		return
	}
	c.isReset = true
	c.to.queue, c.from.queue = nil, nil
	c.inst.gone(c)
	if c.node.life == c.nodeLife && c.node.isUp {
		c.node.do(500*time.Microsecond, func() {
			c.node.step(func(now time.Duration) { c.node.hall.Lost(c.wire, now) })
		})
		c.lose()
	}
}

func (c *conn) shut() {
	c.lose()
	c.push(&c.to, &c.node.machine, &c.inst.machine, c.instLife, c.reset)
}

func (c *conn) nodeDied(isVanished bool) {
	c.waiting = nil
	span := c.node.world.between(200*time.Microsecond, 3*time.Millisecond)
	if isVanished {
		span = 5 * time.Second
	}
	c.node.world.after(span, func() { c.inst.enter(c.instLife, c.reset) })
}

func (x *instance) gone(c *conn) {
	if c.isOpen {
		x.opened--
	}
	c.isOpen, c.turn = false, nil
	for at, one := range x.conns {
		if one == c {
			x.conns = append(x.conns[:at:at], x.conns[at+1:]...)
			return
		}
	}
}

func (x *instance) onCrash(isVanished bool) {
	conns := x.conns
	x.conns, x.opened, x.busy, x.line = nil, 0, 0, nil
	for _, c := range conns {
		c.isOpen, c.turn = false, nil
		if !isVanished {
			c.reset()
			continue
		}
		x.world.after(x.world.between(time.Second, 4*time.Second), c.probe)
	}
}

func (c *conn) probe() {
	if c.waiting != nil {
		c.node.world.after(time.Second, c.probe)
		return
	}
	c.reset()
}

func (x *instance) reply(c *conn) httppool.Reply {
	return httppool.Reply{
		Position: x.position(), IsClean: x.isLying || (c.turn == nil && len(c.settings)+len(c.prepared) == 0), IsInside: c.turn != nil,
		Role: x.role, Term: x.term, Birth: x.birth, IsLeave: x.leaving != 0 && !x.fleet.plant.IsStubborn,
	}
}

func (x *instance) refuse(c *conn, why string) {
	reply := x.reply(c)
	reply.IsRefused, reply.Error = true, why
	c.answer(reply)
}

func (x *instance) fail(c *conn, why string) {
	reply := x.reply(c)
	reply.IsFailed, reply.Error = true, why
	c.answer(reply)
}

type rows struct {
	Upto     standin.Position  `json:"upto"`
	Settings map[string]string `json:"settings"`
	Text     string            `json:"text"`
}

func (x *instance) done(c *conn, text string) {
	if x.lose > 0 {
		x.lose--
		if x.world.chance(0.5) || x.fleet.plant.IsResending {
			c.lose()
			return
		}
		c.reset()
		return
	}
	reply := x.reply(c)
	position := x.position()
	reply.Rows, _ = json.Marshal(rows{Upto: standin.Position{Term: position.Term, Index: position.Index}, Settings: c.settings, Text: text})
	c.answer(reply)
}

func (x *instance) guard(c *conn, op httppool.Op, isWrite bool) bool {
	if !c.isOpen || (op.Term != 0 && op.Term != x.term) || (isWrite && x.role != model.RolePrimary) {
		x.refuse(c, "not here")
		return false
	}
	return true
}

func (x *instance) work(isWrite bool, act func()) {
	begin := func() {
		x.busy++
		service := x.world.between(x.service/2, x.service)
		if !isWrite {
			service /= 2
		}
		x.do(service, func() {
			x.busy--
			if len(x.line) > 0 {
				next := x.line[0]
				x.line = x.line[1:]
				next()
			}
			act()
		})
	}
	if x.busy < x.fleet.shape.Slots {
		begin()
		return
	}
	x.line = append(x.line, begin)
}

func (x *instance) note(c *conn, op httppool.Op, text string) {
	ran := standin.Ran{
		At: int64(x.world.now), Instance: x.name, Conn: c.id, Act: op.Act, Text: text, Go: op.Go, IsWrite: op.IsWrite, Term: x.term,
		Role: x.role, Leaving: x.leaving, Settings: maps.Clone(c.settings),
	}
	if c.turn != nil {
		ran.Turn = c.turn.id
	}
	x.ran = append(x.ran, ran)
}

var acts = map[string]func(*instance, *conn, httppool.Op){
	httppool.ActOpen: func(x *instance, c *conn, _ httppool.Op) {
		if x.opened >= x.fleet.shape.Connections {
			x.refuse(c, "connections are capped")
			return
		}
		c.isOpen = true
		x.opened++
		x.most = max(x.most, x.opened)
		c.answer(x.reply(c))
	},
	httppool.ActRun: runOp,
	httppool.ActBegin: func(x *instance, c *conn, op httppool.Op) {
		if !x.guard(c, op, false) {
			return
		}
		if c.turn != nil {
			x.fail(c, "a transaction is open")
			return
		}
		x.turns++
		c.turn = &simTurn{id: fmt.Sprintf("%s/%d", c.id, x.turns)}
		x.done(c, "")
	},
	httppool.ActCommit: func(x *instance, c *conn, op httppool.Op) {
		if !x.guard(c, op, true) {
			return
		}
		if c.turn == nil {
			x.fail(c, "no transaction is open")
			return
		}
		over := c.turn
		x.work(true, func() {
			if x.role != model.RolePrimary {
				x.refuse(c, "not primary any more")
				return
			}
			x.note(c, op, "")
			c.turn = nil
			x.append(standin.Entry{Term: x.term, Index: uint64(len(x.entries)) + 1, Gos: append(over.gos, op.Go), Texts: over.texts})
			x.done(c, "")
		})
	},
	httppool.ActRollback: func(x *instance, c *conn, op httppool.Op) {
		if x.guard(c, op, false) {
			c.turn = nil
			x.done(c, "")
		}
	},
	httppool.ActSet: func(x *instance, c *conn, op httppool.Op) {
		if x.guard(c, op, false) {
			c.settings[op.Name] = op.Value
			x.done(c, "")
		}
	},
	httppool.ActPrepare: func(x *instance, c *conn, op httppool.Op) {
		if x.guard(c, op, false) {
			c.prepared[op.Name] = op.Text
			x.done(c, "")
		}
	},
}

func (x *instance) run(c *conn, op httppool.Op) { acts[op.Act](x, c, op) }

func runOp(x *instance, c *conn, op httppool.Op) {
	if !x.guard(c, op, op.IsWrite) {
		return
	}
	text := op.Text
	if op.Prepared != "" {
		held, isHeld := c.prepared[op.Prepared]
		if !isHeld {
			x.fail(c, "no such prepared statement")
			return
		}
		text = held
	}
	turn := c.turn
	x.work(op.IsWrite, func() {
		if turn != c.turn {
			return
		}
		if op.IsWrite && x.role != model.RolePrimary {
			x.refuse(c, "not primary any more")
			return
		}
		x.note(c, op, text)
		if op.IsWrite && c.turn != nil {
			c.turn.gos = append(c.turn.gos, op.Go)
			c.turn.texts = append(c.turn.texts, text)
		} else if op.IsWrite {
			x.append(standin.Entry{Term: x.term, Index: uint64(len(x.entries)) + 1, Gos: []string{op.Go}, Texts: []string{text}})
		}
		x.done(c, text)
	})
}
