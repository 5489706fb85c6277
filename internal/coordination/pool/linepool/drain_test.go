package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
)

func TestDrain(t *testing.T) {
	Convey("A draining node is unready at once, serves for the linger time, and then closes sessions as they become idle", t, func() {
		h := newHarness(20)
		isReady, _ := h.Ready(h.now)
		So(isReady, ShouldBeTrue)
		idle, busy := h.client("strict"), h.client("strict")
		h.Drain(h.now)
		isReady, reason := h.Ready(h.now)
		So(isReady, ShouldBeFalse)
		So(reason, ShouldEqual, "stopping")
		h.advanceInTicks(2200 * time.Millisecond)
		So(h.closedClients[idle], ShouldBeFalse)
		h.query(busy, write("1"))
		send := h.nextSend()
		h.advanceInTicks(200 * time.Millisecond)
		So(h.closedClients[idle], ShouldBeTrue)
		So(h.closedClients[busy], ShouldBeFalse)
		h.answerSend(send, lineproto.StateIdle, done("w"))
		So(h.lastResponse(busy), ShouldEqual, "DONE w / READY I")
		h.advanceInTicks(50 * time.Millisecond)
		So(h.closedClients[busy], ShouldBeTrue)
		So(h.IsDrained(), ShouldBeTrue)
	})
	Convey("An open transaction may continue after the linger time, and is later rolled back if it is idle", t, func() {
		h := newHarness(20)
		client, other := h.client("strict"), h.client("strict")
		for _, transactionClient := range []*Client{client, other} {
			h.query(transactionClient, begin())
			h.query(transactionClient, write("1"))
			h.answerSend(h.answerBegin(), lineproto.StateInTransaction, done("w"))
		}
		h.Drain(h.now)
		h.advanceInTicks(2500 * time.Millisecond)
		So(h.closedClients[client], ShouldBeFalse)
		h.query(client, commit())
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("k"))
		So(h.lastResponse(client), ShouldEqual, "DONE k / READY I")
		h.advanceInTicks(500 * time.Millisecond)
		So(h.closedClients[client], ShouldBeTrue)
		So(h.closedClients[other], ShouldBeTrue)
		So(formatCommands(h.nextSend()), ShouldEqual, "rollback")
		So(h.IsDrained(), ShouldBeTrue)
	})
	Convey("A session with a statement in flight is closed only at the end of the drain", t, func() {
		h := newPatientHarness()
		client := h.client("strict")
		h.query(client, write("1"))
		h.Drain(h.now)
		h.advanceInTicks(5300 * time.Millisecond)
		So(h.closedClients[client], ShouldBeFalse)
		h.advanceInTicks(200 * time.Millisecond)
		So(h.closedClients[client], ShouldBeTrue)
		So(h.invariantViolation(), ShouldEqual, "")
	})
}

// newPatientHarness returns a harness whose statements time out only after a
// drain has ended.
func newPatientHarness() *harness {
	h := newHarness(20)
	for index := range h.snapshot.Sets[0].Bindings {
		h.snapshot.Sets[0].Bindings[index].Timeout = 30 * time.Second
	}
	h.update(leaseDuration)
	return h
}

// inTransaction connects a client and has it write in a transaction.
func (h *harness) inTransaction() *Client {
	client := h.client("strict")
	h.query(client, begin())
	h.query(client, write("1"))
	h.answerSend(h.answerBegin(), lineproto.StateInTransaction, done("w"))
	return client
}

// fillWindow has other clients use up the window of an instance.
func (h *harness) fillWindow(name, binding string) {
	for h.instance(name).window.HasRoom() {
		h.query(h.client(binding), write("other"))
	}
}

// drainEndCases are sessions that wait for an answer until the end of a drain.
// arrange returns the session and leaves the queries of the session unanswered.
var drainEndCases = []struct {
	name    string
	arrange func(h *harness) *Client
	// answers are the answers to the queries. last is the error that follows them
	// and ends the session.
	answers []string
	last    string
}{
	{
		name: "a queued statement",
		arrange: func(h *harness) *Client {
			h.fillWindow("a", "strict")
			client := h.client("strict")
			h.query(client, write("1"))
			return client
		},
		answers: []string{"ERROR BUSY / READY I"},
		last:    "ERROR BUSY",
	},
	{
		name: "statements that are pipelined behind a queued one",
		arrange: func(h *harness) *Client {
			h.fillWindow("a", "strict")
			client := h.client("strict")
			for _, query := range []Query{write("1"), read("2"), begin(), write("3"), commit()} {
				h.query(client, query)
			}
			return client
		},
		answers: []string{
			"ERROR BUSY / READY I", "ERROR BUSY / READY I", "ERROR BUSY / READY I", "ERROR BUSY / READY I", "ERROR BUSY / READY I",
		},
		last: "ERROR BUSY",
	},
	{
		name: "a read in flight",
		arrange: func(h *harness) *Client {
			client := h.client("strict")
			h.query(client, read("1"))
			return client
		},
		answers: []string{"ERROR TIMEOUT / READY I"},
		last:    "ERROR BUSY",
	},
	{
		name: "a single write in flight",
		arrange: func(h *harness) *Client {
			client := h.client("strict")
			h.query(client, write("1"))
			return client
		},
		answers: []string{"ERROR UNKNOWN / READY I"},
		last:    "ERROR BUSY",
	},
	{
		name: "a statement in flight in a transaction, with the rest of the transaction pipelined behind it",
		arrange: func(h *harness) *Client {
			client := h.inTransaction()
			for _, query := range []Query{write("2"), commit(), write("3")} {
				h.query(client, query)
			}
			return client
		},
		answers: []string{"ERROR ABORTED / READY E", "ERROR ABORTED / READY I", "ERROR BUSY / READY I"},
		last:    "ERROR BUSY",
	},
	{
		name: "a queued statement of a transaction",
		arrange: func(h *harness) *Client {
			client := h.inTransaction()
			h.fillWindow("a", "strict")
			h.query(client, write("2"))
			return client
		},
		answers: []string{"ERROR ABORTED / READY E"},
		last:    "ERROR ABORTED",
	},
	{
		name: "the first statement of a transaction, whose begin is in flight",
		arrange: func(h *harness) *Client {
			client := h.client("strict")
			h.query(client, begin())
			h.query(client, write("1"))
			return client
		},
		answers: []string{"ERROR ABORTED / READY E"},
		last:    "ERROR ABORTED",
	},
	{
		name: "a commit in flight",
		arrange: func(h *harness) *Client {
			client := h.inTransaction()
			h.query(client, commit())
			return client
		},
		answers: []string{"ERROR UNKNOWN / READY I"},
		last:    "ERROR BUSY",
	},
}

func TestDrainEndAnswersAll(t *testing.T) {
	// Guards against statements that a stopping proxy has read and cuts off
	// without an answer (LOST).
	for _, test := range drainEndCases {
		Convey("At the end of a drain the node answers "+test.name+" and then closes the session", t, func() {
			h := newPatientHarness()
			client := test.arrange(h)
			answered := h.responseCount(client)
			h.Drain(h.now)
			h.advanceInTicks(5300 * time.Millisecond)
			So(h.responses[client][answered:], ShouldBeEmpty)
			h.advanceInTicks(200 * time.Millisecond)
			So(h.responses[client][answered:], ShouldResemble, append(test.answers, test.last))
			So(h.closedClients[client], ShouldBeTrue)
			So(h.IsDrained(), ShouldBeTrue)
			So(h.invariantViolation(), ShouldEqual, "")
		})
	}
}

// advanceWithoutLease advances the time in ticks, without a new lease.
func (h *harness) advanceWithoutLease(span time.Duration) {
	for end := h.now + span; h.now < end; {
		h.advance(min(25*time.Millisecond, end-h.now))
	}
}

func TestDrainEndWithoutLease(t *testing.T) {
	// Guards against statements that a stopping proxy has read and cuts off
	// without an answer (LOST), while it has no lease.
	Convey("At the end of a drain a commit that waits for its confirmation ends with an unknown outcome", t, func() {
		h := newPatientHarness()
		client := h.client("strict")
		h.query(client, write("1"))
		send := h.nextSend()
		h.Drain(h.now)
		h.advanceInTicks(3 * time.Second)
		h.advanceWithoutLease(2 * time.Second)
		h.answerSend(send, lineproto.StateIdle, done("k"))
		So(h.responseCount(client), ShouldEqual, 1)
		h.advanceWithoutLease(500 * time.Millisecond)
		So(h.responses[client][1:], ShouldResemble, []string{"ERROR UNKNOWN / READY I", "ERROR BUSY"})
		So(h.closedClients[client], ShouldBeTrue)
		So(h.invariantViolation(), ShouldEqual, "")
	})
	Convey("At the end of a drain a statement that waits for a lease is rejected, and its transaction is rolled back", t, func() {
		h := newPatientHarness()
		client := h.inTransaction()
		h.query(client, write("2"))
		send := h.nextSend()
		h.Drain(h.now)
		h.advanceInTicks(3500 * time.Millisecond)
		h.advanceWithoutLease(1750 * time.Millisecond)
		h.answerSend(send, lineproto.StateInTransaction, done("w"))
		h.query(client, write("3"))
		So(h.lastResponse(client), ShouldEqual, "DONE w / READY T")
		h.advanceWithoutLease(250 * time.Millisecond)
		So(h.responses[client][4:], ShouldResemble, []string{"ERROR ABORTED / READY E", "ERROR ABORTED"})
		So(h.closedClients[client], ShouldBeTrue)
		So(h.invariantViolation(), ShouldEqual, "")
	})
}

func TestDrainEndsBusySessions(t *testing.T) {
	// Guards against a stopping proxy that takes new work from busy sessions until
	// it closes them, and cannot finish it in time (LOST).
	afterHalf := 3100 * time.Millisecond
	Convey("A session whose client sends its next statement at once is served during the first half of the drain, and then rejected and closed", t, func() {
		h := newPatientHarness()
		client := h.client("strict")
		h.query(client, read("1"))
		h.Drain(h.now)
		for elapsed := time.Duration(0); elapsed < 2900*time.Millisecond; elapsed += 25 * time.Millisecond {
			h.advanceInTicks(25 * time.Millisecond)
			h.answerSend(h.nextSend(), lineproto.StateIdle, done("r"))
			So(h.lastResponse(client), ShouldEqual, "DONE r / READY I")
			h.query(client, read("1"))
		}
		So(h.closedClients[client], ShouldBeFalse)
		h.advanceInTicks(200 * time.Millisecond)
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("last"))
		So(h.lastResponse(client), ShouldEqual, "DONE last / READY I")
		h.query(client, read("1"))
		So(h.sends, ShouldBeEmpty)
		So(h.lastResponse(client), ShouldEqual, "ERROR BUSY / READY I")
		h.query(client, begin())
		So(h.responses[client][h.responseCount(client)-2:], ShouldResemble, []string{"ERROR BUSY / READY I", "ERROR BUSY / READY I"})
		So(h.closedClients[client], ShouldBeFalse)
		h.EndInput(client, h.now)
		h.applyEffects()
		So(h.closedClients[client], ShouldBeTrue)
		So(h.IsDrained(), ShouldBeTrue)
	})
	Convey("In the second half of the drain a statement that was read before is served, and the queries behind it are rejected", t, func() {
		h := newPatientHarness()
		h.fillWindow("a", "strict")
		others := h.sends
		client := h.client("strict")
		h.query(client, read("1"))
		h.query(client, read("2"))
		h.Drain(h.now)
		h.advanceInTicks(afterHalf)
		h.sends = nil
		h.answerSend(others[0], lineproto.StateIdle, done("w"))
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("r"))
		So(h.responses[client][1:], ShouldResemble, []string{"DONE r / READY I", "ERROR BUSY / READY I", "ERROR BUSY"})
		So(h.closedClients[client], ShouldBeTrue)
	})
	Convey("In the second half of the drain an open transaction that is in use may still commit, and its session is then closed", t, func() {
		h := newPatientHarness()
		client := h.inTransaction()
		h.query(client, write("2"))
		send := h.nextSend()
		h.Drain(h.now)
		h.advanceInTicks(afterHalf)
		h.answerSend(send, lineproto.StateInTransaction, done("w"))
		h.query(client, commit())
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("k"))
		So(h.lastResponse(client), ShouldEqual, "DONE k / READY I")
		h.advanceInTicks(50 * time.Millisecond)
		So(h.closedClients[client], ShouldBeTrue)
	})
	Convey("A session is closed only once it has been idle for a moment, so that its next statement does not cross with the close", t, func() {
		h := newPatientHarness()
		client := h.client("strict")
		h.Drain(h.now)
		h.advanceInTicks(2500 * time.Millisecond)
		So(h.lastResponse(client), ShouldEqual, "ERROR BUSY")
		So(h.closedClients[client], ShouldBeTrue)
		late := h.client("strict")
		So(h.lastResponse(late), ShouldEqual, "READY I")
		h.advanceInTicks(25 * time.Millisecond)
		So(h.closedClients[late], ShouldBeFalse)
		h.query(late, read("1"))
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("r"))
		h.advanceInTicks(25 * time.Millisecond)
		So(h.closedClients[late], ShouldBeFalse)
		h.advanceInTicks(25 * time.Millisecond)
		So(h.closedClients[late], ShouldBeTrue)
	})
	Convey("In the second half of the drain a new session is rejected", t, func() {
		h := newPatientHarness()
		h.Drain(h.now)
		h.advanceInTicks(afterHalf)
		client := h.client("strict")
		So(h.lastResponse(client), ShouldEqual, "ERROR BUSY")
		So(h.closedClients[client], ShouldBeTrue)
		So(h.IsDrained(), ShouldBeTrue)
	})
}

func TestDrainAnswersConnects(t *testing.T) {
	// Guards against a connect request that waits for a lease and whose session a
	// stopping proxy closes as idle, without an answer.
	Convey("Given a draining node that loses its lease, and a connect request that waits for a lease", t, func() {
		h := newPatientHarness()
		h.Drain(h.now)
		h.advanceInTicks(600 * time.Millisecond)
		h.advanceWithoutLease(leaseDuration + 25*time.Millisecond)
		client := h.client("strict")
		h.advanceWithoutLease(200 * time.Millisecond)
		So(h.responses[client], ShouldBeEmpty)
		So(h.closedClients[client], ShouldBeFalse)
		Convey("It is rejected once it has waited for too long", func() {
			h.advanceWithoutLease(600 * time.Millisecond)
			So(h.responses[client], ShouldResemble, []string{"ERROR BUSY"})
			So(h.closedClients[client], ShouldBeTrue)
		})
		Convey("It is accepted if the lease returns, and its session is closed once it is idle", func() {
			h.advanceInTicks(25 * time.Millisecond)
			So(h.responses[client], ShouldResemble, []string{"READY I"})
			So(h.closedClients[client], ShouldBeFalse)
			h.advanceInTicks(75 * time.Millisecond)
			So(h.closedClients[client], ShouldBeTrue)
		})
	})
}

func TestDrainLeavesTransactionsHalfOfGrace(t *testing.T) {
	// Guards against a stopping proxy that closes a session which rests in a
	// transaction before half of the grace period is over, or without an answer.
	Convey("Given a session that rests in a transaction on a draining node", t, func() {
		h := newPatientHarness()
		client := h.inTransaction()
		h.Drain(h.now)
		h.advanceInTicks(2975 * time.Millisecond)
		So(h.closedClients[client], ShouldBeFalse)
		Convey("It may commit until half of the grace period is over", func() {
			h.query(client, commit())
			h.answerSend(h.nextSend(), lineproto.StateIdle, done("k"))
			So(h.lastResponse(client), ShouldEqual, "DONE k / READY I")
		})
		Convey("It is then rolled back, the client is told so, and the session is closed", func() {
			h.advanceInTicks(25 * time.Millisecond)
			So(h.lastResponse(client), ShouldEqual, "ERROR ABORTED")
			So(h.closedClients[client], ShouldBeTrue)
			So(formatCommands(h.nextSend()), ShouldEqual, "rollback")
		})
	})
	Convey("After half of the grace period a transaction that is in use is not ended between two statements", t, func() {
		h := newPatientHarness()
		client := h.inTransaction()
		h.query(client, write("2"))
		h.Drain(h.now)
		h.advanceInTicks(3500 * time.Millisecond)
		h.answerSend(h.nextSend(), lineproto.StateInTransaction, done("w"))
		h.advanceInTicks(225 * time.Millisecond)
		So(h.closedClients[client], ShouldBeFalse)
		h.query(client, write("3"))
		h.answerSend(h.nextSend(), lineproto.StateInTransaction, done("w"))
		h.advanceInTicks(250 * time.Millisecond)
		So(h.lastResponse(client), ShouldEqual, "ERROR ABORTED")
		So(h.closedClients[client], ShouldBeTrue)
	})
	Convey("A session that waits for the end of a failed transaction is closed with an answer as well", t, func() {
		h := newPatientHarness()
		client := h.inTransaction()
		h.query(client, write("2"))
		h.answerSend(h.nextSend(), lineproto.StateFailed, failure(lineproto.CodeFailed))
		h.Drain(h.now)
		h.advanceInTicks(2975 * time.Millisecond)
		So(h.closedClients[client], ShouldBeFalse)
		h.advanceInTicks(25 * time.Millisecond)
		So(h.lastResponse(client), ShouldEqual, "ERROR ABORTED")
		So(h.closedClients[client], ShouldBeTrue)
	})
}

func TestConfigurationChangeAnswersAll(t *testing.T) {
	// Guards against statements that lose their answer because a new binding set no
	// longer has their binding.
	for _, test := range drainEndCases {
		Convey("If a new binding set removes the binding and the database, the node still answers "+test.name+", and the session stays open", t, func() {
			h := newPatientHarness()
			client := test.arrange(h)
			answered := h.responseCount(client)
			next := h.snapshot.Sets[0]
			next.Sequence, next.Version, next.Bindings, next.Databases = 2, 6, nil, nil
			h.snapshot.Sets = append(h.snapshot.Sets, next)
			h.update(leaseDuration)
			h.advanceInTicks(31 * time.Second)
			So(h.responseCount(client)-answered, ShouldEqual, len(test.answers))
			So(h.closedClients[client], ShouldBeFalse)
			So(h.invariantViolation(), ShouldEqual, "")
		})
	}
}
