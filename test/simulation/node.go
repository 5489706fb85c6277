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
	fleet         *fleet
	pool          *httppool.Machine
	starts        int
	controlIndex  int
	missedAnswers int
	lastRequest   uint64
	connections   []*connection
	counters      map[string]int64
	callers       []*caller
	stopping      bool
	weight        float64
	windowModels  map[string]*windowModel
}

func (n *node) start() {
	if n.running {
		return
	}
	n.running, n.frozen, n.deferred = true, false, nil
	n.starts++
	n.counters = map[string]int64{}
	place := httppool.Node{Name: n.name, Zone: n.zone, Incarnation: fmt.Sprint(n.starts), Weight: 1}
	n.pool = httppool.New(place, httppool.DefaultTiming(), func(name string, by int64) { n.counters[name] += by })
	n.connections, n.windowModels = nil, map[string]*windowModel{}
	n.simulator.record("%s up", n.name)
	n.after(time.Millisecond, n.requestUpdate)
	n.after(20*time.Millisecond, n.heartbeat)
}

func (n *node) onCrash(vanished bool) {
	for _, c := range n.connections {
		c.onNodeCrash(vanished)
	}
	for _, one := range n.callers {
		one.onNodeCrash(n, vanished)
	}
	n.callers = nil
}

func (n *node) step(act func(now time.Duration)) {
	act(n.clock())
	for _, effect := range n.pool.Effects() {
		effectHandlers[reflect.TypeOf(effect)](n, effect)
	}
}

func (n *node) stepAfter(most time.Duration, act func(now time.Duration)) {
	n.after(n.simulator.randomDuration(0, most), func() { n.step(act) })
}

var effectHandlers map[reflect.Type]func(*node, httppool.Effect)

func handleEffect[T httppool.Effect](act func(*node, T)) {
	effectHandlers[reflect.TypeFor[T]()] = func(n *node, effect httppool.Effect) { act(n, effect.(T)) }
}

func init() {
	effectHandlers = map[reflect.Type]func(*node, httppool.Effect){}
	handleEffect(func(_ *node, tell httppool.Respond) { tell.Request.Token.(func(httppool.Result))(tell.Result) })
	handleEffect(func(n *node, admit httppool.Enqueue) {
		n.stepAfter(200*time.Microsecond, func(now time.Duration) { n.pool.Enqueue(admit.Request, now) })
	})
	handleEffect(func(n *node, forward httppool.Forward) {
		if held := n.windowModelFor(forward.Request.Instance()); held != nil {
			held.begin()
		}
		n.stepAfter(300*time.Microsecond, func(now time.Duration) { n.pool.Forward(forward.Request, now) })
	})
	handleEffect(func(n *node, send httppool.Send) {
		sent := n.clock()
		n.after(n.simulator.randomDuration(0, 100*time.Microsecond), func() { n.send(send, sent) })
	})
	handleEffect(func(n *node, open httppool.OpenConn) { n.open(open) })
	handleEffect(func(_ *node, shut httppool.CloseConn) {
		if c, isOpen := shut.Conn.Transport.(*connection); isOpen {
			c.close()
		}
	})
	handleEffect(func(n *node, seek httppool.Lookup) { n.lookUpRequest(seek) })
	handleEffect(func(n *node, watch httppool.Watch) { n.watchInstance(n.fleet.findInstance(watch.Instance)) })
	handleEffect(func(n *node, _ httppool.Report) { n.after(20*time.Millisecond, n.sendReport) })
	handleEffect(func(n *node, turned httppool.WriterChanged) {
		after := turned.Change.Current
		if after.Phase != model.PhaseOpen {
			n.fleet.maybeInjectFollowUp()
		}
		n.simulator.record("%s holds %s: term %d %s at %s", n.name, turned.Change.Database, after.Term, after.Phase, after.Primary)
	})
	handleEffect(func(n *node, shown httppool.BindingsActivated) {
		n.simulator.record("%s serves under %d", n.name, shown.Set.Sequence)
	})
}

func (n *node) send(send httppool.Send, sent time.Duration) {
	c := send.Conn.Transport.(*connection)
	finished := false
	c.request(send.Op, func(reply httppool.Reply, broken bool) {
		if finished {
			return
		}
		finished = true
		isAgain := broken && n.fleet.defects.ResendUnanswered && !c.closed
		if isAgain {
			n.send(send, sent)
			return
		}
		n.step(func(now time.Duration) {
			n.pool.ReplyReceived(send.Request, reply, broken, now)
			if held := n.windowModelFor(c.instance.name); held != nil {
				held.finish(now - sent)
			}
		})
	})
}

func (n *node) open(open httppool.OpenConn) {
	target := n.fleet.findInstance(open.Address)
	c := &connection{node: n, nodeIncarnation: n.incarnation, instance: target, wire: open.Conn}
	finished := false
	over := func(reply httppool.Reply, isOpen bool) {
		if finished {
			return
		}
		finished = true
		if isOpen {
			n.connections = append(n.connections, c)
		} else {
			c.reset()
		}
		n.step(func(now time.Duration) {
			open.Conn.Transport = c
			n.pool.ConnOpened(open.Conn, reply, isOpen, now)
		})
	}
	n.after(1600*time.Millisecond, func() { over(httppool.Reply{}, false) })
	n.simulator.send(&n.machine, &target.machine, func() {
		c.accept()
		c.request(httppool.Op{Kind: httppool.OpOpen}, func(reply httppool.Reply, broken bool) { over(reply, !broken) })
	})
	if !target.running && !target.vanished {
		n.after(2*time.Millisecond, func() { over(httppool.Reply{}, false) })
	}
}

func (n *node) requestUpdate() {
	n.lastRequest++
	number, sent := n.lastRequest, n.clock()
	var request distribution.UpdateRequest
	n.step(func(now time.Duration) { request = n.pool.UpdateRequest(now) })
	target := n.fleet.controls[n.controlIndex%len(n.fleet.controls)]
	n.after(600*time.Millisecond, func() {
		if n.lastRequest == number {
			n.missedAnswers++
			if n.missedAnswers%2 == 0 {
				n.controlIndex++
			}
			n.requestUpdate()
		}
	})
	take := func(update distribution.Update) {
		if n.lastRequest == number {
			n.applyUpdate(update, sent)
		}
	}
	if n.missedAnswers%2 == 1 {
		peer := n.fleet.nodes[n.simulator.random.IntN(len(n.fleet.nodes))]
		n.simulator.send(&n.machine, &peer.machine, func() {
			n.simulator.send(&peer.machine, &target.machine, func() {
				target.onUpdateRequest(request, func(update distribution.Update) {
					n.simulator.send(&target.machine, &peer.machine, func() {
						n.simulator.send(&peer.machine, &n.machine, func() { take(update) })
					})
				})
			})
		})
		return
	}
	n.simulator.send(&n.machine, &target.machine, func() {
		target.onUpdateRequest(request, func(update distribution.Update) {
			n.simulator.send(&target.machine, &n.machine, func() { take(update) })
		})
	})
}

func (n *node) applyUpdate(update distribution.Update, sent time.Duration) {
	if !update.FromPrimary {
		n.lastRequest++
		n.missedAnswers++
		for at, control := range n.fleet.controls {
			if control.name == update.Record.Primary && n.missedAnswers%4 != 3 {
				n.controlIndex = at
			} else if n.missedAnswers%4 == 3 {
				n.controlIndex++
				break
			}
		}
		n.after(30*time.Millisecond, n.requestUpdate)
		return
	}
	n.missedAnswers = 0
	if n.fleet.defects.OverlongLeases {
		update.LeaseDuration *= 100
	}
	if update.Snapshot != nil {
		n.fleet.recordServedSets(n.name, update.Snapshot.Sets)
	}
	n.step(func(now time.Duration) { n.pool.ApplyUpdate(update, sent, now) })
	n.requestUpdate()
}

func (n *node) distort(info model.Instance) model.Instance {
	if n.fleet.defects.IgnoreLeaving {
		info.Leaving = false
	}
	if n.fleet.defects.InflatedReplicaPositions {
		for _, one := range n.fleet.instances {
			if one.database == info.Database && one.incarnationName != "" && info.Position.IsBefore(one.position()) {
				info.Position = one.position()
			}
		}
	}
	if n.fleet.defects.OutdatedPrimaryPositions && info.Role == model.RolePrimary {
		info.Position = n.fleet.findInstance(info.Name).positionBefore(4 * time.Second)
	}
	return info
}

func (n *node) onAnnouncement(info model.Instance) {
	info = n.distort(info)
	n.step(func(now time.Duration) { n.pool.UpdateInstance(info, now) })
}

func (n *node) watchInstance(target *instance) {
	_, after, isOn := n.pool.WatchTarget(target.name, n.clock())
	if !isOn {
		return
	}
	finished := false
	again := func() {
		if !finished {
			finished = true
			n.watchInstance(target)
		}
	}
	sent, life := n.clock(), n.incarnation
	n.after(time.Second, again)
	n.simulator.send(&n.machine, &target.machine, func() {
		target.awaitBeyond(after, 80*time.Millisecond, func() {
			info := target.info()
			n.simulator.send(&target.machine, &n.machine, func() {
				if finished || n.incarnation != life {
					return
				}
				info = n.distort(info)
				reply := httppool.Reply{Incarnation: info.Incarnation, Role: info.Role, Term: info.Term, Position: info.Position, Leaving: info.Leaving}
				n.step(func(now time.Duration) { n.pool.InstanceStatusReceived(target.name, reply, sent, now) })
				again()
			})
		})
	})
}

func (n *node) sendReport() {
	told := n.pool.Observations(n.clock())
	target := n.fleet.controls[n.controlIndex%len(n.fleet.controls)]
	n.simulator.send(&n.machine, &target.machine, func() { target.distributor.HandleReport(told, target.clock()) })
}

func (n *node) heartbeat() {
	n.after(20*time.Millisecond, n.heartbeat)
	count := 0
	for _, one := range n.fleet.nodes {
		if one.running {
			count++
		}
	}
	n.step(func(now time.Duration) {
		n.pool.Tick(count, n.weight, now)
		n.checkWindows(now)
	})
}

func (n *node) lookUpRequest(seek httppool.Lookup) {
	other := n.fleet.findNode(seek.Node)
	finished, life := false, n.incarnation
	over := func(answer idempotency.Status, answered bool) {
		if finished || n.incarnation != life {
			return
		}
		finished = true
		n.step(func(now time.Duration) { n.pool.LookupDone(seek.Request, seek.Node, answer, answered, now) })
	}
	if n.fleet.defects.BlankIdempotencyRecords {
		n.after(time.Millisecond, func() { over(idempotency.Status{State: idempotency.StateUnseen}, true) })
		return
	}
	if other == nil {
		n.after(time.Millisecond, func() { over(idempotency.Status{}, false) })
		return
	}
	n.after(800*time.Millisecond, func() { over(idempotency.Status{}, false) })
	request := idempotency.StatusRequest{RequestID: seek.Request.RequestID(), Requester: n.name}
	n.simulator.send(&n.machine, &other.machine, func() {
		answer := other.pool.HandleStatusRequest(request, other.clock())
		n.simulator.send(&other.machine, &n.machine, func() { over(answer, true) })
	})
}

func (n *node) execute(session string, op httppool.Op, bound time.Duration, told func(httppool.Result)) {
	n.step(func(now time.Duration) {
		j, refusal, isIn := n.pool.Accept(session, op, bound, told, now)
		if !isIn {
			told(refusal)
			return
		}
		n.after(j.Deadline()-now, func() {
			n.step(func(now time.Duration) { n.pool.Cancel(j, now) })
		})
		n.stepAfter(300*time.Microsecond, func(now time.Duration) { n.pool.Bind(j, now) })
	})
}

const stopTimeout = 5500 * time.Millisecond

func (n *node) stop(span time.Duration) {
	if !n.running || n.frozen || n.stopping {
		return
	}
	n.stopping = true
	from, life, freezes := n.simulator.now, n.incarnation, n.freezeCount
	n.simulator.record("%s told to stop", n.name)
	n.step(n.pool.Drain)
	until := n.simulator.now + stopTimeout
	end := func() {
		n.step(func(time.Duration) { n.pool.DisconnectSessions() })
		n.handOverRecords()
		linger := 700 * time.Millisecond
		if n.fleet.defects.AbruptStop {
			linger = 0
		}
		n.after(linger, func() {
			n.stopping = false
			if n.freezeCount == freezes {
				n.fleet.recordRestart(n, from)
			}
			n.fleet.crashAndRestart(&n.machine, n.start, span)
		})
	}
	var look func()
	look = func() {
		if n.pool.ActiveSessions() == 0 || n.fleet.defects.AbruptStop || n.simulator.now >= until {
			end()
			return
		}
		n.after(20*time.Millisecond, look)
	}
	look()
	n.simulator.after(stopTimeout+2*time.Second, func() {
		if n.incarnation != life {
			n.stopping = false
		}
	})
}

func (n *node) handOverRecords() {
	var heir *node
	for _, other := range n.fleet.nodes {
		if other != n && other.running && !other.stopping {
			heir = other
			break
		}
	}
	if heir == nil {
		return
	}
	left := n.pool.RequestLog().Export(heir.name)
	for _, other := range n.fleet.nodes {
		if other == n {
			continue
		}
		word := idempotency.Handover{Node: left.Node, Incarnation: left.Incarnation, Successor: left.Successor}
		if other == heir {
			word = left
		}
		n.simulator.send(&n.machine, &other.machine, func() { other.pool.ImportHandover(word, other.clock()) })
	}
}
