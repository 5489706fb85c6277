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
		session := m.SessionID(1)
		m.OpenSession(session)
		return m, session
	}
	Convey("A first go runs; its repeat here waits and is told the same end", t, func() {
		a, session := newNode("a", "1")
		So(a.Decide(session+".1", "first", now).Kind, ShouldEqual, Execute)
		So(a.Decide(session+".1", "again", now).Kind, ShouldEqual, Wait)
		joined, answer := a.Complete(session+".1", StateCommitted, nil, model.Position{Index: 4}, now)
		So(joined, ShouldResemble, []any{"again"})
		So(answer.State, ShouldEqual, StateCommitted)
		So(a.Decide(session+".1", "late", now).Status.Position.Index, ShouldEqual, 4)
		a.Complete(session+".1", StateUnknown, nil, model.Position{}, now)
		So(a.Decide(session+".1", "late", now).Status.State, ShouldEqual, StateCommitted)
	})
	Convey("A go that never came is given up to one asker; it runs there alone", t, func() {
		a, session := newNode("a", "1")
		b, _ := newNode("b", "2")
		c, _ := newNode("c", "3")
		id := session + ".7"
		So(b.Decide(id, "b", now), ShouldResemble, Decision{Kind: Lookup, Node: "a"})
		So(b.DecideFromPeer(id, "b", a.HandleStatusRequest(StatusRequest{RequestID: id, Requester: "b"}, now), now).Kind, ShouldEqual, Execute)
		So(c.DecideFromPeer(id, "c", a.HandleStatusRequest(StatusRequest{RequestID: id, Requester: "c"}, now), now), ShouldResemble, Decision{Kind: Lookup, Node: "b"})
		So(a.Decide(id, "the first arrives late", now), ShouldResemble, Decision{Kind: Lookup, Node: "b"})
	})
	Convey("What was forgotten is unknown, never run again", t, func() {
		a, session := newNode("a", "1")
		for _, count := range []string{".1", ".2", ".3", ".4"} {
			a.Decide(session+count, nil, now)
			a.Complete(session+count, StateCommitted, nil, model.Position{}, now)
		}
		So(a.Contains(session+".1"), ShouldBeFalse)
		So(a.Decide(session+".1", nil, now).Status.State, ShouldEqual, StateUnknown)
		So(a.HandleStatusRequest(StatusRequest{RequestID: session + ".1", Requester: "b"}, now).State, ShouldEqual, StateUnknown)
		a.CloseSession(session, now)
		a.ExpireSessions(now + 2*time.Minute)
		So(a.HandleStatusRequest(StatusRequest{RequestID: session + ".9", Requester: "b"}, now).State, ShouldEqual, StateUnknown)
	})
	Convey("A node born again knows nothing of its past life", t, func() {
		old, session := newNode("a", "1")
		old.Decide(session+".1", nil, now)
		reborn, _ := newNode("a", "2")
		So(reborn.Decide(session+".1", nil, now).Status.State, ShouldEqual, StateUnknown)
		So(reborn.HandleStatusRequest(StatusRequest{RequestID: session + ".1", Requester: "b"}, now).State, ShouldEqual, StateUnknown)
	})
	Convey("The heir of a node that stopped in good order answers for it", t, func() {
		a, session := newNode("a", "1")
		a.Decide(session+".1", nil, now)
		a.Complete(session+".1", StateCommitted, nil, model.Position{Index: 9}, now)
		a.Decide(session+".2", nil, now)
		b, _ := newNode("b", "2")
		c, _ := newNode("c", "3")
		left := a.Export("b")
		b.Import(left, now)
		c.Import(Handover{Node: left.Node, Incarnation: left.Incarnation, Successor: left.Successor}, now)
		So(c.Decide(session+".1", nil, now), ShouldResemble, Decision{Kind: Lookup, Node: "b"})
		So(b.HandleStatusRequest(StatusRequest{RequestID: session + ".1", Requester: "c"}, now).Position.Index, ShouldEqual, 9)
		So(b.HandleStatusRequest(StatusRequest{RequestID: session + ".2", Requester: "c"}, now).State, ShouldEqual, StateUnknown)
		So(b.HandleStatusRequest(StatusRequest{RequestID: session + ".3", Requester: "c"}, now).State, ShouldEqual, StateUnseen)
		So(b.HandleStatusRequest(StatusRequest{RequestID: session + ".3", Requester: "d"}, now), ShouldResemble, Status{State: StateTransferred, Owner: "c"})
		So(c.HandleStatusRequest(StatusRequest{RequestID: session + ".1", Requester: "d"}, now).State, ShouldEqual, StateUnknown)
	})
}
