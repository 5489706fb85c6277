package connquota

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func named(count int) []string {
	names := make([]string, count)
	for at := range names {
		names[at] = fmt.Sprintf("n%d", at)
	}
	return names
}

func known(names []string) *Names {
	n := &Names{}
	n.Note(names, time.Hour)
	return n
}

// kept sums what all nodes may keep at an instance, and names who keeps.
func kept(names []string, instance string, connections int) (sum int, who map[string]bool) {
	n, who := known(names), map[string]bool{}
	for _, name := range names {
		share := n.Of(name, instance, connections)
		sum += share.Kept
		who[name] = share.Kept > 0
	}
	return sum, who
}

func TestShares(t *testing.T) {
	Convey("Where each node's share is two or more, all have it, and none gives back", t, func() {
		for _, shape := range [][3]int{{1, 20, 10}, {4, 20, 4}, {9, 20, 2}, {90, 420, 4}} {
			n := known(named(shape[0]))
			share := n.Of("n0", "a", shape[1])
			So(share, ShouldResemble, Share{Kept: shape[2], Most: shape[2]})
			So(share.IsScarce(), ShouldBeFalse)
		}
	})
	Convey("Where it is less, never more than half is kept, and nearly that is", t, func() {
		for _, shape := range [][2]int{{60, 51}, {60, 110}, {30, 20}, {200, 51}, {930, 110}, {10, 2}, {60, 60}} {
			for instance := range 20 {
				sum, _ := kept(named(shape[0]), fmt.Sprint("i", instance), shape[1])
				So(sum, ShouldEqual, min(shape[1]/2, shape[0]))
			}
		}
	})
	Convey("Rights at many instances fall evenly on the nodes", t, func() {
		held := map[string]int{}
		for instance := range 90 {
			_, who := kept(named(60), fmt.Sprint("i", instance), 51)
			for name, isKept := range who {
				if isKept {
					held[name]++
				}
			}
		}
		for _, count := range held {
			So(count, ShouldBeBetween, 18, 57)
		}
	})
	Convey("A node that leaves moves its own right alone", t, func() {
		names := named(60)
		_, before := kept(names, "a", 51)
		_, after := kept(names[1:], "a", 51)
		moved := 0
		for _, name := range names[1:] {
			if before[name] != after[name] {
				moved++
			}
		}
		So(moved, ShouldBeLessThanOrEqualTo, 1)
	})
	Convey("An instance whose cap is not known yet takes one connection", t, func() {
		So(known(named(60)).Of("n0", "a", 0), ShouldResemble, Share{Kept: 1, Most: 1})
		So(known(named(60)).Of("n0", "a", 1), ShouldResemble, Share{Kept: 1, Most: 1})
	})
	Convey("A node keeps its rights for a minute", t, func() {
		n := known(named(20))
		So(n.Count(), ShouldEqual, 20)
		So(n.Note(named(10), time.Hour+30*time.Second), ShouldBeFalse)
		So(n.Count(), ShouldEqual, 20)
		So(n.Note(named(10), time.Hour+time.Minute), ShouldBeTrue)
		So(n.Count(), ShouldEqual, 10)
		So(n.Note(named(20), time.Hour+time.Minute), ShouldBeTrue)
		So((&Names{}).Count(), ShouldEqual, 1)
	})
}
