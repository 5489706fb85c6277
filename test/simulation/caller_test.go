package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCallersDrawOperationsEvenly(t *testing.T) {
	Convey("A caller's ten draws have each tens digit once, in random order", t, func() {
		c := &caller{fleet: &fleet{}, decks: map[int][]int{}, random: rand.New(rand.NewPCG(1, 1))}
		var orders []string
		for range 50 {
			tensDrawn := ""
			tens := map[int]int{}
			for range 10 {
				draw := c.drawPercent()
				So(draw, ShouldBeBetweenOrEqual, 0, 99)
				tens[draw/10]++
				tensDrawn += fmt.Sprint(draw / 10)
			}
			So(len(tens), ShouldEqual, 10)
			orders = append(orders, tensDrawn)
		}
		So(len(slices.Compact(slices.Sorted(slices.Values(orders)))), ShouldBeGreaterThan, 45)
	})
}
