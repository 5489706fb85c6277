package routing

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

const (
	// neverObserved is the time of an observation that was never made.
	neverObserved = -time.Hour
	// maxSamples is the maximum number of samples of one database. If it is exceeded,
	// the oldest discardedSamples are deleted.
	maxSamples       = 512
	discardedSamples = 128
)

// Observation is the node's own view of an instance. Times of observations that were
// never made are neverObserved.
type Observation struct {
	Instance model.Instance
	// Position is the furthest known position, unless the instance has since gone back
	// to an earlier one.
	Position         model.Position
	LastAnnouncement time.Duration
	LastResponse     time.Duration
	// LastPositionQuery is the time at which the latest answered position query was
	// sent.
	LastPositionQuery time.Duration
	positionChangedAt time.Duration
}

// primarySample is a position that the primary had at or after the time queriedAt.
type primarySample struct {
	queriedAt time.Duration
	position  model.Position
}

func (o *Observation) advance(position model.Position, now time.Duration) {
	if o.Position.IsBefore(position) {
		o.Position, o.positionChangedAt = position, now
	}
}

// Observation returns the observation of an instance. If there is none, it creates an
// empty one.
func (m *Machine) Observation(name string) *Observation {
	observation, found := m.observations[name]
	if !found {
		observation = &Observation{LastAnnouncement: neverObserved, LastResponse: neverObserved, LastPositionQuery: neverObserved}
		m.observations[name] = observation
	}
	return observation
}

// HandleAnnouncement handles an instance's announcement. The announcement may have been
// delayed, so the known position never goes back, unless the instance has restarted
// without its data.
func (m *Machine) HandleAnnouncement(instance model.Instance, now time.Duration) {
	observation := m.Observation(instance.Name)
	if observation.Instance.Incarnation != instance.Incarnation {
		observation.Position, observation.positionChangedAt = instance.Position, now
	}
	observation.advance(instance.Position, now)
	instance.Position = observation.Position
	observation.Instance, observation.LastAnnouncement = instance, now
}

// HandlePosition handles an instance's answer to a query for its position that was sent
// at sentAt. It returns true if the instance's role, term or leaving state has changed.
// If the answered position is behind the position that was known when the query was
// sent, the instance has gone back, and the answered position is adopted.
func (m *Machine) HandlePosition(name string, answer model.Instance, sentAt, now time.Duration) bool {
	observation := m.Observation(name)
	observation.LastResponse = now
	instance := &observation.Instance
	if answer.Incarnation != instance.Incarnation {
		return false
	}
	observation.LastPositionQuery = max(observation.LastPositionQuery, sentAt)
	changed := instance.Role != answer.Role || instance.Term != answer.Term || instance.Leaving != answer.Leaving
	if observation.positionChangedAt < sentAt && answer.Position.IsBefore(observation.Position) {
		observation.Position = answer.Position
	}
	observation.advance(answer.Position, now)
	instance.Role, instance.Term, instance.Leaving = answer.Role, answer.Term, answer.Leaving
	instance.Position = observation.Position
	if m.isWritablePrimary(name, instance.Database, answer) && m.lease.IsValid(now) {
		m.addSample(instance.Database, primarySample{queriedAt: sentAt, position: answer.Position})
	}
	return changed
}

// isWritablePrimary reports whether an instance is the primary of an open term. All
// commits confirmed before the query are then at or before the answered position.
func (m *Machine) isWritablePrimary(name, database string, answer model.Instance) bool {
	role := m.snapshot.Writers[database]
	return role.Primary == name && role.Phase == model.PhaseOpen && role.Term == answer.Term &&
		role.PrimaryIncarnation == answer.Incarnation && answer.Role == model.RolePrimary
}

func (m *Machine) addSample(database string, sample primarySample) {
	samples := append(m.samples[database], sample)
	if len(samples) > maxSamples {
		samples = slices.Delete(samples, 0, discardedSamples)
	}
	m.samples[database] = samples
}
