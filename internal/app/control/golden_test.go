package control

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/app/admin"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
	"tansyseam/internal/transport/worker"
	"tansyseam/test/golden"
)

// timeField matches the fields that hold a time or a duration, where it is not zero.
var timeField = regexp.MustCompile(`("(?:heard_ms|silent_ms|at_ms|moment_ms|at|Since)":)[1-9][0-9]*`)

// wallMillis matches a wall time in ms within a text.
var wallMillis = regexp.MustCompile(`\b1[0-9]{12}\b`)

// checkGolden compares an answer with the recorded one, byte by byte but for times.
func checkGolden(t *testing.T, name string, answer any) {
	t.Helper()
	data, encoded := answer.([]byte)
	if !encoded {
		var err error
		data, err = json.Marshal(answer)
		So(err, ShouldBeNil)
	}
	data = timeField.ReplaceAll(data, []byte(`${1}"T"`))
	data = wallMillis.ReplaceAll(data, []byte("T"))
	golden.Check(t, name+".json", append(data, '\n'))
}

// grantLease requests updates in the name of a proxy until a lease is granted.
func (b *harness) grantLease(proxy string) bool {
	request := distribution.UpdateRequest{
		Node: proxy, Kind: model.KindProxy, Incarnation: 1, Version: store.Version{Epoch: 1, Sequence: 2}, ActiveSequence: 2,
	}
	deadline := b.node.Now() + 10*time.Second
	for b.node.Now() < deadline {
		answered := make(chan struct{})
		b.onUpdateRequest(request, func(any) { close(answered) })
		for done := false; !done && b.node.Now() < deadline; done = worker.Await(answered, 5*time.Millisecond) {
			b.runMaintenance()
			b.runPending()
			b.flushUpdates()
		}
		b.mutex.Lock()
		granted := len(b.distributor.LeasedNodes(b.node.Now())) > 0
		b.mutex.Unlock()
		if granted {
			return true
		}
	}
	return false
}

func (b *harness) checkCall(t *testing.T, name, path, body string) {
	t.Helper()
	var result message.OperatorCallResult
	b.runPending()
	b.onOperate(message.OperatorCall{Path: path, Body: []byte(body)}, func(answer any) { result = answer.(message.OperatorCallResult) })
	b.runPending()
	checkGolden(t, fmt.Sprintf("%s-%d", name, result.Status), result.Body)
}

func (b *harness) checkEndpoint(t *testing.T, name string, endpoint func() (int, any)) {
	t.Helper()
	status, answer := endpoint()
	checkGolden(t, fmt.Sprintf("%s-%d", name, status), answer)
}

func TestGoldenAnswers(t *testing.T) {
	Convey("Every answer of the control plane has the bytes that were recorded", t, func() {
		b := newHarness(t, t.TempDir())
		checkGolden(t, "fleet-unformed", b.report(admin.QueryFleet))
		b.checkEndpoint(t, "ready", b.ready)
		b.checkEndpoint(t, "vitals-unready", b.health)
		b.checkCall(t, "bindings-list-empty", "/v1/bindings/list", "")
		b.checkCall(t, "changes-list-empty", "/v1/changes/list", "")
		b.checkCall(t, "manifest-fetch-none", "/v1/manifest/fetch", "")
		for _, instance := range []model.Instance{
			announced("i-1", model.RolePrimary, 1), announced("i-2", model.RoleReplica, 1), announced("i-3", model.RoleReplica, 1),
		} {
			b.node.Announce(instance)
			b.runPending()
		}
		const set = `"bindings":[{"name":"b","database":"db","freshness_ms":1500}]`
		b.checkCall(t, "bindings-put", "/v1/bindings/put", `{"id":"one","expected":0,`+set+`}`)
		b.checkCall(t, "bindings-put-again", "/v1/bindings/put", `{"id":"one","expected":0,`+set+`}`)
		b.checkCall(t, "bindings-put-conflict", "/v1/bindings/put", `{"id":"two","expected":0,`+set+`}`)
		b.checkCall(t, "bindings-put-broken", "/v1/bindings/put", `{"id":"three","expected":1,"bindings":[{"name":"b","database":"none","freshness_ms":7}]}`)
		b.checkCall(t, "bindings-put-empty", "/v1/bindings/put", `{"id":"four","expected":1,"bindings":[]}`)
		b.checkCall(t, "bindings-put-shape", "/v1/bindings/put", `{"id":"five","expected":1,"bindings":[{"name":"b<1>","database":"db","freshness_ms":0}]}`)
		at := time.Now().Add(time.Hour).UnixMilli()
		b.checkCall(t, "changes-book", "/v1/changes/book",
			fmt.Sprintf(`{"id":"later","at_ms":%d,"bindings":[{"name":"b","database":"db","freshness_ms":0},{"name":"c","database":"db","freshness_ms":50}]}`, at))
		b.checkCall(t, "changes-book-past", "/v1/changes/book", `{"id":"past","at_ms":5,`+set+`}`)
		b.checkCall(t, "changes-book-other-call", "/v1/changes/book", fmt.Sprintf(`{"id":"one","at_ms":%d,%s}`, at, set))
		b.checkCall(t, "changes-list", "/v1/changes/list", "")
		b.checkCall(t, "manifest-replace", "/v1/manifest/replace", manifestOf(7, 1000))
		b.checkCall(t, "manifest-replace-conflict", "/v1/manifest/replace", strings.ReplaceAll(manifestOf(7, 1000), rawManifestBody(7), rawManifestBody(70)))
		b.checkCall(t, "manifest-replace-broken", "/v1/manifest/replace", manifestOf(8, 0))
		b.checkCall(t, "manifest-fetch", "/v1/manifest/fetch", "")
		b.checkCall(t, "bindings-list", "/v1/bindings/list", "")
		b.checkCall(t, "unknown", "/v1/nowhere", "")
		b.checkEndpoint(t, "vitals", b.health)
		b.checkEndpoint(t, "ready", b.ready)
		b.mutex.Lock()
		b.singletons.SetDatabases([]string{"db"}, nil)
		b.singletons.Campaign(b.situation(), b.node.Now())
		b.mutex.Unlock()
		checkGolden(t, "fleet", b.report(admin.QueryFleet))
	})
}

func TestGoldenLeases(t *testing.T) {
	Convey("The leases granted are written with the bytes that were recorded", t, func() {
		b := newHarness(t, t.TempDir())
		b.runPending()
		So(b.grantLease("d1"), ShouldBeTrue)
		checkGolden(t, "fleet-leases", b.report(admin.QueryFleet))
	})
}

func TestGoldenManifestWithoutRaw(t *testing.T) {
	Convey("A manifest that was sent without its bytes is written in the product's own form", t, func() {
		b := newHarness(t, t.TempDir())
		status, _ := b.operate("/v1/manifest/replace", `{"version":9,"bindings":[{"name":"b","database":"db","timeout_ms":1000,"own":true}],"databases":[{"name":"db","connections":80}]}`)
		So(status, ShouldEqual, http.StatusOK)
		var result message.OperatorCallResult
		b.onOperate(message.OperatorCall{Path: "/v1/manifest/fetch"}, func(answer any) { result = answer.(message.OperatorCallResult) })
		checkGolden(t, "manifest-fetch-without-raw", result.Body)
	})
}
