package rollout

import (
	"fmt"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// Manifest is a complete configuration that an operator sent under a version.
type Manifest struct {
	Version uint64
	Set     model.BindingSet
	// Compressed is the compressed text of the manifest as it was sent, or empty if the
	// text is not kept.
	Compressed []byte
	// Digest identifies the content, see DigestOf.
	Digest Digest
	// Source is stored as the source of the binding set, and is the evidence in the audit
	// entry.
	Source string
}

// ManifestKey returns the key under which the text of the manifest accepted as a sequence
// is stored.
func ManifestKey(sequence uint64) string {
	return fmt.Sprintf("%s%012d", model.PrefixManifest, sequence)
}

// AcceptManifest returns the puts that accept a manifest. It returns no puts if the
// manifest's version is not above the newest accepted version, and ErrVersionConflict if
// the manifest's version was already accepted with other content.
func AcceptManifest(state *store.Table, manifest Manifest, wallNanos int64) ([]store.Put, error) {
	snapshot := model.ReadSnapshot(state)
	newest := snapshot.NewestSet()
	if newest.Version >= manifest.Version {
		if differsFromAccepted(state, manifest.Version, manifest.Digest) {
			return nil, ErrVersionConflict
		}
		return nil, nil
	}
	set := manifest.Set
	set.Version, set.AcceptedAt, set.Source = manifest.Version, wallNanos, manifest.Source
	set = successor(newest, set)
	puts := acceptPuts(state, snapshot.Sets, set, manifest.Compressed)
	puts = append(puts, versionPuts(state, set.Sequence, acceptedVersion{Version: manifest.Version, Digest: manifest.Digest})...)
	action := fmt.Sprintf("version %d accepted as sequence %d", manifest.Version, set.Sequence)
	return append(puts, auditPuts(state, wallNanos, action, manifest.Source)...), nil
}

// NewestManifest returns the binding set of the newest manifest and the compressed text
// of the manifest, which is nil if the text was not kept. It returns false if there is no
// manifest.
func NewestManifest(state *store.Table) (model.BindingSet, []byte, bool) {
	var newest model.BindingSet
	for _, set := range model.ReadSnapshot(state).Sets {
		if set.Version > newest.Version {
			newest = set
		}
	}
	keys := state.Keys(model.PrefixManifest)
	if newest.Version == 0 || len(keys) == 0 {
		return newest, nil, newest.Version > 0
	}
	return newest, state.Records[keys[len(keys)-1]].Data, true
}
