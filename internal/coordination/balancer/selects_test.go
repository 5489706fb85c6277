package balancer

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSelect(t *testing.T) {
	near := Choice{HasRoom: true, IsFresh: true, IsNear: true, Cal: 10 * time.Millisecond}
	far := near
	far.IsNear = false
	failing := func(one Choice, factor float64) Choice {
		one.Factor = factor
		return one
	}
	Convey("Near ones win, also where a failure or two were seen of them", t, func() {
		So(Select([]Choice{far, near}), ShouldEqual, 1)
		So(Select([]Choice{far, failing(near, 1.4)}), ShouldEqual, 1)
	})
	Convey("One that fails much is passed over for another, and taken where there is none", t, func() {
		So(Select([]Choice{far, failing(near, 10)}), ShouldEqual, 0)
		So(Select([]Choice{failing(near, 1e6)}), ShouldEqual, 0)
		full := far
		full.HasRoom = false
		So(Select([]Choice{full, failing(near, 1e6)}), ShouldEqual, 1)
	})
	Convey("None is taken without room or not fresh", t, func() {
		So(Select([]Choice{{IsFresh: true}, {HasRoom: true}}), ShouldEqual, -1)
	})
}
