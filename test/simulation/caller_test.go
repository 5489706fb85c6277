package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCallersAskLevel(t *testing.T) {
	Convey("Of ten turns of a caller each tenth of the draws comes once, in an order of chance", t, func() {
		drawing := &caller{fleet: &fleet{}, decks: map[int][]int{}, random: rand.New(rand.NewPCG(1, 1))}
		var orders []string
		for range 50 {
			order := ""
			tens := map[int]int{}
			for range 10 {
				draw := drawing.drawPercent()
				So(draw, ShouldBeBetweenOrEqual, 0, 99)
				tens[draw/10]++
				order += fmt.Sprint(draw / 10)
			}
			So(len(tens), ShouldEqual, 10)
			orders = append(orders, order)
		}
		So(len(slices.Compact(slices.Sorted(slices.Values(orders)))), ShouldBeGreaterThan, 45)
	})
}
