package membership

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGossipCost(t *testing.T) {
	Convey("Without changes, the number of messages per node does not grow with the number of nodes, and messages carry no entries", t, func() {
		for _, count := range []int{8, 40} {
			cluster := newCluster(count)
			cluster.advance(8 * time.Second)
			cluster.messagesSent, cluster.entriesSent = 0, 0
			cluster.advance(5 * time.Second)
			So(cluster.entriesSent, ShouldEqual, 0)
			SoMsg("messages: a heartbeat to each watcher, and a subscription and its answer at every eighth heartbeat", cluster.messagesSent, ShouldBeLessThan, count*(5*1000/350+1)*WatchersPerNode*3/2)
		}
	})
	Convey("Nodes that start together receive each other's entries only a few times, instead of in each message of the gossip period", t, func() {
		cluster := newCluster(40)
		cluster.advance(4 * time.Second)
		for _, name := range cluster.names {
			So(cluster.countObservers(name, StatusLive), ShouldEqual, 39)
		}
		SoMsg("average number of times that a node's entry is sent to another node", cluster.entriesSent/(40*39), ShouldBeLessThan, 12)
	})
	Convey("A live seed is contacted rarely, whereas a missing seed would be contacted at every eighth heartbeat", t, func() {
		cluster := newCluster(40)
		cluster.advance(10 * time.Second)
		const seed = "n01"
		contacts := 0
		for range 16 {
			watchers := cluster.watchersOf(seed)
			for _, name := range cluster.names {
				if name != seed && !slices.Contains(watchers, name) {
					effects := cluster.machines[name].Step(Tick{}, cluster.now+DefaultTiming().HeartbeatInterval)
					contacts += countContacts(effects, seed)
				}
			}
			cluster.advance(DefaultTiming().HeartbeatInterval)
		}
		So(contacts, ShouldBeLessThan, 40)
	})
}

// countContacts returns the number of messages to an address that are not replies.
func countContacts(effects []Effect, address string) int {
	count := 0
	for _, effect := range effects {
		send, ok := effect.(Send)
		if ok && send.Address == address && !send.Gossip.Reply {
			count++
		}
	}
	return count
}

func TestRepair(t *testing.T) {
	Convey("A node that was partitioned while others joined and left receives the changes through digests, even after the gossip period", t, func() {
		cluster := newCluster(14)
		cluster.advance(4 * time.Second)
		cluster.blocked = func(from, to string) bool { return (from == "n07") != (to == "n07") }
		cluster.advance(4 * time.Second)
		cluster.machines["n05"].Leave()
		cluster.add("n99")
		cluster.advance(6 * time.Second)
		So(cluster.machines["n07"].Status("n99"), ShouldEqual, "")
		cluster.heal()
		cluster.advance(6 * time.Second)
		So(cluster.machines["n07"].Status("n99"), ShouldEqual, StatusLive)
		So(cluster.machines["n07"].Status("n05"), ShouldEqual, StatusLeft)
		So(cluster.countObservers("n07", StatusLive), ShouldEqual, 14)
	})
	Convey("A wrong suspicion is refuted by the next heartbeats of the suspected node", t, func() {
		cluster := newCluster(14)
		cluster.advance(4 * time.Second)
		reporter, suspected := cluster.machines["n01"].Self(), cluster.machines["n07"].Self()
		suspicion := Suspicion{
			Node:        suspected.Name,
			Reporter:    reporter.Name,
			Heartbeat:   suspected.Heartbeat,
			Incarnation: suspected.Incarnation,
		}
		event := GossipReceived{Gossip: Gossip{From: reporter, Suspicions: []Suspicion{suspicion}}}
		for _, name := range cluster.names {
			if name != suspected.Name {
				cluster.machines[name].Step(event, cluster.now)
			}
		}
		cluster.advance(6 * time.Second)
		for _, name := range cluster.names {
			So(len(cluster.machines[name].suspicions), ShouldEqual, 0)
		}
	})
}
