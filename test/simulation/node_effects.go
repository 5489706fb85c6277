package simulation

import (
	"reflect"
	"time"

	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/state/model"
)

// Maximum delays between an effect and its execution. The product executes these
// effects on separate goroutines, which adds such delays.
const (
	maxEnqueueDelay = 200 * time.Microsecond
	maxForwardDelay = 300 * time.Microsecond
	maxBindDelay    = 300 * time.Microsecond
	maxSendDelay    = 100 * time.Microsecond
)

const (
	connectTimeout = 1600 * time.Millisecond
	// refusedConnectDelay is the time after which a connection attempt to a
	// machine fails if its process is down.
	refusedConnectDelay = 2 * time.Millisecond
	lookupTimeout       = 800 * time.Millisecond
	lookupFailureDelay  = time.Millisecond
	watchTimeout        = time.Second
	// watchHold is the time for which an instance holds a watch request if its
	// log has no new entries.
	watchHold = 80 * time.Millisecond
)

// nodeEffectHandlers has the function that carries out each type of effect.
var nodeEffectHandlers = map[reflect.Type]func(*node, httppool.Effect){}

func handleNodeEffect[T httppool.Effect](handle func(*node, T)) {
	nodeEffectHandlers[reflect.TypeFor[T]()] = func(n *node, effect httppool.Effect) { handle(n, effect.(T)) }
}

func init() {
	handleNodeEffect(func(_ *node, respond httppool.Respond) {
		respond.Request.Token.(func(httppool.Result))(respond.Result)
	})
	handleNodeEffect(func(n *node, enqueue httppool.Enqueue) {
		n.stepWithin(maxEnqueueDelay, func(now time.Duration) { n.pool.Enqueue(enqueue.Request, now) })
	})
	handleNodeEffect((*node).forward)
	handleNodeEffect(func(n *node, send httppool.Send) {
		sent := n.clock()
		n.after(n.simulator.randomDuration(0, maxSendDelay), func() { n.send(send, sent) })
	})
	handleNodeEffect((*node).openConnection)
	handleNodeEffect(func(_ *node, closeConn httppool.CloseConn) {
		if connection, open := closeConn.Conn.Transport.(*connection); open {
			connection.close()
		}
	})
	handleNodeEffect((*node).lookUpRequest)
	handleNodeEffect(func(n *node, watch httppool.Watch) { n.watchInstance(n.fleet.findInstance(watch.Instance)) })
	handleNodeEffect(func(n *node, _ httppool.Report) { n.after(nodeReportDelay, n.sendReport) })
	handleNodeEffect((*node).onWriterChanged)
	handleNodeEffect(func(n *node, activated httppool.BindingsActivated) {
		n.simulator.record("%s activated binding set %d", n.name, activated.Set.Sequence)
	})
}

func (n *node) forward(forward httppool.Forward) {
	if window := n.windowModelFor(forward.Request.Instance()); window != nil {
		window.begin()
	}
	n.stepWithin(maxForwardDelay, func(now time.Duration) { n.pool.Forward(forward.Request, now) })
}

// send sends an operation to the instance. The defect ResendUnanswered resends it
// when its answer is lost.
func (n *node) send(send httppool.Send, sent time.Duration) {
	connection := send.Conn.Transport.(*connection)
	finished := false
	connection.request(send.Op, func(reply httppool.Reply, broken bool) {
		if finished {
			return
		}
		finished = true
		if broken && n.fleet.defects.ResendUnanswered && !connection.closed {
			n.send(send, sent)
			return
		}
		n.step(func(now time.Duration) {
			n.pool.ReplyReceived(send.Request, reply, broken, now)
			if window := n.windowModelFor(connection.instance.name); window != nil {
				window.finish(now - sent)
			}
		})
	})
}

func (n *node) openConnection(open httppool.OpenConn) {
	target := n.fleet.findInstance(open.Address)
	opened := &connection{node: n, nodeIncarnation: n.incarnation, instance: target, poolConnection: open.Conn}
	finished := false
	finish := func(reply httppool.Reply, ok bool) {
		if finished {
			return
		}
		finished = true
		if ok {
			n.connections = append(n.connections, opened)
		} else {
			opened.reset()
		}
		n.step(func(now time.Duration) {
			open.Conn.Transport = opened
			n.pool.ConnOpened(open.Conn, reply, ok, now)
		})
	}
	fail := func() { finish(httppool.Reply{}, false) }
	n.after(connectTimeout, fail)
	n.simulator.send(&n.machine, &target.machine, func() {
		opened.accept()
		opened.request(httppool.Op{Kind: httppool.OpOpen}, func(reply httppool.Reply, broken bool) { finish(reply, !broken) })
	})
	if !target.running && !target.vanished {
		n.after(refusedConnectDelay, fail)
	}
}

// lookUpRequest asks another node for the status of a request.
func (n *node) lookUpRequest(lookup httppool.Lookup) {
	other := n.fleet.findNode(lookup.Node)
	finished, incarnation := false, n.incarnation
	finish := func(status idempotency.Status, answered bool) {
		if finished || n.incarnation != incarnation {
			return
		}
		finished = true
		n.step(func(now time.Duration) { n.pool.LookupDone(lookup.Request, lookup.Node, status, answered, now) })
	}
	if n.fleet.defects.BlankIdempotencyRecords {
		n.after(lookupFailureDelay, func() { finish(idempotency.Status{State: idempotency.StateUnseen}, true) })
		return
	}
	fail := func() { finish(idempotency.Status{}, false) }
	if other == nil {
		n.after(lookupFailureDelay, fail)
		return
	}
	n.after(lookupTimeout, fail)
	request := idempotency.StatusRequest{RequestID: lookup.Request.RequestID(), Requester: n.name}
	n.simulator.send(&n.machine, &other.machine, func() {
		status := other.pool.HandleStatusRequest(request, other.clock())
		n.simulator.send(&other.machine, &n.machine, func() { finish(status, true) })
	})
}

// watchInstance requests the status of an instance, which answers as soon as its
// log is past a position. It repeats the request while the pool wants to watch the
// instance.
func (n *node) watchInstance(target *instance) {
	_, after, wanted := n.pool.WatchTarget(target.name, n.clock())
	if !wanted {
		return
	}
	sent, incarnation := n.clock(), n.incarnation
	attempt := n.beginAttempt(watchTimeout, func() { n.watchInstance(target) })
	n.simulator.send(&n.machine, &target.machine, func() {
		target.awaitBeyond(after, watchHold, func() {
			status := target.info()
			n.simulator.send(&target.machine, &n.machine, func() {
				if attempt.ended || n.incarnation != incarnation {
					return
				}
				n.onInstanceStatus(target.name, status, sent)
				attempt.end()
			})
		})
	})
}

func (n *node) onInstanceStatus(name string, status model.Instance, sent time.Duration) {
	status = n.fleet.distort(status)
	reply := httppool.Reply{Incarnation: status.Incarnation, Role: status.Role, Term: status.Term, Position: status.Position, Leaving: status.Leaving}
	n.step(func(now time.Duration) { n.pool.InstanceStatusReceived(name, reply, sent, now) })
}

// onWriterChanged records the change of a writer role. While the role moves, it may
// inject another fault.
func (n *node) onWriterChanged(changed httppool.WriterChanged) {
	current := changed.Change.Current
	if current.Phase != model.PhaseOpen {
		n.fleet.maybeInjectFollowUp()
	}
	n.simulator.record("%s holds %s: term %d %s at %s", n.name, changed.Change.Database, current.Term, current.Phase, current.Primary)
}

// execute runs an operation of a session. respond is called with the result.
func (n *node) execute(session string, op httppool.Op, deadline time.Duration, respond func(httppool.Result)) {
	n.step(func(now time.Duration) {
		request, refusal, accepted := n.pool.Accept(session, op, deadline, respond, now)
		if !accepted {
			respond(refusal)
			return
		}
		n.after(request.Deadline()-now, func() {
			n.step(func(now time.Duration) { n.pool.Cancel(request, now) })
		})
		n.stepWithin(maxBindDelay, func(now time.Duration) { n.pool.Bind(request, now) })
	})
}
