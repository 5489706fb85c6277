package rollout

import (
	"maps"
	"slices"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// supersede returns the pending sets that a new set replaces before they take effect, and
// the new set with the acceptance time of the first change that it carries. The deadlines
// of those changes thereby hold for the new set.
//
// The oldest pending set is never replaced. Otherwise changes that arrive faster than they
// can be distributed would keep any set from taking effect. A set is replaced only by one
// that may take effect at the same time, so that a scheduled change keeps its time. The
// number of stored sets thus does not depend on how many changes are made.
func supersede(sets []model.BindingSet, next model.BindingSet) (model.BindingSet, []model.BindingSet) {
	var superseded []model.BindingSet
	hasOldest := false
	for _, set := range sets {
		if set.EffectiveAt != 0 {
			continue
		}
		if hasOldest && set.NotBefore == next.NotBefore {
			superseded = append(superseded, set)
			next.AcceptedAt = min(next.AcceptedAt, set.AcceptedAt)
		}
		hasOldest = true
	}
	return next, superseded
}

// dropSimultaneous returns the sets without those whose successor takes effect at the same
// time, which would never be in effect, and the sets that it dropped. The deadlines of the
// dropped sets hold for their successors. A successor that was scheduled for another time
// has later deadlines, so the set before it is kept. The argument is sorted by sequence.
func dropSimultaneous(sets []model.BindingSet) (kept, dropped []model.BindingSet) {
	for index, set := range sets {
		isLast := index+1 == len(sets)
		if !isLast && sets[index+1].EffectiveAt == set.EffectiveAt && sets[index+1].NotBefore == set.NotBefore {
			sets[index+1].AcceptedAt = min(sets[index+1].AcceptedAt, set.AcceptedAt)
			dropped = append(dropped, set)
			continue
		}
		kept = append(kept, set)
	}
	return kept, dropped
}

// acceptPuts returns the puts that store a new set and delete the sets that it supersedes.
// The argument text is the compressed text of the set's manifest, or empty if there is
// none.
func acceptPuts(state *store.Table, sets []model.BindingSet, next model.BindingSet, text []byte) []store.Put {
	next, superseded := supersede(sets, next)
	puts := []store.Put{setPut(next)}
	texts := state.Keys(model.PrefixManifest)
	if len(text) > 0 {
		key := ManifestKey(next.Sequence)
		puts = append(puts, store.Put{Key: key, Data: text})
		texts = append(texts, key)
	}
	return append(puts, deletePuts(sets, superseded, texts)...)
}

// deletePuts returns the puts that delete some of the stored sets, and the texts of
// manifests whose sets are then not stored. The argument texts holds the keys of all texts
// in order. The newest text is always kept.
func deletePuts(stored, deleted []model.BindingSet, texts []string) []store.Put {
	orphaned := map[string]bool{}
	for _, key := range texts[:max(len(texts)-1, 0)] {
		orphaned[key] = true
	}
	for _, set := range stored {
		delete(orphaned, ManifestKey(set.Sequence))
	}
	var puts []store.Put
	for _, set := range deleted {
		puts = append(puts, store.Put{Key: model.BindingSetKey(set.Sequence), Deleted: true})
		if key := ManifestKey(set.Sequence); slices.Contains(texts, key) && key != texts[len(texts)-1] {
			orphaned[key] = true
		}
	}
	for _, key := range slices.Sorted(maps.Keys(orphaned)) {
		puts = append(puts, store.Put{Key: key, Deleted: true})
	}
	return puts
}
