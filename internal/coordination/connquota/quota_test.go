package connquota

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func nodeNames(count int) []string {
	names := make([]string, count)
	for at := range names {
		names[at] = fmt.Sprintf("n%d", at)
	}
	return names
}

func newMembers(names []string) *Members {
	m := &Members{}
	m.Update(names, time.Hour)
	return m
}

// kept sums what all nodes may keep at an instance, and names who keeps.
func idleQuotas(names []string, instance string, connections int) (sum int, who map[string]bool) {
	m, who := newMembers(names), map[string]bool{}
	for _, name := range names {
		quota := m.Quota(name, instance, connections)
		sum += quota.MaxIdle
		who[name] = quota.MaxIdle > 0
	}
	return sum, who
}

func TestQuotas(t *testing.T) {
	Convey("Where each node's share is two or more, all have it, and none gives back", t, func() {
		for _, shape := range [][3]int{{1, 20, 10}, {4, 20, 4}, {9, 20, 2}, {90, 420, 4}} {
			m := newMembers(nodeNames(shape[0]))
			quota := m.Quota("n0", "a", shape[1])
			So(quota, ShouldResemble, Quota{MaxIdle: shape[2], MaxOpen: shape[2]})
			So(quota.IsScarce(), ShouldBeFalse)
		}
	})
	Convey("Where it is less, never more than half is kept, and nearly that is", t, func() {
		for _, shape := range [][2]int{{60, 51}, {60, 110}, {30, 20}, {200, 51}, {930, 110}, {10, 2}, {60, 60}} {
			for instance := range 20 {
				sum, _ := idleQuotas(nodeNames(shape[0]), fmt.Sprint("i", instance), shape[1])
				So(sum, ShouldEqual, min(shape[1]/2, shape[0]))
			}
		}
	})
	Convey("Rights at many instances fall evenly on the nodes", t, func() {
		held := map[string]int{}
		for instance := range 90 {
			_, who := idleQuotas(nodeNames(60), fmt.Sprint("i", instance), 51)
			for name, idle := range who {
				if idle {
					held[name]++
				}
			}
		}
		for _, count := range held {
			So(count, ShouldBeBetween, 18, 57)
		}
	})
	Convey("A node that leaves moves its own right alone", t, func() {
		names := nodeNames(60)
		_, before := idleQuotas(names, "a", 51)
		_, after := idleQuotas(names[1:], "a", 51)
		moved := 0
		for _, name := range names[1:] {
			if before[name] != after[name] {
				moved++
			}
		}
		So(moved, ShouldBeLessThanOrEqualTo, 1)
	})
	Convey("An instance whose cap is not known yet takes one connection", t, func() {
		So(newMembers(nodeNames(60)).Quota("n0", "a", 0), ShouldResemble, Quota{MaxIdle: 1, MaxOpen: 1})
		So(newMembers(nodeNames(60)).Quota("n0", "a", 1), ShouldResemble, Quota{MaxIdle: 1, MaxOpen: 1})
	})
	Convey("A node keeps its rights for a minute", t, func() {
		m := newMembers(nodeNames(20))
		So(m.Count(), ShouldEqual, 20)
		So(m.Update(nodeNames(10), time.Hour+30*time.Second), ShouldBeFalse)
		So(m.Count(), ShouldEqual, 20)
		So(m.Update(nodeNames(10), time.Hour+time.Minute), ShouldBeTrue)
		So(m.Count(), ShouldEqual, 10)
		So(m.Update(nodeNames(20), time.Hour+time.Minute), ShouldBeTrue)
		So((&Members{}).Count(), ShouldEqual, 1)
	})
}
