package httppool

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestDrain(t *testing.T) {
	Convey("A draining node rejects queued and new requests, finishes requests in flight, and lets open transactions continue", t, func() {
		h := newHarness(8)
		inFlight, inTransaction, idle := h.openSession("x", "a"), h.openSession("x", "b"), h.openSession("x", "c")
		h.submit(inTransaction, "begin", Op{Kind: OpBegin})
		h.reply(Reply{InTransaction: true})
		h.submit(inFlight, "in flight", write(inFlight+".1"))
		queued := h.openSession("y", "d")
		h.unresponsive["y0"] = true
		h.submit(queued, "queued", write(queued+".1"))
		So(h.ActiveSessions(), ShouldEqual, 3)

		h.Drain(h.now)
		h.applyEffects()
		ready, reason := h.Ready(h.now)
		So(ready, ShouldBeFalse)
		So(reason, ShouldEqual, "stopping")
		So(h.results["queued"].Outcome, ShouldEqual, OutcomeNotCommitted)
		So(h.results["queued"].SessionClosed, ShouldBeTrue)
		h.submit(idle, "new", write(idle+".1"))
		So(h.results["new"].Outcome, ShouldEqual, OutcomeNotCommitted)
		So(h.results["new"].SessionClosed, ShouldBeTrue)

		position := model.Position{Term: 1, Index: 3}
		h.reply(Reply{Clean: true, Position: position})
		h.replicate("x1", position)
		So(h.results["in flight"].Outcome, ShouldEqual, OutcomeCommitted)
		h.submit(inTransaction, "rollback", Op{Kind: OpRollback})
		h.reply(Reply{Clean: true})
		So(h.results["rollback"].Outcome, ShouldEqual, OutcomeDone)
		So(h.ActiveSessions(), ShouldEqual, 0)
		So(h.EndDrain(h.now), ShouldBeLessThan, 4)
	})
	Convey("A draining node tells a request that waits for a lease that it stops, and ends the session", t, func() {
		h := newHarness(8)
		sessionID := h.openSession("x", "a")
		h.phase = ""
		h.advance(2 * time.Second)
		h.submit(sessionID, "waiting", write(sessionID+".1"))
		h.Drain(h.now)
		h.applyEffects()
		So(h.results["waiting"].Outcome, ShouldEqual, OutcomeNotCommitted)
		So(h.results["waiting"].Error, ShouldEqual, drainingResult.Error)
		So(h.results["waiting"].SessionClosed, ShouldBeTrue)
	})
}

func TestDrainEndAnswersAll(t *testing.T) {
	// Guards against requests that a stopping proxy has accepted and whose
	// connections it closes without an answer.
	for _, phase := range unansweredPhases {
		Convey("At the end of a drain a request that is "+phase.name+" is answered, and its session ends", t, func() {
			h := newHarness(8)
			sessionID := h.openSession("x", "a")
			phase.reach(h, sessionID, sessionID+".1")
			h.Drain(h.now)
			h.EndDrain(h.now)
			h.applyEffects()
			result, answered := h.results["t"]
			So(answered, ShouldBeTrue)
			So(result.Outcome, ShouldEqual, phase.outcome)
			So(result.Error, ShouldNotContainSubstring, "deadline")
			So(result.RetryAfter, ShouldBeGreaterThan, 0)
			So(result.SessionClosed, ShouldBeTrue)
			So(h.ActiveSessions(), ShouldEqual, 0)
		})
	}
	Convey("At the end of a drain a statement of a transaction is answered, and the transaction is rolled back", t, func() {
		h := newHarness(8)
		sessionID := h.openSession("x", "a")
		h.submit(sessionID, "begin", Op{Kind: OpBegin})
		h.reply(Reply{InTransaction: true})
		h.Drain(h.now)
		h.submit(sessionID, "t", Op{Kind: OpRun, Text: "w", Write: true})
		conn := h.sent[0].Conn
		So(h.ActiveSessions(), ShouldEqual, 1)
		h.EndDrain(h.now)
		h.applyEffects()
		So(h.results["t"].Outcome, ShouldEqual, OutcomeNotCommitted)
		So(h.results["t"].SessionClosed, ShouldBeTrue)
		So(slices.Contains(h.closedConns, conn), ShouldBeTrue)
		h.submit(sessionID, "late", Op{Kind: OpCommit, RequestID: sessionID + ".2"})
		So(h.results["late"].Cause, ShouldEqual, ErrNoSession)
	})
	Convey("A late answer of an instance does not change what a request was told at the end of a drain", t, func() {
		h := newHarness(8)
		sessionID := h.openSession("x", "a")
		h.submit(sessionID, "t", write(sessionID+".1"))
		h.Drain(h.now)
		h.EndDrain(h.now)
		h.applyEffects()
		So(h.results["t"].Outcome, ShouldEqual, OutcomeUnknown)
		h.reply(Reply{Clean: true, Position: model.Position{Term: 1, Index: 3}})
		So(h.results["t"].Outcome, ShouldEqual, OutcomeUnknown)
	})
}
