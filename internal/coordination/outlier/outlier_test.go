package outlier

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFailureRate(t *testing.T) {
	Convey("An instance that never failed has a cost factor of 1", t, func() {
		r := FailureRate{}
		for second := range 10 {
			r.Observe(false, time.Duration(second)*time.Second)
		}
		So(r.CostFactor(time.Minute), ShouldEqual, 1)
	})
	Convey("Each failure raises the cost factor, and each success lowers it", t, func() {
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
	Convey("The rate falls to half within the half-life", t, func() {
		r := FailureRate{}
		r.Observe(true, time.Hour)
		before := r.Rate(time.Hour)
		So(r.Rate(time.Hour+HalfLife), ShouldAlmostEqual, before/2)
		So(r.CostFactor(time.Hour+20*HalfLife), ShouldAlmostEqual, 1, 0.001)
	})
}
