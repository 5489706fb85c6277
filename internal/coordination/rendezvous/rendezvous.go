// Package rendezvous assigns names to keys by rendezvous hashing (highest random
// weight). Callers with the same list of names compute the same assignment, and
// the removal of a name changes only the assignments to that name.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Parameters of the 64-bit finalizer of MurmurHash3.
const (
	mixFactor1 = 0xff51afd7ed558ccd
	mixFactor2 = 0xc4ceb9fe1a85ec53
	mixShift   = 33
)

// score returns the weight of a name for a key: an FNV-1a hash, mixed so that the
// scores of similar names are spread evenly.
func score(name, key string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(key))
	mixed := hash.Sum64()
	mixed ^= mixed >> mixShift
	mixed *= mixFactor1
	mixed ^= mixed >> mixShift
	mixed *= mixFactor2
	return mixed ^ mixed>>mixShift
}

// Select returns the count names with the highest score for a key, in descending
// order of score. It omits the name that equals the key. It returns fewer names if
// there are fewer than count.
func Select(names []string, key string, count int) []string {
	ranked := make([]string, 0, len(names))
	for _, name := range names {
		if name != key {
			ranked = append(ranked, name)
		}
	}
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(b, key), score(a, key)), cmp.Compare(a, b))
	})
	return ranked[:min(count, len(ranked))]
}

// IsSelected reports whether Select returns the name, which must be one of names, for
// a key and a count of at least 1. It does not sort the names, and stops once it has
// found count other names with a higher score.
func IsSelected(names []string, key, name string, count int) bool {
	ownScore, higher := score(name, key), 0
	for _, other := range names {
		if other == key || other == name {
			continue
		}
		otherScore := score(other, key)
		if otherScore < ownScore || (otherScore == ownScore && other > name) {
			continue
		}
		higher++
		if higher >= count {
			return false
		}
	}
	return name != key
}
