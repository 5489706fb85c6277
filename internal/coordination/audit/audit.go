// Package audit keeps the audit log of the control plane in the control state. Each
// entry records one decision with its subject, its time and its evidence.
package audit

import (
	"fmt"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// MaxEntries is the number of entries that are kept in addition to the newest one.
const MaxEntries = 400

// Puts returns the puts that append an entry to the log and delete the oldest entries
// beyond MaxEntries. It assigns the entry's sequence.
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
