package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestIsSelected(t *testing.T) {
	Convey("IsSelected agrees with Select for every key and name", t, func() {
		for _, size := range []int{1, 2, 3, 4, 9, 40} {
			var names []string
			for index := range size {
				names = append(names, fmt.Sprintf("n%02d", index))
			}
			for _, key := range append(slices.Clone(names), "elsewhere") {
				selected := Select(names, key, 3)
				for _, name := range names {
					SoMsg(key+" "+name, IsSelected(names, key, name, 3), ShouldEqual, slices.Contains(selected, name))
				}
			}
		}
	})
}
