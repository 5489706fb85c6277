package simulation

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/pool/linepool"
	words "tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// front is a data-plane node of a fleet of synced instances.
type lineNode struct {
	machine
	fleet         *lineFleet
	pool          *linepool.Machine
	starts        int64
	controlIndex  int
	missedAnswers int
	lastRequest   uint64
	links         []*lineConnection
	clients       map[*linepool.Client]*lineClient
	openQueries   map[*linepool.Client]int
	stopping      bool
	stoppingSince time.Duration
	thawedAt      time.Duration
	startedAt     time.Duration
	missedProbes  int
	reportPending bool
	counters      map[string]int64
	windowModels  map[string]*windowModel
}

func (n *lineNode) start() {
	if n.running {
		return
	}
	n.running, n.frozen, n.deferred, n.stopping, n.reportPending = true, false, nil, false, false
	n.starts++
	n.startedAt = n.simulator.now
	n.counters, n.windowModels = map[string]int64{}, map[string]*windowModel{}
	place := linepool.Node{Name: n.name, Zone: n.zone, Incarnation: n.starts, Weight: 1}
	n.pool = linepool.New(place, linepool.DefaultTiming(), lease.DefaultTiming(), func(name string, by int64) { n.counters[name] += by })
	n.links, n.clients, n.openQueries = nil, map[*linepool.Client]*lineClient{}, map[*linepool.Client]int{}
	n.simulator.record("%s up", n.name)
	if !n.fleet.defects.NoUpdatesAfterRestart || n.starts == 1 {
		n.after(time.Millisecond, n.requestUpdate)
	}
	n.after(25*time.Millisecond, n.heartbeat)
}

func (n *lineNode) onCrash(vanished bool) {
	for _, link := range n.links {
		link.onNodeCrash(vanished)
	}
	for _, p := range n.fleet.clients {
		if p.node == n {
			p.onNodeCrash(vanished)
		}
	}
	n.links, n.clients = nil, map[*linepool.Client]*lineClient{}
}

// isYoung says whether the node started, was frozen or thawed so lately that
// bounds do not hold for it yet.
func (n *lineNode) isRecovering() bool {
	return n.frozen || n.simulator.now-max(n.startedAt, n.thawedAt) < contactTimeout
}

func (n *lineNode) step(act func(now time.Duration)) {
	act(n.clock())
	for _, effect := range n.pool.Effects() {
		lineEffectHandlers[reflect.TypeOf(effect)](n, effect)
	}
}

var lineEffectHandlers map[reflect.Type]func(*lineNode, linepool.Effect)

func handleLineEffect[T linepool.Effect](act func(*lineNode, T)) {
	lineEffectHandlers[reflect.TypeFor[T]()] = func(n *lineNode, effect linepool.Effect) { act(n, effect.(T)) }
}

func init() {
	lineEffectHandlers = map[reflect.Type]func(*lineNode, linepool.Effect){}
	handleLineEffect((*lineNode).sendToClient)
	handleLineEffect(func(n *lineNode, over linepool.CloseClient) {
		p := n.clients[over.Client]
		isCut := n.openQueries[over.Client] > 0 && n.stopping && n.simulator.now-n.stoppingSince < linepool.DefaultTiming().EndSessions-100*time.Millisecond
		if isCut {
			n.fleet.addRuleViolation(RuleLost, "%s, which stops as planned, ends a session with a question open", n.name)
		}
		delete(n.clients, over.Client)
		delete(n.openQueries, over.Client)
		if p != nil {
			p.onSessionClosed(n, over.Client)
		}
	})
	handleLineEffect((*lineNode).openConnection)
	handleLineEffect((*lineNode).sendToInstance)
	handleLineEffect(func(n *lineNode, shut linepool.CloseConn) {
		link, isOpen := shut.Conn.Transport.(*lineConnection)
		if isOpen {
			n.modelClose(link)
		}
		if !isOpen || link.closed {
			return
		}
		link.closed = true
		n.links = slices.DeleteFunc(n.links, func(other *lineConnection) bool { return other == link })
		link.sendToInstance(func() {
			if link.session != nil {
				link.session.closeFromPeer()
			}
		})
	})
	handleLineEffect(func(n *lineNode, _ linepool.Report) {
		if !n.reportPending {
			n.reportPending = true
			n.after(5*time.Millisecond, n.sendReport)
		}
	})
	handleLineEffect(func(n *lineNode, turned linepool.WriterChanged) {
		after := turned.Change.Current
		n.simulator.record("%s holds %s: term %d %s at %s", n.name, turned.Change.Database, after.Term, after.Phase, after.Primary)
		if after.Phase != model.PhaseOpen {
			n.fleet.maybeInjectLineFollowUp()
		}
	})
	handleLineEffect(func(n *lineNode, shown linepool.BindingsActivated) {
		n.simulator.record("%s serves under version %d", n.name, shown.Set.Version)
	})
}

func (n *lineNode) sendToClient(say linepool.Respond) {
	p := n.clients[say.Client]
	if p == nil {
		return
	}
	messages := slices.Clone(say.Messages)
	l := n.fleet
	for at, one := range messages {
		isEnd := one.Kind == words.KindReady
		if isEnd && n.openQueries[say.Client] > 0 {
			n.openQueries[say.Client]--
		}
		if one.Kind == words.KindError && at == len(messages)-1 {
			n.openQueries[say.Client] = 0
		}
		if l.defects.UnknownReportedAsBusy && one.Kind == words.KindError && one.Code == words.CodeUnknownOutcome {
			messages[at].Code = words.CodeBusy
		}
		if l.defects.SwappedAnswers && one.Kind == words.KindDone && one.Payload != "-" {
			if l.lastStamp != "" && l.simulator.chance(0.05) {
				messages[at].Payload = l.lastStamp
			}
			l.lastStamp = one.Payload
		}
	}
	p.deliverMessages(n, say.Client, messages)
}

func (n *lineNode) openConnection(open linepool.OpenConn) {
	link := &lineConnection{node: n, nodeIncarnation: n.incarnation, instance: n.fleet.instancesByAddress[open.Address], poolConnection: open.Conn}
	link.instanceIncarnation = link.instance.incarnation
	open.Conn.Transport = link
	n.links = append(n.links, link)
	link.sendToInstance(func() { link.accept(open.Instance) })
}

func (n *lineNode) sendToInstance(send linepool.Send) {
	link := send.Conn.Transport.(*lineConnection)
	outs := slices.Clone(send.Commands)
	n.modelSend(link, outs)
	defects := n.fleet.defects
	for at, out := range outs {
		if one := n.fleet.queries[out.ID]; one != nil && one.version == 0 {
			one.version = n.pool.EffectiveSet(n.clock()).Version
		}
		if defects.DroppedMinPositions {
			outs[at].MinPosition = model.Position{}
		}
		if defects.AlteredTexts && out.Kind == linepool.CommandText && strings.HasPrefix(out.Text, "read") && n.simulator.chance(0.05) {
			outs[at].Text += "x"
		}
	}
	last := outs[len(outs)-1]
	isSingle := link.session != nil && link.session.transaction == nil && strings.HasPrefix(last.Text, "write")
	if defects.DuplicatedWrites && isSingle {
		outs = append(outs, last)
	}
	link.sendToInstance(func() {
		if link.session != nil && !link.session.closed {
			link.session.queue = append(link.session.queue, outs...)
			link.session.runNext()
		}
	})
}

// lineLink is a connection from a node to an instance.
type lineConnection struct {
	node                       *lineNode
	nodeIncarnation            int
	instance                   *lineInstance
	instanceIncarnation        int
	poolConnection             *linepool.Conn
	session                    *serverSession
	lastToInstance, lastToNode time.Duration
	closed                     bool

	expectedAnswers []expectedAnswer
	slot            windowSlot
	lastResult      words.Message
}

func (k *lineConnection) transitTime() time.Duration {
	w := k.node.simulator
	trip := w.randomDuration(200*time.Microsecond, 2500*time.Microsecond)
	if w.lossRate > 0 && w.chance(w.lossRate) {
		trip += w.randomDuration(200*time.Millisecond, 400*time.Millisecond)
	}
	return trip + w.extraDelay
}

func (k *lineConnection) sendToInstance(act func()) {
	w := k.node.simulator
	k.lastToInstance = max(w.now+k.transitTime(), k.lastToInstance+time.Microsecond)
	w.after(k.lastToInstance-w.now, func() {
		if k.instance.running && k.instance.incarnation == k.instanceIncarnation {
			k.instance.runDuring(k.instanceIncarnation, act)
			return
		}
		if k.instance.running || !k.instance.vanished {
			k.breakOff()
		}
	})
}

func (k *lineConnection) sendToNode(act func()) {
	w := k.node.simulator
	k.lastToNode = max(w.now+k.transitTime(), k.lastToNode+time.Microsecond)
	w.after(k.lastToNode-w.now, func() {
		k.node.runDuring(k.nodeIncarnation, func() {
			if !k.closed {
				act()
			}
		})
	})
}

func (k *lineConnection) deliverMessages(messages []words.Message) {
	k.sendToNode(func() {
		k.node.step(func(now time.Duration) {
			if k.node.fleet.defects.LateAnswers {
				now += 2 * time.Millisecond
			}
			for _, message := range messages {
				k.node.modelAnswer(k, message)
				k.node.pool.Received(k.poolConnection, message, now)
			}
		})
	})
}

// broken ends the connection from the server's side.
func (k *lineConnection) breakOff() {
	k.sendToNode(func() {
		k.closed = true
		k.node.links = slices.DeleteFunc(k.node.links, func(other *lineConnection) bool { return other == k })
		k.node.step(func(now time.Duration) { k.node.pool.ConnLost(k.poolConnection, now) })
	})
}

// gone ends it for a node that died: the server knows at once, or later.
func (k *lineConnection) onNodeCrash(vanished bool) {
	k.closed = true
	span := 2 * time.Millisecond
	if vanished {
		span = 3 * time.Second
	}
	k.node.simulator.after(max(span, k.lastToInstance-k.node.simulator.now+time.Microsecond), func() {
		k.instance.runDuring(k.instanceIncarnation, func() {
			if k.session != nil {
				k.session.closeFromPeer()
			}
		})
	})
}

func (k *lineConnection) accept(instance string) {
	s := k.instance
	if instance != s.name {
		k.deliverMessages([]words.Message{errorMessage(words.CodeWrongInstance, "WRONGHOST")})
		k.breakOff()
		return
	}
	if len(s.sessions) >= s.fleet.lineConfig.Connections {
		k.deliverMessages([]words.Message{errorMessage(words.CodeTooManyConnections, "FULL")})
		k.breakOff()
		return
	}
	x := &serverSession{instance: s, connection: k, values: map[string]string{}, shapes: map[string]string{}}
	s.sessions = append(s.sessions, x)
	accepted := s.runInSlot(func(done func()) {
		s.after(2*time.Millisecond, func() {
			done()
			if !x.closed {
				k.session = x
				x.answer()
			}
		})
	})
	if !accepted {
		x.close()
		k.deliverMessages([]words.Message{errorMessage(words.CodeBusy, "BUSY")})
		k.breakOff()
	}
}

func (n *lineNode) requestUpdate() {
	if n.pool.HasStrandedCommits(n.clock()) {
		n.after(10*time.Millisecond, n.requestUpdate)
		return
	}
	n.lastRequest++
	number, sent := n.lastRequest, n.clock()
	var request distribution.UpdateRequest
	n.step(func(now time.Duration) { request = n.pool.UpdateRequest(now) })
	target := n.fleet.controls[n.controlIndex%len(n.fleet.controls)]
	n.after(900*time.Millisecond, func() {
		if n.lastRequest == number {
			n.missedAnswers++
			n.controlIndex++
			n.requestUpdate()
		}
	})
	take := func(update distribution.Update) {
		if n.lastRequest == number {
			n.applyUpdate(update, sent)
		}
	}
	if n.missedAnswers%3 == 2 {
		peer := n.fleet.lineNodes[n.simulator.random.IntN(len(n.fleet.lineNodes))]
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

func (n *lineNode) applyUpdate(update distribution.Update, sent time.Duration) {
	n.lastRequest++
	if !update.FromPrimary {
		n.missedAnswers++
		n.controlIndex++
		for at, control := range n.fleet.controls {
			if control.name == update.Record.Primary && n.missedAnswers%4 != 3 {
				n.controlIndex = at
			}
		}
		n.after(30*time.Millisecond, n.requestUpdate)
		return
	}
	n.missedAnswers = 0
	if n.fleet.defects.OverlongLeases {
		update.LeaseDuration *= 100
	}
	if n.fleet.defects.IgnoreLeaving {
		update.Instances = slices.Clone(update.Instances)
		for at := range update.Instances {
			update.Instances[at].Leaving = false
		}
	}
	n.step(func(now time.Duration) { n.pool.ApplyUpdate(update, sent, now) })
	n.requestUpdate()
}

func (n *lineNode) sendReport() {
	n.reportPending = false
	told := n.pool.Observations(n.clock())
	target := n.fleet.controls[n.controlIndex%len(n.fleet.controls)]
	n.simulator.send(&n.machine, &target.machine, func() { target.distributor.HandleReport(told, target.clock()) })
}

func (n *lineNode) heartbeat() {
	n.after(25*time.Millisecond, n.heartbeat)
	var live []string
	for _, one := range n.fleet.lineNodes {
		if one.running {
			live = append(live, one.name)
		}
	}
	weight := 1.0
	if n.fleet.defects.WrongWeight {
		weight = 2
	}
	n.step(func(now time.Duration) {
		n.pool.Tick(live, weight, now)
		n.checkWindows(now)
	})
}

// stop plays a planned stop.
func (n *lineNode) stop(span time.Duration) {
	if !n.running || n.frozen || n.stopping {
		return
	}
	n.stopping, n.stoppingSince = true, n.simulator.now
	n.simulator.record("%s told to stop", n.name)
	if n.fleet.defects.AbruptStop {
		for _, p := range n.fleet.clients {
			if p.node == n && p.session != nil {
				n.step(func(now time.Duration) { n.pool.Terminate(p.session, now) })
			}
		}
	}
	n.step(n.pool.Drain)
	left := n.stoppingSince
	var look func()
	look = func() {
		past := n.simulator.now - left
		if (n.pool.IsDrained() && past > 2500*time.Millisecond) || past > 5600*time.Millisecond {
			n.stopping = false
			n.fleet.crashAndRestart(&n.machine, n.start, span)
			return
		}
		n.after(20*time.Millisecond, look)
	}
	look()
}

// probe is the platform's: a node that misses twice gets no new sessions.
func (l *lineFleet) probeReadiness() {
	for _, one := range l.lineNodes {
		one.missedProbes++
		if one.running && !one.frozen {
			if isReady, _ := one.pool.Ready(one.clock()); isReady {
				one.missedProbes = 0
			}
		}
	}
	l.simulator.after(time.Second, l.probeReadiness)
}
