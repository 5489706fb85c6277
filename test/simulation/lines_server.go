package simulation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/pool/linepool"
	words "tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

type lineEntry struct {
	term uint64
	ids  []string
}

type pending struct {
	position model.Position
	done     func()
}

// server is a synced instance: its log is numbered, and a commit is answered
// once one replica has received it.
type server struct {
	machine
	lines    *lines
	database string
	address  string
	role     string
	term     uint64
	entries  []lineEntry
	upstream *server
	delay    time.Duration
	service  time.Duration
	sessions []*session
	busy     int
	line     []func()
	pending  []pending
	moved    []func()
	calls    uint64
	leaving  time.Duration
	acked    time.Duration
	isEnded  bool
	lose     int
	made     int
}

func (l *lines) addServer(database, name, address, zone string) *server {
	one := &server{machine: l.machine(name), lines: l, database: database, address: address, delay: 2 * time.Millisecond, service: 5 * time.Millisecond}
	one.zone, one.crashed = zone, one.onCrash
	l.servers = append(l.servers, one)
	l.hosts[address] = one
	return one
}

func (s *server) position() model.Position {
	if len(s.entries) == 0 {
		return model.Position{}
	}
	return model.Position{Term: s.entries[len(s.entries)-1].term, Index: uint64(len(s.entries))}
}

func (s *server) holds(position model.Position) bool {
	at := int(position.Index)
	return at == 0 || (at <= len(s.entries) && s.entries[at-1].term == position.Term)
}

func (s *server) start() {
	s.isUp, s.isFrozen, s.backlog, s.moved = true, false, nil, nil
	s.sessions, s.busy, s.line, s.pending = nil, 0, nil, nil
	if s.lines.leaders[s.database] > s.term {
		s.role = model.RoleReplica
	}
	s.world.note("%s up as %s of term %d at %v", s.name, s.role, s.term, s.position())
	s.do(time.Millisecond, s.beat)
	s.do(time.Millisecond, s.pull)
	if s.role == model.RolePrimary && s.term > 1 {
		s.gather()
	}
	if s.leaving != 0 {
		s.drain(max(s.leaving+drainSpan-s.world.now, 0))
	}
}

func (s *server) onCrash(isVanished bool) {
	for _, one := range slices.Clone(s.sessions) {
		one.isGone = true
		if !isVanished {
			one.link.broken()
		}
	}
	s.sessions = nil
}

func (s *server) info() model.Instance {
	s.calls++
	return model.Instance{
		Name: s.name, Database: s.database, Address: s.address, Zone: s.zone, Role: s.role, IsLeaving: s.leaving != 0,
		Slots: s.lines.size.Slots, IsSynced: true, Calls: s.calls,
	}
}

func (s *server) beat() {
	s.do(400*time.Millisecond, s.beat)
	s.announce(s.info(), 2)
}

// announce brings an announcement to any control machine, which passes it to
// the primary before it answers.
func (s *server) announce(info model.Instance, goes int) {
	first := pick(s.lines.fleet, s.lines.controls)
	isAnswered := false
	s.world.send(&s.machine, &first.machine, func() {
		primary := first.fleet.controlBy(first.epoch.Record().Primary)
		if primary == nil {
			return
		}
		s.world.send(&first.machine, &primary.machine, func() {
			if !primary.isPrimary() {
				return
			}
			primary.heardOf(info)
			s.world.send(&primary.machine, &first.machine, func() {
				s.world.send(&first.machine, &s.machine, func() {
					isAnswered = true
					if info.IsLeaving && s.acked == 0 {
						s.acked = s.world.now
					}
				})
			})
		})
	})
	s.do(200*time.Millisecond, func() {
		if !isAnswered && goes > 0 {
			s.announce(info, goes-1)
		}
	})
}

func (c *control) heardOf(info model.Instance) {
	if known, isKnown := c.heard[info.Name]; isKnown && info.Calls <= known.Instance.Calls {
		return
	}
	c.heard[info.Name] = distribution.Heard{Instance: info, At: c.clock()}
	var list []distribution.Heard
	for _, name := range slices.Sorted(maps.Keys(c.heard)) {
		list = append(list, c.heard[name])
	}
	if c.steer.Roster(list) {
		c.flush()
	}
}

// leave plays a planned end: what comes after has its log and address.
func (s *server) leave() {
	if s.leaving != 0 || s.isEnded {
		return
	}
	s.leaving = s.world.now
	s.world.note("%s is leaving", s.name)
	s.announce(s.info(), 2)
	s.drain(drainSpan)
}

const drainSpan = drainBound + 1500*time.Millisecond

// drain ends the server after a span; a crash does not call the end off.
func (s *server) drain(span time.Duration) {
	s.do(span, func() {
		info := s.info()
		info.IsGone = true
		s.announce(info, 2)
		s.do(500*time.Millisecond, s.end)
	})
}

func (s *server) end() {
	s.world.note("%s ends", s.name)
	s.crash()
	s.isEnded = true
	s.lines.made++
	s.world.after(300*time.Millisecond, func() {
		next := s.lines.addServer(s.database, fmt.Sprintf("%s.%d", strings.Split(s.name, ".")[0], s.lines.made), s.address, s.zone)
		next.role, next.term, next.entries, next.upstream = model.RoleReplica, s.term, slices.Clone(s.entries), s.upstream
		if s.role == model.RolePrimary && s.lines.leaders[s.database] == s.term {
			next.role = model.RolePrimary
		}
		for _, other := range s.lines.of(s.database) {
			if other.upstream == s {
				other.upstream = next
			}
		}
		next.start()
	})
}

// append adds a commit, and answers once a replica has received it.
func (s *server) append(ids []string, done func()) model.Position {
	s.entries = append(s.entries, lineEntry{term: s.term, ids: ids})
	position := s.position()
	l := s.lines
	for _, id := range ids {
		if before, isThere := l.appended[id]; isThere {
			l.fault(RuleTwice, "%s is at %v and at %v", id, before, position)
		}
		l.appended[id] = position
		if word := l.promised[id]; word != "" {
			l.fault(RuleRefused, "%s was told %s, and is kept at %v", id, word, position)
		}
	}
	s.pending = append(s.pending, pending{position: position, done: done})
	s.wake()
	return position
}

func (s *server) wake() {
	waiting := s.moved
	s.moved = nil
	for _, wake := range waiting {
		wake()
	}
}

func (s *server) received(position model.Position) {
	if s.role != model.RolePrimary {
		return
	}
	var kept []pending
	for _, one := range s.pending {
		if one.position.Index <= position.Index && s.holds(position) {
			one.done()
			continue
		}
		kept = append(kept, one)
	}
	s.pending = kept
}

func (s *server) past(size int, wait time.Duration, wake func()) {
	isDone := false
	once := func() {
		if !isDone {
			isDone = true
			wake()
		}
	}
	if len(s.entries) > size {
		once()
		return
	}
	s.moved = append(s.moved, once)
	s.do(wait, once)
}

// pull follows the primary known: what it has received it says at once.
func (s *server) pull() {
	if s.role != model.RoleReplica || s.upstream == nil || s.upstream == s {
		s.do(50*time.Millisecond, s.pull)
		return
	}
	up, after := s.upstream, s.position()
	isOver := false
	again := func() {
		if !isOver {
			isOver = true
			s.pull()
		}
	}
	s.do(300*time.Millisecond, again)
	s.world.send(&s.machine, &up.machine, func() {
		if up.role != model.RolePrimary {
			return
		}
		up.received(after)
		isCut := !up.holds(after)
		size := len(s.entries)
		if isCut {
			size = 0
		}
		up.past(size, 120*time.Millisecond, func() {
			entries, term := up.entries, up.term
			up.world.send(&up.machine, &s.machine, func() {
				s.do(s.delay, func() {
					if !isOver && s.role == model.RoleReplica && s.upstream == up && s.position() == after && term >= s.term {
						s.follow(entries, term)
					}
					again()
				})
			})
		})
	})
}

func (s *server) follow(entries []lineEntry, term uint64) {
	same := min(len(entries), len(s.entries))
	for same > 0 && entries[same-1].term != s.entries[same-1].term {
		same--
	}
	if same < len(s.entries) {
		s.world.note("%s is cut back from %d to %d", s.name, len(s.entries), same)
		s.entries = slices.Clone(s.entries[:same])
	}
	s.entries = append(s.entries, entries[same:]...)
	s.term = max(s.term, term)
	up := s.upstream
	position := s.position()
	s.world.send(&s.machine, &up.machine, func() { up.received(position) })
}

// lead makes the server primary of a term, and has the others follow.
func (s *server) lead(term uint64) {
	l := s.lines
	s.role, s.term, s.pending = model.RolePrimary, term, nil
	l.leaders[s.database] = term
	s.world.note("%s leads term %d at %v", s.name, term, s.position())
	l.whole(s, "the promoted one")
	s.announce(s.info(), 2)
	s.gather()
}

// gather has the others follow; a primary that starts again does so anew.
func (s *server) gather() {
	for _, other := range s.lines.of(s.database) {
		if other != s {
			s.tell(other, s.term, 200)
		}
	}
}

func (s *server) tell(other *server, term uint64, goes int) {
	if goes == 0 || s.term != term || other.isEnded {
		return
	}
	isHeard := false
	s.world.send(&s.machine, &other.machine, func() {
		isHeard = true
		if other.term >= term {
			return
		}
		if other.role == model.RolePrimary {
			other.do(time.Second, func() { other.stepDown(term, s) })
			return
		}
		other.term, other.upstream = term, s
	})
	s.do(200*time.Millisecond, func() {
		if !isHeard {
			s.tell(other, term, goes-1)
		}
	})
}

func (s *server) stepDown(term uint64, to *server) {
	if s.term >= term {
		return
	}
	s.world.note("%s steps down for term %d", s.name, term)
	s.role, s.term, s.upstream, s.pending = model.RoleReplica, term, to, nil
	for _, one := range slices.Clone(s.sessions) {
		if one.isCommitting {
			one.drop()
			one.link.broken()
		}
	}
	s.announce(s.info(), 2)
}

// take has work wait for a slot; it gives false where the line is too long.
func (s *server) take(work func(done func())) bool {
	if len(s.line) > 12 {
		return false
	}
	var run func()
	run = func() {
		s.busy++
		isOver := false
		work(func() {
			if isOver {
				return
			}
			isOver = true
			s.busy--
			if len(s.line) > 0 {
				next := s.line[0]
				s.line = s.line[1:]
				next()
			}
		})
	}
	if s.busy >= s.lines.size.Slots {
		s.line = append(s.line, run)
		return true
	}
	run()
	return true
}

// lineTurn is a transaction at a server.
type lineTurn struct {
	isRead   bool
	isFailed bool
	term     uint64
	size     int
	ids      []string
	by       *clientTurn
}

// session is the server's end of a connection.
type session struct {
	server       *server
	link         *lineLink
	values       map[string]string
	shapes       map[string]string
	before       [2]map[string]string
	turn         *lineTurn
	queue        []linepool.Out
	isBusy       bool
	isGone       bool
	isCommitting bool
	free         func()
}

func (x *session) drop() {
	if x.isGone {
		return
	}
	x.isGone, x.turn = true, nil
	x.server.sessions = slices.DeleteFunc(x.server.sessions, func(other *session) bool { return other == x })
	if x.free != nil {
		x.free()
	}
}

// far drops the session for its far end's closing; what came before may still
// be run.
func (x *session) far() {
	if x.isGone {
		return
	}
	if x.server.world.chance(0.5) {
		x.queue = nil
	}
	if len(x.queue) == 0 && !x.isBusy {
		x.drop()
		return
	}
	x.server.do(20*time.Millisecond, x.far)
}

func (x *session) state() byte {
	if x.turn == nil {
		return words.StateIdle
	}
	if x.turn.isFailed {
		return words.StateFailed
	}
	return words.StateInside
}

func (x *session) say(messages ...words.Message) {
	messages = append(messages, words.Message{Kind: words.KindReady, State: x.state(), Position: x.server.position()})
	if x.server.lose > 0 && x.server.world.chance(0.3) {
		x.server.lose--
		x.server.world.note("%s loses an answer", x.server.name)
		messages = messages[:x.server.world.random.IntN(len(messages))]
		x.link.toNode(messages)
		x.drop()
		x.link.broken()
		return
	}
	x.link.toNode(messages)
}

func good(tail string) words.Message { return words.Message{Kind: words.KindDone, Tail: tail} }

func refusal(code words.Code, tail string) words.Message {
	return words.Message{Kind: words.KindError, Code: code, Tail: tail}
}

func (x *session) next() {
	if x.isBusy || x.isGone || len(x.queue) == 0 {
		return
	}
	out := x.queue[0]
	x.queue = x.queue[1:]
	own, isOwn := owns[out.Kind]
	if isOwn {
		x.say(own(x, out))
		x.next()
		return
	}
	x.isBusy = true
	isTaken := x.server.take(func(done func()) {
		x.free = done
		if x.isGone {
			done()
			return
		}
		x.server.do(x.server.world.between(x.server.service/2, x.server.service*3/2), func() { x.run(out) })
	})
	if !isTaken {
		x.over(refusal(words.CodeBusy, "BUSY"))
	}
}

func (x *session) over(messages ...words.Message) {
	x.isBusy, x.isCommitting = false, false
	if x.free != nil {
		free := x.free
		x.free = nil
		free()
	}
	if x.isGone {
		return
	}
	x.say(messages...)
	x.next()
}

var owns map[linepool.OutKind]func(*session, linepool.Out) words.Message

func init() {
	owns = map[linepool.OutKind]func(*session, linepool.Out) words.Message{
		linepool.OutReset: func(x *session, _ linepool.Out) words.Message {
			if !x.server.lines.defect.IsUnclean {
				x.values, x.shapes = map[string]string{}, map[string]string{}
			}
			return good("-")
		},
		linepool.OutSet: func(x *session, out linepool.Out) words.Message {
			x.values[out.Name] = out.Value
			return good("-")
		},
		linepool.OutPrepare: func(x *session, out linepool.Out) words.Message {
			x.shapes[out.Name] = out.Value
			return good("-")
		},
		linepool.OutRollback: func(x *session, _ linepool.Out) words.Message {
			if x.turn == nil {
				return refusal(words.CodeMalformed, "MALFORMED")
			}
			x.undo()
			return good("-")
		},
		linepool.OutBegin:     func(x *session, out linepool.Out) words.Message { return x.begin(out, false) },
		linepool.OutBeginRead: func(x *session, out linepool.Out) words.Message { return x.begin(out, true) },
	}
}

func (x *session) undo() {
	if x.before[0] != nil {
		x.values, x.shapes = x.before[0], x.before[1]
	}
	x.turn, x.before = nil, [2]map[string]string{}
}

func (x *session) begin(out linepool.Out, isRead bool) words.Message {
	s := x.server
	if x.turn != nil {
		return refusal(words.CodeMalformed, "MALFORMED")
	}
	if !isRead && s.role != model.RolePrimary {
		return refusal(words.CodeReadOnly, "READONLY "+s.name)
	}
	if s.position().IsBefore(out.Floor) {
		return refusal(words.CodeLagging, "LAGGING")
	}
	x.turn = &lineTurn{isRead: isRead, term: s.term, size: len(s.entries)}
	x.before = [2]map[string]string{maps.Clone(x.values), maps.Clone(x.shapes)}
	return good("-")
}

// run runs a statement of a client's.
func (x *session) run(out linepool.Out) {
	s, l := x.server, x.server.lines
	if x.isGone {
		return
	}
	text := out.Text
	if out.Kind == linepool.OutRun {
		shape, isHeld := x.shapes[out.Name]
		if !isHeld {
			x.over(refusal(words.CodeNotFound, "NOTFOUND"))
			return
		}
		text = shape + out.Value
	}
	isWrite, isCommit := strings.HasPrefix(text, "write"), text == "commit"
	isLost := x.turn != nil && !x.turn.isRead && (s.role != model.RolePrimary || s.term != x.turn.term)
	isLost = isLost || (isWrite && (s.role != model.RolePrimary || (x.turn != nil && x.turn.isRead)))
	if isLost && !(isCommit && len(x.turn.ids) == 0) {
		if isCommit {
			x.undo()
		} else if x.turn != nil {
			x.turn.isFailed = true
		}
		x.over(refusal(words.CodeReadOnly, "READONLY "+s.name))
		return
	}
	if x.turn == nil && s.position().IsBefore(out.Floor) {
		x.over(refusal(words.CodeLagging, "LAGGING"))
		return
	}
	one := l.watch(x, out.ID, text)
	if one == nil {
		x.over(refusal(words.CodeOther, "OTHER"))
		return
	}
	s.made++
	stamp := fmt.Sprintf("%s.%s.%d", out.ID, s.name, s.made)
	l.stamps[stamp] = out.ID
	if isCommit {
		x.commit(one, stamp)
		return
	}
	if isWrite && x.turn == nil {
		x.keep(one, []string{out.ID}, stamp)
		return
	}
	if isWrite {
		x.turn.ids = append(x.turn.ids, out.ID)
	}
	x.over(words.Message{Kind: words.KindRow, Tail: "row " + stamp}, good(stamp))
}

func (x *session) commit(one *ask, stamp string) {
	ids := x.turn.ids
	x.turn, x.before = nil, [2]map[string]string{}
	if len(ids) == 0 {
		x.over(good(stamp))
		return
	}
	x.keep(one, ids, stamp)
}

func (x *session) keep(one *ask, ids []string, stamp string) {
	s := x.server
	x.isCommitting = true
	one.isOld = s.lines.leaders[s.database] > s.term
	one.database = s.database
	one.position = s.append(ids, func() {
		if !x.isGone {
			x.over(good(stamp))
		}
	})
}
