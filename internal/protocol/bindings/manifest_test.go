package bindings

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/protocol/schema"
	"tansyseam/internal/state/model"
)

func TestManifests(t *testing.T) {
	validator, err := schema.NewValidator()
	if err != nil {
		t.Fatal(err)
	}
	const validManifest = `{"version":7,"bindings":[{"name":"b","database":"db","freshness_ms":1500,"own":true,"timeout_ms":1000,"target_ms":200,"priority":1,"tries":2}],` +
		`"databases":[{"name":"db","connections":80,"synced":1}],"limits":{"message_bytes":262144,"idle_ms":15000,"inside_ms":3000},"raw":"aGk="}`
	Convey("Every field of a manifest is parsed, and is unchanged after encoding and parsing again", t, func() {
		value, violations := validator.ValidateRequest("/v1/manifest/replace", []byte(validManifest))
		So(violations, ShouldBeEmpty)
		set, raw, violations := ParseManifest(value)
		So(violations, ShouldBeEmpty)
		So(string(raw), ShouldEqual, "hi")
		So(set, ShouldResemble, model.BindingSet{
			Version: 7, Bindings: []model.Binding{{
				Name: "b", Database: "db", Freshness: 1500 * time.Millisecond, ReadYourWrites: true, Timeout: time.Second,
				LatencyTarget: 200 * time.Millisecond, Priority: 1, MaxAttempts: 2,
			}},
			Databases: []model.Database{{Name: "db", MaxConnections: 80, MinSyncReplicas: 1}},
			Limits:    model.Limits{MaxMessageBytes: 262144, IdleTimeout: 15 * time.Second, TransactionIdleTimeout: 3 * time.Second},
		})
		data, _ := json.Marshal(NewManifest(set))
		So(validator.ValidateAnswer("/v1/manifest/fetch", data, false), ShouldBeEmpty)
		reread, _, violations := ParseManifest(fastjson.MustParseBytes(data))
		So(violations, ShouldBeEmpty)
		So(reread, ShouldResemble, set)
	})
	Convey("All violations of a manifest are reported together", t, func() {
		value, violations := validator.ValidateRequest("/v1/manifest/replace", []byte(`{"version":0,"bindings":[{"name":"b","database":"db","timeout_ms":0},{"name":"b","database":"nowhere","timeout_ms":5}],`+
			`"databases":[{"name":"db","connections":1},{"name":"db","connections":1}],"raw":"!"}`))
		So(violations, ShouldBeEmpty)
		_, _, violations = ParseManifest(value)
		var paths []string
		for _, violation := range violations {
			paths = append(paths, violation.Path)
		}
		So(paths, ShouldResemble, []string{"/version", "/databases/1/name", "/bindings/0/timeout_ms", "/bindings/1/name", "/bindings/1/database", "/raw"})
	})
	Convey("The schema rejects a manifest of the wrong shape or with a duplicate key", t, func() {
		for _, body := range []string{
			`{}`, `[]`, `{"version":1,"bindings":[]}`, `{"version":-1,"bindings":[],"databases":[]}`, `{"version":1,"bindings":[{"name":"b"}],"databases":[]}`,
			`{"version":1,"bindings":[],"databases":[],"more":1}`, `{"version":1,"version":2,"bindings":[],"databases":[]}`,
		} {
			_, violations := validator.ValidateRequest("/v1/manifest/replace", []byte(body))
			SoMsg(body, violations, ShouldNotBeEmpty)
		}
	})
}
