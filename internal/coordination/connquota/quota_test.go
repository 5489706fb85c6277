package connquota

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func nodeNames(count int) []string {
	names := make([]string, count)
	for index := range names {
		names[index] = fmt.Sprintf("n%d", index)
	}
	return names
}

func newMembers(names []string) *Members {
	m := &Members{}
	m.Update(names, time.Hour)
	return m
}

// idleQuotas returns the sum of MaxIdle over all nodes at an instance, and for each
// node whether its MaxIdle is above 0.
func idleQuotas(names []string, instance string, connections int) (sum int, hasIdle map[string]bool) {
	m, hasIdle := newMembers(names), map[string]bool{}
	for _, name := range names {
		quota := m.Quota(name, instance, connections)
		sum += quota.MaxIdle
		hasIdle[name] = quota.MaxIdle > 0
	}
	return sum, hasIdle
}

func TestQuotas(t *testing.T) {
	Convey("If each node's share is two connections or more, each node has its share exclusively", t, func() {
		for _, test := range []struct{ nodes, limit, share int }{
			{1, 20, 10},
			{4, 20, 4},
			{9, 20, 2},
			{90, 420, 4},
		} {
			quota := newMembers(nodeNames(test.nodes)).Quota("n0", "a", test.limit)
			SoMsg(fmt.Sprintf("%+v", test), quota, ShouldResemble, Quota{MaxIdle: test.share, MaxOpen: test.share})
			SoMsg(fmt.Sprintf("%+v", test), quota.IsScarce(), ShouldBeFalse)
		}
	})
	Convey("If each node's share is less than two connections, half of the limit is assigned as idle connections", t, func() {
		for _, test := range []struct{ nodes, limit int }{
			{60, 51}, {60, 110}, {30, 20}, {200, 51}, {930, 110}, {10, 2}, {60, 60},
		} {
			for instance := range 20 {
				sum, _ := idleQuotas(nodeNames(test.nodes), fmt.Sprint("i", instance), test.limit)
				SoMsg(fmt.Sprintf("%+v", test), sum, ShouldEqual, min(test.limit/2, test.nodes))
			}
		}
	})
	Convey("Idle connections at many instances are spread evenly over the nodes", t, func() {
		idleByNode := map[string]int{}
		for instance := range 90 {
			_, hasIdle := idleQuotas(nodeNames(60), fmt.Sprint("i", instance), 51)
			for name, idle := range hasIdle {
				if idle {
					idleByNode[name]++
				}
			}
		}
		for _, count := range idleByNode {
			So(count, ShouldBeBetween, 18, 57)
		}
	})
	Convey("If a node leaves, only its own idle connection moves to another node", t, func() {
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
	Convey("A node may open one connection to an instance whose limit is not known yet", t, func() {
		So(newMembers(nodeNames(60)).Quota("n0", "a", 0), ShouldResemble, Quota{MaxIdle: 1, MaxOpen: 1})
		So(newMembers(nodeNames(60)).Quota("n0", "a", 1), ShouldResemble, Quota{MaxIdle: 1, MaxOpen: 1})
	})
	Convey("A node that is no longer live keeps its quota for a minute", t, func() {
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
