package httppool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

// unansweredPhases are the phases of a request with the token t that has not been
// answered. reach submits the request in a session, with a request id, and brings it
// into the phase. outcome is its outcome if it ends there.
var unansweredPhases = []struct {
	name    string
	outcome Outcome
	reach   func(*harness, string, string) *Request
}{
	{"accepted", OutcomeNotCommitted, func(h *harness, sessionID, id string) *Request {
		return h.accept(sessionID, "t", write(id), time.Second)
	}},
	{"without a lease", OutcomeNotCommitted, func(h *harness, sessionID, id string) *Request {
		h.phase = ""
		h.advance(2 * time.Second)
		return h.submit(sessionID, "t", write(id))
	}},
	{"asking another node", OutcomeUnknown, func(h *harness, sessionID, _ string) *Request { return h.submit(sessionID, "t", write("d2~1~1.1")) }},
	{"waiting for the first attempt", OutcomeUnknown, func(h *harness, sessionID, id string) *Request {
		h.submit(h.openSession("x", "other"), "first", write(id))
		return h.submit(sessionID, "t", write(id))
	}},
	{"queued", OutcomeNotCommitted, func(h *harness, sessionID, id string) *Request {
		h.phase = model.PhaseClosing
		h.update()
		return h.submit(sessionID, "t", write(id))
	}},
	{"in flight", OutcomeUnknown, func(h *harness, sessionID, id string) *Request { return h.submit(sessionID, "t", write(id)) }},
	{"unconfirmed", OutcomeUnknown, func(h *harness, sessionID, id string) *Request {
		request := h.submit(sessionID, "t", write(id))
		h.reply(Reply{Clean: true, Position: model.Position{Term: 1, Index: 9}})
		return request
	}},
	{"a read in flight", OutcomeNotCommitted, func(h *harness, sessionID, _ string) *Request {
		return h.submit(sessionID, "t", Op{Kind: OpRun, Text: "r"})
	}},
}

func TestDeadlineInEachPhase(t *testing.T) {
	Convey("A request that is cancelled at its deadline is answered at once in each phase, with its outcome and a time to retry", t, func() {
		for _, phase := range unansweredPhases {
			h := newHarness(8)
			sessionID := h.openSession("x", "a")
			request := phase.reach(h, sessionID, sessionID+".1")
			_, responded := h.results["t"]
			SoMsg(phase.name, responded, ShouldBeFalse)
			h.cancel(request)
			result := h.results["t"]
			SoMsg(phase.name, result.Outcome, ShouldEqual, phase.outcome)
			SoMsg(phase.name, result.RetryAfter, ShouldBeGreaterThan, 0)
			_, _, accepted := h.Accept(sessionID, write(sessionID+".2"), 0, "next", h.now)
			SoMsg(phase.name+": the session is still open", accepted, ShouldBeTrue)
		}
	})
	Convey("If a request is cancelled before Bind, a retry with its request id is executed as a new request", t, func() {
		h := newHarness(8)
		sessionID := h.openSession("x", "a")
		request := h.accept(sessionID, "t", write(sessionID+".1"), time.Second)
		h.cancel(request)
		h.Bind(request, h.now)
		h.applyEffects()
		So(h.sent, ShouldBeEmpty)
		h.submit(sessionID, "retry", write(sessionID+".1"))
		So(len(h.sent), ShouldEqual, 1)
	})
	Convey("If a request is cancelled between Bind and Enqueue, it is not sent and its request id is recorded as not committed", t, func() {
		h := newHarness(8)
		sessionID := h.openSession("x", "a")
		request := h.accept(sessionID, "t", write(sessionID+".1"), time.Second)
		h.Bind(request, h.now)
		h.Cancel(request, h.now)
		h.applyEffects()
		So(h.sent, ShouldBeEmpty)
		h.submit(sessionID, "retry", write(sessionID+".1"))
		So(h.results["retry"].Outcome, ShouldEqual, OutcomeNotCommitted)
	})
}
