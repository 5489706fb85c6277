package httppool

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/coordination/pool"
	"tansyseam/internal/coordination/routing"
	"tansyseam/internal/state/model"
)

const (
	// silenceBeforeReset is the time without an announcement after which an
	// instance is treated as a new instance when it announces itself again.
	silenceBeforeReset = 5 * time.Second

	// watchTimeout is the time without an announcement after which an instance is
	// no longer watched.
	watchTimeout = time.Minute
)

// instanceState is the pool's state for one instance.
type instanceState struct {
	observation *routing.Observation
	database    *databaseState
	window      *flowcontrol.Window
	watched     bool
	// leavingSince is the time since which the instance has been leaving, or 0 if it
	// is not leaving.
	leavingSince time.Duration

	// connections counts the open connections and those that are being opened;
	// opening counts the latter alone.
	connections int
	opening     int
	idle        []*Conn
	backoff     pool.Backoff

	inFlight       []*Request
	abandoned      []*Request
	pinnedSessions []*clientSession
}

func (i *instanceState) name() string { return i.observation.Instance.Name }

func (i *instanceState) incarnation() string { return i.observation.Instance.Incarnation }

func (i *instanceState) leaving() bool { return i.leavingSince != 0 }

func (i *instanceState) removeInFlight(request *Request) {
	i.inFlight = slices.DeleteFunc(i.inFlight, func(other *Request) bool { return other == request })
}

// removeAbandoned frees the slot of an abandoned request. It returns false if the
// request is not abandoned at this instance.
func (i *instanceState) removeAbandoned(request *Request) bool {
	index := slices.Index(i.abandoned, request)
	if index < 0 {
		return false
	}
	i.abandoned = slices.Delete(i.abandoned, index, index+1)
	i.window.ReleaseAbandoned()
	return true
}

// UpdateInstance handles an instance's announcement.
func (m *Machine) UpdateInstance(announced model.Instance, now time.Duration) {
	database := m.database(announced.Database)
	instance := m.instances.GetOrAdd(announced.Name, func() *instanceState {
		return &instanceState{
			window: flowcontrol.NewWindow(m.windowParameters), database: database, observation: m.Routing().Observation(announced.Name),
		}
	})
	previous := instance.observation.Instance
	if needsReset(previous, announced, now-instance.observation.LastAnnouncement) {
		instance.window.Reset()
		instance.backoff = pool.Backoff{}
	}
	if previous.Address != announced.Address || previous.Incarnation != announced.Incarnation {
		m.closeIdleConns(instance)
	}
	m.Routing().HandleAnnouncement(announced, now)
	if announced.Leaving {
		m.markLeaving(instance, now)
	} else {
		instance.leavingSince = 0
	}
	m.retuneWindow(instance)
	if !instance.watched {
		instance.watched = true
		m.Emit(Watch{Instance: announced.Name})
	}
	m.confirmCommits(database, now)
	m.dispatch(database, now)
}

// needsReset reports whether a known instance must be treated as a new instance:
// after a restart, a change of role or a long silence, or if it has cancelled its
// departure.
func needsReset(previous, announced model.Instance, silence time.Duration) bool {
	if previous.Name == "" {
		return false
	}
	changed := previous.Role != announced.Role || previous.Incarnation != announced.Incarnation
	leaveCancelled := previous.Leaving && !announced.Leaving
	return changed || leaveCancelled || silence > silenceBeforeReset
}

func (m *Machine) markLeaving(instance *instanceState, now time.Duration) {
	if !instance.leaving() {
		instance.leavingSince = now
		m.closeIdleConns(instance)
	}
}

// WatchTarget returns the address for the next status request to an instance, and
// the instance's last known position. If active is false, the watch has ended.
func (m *Machine) WatchTarget(name string, now time.Duration) (address string, after model.Position, active bool) {
	instance := m.instances.Get(name)
	if now-instance.observation.LastAnnouncement > watchTimeout {
		instance.watched = false
		return "", model.Position{}, false
	}
	return instance.observation.Instance.Address, instance.observation.Position, true
}

// InstanceStatusReceived handles an instance's status. sent is the time at which the
// status request was sent.
func (m *Machine) InstanceStatusReceived(name string, reply Reply, sent, now time.Duration) {
	instance := m.instances.Get(name)
	reported := instance.observation.Instance
	reported.Incarnation = reply.Incarnation
	reported.Role = reply.Role
	reported.Term = reply.Term
	reported.Position = reply.Position
	reported.Leaving = reply.Leaving
	if m.Routing().HandlePosition(name, reported, sent, now) {
		m.Emit(Report{})
	}
	if reply.Leaving {
		m.markLeaving(instance, now)
	}
	m.confirmCommits(instance.database, now)
	m.dispatch(instance.database, now)
}

func (m *Machine) updatePeers(liveProxies int, weight float64, now time.Duration) {
	changed := m.peers.Observe(liveProxies, now)
	if !changed && weight == m.windowParameters.Beta {
		return
	}
	m.windowParameters.Beta = weight
	for _, instance := range m.instances.All() {
		m.retuneWindow(instance)
	}
}

// connectionShare returns the number of connections that this node may have to an
// instance: an equal share for each proxy, with one share reserved for a proxy that
// replaces another.
func (m *Machine) connectionShare(instance *instanceState) int {
	return max(instance.observation.Instance.Connections/(m.peers.Max+1), 1)
}

func (m *Machine) retuneWindow(instance *instanceState) {
	instance.window.Retune(m.windowParameters.Beta, float64(m.connectionShare(instance)))
}
