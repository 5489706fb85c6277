// Package callresult makes operators' calls idempotent: the result of each call is
// kept in the control state under the call's id, so that a repeated call gets the
// same answer and changes nothing.
//
// The caller looks up an id with Find and, if there is a result, returns it as the answer.
// Otherwise the caller decides the call and writes the puts that Record returns, so that
// the call's effect and its result are stored by one write or not at all.
package callresult

import (
	"cmp"
	"slices"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// MaxResults is the number of results that are kept in addition to the newest one.
const MaxResults = 1000

// Result is the answer to a call. The stored form contains the names of its fields, which
// must therefore not change.
type Result struct {
	// Status is the HTTP status of the answer, and Body is its body.
	Status int
	Body   []byte
	// Order is the sequence of the control state on which the call was decided.
	Order uint64
	// Path is the path that was called.
	Path string
}

// Find returns the result of an earlier call with the same id.
func Find(state *store.Table, id string) (Result, bool) {
	return store.GetPlain[Result](state, model.PrefixCallResult+id)
}

// Record returns the puts of a call, extended by the puts that store the call's result
// and delete the oldest results beyond MaxResults.
func Record(state *store.Table, id string, result Result, puts []store.Put) []store.Put {
	result.Order = state.Version.Sequence
	puts = append(puts, deleteOldest(state)...)
	return append(puts, store.Put{Key: model.PrefixCallResult + id, Data: store.EncodePlain(result)})
}

// deleteOldest returns the puts that delete the oldest results beyond MaxResults. The keys
// are sorted by call id, so the age of a result is taken from its Order field.
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
