// Package audit keeps, in the control state, the log of what the control plane
// decided: on what subject, when, and on which evidence.
package audit

import (
	"fmt"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// MaxEntries is how many entries are kept beside the newest.
const MaxEntries = 400

// Puts returns the puts that append an entry to the log and delete the entries
// beyond MaxEntries. The entry's sequence is assigned here.
func Puts(state *store.Table, entry model.AuditEntry) []store.Put {
	keys := state.Keys(model.PrefixAuditEntry)
	entry.Sequence = nextSequence(state, keys)
	puts := []store.Put{{
		Key:  fmt.Sprintf("%s%012d", model.PrefixAuditEntry, entry.Sequence),
		Data: store.Encode(entry),
	}}
	for index := 0; index+MaxEntries < len(keys); index++ {
		puts = append(puts, store.Put{Key: keys[index], Deleted: true})
	}
	return puts
}

func nextSequence(state *store.Table, keys []string) uint64 {
	if len(keys) == 0 {
		return 1
	}
	newest, found := store.Get(state, keys[len(keys)-1], model.AuditEntryFrom)
	if !found {
		return 1
	}
	return newest.Sequence + 1
}
