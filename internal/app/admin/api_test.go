package admin

import (
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
)

func TestAPI(t *testing.T) {
	cfg := config.Config{Name: "d1", Zone: "z", RPCAddress: "127.0.0.1:1", HTTPAddress: "127.0.0.1:2", AdvertiseHTTPAddress: "127.0.0.1:2", Weight: 2}
	node, err := node.New("seamd", cfg, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	count := func(string, int64) {}
	httpPool := httppool.New(httppool.Node{Name: "d1", Weight: 1}, httppool.DefaultTiming(), count)
	linePool := linepool.New(linepool.Node{Name: "d1", Weight: 1}, linepool.DefaultTiming(), lease.DefaultTiming(), count)
	apis := map[string]*API{
		"hall": {Proxy: httpPool, SessionCount: httpPool.SessionCount, Describe: func(now time.Duration) (any, any) { return httpPool.Status(now) }},
		"pool": {Proxy: linePool, SessionCount: linePool.Clients, Describe: func(now time.Duration) (any, any) { return linePool.Status(now) }},
	}
	Convey("Both kinds of data plane show the same, and one without a lease is unready and says why", t, func() {
		for _, kind := range slices.Sorted(maps.Keys(apis)) {
			api := apis[kind]
			api.Node, api.Locker, api.QueueDepths = node, &sync.Mutex{}, func(time.Duration) map[string]int { return map[string]int{"line": 3} }
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
			So(report.GetInt("weight"), ShouldEqual, 2)
			for _, name := range []string{"instances", "lines", "nodes", "sets", "stamp", "writers"} {
				So(report.Exists(name), ShouldBeTrue)
			}
		}
	})
}
