package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

// cluster runs machines whose messages arrive at once, on a clock of its own.
type cluster struct {
	machines     map[string]*Machine
	names        []string
	now          time.Duration
	blocked      func(from, to string) bool
	stopped      map[string]bool
	entriesSent  int
	messagesSent int
}

func newCluster(count int) *cluster {
	t := &cluster{machines: map[string]*Machine{}, stopped: map[string]bool{}, blocked: func(string, string) bool { return false }}
	for at := range count {
		t.add(fmt.Sprintf("n%02d", at))
	}
	return t
}

func (t *cluster) add(name string) {
	node := model.Node{Name: name, Kind: model.KindProxy, RPCAddress: name, Incarnation: int64(t.now) + 1}
	t.machines[name] = New(node, []string{"n00", "n01", "n02"}, DefaultTiming())
	t.names = append(t.names, name)
}

func (t *cluster) setKind(kind string, names ...string) {
	for _, name := range names {
		t.machines[name].self.Kind = kind
	}
}

func (t *cluster) deliver(from string, effects []any) {
	for _, effect := range effects {
		send, ok := effect.(Send)
		if ok {
			t.messagesSent++
			t.entriesSent += len(send.Gossip.Nodes)
		}
		if !ok || t.stopped[send.Address] || t.blocked(from, send.Address) {
			continue
		}
		if target, known := t.machines[send.Address]; known {
			t.deliver(send.Address, target.Step(GossipReceived{Gossip: send.Gossip}, t.now))
		}
	}
}

func (t *cluster) advance(span time.Duration) {
	for end := t.now + span; t.now < end; t.now += 50 * time.Millisecond {
		for _, name := range t.names {
			if !t.stopped[name] {
				t.deliver(name, t.machines[name].Step(Tick{}, t.now))
			}
		}
	}
}

// countHolding returns how many running nodes hold a node to have a status.
func (t *cluster) countHolding(name, status string) int {
	count := 0
	for _, other := range t.names {
		if other != name && !t.stopped[other] && t.machines[other].Status(name) == status {
			count++
		}
	}
	return count
}

func TestMembership(t *testing.T) {
	Convey("Nodes discover each other from three seeds, and each has a few watchers", t, func() {
		cluster := newCluster(14)
		cluster.advance(4 * time.Second)
		watchers := 0
		for _, name := range cluster.names {
			So(cluster.countHolding(name, StatusLive), ShouldEqual, 13)
			watchers += len(cluster.machines[name].Watched())
		}
		So(watchers, ShouldEqual, 14*WatchersPerNode)
		So(cluster.machines["n03"].CountLive(model.KindProxy), ShouldEqual, 14)
		So(cluster.machines["n03"].CountLive(model.KindControl), ShouldEqual, 0)
		Convey("A node that fails is declared dead by all, and is live again when it restarts", func() {
			cluster.stopped["n07"] = true
			cluster.advance(6 * time.Second)
			So(cluster.countHolding("n07", StatusDead), ShouldEqual, 13)
			So(cluster.machines["n03"].CountLive(model.KindProxy), ShouldEqual, 13)
			cluster.stopped["n07"] = false
			cluster.machines["n07"] = New(model.Node{Name: "n07", Kind: model.KindProxy, RPCAddress: "n07", Incarnation: int64(cluster.now)}, []string{"n00", "n01", "n02"}, DefaultTiming())
			cluster.advance(4 * time.Second)
			So(cluster.countHolding("n07", StatusLive), ShouldEqual, 13)
		})
		Convey("The suspicion of a single watcher does not make a node dead", func() {
			var watcher string
			for _, name := range cluster.names {
				for _, watched := range cluster.machines[name].Watched() {
					if watched == "n07" {
						watcher = name
					}
				}
			}
			cluster.blocked = func(from, to string) bool {
				return (from == "n07" && to == watcher) || (from == watcher && to == "n07")
			}
			cluster.advance(8 * time.Second)
			So(cluster.countHolding("n07", StatusLive), ShouldEqual, 13)
		})
		Convey("A node that shuts down has left, and is not dead; one that joins is discovered by all", func() {
			cluster.machines["n05"].Leave()
			cluster.advance(time.Second)
			So(cluster.countHolding("n05", StatusLeft), ShouldEqual, 13)
			cluster.add("n99")
			cluster.advance(4 * time.Second)
			So(cluster.countHolding("n99", StatusLive), ShouldBeGreaterThanOrEqualTo, 13)
		})
	})
	Convey("Without changes the messages of a node do not grow with the number of nodes, and carry no entries", t, func() {
		for _, count := range []int{8, 40} {
			cluster := newCluster(count)
			cluster.advance(8 * time.Second)
			cluster.messagesSent, cluster.entriesSent = 0, 0
			cluster.advance(5 * time.Second)
			So(cluster.entriesSent, ShouldEqual, 0)
			SoMsg("a heartbeat to each watcher, and a subscription with its answer at each eighth", cluster.messagesSent, ShouldBeLessThan, count*(5*1000/350+1)*WatchersPerNode*3/2)
		}
	})
	Convey("Nodes that start together receive each other's entries a few times, not in each message of the gossip period", t, func() {
		cluster := newCluster(40)
		cluster.advance(4 * time.Second)
		for _, name := range cluster.names {
			So(cluster.countHolding(name, StatusLive), ShouldEqual, 39)
		}
		SoMsg("entries sent to each node of each other", cluster.entriesSent/(40*39), ShouldBeLessThan, 12)
	})
	Convey("A live seed is contacted seldom, a missing one at every eighth heartbeat", t, func() {
		cluster := newCluster(40)
		cluster.advance(10 * time.Second)
		countContacts := func(seed string) int {
			count := 0
			for _, name := range cluster.names {
				if name != seed && !slices.Contains(cluster.machines[name].Watched(), seed) {
					cluster.machines[name].effects = nil
					cluster.machines[name].onTick(cluster.now + DefaultTiming().HeartbeatInterval)
					for _, effect := range cluster.machines[name].effects {
						send, ok := effect.(Send)
						if ok && send.Address == seed && !send.Gossip.Reply {
							count++
						}
					}
				}
			}
			return count
		}
		all := 0
		for range 16 {
			all += countContacts("n01")
			cluster.advance(DefaultTiming().HeartbeatInterval)
		}
		So(all, ShouldBeLessThan, 40)
	})
	Convey("A node that was partitioned while others joined and left is repaired by digests, after the gossip period", t, func() {
		cluster := newCluster(14)
		cluster.advance(4 * time.Second)
		cluster.blocked = func(from, to string) bool { return (from == "n07") != (to == "n07") }
		cluster.advance(4 * time.Second)
		cluster.machines["n05"].Leave()
		cluster.add("n99")
		cluster.advance(6 * time.Second)
		So(cluster.machines["n07"].Status("n99"), ShouldEqual, "")
		cluster.blocked = func(string, string) bool { return false }
		cluster.advance(6 * time.Second)
		So(cluster.machines["n07"].Status("n99"), ShouldEqual, StatusLive)
		So(cluster.machines["n07"].Status("n05"), ShouldEqual, StatusLeft)
		So(cluster.countHolding("n07", StatusLive), ShouldEqual, 14)
	})
	Convey("A wrong suspicion is refuted by the next heartbeats of the node", t, func() {
		cluster := newCluster(14)
		cluster.advance(4 * time.Second)
		for _, name := range cluster.names {
			if name != "n07" {
				heartbeat := cluster.machines["n07"].Self().Heartbeat
				cluster.machines[name].Step(GossipReceived{Gossip: Gossip{
					From: cluster.machines["n01"].Self(), Suspicions: []Suspicion{{Node: "n07", Reporter: "n01", Heartbeat: heartbeat, Incarnation: cluster.machines["n07"].Self().Incarnation}},
				}}, cluster.now)
			}
		}
		cluster.advance(6 * time.Second)
		for _, name := range cluster.names {
			So(len(cluster.machines[name].suspicions), ShouldEqual, 0)
		}
	})
	Convey("The peers of a node are of its kind: the watched ones if there are any, else all live ones", t, func() {
		control := []string{"n00", "n01", "n02", "n03", "n04"}
		cluster := newCluster(11)
		cluster.setKind(model.KindControl, control...)
		cluster.advance(4 * time.Second)
		for _, name := range cluster.names {
			machine := cluster.machines[name]
			watched, peers := machine.Watched(), machine.Peers()
			So(len(peers), ShouldBeGreaterThan, 0)
			for _, peer := range peers {
				So(peer.Kind, ShouldEqual, machine.Self().Kind)
				So(peer.Name, ShouldNotEqual, name)
			}
			sameKind := func(other string) bool { return slices.Contains(control, other) == slices.Contains(control, name) }
			count := len(slices.DeleteFunc(slices.Clone(watched), func(other string) bool { return !sameKind(other) }))
			if count == 0 {
				count = len(control) - 1
				if !slices.Contains(control, name) {
					count = len(cluster.names) - len(control) - 1
				}
			}
			So(len(peers), ShouldEqual, count)
		}
		lone := newCluster(3)
		lone.setKind(model.KindControl, "n01", "n02")
		lone.advance(4 * time.Second)
		So(lone.machines["n00"].Peers(), ShouldBeEmpty)
	})
	Convey("Two halves that declared each other dead rejoin soon after the partition has healed", t, func() {
		cluster := newCluster(14)
		cluster.advance(4 * time.Second)
		firstHalf := func(name string) bool { return name < "n07" }
		cluster.blocked = func(from, to string) bool { return firstHalf(from) != firstHalf(to) }
		cluster.advance(8 * time.Second)
		So(cluster.countHolding("n01", StatusDead), ShouldEqual, 7)
		So(cluster.countHolding("n09", StatusDead), ShouldEqual, 7)
		cluster.blocked = func(string, string) bool { return false }
		cluster.advance(1500 * time.Millisecond)
		for _, name := range cluster.names {
			So(cluster.countHolding(name, StatusLive), ShouldEqual, 13)
		}
	})
}
