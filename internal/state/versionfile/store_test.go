package versionfile

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/juju/errors"
)

func TestVersions(t *testing.T) {
	Convey("Given a data directory", t, func() {
		path := t.TempDir()
		directory, err := OpenDirectory(path)
		So(err, ShouldBeNil)
		store := NewStore(directory, 3)
		Convey("After nine versions are written to a store that keeps three, the newest is returned and three files remain", func() {
			for sequence := uint64(1); sequence <= 9; sequence++ {
				So(store.Put("table", sequence, []byte{byte(sequence)}), ShouldBeNil)
			}
			latest, skipped, err := store.Latest("table")
			So(err, ShouldBeNil)
			So(latest.Sequence, ShouldEqual, 9)
			So(latest.Data, ShouldResemble, []byte{9})
			So(skipped, ShouldEqual, 0)
			names, _ := directory.Names()
			So(len(names), ShouldEqual, 3)
		})
		Convey("Truncated, empty, foreign and modified files and a file of another version are skipped, and RemoveCorrupt removes them", func() {
			So(store.Put("table", 1, []byte("good")), ShouldBeNil)
			intact, _ := os.ReadFile(filepath.Join(path, fileName("table", 1)))
			changed := append([]byte(nil), intact...)
			changed[len(changed)/2] ^= 1
			damaged := map[uint64][]byte{2: intact[:len(intact)/2], 3: {}, 4: []byte("something else altogether, and quite long enough to be read"), 5: changed, 6: intact}
			for sequence, data := range damaged {
				So(os.WriteFile(filepath.Join(path, fileName("table", sequence)), data, 0o600), ShouldBeNil)
			}
			latest, skipped, err := store.Latest("table")
			So(err, ShouldBeNil)
			So(latest.Sequence, ShouldEqual, 1)
			So(string(latest.Data), ShouldEqual, "good")
			So(skipped, ShouldEqual, len(damaged))
			So(store.RemoveCorrupt("table"), ShouldBeNil)
			_, skipped, _ = store.Latest("table")
			So(skipped, ShouldEqual, 0)
		})
		Convey("An unfinished temporary file is removed when the directory is opened, and is not read as a version", func() {
			So(os.WriteFile(filepath.Join(path, fileName("table", 7)+".aside"), []byte("half"), 0o600), ShouldBeNil)
			_, err := OpenDirectory(path)
			So(err, ShouldBeNil)
			_, _, err = store.Latest("table")
			So(errors.Is(err, ErrNotFound), ShouldBeTrue)
			names, _ := directory.Names()
			So(names, ShouldBeEmpty)
		})
		Convey("A failed write returns ErrNotSynced", func() {
			store := NewStore(Directory(filepath.Join(path, "missing")), 3)
			So(errors.Is(store.Put("table", 1, nil), ErrNotSynced), ShouldBeTrue)
		})
	})
}
