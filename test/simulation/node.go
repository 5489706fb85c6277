package simulation

import (
	"fmt"
	"reflect"
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/state/model"
)

type node struct {
	machine
	fleet   *fleet
	hall    *httppool.Machine
	births  int
	guess   int
	misses  int
	asked   uint64
	conns   []*conn
	counts  map[string]int64
	remotes []*caller
	isGone  bool
	beta    float64
	mirrors map[string]*mirror
}

func (n *node) start() {
	if n.isUp {
		return
	}
	n.isUp, n.isFrozen, n.backlog = true, false, nil
	n.births++
	n.counts = map[string]int64{}
	place := httppool.Place{Name: n.name, Zone: n.zone, Birth: fmt.Sprint(n.births), Beta: 1}
	n.hall = httppool.New(place, httppool.DefaultTiming(), func(name string, by int64) { n.counts[name] += by })
	n.conns, n.mirrors = nil, map[string]*mirror{}
	n.world.note("%s up", n.name)
	n.do(time.Millisecond, n.ask)
	n.do(20*time.Millisecond, n.beat)
}

func (n *node) onCrash(isVanished bool) {
	for _, c := range n.conns {
		c.nodeDied(isVanished)
	}
	for _, one := range n.remotes {
		one.homeDied(n, isVanished)
	}
	n.remotes = nil
}

func (n *node) step(act func(now time.Duration)) {
	act(n.clock())
	for _, effect := range n.hall.Effects() {
		carriers[reflect.TypeOf(effect)](n, effect)
	}
}

func (n *node) later(most time.Duration, act func(now time.Duration)) {
	n.do(n.world.between(0, most), func() { n.step(act) })
}

var carriers map[reflect.Type]func(*node, httppool.Effect)

func on[T httppool.Effect](act func(*node, T)) {
	carriers[reflect.TypeFor[T]()] = func(n *node, effect httppool.Effect) { act(n, effect.(T)) }
}

func init() {
	carriers = map[reflect.Type]func(*node, httppool.Effect){}
	on(func(_ *node, tell httppool.Tell) { tell.Job.Token.(func(httppool.Result))(tell.Result) })
	on(func(n *node, admit httppool.Admit) {
		n.later(200*time.Microsecond, func(now time.Duration) { n.hall.Join(admit.Job, now) })
	})
	on(func(n *node, forward httppool.Forward) {
		if held := n.mirrorOf(forward.Job.Instance()); held != nil {
			held.take()
		}
		n.later(300*time.Microsecond, func(now time.Duration) { n.hall.Pass(forward.Job, now) })
	})
	on(func(n *node, send httppool.Send) {
		sent := n.clock()
		n.do(n.world.between(0, 100*time.Microsecond), func() { n.send(send, sent) })
	})
	on(func(n *node, open httppool.Open) { n.open(open) })
	on(func(_ *node, shut httppool.Shut) {
		if c, isOpen := shut.Wire.Link.(*conn); isOpen {
			c.shut()
		}
	})
	on(func(n *node, seek httppool.Seek) { n.seek(seek) })
	on(func(n *node, watch httppool.Watch) { n.watch(n.fleet.instanceBy(watch.Instance)) })
	on(func(n *node, _ httppool.Report) { n.do(20*time.Millisecond, n.tell) })
	on(func(n *node, turned httppool.Turned) {
		after := turned.Moved.After
		if after.Phase != model.PhaseOpen {
			n.fleet.ambush()
		}
		n.world.note("%s holds %s: term %d %s at %s", n.name, turned.Moved.Database, after.Term, after.Phase, after.Primary)
	})
	on(func(n *node, shown httppool.Shown) { n.world.note("%s serves under %d", n.name, shown.Sequence) })
}

func (n *node) send(send httppool.Send, sent time.Duration) {
	c := send.Wire.Link.(*conn)
	isOver := false
	c.request(send.Op, func(reply httppool.Reply, isBroken bool) {
		if isOver {
			return
		}
		isOver = true
		isAgain := isBroken && n.fleet.plant.IsResending && !c.isReset
		if isAgain {
			n.send(send, sent)
			return
		}
		n.step(func(now time.Duration) {
			n.hall.Answered(send.Job, reply, isBroken, now)
			if held := n.mirrorOf(c.inst.name); held != nil {
				held.done(now - sent)
			}
		})
	})
}

func (n *node) open(open httppool.Open) {
	target := n.fleet.instanceBy(open.Address)
	c := &conn{node: n, nodeLife: n.life, inst: target, wire: open.Wire}
	isOver := false
	over := func(reply httppool.Reply, isOpen bool) {
		if isOver {
			return
		}
		isOver = true
		if isOpen {
			n.conns = append(n.conns, c)
		} else {
			c.reset()
		}
		n.step(func(now time.Duration) {
			open.Wire.Link = c
			n.hall.Opened(open.Wire, reply, isOpen, now)
		})
	}
	n.do(1600*time.Millisecond, func() { over(httppool.Reply{}, false) })
	n.world.send(&n.machine, &target.machine, func() {
		c.accept()
		c.request(httppool.Op{Act: httppool.ActOpen}, func(reply httppool.Reply, isBroken bool) { over(reply, !isBroken) })
	})
	if !target.isUp && !target.isVanished {
		n.do(2*time.Millisecond, func() { over(httppool.Reply{}, false) })
	}
}

func (n *node) ask() {
	n.asked++
	number, sent := n.asked, n.clock()
	var ask distribution.AskNews
	n.step(func(now time.Duration) { ask = n.hall.Ask(now) })
	target := n.fleet.controls[n.guess%len(n.fleet.controls)]
	n.do(600*time.Millisecond, func() {
		if n.asked == number {
			n.misses++
			if n.misses%2 == 0 {
				n.guess++
			}
			n.ask()
		}
	})
	take := func(news distribution.News) {
		if n.asked == number {
			n.take(news, sent)
		}
	}
	if n.misses%2 == 1 {
		peer := n.fleet.nodes[n.world.random.IntN(len(n.fleet.nodes))]
		n.world.send(&n.machine, &peer.machine, func() {
			n.world.send(&peer.machine, &target.machine, func() {
				target.onAskNews(ask, func(news distribution.News) {
					n.world.send(&target.machine, &peer.machine, func() {
						n.world.send(&peer.machine, &n.machine, func() { take(news) })
					})
				})
			})
		})
		return
	}
	n.world.send(&n.machine, &target.machine, func() {
		target.onAskNews(ask, func(news distribution.News) {
			n.world.send(&target.machine, &n.machine, func() { take(news) })
		})
	})
}

func (n *node) take(news distribution.News, sent time.Duration) {
	if !news.IsPrimary {
		n.asked++
		n.misses++
		for at, disk := range n.fleet.controls {
			if disk.name == news.Record.Primary && n.misses%4 != 3 {
				n.guess = at
			} else if n.misses%4 == 3 {
				n.guess++
				break
			}
		}
		n.do(30*time.Millisecond, n.ask)
		return
	}
	n.misses = 0
	if n.fleet.plant.IsLeaseless {
		news.Lease *= 100
	}
	if news.Doc != nil {
		n.fleet.took(n.name, news.Doc.Sets)
	}
	n.step(func(now time.Duration) { n.hall.Took(news, sent, now) })
	n.ask()
}

func (n *node) seen(info model.Instance) model.Instance {
	if n.fleet.plant.IsStubborn {
		info.IsLeaving = false
	}
	if n.fleet.plant.IsLyingAhead {
		for _, one := range n.fleet.instances {
			if one.database == info.Database && one.birth != "" && info.Position.IsBefore(one.position()) {
				info.Position = one.position()
			}
		}
	}
	if n.fleet.plant.IsLyingBehind && info.Role == model.RolePrimary {
		info.Position = n.fleet.instanceBy(info.Name).behind(4 * time.Second)
	}
	return info
}

func (n *node) onInstance(info model.Instance) {
	info = n.seen(info)
	n.step(func(now time.Duration) { n.hall.Announced(info, now) })
}

func (n *node) watch(target *instance) {
	_, after, isOn := n.hall.Following(target.name, n.clock())
	if !isOn {
		return
	}
	isOver := false
	again := func() {
		if !isOver {
			isOver = true
			n.watch(target)
		}
	}
	sent, life := n.clock(), n.life
	n.do(time.Second, again)
	n.world.send(&n.machine, &target.machine, func() {
		target.past(after, 80*time.Millisecond, func() {
			info := target.info()
			n.world.send(&target.machine, &n.machine, func() {
				if isOver || n.life != life {
					return
				}
				info = n.seen(info)
				reply := httppool.Reply{Birth: info.Birth, Role: info.Role, Term: info.Term, Position: info.Position, IsLeave: info.IsLeaving}
				n.step(func(now time.Duration) { n.hall.Looked(target.name, reply, sent, now) })
				again()
			})
		})
	})
}

func (n *node) tell() {
	told := n.hall.Told(n.clock())
	target := n.fleet.controls[n.guess%len(n.fleet.controls)]
	n.world.send(&n.machine, &target.machine, func() { target.steer.Gather(told, target.clock()) })
}

func (n *node) beat() {
	n.do(20*time.Millisecond, n.beat)
	count := 0
	for _, one := range n.fleet.nodes {
		if one.isUp {
			count++
		}
	}
	n.step(func(now time.Duration) {
		n.hall.Beat(count, n.beta, now)
		n.mirrorBeat(now)
	})
}

func (n *node) seek(seek httppool.Seek) {
	other := n.fleet.nodeBy(seek.Target)
	isOver, life := false, n.life
	over := func(answer idempotency.Answer, isAnswered bool) {
		if isOver || n.life != life {
			return
		}
		isOver = true
		n.step(func(now time.Duration) { n.hall.Heard(seek.Job, seek.Target, answer, isAnswered, now) })
	}
	if n.fleet.plant.IsForgetful {
		n.do(time.Millisecond, func() { over(idempotency.Answer{Standing: idempotency.Never}, true) })
		return
	}
	if other == nil {
		n.do(time.Millisecond, func() { over(idempotency.Answer{}, false) })
		return
	}
	n.do(800*time.Millisecond, func() { over(idempotency.Answer{}, false) })
	ask := idempotency.Ask{Go: seek.Job.Go(), By: n.name}
	n.world.send(&n.machine, &other.machine, func() {
		answer := other.hall.OnAsk(ask, other.clock())
		n.world.send(&other.machine, &n.machine, func() { over(answer, true) })
	})
}

func (n *node) enter(session string, op httppool.Op, bound time.Duration, told func(httppool.Result)) {
	n.step(func(now time.Duration) {
		j, refusal, isIn := n.hall.Enter(session, op, bound, told, now)
		if !isIn {
			told(refusal)
			return
		}
		n.do(j.Deadline()-now, func() {
			n.step(func(now time.Duration) { n.hall.GiveUp(j, now) })
		})
		n.later(300*time.Microsecond, func(now time.Duration) { n.hall.Bind(j, now) })
	})
}

const finishBound = 5500 * time.Millisecond

func (n *node) stop(span time.Duration) {
	if !n.isUp || n.isFrozen || n.isGone {
		return
	}
	n.isGone = true
	from, life, freezes := n.world.now, n.life, n.freezes
	n.world.note("%s told to stop", n.name)
	n.step(n.hall.Leave)
	until := n.world.now + finishBound
	end := func() {
		n.step(func(time.Duration) { n.hall.Part() })
		n.bequeath()
		linger := 700 * time.Millisecond
		if n.fleet.plant.IsHasty {
			linger = 0
		}
		n.do(linger, func() {
			n.isGone = false
			if n.freezes == freezes {
				n.fleet.restarted(n, from)
			}
			n.fleet.bounce(&n.machine, n.start, span)
		})
	}
	var look func()
	look = func() {
		if n.hall.Busy() == 0 || n.fleet.plant.IsHasty || n.world.now >= until {
			end()
			return
		}
		n.do(20*time.Millisecond, look)
	}
	look()
	n.world.after(finishBound+2*time.Second, func() {
		if n.life != life {
			n.isGone = false
		}
	})
}

func (n *node) bequeath() {
	var heir *node
	for _, other := range n.fleet.nodes {
		if other != n && other.isUp && !other.isGone {
			heir = other
			break
		}
	}
	if heir == nil {
		return
	}
	left := n.hall.Goes().Leave(heir.name)
	for _, other := range n.fleet.nodes {
		if other == n {
			continue
		}
		word := idempotency.Legacy{Node: left.Node, Birth: left.Birth, Heir: left.Heir}
		if other == heir {
			word = left
		}
		n.world.send(&n.machine, &other.machine, func() { other.hall.Inherit(word, other.clock()) })
	}
}
