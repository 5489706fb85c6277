package e2e

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestProgramsOfTwoBuilds(t *testing.T) {
	Convey("If another build is given, every second process runs it, starting with the first or the second process as configured", t, func() {
		paths := func(programs Programs) []string {
			var list []string
			for index := range 3 {
				list = append(list, programs.Path("x", index))
			}
			return list
		}
		So(paths(Programs{Directory: "new"}), ShouldResemble, []string{"new/x", "new/x", "new/x"})
		So(paths(Programs{Directory: "new", OtherBuild: "old"}), ShouldResemble, []string{"new/x", "old/x", "new/x"})
		So(paths(Programs{Directory: "new", OtherBuild: "old", OtherFirst: true}), ShouldResemble, []string{"old/x", "new/x", "old/x"})
		So(Programs{Directory: "new", OtherBuild: "old", OtherFirst: true}.CurrentPath("x"), ShouldEqual, "new/x")
	})
}
