package distribution

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func manifestOf(version uint64, content string) Manifest {
	set := model.Set{Bindings: []model.Binding{{Name: content, Database: "db"}}}
	return Manifest{Version: version, Set: set, Digest: DigestOf(set, []byte(content)), Source: "test"}
}

func TestOneContentUnderOneVersion(t *testing.T) {
	Convey("Of two contents under one version the first is taken, and the other refused; the first is acknowledged again", t, func() {
		d := newDesk(1, store.New())
		put := func(sent Manifest) (isTaken, isConflict bool) {
			d.write(Write{Build: func(held *store.Table) []store.Put {
				puts, isOther := PutManifest(held, sent, d.wall)
				isTaken, isConflict = len(puts) > 0, isOther
				return puts
			}, Done: func() {}})
			return isTaken, isConflict
		}
		for version := uint64(3); version <= 60; version += 3 {
			isTaken, _ := put(manifestOf(version, "first"))
			So(isTaken, ShouldBeTrue)
			for back := uint64(3); back <= version; back += 3 {
				isTaken, isConflict := put(manifestOf(back, "first"))
				So(isTaken || isConflict, ShouldBeFalse)
				isTaken, isConflict = put(manifestOf(back, "second"))
				So(isTaken, ShouldBeFalse)
				So(isConflict, ShouldBeTrue)
			}
		}
		So(d.Doc().Newest().Bindings[0].Name, ShouldEqual, "first")
		isTaken, isConflict := put(manifestOf(59, "overtaken"))
		So(isTaken || isConflict, ShouldBeFalse)
	})
	Convey("What was taken under the last thousand versions is known after thousands, and what is kept of that is bounded", t, func() {
		held := store.New()
		const last = 3 * VersionsKept
		for sequence := uint64(1); sequence <= last; sequence++ {
			one := takenVersion{Version: 2 * sequence, Digest: Digest{byte(sequence), byte(sequence >> 8)}}
			held.Apply(store.Stamp{Epoch: 1, Sequence: sequence}, noteVersion(held, sequence, one))
		}
		for sequence := uint64(last - VersionsKept + 1); sequence <= last; sequence++ {
			same := Digest{byte(sequence), byte(sequence >> 8)}
			if isOther(held, 2*sequence, same) || !isOther(held, 2*sequence, Digest{}) || isOther(held, 2*sequence+1, same) {
				So(sequence, ShouldEqual, 0)
			}
		}
		size := 0
		for _, key := range held.Keys(model.KeyVersions) {
			size += len(held.Records[key].Data)
		}
		So(len(held.Keys(model.KeyVersions)), ShouldBeLessThanOrEqualTo, VersionsKept/versionsPerRecord+1)
		So(size, ShouldBeLessThan, 40*VersionsKept)
	})
	Convey("Without the bytes that were sent, what a manifest says is compared", t, func() {
		one, other := model.Set{Bindings: []model.Binding{{Name: "a"}}}, model.Set{Bindings: []model.Binding{{Name: "b"}}}
		again := one
		again.Sequence, again.Taken = 7, 9
		So(DigestOf(one, nil), ShouldEqual, DigestOf(again, nil))
		So(DigestOf(one, nil), ShouldNotEqual, DigestOf(other, nil))
	})
}
