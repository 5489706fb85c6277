package compatibility

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/callresult"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
	"tansyseam/internal/state/versionfile"
)

const storedFolder = "testdata/stored"

// storedRecord is a kind of record that is stored on disk, with the functions that
// encode and decode it.
type storedRecord struct {
	name    string
	sample  any
	encoded any
	encode  func(any) []byte
	decode  func([]byte) (any, error)
}

func recordOf[Encoded any, Value interface{ Encoded() Encoded }](name string, from func(Encoded) Value) storedRecord {
	return storedRecord{
		name: name, sample: *new(Value), encoded: *new(Encoded),
		encode: func(value any) []byte { return store.Encode(value.(Value)) },
		decode: func(data []byte) (any, error) { return store.Decode(data, from) },
	}
}

func plainRecordOf[Value any](name string) storedRecord {
	return storedRecord{
		name: name, sample: *new(Value), encoded: *new(Value),
		encode: func(value any) []byte { return store.EncodePlain(value) },
		decode: func(data []byte) (any, error) {
			var value Value
			err := store.DecodePlain(data, &value)
			return value, err
		},
	}
}

func storedRecords() []storedRecord {
	return []storedRecord{
		recordOf("identity", consensus.IdentityFrom),
		recordOf("ballots", consensus.VoterStateFrom),
		recordOf("table", store.TableFrom),
		recordOf("set", model.BindingSetFrom),
		recordOf("writer", model.WriterRoleFrom),
		recordOf("booking", model.ScheduledChangeFrom),
		recordOf("entry", model.AuditEntryFrom),
		recordOf("departure", model.DepartureFrom),
		plainRecordOf[callresult.Result]("outcome"),
	}
}

func TestStoredRecordsOfEarlierBuildsAreRead(t *testing.T) {
	Convey("Each stored record that 6cad5d2 wrote with non-zero fields is read with all fields", t, func() {
		for _, record := range storedRecords() {
			path := filepath.Join(storedFolder, record.name+".gob")
			if _, err := os.Stat(path); err != nil && *writeGolden {
				So(os.MkdirAll(storedFolder, 0o755), ShouldBeNil)
				So(os.WriteFile(path, record.encode(filled(record.sample)), 0o644), ShouldBeNil)
			}
			data, err := os.ReadFile(path)
			So(err, ShouldBeNil)
			value, err := record.decode(data)
			SoMsg(record.name, err, ShouldBeNil)
			SoMsg(record.name, value, ShouldResemble, filled(record.sample))
			roundTripped, err := record.decode(record.encode(value))
			SoMsg(record.name, err, ShouldBeNil)
			SoMsg(record.name, reflect.DeepEqual(roundTripped, value), ShouldBeTrue)
		}
	})
	Convey("A data folder that 6cad5d2 wrote is read completely", t, func() {
		const folder = "testdata/folder"
		if _, err := os.Stat(folder); err != nil && *writeGolden {
			disk, err := versionfile.OpenDirectory(folder)
			So(err, ShouldBeNil)
			files := versionfile.NewStore(disk, 2)
			So(files.Put(consensus.FileIdentity, 2, store.Encode(filled(consensus.Identity{}).(consensus.Identity))), ShouldBeNil)
			So(files.Put(consensus.FileVoterState, 5, store.Encode(filled(consensus.VoterState{}).(consensus.VoterState))), ShouldBeNil)
			So(files.Put(consensus.FileTable, 9, store.Encode(filled(store.Table{}).(store.Table))), ShouldBeNil)
		}
		disk := versionfile.Directory(folder)
		saved, err := consensus.Load(versionfile.NewStore(disk, 2), func(_ string, skipped int) { So(skipped, ShouldEqual, 0) })
		So(err, ShouldBeNil)
		So(*saved.Identity, ShouldResemble, filled(consensus.Identity{}))
		So(*saved.VoterState, ShouldResemble, filled(consensus.VoterState{}))
		So(*saved.Table, ShouldResemble, filled(store.Table{}))
		So(saved.TableSequence, ShouldEqual, uint64(9))
	})
}
