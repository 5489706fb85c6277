package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTimingWithin(t *testing.T) {
	Convey("The steps of a stop are in order within any grace period, and the drain window ends before a draining instance stops", t, func() {
		So(DefaultTiming().Within(6*time.Second, 7*time.Second), ShouldResemble, DefaultTiming())
		for _, grace := range []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second, 30 * time.Second} {
			for _, drain := range []time.Duration{time.Second, 5 * time.Second, 7 * time.Second, time.Minute} {
				timing := DefaultTiming().Within(grace, drain)
				So(timing.EndTransactions, ShouldEqual, grace/2)
				So(timing.Linger, ShouldBeBetween, 0, timing.EndSessions)
				So(timing.EndSessions, ShouldBeLessThan, grace)
				So(timing.DrainWindow, ShouldBeBetween, 0, drain)
				So(timing.LateDrainWindow, ShouldBeBetween, 0, timing.DrainWindow)
			}
		}
	})
}
