package distribution

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestReportsBesideRequests(t *testing.T) {
	Convey("A report sent while a request is pending adds evidence and updates the position, but no other field of the instance, since it may be delayed", t, func() {
		h := newHarnessWithNodes(2)
		delayed := instance("a0", model.RolePrimary)
		delayed.Database, delayed.Address, delayed.Position = "db0", "old:1", model.Position{Term: 1, Index: 8}
		h.HandleReport(NodeReport{Node: "d0", Reports: []InstanceReport{{Instance: delayed, RefusedConnections: 2}}}, h.now)
		h.HandleReport(NodeReport{Node: "d0", Reports: []InstanceReport{{Instance: model.Instance{Name: "unknown"}}}}, h.now)
		evidence := h.SyncFailoverEvidence("db0", nil, h.wallNanos, h.now)
		So(len(evidence.Observations), ShouldEqual, 1)
		So(evidence.Observations[0].Instance.Address, ShouldEqual, "a0:1")
		So(evidence.Observations[0].Instance.Position.Index, ShouldEqual, 8)
		So(evidence.Observations[0].RefusedNodes, ShouldEqual, 1)
	})
}
