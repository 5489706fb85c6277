// Package callresult makes operators' calls idempotent: the result of each call is
// kept in the control state under the call's id, so that a repeated call gets the
// same answer and changes nothing.
//
// The caller looks an id up with Find, and answers with the result found. Otherwise it
// decides the call and writes the puts that Record returns, so that the call's effect
// and its result are stored by one write or not at all.
package callresult

import (
	"cmp"
	"slices"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// MaxResults is how many results are kept beside the newest.
const MaxResults = 1000

// Result is the answer that a call got. It is stored by the names of its fields,
// which must therefore not change.
type Result struct {
	// Status is the HTTP status, and Body the answer's body.
	Status int
	Body   []byte
	// Order is the sequence of the control state that the call was decided on.
	Order uint64
	// Path is the path that was called.
	Path string
}

// Find returns the result of an earlier call with the same id.
func Find(state *store.Table, id string) (Result, bool) {
	return store.GetPlain[Result](state, model.PrefixCallResult+id)
}

// Record adds to the puts that a call makes those that keep its result and delete
// the oldest results beyond MaxResults.
func Record(state *store.Table, id string, result Result, puts []store.Put) []store.Put {
	result.Order = state.Version.Sequence
	puts = append(puts, deleteOldest(state)...)
	return append(puts, store.Put{Key: model.PrefixCallResult + id, Data: store.EncodePlain(result)})
}

// deleteOldest returns the puts that delete the results beyond MaxResults. Keys are
// sorted by the calls' ids, so the results themselves have to tell their order.
func deleteOldest(state *store.Table) []store.Put {
	keys := state.Keys(model.PrefixCallResult)
	if len(keys) <= MaxResults {
		return nil
	}
	orders := make(map[string]uint64, len(keys))
	for _, key := range keys {
		result, _ := store.GetPlain[Result](state, key)
		orders[key] = result.Order
	}
	slices.SortStableFunc(keys, func(a, b string) int { return cmp.Compare(orders[a], orders[b]) })
	var puts []store.Put
	for _, key := range keys[:len(keys)-MaxResults] {
		puts = append(puts, store.Put{Key: key, Deleted: true})
	}
	return puts
}
