package rollout

import (
	"testing"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func manifestOf(version uint64, content string) Manifest {
	set := model.BindingSet{Bindings: []model.Binding{{Name: content, Database: "db"}}}
	return Manifest{Version: version, Set: set, Digest: DigestOf(set, []byte(content)), Source: "test"}
}

func TestOneContentUnderOneVersion(t *testing.T) {
	Convey("Of two contents under one version the first is accepted, and the other rejected; the first is acknowledged again", t, func() {
		state := store.New()
		put := func(manifest Manifest) (accepted, conflict bool) {
			puts, err := AcceptManifest(state, manifest, 1)
			if len(puts) > 0 {
				state.Apply(store.Version{Epoch: 1, Sequence: state.Version.Sequence + 1}, puts)
			}
			return len(puts) > 0, errors.Is(err, ErrVersionConflict)
		}
		for version := uint64(3); version <= 60; version += 3 {
			accepted, _ := put(manifestOf(version, "first"))
			So(accepted, ShouldBeTrue)
			for earlierVersion := uint64(3); earlierVersion <= version; earlierVersion += 3 {
				accepted, conflict := put(manifestOf(earlierVersion, "first"))
				So(accepted || conflict, ShouldBeFalse)
				accepted, conflict = put(manifestOf(earlierVersion, "second"))
				So(accepted, ShouldBeFalse)
				So(conflict, ShouldBeTrue)
			}
		}
		So(model.ReadSnapshot(state).NewestSet().Bindings[0].Name, ShouldEqual, "first")
		accepted, conflict := put(manifestOf(59, "overtaken"))
		So(accepted || conflict, ShouldBeFalse)
	})
	Convey("What was accepted under the last thousand versions is known after thousands, and what is stored of that is bounded", t, func() {
		state := store.New()
		const last = 3 * MinRetainedVersions
		for sequence := uint64(1); sequence <= last; sequence++ {
			one := acceptedVersion{Version: 2 * sequence, Digest: Digest{byte(sequence), byte(sequence >> 8)}}
			state.Apply(store.Version{Epoch: 1, Sequence: sequence}, versionPuts(state, sequence, one))
		}
		var wrongSequences []uint64
		for sequence := uint64(last - MinRetainedVersions + 1); sequence <= last; sequence++ {
			same := Digest{byte(sequence), byte(sequence >> 8)}
			acceptsSame := !differsFromAccepted(state, 2*sequence, same)
			rejectsOther := differsFromAccepted(state, 2*sequence, Digest{})
			acceptsUnused := !differsFromAccepted(state, 2*sequence+1, same)
			if !acceptsSame || !rejectsOther || !acceptsUnused {
				wrongSequences = append(wrongSequences, sequence)
			}
		}
		So(wrongSequences, ShouldBeEmpty)
		size := 0
		for _, key := range state.Keys(model.PrefixManifestVersions) {
			size += len(state.Records[key].Data)
		}
		So(len(state.Keys(model.PrefixManifestVersions)), ShouldBeLessThanOrEqualTo, MinRetainedVersions/versionsPerRecord+1)
		So(size, ShouldBeLessThan, 40*MinRetainedVersions)
	})
	Convey("Without the bytes that were sent, what a manifest says is compared", t, func() {
		one, other := model.BindingSet{Bindings: []model.Binding{{Name: "a"}}}, model.BindingSet{Bindings: []model.Binding{{Name: "b"}}}
		sameContent := one
		sameContent.Sequence, sameContent.AcceptedAt = 7, 9
		So(DigestOf(one, nil), ShouldEqual, DigestOf(sameContent, nil))
		So(DigestOf(one, nil), ShouldNotEqual, DigestOf(other, nil))
	})
}
