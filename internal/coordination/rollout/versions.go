package rollout

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// MinRetainedVersions is the minimum number of the newest sequences for which the versions
// and digests of accepted manifests stay stored. If no other sets are accepted between the
// manifests, it is also the minimum number of such manifests.
const MinRetainedVersions = 1024

// Many accepted versions are stored in one record, so that few keys are needed.
const (
	versionsPerRecord  = 64
	maxVersionsRecords = MinRetainedVersions/versionsPerRecord + 1
)

const digestLength = 16

// Digest identifies the content of a manifest.
type Digest [digestLength]byte

// DigestOf returns the digest of a manifest. The digest covers the text as it was sent or,
// if text is empty, the content of the binding set.
func DigestOf(set model.BindingSet, text []byte) Digest {
	if len(text) == 0 {
		text = store.Encode(model.BindingSet{Bindings: set.Bindings, Databases: set.Databases, Limits: set.Limits})
	}
	sum := sha256.Sum256(text)
	return Digest(sum[:digestLength])
}

// acceptedVersion is a manifest version with the digest of the manifest accepted under it.
// The stored form contains the names of its fields, which must therefore not change.
type acceptedVersion struct {
	Version uint64
	Digest  Digest
}

func versionsKey(recordNumber uint64) string {
	return fmt.Sprintf("%s%012d", model.PrefixManifestVersions, recordNumber)
}

// versionPuts returns the puts that store an accepted version and delete the oldest
// records. The sequence of the manifest's binding set selects the record.
func versionPuts(state *store.Table, sequence uint64, accepted acceptedVersion) []store.Put {
	key := versionsKey(sequence / versionsPerRecord)
	versions, _ := store.GetPlain[[]acceptedVersion](state, key)
	puts := []store.Put{{Key: key, Data: store.EncodePlain(append(slices.Clone(versions), accepted))}}
	keys := state.Keys(model.PrefixManifestVersions)
	records := len(keys)
	if len(versions) == 0 {
		records++
	}
	for index := 0; index+maxVersionsRecords < records; index++ {
		puts = append(puts, store.Put{Key: keys[index], Deleted: true})
	}
	return puts
}

// differsFromAccepted reports whether a manifest with another digest is stored as accepted
// under a version.
func differsFromAccepted(state *store.Table, version uint64, digest Digest) bool {
	for _, key := range slices.Backward(state.Keys(model.PrefixManifestVersions)) {
		versions, _ := store.GetPlain[[]acceptedVersion](state, key)
		for _, accepted := range versions {
			if accepted.Version == version {
				return accepted.Digest != digest
			}
		}
	}
	return false
}
