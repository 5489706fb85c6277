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

// neverAnswered is the time of the last response of an instance that has not
// answered yet.
const neverAnswered = -time.Hour

// unknownLimit is the connection limit that stands for one that is not known yet.
const unknownLimit = 1

// instanceState is what the node knows of one database instance, and its
// connections there.
type instanceState struct {
	info     model.Instance
	database *databaseState
	// quota is what the node may have of the instance's connections.
	quota  connquota.Quota
	health outlier.FailureRate
	window *flowcontrol.Window
	// conns are all connections, idle those that no client holds, the one used
	// last at the end; opening counts those whose handshake is not over.
	conns        []*Conn
	idle         []*Conn
	opening      int
	backoff      pool.Backoff
	lastResponse time.Duration
	// refusals counts the connections refused in a row.
	refusals int
	// laggingUntil is when the instance is asked for bounded reads again.
	laggingUntil time.Duration
	// drainingSince is when the instance was seen to leave; 0 while it stays.
	drainingSince time.Duration
	position      model.Position
	// reportedLevel is how doubtful the instance was at the last report.
	reportedLevel int
}

// instance returns the state of an instance, or nil if it is not known.
func (m *Machine) instance(name string) *instanceState { return m.instances.Get(name) }

func (m *Machine) newInstance(database *databaseState) *instanceState {
	return &instanceState{
		window:       flowcontrol.NewWindow(m.windowParameters),
		database:     database,
		lastResponse: neverAnswered,
	}
}

// UpdateInstance takes an instance as the control primary describes it.
func (m *Machine) UpdateInstance(info model.Instance, now time.Duration) {
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

// markDraining notes that an instance leaves. One that was leaving before the
// node learned of it has less time left.
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

// isDrainOver reports whether an instance has been draining for so long that
// nothing more is sent to it.
func (m *Machine) isDrainOver(instance *instanceState, now time.Duration) bool {
	return instance.drainingSince != 0 && now-instance.drainingSince >= m.timing.DrainWindow
}

// isLimitKnown reports whether an instance's connection limit is known. Announcements
// of instances whose limit stands in the configuration only say unknownLimit.
func isLimitKnown(info model.Instance) bool { return info.Connections > unknownLimit }

// updateCapacities takes the instances' connection limits from a binding set. A window
// that was bounded by an unknown limit begins anew, at its initial size.
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

// updatePeers takes the names of the live proxy nodes, with which the node
// shares the instances' connections, and its weight among them.
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

// writer returns a database's writer role and its primary, and whether the
// primary may be sent strict statements.
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

// overdue returns the age of the oldest request to an instance since which
// nothing has come from it; 0 if there is none.
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

// takeIdle takes an idle connection out, preferably one that has the client's
// session state, and among those the one used last. It returns nil if there is
// none.
func (i *instanceState) takeIdle(client *Client) *Conn {
	best, bestMismatch := -1, mismatchNone
	for index, conn := range slices.Backward(i.idle) {
		mismatch := sessionMismatch(conn, client)
		if best < 0 || mismatch < bestMismatch {
			best, bestMismatch = index, mismatch
		}
		if mismatch == mismatchNone {
			break
		}
	}
	if best < 0 {
		return nil
	}
	conn := i.idle[best]
	i.idle = slices.Delete(i.idle, best, best+1)
	return conn
}
