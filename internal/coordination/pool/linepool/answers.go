package linepool

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/coordination/routing"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// Announced takes an instance as the control primary tells it.
func (m *Machine) Announced(info model.Instance, now time.Duration) {
	one := m.base(info.Database)
	rank := m.backNames.Rank(info.Name)
	for len(m.backs) <= rank {
		database, _ := m.names.Find(info.Database)
		m.backs = append(m.backs, &back{window: newWindow(m.tuning), database: database, answered: -time.Hour})
	}
	held := m.backs[rank]
	known := held.info
	if info.Connections <= 1 {
		info.Connections = known.Connections
	}
	held.info = info
	if known.Name != "" && (known.Role != info.Role || (known.IsLeaving && !info.IsLeaving)) {
		held.window.Restart()
	}
	if known.Address != info.Address || info.IsGone {
		m.shutIdle(held, now)
	}
	if !info.IsLeaving && !info.IsGone {
		held.leavingAt = 0
	} else if held.leavingAt == 0 {
		held.leavingAt = now
		if known.Name == "" {
			held.leavingAt = now - m.timing.Leaving + m.timing.Late
		}
		if !m.isHead(held) {
			m.shutIdle(held, now)
		}
	}
	m.retune(held)
	m.pump(one, now)
}

func newWindow(tuning flowcontrol.Tuning) *flowcontrol.Window { return flowcontrol.New(tuning) }

func (m *Machine) caps(set model.Set) {
	for _, held := range m.backs {
		told, isTold := set.Database(held.info.Database)
		if !isTold || told.Connections == held.info.Connections {
			continue
		}
		isNew := held.info.Connections <= 1
		held.info.Connections = told.Connections
		m.retune(held)
		if isNew {
			held.window.Restart()
		}
	}
}

// Ask gives the next ask for news.
func (m *Machine) Ask(now time.Duration) distribution.AskNews {
	m.effective(now)
	ask := m.serve.AskBrief(m.seen(now), now)
	ask.Roll, ask.Birth = m.roll, m.place.Birth
	for _, one := range m.bases {
		one.isDropped = one.closedAt != 0
	}
	return ask
}

// Told gives what is seen, for the control primary: the primaries, and the
// instances in trouble, less what it has by earlier asks.
func (m *Machine) Told(now time.Duration) distribution.Told { return m.serve.Brief(m.seen(now), now) }

func (m *Machine) seen(now time.Duration) distribution.Told {
	told := distribution.Told{Node: m.place.Name, Highs: map[string]model.Position{}}
	for _, held := range m.backs {
		one := m.baseOf(held)
		overdue := m.overdue(held, now)
		writer := m.serve.Writer(one.name)
		isNamed := writer.Primary == held.info.Name || writer.Intent == held.info.Name
		if !isNamed && held.refused == 0 && overdue < 300*time.Millisecond {
			continue
		}
		seen := held.info
		seen.Position = held.position
		told.Reports = append(told.Reports, distribution.Report{
			Instance: seen, Answered: now - held.answered, Refused: held.refused, Overdue: overdue,
		})
	}
	for _, one := range m.bases {
		if one.high != (model.Position{}) {
			told.Highs[one.name] = one.high
		}
	}
	return told
}

// overdue is the age of the oldest thing asked of an instance while nothing
// was heard of it.
func (m *Machine) overdue(held *back, now time.Duration) time.Duration {
	oldest := now
	for _, conn := range held.conns {
		if conn.leg != nil {
			oldest = min(oldest, conn.leg.sentAt)
		}
		if conn.state == connOpening {
			oldest = min(oldest, conn.opened)
		}
	}
	if oldest == now {
		return 0
	}
	return now - max(oldest, held.answered)
}

// watch tells the control primary at once when a primary turns doubtful.
func (m *Machine) watch(now time.Duration) {
	for _, one := range m.bases {
		_, target, isOpen := m.writer(one)
		if !isOpen {
			continue
		}
		level := 0
		for _, bound := range []time.Duration{300 * time.Millisecond, 610 * time.Millisecond} {
			if m.overdue(target, now) > bound {
				level++
			}
		}
		level += min(target.refused, 2) * 4
		if level > target.told {
			m.emit(Report{})
		}
		target.told = level
	}
}

// IsSettling says whether commits are out at a primary whose term is closing,
// which may still be answered: the next ask, which tells that this node has
// stopped there, waits for them a little.
func (m *Machine) IsSettling(now time.Duration) bool {
	for _, one := range m.bases {
		head := m.back(m.serve.Writer(one.name).Primary)
		isAlive := head != nil && now-head.answered < 2*m.timing.Settle
		if isAlive && one.closedAt != 0 && now-one.closedAt < m.timing.Settle && len(m.stranded(one)) > 0 {
			return true
		}
	}
	return false
}

func (m *Machine) stranded(one *base) []*Job {
	writer, _, isOpen := m.writer(one)
	var found []*Job
	for _, j := range one.out {
		if j.mayLast() && j.isSent() && (!isOpen || j.term != writer.Term) {
			found = append(found, j)
		}
	}
	return found
}

// Took takes news that answers an ask sent at a moment.
func (m *Machine) Took(news distribution.News, sent, now time.Duration) {
	if news.Doc != nil {
		m.count("docs_taken", 1)
	}
	for _, moved := range m.serve.Take(news, sent, now) {
		m.emit(Turned{Moved: moved})
		m.onMoved(m.base(moved.Database), moved, now)
	}
	if news.IsPrimary {
		for _, one := range m.bases {
			writer := m.serve.Writer(one.name)
			if writer.Phase != model.PhaseOpen && writer.Floor != (model.Position{}) {
				m.sample(one, sent, writer.Floor, now)
			}
		}
	}
	if news.Instances != nil {
		m.roll = news.Roll
		for _, info := range news.Instances {
			m.Announced(info, now)
		}
	}
	m.caps(m.serve.Doc().Newest())
	m.effective(now)
	m.welcome(now)
	m.pumpAll(now)
}

func (m *Machine) onMoved(one *base, moved routing.Moved, now time.Duration) {
	m.count("writer_moves", 1)
	if moved.After.Phase == model.PhaseOpen {
		one.closedAt, one.isDropped = 0, false
		if moved.Before.Term != moved.After.Term {
			one.samples = nil
		}
	} else if one.closedAt == 0 {
		one.closedAt = now
	}
	old := m.back(moved.Before.Primary)
	isFenced := moved.Before.Phase == model.PhaseOpen && old != nil && (moved.After.Phase != model.PhaseOpen || moved.After.Term != moved.Before.Term)
	if !isFenced {
		return
	}
	isOld := func(term uint64) bool { return moved.After.Phase != model.PhaseOpen || term != moved.After.Term }
	for _, j := range slices.Clone(one.out) {
		isRead := j.phase == phaseOut && j.isFree() && j.isStrict && len(j.legs) > 0
		if isRead && isOld(j.term) && j.legs[0].conn.back == old {
			m.again(j, now)
		}
	}
	for _, conn := range slices.Clone(old.conns) {
		owner := conn.owner
		if owner == nil || owner.turn == nil || owner.turn.isRead || !isOld(conn.term) {
			continue
		}
		if j := owner.job; j != nil && j.isCommit && j.isSent() {
			continue
		}
		m.loseTurn(owner, now)
	}
	m.shutIdle(old, now)
}

// loseTurn gives up a transaction on the instance's side; the client is told
// at its next word, or now where a statement is out.
func (m *Machine) loseTurn(c *Client, now time.Duration) {
	held := c.turn
	if held == nil || held.isLost {
		return
	}
	j := c.job
	if j != nil && j.isSent() && j.mayLast() {
		m.cut(j, now)
		return
	}
	held.isLost = true
	conn := held.conn
	held.conn = nil
	if conn != nil {
		conn.owner = nil
		m.shut(conn, now)
	}
	if j != nil && j.phase != phaseEnded {
		m.abortTurn(j, now)
	}
}

// abortTurn ends a statement whose transaction is over and was not asked to
// commit: nothing of it is kept.
func (m *Machine) abortTurn(j *Job, now time.Duration) {
	c := j.client
	m.close(j)
	m.endTurn(c, now)
	c.state = lineproto.StateFailed
	if j.isCommit {
		c.state = lineproto.StateIdle
	}
	m.fail(c, lineproto.CodeAborted, "the transaction was lost with its instance; nothing is kept", true)
	m.next(c, now)
}

// close takes a statement out of every line.
func (m *Machine) close(j *Job) {
	one := m.base(j.binding.Database)
	m.unline(j)
	remove(&one.out, j)
	remove(&one.confirms, j)
	j.phase = phaseEnded
	for _, held := range j.legs {
		held.isDropped = true
	}
	if j.client.job == j {
		j.client.job = nil
	}
}

// refuse ends a statement that was not passed on.
func (m *Machine) refuse(j *Job, code lineproto.Code, text string, now time.Duration) {
	c := j.client
	m.close(j)
	m.settleState(j, now)
	m.fail(c, code, text, true)
	m.next(c, now)
}

// settleState brings the client's state to that after a failed statement.
func (m *Machine) settleState(j *Job, now time.Duration) {
	c := j.client
	if j.turn == nil {
		return
	}
	m.endTurn(c, now)
	c.state = lineproto.StateFailed
	if j.isCommit {
		c.state = lineproto.StateIdle
	}
}

// forsake ends a statement whose client has gone.
func (m *Machine) forsake(j *Job, _ time.Duration) { m.close(j) }

// again puts a read back in line; what is out of it is not waited for.
func (m *Machine) again(j *Job, now time.Duration) {
	one := m.base(j.binding.Database)
	remove(&one.out, j)
	for _, held := range j.legs {
		held.isDropped = true
	}
	j.legs, j.isTwin = nil, false
	j.tries++
	if j.tries > m.timing.Tries {
		m.refuse(j, lineproto.CodeBusy, "no instance took it; come back in 200 ms", now)
		return
	}
	m.bind(j, now)
}

// pause puts a statement that an instance refused back in line; unless it
// lagged, and another may not, it waits a little.
func (m *Machine) pause(j *Job, code lineproto.Code, now time.Duration) {
	if code != lineproto.CodeLagging {
		j.restAt = now + time.Duration(j.tries+1)*m.timing.Pause
	}
	m.again(j, now)
}

// Came takes messages from an instance, in order.
func (m *Machine) Came(conn *Conn, message lineproto.Message, now time.Duration) {
	if conn.state == connOver {
		return
	}
	held := conn.back
	if conn.state == connOpening {
		m.onOpening(conn, message, now)
		return
	}
	held.answered, held.refused = now, 0
	if len(conn.waits) == 0 {
		m.count("answers_unasked", 1)
		m.Lost(conn, now)
		return
	}
	first := conn.waits[0]
	act, isKnown := arrivals[message.Kind]
	isPast := first.leg != nil && first.leg.hasEnd && message.Kind != lineproto.KindReady
	if !isKnown || isPast {
		m.count("answers_malformed", 1)
		m.Lost(conn, now)
		return
	}
	act(m, conn, first, message, now)
}

var arrivals map[lineproto.Kind]func(*Machine, *Conn, wait, lineproto.Message, time.Duration)

func init() {
	arrivals = map[lineproto.Kind]func(*Machine, *Conn, wait, lineproto.Message, time.Duration){
		lineproto.KindRow: func(_ *Machine, _ *Conn, first wait, message lineproto.Message, _ time.Duration) {
			if first.leg != nil {
				first.leg.rows = append(first.leg.rows, message)
			}
		},
		lineproto.KindDone:  (*Machine).onEnd,
		lineproto.KindError: (*Machine).onEnd,
		lineproto.KindReady: (*Machine).onReady,
	}
}

func (m *Machine) onEnd(conn *Conn, first wait, message lineproto.Message, _ time.Duration) {
	if first.leg != nil {
		first.leg.end, first.leg.hasEnd = message, true
		return
	}
	if message.Kind == lineproto.KindError {
		m.count("own_statements_failed", 1)
		conn.isDirty = true
	}
}

func (m *Machine) onOpening(conn *Conn, message lineproto.Message, now time.Duration) {
	held := conn.back
	if message.Code == lineproto.CodeWrongHost {
		m.Lost(conn, now)
		return
	}
	held.opening--
	held.answered, held.refused = now, 0
	if message.Kind != lineproto.KindReady {
		m.count("connections_refused", 1)
		m.rest(held, now)
		conn.state = connIdle
		m.shut(conn, now)
		return
	}
	m.count("connections_opened", 1)
	held.rest = 0
	held.position = held.position.Later(message.Position)
	conn.state = connBusy
	m.recycle(conn, now)
	m.pump(m.baseOf(held), now)
}

func (m *Machine) rest(held *back, now time.Duration) {
	held.rest = min(max(2*held.rest, m.timing.RestFirst), m.timing.RestMost)
	held.restAt = now + held.rest
}

func (m *Machine) onReady(conn *Conn, first wait, message lineproto.Message, now time.Duration) {
	held := conn.back
	conn.waits = conn.waits[1:]
	if held.position.IsBefore(message.Position) {
		held.position = message.Position
	}
	if first.leg == nil {
		if len(conn.waits) == 0 && conn.leg == nil {
			m.recycleState(conn, message.State, now)
			m.pump(m.baseOf(held), now)
		}
		return
	}
	l := first.leg
	if !l.hasEnd {
		m.count("answers_malformed", 1)
		m.Lost(conn, now)
		return
	}
	if !l.isBegun {
		m.onBegun(l, message, now)
		return
	}
	conn.leg = nil
	m.learn(l, message.Position, now)
	m.score(l, now)
	m.settle(l, message, now)
	m.pump(m.baseOf(held), now)
}

func (m *Machine) learn(l *leg, position model.Position, now time.Duration) {
	one := m.baseOf(l.conn.back)
	writer, target, isOpen := m.writer(one)
	if isOpen && target == l.conn.back && l.job.term == writer.Term && m.serve.IsLeased(now) && position != (model.Position{}) {
		m.sample(one, l.sentAt, position, now)
	}
}

func (m *Machine) sample(one *base, at time.Duration, position model.Position, now time.Duration) {
	for len(one.samples) > 0 && (now-one.samples[0].at > 8*time.Second) {
		one.samples = one.samples[1:]
	}
	if count := len(one.samples); count > 0 {
		last := one.samples[count-1]
		if at <= last.at {
			return
		}
		if position.IsBefore(last.position) {
			position = last.position
		}
		if count > 1 && at-one.samples[count-2].at < 20*time.Millisecond {
			one.samples[count-1] = sample{at: at, position: position}
			return
		}
	}
	one.samples = append(one.samples, sample{at: at, position: position})
}

func (m *Machine) score(l *leg, now time.Duration) {
	outcome := flowcontrol.Answered
	isRefused := l.end.Kind == lineproto.KindError && (l.end.Code == lineproto.CodeBusy || l.end.Code == lineproto.CodeLagging || l.end.Code == lineproto.CodeReadOnly || l.end.Code == lineproto.CodeNotFound)
	if isRefused {
		outcome = flowcontrol.Refused
	}
	l.conn.back.window.Done(outcome, m.sized(l.job, now-l.sentAt))
	if !isRefused {
		l.conn.back.grade.Note(l.isFailed(), now)
	}
}

// goes is how often a read that an instance failed may be run in all.
func (j *Job) goes() int {
	if j.binding.Tries > 0 {
		return j.binding.Tries
	}
	return 2
}

// isFailed says whether the instance ran the statement and failed it.
func (l *leg) isFailed() bool {
	return l.end.Kind == lineproto.KindError && (l.end.Code == lineproto.CodeFailed || l.end.Code == lineproto.CodeTimeout)
}

// sized brings a latency to the reference size of work.
func (m *Machine) sized(j *Job, latency time.Duration) time.Duration {
	if j.binding.Target <= 0 {
		return latency
	}
	return time.Duration(float64(latency) * float64(m.timing.Reference) / float64(j.binding.Target))
}

func (m *Machine) settle(l *leg, ready lineproto.Message, now time.Duration) {
	j, conn := l.job, l.conn
	isOurs := !l.isDropped && j.phase == phaseOut
	if !isOurs {
		if conn.owner != nil || ready.State != lineproto.StateIdle {
			m.shut(conn, now)
			return
		}
		m.recycle(conn, now)
		return
	}
	if j.turn != nil {
		m.settleTurn(l, ready, now)
		return
	}
	m.recycleState(conn, ready.State, now)
	if l.end.Kind == lineproto.KindError {
		m.settleError(l, now)
		return
	}
	m.settleGood(l, ready, now)
}

// onBegun takes the answer to the begin that goes before a transaction's
// first statement, which follows only now: it must never run outside.
func (m *Machine) onBegun(l *leg, ready lineproto.Message, now time.Duration) {
	j, conn := l.job, l.conn
	isGood := l.end.Kind == lineproto.KindDone && ready.State == lineproto.StateInside
	isOurs := !l.isDropped && j.phase == phaseOut
	if isGood && isOurs {
		l.hasEnd, l.isBegun, l.rows, l.sentAt = false, true, nil, now
		m.send(conn, l, []Out{m.textOf(j, conn, model.Position{})})
		return
	}
	conn.leg, conn.owner = nil, nil
	conn.back.window.Done(flowcontrol.Refused, 0)
	if l.end.Code == lineproto.CodeLagging {
		conn.back.lagUntil = now + m.timing.Lagging
	}
	m.count("begins_refused", 1)
	m.recycleState(conn, ready.State, now)
	if isOurs {
		j.turn.conn = nil
		m.pause(j, l.end.Code, now)
	}
	m.pump(m.baseOf(conn.back), now)
}

func (m *Machine) settleTurn(l *leg, ready lineproto.Message, now time.Duration) {
	j, conn, c := l.job, l.conn, l.job.client
	isError := l.end.Kind == lineproto.KindError
	if j.isCommit || ready.State == lineproto.StateIdle {
		j.turn.conn, conn.owner = nil, nil
		conn.isDirty = conn.isDirty || (isError && conn.isSet)
		m.recycleState(conn, ready.State, now)
		c.turn, c.state = nil, lineproto.StateIdle
	} else {
		conn.state = connIdle
		c.state = ready.State
		if isError && l.end.Code.IsPromise() {
			c.state = lineproto.StateFailed
		}
		if c.state == lineproto.StateFailed {
			m.endTurn(c, now)
		}
	}
	if isError {
		m.settleError(l, now)
		return
	}
	m.settleGood(l, ready, now)
}

func (m *Machine) settleError(l *leg, now time.Duration) {
	j := l.job
	if l.end.Code == lineproto.CodeLagging {
		l.conn.back.lagUntil = now + m.timing.Lagging
	}
	isUnknown := l.end.Code == lineproto.CodeNotFound
	l.conn.isDirty = l.conn.isDirty || isUnknown
	isRefused := l.end.Code == lineproto.CodeLagging || l.end.Code == lineproto.CodeBusy || l.end.Code == lineproto.CodeReadOnly
	isFailed := j.isFree() && l.end.Code == lineproto.CodeFailed && j.failed+1 < j.goes()
	if isFailed {
		j.failed, j.avoid = j.failed+1, l.conn.back
		m.count("reads_failed_elsewhere", 1)
	}
	isAgain := (j.isFree() && isRefused) || (j.turn == nil && isUnknown) || isFailed
	if isAgain && l.hasTwin() {
		l.isDropped = true
		return
	}
	if isAgain {
		m.pause(j, l.end.Code, now)
		return
	}
	c := j.client
	m.close(j)
	m.count("errors_passed", 1)
	m.say(c, lineproto.Message{Kind: lineproto.KindError, Tail: l.end.Tail, Code: l.end.Code}, m.ready(c, model.Position{}))
	m.next(c, now)
}

func (m *Machine) settleGood(l *leg, ready lineproto.Message, now time.Duration) {
	j := l.job
	j.answer = append(l.rows, l.end)
	j.position = ready.Position
	if j.mayLast() {
		one := m.base(j.binding.Database)
		remove(&one.out, j)
		j.phase = phaseConfirm
		one.confirms = append(one.confirms, j)
		m.settleConfirms(one, now)
		return
	}
	m.tell(j, now)
}

func (m *Machine) tell(j *Job, now time.Duration) {
	c := j.client
	m.close(j)
	m.count("answered", 1)
	m.say(c, append(j.answer, m.ready(c, j.position))...)
	m.next(c, now)
}

// settleConfirms tells commits that ran, while the lease is held and the term
// in which they ran is open, or is closing and the node has not yet told that
// it knows: until then nothing else is promoted, and the positions that are
// asked for after cover what is told now.
func (m *Machine) settleConfirms(one *base, now time.Duration) {
	for _, j := range slices.Clone(one.confirms) {
		writer := m.serve.Writer(one.name)
		isClosing := writer.Phase == model.PhaseClosing && !one.isDropped
		isOver := writer.Term != j.term || (writer.Phase != model.PhaseOpen && !isClosing)
		if isOver {
			m.unsure(j, "it ran on a primary that has since lost the writer role", now)
			continue
		}
		if !m.serve.IsLeased(now) {
			continue
		}
		one.high = one.high.Later(j.position)
		if j.client.marks == nil {
			j.client.marks = map[string]mark{}
		}
		held := j.client.marks[one.name]
		j.client.marks[one.name] = mark{position: held.position.Later(j.position), at: now}
		m.tell(j, now)
	}
}

func (m *Machine) unsure(j *Job, text string, now time.Duration) {
	c := j.client
	m.close(j)
	if j.turn != nil {
		m.endTurn(c, now)
		c.state = lineproto.StateIdle
	}
	m.count("unknown", 1)
	m.fail(c, lineproto.CodeUnknown, text, true)
	m.next(c, now)
}
