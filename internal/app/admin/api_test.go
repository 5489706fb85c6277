package admin

import (
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

// newAPIs returns an API for each kind of data plane, by kind.
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
	golden.Check(t, name+".json", golden.JSON(t, answer))
}

func TestGoldenAnswers(t *testing.T) {
	Convey("Every answer of a data plane matches its golden file", t, func() {
		for kind, api := range newAPIs(t) {
			for name, serve := range map[string]func() (int, any){"ready": api.ready, "vitals": api.health, "bindings-list": api.listBindings} {
				status, answer := serve()
				checkGolden(t, fmt.Sprintf("%s-%s-%d", kind, name, status), answer)
			}
			checkGolden(t, kind+"-fleet", api.report(QueryFleet))
			api.QueueDepths = func(time.Duration) map[string]int { return nil }
			_, answer := api.health()
			checkGolden(t, kind+"-vitals-no-queues", answer)
		}
	})
}

func TestGoldenSnapshot(t *testing.T) {
	Convey("Binding sets and writer roles in answers match their golden files", t, func() {
		binding := model.Binding{Name: "b", Database: "db", Freshness: 1500 * time.Millisecond, Priority: 2, MaxAttempts: 3}
		snapshot := model.Snapshot{
			Sets: []model.BindingSet{{Sequence: 4, Bindings: []model.Binding{binding}, EffectiveAt: 9_000_000, Version: 3}, {Sequence: 5}},
			Writers: map[string]model.WriterRole{
				"db": {
					Database: "db", Term: 3, Primary: "i-1", PrimaryIncarnation: "x", Phase: model.PhasePromoting,
					RequiredReplicas: map[string]string{"i-2": "y"}, Candidates: map[string]string{"i-2": "y", "i-3": "z"},
					Excluded: map[string]int64{"i-4": 5}, Promoting: "i-2", HighWatermark: model.Position{Term: 3, Index: 8},
					TermStart: model.Position{Term: 2, Index: 7}, PreviousTerm: 2, Reason: "waits", LastTransitionAt: 11, PromoteCalls: 6,
					SyncReplication: true, MinPosition: model.Position{Term: 3, Index: 9}, Promoter: "c1", FencingToken: 12,
				},
				"bare": {Database: "bare"},
			},
		}
		checkGolden(t, "sets", NewBindingSets("c1", snapshot, snapshot.Sets[0]))
		checkGolden(t, "sets-none", NewBindingSets("c1", model.Snapshot{}, model.BindingSet{}))
		checkGolden(t, "writers", NewWriterRoles(snapshot))
		checkGolden(t, "writers-none", NewWriterRoles(model.Snapshot{}))
	})
}

func TestAPI(t *testing.T) {
	apis := newAPIs(t)
	Convey("Both kinds of data plane give the same answers; without a lease they are not ready and state the reason", t, func() {
		for _, kind := range slices.Sorted(maps.Keys(apis)) {
			api := apis[kind]
			api.QueueDepths = func(time.Duration) map[string]int { return map[string]int{"line": 3} }
			api.Register()
			status, answer := api.ready()
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			So(answer, ShouldResemble, Readiness{Reason: "no lease from the control primary"})
			status, answer = api.health()
			So(status, ShouldEqual, http.StatusOK)
			So(answer, ShouldResemble, Health{Node: "d1", Queues: map[string]int{"line": 3}, Reason: "no lease from the control primary"})
			status, _ = api.listBindings()
			So(status, ShouldEqual, http.StatusOK)
			report := fastjson.MustParseBytes(api.report(QueryFleet))
			So(string(report.GetStringBytes("what")), ShouldEqual, "fleet")
			So(report.GetFloat64("weight"), ShouldEqual, 2.5)
			for _, name := range []string{"instances", "lines", "nodes", "sets", "stamp", "writers"} {
				So(report.Exists(name), ShouldBeTrue)
			}
		}
	})
}
