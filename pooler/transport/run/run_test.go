package run

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRounds(t *testing.T) {
	Convey("Rounds go on after the wait that each gave, and end with the crew also in a long one", t, func() {
		crew, done := NewCrew(), make(chan int, 8)
		rounds := 0
		crew.Rounds(func() time.Duration {
			rounds++
			done <- rounds
			if rounds < 3 {
				return 0
			}
			return time.Hour
		})
		for want := 1; want <= 3; want++ {
			So(<-done, ShouldEqual, want)
		}
		So(crew.Stop(10*time.Second), ShouldBeTrue)
		So(len(done), ShouldEqual, 0)
	})
}
