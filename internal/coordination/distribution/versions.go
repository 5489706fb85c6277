package distribution

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// VersionsKept is for how many manifests, at least, it is known what was taken under
// their versions.
const MinRetainedVersions = 1024

const versionsPerRecord = 64

// Digest names a manifest's content.
type Digest [16]byte

// DigestOf gives the digest of a manifest: of its bytes as they were sent, or where
// those are not known of what it says.
func DigestOf(set model.BindingSet, raw []byte) Digest {
	if len(raw) == 0 {
		raw = store.Encode(model.BindingSet{Bindings: set.Bindings, Databases: set.Databases, Limits: set.Limits})
	}
	sum := sha256.Sum256(raw)
	return Digest(sum[:16])
}

// takenVersion is one manifest that was taken.
type acceptedVersion struct {
	Version uint64
	Digest  Digest
}

func versionsKey(block uint64) string {
	return fmt.Sprintf("%s%012d", model.PrefixManifestVersions, block)
}

// noteVersion gives the puts that note what was taken under a version, and strike
// what is long past.
func versionPuts(state *store.Table, sequence uint64, one acceptedVersion) []store.Put {
	key := versionsKey(sequence / versionsPerRecord)
	list, _ := store.GetPlain[[]acceptedVersion](state, key)
	puts := []store.Put{{Key: key, Data: store.EncodePlain(append(slices.Clone(list), one))}}
	keys := state.Keys(model.PrefixManifestVersions)
	const kept = MinRetainedVersions/versionsPerRecord + 1
	for at, old := range keys {
		if at+kept < len(keys) || (at+kept == len(keys) && len(list) == 0) {
			puts = append(puts, store.Put{Key: old, Deleted: true})
		}
	}
	return puts
}

// isOther says whether another content than this one was taken under a version.
func differsFromAccepted(state *store.Table, version uint64, digest Digest) bool {
	for _, key := range slices.Backward(state.Keys(model.PrefixManifestVersions)) {
		list, _ := store.GetPlain[[]acceptedVersion](state, key)
		for _, one := range list {
			if one.Version == version {
				return one.Digest != digest
			}
		}
	}
	return false
}
