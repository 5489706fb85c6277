// Package schedule determines when changes of the bindings are accepted and take effect.
// Each scheduled change is accepted once. Binding sets take effect in the order of their
// sequences, and no set takes effect before its scheduled time.
package schedule

import (
	"cmp"
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

// LeadTime is how long before its effective time a scheduled change is accepted, so that it
// is distributed to all nodes in time.
const LeadTime = 1800 * time.Millisecond

// NextDue returns the first scheduled change, and reports whether it is due to be accepted
// now. Changes are ordered by effective time, and changes with the same effective time by
// the order in which they were scheduled. A change whose effective time has passed is due
// immediately. The current time wallNanos is a Unix time in nanoseconds.
func NextDue(changes []model.ScheduledChange, wallNanos int64) (model.ScheduledChange, bool) {
	if len(changes) == 0 {
		return model.ScheduledChange{}, false
	}
	first := slices.MinFunc(changes, func(a, b model.ScheduledChange) int {
		return cmp.Or(cmp.Compare(a.EffectiveAt, b.EffectiveAt), cmp.Compare(a.Order, b.Order))
	})
	return first, first.EffectiveAt-int64(LeadTime) <= wallNanos
}

// AssignEffectiveTimes returns the pending sets with an effective time assigned to each.
// The effective time of a set is the latest of earliest, its own NotBefore, and the
// effective times of all sets with a lower sequence. The caller chooses earliest so that
// every lease granted without these effective times has ended by then. The parameter sets
// is sorted by sequence. Times are Unix times in nanoseconds.
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
