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
	// instance is treated as a new one when it announces itself again.
	silenceBeforeReset = 5 * time.Second

	// watchTimeout is the time without an announcement after which an instance is
	// no longer watched.
	watchTimeout = time.Minute
)

// instanceState is what the pool holds for one instance.
type instanceState struct {
	observation *routing.Observation
	database    *databaseState
	window      *flowcontrol.Window
	watched     bool
	// leavingSince is 0 unless the instance is leaving.
	leavingSince time.Duration

	// connections counts open connections and, included, those being opened.
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
// request isn't one.
func (i *instanceState) removeAbandoned(request *Request) bool {
	index := slices.Index(i.abandoned, request)
	if index < 0 {
		return false
	}
	i.abandoned = slices.Delete(i.abandoned, index, index+1)
	i.window.ReleaseAbandoned()
	return true
}

// UpdateInstance takes an instance's announcement.
func (m *Machine) UpdateInstance(announced model.Instance, now time.Duration) {
	database := m.database(announced.Database)
	instance := m.instances.GetOrAdd(announced.Name, func() *instanceState {
		return &instanceState{
			window: flowcontrol.NewWindow(m.windowParameters), database: database, observation: m.Routing().Observation(announced.Name),
		}
	})
	previous := instance.observation.Instance
	if cameBack(previous, announced, now-instance.observation.LastAnnouncement) {
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

// cameBack reports whether a known instance is to be treated as a new one: after a
// restart, a change of role, a long silence, or when it doesn't leave after all.
func cameBack(previous, announced model.Instance, silence time.Duration) bool {
	if previous.Name == "" {
		return false
	}
	changed := previous.Role != announced.Role || previous.Incarnation != announced.Incarnation
	stays := previous.Leaving && !announced.Leaving
	return changed || stays || silence > silenceBeforeReset
}

func (m *Machine) markLeaving(instance *instanceState, now time.Duration) {
	if !instance.leaving() {
		instance.leavingSince = now
		m.closeIdleConns(instance)
	}
}

// WatchTarget returns the address at which to ask an instance for its status next,
// and its last known position. If active is false the watch has ended.
func (m *Machine) WatchTarget(name string, now time.Duration) (address string, after model.Position, active bool) {
	instance := m.instances.Get(name)
	if now-instance.observation.LastAnnouncement > watchTimeout {
		instance.watched = false
		return "", model.Position{}, false
	}
	return instance.observation.Instance.Address, instance.observation.Position, true
}

// InstanceStatusReceived takes an instance's status; sent is when the request for
// it was sent.
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

// connectionShare is the number of connections that this node may have to an
// instance: an equal share for each proxy, with one share left for a proxy that
// replaces another.
func (m *Machine) connectionShare(instance *instanceState) int {
	return max(instance.observation.Instance.Connections/(m.peers.Max+1), 1)
}

func (m *Machine) retuneWindow(instance *instanceState) {
	instance.window.Retune(m.windowParameters.Beta, float64(m.connectionShare(instance)))
}
