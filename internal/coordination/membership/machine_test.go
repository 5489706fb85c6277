package membership

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestMembership(t *testing.T) {
	Convey("Nodes discover each other from three seeds, and each has a few watchers", t, func() {
		cluster := newCluster(14)
		cluster.advance(4 * time.Second)
		watchers := 0
		for _, name := range cluster.names {
			So(cluster.countObservers(name, StatusLive), ShouldEqual, 13)
			watchers += len(cluster.machines[name].Watched())
		}
		So(watchers, ShouldEqual, 14*WatchersPerNode)
		So(cluster.machines["n03"].CountLive(model.KindProxy), ShouldEqual, 14)
		So(cluster.machines["n03"].CountLive(model.KindControl), ShouldEqual, 0)
		Convey("A node that fails is declared dead by all nodes, and is live again after it restarts", func() {
			cluster.stopped["n07"] = true
			cluster.advance(6 * time.Second)
			So(cluster.countObservers("n07", StatusDead), ShouldEqual, 13)
			So(cluster.machines["n03"].CountLive(model.KindProxy), ShouldEqual, 13)
			cluster.stopped["n07"] = false
			cluster.start("n07", int64(cluster.now))
			cluster.advance(4 * time.Second)
			So(cluster.countObservers("n07", StatusLive), ShouldEqual, 13)
		})
		Convey("The suspicion of a single watcher does not cause a node to be declared dead", func() {
			watchers := cluster.watchersOf("n07")
			watcher := watchers[len(watchers)-1]
			cluster.blocked = func(from, to string) bool {
				return (from == "n07" && to == watcher) || (from == watcher && to == "n07")
			}
			cluster.advance(8 * time.Second)
			So(cluster.countObservers("n07", StatusLive), ShouldEqual, 13)
		})
		Convey("A node that shuts down is recorded as left, not as dead, and a node that joins is discovered by all nodes", func() {
			cluster.machines["n05"].Leave()
			cluster.advance(time.Second)
			So(cluster.countObservers("n05", StatusLeft), ShouldEqual, 13)
			cluster.add("n99")
			cluster.advance(4 * time.Second)
			So(cluster.countObservers("n99", StatusLive), ShouldBeGreaterThanOrEqualTo, 13)
		})
	})
	Convey("The peers of a node are the live nodes of its kind that it watches, or all live nodes of its kind if it watches none of them", t, func() {
		cluster := newCluster(11)
		control, proxies := cluster.names[:5], cluster.names[5:]
		cluster.setKind(model.KindControl, control...)
		cluster.advance(4 * time.Second)
		for _, namesOfKind := range [][]string{control, proxies} {
			for _, name := range namesOfKind {
				machine := cluster.machines[name]
				others := slices.DeleteFunc(slices.Clone(namesOfKind), func(other string) bool { return other == name })
				expected := slices.DeleteFunc(slices.Clone(machine.Watched()), func(other string) bool { return !slices.Contains(others, other) })
				if len(expected) == 0 {
					expected = others
				}
				var peers []string
				for _, peer := range machine.Peers() {
					So(peer.Kind, ShouldEqual, machine.Self().Kind)
					peers = append(peers, peer.Name)
				}
				SoMsg(name, peers, ShouldResemble, expected)
			}
		}
		mixed := newCluster(3)
		mixed.setKind(model.KindControl, "n01", "n02")
		mixed.advance(4 * time.Second)
		So(mixed.machines["n00"].Peers(), ShouldBeEmpty)
	})
	Convey("Two halves that declared each other dead rejoin soon after the partition has healed", t, func() {
		cluster := newCluster(14)
		cluster.advance(4 * time.Second)
		firstHalf := func(name string) bool { return name < "n07" }
		cluster.blocked = func(from, to string) bool { return firstHalf(from) != firstHalf(to) }
		cluster.advance(8 * time.Second)
		So(cluster.countObservers("n01", StatusDead), ShouldEqual, 7)
		So(cluster.countObservers("n09", StatusDead), ShouldEqual, 7)
		cluster.heal()
		cluster.advance(1500 * time.Millisecond)
		for _, name := range cluster.names {
			So(cluster.countObservers(name, StatusLive), ShouldEqual, 13)
		}
	})
}
