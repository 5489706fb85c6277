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
type front struct {
	machine
	lines     *lines
	pool      *linepool.Machine
	births    int64
	guess     int
	misses    int
	asked     uint64
	links     []*lineLink
	people    map[*linepool.Client]*person
	owed      map[*linepool.Client]int
	isGone    bool
	left      time.Duration
	thawed    time.Duration
	born      time.Duration
	missed    int
	isTelling bool
	counts    map[string]int64
	mirrors   map[string]*mirror
}

func (n *front) start() {
	if n.isUp {
		return
	}
	n.isUp, n.isFrozen, n.backlog, n.isGone, n.isTelling = true, false, nil, false, false
	n.births++
	n.born = n.world.now
	n.counts, n.mirrors = map[string]int64{}, map[string]*mirror{}
	place := linepool.Place{Name: n.name, Zone: n.zone, Birth: n.births, Beta: 1}
	n.pool = linepool.New(place, linepool.DefaultTiming(), lease.DefaultTiming(), func(name string, by int64) { n.counts[name] += by })
	n.links, n.people, n.owed = nil, map[*linepool.Client]*person{}, map[*linepool.Client]int{}
	n.world.note("%s up", n.name)
	if !n.lines.defect.IsDeaf || n.births == 1 {
		n.do(time.Millisecond, n.ask)
	}
	n.do(25*time.Millisecond, n.beat)
}

func (n *front) onCrash(isVanished bool) {
	for _, link := range n.links {
		link.gone(isVanished)
	}
	for _, p := range n.lines.people {
		if p.home == n {
			p.homeDied(isVanished)
		}
	}
	n.links, n.people = nil, map[*linepool.Client]*person{}
}

// isYoung says whether the node started, was frozen or thawed so lately that
// bounds do not hold for it yet.
func (n *front) isYoung() bool {
	return n.isFrozen || n.world.now-max(n.born, n.thawed) < contactBound
}

func (n *front) step(act func(now time.Duration)) {
	act(n.clock())
	for _, effect := range n.pool.Effects() {
		fronts[reflect.TypeOf(effect)](n, effect)
	}
}

var fronts map[reflect.Type]func(*front, linepool.Effect)

func at[T linepool.Effect](act func(*front, T)) {
	fronts[reflect.TypeFor[T]()] = func(n *front, effect linepool.Effect) { act(n, effect.(T)) }
}

func init() {
	fronts = map[reflect.Type]func(*front, linepool.Effect){}
	at((*front).say)
	at(func(n *front, over linepool.Close) {
		p := n.people[over.Client]
		isCut := n.owed[over.Client] > 0 && n.isGone && n.world.now-n.left < linepool.DefaultTiming().Finish-100*time.Millisecond
		if isCut {
			n.lines.fault(RuleLost, "%s, which stops as planned, ends a session with a question open", n.name)
		}
		delete(n.people, over.Client)
		delete(n.owed, over.Client)
		if p != nil {
			p.ended(n, over.Client)
		}
	})
	at((*front).open)
	at((*front).send)
	at(func(n *front, shut linepool.Shut) {
		link, isOpen := shut.Conn.Link.(*lineLink)
		if isOpen {
			n.mirrorShut(link)
		}
		if !isOpen || link.isOver {
			return
		}
		link.isOver = true
		n.links = slices.DeleteFunc(n.links, func(other *lineLink) bool { return other == link })
		link.toServer(func() {
			if link.session != nil {
				link.session.far()
			}
		})
	})
	at(func(n *front, _ linepool.Report) {
		if !n.isTelling {
			n.isTelling = true
			n.do(5*time.Millisecond, n.tell)
		}
	})
	at(func(n *front, turned linepool.Turned) {
		after := turned.Moved.After
		n.world.note("%s holds %s: term %d %s at %s", n.name, turned.Moved.Database, after.Term, after.Phase, after.Primary)
		if after.Phase != model.PhaseOpen {
			n.lines.ambushLines()
		}
	})
	at(func(n *front, shown linepool.Shown) {
		n.world.note("%s serves under version %d", n.name, shown.Set.Version)
	})
}

func (n *front) say(say linepool.Say) {
	p := n.people[say.Client]
	if p == nil {
		return
	}
	messages := slices.Clone(say.Messages)
	l := n.lines
	for at, one := range messages {
		isEnd := one.Kind == words.KindReady
		if isEnd && n.owed[say.Client] > 0 {
			n.owed[say.Client]--
		}
		if one.Kind == words.KindError && at == len(messages)-1 {
			n.owed[say.Client] = 0
		}
		if l.defect.IsPromising && one.Kind == words.KindError && one.Code == words.CodeUnknown {
			messages[at].Code = words.CodeBusy
		}
		if l.defect.IsSwapping && one.Kind == words.KindDone && one.Tail != "-" {
			if l.swapped != "" && l.world.chance(0.05) {
				messages[at].Tail = l.swapped
			}
			l.swapped = one.Tail
		}
	}
	p.toPerson(n, say.Client, messages)
}

func (n *front) open(open linepool.Open) {
	link := &lineLink{front: n, frontLife: n.life, server: n.lines.hosts[open.Address], conn: open.Conn}
	link.serverLife = link.server.life
	open.Conn.Link = link
	n.links = append(n.links, link)
	link.toServer(func() { link.accept(open.Instance) })
}

func (n *front) send(send linepool.Send) {
	link := send.Conn.Link.(*lineLink)
	outs := slices.Clone(send.Outs)
	n.mirrorSend(link, outs)
	defect := n.lines.defect
	for at, out := range outs {
		if one := n.lines.asks[out.ID]; one != nil && one.version == 0 {
			one.version = n.pool.Effective(n.clock()).Version
		}
		if defect.IsFloorless {
			outs[at].Floor = model.Position{}
		}
		if defect.IsTexting && out.Kind == linepool.OutText && strings.HasPrefix(out.Text, "read") && n.world.chance(0.05) {
			outs[at].Text += "x"
		}
	}
	last := outs[len(outs)-1]
	isSingle := link.session != nil && link.session.turn == nil && strings.HasPrefix(last.Text, "write")
	if defect.IsDoubling && isSingle {
		outs = append(outs, last)
	}
	link.toServer(func() {
		if link.session != nil && !link.session.isGone {
			link.session.queue = append(link.session.queue, outs...)
			link.session.next()
		}
	})
}

// lineLink is a connection from a node to an instance.
type lineLink struct {
	front      *front
	frontLife  int
	server     *server
	serverLife int
	conn       *linepool.Conn
	session    *session
	to, from   time.Duration
	isOver     bool

	owed  []owedAnswer
	place placed
	end   words.Message
}

func (k *lineLink) trip() time.Duration {
	w := k.front.world
	trip := w.between(200*time.Microsecond, 2500*time.Microsecond)
	if w.drop > 0 && w.chance(w.drop) {
		trip += w.between(200*time.Millisecond, 400*time.Millisecond)
	}
	return trip + w.lag
}

func (k *lineLink) toServer(act func()) {
	w := k.front.world
	k.to = max(w.now+k.trip(), k.to+time.Microsecond)
	w.after(k.to-w.now, func() {
		if k.server.isUp && k.server.life == k.serverLife {
			k.server.enter(k.serverLife, act)
			return
		}
		if k.server.isUp || !k.server.isVanished {
			k.broken()
		}
	})
}

func (k *lineLink) toFront(act func()) {
	w := k.front.world
	k.from = max(w.now+k.trip(), k.from+time.Microsecond)
	w.after(k.from-w.now, func() {
		k.front.enter(k.frontLife, func() {
			if !k.isOver {
				act()
			}
		})
	})
}

func (k *lineLink) toNode(messages []words.Message) {
	k.toFront(func() {
		k.front.step(func(now time.Duration) {
			if k.front.lines.defect.IsLate {
				now += 2 * time.Millisecond
			}
			for _, message := range messages {
				k.front.mirrorCame(k, message)
				k.front.pool.Came(k.conn, message, now)
			}
		})
	})
}

// broken ends the connection from the server's side.
func (k *lineLink) broken() {
	k.toFront(func() {
		k.isOver = true
		k.front.links = slices.DeleteFunc(k.front.links, func(other *lineLink) bool { return other == k })
		k.front.step(func(now time.Duration) { k.front.pool.Lost(k.conn, now) })
	})
}

// gone ends it for a node that died: the server knows at once, or later.
func (k *lineLink) gone(isVanished bool) {
	k.isOver = true
	span := 2 * time.Millisecond
	if isVanished {
		span = 3 * time.Second
	}
	k.front.world.after(max(span, k.to-k.front.world.now+time.Microsecond), func() {
		k.server.enter(k.serverLife, func() {
			if k.session != nil {
				k.session.far()
			}
		})
	})
}

func (k *lineLink) accept(instance string) {
	s := k.server
	if instance != s.name {
		k.toNode([]words.Message{refusal(words.CodeWrongHost, "WRONGHOST")})
		k.broken()
		return
	}
	if len(s.sessions) >= s.lines.size.Connections {
		k.toNode([]words.Message{refusal(words.CodeFull, "FULL")})
		k.broken()
		return
	}
	x := &session{server: s, link: k, values: map[string]string{}, shapes: map[string]string{}}
	s.sessions = append(s.sessions, x)
	isTaken := s.take(func(done func()) {
		s.do(2*time.Millisecond, func() {
			done()
			if !x.isGone {
				k.session = x
				x.say()
			}
		})
	})
	if !isTaken {
		x.drop()
		k.toNode([]words.Message{refusal(words.CodeBusy, "BUSY")})
		k.broken()
	}
}

func (n *front) ask() {
	if n.pool.IsSettling(n.clock()) {
		n.do(10*time.Millisecond, n.ask)
		return
	}
	n.asked++
	number, sent := n.asked, n.clock()
	var ask distribution.AskNews
	n.step(func(now time.Duration) { ask = n.pool.Ask(now) })
	target := n.lines.controls[n.guess%len(n.lines.controls)]
	n.do(900*time.Millisecond, func() {
		if n.asked == number {
			n.misses++
			n.guess++
			n.ask()
		}
	})
	take := func(news distribution.News) {
		if n.asked == number {
			n.take(news, sent)
		}
	}
	if n.misses%3 == 2 {
		peer := n.lines.fronts[n.world.random.IntN(len(n.lines.fronts))]
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

func (n *front) take(news distribution.News, sent time.Duration) {
	n.asked++
	if !news.IsPrimary {
		n.misses++
		n.guess++
		for at, disk := range n.lines.controls {
			if disk.name == news.Record.Primary && n.misses%4 != 3 {
				n.guess = at
			}
		}
		n.do(30*time.Millisecond, n.ask)
		return
	}
	n.misses = 0
	if n.lines.defect.IsLeaseless {
		news.Lease *= 100
	}
	if n.lines.defect.IsStubborn {
		news.Instances = slices.Clone(news.Instances)
		for at := range news.Instances {
			news.Instances[at].IsLeaving = false
		}
	}
	n.step(func(now time.Duration) { n.pool.Took(news, sent, now) })
	n.ask()
}

func (n *front) tell() {
	n.isTelling = false
	told := n.pool.Told(n.clock())
	target := n.lines.controls[n.guess%len(n.lines.controls)]
	n.world.send(&n.machine, &target.machine, func() { target.steer.Gather(told, target.clock()) })
}

func (n *front) beat() {
	n.do(25*time.Millisecond, n.beat)
	var live []string
	for _, one := range n.lines.fronts {
		if one.isUp {
			live = append(live, one.name)
		}
	}
	weight := 1.0
	if n.lines.defect.IsPressing {
		weight = 2
	}
	n.step(func(now time.Duration) {
		n.pool.Beat(live, weight, now)
		n.mirrorBeat(now)
	})
}

// stop plays a planned stop.
func (n *front) stop(span time.Duration) {
	if !n.isUp || n.isFrozen || n.isGone {
		return
	}
	n.isGone, n.left = true, n.world.now
	n.world.note("%s told to stop", n.name)
	if n.lines.defect.IsHasty {
		for _, p := range n.lines.people {
			if p.home == n && p.client != nil {
				n.step(func(now time.Duration) { n.pool.Bye(p.client, now) })
			}
		}
	}
	n.step(n.pool.Leave)
	left := n.left
	var look func()
	look = func() {
		past := n.world.now - left
		if (n.pool.IsDrained() && past > 2500*time.Millisecond) || past > 5600*time.Millisecond {
			n.isGone = false
			n.lines.bounce(&n.machine, n.start, span)
			return
		}
		n.do(20*time.Millisecond, look)
	}
	look()
}

// probe is the platform's: a node that misses twice gets no new sessions.
func (l *lines) probe() {
	for _, one := range l.fronts {
		one.missed++
		if one.isUp && !one.isFrozen {
			if isReady, _ := one.pool.Ready(one.clock()); isReady {
				one.missed = 0
			}
		}
	}
	l.world.after(time.Second, l.probe)
}
