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
	Convey("The first content sent under a version is accepted, a different one is rejected, and a repetition of the first changes nothing", t, func() {
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
	Convey("After thousands of versions the digests of the last MinRetainedVersions are still stored, in bounded space", t, func() {
		state := store.New()
		const last = 3 * MinRetainedVersions
		for sequence := uint64(1); sequence <= last; sequence++ {
			accepted := acceptedVersion{Version: 2 * sequence, Digest: Digest{byte(sequence), byte(sequence >> 8)}}
			state.Apply(store.Version{Epoch: 1, Sequence: sequence}, versionPuts(state, sequence, accepted))
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
	Convey("Without the text as it was sent, the digest covers the content of the binding set", t, func() {
		first, second := model.BindingSet{Bindings: []model.Binding{{Name: "a"}}}, model.BindingSet{Bindings: []model.Binding{{Name: "b"}}}
		sameContent := first
		sameContent.Sequence, sameContent.AcceptedAt = 7, 9
		So(DigestOf(first, nil), ShouldEqual, DigestOf(sameContent, nil))
		So(DigestOf(first, nil), ShouldNotEqual, DigestOf(second, nil))
	})
}
