package httpproxy

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fastjson"

	"tansyseam/internal/app/config"
	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func newTestProxy(t *testing.T) *Proxy {
	cfg := config.Config{Name: "d1", Zone: "z", RPCAddress: "127.0.0.1:1", HTTPAddress: "127.0.0.1:2", AdvertiseHTTPAddress: "127.0.0.1:2", Weight: 1}
	n, err := node.New("seamd", cfg, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	proxy, err := New(n)
	if err != nil {
		t.Fatal(err)
	}
	return proxy
}

// grantLease applies an update to the proxy with a lease and one binding, "orders".
func grantLease(proxy *Proxy) {
	snapshot := model.Snapshot{Version: store.Version{Epoch: 1, Sequence: 1}, Sets: []model.BindingSet{
		{Sequence: 7, EffectiveAt: 1, Bindings: []model.Binding{{Name: "orders", Database: "x"}}},
	}}
	update := distribution.Update{
		FromPrimary: true, Record: consensus.Record{Epoch: 1, Primary: "c1"}, LeaseDuration: time.Minute, PrimaryTime: int64(proxy.now()), Snapshot: &snapshot,
	}
	proxy.apply(func(now time.Duration) { proxy.pool.ApplyUpdate(update, now, now) })
}

func TestAnswersAreByteForByteThoseOfTheAPI(t *testing.T) {
	proxy := newTestProxy(t)
	call := func(handler node.CallHandler, body string) (int, string) {
		status, answer := handler(fastjson.MustParse(body), []byte(body), &http.Request{RemoteAddr: "client:1"})
		data, err := json.Marshal(answer)
		So(err, ShouldBeNil)
		return status, string(data)
	}
	Convey("Calls that open and close sessions return the expected status and JSON", t, func() {
		status, answer := call(proxy.openSession, `{"binding":"orders"}`)
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(answer, ShouldEqual, `{"error":"not ready: no lease from the control primary","faults":[],"retry_after_ms":550}`)
		grantLease(proxy)
		status, answer = call(proxy.openSession, `{"binding":"orders","mark":"!"}`)
		So(status, ShouldEqual, http.StatusBadRequest)
		So(answer, ShouldEqual, `{"error":"the mark is not one of ours","faults":[]}`)
		status, answer = call(proxy.openSession, `{"binding":"other"}`)
		So(status, ShouldEqual, http.StatusNotFound)
		So(answer, ShouldEqual, `{"error":"no binding \"other\" in sequence 7","faults":[]}`)
		status, answer = call(proxy.openSession, `{"binding":"orders"}`)
		So(status, ShouldEqual, http.StatusOK)
		session := proxy.pool.RequestLog().SessionID(1)
		So(answer, ShouldEqual, `{"mark":"e30","sequence":7,"session":"`+session+`"}`)
		status, answer = call(proxy.closeSession, `{"session":"`+session+`"}`)
		So(status, ShouldEqual, http.StatusOK)
		So(answer, ShouldEqual, `{"mark":"e30"}`)
		status, answer = call(proxy.closeSession, `{"session":"`+session+`"}`)
		So(status, ShouldEqual, http.StatusNotFound)
		So(answer, ShouldEqual, `{"error":"no such session here","faults":[]}`)
	})
	Convey("Results of requests are encoded as the expected JSON", t, func() {
		encode := func(result httppool.Result) string {
			data, err := json.Marshal(newOutcomeResponse(result))
			So(err, ShouldBeNil)
			return string(data)
		}
		So(encode(httppool.Result{Outcome: httppool.OutcomeDone}), ShouldEqual, `{"outcome":"done","mark":"bnVsbA"}`)
		So(encode(httppool.Result{
			Outcome: httppool.OutcomeCommitted, Rows: []byte(`[["1"]]`), Position: model.Position{Term: 2, Index: 9}, Instance: "i1", BindingSequence: 7,
			MinPositions: map[string]model.Position{"x": {Term: 2, Index: 9}},
		}), ShouldEqual, `{"outcome":"kept","rows":[["1"]],"mark":"eyJ4Ijp7InRlcm0iOjIsImluZGV4Ijo5fX0","position":{"term":2,"index":9},"instance":"i1","sequence":7}`)
		So(encode(httppool.Result{Outcome: httppool.OutcomeNotCommitted, Error: "deadline passed", RetryAfter: time.Second, SessionClosed: true, MinPositions: map[string]model.Position{}}),
			ShouldEqual, `{"outcome":"not_kept","mark":"e30","error":"deadline passed","is_closed":true,"retry_after_ms":1000}`)
	})
}

func TestStatusOfEachCause(t *testing.T) {
	Convey("Each cause of an error has its HTTP status; an error without a known cause has 503, and a result without an error 200", t, func() {
		statuses := map[error]int{
			httppool.ErrNoSession: 404, httppool.ErrSessionBusy: 409, httppool.ErrNoBinding: 404, httppool.ErrNoTransaction: 409,
			httppool.ErrInvalidRequestID: 400, httppool.ErrStatementFailed: 422, httppool.ErrNotReady: 503, nil: 503,
		}
		for cause, status := range statuses {
			So(httpStatus(httppool.Result{Cause: cause, Error: "failed"}), ShouldEqual, status)
			So(httpStatus(httppool.Result{Cause: cause}), ShouldEqual, http.StatusOK)
		}
	})
}

func TestPositionsInTheMark(t *testing.T) {
	Convey("A mark decodes to the positions that were encoded; any other text is rejected", t, func() {
		positions := map[string]model.Position{"x": {Term: 1, Index: 2}, "y": {Term: 3, Index: 4}}
		decoded, valid := decodePositions(encodePositions(positions))
		So(valid, ShouldBeTrue)
		So(map[string]model.Position(decoded), ShouldResemble, positions)
		empty, valid := decodePositions("")
		So(valid, ShouldBeTrue)
		So(empty, ShouldBeEmpty)
		for _, text := range []string{"!", "bnVsbA", "e3"} {
			_, valid := decodePositions(text)
			So(valid, ShouldBeFalse)
		}
	})
}
