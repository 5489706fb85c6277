package idempotency

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestRetries(t *testing.T) {
	const now = time.Hour
	newNode := func(name, incarnation string) (*Machine, string) {
		m := New(name, incarnation, Timing{Retention: time.Minute, MaxRecords: 3})
		sessionID := m.SessionID(1)
		m.OpenSession(sessionID)
		return m, sessionID
	}
	// lookUp makes the asking node receive a request and ask the owner for its status.
	lookUp := func(asking *Machine, name string, owner *Machine, requestID string) Decision {
		So(asking.Decide(requestID, name, now), ShouldResemble, Decision{Kind: Lookup, Node: "a"})
		status := owner.HandleStatusRequest(StatusRequest{RequestID: requestID, Requester: name}, now)
		return asking.DecideFromPeer(requestID, name, status, now)
	}
	Convey("The first attempt is executed; a retry at the same node waits for it and gets the same outcome", t, func() {
		a, sessionID := newNode("a", "1")
		So(a.Decide(sessionID+".1", "first", now).Kind, ShouldEqual, Execute)
		So(a.Decide(sessionID+".1", "retry", now).Kind, ShouldEqual, Wait)
		waiters, status := a.Complete(sessionID+".1", StateCommitted, nil, model.Position{Index: 4}, now)
		So(waiters, ShouldResemble, []any{"retry"})
		So(status.State, ShouldEqual, StateCommitted)
		So(a.Decide(sessionID+".1", "late retry", now).Status.Position.Index, ShouldEqual, 4)
		a.Complete(sessionID+".1", StateUnknown, nil, model.Position{}, now)
		So(a.Decide(sessionID+".1", "late retry", now).Status.State, ShouldEqual, StateCommitted)
	})
	Convey("An unseen request is transferred to the first node that asks, and executed only there", t, func() {
		a, sessionID := newNode("a", "1")
		b, _ := newNode("b", "2")
		c, _ := newNode("c", "3")
		id := sessionID + ".7"
		So(lookUp(b, "b", a, id).Kind, ShouldEqual, Execute)
		So(lookUp(c, "c", a, id), ShouldResemble, Decision{Kind: Lookup, Node: "b"})
		So(a.Decide(id, "late first attempt", now), ShouldResemble, Decision{Kind: Lookup, Node: "b"})
	})
	Convey("A request whose record was pruned, or whose session has expired, is unknown and never executed again", t, func() {
		a, sessionID := newNode("a", "1")
		for _, suffix := range []string{".1", ".2", ".3", ".4"} {
			a.Decide(sessionID+suffix, nil, now)
			a.Complete(sessionID+suffix, StateCommitted, nil, model.Position{}, now)
		}
		So(a.Contains(sessionID+".1"), ShouldBeFalse)
		So(a.Decide(sessionID+".1", nil, now).Status.State, ShouldEqual, StateUnknown)
		So(a.HandleStatusRequest(StatusRequest{RequestID: sessionID + ".1", Requester: "b"}, now).State, ShouldEqual, StateUnknown)
		a.CloseSession(sessionID, now)
		a.ExpireSessions(now + 2*time.Minute)
		So(a.HandleStatusRequest(StatusRequest{RequestID: sessionID + ".9", Requester: "b"}, now).State, ShouldEqual, StateUnknown)
	})
	Convey("After a restart, the requests of the earlier incarnation are unknown", t, func() {
		earlier, sessionID := newNode("a", "1")
		earlier.Decide(sessionID+".1", nil, now)
		restarted, _ := newNode("a", "2")
		So(restarted.Decide(sessionID+".1", nil, now).Status.State, ShouldEqual, StateUnknown)
		So(restarted.HandleStatusRequest(StatusRequest{RequestID: sessionID + ".1", Requester: "b"}, now).State, ShouldEqual, StateUnknown)
	})
	Convey("The successor of a node that shut down answers in its place", t, func() {
		a, sessionID := newNode("a", "1")
		a.Decide(sessionID+".1", nil, now)
		a.Complete(sessionID+".1", StateCommitted, nil, model.Position{Index: 9}, now)
		a.Decide(sessionID+".2", nil, now)
		b, _ := newNode("b", "2")
		c, _ := newNode("c", "3")
		handover := a.Export("b")
		b.Import(handover, now)
		c.Import(Handover{Node: handover.Node, Incarnation: handover.Incarnation, Successor: handover.Successor}, now)
		So(c.Decide(sessionID+".1", nil, now), ShouldResemble, Decision{Kind: Lookup, Node: "b"})
		ask := func(node *Machine, number, requester string) Status {
			return node.HandleStatusRequest(StatusRequest{RequestID: sessionID + number, Requester: requester}, now)
		}
		So(ask(b, ".1", "c").Position.Index, ShouldEqual, 9)
		So(ask(b, ".2", "c").State, ShouldEqual, StateUnknown)
		So(ask(b, ".3", "c").State, ShouldEqual, StateUnseen)
		So(ask(b, ".3", "d"), ShouldResemble, Status{State: StateTransferred, Owner: "c"})
		So(ask(c, ".1", "d").State, ShouldEqual, StateUnknown)
	})
}
