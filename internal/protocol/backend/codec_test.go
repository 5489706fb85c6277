package backend

import (
	"testing"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/state/model"
)

func TestJSONCodec(t *testing.T) {
	codec := NewJSONCodec()
	Convey("Operations are encoded with the paths and keys of docs/backends.md", t, func() {
		operations := []struct {
			op   httppool.Op
			path string
			body string
		}{
			{httppool.Op{Kind: httppool.OpOpen}, "/db/open", `{}`},
			{
				httppool.Op{Kind: httppool.OpRun, Text: "t", Arguments: []string{"1"}, Write: true, RequestID: "a~1~1.1", Term: 3}, "/db/run",
				`{"text":"t","arguments":["1"],"write":true,"go":"a~1~1.1","term":3}`,
			},
			{httppool.Op{Kind: httppool.OpRun, Prepared: "p"}, "/db/run", `{"prepared":"p"}`},
			{httppool.Op{Kind: httppool.OpBegin}, "/db/begin", `{}`},
			{httppool.Op{Kind: httppool.OpCommit, RequestID: "g"}, "/db/commit", `{"go":"g"}`},
			{httppool.Op{Kind: httppool.OpRollback}, "/db/rollback", `{}`},
			{httppool.Op{Kind: httppool.OpSet, Name: "n", Value: "v"}, "/db/set", `{"name":"n","value":"v"}`},
			{httppool.Op{Kind: httppool.OpPrepare, Name: "n", Text: "t"}, "/db/prepare", `{"text":"t","name":"n"}`},
		}
		for _, operation := range operations {
			path, body := codec.Encode(operation.op)
			So(path, ShouldEqual, operation.path)
			So(string(body), ShouldEqual, operation.body)
		}
		path, body := codec.EncodeStatusRequest(model.Position{Term: 2, Index: 9}, 80)
		So(path, ShouldEqual, "/db/status")
		So(string(body), ShouldEqual, `{"after":{"term":2,"index":9},"wait_ms":80}`)
	})
	Convey("All fields of a reply are decoded; statuses 409 and 429 mean that nothing was started (rejected), other error statuses that the operation failed, and a body that is not JSON is malformed", t, func() {
		reply, err := codec.Decode(200, []byte(`{"rows":[["1"]],"position":{"term":2,"index":9},"clean":true,"inside":true,"role":"primary","term":2,"birth":"b","leaving":true}`))
		So(err, ShouldBeNil)
		So(reply, ShouldResemble, httppool.Reply{
			Rows: []byte(`[["1"]]`), Position: model.Position{Term: 2, Index: 9}, Clean: true, InTransaction: true,
			Role: "primary", Term: 2, Incarnation: "b", Leaving: true,
		})
		for status, expected := range map[int]httppool.Reply{
			409: {Rejected: true, Error: "e"}, 429: {Rejected: true, Error: "e"}, 400: {Failed: true, Error: "e"}, 500: {Failed: true, Error: "e"},
		} {
			reply, err := codec.Decode(status, []byte(`{"error":"e"}`))
			So(err, ShouldBeNil)
			So(reply, ShouldResemble, expected)
		}
		_, err = codec.Decode(200, []byte("no JSON"))
		So(errors.Is(err, ErrMalformedReply), ShouldBeTrue)
	})
}
