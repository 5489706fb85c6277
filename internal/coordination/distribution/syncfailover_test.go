package distribution

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func TestSyncObservations(t *testing.T) {
	report := func(h *harness, node string, observed InstanceReport) {
		observed.Instance = instance("a", model.RolePrimary)
		h.HandleRequest(UpdateRequest{Node: node, Kind: model.KindProxy, Version: h.stored.Version, Reports: []InstanceReport{observed}}, 1, h.now)
		h.runWrites()
		h.flush()
	}
	Convey("Leased nodes with evidence from the last second are counted by what they observed", t, func() {
		h := newHarness(1, store.New())
		h.openTerm(3)
		for range 2 {
			report(h, "d1", InstanceReport{ResponseAge: time.Hour, RefusedConnections: 2})
			report(h, "d2", InstanceReport{ResponseAge: 1500 * time.Millisecond, OldestStatementAge: 1400 * time.Millisecond})
			report(h, "d3", InstanceReport{ResponseAge: 400 * time.Millisecond})
			report(h, "d4", InstanceReport{ResponseAge: time.Hour})
			h.advance(DefaultPollTimeout)
			h.flush()
		}
		observation := h.evidence().Observations[0]
		So(observation.ReportingNodes, ShouldEqual, 3)
		So(observation.RefusedNodes, ShouldEqual, 1)
		So(observation.OverdueNodes, ShouldEqual, 1)
		So(observation.AnswerAge, ShouldEqual, 400*time.Millisecond+DefaultPollTimeout)
		h.advance(1100 * time.Millisecond)
		So(h.evidence().Observations[0].ReportingNodes, ShouldEqual, 0)
		So(h.evidence().Observations[0].UnobservedFor, ShouldEqual, 1100*time.Millisecond+DefaultPollTimeout)
	})
	Convey("The report of a node without a lease does not count as evidence", t, func() {
		h := newHarness(1, store.New())
		h.openTerm(3)
		h.HandleReport(NodeReport{Node: "d9", Reports: []InstanceReport{{Instance: instance("a", model.RolePrimary), RefusedConnections: 5, ResponseAge: time.Hour}}}, h.now)
		So(h.evidence().Observations[0].ReportingNodes, ShouldEqual, 0)
	})
	Convey("Instances that were reported only by nodes are included", t, func() {
		h := newHarness(1, store.New())
		h.openTerm(3)
		report(h, "d1", InstanceReport{ResponseAge: 100 * time.Millisecond})
		evidence := h.SyncFailoverEvidence("db", nil, h.wallNanos, h.now)
		So(len(evidence.Observations), ShouldEqual, 1)
		So(evidence.Observations[0].Instance.Address, ShouldEqual, "a:1")
	})
	Convey("A phase is settled once every leased node has applied it, and stays settled when only the reason is written", t, func() {
		h := newHarness(1, store.New())
		h.openTerm(3)
		h.request("d1", store.Version{})
		h.request("d1", h.stored.Version)
		closeTerm := func(reason string) {
			h.put(syncWriterPut(model.WriterRole{Database: "db", Term: 3, Primary: "a", Phase: model.PhaseClosing, LastTransitionAt: 5, Reason: reason}))
		}
		closeTerm("one")
		So(h.evidence().Settled, ShouldBeFalse)
		h.receive("d1", h.stored.Version)
		So(h.evidence().Settled, ShouldBeTrue)
		closeTerm("two")
		h.advance(100 * time.Millisecond)
		evidence := h.evidence()
		So(evidence.Settled, ShouldBeTrue)
		So(evidence.SettledFor, ShouldEqual, 100*time.Millisecond)
	})
}
