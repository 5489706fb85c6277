package node

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestPrimarySearch(t *testing.T) {
	Convey("Consecutive requests that bring no update reach every control node, for any number of control nodes", t, func() {
		for _, primary := range []string{"", "gone"} {
			for count := 1; count <= 9; count++ {
				var nodes []model.Node
				for number := range count {
					nodes = append(nodes, model.Node{RPCAddress: fmt.Sprint("address", number)})
				}
				requests := map[string]int{}
				for misses := range 3 * count {
					requests[PrimarySearch{Misses: misses}.target(primary, nodes)]++
				}
				for _, node := range nodes {
					SoMsg(fmt.Sprintf("%s of %d, primary %q", node.RPCAddress, count, primary), requests[node.RPCAddress], ShouldBeGreaterThan, 0)
				}
			}
		}
	})
	Convey("If the primary is known, the first request and two of three requests in total go to the primary", t, func() {
		nodes := []model.Node{{RPCAddress: "a"}, {RPCAddress: "b"}, {RPCAddress: "c"}}
		for misses := range 12 {
			So(PrimarySearch{Misses: misses}.target("primary", nodes) == "primary", ShouldEqual, misses%3 != 2)
		}
		So(PrimarySearch{Misses: 2}.target("primary", nil), ShouldEqual, "primary")
	})
}
