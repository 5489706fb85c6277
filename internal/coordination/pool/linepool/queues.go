package linepool

import (
	"fmt"
	"slices"
	"time"

	"tansyseam/internal/coordination/balancer"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

func (m *Machine) submit(request *Request, now time.Duration) {
	request.client.request, request.arrivedAt = request, now
	request.deadline = now + m.timing.DefaultTimeout
	m.bind(request, now)
}

// bind finds the binding in force; one inside a transaction keeps that of its
// begin. Without a lease it waits.
func (m *Machine) bind(request *Request, now time.Duration) {
	isStarted := request.transaction != nil && request.transaction.conn != nil
	if !m.routing.HasLease(now) && !(isStarted && request.transaction.readOnly) {
		if binding, found := m.effectiveSet(now).Binding(request.client.binding); found && binding.Timeout > 0 {
			request.deadline = request.arrivedAt + binding.Timeout
		}
		if m.isIsolated(now) {
			m.count("refused_cut_off", 1)
			m.reject(request, lineproto.CodeBusy, "not served now; come back in 500 ms", now)
			return
		}
		request.phase = phaseAwaitingLease
		m.awaitingLease = append(m.awaitingLease, request)
		return
	}
	if isStarted {
		request.binding = request.transaction.binding
	} else {
		binding, found := m.effectiveSet(now).Binding(request.client.binding)
		if !found {
			m.reject(request, lineproto.CodeUnknownDatabase, request.client.binding, now)
			return
		}
		request.binding = binding
		if request.transaction != nil {
			request.transaction.binding = binding
		}
	}
	if request.binding.Timeout > 0 {
		request.deadline = request.arrivedAt + request.binding.Timeout
	}
	if now >= request.deadline {
		m.count("timeouts", 1)
		m.timeOutQueued(request, now)
		return
	}
	isReading := !request.write && !request.commit
	if request.transaction != nil {
		isReading = request.transaction.readOnly
	}
	request.strict = !isReading || request.binding.Freshness == 0
	m.enqueue(request, now)
}

func (m *Machine) resumeAwaitingLease(now time.Duration) {
	if len(m.awaitingLease) == 0 {
		return
	}
	waiting := m.awaitingLease
	m.awaitingLease = nil
	for _, request := range waiting {
		if request.phase == phaseAwaitingLease {
			m.bind(request, now)
		}
	}
}

func (m *Machine) enqueue(request *Request, now time.Duration) {
	database := m.database(request.binding.Database)
	request.phase = phaseQueued
	list := m.queueOf(database, request)
	if len(*list) >= m.timing.MaxQueue {
		m.reject(request, lineproto.CodeBusy, "the line is full; come back in 500 ms", now)
		return
	}
	*list = append(*list, request)
	for at := len(*list) - 1; at > 0 && (*list)[at-1].binding.Priority > request.binding.Priority; at-- {
		(*list)[at], (*list)[at-1] = (*list)[at-1], (*list)[at]
	}
	m.dispatch(database, now)
}

func (m *Machine) queueOf(database *databaseState, request *Request) *[]*Request {
	if request.transaction != nil && request.transaction.conn != nil {
		return &database.transactionQueue
	}
	if request.strict {
		return &database.primaryQueue
	}
	return &database.readQueue
}

func remove(list *[]*Request, request *Request) {
	if at := slices.Index(*list, request); at >= 0 {
		*list = slices.Delete(*list, at, at+1)
	}
}

func (m *Machine) dequeue(request *Request) {
	database := m.database(request.binding.Database)
	for _, list := range []*[]*Request{&database.transactionQueue, &database.primaryQueue, &database.readQueue} {
		remove(list, request)
	}
}

func (m *Machine) dispatch(database *databaseState, now time.Duration) {
	if len(database.transactionQueue) > 0 {
		m.dispatchTransactions(database, now)
	}
	if len(database.primaryQueue) > 0 && m.routing.HasLease(now) {
		m.dispatchPrimary(database, now)
	}
	if len(database.readQueue) > 0 && m.routing.HasLease(now) {
		m.dispatchReads(database, now)
	}
}

// isDue says whether a statement in line may go out now; one whose time is
// over is about to be ended.
func (request *Request) isReady(now time.Duration) bool {
	return request.phase == phaseQueued && now >= request.notBefore && now < request.deadline
}

func (m *Machine) dispatchTransactions(database *databaseState, now time.Duration) {
	for _, request := range slices.Clone(database.transactionQueue) {
		if request.phase != phaseQueued {
			continue
		}
		conn := request.transaction.conn
		if conn == nil || request.transaction.lost {
			m.dequeue(request)
			m.abortTransaction(request, now)
			continue
		}
		writer, _, open := m.writer(database)
		isFenced := !request.transaction.readOnly && (!open || writer.Term != conn.term || !m.routing.HasLease(now))
		if !isFenced && request.isReady(now) && conn.instance.window.HasRoom() {
			request.term = conn.term
			m.forward(request, conn, now)
		}
	}
}

func (m *Machine) dispatchPrimary(database *databaseState, now time.Duration) {
	writer, target, open := m.writer(database)
	if !open || !m.routing.MayWrite(database.name, writer.Term, now) || m.isDrainOver(target, now) {
		return
	}
	for _, request := range slices.Clone(database.primaryQueue) {
		if !target.window.HasRoom() {
			return
		}
		if !request.isReady(now) {
			continue
		}
		conn := m.takeIdle(target, request.client)
		if conn == nil {
			m.openConns(target, len(database.primaryQueue), now)
			return
		}
		request.term, request.minPosition = writer.Term, model.Position{}
		m.forward(request, conn, now)
	}
}

func (m *Machine) dispatchReads(database *databaseState, now time.Duration) {
	misses := 0
	for _, request := range slices.Clone(database.readQueue) {
		if misses > 8 {
			return
		}
		if !request.isReady(now) {
			continue
		}
		target, floor := m.selectInstance(database, request, request.avoid, now)
		if target == nil && request.avoid != nil {
			target, floor = m.selectInstance(database, request, nil, now)
		}
		var conn *Conn
		if target != nil {
			conn = m.takeIdle(target, request.client)
		}
		if conn == nil {
			misses++
			if target != nil {
				m.openConns(target, len(database.readQueue), now)
			}
			continue
		}
		request.term, request.minPosition = m.routing.WriterRole(database.name).Term, floor
		m.forward(request, conn, now)
	}
}

// floorOf gives a position that covers all that a read must see: whatever was
// told kept before the bound, and the session's own commits.
func (m *Machine) minPositionFor(database *databaseState, request *Request) (floor model.Position, found bool) {
	least := request.arrivedAt - request.binding.Freshness + freshnessMargin
	for _, seen := range database.samples {
		if seen.takenAt >= least {
			floor, found = seen.position, true
			break
		}
	}
	if own := request.client.ownCommits[database.name]; request.binding.ReadYourWrites {
		floor = floor.Max(own.position)
	}
	return floor, found
}

const freshnessMargin = 100 * time.Millisecond

func (m *Machine) selectInstance(database *databaseState, request *Request, not *instanceState, now time.Duration) (*instanceState, model.Position) {
	var choices []balancer.Candidate
	var targets []*instanceState
	floor, found := m.minPositionFor(database, request)
	own := request.client.ownCommits[database.name]
	isFresh := !request.binding.ReadYourWrites || now-own.at > m.timing.ReplicationBound
	writer, primary, open := m.writer(database)
	for _, instance := range m.instances {
		isOff := m.databases[instance.databaseID] != database || instance.drainingSince != 0 || instance.info.Stopped || instance == not
		if isOff {
			continue
		}
		isHead := instance == primary
		reading := instance.window.Reading()
		isRead := found && !isHead && instance.info.Role != model.RolePrimary && now >= instance.laggingUntil && (isFresh || !instance.position.IsBefore(floor))
		choices = append(choices, balancer.Candidate{
			HasCapacity: instance.window.HasRoom() && (len(instance.idle) > 0 || m.canOpen(instance, now)), SameZone: instance.info.Zone == m.node.Zone,
			FreshEnough: isRead || (isHead && open && m.routing.MayWrite(database.name, writer.Term, now)),
			Utilization: float64(reading.InFlight+reading.Abandoned) / max(reading.Size, 1), Latency: reading.AverageLatency,
			CostFactor: instance.health.CostFactor(now),
		})
		targets = append(targets, instance)
	}
	best := balancer.Pick(choices)
	if best < 0 {
		return nil, model.Position{}
	}
	if targets[best] == primary {
		floor = model.Position{}
	}
	return targets[best], floor
}

func (m *Machine) canOpen(instance *instanceState, now time.Duration) bool {
	return len(instance.conns) < instance.quota.MaxOpen && now >= instance.backoffUntil && instance.info.Address != ""
}

func (m *Machine) openConns(target *instanceState, waiting int, now time.Duration) {
	want := min(waiting, max(target.window.Available(), 1))
	for target.opening < want && m.canOpen(target, now) {
		conn := &Conn{instance: target, state: connOpening, openedAt: now}
		target.opening++
		target.conns = append(target.conns, conn)
		m.emit(OpenConn{Conn: conn, Address: target.info.Address, Database: target.info.Database, Instance: target.info.Name})
	}
}

// spare gives an idle connection, best one that has the client's values.
func (m *Machine) takeIdle(target *instanceState, client *Client) *Conn {
	best := -1
	for at := len(target.idle) - 1; at >= 0; at-- {
		lacks := sessionMismatch(target.idle[at], client)
		if best < 0 || lacks < sessionMismatch(target.idle[best], client) {
			best = at
		}
		if lacks == 0 {
			break
		}
	}
	if best < 0 {
		return nil
	}
	conn := target.idle[best]
	target.idle = slices.Delete(target.idle, best, best+1)
	return conn
}

func sessionMismatch(conn *Conn, client *Client) int {
	lacks := 0
	if conn.dirty {
		return 3
	}
	for name, value := range conn.variables {
		held, found := client.variables[name]
		if !found {
			return 2
		}
		if held != value {
			lacks = 1
		}
	}
	if len(client.variables) > len(conn.variables) {
		lacks = 1
	}
	return lacks
}

// pass sends a statement to an instance, with what must go before it.
func (m *Machine) forward(request *Request, conn *Conn, now time.Duration) {
	m.dequeue(request)
	database := m.database(request.binding.Database)
	var outs []Command
	isTurn := request.transaction != nil
	isFirst := isTurn && request.transaction.conn == nil
	outs = m.sessionCommands(conn, request.client, request.transaction != nil && !isFirst)
	if request.query.Statement.Action == lineproto.ActionExecute {
		if _, found := conn.prepared[request.prepared.text]; !found {
			conn.preparedCount++
			name := fmt.Sprintf("p%d", conn.preparedCount)
			if conn.prepared == nil {
				conn.prepared = map[string]string{}
			}
			conn.prepared[request.prepared.text] = name
			outs = append(outs, Command{Kind: CommandPrepare, Name: name, Value: request.prepared.text})
			conn.changed = true
		}
	}
	attempt := &requestAttempt{request: request, conn: conn, sentAt: now, statementSent: !isFirst}
	if isFirst {
		kind := CommandBegin
		if request.transaction.readOnly {
			kind = CommandBeginReadOnly
		}
		conn.changed = false
		outs = append(outs, Command{Kind: kind, MinPosition: request.minPosition})
		request.transaction.conn, conn.owner, conn.term = conn, request.client, request.term
	} else {
		floor := request.minPosition
		if isTurn {
			floor = model.Position{}
		}
		outs = append(outs, m.statementCommand(request, conn, floor))
	}
	if isTurn && request.write {
		request.transaction.hasWrites = true
	}
	request.attempts = append(request.attempts, attempt)
	request.phase = phaseInFlight
	conn.instance.window.Acquire()
	database.inFlight = append(database.inFlight, request)
	m.count("passed_on", 1)
	m.count("waited_us", (now - request.arrivedAt).Microseconds())
	m.send(conn, attempt, outs)
}

func (m *Machine) statementCommand(request *Request, conn *Conn, floor model.Position) Command {
	if request.query.Statement.Action == lineproto.ActionExecute {
		return Command{Kind: CommandExecute, ID: request.query.ID, Name: conn.prepared[request.prepared.text], Value: request.query.Statement.Arguments, MinPosition: floor}
	}
	return Command{Kind: CommandText, ID: request.query.ID, Text: request.query.Text, MinPosition: floor}
}

// dress gives what brings a connection to the client's values; inside a
// transaction nothing is reset, since values only grow there.
func (m *Machine) sessionCommands(conn *Conn, client *Client, inTransaction bool) []Command {
	var outs []Command
	isOver := conn.dirty || len(conn.prepared) > m.timing.MaxPrepared
	for name := range conn.variables {
		_, found := client.variables[name]
		isOver = isOver || !found
	}
	if isOver && !inTransaction {
		outs = append(outs, Command{Kind: CommandReset})
		conn.variables, conn.prepared, conn.dirty, conn.changed = nil, nil, false, false
		m.count("connections_reset", 1)
	}
	for _, name := range sortedKeys(client.variables) {
		if value, found := conn.variables[name]; !found || value != client.variables[name] {
			if conn.variables == nil {
				conn.variables = map[string]string{}
			}
			conn.variables[name] = client.variables[name]
			outs = append(outs, Command{Kind: CommandSet, Name: name, Value: client.variables[name]})
			conn.changed = true
		}
	}
	return outs
}

func sortedKeys(values map[string]string) []string {
	if len(values) == 0 {
		return nil
	}
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (m *Machine) send(conn *Conn, attempt *requestAttempt, outs []Command) {
	for at, out := range outs {
		one := pendingAnswer{kind: out.Kind}
		if at == len(outs)-1 {
			one.attempt = attempt
		}
		conn.pending = append(conn.pending, one)
	}
	if conn.state == connIdle && attempt == nil {
		if at := slices.Index(conn.instance.idle, conn); at >= 0 {
			conn.instance.idle = slices.Delete(conn.instance.idle, at, at+1)
		}
	}
	conn.state, conn.attempt = connBusy, attempt
	m.emit(Send{Conn: conn, Commands: outs})
}

// twins sends a read that got no answer for long to a second instance.
func (m *Machine) hedgeReads(now time.Duration) {
	if !m.routing.HasLease(now) {
		return
	}
	for _, database := range m.databases {
		for _, request := range slices.Clone(database.inFlight) {
			if !request.isRetryableRead() || request.hedged || request.strict || len(request.attempts) == 0 || now-request.attempts[0].sentAt < m.hedgeDelay(request) {
				continue
			}
			target, floor := m.selectInstance(database, request, request.attempts[0].conn.instance, now)
			if target == nil {
				continue
			}
			if conn := m.takeIdle(target, request.client); conn != nil {
				request.attempts[0].conn.instance.health.Observe(true, now)
				request.hedged, request.minPosition = true, floor
				remove(&database.inFlight, request)
				m.count("reads_twinned", 1)
				m.forward(request, conn, now)
			}
		}
	}
}

func (m *Machine) hedgeDelay(request *Request) time.Duration {
	if request.binding.LatencyTarget > 0 {
		return request.binding.LatencyTarget * 45 / 100
	}
	return time.Second
}
