// Package schedule lands timed changes: exactly once, in order, none early.
package schedule

import (
	"cmp"
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

// Lead is how long before its moment a booked set is carried to the nodes.
const Lead = 1800 * time.Millisecond

// Next gives the booking to be taken now, if one is near enough. A booking
// whose moment has passed is taken at once; order is by moment, then by the
// order of booking.
func Next(bookings []model.Booking, wall int64) (model.Booking, bool) {
	if len(bookings) == 0 {
		return model.Booking{}, false
	}
	first := slices.MinFunc(bookings, func(a, b model.Booking) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Order, b.Order))
	})
	return first, first.At-int64(Lead) <= wall
}

// Moment picks the common moment of the pending sets: after the last lease
// that may lack the news, and none before its own due time. A set never
// comes before one of lower sequence.
func Moment(sets []model.Set, earliest int64) []model.Set {
	var moved []model.Set
	floor := int64(0)
	for _, set := range sets {
		if set.Moment == 0 {
			set.Moment = max(earliest, set.Due, floor)
			moved = append(moved, set)
		}
		floor = max(floor, set.Moment)
	}
	return moved
}
