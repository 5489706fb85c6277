// Package rendezvous names, by highest random weight, the few others that
// each node knows and watches.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

func score(name, key string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(key))
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	return mixed ^ mixed>>33
}

// Select gives the count names that score highest for a key, the key itself
// left out.
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

// IsAmong says whether a name is one of the count that Select gives, without
// ranking all: it looks only until enough others are found that score higher.
func IsSelected(names []string, key, name string, count int) bool {
	own, higher := score(name, key), 0
	for _, other := range names {
		if other == key || other == name {
			continue
		}
		if theirs := score(other, key); theirs > own || (theirs == own && other < name) {
			if higher++; higher >= count {
				return false
			}
		}
	}
	return name != key
}
