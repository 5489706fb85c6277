package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

func TestClosing(t *testing.T) {
	Convey("Open transactions are aborted when the term closes: at once if a statement is in flight, else at the next statement", t, func() {
		h := newHarness(20)
		working, idle, committing := h.client("strict"), h.client("strict"), h.client("strict")
		for _, client := range []*Client{working, idle, committing} {
			h.query(client, begin())
			h.query(client, write("1"))
			h.answerSend(h.answerBegin(), lineproto.StateInTransaction, done("w"))
		}
		h.query(working, write("2"))
		inFlight := h.nextSend()
		h.setWriter(model.PhaseClosing, "a", 3)
		So(h.lastResponse(working), ShouldEqual, "ERROR ABORTED / READY E")
		So(inFlight.Conn.IsClosed(), ShouldBeTrue)
		So(h.lastResponse(idle), ShouldEqual, "DONE w / READY T")
		h.query(idle, write("3"))
		So(h.lastResponse(idle), ShouldEqual, "ERROR ABORTED / READY E")
		h.query(idle, rollback())
		So(h.lastResponse(idle), ShouldEqual, "DONE - / READY I")
		h.query(committing, commit())
		So(h.lastResponse(committing), ShouldEqual, "ERROR ABORTED / READY I")
		So(h.sends, ShouldBeEmpty)
		So(h.invariantViolation(), ShouldEqual, "")
	})
	Convey("When the term closes, a read-only transaction continues at a replica and at the former primary", t, func() {
		h := newHarness(20)
		h.samplePosition()
		for _, name := range []string{"stale", "strict"} {
			client := h.client(name)
			h.query(client, beginRead())
			h.query(client, read("1"))
			h.answerSend(h.answerBegin(), lineproto.StateInTransaction, done("s"))
			defer func() {
				h.query(client, read("2"))
				h.answerSend(h.nextSend(), lineproto.StateInTransaction, done("s2"))
				So(h.lastResponse(client), ShouldEqual, "DONE s2 / READY T")
			}()
		}
		h.setWriter(model.PhaseClosing, "a", 3)
	})
	Convey("A transaction whose begin is in flight when the term closes is retried or aborted", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, begin())
		h.query(client, write("1"))
		h.nextSend()
		h.setWriter(model.PhaseClosing, "a", 3)
		So(h.lastResponse(client), ShouldBeIn, "DONE - / READY T", "ERROR ABORTED / READY E")
		So(h.invariantViolation(), ShouldEqual, "")
	})
	Convey("A transaction is aborted in a later term of its primary, even if the node did not observe the terms between", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, begin())
		h.query(client, write("1"))
		h.answerSend(h.answerBegin(), lineproto.StateInTransaction, done("w"))
		h.setWriter(model.PhaseOpen, "a", 5)
		h.query(client, write("2"))
		So(h.lastResponse(client), ShouldEqual, "ERROR ABORTED / READY E")
		So(h.sends, ShouldBeEmpty)
	})
	Convey("Statements of an open transaction wait while there is no lease", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, begin())
		h.query(client, write("1"))
		h.answerSend(h.answerBegin(), lineproto.StateInTransaction, done("w"))
		h.advance(1700 * time.Millisecond)
		h.query(client, commit())
		So(h.sends, ShouldBeEmpty)
		h.update(leaseDuration)
		So(formatCommands(h.nextSend()), ShouldEqual, "commit")
	})
}

func TestObservations(t *testing.T) {
	Convey("A primary with overdue answers is reported at once, and a second time when they are overdue for longer", t, func() {
		h := newHarness(20)
		client := h.client("strict")
		h.query(client, write("1"))
		h.advanceInTicks(275 * time.Millisecond)
		So(h.reports, ShouldEqual, 0)
		h.advanceInTicks(50 * time.Millisecond)
		So(h.reports, ShouldEqual, 1)
		h.advanceInTicks(275 * time.Millisecond)
		So(h.reports, ShouldEqual, 1)
		h.advanceInTicks(50 * time.Millisecond)
		So(h.reports, ShouldEqual, 2)
		report := h.Observations(h.now).Reports[0]
		So(report.OldestStatementAge, ShouldBeGreaterThan, 600*time.Millisecond)
		So(report.ResponseAge, ShouldBeGreaterThan, 600*time.Millisecond)
	})
	Convey("The instance that is being promoted is reported, so that a new control primary receives its address", t, func() {
		h := newHarness(20)
		So(len(h.Observations(h.now).Reports), ShouldEqual, 2)
		h.snapshot.Writers["x"] = model.WriterRole{Database: "x", Term: 3, Primary: "a", Promoting: "b", Phase: model.PhasePromoting, SyncReplication: true}
		h.update(leaseDuration)
		names := []string{}
		for _, report := range h.Observations(h.now).Reports {
			names = append(names, report.Instance.Name+" "+report.Instance.Address)
		}
		So(names, ShouldResemble, []string{"a a:1", "b b:1", "d d:1"})
	})
	Convey("A primary that refuses connections is reported at once", t, func() {
		h := newHarness(20)
		h.manualOpen = true
		h.query(h.client("strict"), write("1"))
		h.loseConn(h.opens[0].Conn)
		h.advance(time.Millisecond)
		So(h.reports, ShouldEqual, 1)
		So(h.Observations(h.now).Reports[0].RefusedConnections, ShouldEqual, 1)
	})
	Convey("An update request contains the node's list version, its incarnation and its active set", t, func() {
		h := newHarness(20)
		request := h.UpdateRequest(h.now)
		So(request.ListVersion, ShouldResemble, distribution.ListVersion{Tenure: "t", Number: 1})
		So(request.Incarnation, ShouldEqual, 1)
		So(request.ActiveSequence, ShouldEqual, 1)
		So(request.Node, ShouldEqual, "d1")
	})
}
