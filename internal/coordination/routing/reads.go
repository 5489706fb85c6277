package routing

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

const (
	// FreshnessMargin is subtracted from the freshness bound of a binding. It is also
	// the smallest bound: a smaller one counts as FreshnessMargin.
	FreshnessMargin = 60 * time.Millisecond
	// maxAnnouncementAge is the maximum age of a replica's last announcement with which
	// the replica may answer reads.
	maxAnnouncementAge = 3 * time.Second
)

// FreshUntil returns the latest time for which a replica is known to have every commit
// that was confirmed before that time. This is the time of the last sample of the
// primary whose position the replica has reached. While the term is closed, no commit is
// confirmed, so a candidate that has every commit confirmed before is fresh until now.
func (m *Machine) FreshUntil(name string, now time.Duration) time.Duration {
	observation := m.Observation(name)
	database := observation.Instance.Database
	if isCompleteCandidate(m.snapshot.Writers[database], observation) {
		return now
	}
	for _, sample := range slices.Backward(m.samples[database]) {
		if !observation.Position.IsBefore(sample.position) {
			return sample.queriedAt
		}
	}
	return neverObserved
}

// isCompleteCandidate reports whether the term is closed and an instance is a candidate
// that has every commit confirmed so far.
func isCompleteCandidate(role model.WriterRole, observation *Observation) bool {
	if role.Phase != model.PhaseClosed && role.Phase != model.PhasePromoting {
		return false
	}
	incarnation, found := role.Candidates[observation.Instance.Name]
	isCandidate := found && incarnation == observation.Instance.Incarnation
	return isCandidate && !observation.Position.IsBefore(role.HighWatermark)
}

// MayRead reports whether an instance may answer a read that was received at receivedAt.
// The primary of an open term always may. A replica may if it has every commit that was
// confirmed by the time receivedAt-bound, and has reached minPosition, the position of
// the client's own writes. With a bound of 0 no replica may.
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
