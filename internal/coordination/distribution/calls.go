package distribution

import (
	"fmt"
	"slices"
	"time"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
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
func Past(held *store.Table, id string) (Outcome, bool) {
	return store.Get[Outcome](held, model.KeyCall+id)
}

// Keep adds a call's answer to the puts of what it tells.
func Keep(held *store.Table, id string, outcome Outcome, puts []store.Put) []store.Put {
	outcome.Order = held.Stamp.Sequence
	puts = append(puts, prunes(held)...)
	return append(puts, store.Put{Key: model.KeyCall + id, Data: store.Encode(outcome)})
}

func prunes(held *store.Table) []store.Put {
	keys := held.Keys(model.KeyCall)
	if len(keys) <= CallsKept {
		return nil
	}
	slices.SortStableFunc(keys, func(a, b string) int {
		first, _ := store.Get[Outcome](held, a)
		second, _ := store.Get[Outcome](held, b)
		return int(first.Order) - int(second.Order)
	})
	var puts []store.Put
	for _, key := range keys[:len(keys)-CallsKept] {
		puts = append(puts, store.Put{Key: key, IsGone: true})
	}
	return puts
}

// PutSet gives the puts that take a whole set in place of an expected
// sequence, and the newest sequence as it was before; none where another was
// taken since.
func PutSet(held *store.Table, expected uint64, bindings []model.Binding, source string, wall int64) ([]store.Put, uint64) {
	newest := model.DocOf(held).Newest()
	if newest.Sequence != expected {
		return nil, newest.Sequence
	}
	set := follow(newest, model.Set{Bindings: bindings, Taken: wall, Source: source})
	puts := []store.Put{{Key: SetKey(set.Sequence), Data: store.Encode(set)}}
	return append(puts, EntryPuts(held, wall, "bindings", fmt.Sprintf("sequence %d taken", set.Sequence), source)...), newest.Sequence
}

func follow(newest, set model.Set) model.Set {
	set.Sequence = newest.Sequence + 1
	if set.Version == 0 {
		set.Version, set.Databases, set.Limits = newest.Version, newest.Databases, newest.Limits
	}
	return set
}

// RawKey is the key of a manifest's bytes.
func RawKey(sequence uint64) string { return fmt.Sprintf("%s%012d", model.KeyRaw, sequence) }

// Manifest is a whole configuration that an operator sent under a version.
type Manifest struct {
	Version uint64
	Set     model.Set
	// Packed holds its bytes as they were sent, packed, where they are kept.
	Packed []byte
	Digest Digest
	Source string
}

// PutManifest gives the puts that take a manifest. There are none where the version
// held is not below its own: then isConflict says whether other content was taken under
// that version.
func PutManifest(held *store.Table, sent Manifest, wall int64) (puts []store.Put, isConflict bool) {
	newest := model.DocOf(held).Newest()
	if newest.Version >= sent.Version {
		return nil, isOther(held, sent.Version, sent.Digest)
	}
	set := sent.Set
	set.Version, set.Taken, set.Source = sent.Version, wall, sent.Source
	set = follow(newest, set)
	puts = []store.Put{{Key: SetKey(set.Sequence), Data: store.Encode(set)}}
	if len(sent.Packed) > 0 {
		puts = append(puts, store.Put{Key: RawKey(set.Sequence), Data: sent.Packed})
	}
	puts = append(puts, noteVersion(held, set.Sequence, takenVersion{Version: sent.Version, Digest: sent.Digest})...)
	what := fmt.Sprintf("version %d taken as sequence %d", sent.Version, set.Sequence)
	return append(puts, EntryPuts(held, wall, "bindings", what, sent.Source)...), false
}

// Raw gives the bytes of the newest manifest as they were sent, where they
// were kept, with the set that it made.
func Raw(held *store.Table) (model.Set, []byte, bool) {
	var set model.Set
	for _, one := range model.DocOf(held).Sets {
		if one.Version > set.Version {
			set = one
		}
	}
	raws := held.Keys(model.KeyRaw)
	if set.Version == 0 || len(raws) == 0 {
		return set, nil, set.Version > 0
	}
	return set, held.Records[raws[len(raws)-1]].Data, true
}

// BookSet gives the puts that book a set for a moment; none, and the set in
// the way, where one of a later moment is on its way to the nodes already,
// since the sets would land out of order.
func BookSet(held *store.Table, id string, at int64, bindings []model.Binding, wall int64) ([]store.Put, model.Set) {
	for _, set := range model.DocOf(held).Sets {
		if set.Due > at && (set.Moment == 0 || set.Moment > wall) {
			return nil, set
		}
	}
	booking := model.Booking{ID: id, At: at, Bindings: bindings, Order: held.Stamp.Sequence}
	puts := []store.Put{{Key: model.KeyBook + id, Data: store.Encode(booking)}}
	return append(puts, EntryPuts(held, wall, "bindings", "change booked: "+id, fmt.Sprintf("for %d", at/int64(time.Millisecond)))...), model.Set{}
}
