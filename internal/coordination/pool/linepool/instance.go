package linepool

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/connquota"
	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/coordination/outlier"
	"tansyseam/internal/coordination/pool"
	"tansyseam/internal/state/model"
)

// neverAnswered is the value of lastResponse for an instance that has not
// answered yet.
const neverAnswered = -time.Hour

// unknownLimit is the connection limit of an instance whose real limit is not
// known yet.
const unknownLimit = 1

// instanceState is the node's state for one database instance, including the
// connections to it.
type instanceState struct {
	info     model.Instance
	database *databaseState
	// quota is the node's share of the instance's connections.
	quota  connquota.Quota
	health outlier.FailureRate
	window *flowcontrol.Window
	// conns holds all connections to the instance. idle holds the connections
	// that no client uses, the most recently used one last. opening is the
	// number of connections whose handshake is not complete.
	conns        []*Conn
	idle         []*Conn
	opening      int
	backoff      pool.Backoff
	lastResponse time.Duration
	// refusals is the number of consecutive refused connections.
	refusals int
	// laggingUntil is the time until which the instance receives no bounded
	// reads because it lags.
	laggingUntil time.Duration
	// drainingSince is the time at which the node observed that the instance is
	// draining; 0 if it is not. It is set to an earlier time if the instance
	// was already draining when UpdateInstance first added it.
	drainingSince time.Duration
	position      model.Position
	// maxRows is the highest number of rows in the instance's answers, by kind of
	// statement.
	maxRows [rowKindCount]int
	// reportedLevel is the suspicion level at the last call of reportSuspects.
	reportedLevel int
}

// instance returns the state of an instance, or nil if there is none of that
// name.
func (m *Machine) instance(name string) *instanceState { return m.instances.Get(name) }

func (m *Machine) newInstance(database *databaseState) *instanceState {
	return &instanceState{
		window:       flowcontrol.NewWindow(m.windowParameters),
		database:     database,
		lastResponse: neverAnswered,
	}
}

// UpdateInstance applies the control primary's description of an instance. The primary
// may know of an instance only that it has stopped; the description that this node has is
// kept then.
func (m *Machine) UpdateInstance(info model.Instance, now time.Duration) {
	if info.Stopped && info.Database == "" {
		known := m.instance(info.Name)
		if known == nil {
			return
		}
		info = known.info
		info.Leaving, info.Stopped = true, true
	}
	database := m.database(info.Database)
	instance := m.instances.GetOrAdd(info.Name, func() *instanceState { return m.newInstance(database) })
	previous := instance.info
	if !isLimitKnown(info) {
		info.Connections = previous.Connections
	}
	instance.info = info
	returned := previous.Leaving && !info.Leaving
	if previous.Name != "" && (previous.Role != info.Role || returned) {
		instance.window.Reset()
	}
	if previous.Address != info.Address || info.Stopped {
		m.closeIdleConns(instance, now)
	}
	if info.Leaving || info.Stopped {
		m.markDraining(instance, previous.Name == "", now)
	} else {
		instance.drainingSince = 0
	}
	m.retuneWindow(instance)
	m.dispatch(database, now)
}

// markDraining records that an instance is draining. An instance that was
// already draining when UpdateInstance first added it has only LateDrainWindow
// left.
func (m *Machine) markDraining(instance *instanceState, isNew bool, now time.Duration) {
	if instance.drainingSince != 0 {
		return
	}
	instance.drainingSince = now
	if isNew {
		instance.drainingSince = now - m.timing.DrainWindow + m.timing.LateDrainWindow
	}
	if !m.isPrimary(instance) {
		m.closeIdleConns(instance, now)
	}
}

// isDrainOver reports whether the drain window of a draining instance is over.
// Nothing more is sent to the instance then.
func (m *Machine) isDrainOver(instance *instanceState, now time.Duration) bool {
	return instance.drainingSince != 0 && now-instance.drainingSince >= m.timing.DrainWindow
}

// isLimitKnown reports whether an instance's connection limit is known. If the
// limit is set in the configuration only, the instance's announcement contains
// unknownLimit.
func isLimitKnown(info model.Instance) bool { return info.Connections > unknownLimit }

// updateCapacities sets the instances' connection limits from a binding set. A
// window that was bounded by an unknown limit is reset to its initial size.
func (m *Machine) updateCapacities(set model.BindingSet) {
	for _, instance := range m.instances.All() {
		database, found := set.Database(instance.info.Database)
		if !found || database.MaxConnections == instance.info.Connections {
			continue
		}
		wasKnown := isLimitKnown(instance.info)
		instance.info.Connections = database.MaxConnections
		m.retuneWindow(instance)
		if !wasKnown {
			instance.window.Reset()
		}
	}
}

// updatePeers updates the list of live proxy nodes, which share the instances'
// connections, and this node's weight among them.
func (m *Machine) updatePeers(live []string, weight float64, now time.Duration) {
	changed := m.quotaNodes.Update(live, now)
	if !changed && weight == m.windowParameters.Beta {
		return
	}
	m.windowParameters.Beta = weight
	for _, instance := range m.instances.All() {
		m.retuneWindow(instance)
	}
}

func (m *Machine) retuneWindow(instance *instanceState) {
	instance.quota = m.quotaNodes.Quota(m.node.Name, instance.info.Name, instance.info.Connections)
	instance.window.Retune(m.windowParameters.Beta, float64(instance.quota.MaxOpen))
}

// writer returns a database's writer role and its primary. open is true if
// strict statements may be sent to the primary.
func (m *Machine) writer(database *databaseState) (writer model.WriterRole, primary *instanceState, open bool) {
	writer = m.Routing().WriterRole(database.name)
	primary = m.instance(writer.Primary)
	open = writer.Phase == model.PhaseOpen && primary != nil && !primary.info.Stopped
	return writer, primary, open
}

// isPrimary reports whether an instance is its database's primary in an open
// term.
func (m *Machine) isPrimary(instance *instanceState) bool {
	_, primary, open := m.writer(instance.database)
	return open && primary == instance
}

// overdue returns how long the oldest unanswered statement or handshake has
// waited, counted from when it was sent or from the instance's last response,
// whichever is later. It returns 0 if nothing is unanswered.
func (i *instanceState) overdue(now time.Duration) time.Duration {
	oldest := now
	for _, conn := range i.conns {
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
	return now - max(oldest, i.lastResponse)
}

// takeIdle removes an idle connection that may serve a request from the list and
// returns it, or nil if there is none. It prefers a connection without errors, then
// one that has the client's session state, and among those the one used last.
func (i *instanceState) takeIdle(request *Request, now time.Duration) *Conn {
	best := i.bestIdle(request, now, false)
	if best < 0 && !request.mayPersist() {
		best = i.bestIdle(request, now, true)
	}
	if best < 0 {
		return nil
	}
	conn := i.idle[best]
	i.idle = slices.Delete(i.idle, best, best+1)
	return conn
}

// bestIdle returns the index of the idle connection that suits a request best, or -1. The
// connections whose errors may be repeated are skipped unless failed is true: a repetition
// leaves the outcome of a write unknown.
func (i *instanceState) bestIdle(request *Request, now time.Duration, failed bool) int {
	best, bestMismatch := -1, mismatchNone
	begins := request.begins()
	for index, conn := range slices.Backward(i.idle) {
		if (begins && !conn.mayBegin(now)) || (!failed && !conn.errors.isEmpty()) {
			continue
		}
		mismatch := sessionMismatch(conn, request.client)
		if best < 0 || mismatch < bestMismatch {
			best, bestMismatch = index, mismatch
		}
		if mismatch == mismatchNone {
			break
		}
	}
	return best
}

// replaceIdle opens connections for requests that no idle connection may serve: those
// that begin a transaction, and single writes. If the quota has no room, idle connections
// are closed for them.
func (m *Machine) replaceIdle(instance *instanceState, waiting int, now time.Duration) {
	surplus := len(instance.conns) + waiting - instance.opening - instance.quota.MaxOpen
	if instance.backoff.Over(now) {
		for range min(surplus, len(instance.idle)) {
			m.closeConn(instance.idle[0], now)
		}
	}
	m.openConns(instance, waiting, now)
}
