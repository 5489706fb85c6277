// Package schedule lands timed changes: exactly once, in order, none early.
package schedule

import (
	"cmp"
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

// Lead is how long before its moment a booked set is carried to the nodes.
const LeadTime = 1800 * time.Millisecond

// Next gives the booking to be taken now, if one is near enough. A booking
// whose moment has passed is taken at once; order is by moment, then by the
// order of booking.
func NextDue(changes []model.ScheduledChange, wall int64) (model.ScheduledChange, bool) {
	if len(changes) == 0 {
		return model.ScheduledChange{}, false
	}
	first := slices.MinFunc(changes, func(a, b model.ScheduledChange) int {
		return cmp.Or(cmp.Compare(a.EffectiveAt, b.EffectiveAt), cmp.Compare(a.Order, b.Order))
	})
	return first, first.EffectiveAt-int64(LeadTime) <= wall
}

// Moment picks the common moment of the pending sets: after the last lease
// that may lack the news, and none before its own due time. A set never
// comes before one of lower sequence.
func AssignEffectiveTimes(sets []model.BindingSet, earliest int64) []model.BindingSet {
	var assigned []model.BindingSet
	latest := int64(0)
	for _, set := range sets {
		if set.EffectiveAt == 0 {
			set.EffectiveAt = max(earliest, set.NotBefore, latest)
			assigned = append(assigned, set)
		}
		latest = max(latest, set.EffectiveAt)
	}
	return assigned
}
