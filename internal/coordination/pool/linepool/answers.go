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
func (m *Machine) UpdateInstance(info model.Instance, now time.Duration) {
	one := m.database(info.Database)
	rank := m.instanceNames.Intern(info.Name)
	for len(m.instances) <= rank {
		database, _ := m.databaseNames.Lookup(info.Database)
		m.instances = append(m.instances, &instance{window: newWindow(m.windowParameters), databaseID: database, lastResponse: -time.Hour})
	}
	held := m.instances[rank]
	known := held.info
	if info.Connections <= 1 {
		info.Connections = known.Connections
	}
	held.info = info
	if known.Name != "" && (known.Role != info.Role || (known.Leaving && !info.Leaving)) {
		held.window.Reset()
	}
	if known.Address != info.Address || info.Stopped {
		m.closeIdleConns(held, now)
	}
	if !info.Leaving && !info.Stopped {
		held.drainingSince = 0
	} else if held.drainingSince == 0 {
		held.drainingSince = now
		if known.Name == "" {
			held.drainingSince = now - m.timing.DrainWindow + m.timing.LateDrainWindow
		}
		if !m.isPrimary(held) {
			m.closeIdleConns(held, now)
		}
	}
	m.retuneWindow(held)
	m.dispatch(one, now)
}

func newWindow(tuning flowcontrol.Parameters) *flowcontrol.Window {
	return flowcontrol.NewWindow(tuning)
}

func (m *Machine) updateCapacities(set model.BindingSet) {
	for _, held := range m.instances {
		told, isTold := set.Database(held.info.Database)
		if !isTold || told.MaxConnections == held.info.Connections {
			continue
		}
		changed := held.info.Connections <= 1
		held.info.Connections = told.MaxConnections
		m.retuneWindow(held)
		if changed {
			held.window.Reset()
		}
	}
}

// Ask gives the next ask for news.
func (m *Machine) UpdateRequest(now time.Duration) distribution.UpdateRequest {
	m.effectiveSet(now)
	ask := m.routing.DeltaUpdateRequest(m.observations(now), now)
	ask.ListVersion, ask.Incarnation = m.listVersion, m.node.Incarnation
	for _, one := range m.databases {
		one.closeReported = one.writerClosedAt != 0
	}
	return ask
}

// Told gives what is seen, for the control primary: the primaries, and the
// instances in trouble, less what it has by earlier asks.
func (m *Machine) Observations(now time.Duration) distribution.NodeReport {
	return m.routing.DeltaReport(m.observations(now), now)
}

func (m *Machine) observations(now time.Duration) distribution.NodeReport {
	told := distribution.NodeReport{Node: m.node.Name, HighWatermarks: map[string]model.Position{}}
	for _, held := range m.instances {
		one := m.databaseOf(held)
		overdue := m.overdue(held, now)
		writer := m.routing.WriterRole(one.name)
		isNamed := writer.Primary == held.info.Name || writer.Promoting == held.info.Name
		if !isNamed && held.refusals == 0 && overdue < 300*time.Millisecond {
			continue
		}
		seen := held.info
		seen.Position = held.position
		told.Reports = append(told.Reports, distribution.InstanceReport{
			Instance: seen, ResponseAge: now - held.lastResponse, RefusedConnections: held.refusals, OldestStatementAge: overdue,
		})
	}
	for _, one := range m.databases {
		if one.highWatermark != (model.Position{}) {
			told.HighWatermarks[one.name] = one.highWatermark
		}
	}
	return told
}

// overdue is the age of the oldest thing asked of an instance while nothing
// was heard of it.
func (m *Machine) overdue(held *instance, now time.Duration) time.Duration {
	oldest := now
	for _, conn := range held.conns {
		if conn.attempt != nil {
			oldest = min(oldest, conn.attempt.sentAt)
		}
		if conn.state == connOpening {
			oldest = min(oldest, conn.openedAt)
		}
	}
	if oldest == now {
		return 0
	}
	return now - max(oldest, held.lastResponse)
}

// watch tells the control primary at once when a primary turns doubtful.
func (m *Machine) reportSuspects(now time.Duration) {
	for _, one := range m.databases {
		_, target, open := m.writer(one)
		if !open {
			continue
		}
		level := 0
		for _, bound := range []time.Duration{300 * time.Millisecond, 610 * time.Millisecond} {
			if m.overdue(target, now) > bound {
				level++
			}
		}
		level += min(target.refusals, 2) * 4
		if level > target.reportedLevel {
			m.emit(Report{})
		}
		target.reportedLevel = level
	}
}

// IsSettling says whether commits are out at a primary whose term is closing,
// which may still be answered: the next ask, which tells that this node has
// stopped there, waits for them a little.
func (m *Machine) HasStrandedCommits(now time.Duration) bool {
	for _, one := range m.databases {
		head := m.instance(m.routing.WriterRole(one.name).Primary)
		isAlive := head != nil && now-head.lastResponse < 2*m.timing.ClosingGrace
		if isAlive && one.writerClosedAt != 0 && now-one.writerClosedAt < m.timing.ClosingGrace && len(m.strandedCommits(one)) > 0 {
			return true
		}
	}
	return false
}

func (m *Machine) strandedCommits(one *database) []*Request {
	writer, _, open := m.writer(one)
	var found []*Request
	for _, request := range one.inFlight {
		if request.mayPersist() && request.isSent() && (!open || request.term != writer.Term) {
			found = append(found, request)
		}
	}
	return found
}

// Took takes news that answers an ask sent at a moment.
func (m *Machine) ApplyUpdate(update distribution.Update, sent, now time.Duration) {
	if update.Snapshot != nil {
		m.count("docs_taken", 1)
	}
	for _, change := range m.routing.ApplyUpdate(update, sent, now) {
		m.emit(WriterChanged{Change: change})
		m.onWriterChanged(m.database(change.Database), change, now)
	}
	if update.FromPrimary {
		for _, one := range m.databases {
			writer := m.routing.WriterRole(one.name)
			if writer.Phase != model.PhaseOpen && writer.MinPosition != (model.Position{}) {
				m.recordPosition(one, sent, writer.MinPosition, now)
			}
		}
	}
	if update.Instances != nil {
		m.listVersion = update.ListVersion
		for _, info := range update.Instances {
			m.UpdateInstance(info, now)
		}
	}
	m.updateCapacities(m.routing.Snapshot().NewestSet())
	m.effectiveSet(now)
	m.admitConnecting(now)
	m.dispatchAll(now)
}

func (m *Machine) onWriterChanged(one *database, change routing.WriterRoleChanged, now time.Duration) {
	m.count("writer_moves", 1)
	if change.Current.Phase == model.PhaseOpen {
		one.writerClosedAt, one.closeReported = 0, false
		if change.Previous.Term != change.Current.Term {
			one.samples = nil
		}
	} else if one.writerClosedAt == 0 {
		one.writerClosedAt = now
	}
	old := m.instance(change.Previous.Primary)
	isFenced := change.Previous.Phase == model.PhaseOpen && old != nil && (change.Current.Phase != model.PhaseOpen || change.Current.Term != change.Previous.Term)
	if !isFenced {
		return
	}
	isOld := func(term uint64) bool { return change.Current.Phase != model.PhaseOpen || term != change.Current.Term }
	for _, request := range slices.Clone(one.inFlight) {
		isRead := request.phase == phaseInFlight && request.isRetryableRead() && request.strict && len(request.attempts) > 0
		if isRead && isOld(request.term) && request.attempts[0].conn.instance == old {
			m.requeue(request, now)
		}
	}
	for _, conn := range slices.Clone(old.conns) {
		owner := conn.owner
		if owner == nil || owner.transaction == nil || owner.transaction.readOnly || !isOld(conn.term) {
			continue
		}
		if request := owner.request; request != nil && request.commit && request.isSent() {
			continue
		}
		m.loseTransaction(owner, now)
	}
	m.closeIdleConns(old, now)
}

// loseTurn gives up a transaction on the instance's side; the client is told
// at its next word, or now where a statement is out.
func (m *Machine) loseTransaction(c *Client, now time.Duration) {
	held := c.transaction
	if held == nil || held.lost {
		return
	}
	request := c.request
	if request != nil && request.isSent() && request.mayPersist() {
		m.abortStranded(request, now)
		return
	}
	held.lost = true
	conn := held.conn
	held.conn = nil
	if conn != nil {
		conn.owner = nil
		m.closeConn(conn, now)
	}
	if request != nil && request.phase != phaseEnded {
		m.abortTransaction(request, now)
	}
}

// abortTurn ends a statement whose transaction is over and was not asked to
// commit: nothing of it is kept.
func (m *Machine) abortTransaction(request *Request, now time.Duration) {
	c := request.client
	m.finish(request)
	m.endTransaction(c, now)
	c.state = lineproto.StateFailed
	if request.commit {
		c.state = lineproto.StateIdle
	}
	m.respondError(c, lineproto.CodeAborted, "the transaction was lost with its instance; nothing is kept", true)
	m.handlePipelined(c, now)
}

// close takes a statement out of every line.
func (m *Machine) finish(request *Request) {
	one := m.database(request.binding.Database)
	m.dequeue(request)
	remove(&one.inFlight, request)
	remove(&one.unconfirmed, request)
	request.phase = phaseEnded
	for _, held := range request.attempts {
		held.abandoned = true
	}
	if request.client.request == request {
		request.client.request = nil
	}
}

// refuse ends a statement that was not passed on.
func (m *Machine) reject(request *Request, code lineproto.Code, text string, now time.Duration) {
	c := request.client
	m.finish(request)
	m.failTransactionOf(request, now)
	m.respondError(c, code, text, true)
	m.handlePipelined(c, now)
}

// settleState brings the client's state to that after a failed statement.
func (m *Machine) failTransactionOf(request *Request, now time.Duration) {
	c := request.client
	if request.transaction == nil {
		return
	}
	m.endTransaction(c, now)
	c.state = lineproto.StateFailed
	if request.commit {
		c.state = lineproto.StateIdle
	}
}

// forsake ends a statement whose client has gone.
func (m *Machine) abandonRequest(request *Request, _ time.Duration) { m.finish(request) }

// again puts a read back in line; what is out of it is not waited for.
func (m *Machine) requeue(request *Request, now time.Duration) {
	one := m.database(request.binding.Database)
	remove(&one.inFlight, request)
	for _, held := range request.attempts {
		held.abandoned = true
	}
	request.attempts, request.hedged = nil, false
	request.retries++
	if request.retries > m.timing.MaxRetries {
		m.reject(request, lineproto.CodeBusy, "no instance took it; come back in 200 ms", now)
		return
	}
	m.bind(request, now)
}

// pause puts a statement that an instance refused back in line; unless it
// lagged, and another may not, it waits a little.
func (m *Machine) requeueAfterRefusal(request *Request, code lineproto.Code, now time.Duration) {
	if code != lineproto.CodeLagging {
		request.notBefore = now + time.Duration(request.retries+1)*m.timing.RetryDelay
	}
	m.requeue(request, now)
}

// Came takes messages from an instance, in order.
func (m *Machine) Received(conn *Conn, message lineproto.Message, now time.Duration) {
	if conn.state == connClosed {
		return
	}
	held := conn.instance
	if conn.state == connOpening {
		m.onOpened(conn, message, now)
		return
	}
	held.lastResponse, held.refusals = now, 0
	if len(conn.pending) == 0 {
		m.count("answers_unasked", 1)
		m.ConnLost(conn, now)
		return
	}
	first := conn.pending[0]
	act, found := instanceMessageHandlers[message.Kind]
	isPast := first.attempt != nil && first.attempt.hasResult && message.Kind != lineproto.KindReady
	if !found || isPast {
		m.count("answers_malformed", 1)
		m.ConnLost(conn, now)
		return
	}
	act(m, conn, first, message, now)
}

var instanceMessageHandlers map[lineproto.Kind]func(*Machine, *Conn, pendingAnswer, lineproto.Message, time.Duration)

func init() {
	instanceMessageHandlers = map[lineproto.Kind]func(*Machine, *Conn, pendingAnswer, lineproto.Message, time.Duration){
		lineproto.KindRow: func(_ *Machine, _ *Conn, first pendingAnswer, message lineproto.Message, _ time.Duration) {
			if first.attempt != nil {
				first.attempt.rows = append(first.attempt.rows, message)
			}
		},
		lineproto.KindDone:  (*Machine).onResult,
		lineproto.KindError: (*Machine).onResult,
		lineproto.KindReady: (*Machine).onReady,
	}
}

func (m *Machine) onResult(conn *Conn, first pendingAnswer, message lineproto.Message, _ time.Duration) {
	if first.attempt != nil {
		first.attempt.result, first.attempt.hasResult = message, true
		return
	}
	if message.Kind == lineproto.KindError {
		m.count("own_statements_failed", 1)
		conn.dirty = true
	}
}

func (m *Machine) onOpened(conn *Conn, message lineproto.Message, now time.Duration) {
	held := conn.instance
	if message.Code == lineproto.CodeWrongInstance {
		m.ConnLost(conn, now)
		return
	}
	held.opening--
	held.lastResponse, held.refusals = now, 0
	if message.Kind != lineproto.KindReady {
		m.count("connections_refused", 1)
		m.backOff(held, now)
		conn.state = connIdle
		m.closeConn(conn, now)
		return
	}
	m.count("connections_opened", 1)
	held.backoff = 0
	held.position = held.position.Max(message.Position)
	conn.state = connBusy
	m.release(conn, now)
	m.dispatch(m.databaseOf(held), now)
}

func (m *Machine) backOff(held *instance, now time.Duration) {
	held.backoff = min(max(2*held.backoff, m.timing.BackoffMin), m.timing.BackoffMax)
	held.backoffUntil = now + held.backoff
}

func (m *Machine) onReady(conn *Conn, first pendingAnswer, message lineproto.Message, now time.Duration) {
	held := conn.instance
	conn.pending = conn.pending[1:]
	if held.position.IsBefore(message.Position) {
		held.position = message.Position
	}
	if first.attempt == nil {
		if len(conn.pending) == 0 && conn.attempt == nil {
			m.releaseInState(conn, message.State, now)
			m.dispatch(m.databaseOf(held), now)
		}
		return
	}
	l := first.attempt
	if !l.hasResult {
		m.count("answers_malformed", 1)
		m.ConnLost(conn, now)
		return
	}
	if !l.statementSent {
		m.onBeginAnswered(l, message, now)
		return
	}
	conn.attempt = nil
	m.learnPosition(l, message.Position, now)
	m.recordOutcome(l, now)
	m.complete(l, message, now)
	m.dispatch(m.databaseOf(held), now)
}

func (m *Machine) learnPosition(l *attempt, position model.Position, now time.Duration) {
	one := m.databaseOf(l.conn.instance)
	writer, target, open := m.writer(one)
	if open && target == l.conn.instance && l.request.term == writer.Term && m.routing.HasLease(now) && position != (model.Position{}) {
		m.recordPosition(one, l.sentAt, position, now)
	}
}

func (m *Machine) recordPosition(one *database, at time.Duration, position model.Position, now time.Duration) {
	for len(one.samples) > 0 && (now-one.samples[0].takenAt > 8*time.Second) {
		one.samples = one.samples[1:]
	}
	if count := len(one.samples); count > 0 {
		last := one.samples[count-1]
		if at <= last.takenAt {
			return
		}
		if position.IsBefore(last.position) {
			position = last.position
		}
		if count > 1 && at-one.samples[count-2].takenAt < 20*time.Millisecond {
			one.samples[count-1] = positionSample{takenAt: at, position: position}
			return
		}
	}
	one.samples = append(one.samples, positionSample{takenAt: at, position: position})
}

func (m *Machine) recordOutcome(l *attempt, now time.Duration) {
	outcome := flowcontrol.Completed
	isRefused := l.result.Kind == lineproto.KindError && (l.result.Code == lineproto.CodeBusy || l.result.Code == lineproto.CodeLagging || l.result.Code == lineproto.CodeReadOnly || l.result.Code == lineproto.CodeNotFound)
	if isRefused {
		outcome = flowcontrol.Rejected
	}
	l.conn.instance.window.Release(outcome, m.normalizedLatency(l.request, now-l.sentAt))
	if !isRefused {
		l.conn.instance.health.Observe(l.isFailed(), now)
	}
}

// goes is how often a read that an instance failed may be run in all.
func (request *Request) maxAttempts() int {
	if request.binding.MaxAttempts > 0 {
		return request.binding.MaxAttempts
	}
	return 2
}

// isFailed says whether the instance ran the statement and failed it.
func (l *attempt) isFailed() bool {
	return l.result.Kind == lineproto.KindError && (l.result.Code == lineproto.CodeFailed || l.result.Code == lineproto.CodeTimeout)
}

// sized brings a latency to the reference size of work.
func (m *Machine) normalizedLatency(request *Request, latency time.Duration) time.Duration {
	if request.binding.LatencyTarget <= 0 {
		return latency
	}
	return time.Duration(float64(latency) * float64(m.timing.ReferenceTarget) / float64(request.binding.LatencyTarget))
}

func (m *Machine) complete(l *attempt, ready lineproto.Message, now time.Duration) {
	request, conn := l.request, l.conn
	isOurs := !l.abandoned && request.phase == phaseInFlight
	if !isOurs {
		if conn.owner != nil || ready.State != lineproto.StateIdle {
			m.closeConn(conn, now)
			return
		}
		m.release(conn, now)
		return
	}
	if request.transaction != nil {
		m.completeInTransaction(l, ready, now)
		return
	}
	m.releaseInState(conn, ready.State, now)
	if l.result.Kind == lineproto.KindError {
		m.completeWithError(l, now)
		return
	}
	m.completeWithSuccess(l, ready, now)
}

// onBegun takes the answer to the begin that goes before a transaction's
// first statement, which follows only now: it must never run outside.
func (m *Machine) onBeginAnswered(l *attempt, ready lineproto.Message, now time.Duration) {
	request, conn := l.request, l.conn
	isGood := l.result.Kind == lineproto.KindDone && ready.State == lineproto.StateInTransaction
	isOurs := !l.abandoned && request.phase == phaseInFlight
	if isGood && isOurs {
		l.hasResult, l.statementSent, l.rows, l.sentAt = false, true, nil, now
		m.send(conn, l, []Command{m.statementCommand(request, conn, model.Position{})})
		return
	}
	conn.attempt, conn.owner = nil, nil
	conn.instance.window.Release(flowcontrol.Rejected, 0)
	if l.result.Code == lineproto.CodeLagging {
		conn.instance.laggingUntil = now + m.timing.LaggingPause
	}
	m.count("begins_refused", 1)
	m.releaseInState(conn, ready.State, now)
	if isOurs {
		request.transaction.conn = nil
		m.requeueAfterRefusal(request, l.result.Code, now)
	}
	m.dispatch(m.databaseOf(conn.instance), now)
}

func (m *Machine) completeInTransaction(l *attempt, ready lineproto.Message, now time.Duration) {
	request, conn, c := l.request, l.conn, l.request.client
	isError := l.result.Kind == lineproto.KindError
	if request.commit || ready.State == lineproto.StateIdle {
		request.transaction.conn, conn.owner = nil, nil
		conn.dirty = conn.dirty || (isError && conn.changed)
		m.releaseInState(conn, ready.State, now)
		c.transaction, c.state = nil, lineproto.StateIdle
	} else {
		conn.state = connIdle
		c.state = ready.State
		if isError && l.result.Code.GuaranteesNoEffect() {
			c.state = lineproto.StateFailed
		}
		if c.state == lineproto.StateFailed {
			m.endTransaction(c, now)
		}
	}
	if isError {
		m.completeWithError(l, now)
		return
	}
	m.completeWithSuccess(l, ready, now)
}

func (m *Machine) completeWithError(l *attempt, now time.Duration) {
	request := l.request
	if l.result.Code == lineproto.CodeLagging {
		l.conn.instance.laggingUntil = now + m.timing.LaggingPause
	}
	isUnknown := l.result.Code == lineproto.CodeNotFound
	l.conn.dirty = l.conn.dirty || isUnknown
	isRefused := l.result.Code == lineproto.CodeLagging || l.result.Code == lineproto.CodeBusy || l.result.Code == lineproto.CodeReadOnly
	isFailed := request.isRetryableRead() && l.result.Code == lineproto.CodeFailed && request.failures+1 < request.maxAttempts()
	if isFailed {
		request.failures, request.avoid = request.failures+1, l.conn.instance
		m.count("reads_failed_elsewhere", 1)
	}
	isAgain := (request.isRetryableRead() && isRefused) || (request.transaction == nil && isUnknown) || isFailed
	if isAgain && l.hasOtherAttempt() {
		l.abandoned = true
		return
	}
	if isAgain {
		m.requeueAfterRefusal(request, l.result.Code, now)
		return
	}
	c := request.client
	m.finish(request)
	m.count("errors_passed", 1)
	m.respond(c, lineproto.Message{Kind: lineproto.KindError, Payload: l.result.Payload, Code: l.result.Code}, m.readyMessage(c, model.Position{}))
	m.handlePipelined(c, now)
}

func (m *Machine) completeWithSuccess(l *attempt, ready lineproto.Message, now time.Duration) {
	request := l.request
	request.answer = append(l.rows, l.result)
	request.position = ready.Position
	if request.mayPersist() {
		one := m.database(request.binding.Database)
		remove(&one.inFlight, request)
		request.phase = phaseUnconfirmed
		one.unconfirmed = append(one.unconfirmed, request)
		m.confirmCommits(one, now)
		return
	}
	m.respondWithAnswer(request, now)
}

func (m *Machine) respondWithAnswer(request *Request, now time.Duration) {
	c := request.client
	m.finish(request)
	m.count("answered", 1)
	m.respond(c, append(request.answer, m.readyMessage(c, request.position))...)
	m.handlePipelined(c, now)
}

// settleConfirms tells commits that ran, while the lease is held and the term
// in which they ran is open, or is closing and the node has not yet told that
// it knows: until then nothing else is promoted, and the positions that are
// asked for after cover what is told now.
func (m *Machine) confirmCommits(one *database, now time.Duration) {
	for _, request := range slices.Clone(one.unconfirmed) {
		writer := m.routing.WriterRole(one.name)
		isClosing := writer.Phase == model.PhaseClosing && !one.closeReported
		isOver := writer.Term != request.term || (writer.Phase != model.PhaseOpen && !isClosing)
		if isOver {
			m.respondUnknown(request, "it ran on a primary that has since lost the writer role", now)
			continue
		}
		if !m.routing.HasLease(now) {
			continue
		}
		one.highWatermark = one.highWatermark.Max(request.position)
		if request.client.ownCommits == nil {
			request.client.ownCommits = map[string]ownCommit{}
		}
		held := request.client.ownCommits[one.name]
		request.client.ownCommits[one.name] = ownCommit{position: held.position.Max(request.position), at: now}
		m.respondWithAnswer(request, now)
	}
}

func (m *Machine) respondUnknown(request *Request, text string, now time.Duration) {
	c := request.client
	m.finish(request)
	if request.transaction != nil {
		m.endTransaction(c, now)
		c.state = lineproto.StateIdle
	}
	m.count("unknown", 1)
	m.respondError(c, lineproto.CodeUnknownOutcome, text, true)
	m.handlePipelined(c, now)
}
