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

type logEntry struct {
	term uint64
	ids  []string
}

type pendingCommit struct {
	position model.Position
	done     func()
}

// server is a synced instance: its log is numbered, and a commit is answered
// once one replica has received it.
type lineInstance struct {
	machine
	fleet               *lineFleet
	database            string
	address             string
	role                string
	term                uint64
	entries             []logEntry
	upstream            *lineInstance
	replicationDelay    time.Duration
	serviceTime         time.Duration
	sessions            []*serverSession
	busySlots           int
	queue               []func()
	pendingCommits      []pendingCommit
	appendWaiters       []func()
	announcementsMade   uint64
	leavingSince        time.Duration
	leavingAcknowledged time.Duration
	ended               bool
	answersToLose       int
	statementsMade      int
}

func (l *lineFleet) addInstance(database, name, address, zone string) *lineInstance {
	one := &lineInstance{machine: l.newMachine(name), fleet: l, database: database, address: address, replicationDelay: 2 * time.Millisecond, serviceTime: 5 * time.Millisecond}
	one.zone, one.crashHandler = zone, one.onCrash
	l.lineInstances = append(l.lineInstances, one)
	l.instancesByAddress[address] = one
	return one
}

func (s *lineInstance) position() model.Position {
	if len(s.entries) == 0 {
		return model.Position{}
	}
	return model.Position{Term: s.entries[len(s.entries)-1].term, Index: uint64(len(s.entries))}
}

func (s *lineInstance) holds(position model.Position) bool {
	at := int(position.Index)
	return at == 0 || (at <= len(s.entries) && s.entries[at-1].term == position.Term)
}

func (s *lineInstance) start() {
	s.running, s.frozen, s.deferred, s.appendWaiters = true, false, nil, nil
	s.sessions, s.busySlots, s.queue, s.pendingCommits = nil, 0, nil, nil
	if s.fleet.newestTerms[s.database] > s.term {
		s.role = model.RoleReplica
	}
	s.simulator.record("%s up as %s of term %d at %v", s.name, s.role, s.term, s.position())
	s.after(time.Millisecond, s.heartbeat)
	s.after(time.Millisecond, s.replicate)
	if s.role == model.RolePrimary && s.term > 1 {
		s.redirectReplicas()
	}
	if s.leavingSince != 0 {
		s.drain(max(s.leavingSince+drainDuration-s.simulator.now, 0))
	}
}

func (s *lineInstance) onCrash(vanished bool) {
	for _, one := range slices.Clone(s.sessions) {
		one.closed = true
		if !vanished {
			one.connection.breakOff()
		}
	}
	s.sessions = nil
}

func (s *lineInstance) info() model.Instance {
	s.announcementsMade++
	return model.Instance{
		Name: s.name, Database: s.database, Address: s.address, Zone: s.zone, Role: s.role, Leaving: s.leavingSince != 0,
		Slots: s.fleet.lineConfig.Slots, SyncReplication: true, AnnouncementNumber: s.announcementsMade,
	}
}

func (s *lineInstance) heartbeat() {
	s.after(400*time.Millisecond, s.heartbeat)
	s.announce(s.info(), 2)
}

// announce brings an announcement to any control machine, which passes it to
// the primary before it answers.
func (s *lineInstance) announce(info model.Instance, goes int) {
	first := pickRandom(s.fleet.fleet, s.fleet.controls)
	answered := false
	s.simulator.send(&s.machine, &first.machine, func() {
		primary := first.fleet.findControl(first.consensus.Record().Primary)
		if primary == nil {
			return
		}
		s.simulator.send(&first.machine, &primary.machine, func() {
			if !primary.isPrimary() {
				return
			}
			primary.onAnnouncement(info)
			s.simulator.send(&primary.machine, &first.machine, func() {
				s.simulator.send(&first.machine, &s.machine, func() {
					answered = true
					if info.Leaving && s.leavingAcknowledged == 0 {
						s.leavingAcknowledged = s.simulator.now
					}
				})
			})
		})
	})
	s.after(200*time.Millisecond, func() {
		if !answered && goes > 0 {
			s.announce(info, goes-1)
		}
	})
}

func (c *controlServer) onAnnouncement(info model.Instance) {
	if last, known := c.announcements[info.Name]; known && info.AnnouncementNumber <= last.Instance.AnnouncementNumber {
		return
	}
	c.announcements[info.Name] = distribution.Observation{Instance: info, ObservedAt: c.clock()}
	var list []distribution.Observation
	for _, name := range slices.Sorted(maps.Keys(c.announcements)) {
		list = append(list, c.announcements[name])
	}
	if c.distributor.UpdateInstances(list) {
		c.flushUpdates()
	}
}

// leave plays a planned end: what comes after has its log and address.
func (s *lineInstance) leave() {
	if s.leavingSince != 0 || s.ended {
		return
	}
	s.leavingSince = s.simulator.now
	s.simulator.record("%s is leaving", s.name)
	s.announce(s.info(), 2)
	s.drain(drainDuration)
}

const drainDuration = drainTimeout + 1500*time.Millisecond

// drain ends the server after a span; a crash does not call the end off.
func (s *lineInstance) drain(span time.Duration) {
	s.after(span, func() {
		info := s.info()
		info.Stopped = true
		s.announce(info, 2)
		s.after(500*time.Millisecond, s.end)
	})
}

func (s *lineInstance) end() {
	s.simulator.record("%s ends", s.name)
	s.crash()
	s.ended = true
	s.fleet.lastNumber++
	s.simulator.after(300*time.Millisecond, func() {
		next := s.fleet.addInstance(s.database, fmt.Sprintf("%s.%d", strings.Split(s.name, ".")[0], s.fleet.lastNumber), s.address, s.zone)
		next.role, next.term, next.entries, next.upstream = model.RoleReplica, s.term, slices.Clone(s.entries), s.upstream
		if s.role == model.RolePrimary && s.fleet.newestTerms[s.database] == s.term {
			next.role = model.RolePrimary
		}
		for _, other := range s.fleet.instancesOf(s.database) {
			if other.upstream == s {
				other.upstream = next
			}
		}
		next.start()
	})
}

// append adds a commit, and answers once a replica has received it.
func (s *lineInstance) append(ids []string, done func()) model.Position {
	s.entries = append(s.entries, logEntry{term: s.term, ids: ids})
	position := s.position()
	l := s.fleet
	for _, id := range ids {
		if before, isThere := l.commitPositions[id]; isThere {
			l.addRuleViolation(RuleTwice, "%s is at %v and at %v", id, before, position)
		}
		l.commitPositions[id] = position
		if word := l.refusedIDs[id]; word != "" {
			l.addRuleViolation(RuleRefused, "%s was told %s, and is kept at %v", id, word, position)
		}
	}
	s.pendingCommits = append(s.pendingCommits, pendingCommit{position: position, done: done})
	s.wakeAppendWaiters()
	return position
}

func (s *lineInstance) wakeAppendWaiters() {
	waiting := s.appendWaiters
	s.appendWaiters = nil
	for _, wake := range waiting {
		wake()
	}
}

func (s *lineInstance) onReceived(position model.Position) {
	if s.role != model.RolePrimary {
		return
	}
	var kept []pendingCommit
	for _, one := range s.pendingCommits {
		if one.position.Index <= position.Index && s.holds(position) {
			one.done()
			continue
		}
		kept = append(kept, one)
	}
	s.pendingCommits = kept
}

func (s *lineInstance) awaitBeyond(size int, wait time.Duration, wake func()) {
	woken := false
	once := func() {
		if !woken {
			woken = true
			wake()
		}
	}
	if len(s.entries) > size {
		once()
		return
	}
	s.appendWaiters = append(s.appendWaiters, once)
	s.after(wait, once)
}

// pull follows the primary known: what it has received it says at once.
func (s *lineInstance) replicate() {
	if s.role != model.RoleReplica || s.upstream == nil || s.upstream == s {
		s.after(50*time.Millisecond, s.replicate)
		return
	}
	up, after := s.upstream, s.position()
	finished := false
	again := func() {
		if !finished {
			finished = true
			s.replicate()
		}
	}
	s.after(300*time.Millisecond, again)
	s.simulator.send(&s.machine, &up.machine, func() {
		if up.role != model.RolePrimary {
			return
		}
		up.onReceived(after)
		isCut := !up.holds(after)
		size := len(s.entries)
		if isCut {
			size = 0
		}
		up.awaitBeyond(size, 120*time.Millisecond, func() {
			entries, term := up.entries, up.term
			up.simulator.send(&up.machine, &s.machine, func() {
				s.after(s.replicationDelay, func() {
					if !finished && s.role == model.RoleReplica && s.upstream == up && s.position() == after && term >= s.term {
						s.adoptLog(entries, term)
					}
					again()
				})
			})
		})
	})
}

func (s *lineInstance) adoptLog(entries []logEntry, term uint64) {
	same := min(len(entries), len(s.entries))
	for same > 0 && entries[same-1].term != s.entries[same-1].term {
		same--
	}
	if same < len(s.entries) {
		s.simulator.record("%s is cut back from %d to %d", s.name, len(s.entries), same)
		s.entries = slices.Clone(s.entries[:same])
	}
	s.entries = append(s.entries, entries[same:]...)
	s.term = max(s.term, term)
	up := s.upstream
	position := s.position()
	s.simulator.send(&s.machine, &up.machine, func() { up.onReceived(position) })
}

// lead makes the server primary of a term, and has the others follow.
func (s *lineInstance) becomePrimary(term uint64) {
	l := s.fleet
	s.role, s.term, s.pendingCommits = model.RolePrimary, term, nil
	l.newestTerms[s.database] = term
	s.simulator.record("%s leads term %d at %v", s.name, term, s.position())
	l.checkComplete(s, "the promoted one")
	s.announce(s.info(), 2)
	s.redirectReplicas()
}

// gather has the others follow; a primary that starts again does so anew.
func (s *lineInstance) redirectReplicas() {
	for _, other := range s.fleet.instancesOf(s.database) {
		if other != s {
			s.redirectReplica(other, s.term, 200)
		}
	}
}

func (s *lineInstance) redirectReplica(other *lineInstance, term uint64, goes int) {
	if goes == 0 || s.term != term || other.ended {
		return
	}
	isHeard := false
	s.simulator.send(&s.machine, &other.machine, func() {
		isHeard = true
		if other.term >= term {
			return
		}
		if other.role == model.RolePrimary {
			other.after(time.Second, func() { other.stepDown(term, s) })
			return
		}
		other.term, other.upstream = term, s
	})
	s.after(200*time.Millisecond, func() {
		if !isHeard {
			s.redirectReplica(other, term, goes-1)
		}
	})
}

func (s *lineInstance) stepDown(term uint64, to *lineInstance) {
	if s.term >= term {
		return
	}
	s.simulator.record("%s steps down for term %d", s.name, term)
	s.role, s.term, s.upstream, s.pendingCommits = model.RoleReplica, term, to, nil
	for _, one := range slices.Clone(s.sessions) {
		if one.committing {
			one.close()
			one.connection.breakOff()
		}
	}
	s.announce(s.info(), 2)
}

// take has work wait for a slot; it gives false where the line is too long.
func (s *lineInstance) runInSlot(work func(done func())) bool {
	if len(s.queue) > 12 {
		return false
	}
	var run func()
	run = func() {
		s.busySlots++
		finished := false
		work(func() {
			if finished {
				return
			}
			finished = true
			s.busySlots--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
		})
	}
	if s.busySlots >= s.fleet.lineConfig.Slots {
		s.queue = append(s.queue, run)
		return true
	}
	run()
	return true
}

// lineTurn is a transaction at a server.
type lineTransaction struct {
	readOnly bool
	failed   bool
	term     uint64
	logSize  int
	writeIDs []string
	owner    *clientTransaction
}

// session is the server's end of a connection.
type serverSession struct {
	instance          *lineInstance
	connection        *lineConnection
	values            map[string]string
	shapes            map[string]string
	beforeTransaction [2]map[string]string
	transaction       *lineTransaction
	queue             []linepool.Command
	busy              bool
	closed            bool
	committing        bool
	releaseSlot       func()
}

func (x *serverSession) close() {
	if x.closed {
		return
	}
	x.closed, x.transaction = true, nil
	x.instance.sessions = slices.DeleteFunc(x.instance.sessions, func(other *serverSession) bool { return other == x })
	if x.releaseSlot != nil {
		x.releaseSlot()
	}
}

// far drops the session for its far end's closing; what came before may still
// be run.
func (x *serverSession) closeFromPeer() {
	if x.closed {
		return
	}
	if x.instance.simulator.chance(0.5) {
		x.queue = nil
	}
	if len(x.queue) == 0 && !x.busy {
		x.close()
		return
	}
	x.instance.after(20*time.Millisecond, x.closeFromPeer)
}

func (x *serverSession) state() byte {
	if x.transaction == nil {
		return words.StateIdle
	}
	if x.transaction.failed {
		return words.StateFailed
	}
	return words.StateInTransaction
}

func (x *serverSession) answer(messages ...words.Message) {
	messages = append(messages, words.Message{Kind: words.KindReady, State: x.state(), Position: x.instance.position()})
	if x.instance.answersToLose > 0 && x.instance.simulator.chance(0.3) {
		x.instance.answersToLose--
		x.instance.simulator.record("%s loses an answer", x.instance.name)
		messages = messages[:x.instance.simulator.random.IntN(len(messages))]
		x.connection.deliverMessages(messages)
		x.close()
		x.connection.breakOff()
		return
	}
	x.connection.deliverMessages(messages)
}

func doneMessage(tail string) words.Message {
	return words.Message{Kind: words.KindDone, Payload: tail}
}

func errorMessage(code words.Code, tail string) words.Message {
	return words.Message{Kind: words.KindError, Code: code, Payload: tail}
}

func (x *serverSession) runNext() {
	if x.busy || x.closed || len(x.queue) == 0 {
		return
	}
	out := x.queue[0]
	x.queue = x.queue[1:]
	own, isOwn := localStatements[out.Kind]
	if isOwn {
		x.answer(own(x, out))
		x.runNext()
		return
	}
	x.busy = true
	accepted := x.instance.runInSlot(func(done func()) {
		x.releaseSlot = done
		if x.closed {
			done()
			return
		}
		x.instance.after(x.instance.simulator.randomDuration(x.instance.serviceTime/2, x.instance.serviceTime*3/2), func() { x.run(out) })
	})
	if !accepted {
		x.finish(errorMessage(words.CodeBusy, "BUSY"))
	}
}

func (x *serverSession) finish(messages ...words.Message) {
	x.busy, x.committing = false, false
	if x.releaseSlot != nil {
		free := x.releaseSlot
		x.releaseSlot = nil
		free()
	}
	if x.closed {
		return
	}
	x.answer(messages...)
	x.runNext()
}

var localStatements map[linepool.CommandKind]func(*serverSession, linepool.Command) words.Message

func init() {
	localStatements = map[linepool.CommandKind]func(*serverSession, linepool.Command) words.Message{
		linepool.CommandReset: func(x *serverSession, _ linepool.Command) words.Message {
			if !x.instance.fleet.defects.IgnoredResets {
				x.values, x.shapes = map[string]string{}, map[string]string{}
			}
			return doneMessage("-")
		},
		linepool.CommandSet: func(x *serverSession, out linepool.Command) words.Message {
			x.values[out.Name] = out.Value
			return doneMessage("-")
		},
		linepool.CommandPrepare: func(x *serverSession, out linepool.Command) words.Message {
			x.shapes[out.Name] = out.Value
			return doneMessage("-")
		},
		linepool.CommandRollback: func(x *serverSession, _ linepool.Command) words.Message {
			if x.transaction == nil {
				return errorMessage(words.CodeMalformed, "MALFORMED")
			}
			x.rollBack()
			return doneMessage("-")
		},
		linepool.CommandBegin:         func(x *serverSession, out linepool.Command) words.Message { return x.begin(out, false) },
		linepool.CommandBeginReadOnly: func(x *serverSession, out linepool.Command) words.Message { return x.begin(out, true) },
	}
}

func (x *serverSession) rollBack() {
	if x.beforeTransaction[0] != nil {
		x.values, x.shapes = x.beforeTransaction[0], x.beforeTransaction[1]
	}
	x.transaction, x.beforeTransaction = nil, [2]map[string]string{}
}

func (x *serverSession) begin(out linepool.Command, isRead bool) words.Message {
	s := x.instance
	if x.transaction != nil {
		return errorMessage(words.CodeMalformed, "MALFORMED")
	}
	if !isRead && s.role != model.RolePrimary {
		return errorMessage(words.CodeReadOnly, "READONLY "+s.name)
	}
	if s.position().IsBefore(out.MinPosition) {
		return errorMessage(words.CodeLagging, "LAGGING")
	}
	x.transaction = &lineTransaction{readOnly: isRead, term: s.term, logSize: len(s.entries)}
	x.beforeTransaction = [2]map[string]string{maps.Clone(x.values), maps.Clone(x.shapes)}
	return doneMessage("-")
}

// run runs a statement of a client's.
func (x *serverSession) run(out linepool.Command) {
	s, l := x.instance, x.instance.fleet
	if x.closed {
		return
	}
	text := out.Text
	if out.Kind == linepool.CommandExecute {
		shape, found := x.shapes[out.Name]
		if !found {
			x.finish(errorMessage(words.CodeNotFound, "NOTFOUND"))
			return
		}
		text = shape + out.Value
	}
	isWrite, isCommit := strings.HasPrefix(text, "write"), text == "commit"
	isLost := x.transaction != nil && !x.transaction.readOnly && (s.role != model.RolePrimary || s.term != x.transaction.term)
	isLost = isLost || (isWrite && (s.role != model.RolePrimary || (x.transaction != nil && x.transaction.readOnly)))
	if isLost && !(isCommit && len(x.transaction.writeIDs) == 0) {
		if isCommit {
			x.rollBack()
		} else if x.transaction != nil {
			x.transaction.failed = true
		}
		x.finish(errorMessage(words.CodeReadOnly, "READONLY "+s.name))
		return
	}
	if x.transaction == nil && s.position().IsBefore(out.MinPosition) {
		x.finish(errorMessage(words.CodeLagging, "LAGGING"))
		return
	}
	one := l.checkStatement(x, out.ID, text)
	if one == nil {
		x.finish(errorMessage(words.CodeOther, "OTHER"))
		return
	}
	s.statementsMade++
	stamp := fmt.Sprintf("%s.%s.%d", out.ID, s.name, s.statementsMade)
	l.stampOwners[stamp] = out.ID
	if isCommit {
		x.commit(one, stamp)
		return
	}
	if isWrite && x.transaction == nil {
		x.appendCommit(one, []string{out.ID}, stamp)
		return
	}
	if isWrite {
		x.transaction.writeIDs = append(x.transaction.writeIDs, out.ID)
	}
	x.finish(words.Message{Kind: words.KindRow, Payload: "row " + stamp}, doneMessage(stamp))
}

func (x *serverSession) commit(one *query, stamp string) {
	ids := x.transaction.writeIDs
	x.transaction, x.beforeTransaction = nil, [2]map[string]string{}
	if len(ids) == 0 {
		x.finish(doneMessage(stamp))
		return
	}
	x.appendCommit(one, ids, stamp)
}

func (x *serverSession) appendCommit(one *query, ids []string, stamp string) {
	s := x.instance
	x.committing = true
	one.byOldPrimary = s.fleet.newestTerms[s.database] > s.term
	one.database = s.database
	one.position = s.append(ids, func() {
		if !x.closed {
			x.finish(doneMessage(stamp))
		}
	})
}
