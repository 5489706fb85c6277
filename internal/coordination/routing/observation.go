package routing

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

const (
	// neverObserved stands for the time of an observation that was never made.
	neverObserved = -time.Hour
	// maxSamples bounds the samples of one primary; beyond it the oldest
	// discardedSamples are deleted.
	maxSamples       = 512
	discardedSamples = 128
)

// Observation is what the node itself observed of an instance. Times of observations
// that were never made are neverObserved.
type Observation struct {
	Instance model.Instance
	// Position is the furthest known, unless the instance is known to have gone back.
	Position         model.Position
	LastAnnouncement time.Duration
	LastResponse     time.Duration
	// LastPositionQuery is when the query was sent that returned the position last.
	LastPositionQuery time.Duration
	positionChangedAt time.Duration
}

// primarySample is a position that the primary had at or after a time.
type primarySample struct {
	queriedAt time.Duration
	position  model.Position
}

func (o *Observation) advance(position model.Position, now time.Duration) {
	if o.Position.IsBefore(position) {
		o.Position, o.positionChangedAt = position, now
	}
}

// Observation returns what is known of an instance; it is created if there is none.
func (m *Machine) Observation(name string) *Observation {
	observation, found := m.observations[name]
	if !found {
		observation = &Observation{LastAnnouncement: neverObserved, LastResponse: neverObserved, LastPositionQuery: neverObserved}
		m.observations[name] = observation
	}
	return observation
}

// HandleAnnouncement handles an instance's announcement. It may have been delayed, so
// it takes no position back, unless the instance has restarted without its data.
func (m *Machine) HandleAnnouncement(instance model.Instance, now time.Duration) {
	observation := m.Observation(instance.Name)
	if observation.Instance.Incarnation != instance.Incarnation {
		observation.Position, observation.positionChangedAt = instance.Position, now
	}
	observation.advance(instance.Position, now)
	instance.Position = observation.Position
	observation.Instance, observation.LastAnnouncement = instance, now
}

// HandlePosition handles an instance's answer to a query for its position; sentAt is
// when the query was sent. It returns true if the instance's role or term has changed,
// or whether it is leaving. An instance that answers a position behind the one known
// when the query was sent has gone back.
func (m *Machine) HandlePosition(name string, answer model.Instance, sentAt, now time.Duration) bool {
	observation := m.Observation(name)
	observation.LastResponse = now
	known := &observation.Instance
	if answer.Incarnation != known.Incarnation {
		return false
	}
	observation.LastPositionQuery = max(observation.LastPositionQuery, sentAt)
	changed := known.Role != answer.Role || known.Term != answer.Term || known.Leaving != answer.Leaving
	if observation.positionChangedAt < sentAt && answer.Position.IsBefore(observation.Position) {
		observation.Position = answer.Position
	}
	observation.advance(answer.Position, now)
	known.Role, known.Term, known.Leaving = answer.Role, answer.Term, answer.Leaving
	known.Position = observation.Position
	if m.isWritablePrimary(name, known.Database, answer) && m.lease.IsValid(now) {
		m.addSample(known.Database, primarySample{queriedAt: sentAt, position: answer.Position})
	}
	return changed
}

// isWritablePrimary says whether an instance is the primary of an open term. All that
// was confirmed before the query then lies at or before the position that it answered.
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
