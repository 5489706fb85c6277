package syncrepl

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestObserver(t *testing.T) {
	now := time.Hour
	moved := func(c Evidence, since time.Duration) Evidence {
		c.Writer.LastTransitionAt = wallTime - int64(since)
		return c
	}
	replica := ProbeResult{Answered: true, Role: model.RoleReplica, Term: 3, Position: positionAt(3, 99)}
	Convey("An answer is seen after the settling only where it was asked settled, and in the episode it came in", t, func() {
		h := NewObserver("c2")
		one := h.Augment(closingTerm(nil), now)
		So(one.Self, ShouldEqual, "c2")
		h.BeginProbe(one, "b")(replica, now)
		unsettled := one
		unsettled.Settled = false
		h.BeginProbe(unsettled, "c")(replica, now)
		one = h.Augment(closingTerm(nil), now+time.Second)
		So(one.Probes["b"].AfterSettled, ShouldBeTrue)
		So(one.Probes["b"].Age, ShouldEqual, time.Second)
		So(one.Probes["b"].Position, ShouldResemble, positionAt(3, 99))
		So(one.Probes["b"].GapSequence, ShouldEqual, 1)
		So(one.Probes["b"].Tenure, ShouldEqual, "c1@1")
		So(one.Probes["c"].AfterSettled, ShouldBeFalse)
		later := h.Augment(moved(closingTerm(nil), time.Millisecond), now+time.Second)
		So(later.Probes["b"].AfterSettled, ShouldBeFalse)
		So(later.Probes["b"].Answered, ShouldBeTrue)
		So(h.Augment(closingTerm(nil), now+time.Second).Probes["b"].AfterSettled, ShouldBeFalse)
	})
	Convey("Nor does an answer that comes once the episode is over; one order is under way at a time", t, func() {
		h := NewObserver("c1")
		one := h.Augment(closingTerm(nil), now)
		told := h.BeginProbe(one, "b")
		So(told, ShouldNotBeNil)
		So(h.BeginProbe(one, "b"), ShouldBeNil)
		h.Augment(moved(closingTerm(nil), time.Millisecond), now)
		told(replica, now)
		So(h.Augment(moved(closingTerm(nil), time.Millisecond), now).Probes["b"].AfterSettled, ShouldBeFalse)
		So(h.BeginProbe(one, "b"), ShouldNotBeNil)
	})
	Convey("Nor one that was asked before the record was kept; the call made on it is of the new episode", t, func() {
		h := NewObserver("c1")
		one := h.Augment(closingTerm(nil), now)
		told := h.BeginProbe(one, "b")
		h.BeginProbe(one, "c")(replica, now)
		h.RecordCommitted(Record{Writer: promotingTerm(nil, 0).Writer})
		told(replica, now)
		h.BeginPromote(Promote{Database: "db", Instance: "b"}, now)(200, false)
		next := h.Augment(promotingTerm(nil, 0), now)
		So(next.Probes["b"].AfterSettled, ShouldBeFalse)
		So(next.Probes["c"].AfterSettled, ShouldBeFalse)
		So(next.PromoteCalls, ShouldResemble, []PromoteCall{{Instance: "b", Status: 200}})
	})
	Convey("A repeated call is of the same episode; the calls of one that is over are not shown", t, func() {
		h := NewObserver("c1")
		h.Augment(promotingTerm(nil, 2*time.Second), now)
		h.BeginPromote(Promote{Database: "db", Instance: "b"}, now)(409, false)
		h.Augment(promotingTerm(nil, time.Second), now)
		h.BeginPromote(Promote{Database: "db", Instance: "b"}, now+time.Second)
		So(h.Augment(promotingTerm(nil, 0), now+time.Second).PromoteCalls, ShouldResemble, []PromoteCall{{Instance: "b", Age: time.Second, Status: 409}, {Instance: "b"}})
		So(h.Augment(closingTerm(nil), now).PromoteCalls, ShouldBeEmpty)
	})
	Convey("Silence is seen as such; what was seen is forgotten in the end, but for an order that is under way", t, func() {
		h := NewObserver("c1")
		one := h.Augment(openTerm(), now)
		h.BeginProbe(one, "b")(ProbeResult{}, now)
		h.BeginProbe(one, "c")(replica, now)
		told := h.BeginProbe(one, "c")
		one = h.Augment(openTerm(), now+probeRetention)
		So(len(one.Probes), ShouldEqual, 2)
		So(one.Probes["b"].Answered || one.Probes["b"].Busy || one.Probes["b"].Gone, ShouldBeFalse)
		one = h.Augment(openTerm(), now+probeRetention+1)
		So(len(one.Probes), ShouldEqual, 1)
		told(replica, now+probeRetention+1)
		So(h.Augment(openTerm(), now+probeRetention+1).Probes["c"].Age, ShouldEqual, 0)
	})
	Convey("What was seen of one database is not shown of another", t, func() {
		h := NewObserver("c1")
		h.BeginProbe(h.Augment(closingTerm(nil), now), "b")(replica, now)
		other := closingTerm(nil)
		other.Database = "other"
		So(h.Augment(other, now).Probes, ShouldBeEmpty)
	})
}
