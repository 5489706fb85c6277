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
func (p *Pool) InstanceAnnounced(info model.Instance, now time.Duration) {
	one := p.database(info.Database)
	rank := p.backendNames.Intern(info.Name)
	for len(p.backends) <= rank {
		database, _ := p.databaseNames.Lookup(info.Database)
		p.backends = append(p.backends, &backend{window: newWindow(p.windowParameters), databaseID: database, lastResponse: -time.Hour})
	}
	held := p.backends[rank]
	known := held.info
	if info.Connections <= 1 {
		info.Connections = known.Connections
	}
	held.info = info
	if known.Name != "" && (known.Role != info.Role || (known.Leaving && !info.Leaving)) {
		held.window.Reset()
	}
	if known.Address != info.Address || info.Stopped {
		p.closeIdle(held, now)
	}
	if !info.Leaving && !info.Stopped {
		held.drainingSince = 0
	} else if held.drainingSince == 0 {
		held.drainingSince = now
		if known.Name == "" {
			held.drainingSince = now - p.config.DrainWindow + p.config.LateDrainWindow
		}
		if !p.isPrimary(held) {
			p.closeIdle(held, now)
		}
	}
	p.retuneWindow(held)
	p.dispatch(one, now)
}

func newWindow(tuning flowcontrol.Parameters) *flowcontrol.Window {
	return flowcontrol.NewWindow(tuning)
}

func (p *Pool) updateCapacities(set model.BindingSet) {
	for _, held := range p.backends {
		told, isTold := set.Database(held.info.Database)
		if !isTold || told.MaxConnections == held.info.Connections {
			continue
		}
		changed := held.info.Connections <= 1
		held.info.Connections = told.MaxConnections
		p.retuneWindow(held)
		if changed {
			held.window.Reset()
		}
	}
}

// Ask gives the next ask for news.
func (p *Pool) NextUpdateRequest(now time.Duration) distribution.UpdateRequest {
	p.effectiveSet(now)
	ask := p.routing.DeltaUpdateRequest(p.observations(now), now)
	ask.ListVersion, ask.Incarnation = p.listVersion, p.identity.Incarnation
	for _, one := range p.databases {
		one.closeReported = one.writerClosedAt != 0
	}
	return ask
}

// Told gives what is seen, for the control primary: the primaries, and the
// instances in trouble, less what it has by earlier asks.
func (p *Pool) Report(now time.Duration) distribution.NodeReport {
	return p.routing.DeltaReport(p.observations(now), now)
}

func (p *Pool) observations(now time.Duration) distribution.NodeReport {
	told := distribution.NodeReport{Node: p.identity.Name, HighWatermarks: map[string]model.Position{}}
	for _, held := range p.backends {
		one := p.databaseOf(held)
		overdue := p.overdue(held, now)
		writer := p.routing.WriterRole(one.name)
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
	for _, one := range p.databases {
		if one.highWatermark != (model.Position{}) {
			told.HighWatermarks[one.name] = one.highWatermark
		}
	}
	return told
}

// overdue is the age of the oldest thing asked of an instance while nothing
// was heard of it.
func (p *Pool) overdue(held *backend, now time.Duration) time.Duration {
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
func (p *Pool) reportSuspects(now time.Duration) {
	for _, one := range p.databases {
		_, target, open := p.writer(one)
		if !open {
			continue
		}
		level := 0
		for _, bound := range []time.Duration{300 * time.Millisecond, 610 * time.Millisecond} {
			if p.overdue(target, now) > bound {
				level++
			}
		}
		level += min(target.refusals, 2) * 4
		if level > target.reportedLevel {
			p.emit(Report{})
		}
		target.reportedLevel = level
	}
}

// IsSettling says whether commits are out at a primary whose term is closing,
// which may still be answered: the next ask, which tells that this node has
// stopped there, waits for them a little.
func (p *Pool) HasStrandedCommits(now time.Duration) bool {
	for _, one := range p.databases {
		head := p.backend(p.routing.WriterRole(one.name).Primary)
		isAlive := head != nil && now-head.lastResponse < 2*p.config.ClosingGrace
		if isAlive && one.writerClosedAt != 0 && now-one.writerClosedAt < p.config.ClosingGrace && len(p.strandedCommits(one)) > 0 {
			return true
		}
	}
	return false
}

func (p *Pool) strandedCommits(one *databaseState) []*Request {
	writer, _, open := p.writer(one)
	var found []*Request
	for _, request := range one.inFlight {
		if request.mayPersist() && request.isSent() && (!open || request.term != writer.Term) {
			found = append(found, request)
		}
	}
	return found
}

// Took takes news that answers an ask sent at a moment.
func (p *Pool) ApplyUpdate(update distribution.Update, sent, now time.Duration) {
	if update.Snapshot != nil {
		p.count("docs_taken", 1)
	}
	for _, change := range p.routing.ApplyUpdate(update, sent, now) {
		p.emit(WriterChanged{Change: change})
		p.onWriterChanged(p.database(change.Database), change, now)
	}
	if update.FromPrimary {
		for _, one := range p.databases {
			writer := p.routing.WriterRole(one.name)
			if writer.Phase != model.PhaseOpen && writer.MinPosition != (model.Position{}) {
				p.recordPosition(one, sent, writer.MinPosition, now)
			}
		}
	}
	if update.Instances != nil {
		p.listVersion = update.ListVersion
		for _, info := range update.Instances {
			p.InstanceAnnounced(info, now)
		}
	}
	p.updateCapacities(p.routing.Snapshot().NewestSet())
	p.effectiveSet(now)
	p.admitConnecting(now)
	p.dispatchAll(now)
}

func (p *Pool) onWriterChanged(one *databaseState, change routing.WriterRoleChanged, now time.Duration) {
	p.count("writer_moves", 1)
	if change.Current.Phase == model.PhaseOpen {
		one.writerClosedAt, one.closeReported = 0, false
		if change.Previous.Term != change.Current.Term {
			one.samples = nil
		}
	} else if one.writerClosedAt == 0 {
		one.writerClosedAt = now
	}
	old := p.backend(change.Previous.Primary)
	isFenced := change.Previous.Phase == model.PhaseOpen && old != nil && (change.Current.Phase != model.PhaseOpen || change.Current.Term != change.Previous.Term)
	if !isFenced {
		return
	}
	isOld := func(term uint64) bool { return change.Current.Phase != model.PhaseOpen || term != change.Current.Term }
	for _, request := range slices.Clone(one.inFlight) {
		isRead := request.phase == phaseInFlight && request.isRetryableRead() && request.primaryOnly && len(request.attempts) > 0
		if isRead && isOld(request.term) && request.attempts[0].conn.backend == old {
			p.requeue(request, now)
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
		p.loseTransaction(owner, now)
	}
	p.closeIdle(old, now)
}

// loseTurn gives up a transaction on the instance's side; the client is told
// at its next word, or now where a statement is out.
func (p *Pool) loseTransaction(c *Client, now time.Duration) {
	held := c.transaction
	if held == nil || held.lost {
		return
	}
	request := c.request
	if request != nil && request.isSent() && request.mayPersist() {
		p.abortStranded(request, now)
		return
	}
	held.lost = true
	conn := held.conn
	held.conn = nil
	if conn != nil {
		conn.owner = nil
		p.closeConn(conn, now)
	}
	if request != nil && request.phase != phaseEnded {
		p.abortTransaction(request, now)
	}
}

// abortTurn ends a statement whose transaction is over and was not asked to
// commit: nothing of it is kept.
func (p *Pool) abortTransaction(request *Request, now time.Duration) {
	c := request.client
	p.finish(request)
	p.endTransaction(c, now)
	c.state = lineproto.StateFailed
	if request.commit {
		c.state = lineproto.StateIdle
	}
	p.respondError(c, lineproto.CodeAborted, "the transaction was lost with its instance; nothing is kept", true)
	p.handlePipelined(c, now)
}

// close takes a statement out of every line.
func (p *Pool) finish(request *Request) {
	one := p.database(request.binding.Database)
	p.dequeue(request)
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
func (p *Pool) reject(request *Request, code lineproto.Code, text string, now time.Duration) {
	c := request.client
	p.finish(request)
	p.failTransactionOf(request, now)
	p.respondError(c, code, text, true)
	p.handlePipelined(c, now)
}

// settleState brings the client's state to that after a failed statement.
func (p *Pool) failTransactionOf(request *Request, now time.Duration) {
	c := request.client
	if request.transaction == nil {
		return
	}
	p.endTransaction(c, now)
	c.state = lineproto.StateFailed
	if request.commit {
		c.state = lineproto.StateIdle
	}
}

// forsake ends a statement whose client has gone.
func (p *Pool) abandonRequest(request *Request, _ time.Duration) { p.finish(request) }

// again puts a read back in line; what is out of it is not waited for.
func (p *Pool) requeue(request *Request, now time.Duration) {
	one := p.database(request.binding.Database)
	remove(&one.inFlight, request)
	for _, held := range request.attempts {
		held.abandoned = true
	}
	request.attempts, request.hedged = nil, false
	request.retries++
	if request.retries > p.config.MaxRetries {
		p.reject(request, lineproto.CodeBusy, "no instance took it; come back in 200 ms", now)
		return
	}
	p.bind(request, now)
}

// pause puts a statement that an instance refused back in line; unless it
// lagged, and another may not, it waits a little.
func (p *Pool) requeueAfterRefusal(request *Request, code lineproto.Code, now time.Duration) {
	if code != lineproto.CodeLagging {
		request.notBefore = now + time.Duration(request.retries+1)*p.config.RetryDelay
	}
	p.requeue(request, now)
}

// Came takes messages from an instance, in order.
func (p *Pool) Received(conn *Conn, message lineproto.Message, now time.Duration) {
	if conn.state == connClosed {
		return
	}
	held := conn.backend
	if conn.state == connOpening {
		p.onOpened(conn, message, now)
		return
	}
	held.lastResponse, held.refusals = now, 0
	if len(conn.pending) == 0 {
		p.count("answers_unasked", 1)
		p.ConnectionLost(conn, now)
		return
	}
	first := conn.pending[0]
	act, found := instanceMessageHandlers[message.Kind]
	isPast := first.attempt != nil && first.attempt.hasResult && message.Kind != lineproto.KindReady
	if !found || isPast {
		p.count("answers_malformed", 1)
		p.ConnectionLost(conn, now)
		return
	}
	act(p, conn, first, message, now)
}

var instanceMessageHandlers map[lineproto.Kind]func(*Pool, *Conn, pendingAnswer, lineproto.Message, time.Duration)

func init() {
	instanceMessageHandlers = map[lineproto.Kind]func(*Pool, *Conn, pendingAnswer, lineproto.Message, time.Duration){
		lineproto.KindRow: func(_ *Pool, _ *Conn, first pendingAnswer, message lineproto.Message, _ time.Duration) {
			if first.attempt != nil {
				first.attempt.rows = append(first.attempt.rows, message)
			}
		},
		lineproto.KindDone:  (*Pool).onResult,
		lineproto.KindError: (*Pool).onResult,
		lineproto.KindReady: (*Pool).onReady,
	}
}

func (p *Pool) onResult(conn *Conn, first pendingAnswer, message lineproto.Message, _ time.Duration) {
	if first.attempt != nil {
		first.attempt.result, first.attempt.hasResult = message, true
		return
	}
	if message.Kind == lineproto.KindError {
		p.count("own_statements_failed", 1)
		conn.dirty = true
	}
}

func (p *Pool) onOpened(conn *Conn, message lineproto.Message, now time.Duration) {
	held := conn.backend
	if message.Code == lineproto.CodeWrongInstance {
		p.ConnectionLost(conn, now)
		return
	}
	held.opening--
	held.lastResponse, held.refusals = now, 0
	if message.Kind != lineproto.KindReady {
		p.count("connections_refused", 1)
		p.backOff(held, now)
		conn.state = connIdle
		p.closeConn(conn, now)
		return
	}
	p.count("connections_opened", 1)
	held.backoff = 0
	held.position = held.position.Max(message.Position)
	conn.state = connBusy
	p.release(conn, now)
	p.dispatch(p.databaseOf(held), now)
}

func (p *Pool) backOff(held *backend, now time.Duration) {
	held.backoff = min(max(2*held.backoff, p.config.InitialBackoff), p.config.MaxBackoff)
	held.backoffUntil = now + held.backoff
}

func (p *Pool) onReady(conn *Conn, first pendingAnswer, message lineproto.Message, now time.Duration) {
	held := conn.backend
	conn.pending = conn.pending[1:]
	if held.position.IsBefore(message.Position) {
		held.position = message.Position
	}
	if first.attempt == nil {
		if len(conn.pending) == 0 && conn.attempt == nil {
			p.releaseInState(conn, message.State, now)
			p.dispatch(p.databaseOf(held), now)
		}
		return
	}
	l := first.attempt
	if !l.hasResult {
		p.count("answers_malformed", 1)
		p.ConnectionLost(conn, now)
		return
	}
	if !l.statementSent {
		p.onBeginAnswered(l, message, now)
		return
	}
	conn.attempt = nil
	p.learnPosition(l, message.Position, now)
	p.recordOutcome(l, now)
	p.complete(l, message, now)
	p.dispatch(p.databaseOf(held), now)
}

func (p *Pool) learnPosition(l *attempt, position model.Position, now time.Duration) {
	one := p.databaseOf(l.conn.backend)
	writer, target, open := p.writer(one)
	if open && target == l.conn.backend && l.request.term == writer.Term && p.routing.HasLease(now) && position != (model.Position{}) {
		p.recordPosition(one, l.sentAt, position, now)
	}
}

func (p *Pool) recordPosition(one *databaseState, at time.Duration, position model.Position, now time.Duration) {
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

func (p *Pool) recordOutcome(l *attempt, now time.Duration) {
	outcome := flowcontrol.Completed
	isRefused := l.result.Kind == lineproto.KindError && (l.result.Code == lineproto.CodeBusy || l.result.Code == lineproto.CodeLagging || l.result.Code == lineproto.CodeReadOnly || l.result.Code == lineproto.CodeNotFound)
	if isRefused {
		outcome = flowcontrol.Rejected
	}
	l.conn.backend.window.Release(outcome, p.normalizedLatency(l.request, now-l.sentAt))
	if !isRefused {
		l.conn.backend.health.Observe(l.isFailed(), now)
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
func (p *Pool) normalizedLatency(request *Request, latency time.Duration) time.Duration {
	if request.binding.LatencyTarget <= 0 {
		return latency
	}
	return time.Duration(float64(latency) * float64(p.config.ReferenceTarget) / float64(request.binding.LatencyTarget))
}

func (p *Pool) complete(l *attempt, ready lineproto.Message, now time.Duration) {
	request, conn := l.request, l.conn
	isOurs := !l.abandoned && request.phase == phaseInFlight
	if !isOurs {
		if conn.owner != nil || ready.State != lineproto.StateIdle {
			p.closeConn(conn, now)
			return
		}
		p.release(conn, now)
		return
	}
	if request.transaction != nil {
		p.completeInTransaction(l, ready, now)
		return
	}
	p.releaseInState(conn, ready.State, now)
	if l.result.Kind == lineproto.KindError {
		p.completeWithError(l, now)
		return
	}
	p.completeWithSuccess(l, ready, now)
}

// onBegun takes the answer to the begin that goes before a transaction's
// first statement, which follows only now: it must never run outside.
func (p *Pool) onBeginAnswered(l *attempt, ready lineproto.Message, now time.Duration) {
	request, conn := l.request, l.conn
	isGood := l.result.Kind == lineproto.KindDone && ready.State == lineproto.StateInTransaction
	isOurs := !l.abandoned && request.phase == phaseInFlight
	if isGood && isOurs {
		l.hasResult, l.statementSent, l.rows, l.sentAt = false, true, nil, now
		p.send(conn, l, []Command{p.statementCommand(request, conn, model.Position{})})
		return
	}
	conn.attempt, conn.owner = nil, nil
	conn.backend.window.Release(flowcontrol.Rejected, 0)
	if l.result.Code == lineproto.CodeLagging {
		conn.backend.laggingUntil = now + p.config.LaggingPause
	}
	p.count("begins_refused", 1)
	p.releaseInState(conn, ready.State, now)
	if isOurs {
		request.transaction.conn = nil
		p.requeueAfterRefusal(request, l.result.Code, now)
	}
	p.dispatch(p.databaseOf(conn.backend), now)
}

func (p *Pool) completeInTransaction(l *attempt, ready lineproto.Message, now time.Duration) {
	request, conn, c := l.request, l.conn, l.request.client
	isError := l.result.Kind == lineproto.KindError
	if request.commit || ready.State == lineproto.StateIdle {
		request.transaction.conn, conn.owner = nil, nil
		conn.dirty = conn.dirty || (isError && conn.changed)
		p.releaseInState(conn, ready.State, now)
		c.transaction, c.state = nil, lineproto.StateIdle
	} else {
		conn.state = connIdle
		c.state = ready.State
		if isError && l.result.Code.GuaranteesNoEffect() {
			c.state = lineproto.StateFailed
		}
		if c.state == lineproto.StateFailed {
			p.endTransaction(c, now)
		}
	}
	if isError {
		p.completeWithError(l, now)
		return
	}
	p.completeWithSuccess(l, ready, now)
}

func (p *Pool) completeWithError(l *attempt, now time.Duration) {
	request := l.request
	if l.result.Code == lineproto.CodeLagging {
		l.conn.backend.laggingUntil = now + p.config.LaggingPause
	}
	isUnknown := l.result.Code == lineproto.CodeNotFound
	l.conn.dirty = l.conn.dirty || isUnknown
	isRefused := l.result.Code == lineproto.CodeLagging || l.result.Code == lineproto.CodeBusy || l.result.Code == lineproto.CodeReadOnly
	isFailed := request.isRetryableRead() && l.result.Code == lineproto.CodeFailed && request.failures+1 < request.maxAttempts()
	if isFailed {
		request.failures, request.avoid = request.failures+1, l.conn.backend
		p.count("reads_failed_elsewhere", 1)
	}
	isAgain := (request.isRetryableRead() && isRefused) || (request.transaction == nil && isUnknown) || isFailed
	if isAgain && l.hasOtherAttempt() {
		l.abandoned = true
		return
	}
	if isAgain {
		p.requeueAfterRefusal(request, l.result.Code, now)
		return
	}
	c := request.client
	p.finish(request)
	p.count("errors_passed", 1)
	p.respond(c, lineproto.Message{Kind: lineproto.KindError, Payload: l.result.Payload, Code: l.result.Code}, p.readyMessage(c, model.Position{}))
	p.handlePipelined(c, now)
}

func (p *Pool) completeWithSuccess(l *attempt, ready lineproto.Message, now time.Duration) {
	request := l.request
	request.answer = append(l.rows, l.result)
	request.position = ready.Position
	if request.mayPersist() {
		one := p.database(request.binding.Database)
		remove(&one.inFlight, request)
		request.phase = phaseUnconfirmed
		one.unconfirmed = append(one.unconfirmed, request)
		p.confirmCommits(one, now)
		return
	}
	p.respondWithAnswer(request, now)
}

func (p *Pool) respondWithAnswer(request *Request, now time.Duration) {
	c := request.client
	p.finish(request)
	p.count("answered", 1)
	p.respond(c, append(request.answer, p.readyMessage(c, request.position))...)
	p.handlePipelined(c, now)
}

// settleConfirms tells commits that ran, while the lease is held and the term
// in which they ran is open, or is closing and the node has not yet told that
// it knows: until then nothing else is promoted, and the positions that are
// asked for after cover what is told now.
func (p *Pool) confirmCommits(one *databaseState, now time.Duration) {
	for _, request := range slices.Clone(one.unconfirmed) {
		writer := p.routing.WriterRole(one.name)
		isClosing := writer.Phase == model.PhaseClosing && !one.closeReported
		isOver := writer.Term != request.term || (writer.Phase != model.PhaseOpen && !isClosing)
		if isOver {
			p.respondUnknown(request, "it ran on a primary that has since lost the writer role", now)
			continue
		}
		if !p.routing.HasLease(now) {
			continue
		}
		one.highWatermark = one.highWatermark.Max(request.position)
		if request.client.ownCommits == nil {
			request.client.ownCommits = map[string]ownCommit{}
		}
		held := request.client.ownCommits[one.name]
		request.client.ownCommits[one.name] = ownCommit{position: held.position.Max(request.position), at: now}
		p.respondWithAnswer(request, now)
	}
}

func (p *Pool) respondUnknown(request *Request, text string, now time.Duration) {
	c := request.client
	p.finish(request)
	if request.transaction != nil {
		p.endTransaction(c, now)
		c.state = lineproto.StateIdle
	}
	p.count("unknown", 1)
	p.respondError(c, lineproto.CodeUnknownOutcome, text, true)
	p.handlePipelined(c, now)
}
