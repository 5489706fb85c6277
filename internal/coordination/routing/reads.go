package routing

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

const (
	// FreshnessMargin is subtracted from the freshness bound of a binding, and is the
	// smallest bound.
	FreshnessMargin = 60 * time.Millisecond
	// maxAnnouncementAge is how old the last announcement of a replica may be for it to
	// answer reads.
	maxAnnouncementAge = 3 * time.Second
)

// FreshUntil returns the latest time of which a replica is known to have everything
// that was confirmed until then: that of the last sample of the primary whose position
// the replica has reached. Nothing is confirmed while the term is closed, and a
// candidate that has everything confirmed before is then fresh.
func (m *Machine) FreshUntil(name string, now time.Duration) time.Duration {
	observation := m.Observation(name)
	database := observation.Instance.Database
	if isComplete(m.snapshot.Writers[database], observation) {
		return now
	}
	for _, sample := range slices.Backward(m.samples[database]) {
		if !observation.Position.IsBefore(sample.position) {
			return sample.queriedAt
		}
	}
	return neverObserved
}

// isComplete says whether the term is closed and a candidate has everything that was
// confirmed in it.
func isComplete(role model.WriterRole, observation *Observation) bool {
	if role.Phase != model.PhaseClosed && role.Phase != model.PhasePromoting {
		return false
	}
	incarnation, found := role.Candidates[observation.Instance.Name]
	isCandidate := found && incarnation == observation.Instance.Incarnation
	return isCandidate && !observation.Position.IsBefore(role.HighWatermark)
}

// MayRead says whether an instance may answer a read that was received at receivedAt.
// The primary of an open term always may. A replica may if it has everything that was
// confirmed until bound before the read, and minPosition, which is that of the client's
// own writes; with a bound of 0 it may not.
func (m *Machine) MayRead(name string, receivedAt, bound time.Duration, minPosition model.Position, now time.Duration) bool {
	observation := m.Observation(name)
	instance := observation.Instance
	role := m.snapshot.Writers[instance.Database]
	if name == role.Primary {
		return role.Phase == model.PhaseOpen && instance.Role == model.RolePrimary && instance.Incarnation == role.PrimaryIncarnation
	}
	if bound == 0 || instance.Role != model.RoleReplica {
		return false
	}
	if now-observation.LastAnnouncement > maxAnnouncementAge || observation.Position.IsBefore(minPosition) {
		return false
	}
	oldest := receivedAt - max(bound, FreshnessMargin) + FreshnessMargin
	return m.FreshUntil(name, now) >= oldest
}
