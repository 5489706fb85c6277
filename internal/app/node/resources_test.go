package node

import (
	"net/http"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/app/config"
)

func TestGauges(t *testing.T) {
	Convey("The counters call returns the gauges of a node with its counters", t, func() {
		n, err := New("seamd", config.Config{Name: "n1"}, hclog.NewNullLogger())
		So(err, ShouldBeNil)
		value := int64(7)
		n.AddGauge("queue_bytes", func() int64 { return value })
		n.Counters.Add("events", 2)
		value = 8
		status, answer := n.onCounters(nil, nil, nil)
		So(status, ShouldEqual, http.StatusOK)
		So(answer, ShouldResemble, countersResponse{Node: "n1", Counters: map[string]int64{"events": 2, "queue_bytes": 8}})
	})
	Convey("A runtime metric that does not exist is read as 0, and the memory metrics are positive", t, func() {
		So(readMetric("/no/such:bytes"), ShouldEqual, 0)
		So(readMetric(metricObjects), ShouldBeGreaterThan, 0)
		So(readMetric(metricTotal), ShouldBeGreaterThan, readMetric(metricObjects))
	})
}
