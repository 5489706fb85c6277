package control

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/app/admin"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
	"tansyseam/internal/transport/worker"
	"tansyseam/test/golden"
)

// timeField matches the JSON fields that hold a time or a duration other than zero.
var timeField = regexp.MustCompile(`("(?:heard_ms|silent_ms|at_ms|moment_ms|at|Since)":)[1-9][0-9]*`)

// wallMillis matches a wall time in ms inside a text.
var wallMillis = regexp.MustCompile(`\b1[0-9]{12}\b`)

// checkGolden compares an answer byte by byte with the recorded one, except for
// times.
func checkGolden(t *testing.T, name string, answer any) {
	t.Helper()
	data := golden.JSON(t, answer)
	data = timeField.ReplaceAll(data, []byte(`${1}"T"`))
	data = wallMillis.ReplaceAll(data, []byte("T"))
	golden.Check(t, name+".json", data)
}

// grantLease sends update requests on behalf of a proxy until a lease is granted.
func (h *harness) grantLease(proxy string) bool {
	request := distribution.UpdateRequest{
		Node: proxy, Kind: model.KindProxy, Incarnation: 1, Version: store.Version{Epoch: 1, Sequence: 2}, ActiveSequence: 2,
	}
	deadline := h.node.Now() + 10*time.Second
	for h.node.Now() < deadline {
		answered := make(chan struct{})
		h.onUpdateRequest(request, func(any) { close(answered) })
		for done := false; !done && h.node.Now() < deadline; done = worker.Await(answered, 5*time.Millisecond) {
			h.runMaintenance()
			h.runPending()
			h.flushUpdates()
		}
		h.mutex.Lock()
		granted := len(h.distributor.LeasedNodes(h.node.Now())) > 0
		h.mutex.Unlock()
		if granted {
			return true
		}
	}
	return false
}

func (h *harness) checkCall(t *testing.T, name, path, body string) {
	t.Helper()
	result := h.call(path, body)
	checkGolden(t, fmt.Sprintf("%s-%d", name, result.Status), result.Body)
}

func (h *harness) checkEndpoint(t *testing.T, name string, endpoint func() (int, any)) {
	t.Helper()
	status, answer := endpoint()
	checkGolden(t, fmt.Sprintf("%s-%d", name, status), answer)
}

func TestGoldenAnswers(t *testing.T) {
	Convey("Every answer of the control plane equals its golden file", t, func() {
		h := newHarness(t, t.TempDir())
		checkGolden(t, "fleet-unformed", h.report(admin.QueryFleet))
		h.checkEndpoint(t, "ready", h.ready)
		h.checkEndpoint(t, "vitals-unready", h.health)
		h.checkCall(t, "bindings-list-empty", "/v1/bindings/list", "")
		h.checkCall(t, "changes-list-empty", "/v1/changes/list", "")
		h.checkCall(t, "manifest-fetch-none", "/v1/manifest/fetch", "")
		for _, instance := range []model.Instance{
			announced("i-1", model.RolePrimary, 1), announced("i-2", model.RoleReplica, 1), announced("i-3", model.RoleReplica, 1),
		} {
			h.node.Announce(instance)
			h.runPending()
		}
		const set = `"bindings":[{"name":"b","database":"db","freshness_ms":1500}]`
		h.checkCall(t, "bindings-put", "/v1/bindings/put", `{"id":"one","expected":0,`+set+`}`)
		h.checkCall(t, "bindings-put-again", "/v1/bindings/put", `{"id":"one","expected":0,`+set+`}`)
		h.checkCall(t, "bindings-put-conflict", "/v1/bindings/put", `{"id":"two","expected":0,`+set+`}`)
		h.checkCall(t, "bindings-put-broken", "/v1/bindings/put", `{"id":"three","expected":1,"bindings":[{"name":"b","database":"none","freshness_ms":7}]}`)
		h.checkCall(t, "bindings-put-empty", "/v1/bindings/put", `{"id":"four","expected":1,"bindings":[]}`)
		h.checkCall(t, "bindings-put-shape", "/v1/bindings/put", `{"id":"five","expected":1,"bindings":[{"name":"b<1>","database":"db","freshness_ms":0}]}`)
		at := time.Now().Add(time.Hour).UnixMilli()
		h.checkCall(t, "changes-book", "/v1/changes/book",
			fmt.Sprintf(`{"id":"later","at_ms":%d,"bindings":[{"name":"b","database":"db","freshness_ms":0},{"name":"c","database":"db","freshness_ms":50}]}`, at))
		h.checkCall(t, "changes-book-past", "/v1/changes/book", `{"id":"past","at_ms":5,`+set+`}`)
		h.checkCall(t, "changes-book-other-call", "/v1/changes/book", fmt.Sprintf(`{"id":"one","at_ms":%d,%s}`, at, set))
		h.checkCall(t, "changes-list", "/v1/changes/list", "")
		h.checkCall(t, "manifest-replace", "/v1/manifest/replace", manifestOf(7, 1000))
		h.checkCall(t, "manifest-replace-conflict", "/v1/manifest/replace", strings.ReplaceAll(manifestOf(7, 1000), rawManifestBody(7), rawManifestBody(70)))
		h.checkCall(t, "manifest-replace-broken", "/v1/manifest/replace", manifestOf(8, 0))
		h.checkCall(t, "manifest-fetch", "/v1/manifest/fetch", "")
		h.checkCall(t, "bindings-list", "/v1/bindings/list", "")
		h.checkCall(t, "unknown", "/v1/nowhere", "")
		h.checkEndpoint(t, "vitals", h.health)
		h.checkEndpoint(t, "ready", h.ready)
		h.mutex.Lock()
		h.singletons.SetDatabases([]string{"db"}, nil)
		h.singletons.Campaign(h.electionState(), h.node.Now())
		h.mutex.Unlock()
		checkGolden(t, "fleet", h.report(admin.QueryFleet))
	})
}

func TestGoldenLeases(t *testing.T) {
	Convey("The fleet report with a granted lease equals its golden file", t, func() {
		h := newHarness(t, t.TempDir())
		h.runPending()
		So(h.grantLease("d1"), ShouldBeTrue)
		checkGolden(t, "fleet-leases", h.report(admin.QueryFleet))
	})
}

func TestGoldenManifestWithoutRaw(t *testing.T) {
	Convey("A manifest that was sent without its raw bytes is returned in the product's own form", t, func() {
		h := newHarness(t, t.TempDir())
		status, _ := h.operate("/v1/manifest/replace", `{"version":9,"bindings":[{"name":"b","database":"db","timeout_ms":1000,"own":true}],"databases":[{"name":"db","connections":80}]}`)
		So(status, ShouldEqual, http.StatusOK)
		checkGolden(t, "manifest-fetch-without-raw", h.call("/v1/manifest/fetch", "").Body)
	})
}
