package consensus

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/juju/errors"

	"tansyseam/internal/state/versionfile"
)

func TestRunDiskTask(t *testing.T) {
	Convey("Given the files of a machine", t, func() {
		path := t.TempDir()
		directory, err := versionfile.OpenDirectory(path)
		So(err, ShouldBeNil)
		files := versionfile.NewStore(directory, 2)
		Convey("A Save writes one version of one kind of file", func() {
			So(RunDiskTask(files, Save{Kind: FileTable, Sequence: 7, Data: []byte("seven")}), ShouldBeNil)
			latest, _, err := files.Latest(FileTable)
			So(err, ShouldBeNil)
			So(latest.Sequence, ShouldEqual, 7)
			So(string(latest.Data), ShouldEqual, "seven")
			_, _, err = files.Latest(FileVoterState)
			So(errors.Is(err, versionfile.ErrNotFound), ShouldBeTrue)
		})
		Convey("A RemoveCorrupt removes the corrupt versions of every kind, and leaves the sound ones", func() {
			for _, kind := range FileKinds() {
				So(RunDiskTask(files, Save{Kind: kind, Sequence: 1, Data: []byte("sound")}), ShouldBeNil)
				So(RunDiskTask(files, Save{Kind: kind, Sequence: 2, Data: []byte("torn")}), ShouldBeNil)
			}
			tearNewest(path)
			So(skippedFiles(files), ShouldEqual, len(FileKinds()))
			So(RunDiskTask(files, RemoveCorrupt{}), ShouldBeNil)
			So(skippedFiles(files), ShouldEqual, 0)
			for _, kind := range FileKinds() {
				latest, _, err := files.Latest(kind)
				So(err, ShouldBeNil)
				So(string(latest.Data), ShouldEqual, "sound")
			}
		})
		Convey("An error of the disk is returned", func() {
			missing := versionfile.NewStore(versionfile.Directory(filepath.Join(path, "missing")), 2)
			So(RunDiskTask(missing, Save{Kind: FileTable, Sequence: 1}), ShouldNotBeNil)
			So(RunDiskTask(missing, RemoveCorrupt{}), ShouldNotBeNil)
		})
	})
}

// tearNewest truncates the newest file of each kind to half its size.
func tearNewest(path string) {
	for _, kind := range FileKinds() {
		names, err := filepath.Glob(filepath.Join(path, kind+"*"))
		So(err, ShouldBeNil)
		newest := names[len(names)-1]
		content, err := os.ReadFile(newest)
		So(err, ShouldBeNil)
		So(os.WriteFile(newest, content[:len(content)/2], 0o600), ShouldBeNil)
	}
}

func skippedFiles(files *versionfile.Store) int {
	skipped := 0
	for _, kind := range FileKinds() {
		_, count, err := files.Latest(kind)
		So(err, ShouldBeNil)
		skipped += count
	}
	return skipped
}
