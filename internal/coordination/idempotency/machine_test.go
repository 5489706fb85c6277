package idempotency

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestGoes(t *testing.T) {
	const now = time.Hour
	newNode := func(name, incarnation string) (*Machine, string) {
		m := New(name, incarnation, Timing{Retention: time.Minute, MaxRecords: 3})
		sessionID := m.SessionID(1)
		m.OpenSession(sessionID)
		return m, sessionID
	}
	Convey("A first go runs; its repeat here waits and is told the same end", t, func() {
		a, sessionID := newNode("a", "1")
		So(a.Decide(sessionID+".1", "first", now).Kind, ShouldEqual, Execute)
		So(a.Decide(sessionID+".1", "again", now).Kind, ShouldEqual, Wait)
		waiters, status := a.Complete(sessionID+".1", StateCommitted, nil, model.Position{Index: 4}, now)
		So(waiters, ShouldResemble, []any{"again"})
		So(status.State, ShouldEqual, StateCommitted)
		So(a.Decide(sessionID+".1", "late", now).Status.Position.Index, ShouldEqual, 4)
		a.Complete(sessionID+".1", StateUnknown, nil, model.Position{}, now)
		So(a.Decide(sessionID+".1", "late", now).Status.State, ShouldEqual, StateCommitted)
	})
	Convey("A go that never came is given up to one asker; it runs there alone", t, func() {
		a, sessionID := newNode("a", "1")
		b, _ := newNode("b", "2")
		c, _ := newNode("c", "3")
		id := sessionID + ".7"
		So(b.Decide(id, "b", now), ShouldResemble, Decision{Kind: Lookup, Node: "a"})
		So(b.DecideFromPeer(id, "b", a.HandleStatusRequest(StatusRequest{RequestID: id, Requester: "b"}, now), now).Kind, ShouldEqual, Execute)
		So(c.DecideFromPeer(id, "c", a.HandleStatusRequest(StatusRequest{RequestID: id, Requester: "c"}, now), now), ShouldResemble, Decision{Kind: Lookup, Node: "b"})
		So(a.Decide(id, "the first arrives late", now), ShouldResemble, Decision{Kind: Lookup, Node: "b"})
	})
	Convey("What was forgotten is unknown, never run again", t, func() {
		a, sessionID := newNode("a", "1")
		for _, count := range []string{".1", ".2", ".3", ".4"} {
			a.Decide(sessionID+count, nil, now)
			a.Complete(sessionID+count, StateCommitted, nil, model.Position{}, now)
		}
		So(a.Contains(sessionID+".1"), ShouldBeFalse)
		So(a.Decide(sessionID+".1", nil, now).Status.State, ShouldEqual, StateUnknown)
		So(a.HandleStatusRequest(StatusRequest{RequestID: sessionID + ".1", Requester: "b"}, now).State, ShouldEqual, StateUnknown)
		a.CloseSession(sessionID, now)
		a.ExpireSessions(now + 2*time.Minute)
		So(a.HandleStatusRequest(StatusRequest{RequestID: sessionID + ".9", Requester: "b"}, now).State, ShouldEqual, StateUnknown)
	})
	Convey("A node born again knows nothing of its past life", t, func() {
		old, sessionID := newNode("a", "1")
		old.Decide(sessionID+".1", nil, now)
		reborn, _ := newNode("a", "2")
		So(reborn.Decide(sessionID+".1", nil, now).Status.State, ShouldEqual, StateUnknown)
		So(reborn.HandleStatusRequest(StatusRequest{RequestID: sessionID + ".1", Requester: "b"}, now).State, ShouldEqual, StateUnknown)
	})
	Convey("The heir of a node that stopped in good order answers for it", t, func() {
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
		So(b.HandleStatusRequest(StatusRequest{RequestID: sessionID + ".1", Requester: "c"}, now).Position.Index, ShouldEqual, 9)
		So(b.HandleStatusRequest(StatusRequest{RequestID: sessionID + ".2", Requester: "c"}, now).State, ShouldEqual, StateUnknown)
		So(b.HandleStatusRequest(StatusRequest{RequestID: sessionID + ".3", Requester: "c"}, now).State, ShouldEqual, StateUnseen)
		So(b.HandleStatusRequest(StatusRequest{RequestID: sessionID + ".3", Requester: "d"}, now), ShouldResemble, Status{State: StateTransferred, Owner: "c"})
		So(c.HandleStatusRequest(StatusRequest{RequestID: sessionID + ".1", Requester: "d"}, now).State, ShouldEqual, StateUnknown)
	})
}
