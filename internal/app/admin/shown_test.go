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

func TestShown(t *testing.T) {
	place := config.Settings{Name: "d1", Zone: "z", Link: "127.0.0.1:1", Door: "127.0.0.1:2", AdvertiseDoor: "127.0.0.1:2", Weight: 2}
	node, err := node.New("seamd", place, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	count := func(string, int64) {}
	one := httppool.New(httppool.Place{Name: "d1", Beta: 1}, httppool.DefaultTiming(), count)
	other := linepool.New(linepool.Place{Name: "d1", Beta: 1}, linepool.DefaultTiming(), lease.DefaultTiming(), count)
	planes := map[string]*Plane{
		"hall": {Machine: one, Sessions: one.Consumers, Show: func(now time.Duration) (any, any) { return one.Show(now) }},
		"pool": {Machine: other, Sessions: other.Clients, Show: func(now time.Duration) (any, any) { return other.Show(now) }},
	}
	Convey("Both kinds of data plane show the same, and one without a lease is unready and says why", t, func() {
		for _, kind := range slices.Sorted(maps.Keys(planes)) {
			plane := planes[kind]
			plane.Node, plane.Lock, plane.Queues = node, &sync.Mutex{}, func(time.Duration) map[string]int { return map[string]int{"line": 3} }
			plane.Register()
			status, answer := plane.ready()
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			So(answer, ShouldResemble, map[string]any{"ready": false, "why": "no lease from the control primary"})
			status, answer = plane.vitals()
			So(status, ShouldEqual, http.StatusOK)
			vitals := answer.(map[string]any)
			So(vitals["queues"], ShouldResemble, map[string]int{"line": 3})
			So(slices.Sorted(maps.Keys(vitals)), ShouldResemble, []string{"epoch", "is_ready", "lease_ms", "node", "queues", "sequence", "sessions", "why"})
			status, _ = plane.list()
			So(status, ShouldEqual, http.StatusOK)
			told := fastjson.MustParseBytes(plane.query("fleet"))
			So(string(told.GetStringBytes("what")), ShouldEqual, "fleet")
			So(told.GetInt("weight"), ShouldEqual, 2)
			for _, name := range []string{"instances", "lines", "nodes", "sets", "stamp", "writers"} {
				So(told.Exists(name), ShouldBeTrue)
			}
		}
	})
}
