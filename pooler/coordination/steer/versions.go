package steer

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"tansyseam.example/pooler/state/table"
	"tansyseam.example/pooler/state/view"
)

// VersionsKept is for how many manifests, at least, it is known what was taken under
// their versions.
const VersionsKept = 1024

const versionsPerRecord = 64

// Digest names a manifest's content.
type Digest [16]byte

// DigestOf gives the digest of a manifest: of its bytes as they were sent, or where
// those are not known of what it says.
func DigestOf(set view.Set, raw []byte) Digest {
	if len(raw) == 0 {
		raw = table.Encode(view.Set{Bindings: set.Bindings, Databases: set.Databases, Limits: set.Limits})
	}
	sum := sha256.Sum256(raw)
	return Digest(sum[:16])
}

// takenVersion is one manifest that was taken.
type takenVersion struct {
	Version uint64
	Digest  Digest
}

func versionsKey(block uint64) string { return fmt.Sprintf("%s%012d", view.KeyVersions, block) }

// noteVersion gives the puts that note what was taken under a version, and strike
// what is long past.
func noteVersion(held *table.Table, sequence uint64, one takenVersion) []table.Put {
	key := versionsKey(sequence / versionsPerRecord)
	list, _ := table.Get[[]takenVersion](held, key)
	puts := []table.Put{{Key: key, Data: table.Encode(append(slices.Clone(list), one))}}
	keys := held.Keys(view.KeyVersions)
	const kept = VersionsKept/versionsPerRecord + 1
	for at, old := range keys {
		if at+kept < len(keys) || (at+kept == len(keys) && len(list) == 0) {
			puts = append(puts, table.Put{Key: old, IsGone: true})
		}
	}
	return puts
}

// isOther says whether another content than this one was taken under a version.
func isOther(held *table.Table, version uint64, digest Digest) bool {
	for _, key := range slices.Backward(held.Keys(view.KeyVersions)) {
		list, _ := table.Get[[]takenVersion](held, key)
		for _, one := range list {
			if one.Version == version {
				return one.Digest != digest
			}
		}
	}
	return false
}
