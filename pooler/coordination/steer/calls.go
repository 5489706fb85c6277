package steer

import (
	"fmt"
	"slices"
	"time"

	"tansyseam.example/pooler/state/table"
	"tansyseam.example/pooler/state/view"
)

// Outcome is the answer of a call, kept so that a repeat gets the same.
type Outcome struct {
	Status int
	Body   []byte
	Order  uint64
	Path   string
}

// CallsKept is how many answers are kept.
const CallsKept = 1000

// Past gives the answer that a call's id got before.
func Past(held *table.Table, id string) (Outcome, bool) {
	return table.Get[Outcome](held, view.KeyCall+id)
}

// Keep adds a call's answer to the puts of what it tells.
func Keep(held *table.Table, id string, outcome Outcome, puts []table.Put) []table.Put {
	outcome.Order = held.Stamp.Sequence
	puts = append(puts, prunes(held)...)
	return append(puts, table.Put{Key: view.KeyCall + id, Data: table.Encode(outcome)})
}

func prunes(held *table.Table) []table.Put {
	keys := held.Keys(view.KeyCall)
	if len(keys) <= CallsKept {
		return nil
	}
	slices.SortStableFunc(keys, func(a, b string) int {
		first, _ := table.Get[Outcome](held, a)
		second, _ := table.Get[Outcome](held, b)
		return int(first.Order) - int(second.Order)
	})
	var puts []table.Put
	for _, key := range keys[:len(keys)-CallsKept] {
		puts = append(puts, table.Put{Key: key, IsGone: true})
	}
	return puts
}

// PutSet gives the puts that take a whole set in place of an expected
// sequence, and the newest sequence as it was before; none where another was
// taken since.
func PutSet(held *table.Table, expected uint64, bindings []view.Binding, source string, wall int64) ([]table.Put, uint64) {
	newest := view.DocOf(held).Newest()
	if newest.Sequence != expected {
		return nil, newest.Sequence
	}
	set := view.Set{Sequence: newest.Sequence + 1, Bindings: bindings, Taken: wall, Source: source}
	puts := []table.Put{{Key: SetKey(set.Sequence), Data: table.Encode(set)}}
	return append(puts, EntryPuts(held, wall, "bindings", fmt.Sprintf("sequence %d taken", set.Sequence), source)...), newest.Sequence
}

// BookSet gives the puts that book a set for a moment; none, and the set in
// the way, where one of a later moment is on its way to the nodes already,
// since the sets would land out of order.
func BookSet(held *table.Table, id string, at int64, bindings []view.Binding, wall int64) ([]table.Put, view.Set) {
	for _, set := range view.DocOf(held).Sets {
		if set.Due > at && (set.Moment == 0 || set.Moment > wall) {
			return nil, set
		}
	}
	booking := view.Booking{ID: id, At: at, Bindings: bindings, Order: held.Stamp.Sequence}
	puts := []table.Put{{Key: view.KeyBook + id, Data: table.Encode(booking)}}
	return append(puts, EntryPuts(held, wall, "bindings", "change booked: "+id, fmt.Sprintf("for %d", at/int64(time.Millisecond)))...), view.Set{}
}
