package distribution

import (
	"fmt"
	"slices"
	"time"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// Outcome is the answer of a call, kept so that a repeat gets the same.
type CallResult struct {
	Status int
	Body   []byte
	Order  uint64
	Path   string
}

// CallsKept is how many answers are kept.
const MaxCallResults = 1000

// Past gives the answer that a call's id got before.
func FindCallResult(state *store.Table, id string) (CallResult, bool) {
	return store.GetPlain[CallResult](state, model.PrefixCallResult+id)
}

// Keep adds a call's answer to the puts of what it tells.
func RecordCallResult(state *store.Table, id string, outcome CallResult, puts []store.Put) []store.Put {
	outcome.Order = state.Version.Sequence
	puts = append(puts, expiredCallResults(state)...)
	return append(puts, store.Put{Key: model.PrefixCallResult + id, Data: store.EncodePlain(outcome)})
}

func expiredCallResults(state *store.Table) []store.Put {
	keys := state.Keys(model.PrefixCallResult)
	if len(keys) <= MaxCallResults {
		return nil
	}
	slices.SortStableFunc(keys, func(a, b string) int {
		first, _ := store.GetPlain[CallResult](state, a)
		second, _ := store.GetPlain[CallResult](state, b)
		return int(first.Order) - int(second.Order)
	})
	var puts []store.Put
	for _, key := range keys[:len(keys)-MaxCallResults] {
		puts = append(puts, store.Put{Key: key, Deleted: true})
	}
	return puts
}

// PutSet gives the puts that take a whole set in place of an expected
// sequence, and the newest sequence as it was before; none where another was
// taken since.
func BindingSetPuts(state *store.Table, expected uint64, bindings []model.Binding, source string, wall int64) ([]store.Put, uint64) {
	newest := model.ReadSnapshot(state).NewestSet()
	if newest.Sequence != expected {
		return nil, newest.Sequence
	}
	set := successor(newest, model.BindingSet{Bindings: bindings, AcceptedAt: wall, Source: source})
	puts := []store.Put{{Key: BindingSetKey(set.Sequence), Data: store.Encode(set)}}
	return append(puts, AuditPuts(state, wall, "bindings", fmt.Sprintf("sequence %d taken", set.Sequence), source)...), newest.Sequence
}

func successor(newest, set model.BindingSet) model.BindingSet {
	set.Sequence = newest.Sequence + 1
	if set.Version == 0 {
		set.Version, set.Databases, set.Limits = newest.Version, newest.Databases, newest.Limits
	}
	return set
}

// RawKey is the key of a manifest's bytes.
func ManifestKey(sequence uint64) string {
	return fmt.Sprintf("%s%012d", model.PrefixManifest, sequence)
}

// Manifest is a whole configuration that an operator sent under a version.
type Manifest struct {
	Version uint64
	Set     model.BindingSet
	// Packed holds its bytes as they were sent, packed, where they are kept.
	Compressed []byte
	Digest     Digest
	Source     string
}

// PutManifest gives the puts that take a manifest. There are none where the version
// held is not below its own: then isConflict says whether other content was taken under
// that version.
func ManifestPuts(state *store.Table, sent Manifest, wall int64) (puts []store.Put, conflict bool) {
	newest := model.ReadSnapshot(state).NewestSet()
	if newest.Version >= sent.Version {
		return nil, differsFromAccepted(state, sent.Version, sent.Digest)
	}
	set := sent.Set
	set.Version, set.AcceptedAt, set.Source = sent.Version, wall, sent.Source
	set = successor(newest, set)
	puts = []store.Put{{Key: BindingSetKey(set.Sequence), Data: store.Encode(set)}}
	if len(sent.Compressed) > 0 {
		puts = append(puts, store.Put{Key: ManifestKey(set.Sequence), Data: sent.Compressed})
	}
	puts = append(puts, versionPuts(state, set.Sequence, acceptedVersion{Version: sent.Version, Digest: sent.Digest})...)
	what := fmt.Sprintf("version %d taken as sequence %d", sent.Version, set.Sequence)
	return append(puts, AuditPuts(state, wall, "bindings", what, sent.Source)...), false
}

// Raw gives the bytes of the newest manifest as they were sent, where they
// were kept, with the set that it made.
func NewestManifest(state *store.Table) (model.BindingSet, []byte, bool) {
	var set model.BindingSet
	for _, one := range model.ReadSnapshot(state).Sets {
		if one.Version > set.Version {
			set = one
		}
	}
	raws := state.Keys(model.PrefixManifest)
	if set.Version == 0 || len(raws) == 0 {
		return set, nil, set.Version > 0
	}
	return set, state.Records[raws[len(raws)-1]].Data, true
}

// BookSet gives the puts that book a set for a moment; none, and the set in
// the way, where one of a later moment is on its way to the nodes already,
// since the sets would land out of order.
func ScheduledChangePuts(state *store.Table, id string, at int64, bindings []model.Binding, wall int64) ([]store.Put, model.BindingSet) {
	for _, set := range model.ReadSnapshot(state).Sets {
		if set.NotBefore > at && (set.EffectiveAt == 0 || set.EffectiveAt > wall) {
			return nil, set
		}
	}
	change := model.ScheduledChange{ID: id, EffectiveAt: at, Bindings: bindings, Order: state.Version.Sequence}
	puts := []store.Put{{Key: model.PrefixScheduledChange + id, Data: store.Encode(change)}}
	return append(puts, AuditPuts(state, wall, "bindings", "change booked: "+id, fmt.Sprintf("for %d", at/int64(time.Millisecond)))...), model.BindingSet{}
}
