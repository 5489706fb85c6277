package schedule

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestNextDue(t *testing.T) {
	const now = int64(time.Hour)
	Convey("The change with the earliest effective time is due one lead time before it; of equal times, the change scheduled first is due", t, func() {
		changes := []model.ScheduledChange{
			{ID: "late", EffectiveAt: now + int64(LeadTime) + 2, Order: 1},
			{ID: "second", EffectiveAt: now + int64(LeadTime), Order: 3},
			{ID: "first", EffectiveAt: now + int64(LeadTime), Order: 2},
		}
		change, due := NextDue(changes, now)
		So(due, ShouldBeTrue)
		So(change.ID, ShouldEqual, "first")
		_, due = NextDue(changes, now-1)
		So(due, ShouldBeFalse)
		_, due = NextDue(changes[:1], now)
		So(due, ShouldBeFalse)
	})
	Convey("A change whose time has passed is due; an empty schedule has no due change", t, func() {
		_, due := NextDue([]model.ScheduledChange{{EffectiveAt: 1}}, now)
		So(due, ShouldBeTrue)
		_, due = NextDue(nil, now)
		So(due, ShouldBeFalse)
	})
}

func TestAssignEffectiveTimes(t *testing.T) {
	Convey("A pending set takes effect no earlier than the given time, its own NotBefore and all sets before it", t, func() {
		sets := []model.BindingSet{
			{Sequence: 1, EffectiveAt: 50}, {Sequence: 2}, {Sequence: 3, NotBefore: 80}, {Sequence: 4},
		}
		assigned := AssignEffectiveTimes(sets, 40)
		So(len(assigned), ShouldEqual, 3)
		So(assigned[0].EffectiveAt, ShouldEqual, 50)
		So(assigned[1].EffectiveAt, ShouldEqual, 80)
		So(assigned[2].EffectiveAt, ShouldEqual, 80)
		So(AssignEffectiveTimes(sets, 60)[0].EffectiveAt, ShouldEqual, 60)
	})
}
