package distribution

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestAllocations(t *testing.T) {
	few, many := newHarnessWithNodes(10), newHarnessWithNodes(400)
	Convey("The number of allocations per request does not depend on the number of leased nodes", t, func() {
		allocations := func(h *harness) float64 {
			request := UpdateRequest{Node: "d0", Kind: model.KindProxy, Version: h.Snapshot().Version}
			return testing.AllocsPerRun(100, func() {
				h.HandleRequest(request, 1, h.now)
				h.Flush(true, IdleLinks{}, h.wallNanos, h.now+DefaultPollTimeout)
			})
		}
		So(allocations(many), ShouldEqual, allocations(few))
	})
	Convey("The number of allocations for gathering evidence does not depend on the number of nodes that report on other databases", t, func() {
		allocations := func(h *harness) float64 {
			observed := instance("a0", model.RolePrimary)
			observed.Database = "db0"
			return testing.AllocsPerRun(100, func() {
				h.SyncFailoverEvidence("db0", []Observation{{Instance: observed, ObservedAt: h.now}}, h.wallNanos, h.now)
				h.AsyncFailoverEvidence("db0", []Observation{{Instance: observed, ObservedAt: h.now}}, h.wallNanos, h.now)
			})
		}
		So(allocations(many), ShouldEqual, allocations(few))
	})
	Convey("The reports of a node are deleted when the node is removed", t, func() {
		So(len(few.reports.byInstance["a3"]), ShouldEqual, 1)
		few.advance(nodeRetention + time.Minute)
		few.runWrites()
		So(few.reports.byInstance["a3"], ShouldBeEmpty)
	})
}
