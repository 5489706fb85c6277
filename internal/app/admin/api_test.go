package admin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fastjson"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/app/config"
	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/coordination/pool/linepool"
	"tansyseam/internal/state/model"
	"tansyseam/test/golden"
)

// newAPIs makes the API of each kind of data plane, by kind.
func newAPIs(t *testing.T) map[string]*API {
	t.Helper()
	cfg := config.Config{
		Name: "d1", Zone: "z", RPCAddress: "127.0.0.1:1", HTTPAddress: "127.0.0.1:2",
		AdvertiseRPCAddress: "127.0.0.1:1", AdvertiseHTTPAddress: "127.0.0.1:2", Weight: 2.5,
	}
	node, err := node.New(model.KindProxy, cfg, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	count := func(string, int64) {}
	httpPool := httppool.New(httppool.Node{Name: "d1", Weight: 1}, httppool.DefaultTiming(), count)
	linePool := linepool.New(linepool.Node{Name: "d1", Weight: 1}, linepool.DefaultTiming(), lease.DefaultTiming(), count)
	apis := map[string]*API{
		"http-pool": {Proxy: httpPool, SessionCount: httpPool.SessionCount, Describe: func(now time.Duration) (any, any) { return httpPool.Status(now) }},
		"line-pool": {Proxy: linePool, SessionCount: linePool.Clients, Describe: func(now time.Duration) (any, any) { return linePool.Status(now) }},
	}
	for _, api := range apis {
		api.Node, api.Locker = node, &sync.Mutex{}
		api.QueueDepths = func(time.Duration) map[string]int { return map[string]int{"writes": 3, "reads": 1} }
	}
	return apis
}

func checkGolden(t *testing.T, name string, answer any) {
	t.Helper()
	data, encoded := answer.([]byte)
	if !encoded {
		var err error
		data, err = json.Marshal(answer)
		So(err, ShouldBeNil)
	}
	golden.Check(t, name+".json", append(data, '\n'))
}

func TestGoldenAnswers(t *testing.T) {
	Convey("Every answer of a data plane has the bytes that were recorded", t, func() {
		for kind, api := range newAPIs(t) {
			for name, endpoint := range map[string]func() (int, any){"ready": api.ready, "vitals": api.health, "bindings-list": api.listBindings} {
				status, answer := endpoint()
				checkGolden(t, fmt.Sprintf("%s-%s-%d", kind, name, status), answer)
			}
			checkGolden(t, kind+"-fleet", api.stateReport("fleet"))
			api.QueueDepths = func(time.Duration) map[string]int { return nil }
			_, answer := api.health()
			checkGolden(t, kind+"-vitals-no-queues", answer)
		}
	})
}

func TestAPI(t *testing.T) {
	apis := newAPIs(t)
	Convey("Both kinds of data plane show the same, and one without a lease is unready and says why", t, func() {
		for _, kind := range slices.Sorted(maps.Keys(apis)) {
			api := apis[kind]
			api.QueueDepths = func(time.Duration) map[string]int { return map[string]int{"line": 3} }
			api.Register()
			status, answer := api.ready()
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			So(answer, ShouldResemble, map[string]any{"ready": false, "why": "no lease from the control primary"})
			status, answer = api.health()
			So(status, ShouldEqual, http.StatusOK)
			health := answer.(map[string]any)
			So(health["queues"], ShouldResemble, map[string]int{"line": 3})
			So(slices.Sorted(maps.Keys(health)), ShouldResemble, []string{"epoch", "is_ready", "lease_ms", "node", "queues", "sequence", "sessions", "why"})
			status, _ = api.listBindings()
			So(status, ShouldEqual, http.StatusOK)
			report := fastjson.MustParseBytes(api.stateReport("fleet"))
			So(string(report.GetStringBytes("what")), ShouldEqual, "fleet")
			So(report.GetFloat64("weight"), ShouldEqual, 2.5)
			for _, name := range []string{"instances", "lines", "nodes", "sets", "stamp", "writers"} {
				So(report.Exists(name), ShouldBeTrue)
			}
		}
	})
}
