package distribution

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func TestInstancePosition(t *testing.T) {
	Convey("The position of an instance is the one from its latest response with a position, even if another node has since received a response without one", t, func() {
		h := newHarness(1, store.New())
		h.request("d1", store.Version{})
		h.request("d2", store.Version{})
		report := func(index uint64, responseAge, positionAge time.Duration) []InstanceReport {
			instance := model.Instance{Name: "r", Database: "x", Incarnation: "b", Position: model.Position{Term: 1, Index: index}}
			return []InstanceReport{{Instance: instance, AnnouncementAge: 390 * time.Millisecond, ResponseAge: responseAge, PositionAge: positionAge}}
		}
		h.HandleReport(NodeReport{Node: "d1", Reports: report(9, 80*time.Millisecond, 80*time.Millisecond)}, h.now)
		h.HandleReport(NodeReport{Node: "d2", Reports: report(4, 10*time.Millisecond, 390*time.Millisecond)}, h.now)
		observations := []Observation{{Instance: report(4, 0, 0)[0].Instance, ObservedAt: h.now - 390*time.Millisecond}}
		observation := h.AsyncFailoverEvidence("x", observations, h.wallNanos, h.now).Observations[0]
		So(observation.Instance.Position.Index, ShouldEqual, 9)
		So(observation.ContactAge, ShouldEqual, 10*time.Millisecond)
		So(observation.PositionAge, ShouldEqual, 80*time.Millisecond)
		h.HandleReport(NodeReport{Node: "d1"}, h.now)
		recentObservations := []Observation{{Instance: observations[0].Instance, ObservedAt: h.now}}
		So(h.AsyncFailoverEvidence("x", recentObservations, h.wallNanos, h.now).Observations[0].PositionAge, ShouldEqual, time.Hour)
	})
}
