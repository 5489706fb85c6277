package compatibility

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam.example/pooler/coordination/epoch"
	"tansyseam.example/pooler/coordination/steer"
	"tansyseam.example/pooler/state/synced"
	"tansyseam.example/pooler/state/table"
	"tansyseam.example/pooler/state/view"
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
		encode: func(value any) []byte { return table.Encode(value) },
		decode: func(data []byte) (any, error) {
			var value T
			err := table.Decode(data, &value)
			return value, err
		},
	}
}

func storedRecords() []storedRecord {
	return []storedRecord{
		recordOf[epoch.Identity]("identity"),
		recordOf[epoch.Ballots]("ballots"),
		recordOf[table.Table]("table"),
		recordOf[view.Set]("set"),
		recordOf[view.Writer]("writer"),
		recordOf[view.Booking]("booking"),
		recordOf[view.Entry]("entry"),
		recordOf[steer.Outcome]("outcome"),
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
			disk, err := synced.OpenFolder(folder)
			So(err, ShouldBeNil)
			store := synced.NewStore(disk, 2)
			So(store.Put(epoch.FileIdentity, 2, table.Encode(filled(epoch.Identity{}))), ShouldBeNil)
			So(store.Put(epoch.FileBallots, 5, table.Encode(filled(epoch.Ballots{}))), ShouldBeNil)
			So(store.Put(epoch.FileTable, 9, table.Encode(filled(table.Table{}))), ShouldBeNil)
		}
		disk := synced.Folder(folder)
		saved, err := epoch.Load(synced.NewStore(disk, 2), func(kind string, passed int) { So(passed, ShouldEqual, 0) })
		So(err, ShouldBeNil)
		So(*saved.Identity, ShouldResemble, filled(epoch.Identity{}))
		So(*saved.Ballots, ShouldResemble, filled(epoch.Ballots{}))
		So(*saved.Table, ShouldResemble, filled(table.Table{}))
		So(saved.Copies, ShouldEqual, uint64(9))
	})
}
