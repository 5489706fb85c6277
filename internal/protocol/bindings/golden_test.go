package bindings

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestGoldenManifest(t *testing.T) {
	Convey("A manifest is encoded to the recorded bytes, with its keys in alphabetical order", t, func() {
		write := func(set model.BindingSet) string {
			data, err := json.Marshal(NewManifest(set))
			So(err, ShouldBeNil)
			return string(data)
		}
		So(write(model.BindingSet{}), ShouldEqual, `{"bindings":[],"databases":[],"limits":{"idle_ms":0,"inside_ms":0,"message_bytes":0},"version":0}`)
		So(write(model.BindingSet{
			Version: 7, Bindings: []model.Binding{
				{Name: "b", Database: "db", Freshness: 1500 * time.Millisecond, ReadYourWrites: true, Timeout: time.Second, LatencyTarget: 200 * time.Millisecond, Priority: 1, MaxAttempts: 2},
				{Name: "c", Database: "db"},
			},
			Databases: []model.Database{{Name: "db", MaxConnections: 80, MinSyncReplicas: 1}, {Name: "e"}},
			Limits:    model.Limits{MaxMessageBytes: 262144, IdleTimeout: 15 * time.Second, TransactionIdleTimeout: 3 * time.Second},
		}), ShouldEqual, `{"bindings":[{"database":"db","freshness_ms":1500,"name":"b","own":true,"priority":1,"target_ms":200,"timeout_ms":1000,"tries":2},`+
			`{"database":"db","freshness_ms":0,"name":"c","own":false,"priority":0,"target_ms":0,"timeout_ms":0,"tries":0}],`+
			`"databases":[{"connections":80,"name":"db","synced":1},{"connections":0,"name":"e","synced":0}],`+
			`"limits":{"idle_ms":15000,"inside_ms":3000,"message_bytes":262144},"version":7}`)
	})
}
