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
	database := m.database(info.Database)
	rank := m.instanceNames.Intern(info.Name)
	for len(m.instances) <= rank {
		database, _ := m.databaseNames.Lookup(info.Database)
		m.instances = append(m.instances, &instanceState{window: newWindow(m.windowParameters), databaseID: database, lastResponse: -time.Hour})
	}
	instance := m.instances[rank]
	known := instance.info
	if info.Connections <= 1 {
		info.Connections = known.Connections
	}
	instance.info = info
	if known.Name != "" && (known.Role != info.Role || (known.Leaving && !info.Leaving)) {
		instance.window.Reset()
	}
	if known.Address != info.Address || info.Stopped {
		m.closeIdleConns(instance, now)
	}
	if !info.Leaving && !info.Stopped {
		instance.drainingSince = 0
	} else if instance.drainingSince == 0 {
		instance.drainingSince = now
		if known.Name == "" {
			instance.drainingSince = now - m.timing.DrainWindow + m.timing.LateDrainWindow
		}
		if !m.isPrimary(instance) {
			m.closeIdleConns(instance, now)
		}
	}
	m.retuneWindow(instance)
	m.dispatch(database, now)
}

func newWindow(tuning flowcontrol.Parameters) *flowcontrol.Window {
	return flowcontrol.NewWindow(tuning)
}

func (m *Machine) updateCapacities(set model.BindingSet) {
	for _, instance := range m.instances {
		told, isTold := set.Database(instance.info.Database)
		if !isTold || told.MaxConnections == instance.info.Connections {
			continue
		}
		changed := instance.info.Connections <= 1
		instance.info.Connections = told.MaxConnections
		m.retuneWindow(instance)
		if changed {
			instance.window.Reset()
		}
	}
}

// Ask gives the next ask for news.
func (m *Machine) UpdateRequest(now time.Duration) distribution.UpdateRequest {
	m.effectiveSet(now)
	ask := m.routing.DeltaUpdateRequest(m.observations(now), now)
	ask.ListVersion, ask.Incarnation = m.listVersion, m.node.Incarnation
	for _, database := range m.databases {
		database.closeReported = database.writerClosedAt != 0
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
	for _, instance := range m.instances {
		database := m.databaseOf(instance)
		overdue := m.overdue(instance, now)
		writer := m.routing.WriterRole(database.name)
		isNamed := writer.Primary == instance.info.Name || writer.Promoting == instance.info.Name
		if !isNamed && instance.refusals == 0 && overdue < 300*time.Millisecond {
			continue
		}
		seen := instance.info
		seen.Position = instance.position
		told.Reports = append(told.Reports, distribution.InstanceReport{
			Instance: seen, ResponseAge: now - instance.lastResponse, RefusedConnections: instance.refusals, OldestStatementAge: overdue,
		})
	}
	for _, database := range m.databases {
		if database.highWatermark != (model.Position{}) {
			told.HighWatermarks[database.name] = database.highWatermark
		}
	}
	return told
}

// overdue is the age of the oldest thing asked of an instance while nothing
// was heard of it.
func (m *Machine) overdue(instance *instanceState, now time.Duration) time.Duration {
	oldest := now
	for _, conn := range instance.conns {
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
	return now - max(oldest, instance.lastResponse)
}

// watch tells the control primary at once when a primary turns doubtful.
func (m *Machine) reportSuspects(now time.Duration) {
	for _, database := range m.databases {
		_, target, open := m.writer(database)
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
	for _, database := range m.databases {
		head := m.instance(m.routing.WriterRole(database.name).Primary)
		isAlive := head != nil && now-head.lastResponse < 2*m.timing.ClosingGrace
		if isAlive && database.writerClosedAt != 0 && now-database.writerClosedAt < m.timing.ClosingGrace && len(m.strandedCommits(database)) > 0 {
			return true
		}
	}
	return false
}

func (m *Machine) strandedCommits(database *databaseState) []*Request {
	writer, _, open := m.writer(database)
	var found []*Request
	for _, request := range database.inFlight {
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
		for _, database := range m.databases {
			writer := m.routing.WriterRole(database.name)
			if writer.Phase != model.PhaseOpen && writer.MinPosition != (model.Position{}) {
				m.recordPosition(database, sent, writer.MinPosition, now)
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

func (m *Machine) onWriterChanged(database *databaseState, change routing.WriterRoleChanged, now time.Duration) {
	m.count("writer_moves", 1)
	if change.Current.Phase == model.PhaseOpen {
		database.writerClosedAt, database.closeReported = 0, false
		if change.Previous.Term != change.Current.Term {
			database.samples = nil
		}
	} else if database.writerClosedAt == 0 {
		database.writerClosedAt = now
	}
	old := m.instance(change.Previous.Primary)
	isFenced := change.Previous.Phase == model.PhaseOpen && old != nil && (change.Current.Phase != model.PhaseOpen || change.Current.Term != change.Previous.Term)
	if !isFenced {
		return
	}
	isOld := func(term uint64) bool { return change.Current.Phase != model.PhaseOpen || term != change.Current.Term }
	for _, request := range slices.Clone(database.inFlight) {
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
func (m *Machine) loseTransaction(client *Client, now time.Duration) {
	transaction := client.transaction
	if transaction == nil || transaction.lost {
		return
	}
	request := client.request
	if request != nil && request.isSent() && request.mayPersist() {
		m.abortStranded(request, now)
		return
	}
	transaction.lost = true
	conn := transaction.conn
	transaction.conn = nil
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
	client := request.client
	m.finish(request)
	m.endTransaction(client, now)
	client.state = lineproto.StateFailed
	if request.commit {
		client.state = lineproto.StateIdle
	}
	m.respondError(client, lineproto.CodeAborted, "the transaction was lost with its instance; nothing is kept", true)
	m.handlePipelined(client, now)
}

// close takes a statement out of every line.
func (m *Machine) finish(request *Request) {
	database := m.database(request.binding.Database)
	m.dequeue(request)
	remove(&database.inFlight, request)
	remove(&database.unconfirmed, request)
	request.phase = phaseEnded
	for _, attempt := range request.attempts {
		attempt.abandoned = true
	}
	if request.client.request == request {
		request.client.request = nil
	}
}

// refuse ends a statement that was not passed on.
func (m *Machine) reject(request *Request, code lineproto.Code, text string, now time.Duration) {
	client := request.client
	m.finish(request)
	m.failTransactionOf(request, now)
	m.respondError(client, code, text, true)
	m.handlePipelined(client, now)
}

// settleState brings the client's state to that after a failed statement.
func (m *Machine) failTransactionOf(request *Request, now time.Duration) {
	client := request.client
	if request.transaction == nil {
		return
	}
	m.endTransaction(client, now)
	client.state = lineproto.StateFailed
	if request.commit {
		client.state = lineproto.StateIdle
	}
}

// forsake ends a statement whose client has gone.
func (m *Machine) abandonRequest(request *Request, _ time.Duration) { m.finish(request) }

// again puts a read back in line; what is out of it is not waited for.
func (m *Machine) requeue(request *Request, now time.Duration) {
	database := m.database(request.binding.Database)
	remove(&database.inFlight, request)
	for _, attempt := range request.attempts {
		attempt.abandoned = true
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
	instance := conn.instance
	if conn.state == connOpening {
		m.onOpened(conn, message, now)
		return
	}
	instance.lastResponse, instance.refusals = now, 0
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
	instance := conn.instance
	if message.Code == lineproto.CodeWrongInstance {
		m.ConnLost(conn, now)
		return
	}
	instance.opening--
	instance.lastResponse, instance.refusals = now, 0
	if message.Kind != lineproto.KindReady {
		m.count("connections_refused", 1)
		m.backOff(instance, now)
		conn.state = connIdle
		m.closeConn(conn, now)
		return
	}
	m.count("connections_opened", 1)
	instance.backoff = 0
	instance.position = instance.position.Max(message.Position)
	conn.state = connBusy
	m.release(conn, now)
	m.dispatch(m.databaseOf(instance), now)
}

func (m *Machine) backOff(instance *instanceState, now time.Duration) {
	instance.backoff = min(max(2*instance.backoff, m.timing.BackoffMin), m.timing.BackoffMax)
	instance.backoffUntil = now + instance.backoff
}

func (m *Machine) onReady(conn *Conn, first pendingAnswer, message lineproto.Message, now time.Duration) {
	instance := conn.instance
	conn.pending = conn.pending[1:]
	if instance.position.IsBefore(message.Position) {
		instance.position = message.Position
	}
	if first.attempt == nil {
		if len(conn.pending) == 0 && conn.attempt == nil {
			m.releaseInState(conn, message.State, now)
			m.dispatch(m.databaseOf(instance), now)
		}
		return
	}
	attempt := first.attempt
	if !attempt.hasResult {
		m.count("answers_malformed", 1)
		m.ConnLost(conn, now)
		return
	}
	if !attempt.statementSent {
		m.onBeginAnswered(attempt, message, now)
		return
	}
	conn.attempt = nil
	m.learnPosition(attempt, message.Position, now)
	m.recordOutcome(attempt, now)
	m.complete(attempt, message, now)
	m.dispatch(m.databaseOf(instance), now)
}

func (m *Machine) learnPosition(attempt *requestAttempt, position model.Position, now time.Duration) {
	database := m.databaseOf(attempt.conn.instance)
	writer, target, open := m.writer(database)
	if open && target == attempt.conn.instance && attempt.request.term == writer.Term && m.routing.HasLease(now) && position != (model.Position{}) {
		m.recordPosition(database, attempt.sentAt, position, now)
	}
}

func (m *Machine) recordPosition(database *databaseState, at time.Duration, position model.Position, now time.Duration) {
	for len(database.samples) > 0 && (now-database.samples[0].takenAt > 8*time.Second) {
		database.samples = database.samples[1:]
	}
	if count := len(database.samples); count > 0 {
		last := database.samples[count-1]
		if at <= last.takenAt {
			return
		}
		if position.IsBefore(last.position) {
			position = last.position
		}
		if count > 1 && at-database.samples[count-2].takenAt < 20*time.Millisecond {
			database.samples[count-1] = positionSample{takenAt: at, position: position}
			return
		}
	}
	database.samples = append(database.samples, positionSample{takenAt: at, position: position})
}

func (m *Machine) recordOutcome(attempt *requestAttempt, now time.Duration) {
	outcome := flowcontrol.Completed
	isRefused := attempt.result.Kind == lineproto.KindError && (attempt.result.Code == lineproto.CodeBusy || attempt.result.Code == lineproto.CodeLagging || attempt.result.Code == lineproto.CodeReadOnly || attempt.result.Code == lineproto.CodeNotFound)
	if isRefused {
		outcome = flowcontrol.Rejected
	}
	attempt.conn.instance.window.Release(outcome, m.normalizedLatency(attempt.request, now-attempt.sentAt))
	if !isRefused {
		attempt.conn.instance.health.Observe(attempt.isFailed(), now)
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
func (attempt *requestAttempt) isFailed() bool {
	return attempt.result.Kind == lineproto.KindError && (attempt.result.Code == lineproto.CodeFailed || attempt.result.Code == lineproto.CodeTimeout)
}

// sized brings a latency to the reference size of work.
func (m *Machine) normalizedLatency(request *Request, latency time.Duration) time.Duration {
	if request.binding.LatencyTarget <= 0 {
		return latency
	}
	return time.Duration(float64(latency) * float64(m.timing.ReferenceTarget) / float64(request.binding.LatencyTarget))
}

func (m *Machine) complete(attempt *requestAttempt, ready lineproto.Message, now time.Duration) {
	request, conn := attempt.request, attempt.conn
	isOurs := !attempt.abandoned && request.phase == phaseInFlight
	if !isOurs {
		if conn.owner != nil || ready.State != lineproto.StateIdle {
			m.closeConn(conn, now)
			return
		}
		m.release(conn, now)
		return
	}
	if request.transaction != nil {
		m.completeInTransaction(attempt, ready, now)
		return
	}
	m.releaseInState(conn, ready.State, now)
	if attempt.result.Kind == lineproto.KindError {
		m.completeWithError(attempt, now)
		return
	}
	m.completeWithSuccess(attempt, ready, now)
}

// onBegun takes the answer to the begin that goes before a transaction's
// first statement, which follows only now: it must never run outside.
func (m *Machine) onBeginAnswered(attempt *requestAttempt, ready lineproto.Message, now time.Duration) {
	request, conn := attempt.request, attempt.conn
	isGood := attempt.result.Kind == lineproto.KindDone && ready.State == lineproto.StateInTransaction
	isOurs := !attempt.abandoned && request.phase == phaseInFlight
	if isGood && isOurs {
		attempt.hasResult, attempt.statementSent, attempt.rows, attempt.sentAt = false, true, nil, now
		m.send(conn, attempt, []Command{m.statementCommand(request, conn, model.Position{})})
		return
	}
	conn.attempt, conn.owner = nil, nil
	conn.instance.window.Release(flowcontrol.Rejected, 0)
	if attempt.result.Code == lineproto.CodeLagging {
		conn.instance.laggingUntil = now + m.timing.LaggingPause
	}
	m.count("begins_refused", 1)
	m.releaseInState(conn, ready.State, now)
	if isOurs {
		request.transaction.conn = nil
		m.requeueAfterRefusal(request, attempt.result.Code, now)
	}
	m.dispatch(m.databaseOf(conn.instance), now)
}

func (m *Machine) completeInTransaction(attempt *requestAttempt, ready lineproto.Message, now time.Duration) {
	request, conn, client := attempt.request, attempt.conn, attempt.request.client
	isError := attempt.result.Kind == lineproto.KindError
	if request.commit || ready.State == lineproto.StateIdle {
		request.transaction.conn, conn.owner = nil, nil
		conn.dirty = conn.dirty || (isError && conn.changed)
		m.releaseInState(conn, ready.State, now)
		client.transaction, client.state = nil, lineproto.StateIdle
	} else {
		conn.state = connIdle
		client.state = ready.State
		if isError && attempt.result.Code.GuaranteesNoEffect() {
			client.state = lineproto.StateFailed
		}
		if client.state == lineproto.StateFailed {
			m.endTransaction(client, now)
		}
	}
	if isError {
		m.completeWithError(attempt, now)
		return
	}
	m.completeWithSuccess(attempt, ready, now)
}

func (m *Machine) completeWithError(attempt *requestAttempt, now time.Duration) {
	request := attempt.request
	if attempt.result.Code == lineproto.CodeLagging {
		attempt.conn.instance.laggingUntil = now + m.timing.LaggingPause
	}
	isUnknown := attempt.result.Code == lineproto.CodeNotFound
	attempt.conn.dirty = attempt.conn.dirty || isUnknown
	isRefused := attempt.result.Code == lineproto.CodeLagging || attempt.result.Code == lineproto.CodeBusy || attempt.result.Code == lineproto.CodeReadOnly
	isFailed := request.isRetryableRead() && attempt.result.Code == lineproto.CodeFailed && request.failures+1 < request.maxAttempts()
	if isFailed {
		request.failures, request.avoid = request.failures+1, attempt.conn.instance
		m.count("reads_failed_elsewhere", 1)
	}
	isAgain := (request.isRetryableRead() && isRefused) || (request.transaction == nil && isUnknown) || isFailed
	if isAgain && attempt.hasOtherAttempt() {
		attempt.abandoned = true
		return
	}
	if isAgain {
		m.requeueAfterRefusal(request, attempt.result.Code, now)
		return
	}
	client := request.client
	m.finish(request)
	m.count("errors_passed", 1)
	m.respond(client, lineproto.Message{Kind: lineproto.KindError, Payload: attempt.result.Payload, Code: attempt.result.Code}, m.readyMessage(client, model.Position{}))
	m.handlePipelined(client, now)
}

func (m *Machine) completeWithSuccess(attempt *requestAttempt, ready lineproto.Message, now time.Duration) {
	request := attempt.request
	request.answer = append(attempt.rows, attempt.result)
	request.position = ready.Position
	if request.mayPersist() {
		database := m.database(request.binding.Database)
		remove(&database.inFlight, request)
		request.phase = phaseUnconfirmed
		database.unconfirmed = append(database.unconfirmed, request)
		m.confirmCommits(database, now)
		return
	}
	m.respondWithAnswer(request, now)
}

func (m *Machine) respondWithAnswer(request *Request, now time.Duration) {
	client := request.client
	m.finish(request)
	m.count("answered", 1)
	m.respond(client, append(request.answer, m.readyMessage(client, request.position))...)
	m.handlePipelined(client, now)
}

// settleConfirms tells commits that ran, while the lease is held and the term
// in which they ran is open, or is closing and the node has not yet told that
// it knows: until then nothing else is promoted, and the positions that are
// asked for after cover what is told now.
func (m *Machine) confirmCommits(database *databaseState, now time.Duration) {
	for _, request := range slices.Clone(database.unconfirmed) {
		writer := m.routing.WriterRole(database.name)
		isClosing := writer.Phase == model.PhaseClosing && !database.closeReported
		isOver := writer.Term != request.term || (writer.Phase != model.PhaseOpen && !isClosing)
		if isOver {
			m.respondUnknown(request, "it ran on a primary that has since lost the writer role", now)
			continue
		}
		if !m.routing.HasLease(now) {
			continue
		}
		database.highWatermark = database.highWatermark.Max(request.position)
		if request.client.ownCommits == nil {
			request.client.ownCommits = map[string]ownCommit{}
		}
		held := request.client.ownCommits[database.name]
		request.client.ownCommits[database.name] = ownCommit{position: held.position.Max(request.position), at: now}
		m.respondWithAnswer(request, now)
	}
}

func (m *Machine) respondUnknown(request *Request, text string, now time.Duration) {
	client := request.client
	m.finish(request)
	if request.transaction != nil {
		m.endTransaction(client, now)
		client.state = lineproto.StateIdle
	}
	m.count("unknown", 1)
	m.respondError(client, lineproto.CodeUnknownOutcome, text, true)
	m.handlePipelined(client, now)
}
