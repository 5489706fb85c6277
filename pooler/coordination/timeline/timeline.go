// Package timeline lands timed changes: exactly once, in order, none early.
package timeline

import (
	"cmp"
	"slices"
	"time"

	"tansyseam.example/pooler/state/view"
)

// Lead is how long before its moment a booked set is carried to the nodes.
const Lead = 1800 * time.Millisecond

// Next gives the booking to be taken now, if one is near enough. A booking
// whose moment has passed is taken at once; order is by moment, then by the
// order of booking.
func Next(bookings []view.Booking, wall int64) (view.Booking, bool) {
	if len(bookings) == 0 {
		return view.Booking{}, false
	}
	first := slices.MinFunc(bookings, func(a, b view.Booking) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Order, b.Order))
	})
	return first, first.At-int64(Lead) <= wall
}

// Moment picks the common moment of the pending sets: after the last lease
// that may lack the news, and none before its own due time. A set never
// comes before one of lower sequence.
func Moment(sets []view.Set, earliest int64) []view.Set {
	var moved []view.Set
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
