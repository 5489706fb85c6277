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
	failing := func(candidate Candidate, factor float64) Candidate {
		candidate.CostFactor = factor
		return candidate
	}
	Convey("An instance in the same zone is preferred, even after a few failures", t, func() {
		So(Pick([]Candidate{far, near}), ShouldEqual, 1)
		So(Pick([]Candidate{far, failing(near, 1.4)}), ShouldEqual, 1)
	})
	Convey("An instance that fails often is chosen only if no other is usable", t, func() {
		So(Pick([]Candidate{far, failing(near, 10)}), ShouldEqual, 0)
		So(Pick([]Candidate{failing(near, 1e6)}), ShouldEqual, 0)
		full := far
		full.HasCapacity = false
		So(Pick([]Candidate{full, failing(near, 1e6)}), ShouldEqual, 1)
	})
	Convey("No instance is chosen without capacity or freshness", t, func() {
		So(Pick([]Candidate{{FreshEnough: true}, {HasCapacity: true}}), ShouldEqual, -1)
	})
}
