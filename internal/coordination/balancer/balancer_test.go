package balancer

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPick(t *testing.T) {
	near := Candidate{HasCapacity: true, FreshEnough: true, SameZone: true, Latency: 10 * time.Millisecond}
	far := near
	far.SameZone = false
	failing := func(one Candidate, factor float64) Candidate {
		one.CostFactor = factor
		return one
	}
	Convey("Near ones win, also where a failure or two were seen of them", t, func() {
		So(Pick([]Candidate{far, near}), ShouldEqual, 1)
		So(Pick([]Candidate{far, failing(near, 1.4)}), ShouldEqual, 1)
	})
	Convey("One that fails much is passed over for another, and taken where there is none", t, func() {
		So(Pick([]Candidate{far, failing(near, 10)}), ShouldEqual, 0)
		So(Pick([]Candidate{failing(near, 1e6)}), ShouldEqual, 0)
		full := far
		full.HasCapacity = false
		So(Pick([]Candidate{full, failing(near, 1e6)}), ShouldEqual, 1)
	})
	Convey("None is taken without room or not fresh", t, func() {
		So(Pick([]Candidate{{FreshEnough: true}, {HasCapacity: true}}), ShouldEqual, -1)
	})
}
