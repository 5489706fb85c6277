package compatibility

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
	"tansyseam/internal/state/versionfile"
)

const storedFolder = "testdata/stored"

// storedRecord is a kind of record that disks hold: how it is written, and read
// back.
type storedRecord struct {
	name   string
	sample any
	encode func(any) []byte
	decode func([]byte) (any, error)
}

func recordOf[T any](name string) storedRecord {
	return storedRecord{
		name: name, sample: *new(T),
		encode: func(value any) []byte { return store.Encode(value) },
		decode: func(data []byte) (any, error) {
			var value T
			err := store.Decode(data, &value)
			return value, err
		},
	}
}

func storedRecords() []storedRecord {
	return []storedRecord{
		recordOf[consensus.Identity]("identity"),
		recordOf[consensus.Ballots]("ballots"),
		recordOf[store.Table]("table"),
		recordOf[model.Set]("set"),
		recordOf[model.Writer]("writer"),
		recordOf[model.Booking]("booking"),
		recordOf[model.Entry]("entry"),
		recordOf[distribution.Outcome]("outcome"),
	}
}

func TestStoredRecordsOfEarlierBuildsAreRead(t *testing.T) {
	Convey("Each stored record, written by 6cad5d2 with no field zero, is read with every field", t, func() {
		for _, record := range storedRecords() {
			path := filepath.Join(storedFolder, record.name+".gob")
			if _, err := os.Stat(path); err != nil && *isWriting {
				So(os.MkdirAll(storedFolder, 0o755), ShouldBeNil)
				So(os.WriteFile(path, record.encode(filled(record.sample)), 0o644), ShouldBeNil)
			}
			data, err := os.ReadFile(path)
			So(err, ShouldBeNil)
			value, err := record.decode(data)
			SoMsg(record.name, err, ShouldBeNil)
			SoMsg(record.name, value, ShouldResemble, filled(record.sample))
			again, err := record.decode(record.encode(value))
			SoMsg(record.name, err, ShouldBeNil)
			SoMsg(record.name, reflect.DeepEqual(again, value), ShouldBeTrue)
		}
	})
	Convey("A data folder of 6cad5d2 is read whole", t, func() {
		const folder = "testdata/folder"
		if _, err := os.Stat(folder); err != nil && *isWriting {
			disk, err := versionfile.OpenFolder(folder)
			So(err, ShouldBeNil)
			files := versionfile.NewStore(disk, 2)
			So(files.Put(consensus.FileIdentity, 2, store.Encode(filled(consensus.Identity{}))), ShouldBeNil)
			So(files.Put(consensus.FileBallots, 5, store.Encode(filled(consensus.Ballots{}))), ShouldBeNil)
			So(files.Put(consensus.FileTable, 9, store.Encode(filled(store.Table{}))), ShouldBeNil)
		}
		disk := versionfile.Folder(folder)
		saved, err := consensus.Load(versionfile.NewStore(disk, 2), func(kind string, passed int) { So(passed, ShouldEqual, 0) })
		So(err, ShouldBeNil)
		So(*saved.Identity, ShouldResemble, filled(consensus.Identity{}))
		So(*saved.Ballots, ShouldResemble, filled(consensus.Ballots{}))
		So(*saved.Table, ShouldResemble, filled(store.Table{}))
		So(saved.Copies, ShouldEqual, uint64(9))
	})
}
