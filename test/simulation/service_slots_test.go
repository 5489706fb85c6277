package simulation

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestServiceSlots(t *testing.T) {
	Convey("Given a server with two slots and four work items", t, func() {
		slots, begun := &serviceSlots{limit: 2}, []int{}
		for number := range 4 {
			slots.run(func() { begun = append(begun, number) })
		}
		Convey("Two start at once, and the others in order as slots are released", func() {
			So(begun, ShouldResemble, []int{0, 1})
			So(slots.waiting(), ShouldEqual, 2)
			slots.release()
			So(begun, ShouldResemble, []int{0, 1, 2})
			slots.release()
			So(begun, ShouldResemble, []int{0, 1, 2, 3})
			So(slots.waiting(), ShouldEqual, 0)
		})
		Convey("After a reset no work waits, and all slots are free", func() {
			slots.reset()
			So(slots.waiting(), ShouldEqual, 0)
			for number := range 3 {
				slots.run(func() { begun = append(begun, 10+number) })
			}
			So(begun, ShouldResemble, []int{0, 1, 10, 11})
		})
	})
}
