package e2e

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRaceReports(t *testing.T) {
	Convey("A log has a product race only if the product's own code accessed the memory", t, func() {
		engineRace := "WARNING: DATA RACE\nRead at 0x1 by goroutine 1:\n  github.com/lesismal/nbio.x()\n\nGoroutine 1 created at:\n  tansyseam/internal/app/node.y()\n"
		productRace := "WARNING: DATA RACE\nRead at 0x1 by goroutine 1:\n  tansyseam/internal/app/httpproxy.x()\n\nGoroutine 1 created at:\n"
		So(HasProductRace("all is well"), ShouldBeFalse)
		So(HasProductRace(engineRace), ShouldBeFalse)
		So(HasProductRace(engineRace+productRace), ShouldBeTrue)
	})
}
