package distribution

import (
	"maps"

	"tansyseam/internal/state/model"
)

// setCache keeps what is derived from the stored binding sets and needed for the updates of
// many nodes: the digests of the sets, and the differences between two of them. The
// bindings of a set never change, so a result is valid for as long as the sets are stored.
type setCache struct {
	digests map[uint64]uint64
	changes map[setPair]cachedChange
}

// setPair identifies the difference of a set from a base by their sequences.
type setPair struct {
	base, set uint64
}

// cachedChange is the result of BindingSet.ChangeFrom.
type cachedChange struct {
	change model.SetChange
	ok     bool
}

func newSetCache() setCache {
	return setCache{digests: map[uint64]uint64{}, changes: map[setPair]cachedChange{}}
}

// retain drops the results for sets that are no longer stored.
func (c setCache) retain(sets []model.BindingSet) {
	stored := make(map[uint64]bool, len(sets))
	for _, set := range sets {
		stored[set.Sequence] = true
	}
	maps.DeleteFunc(c.digests, func(sequence, _ uint64) bool { return !stored[sequence] })
	maps.DeleteFunc(c.changes, func(pair setPair, _ cachedChange) bool { return !stored[pair.base] || !stored[pair.set] })
}

// held returns the stored sets that a node has with the same content.
func (c setCache) held(stored []model.BindingSet, claimed []model.HeldSet) []model.BindingSet {
	digests := make(map[uint64]uint64, len(claimed))
	for _, set := range claimed {
		digests[set.Sequence] = set.Digest
	}
	var held []model.BindingSet
	for _, set := range stored {
		if digest, found := digests[set.Sequence]; found && digest == c.digestOf(set) {
			held = append(held, set)
		}
	}
	return held
}

func (c setCache) digestOf(set model.BindingSet) uint64 {
	digest, found := c.digests[set.Sequence]
	if !found {
		digest = set.ContentDigest()
		c.digests[set.Sequence] = digest
	}
	return digest
}

// changeFrom returns the difference of a set from base, like BindingSet.ChangeFrom.
func (c setCache) changeFrom(set, base model.BindingSet) (model.SetChange, bool) {
	pair := setPair{base: base.Sequence, set: set.Sequence}
	cached, found := c.changes[pair]
	if !found {
		cached.change, cached.ok = set.ChangeFrom(base)
		c.changes[pair] = cached
	}
	change := cached.change
	databases := change.Set.Databases
	change.Set = set
	change.Set.Bindings, change.Set.Databases = nil, databases
	return change, cached.ok
}
