package outlier

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFailureRate(t *testing.T) {
	Convey("An instance that never failed costs what it costs", t, func() {
		r := FailureRate{}
		for at := range 10 {
			r.Observe(false, time.Duration(at)*time.Second)
		}
		So(r.CostFactor(time.Minute), ShouldEqual, 1)
	})
	Convey("Each failure makes it dearer, each good answer cheaper, without an end to either", t, func() {
		r, last := FailureRate{}, 1.0
		for range 50 {
			r.Observe(true, time.Hour)
			So(r.CostFactor(time.Hour), ShouldBeGreaterThan, last)
			last = r.CostFactor(time.Hour)
			if r.Rate(time.Hour) > 0.999 {
				break
			}
		}
		for range 5 {
			r.Observe(false, time.Hour)
			So(r.CostFactor(time.Hour), ShouldBeLessThan, last)
			last = r.CostFactor(time.Hour)
		}
	})
	Convey("It is tried again: half of what is held against it fades in a while", t, func() {
		r := FailureRate{}
		r.Observe(true, time.Hour)
		before := r.Rate(time.Hour)
		So(r.Rate(time.Hour+HalfLife), ShouldAlmostEqual, before/2)
		So(r.CostFactor(time.Hour+20*HalfLife), ShouldAlmostEqual, 1, 0.001)
	})
}
