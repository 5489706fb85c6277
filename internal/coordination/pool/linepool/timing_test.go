package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTimingWithin(t *testing.T) {
	Convey("A stop's steps stand in order within its grace, and a leaving instance is left before it goes, whatever the bounds", t, func() {
		So(DefaultTiming().Within(6*time.Second, 7*time.Second), ShouldResemble, DefaultTiming())
		for _, grace := range []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second, 30 * time.Second} {
			for _, drain := range []time.Duration{time.Second, 5 * time.Second, 7 * time.Second, time.Minute} {
				one := DefaultTiming().Within(grace, drain)
				So(one.EndTransactions, ShouldBeBetween, 0, grace/2)
				So(one.Linger, ShouldBeBetween, 0, one.EndSessions)
				So(one.EndSessions, ShouldBeLessThan, grace)
				So(one.DrainWindow, ShouldBeBetween, 0, drain)
				So(one.LateDrainWindow, ShouldBeBetween, 0, one.DrainWindow)
			}
		}
	})
}
