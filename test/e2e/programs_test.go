package e2e

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestProgramsOfTwoBuilds(t *testing.T) {
	Convey("Every second process runs the other build, where there is one", t, func() {
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
