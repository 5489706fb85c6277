// Package schedule orders changes of the bindings in time: each scheduled change is
// accepted once, and sets take effect in the order of their sequences, none before its
// time.
package schedule

import (
	"cmp"
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

// LeadTime is how long before its effective time a scheduled change is accepted, so
// that it is distributed to all nodes in time.
const LeadTime = 1800 * time.Millisecond

// NextDue returns the scheduled change that is to be accepted now, if one is due. Order
// is by effective time, then by the order in which changes were scheduled; a change
// whose time has passed is due at once. The time wallNanos is a Unix time
// in nanoseconds.
func NextDue(changes []model.ScheduledChange, wallNanos int64) (model.ScheduledChange, bool) {
	if len(changes) == 0 {
		return model.ScheduledChange{}, false
	}
	first := slices.MinFunc(changes, func(a, b model.ScheduledChange) int {
		return cmp.Or(cmp.Compare(a.EffectiveAt, b.EffectiveAt), cmp.Compare(a.Order, b.Order))
	})
	return first, first.EffectiveAt-int64(LeadTime) <= wallNanos
}

// AssignEffectiveTimes returns the pending sets with the effective time that each gets:
// not before earliest, which is after the last lease that may lack the set, not before
// its own NotBefore, and not before that of a set with a lower sequence. Sets are given
// by sequence; times are Unix times in nanoseconds.
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
