package syncrepl

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestHolder(t *testing.T) {
	now := time.Hour
	moved := func(c Case, since time.Duration) Case {
		c.Writer.Since = wall - int64(since)
		return c
	}
	replica := Seen{IsAnswered: true, Role: model.RoleReplica, Term: 3, Position: at(3, 99)}
	Convey("An answer is seen after the settling only where it was asked settled, and in the episode it came in", t, func() {
		h := NewHolder("c2")
		one := h.Show(closing(nil), now)
		So(one.Self, ShouldEqual, "c2")
		h.Order(one, "b")(replica, now)
		unsettled := one
		unsettled.IsSettled = false
		h.Order(unsettled, "c")(replica, now)
		one = h.Show(closing(nil), now+time.Second)
		So(one.Seen["b"].IsAfter, ShouldBeTrue)
		So(one.Seen["b"].Age, ShouldEqual, time.Second)
		So(one.Seen["b"].Position, ShouldResemble, at(3, 99))
		So(one.Seen["b"].Event, ShouldEqual, 1)
		So(one.Seen["b"].Tenure, ShouldEqual, "c1@1")
		So(one.Seen["c"].IsAfter, ShouldBeFalse)
		later := h.Show(moved(closing(nil), time.Millisecond), now+time.Second)
		So(later.Seen["b"].IsAfter, ShouldBeFalse)
		So(later.Seen["b"].IsAnswered, ShouldBeTrue)
		So(h.Show(closing(nil), now+time.Second).Seen["b"].IsAfter, ShouldBeFalse)
	})
	Convey("Nor does an answer that comes once the episode is over; one order is under way at a time", t, func() {
		h := NewHolder("c1")
		one := h.Show(closing(nil), now)
		told := h.Order(one, "b")
		So(told, ShouldNotBeNil)
		So(h.Order(one, "b"), ShouldBeNil)
		h.Show(moved(closing(nil), time.Millisecond), now)
		told(replica, now)
		So(h.Show(moved(closing(nil), time.Millisecond), now).Seen["b"].IsAfter, ShouldBeFalse)
		So(h.Order(one, "b"), ShouldNotBeNil)
	})
	Convey("Nor one that was asked before the record was kept; the call made on it is of the new episode", t, func() {
		h := NewHolder("c1")
		one := h.Show(closing(nil), now)
		told := h.Order(one, "b")
		h.Order(one, "c")(replica, now)
		h.Recorded(Record{Writer: intent(nil, 0).Writer})
		told(replica, now)
		h.Call(Promote{Database: "db", Instance: "b"}, now)(200, false)
		next := h.Show(intent(nil, 0), now)
		So(next.Seen["b"].IsAfter, ShouldBeFalse)
		So(next.Seen["c"].IsAfter, ShouldBeFalse)
		So(next.Calls, ShouldResemble, []Call{{Instance: "b", Status: 200}})
	})
	Convey("A repeated call is of the same episode; the calls of one that is over are not shown", t, func() {
		h := NewHolder("c1")
		h.Show(intent(nil, 2*time.Second), now)
		h.Call(Promote{Database: "db", Instance: "b"}, now)(409, false)
		h.Show(intent(nil, time.Second), now)
		h.Call(Promote{Database: "db", Instance: "b"}, now+time.Second)
		So(h.Show(intent(nil, 0), now+time.Second).Calls, ShouldResemble, []Call{{Instance: "b", Age: time.Second, Status: 409}, {Instance: "b"}})
		So(h.Show(closing(nil), now).Calls, ShouldBeEmpty)
	})
	Convey("Silence is seen as such; what was seen is forgotten in the end, but for an order that is under way", t, func() {
		h := NewHolder("c1")
		one := h.Show(open(), now)
		h.Order(one, "b")(Seen{}, now)
		h.Order(one, "c")(replica, now)
		told := h.Order(one, "c")
		one = h.Show(open(), now+forgetLooks)
		So(len(one.Seen), ShouldEqual, 2)
		So(one.Seen["b"].IsAnswered || one.Seen["b"].IsBusy || one.Seen["b"].IsGone, ShouldBeFalse)
		one = h.Show(open(), now+forgetLooks+1)
		So(len(one.Seen), ShouldEqual, 1)
		told(replica, now+forgetLooks+1)
		So(h.Show(open(), now+forgetLooks+1).Seen["c"].Age, ShouldEqual, 0)
	})
	Convey("What was seen of one database is not shown of another", t, func() {
		h := NewHolder("c1")
		h.Order(h.Show(closing(nil), now), "b")(replica, now)
		other := closing(nil)
		other.Database = "other"
		So(h.Show(other, now).Seen, ShouldBeEmpty)
	})
}
