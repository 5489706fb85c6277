package e2e

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRaceReports(t *testing.T) {
	Convey("Only races in which the product's own code touched the memory count", t, func() {
		engine := "WARNING: DATA RACE\nRead at 0x1 by goroutine 1:\n  github.com/lesismal/nbio.x()\n\nGoroutine 1 created at:\n  tansyseam/internal/app/node.y()\n"
		own := "WARNING: DATA RACE\nRead at 0x1 by goroutine 1:\n  tansyseam/internal/app/httpproxy.x()\n\nGoroutine 1 created at:\n"
		So(HasProductRace("all is well"), ShouldBeFalse)
		So(HasProductRace(engine), ShouldBeFalse)
		So(HasProductRace(engine+own), ShouldBeTrue)
	})
}
