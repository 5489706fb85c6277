package outlier

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGrade(t *testing.T) {
	Convey("An instance that never failed costs what it costs", t, func() {
		g := Grade{}
		for at := range 10 {
			g.Note(false, time.Duration(at)*time.Second)
		}
		So(g.Factor(time.Minute), ShouldEqual, 1)
	})
	Convey("Each failure makes it dearer, each good answer cheaper, without an end to either", t, func() {
		g, last := Grade{}, 1.0
		for range 50 {
			g.Note(true, time.Hour)
			So(g.Factor(time.Hour), ShouldBeGreaterThan, last)
			last = g.Factor(time.Hour)
			if g.Failing(time.Hour) > 0.999 {
				break
			}
		}
		for range 5 {
			g.Note(false, time.Hour)
			So(g.Factor(time.Hour), ShouldBeLessThan, last)
			last = g.Factor(time.Hour)
		}
	})
	Convey("It is tried again: half of what is held against it fades in a while", t, func() {
		g := Grade{}
		g.Note(true, time.Hour)
		before := g.Failing(time.Hour)
		So(g.Failing(time.Hour+Fading), ShouldAlmostEqual, before/2)
		So(g.Factor(time.Hour+20*Fading), ShouldAlmostEqual, 1, 0.001)
	})
}
