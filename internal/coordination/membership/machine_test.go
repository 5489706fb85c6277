package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

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
		send, isSend := effect.(Send)
		if isSend {
			t.messagesSent++
			t.entriesSent += len(send.Gossip.Nodes)
		}
		if !isSend || t.stopped[send.Address] || t.blocked(from, send.Address) {
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
	Convey("Nodes find each other from three seeds, and each is watched by a few", t, func() {
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
		Convey("A node that vanishes is held dead by all, and live again when it returns", func() {
			cluster.stopped["n07"] = true
			cluster.advance(6 * time.Second)
			So(cluster.countHolding("n07", StatusDead), ShouldEqual, 13)
			So(cluster.machines["n03"].CountLive(model.KindProxy), ShouldEqual, 13)
			cluster.stopped["n07"] = false
			cluster.machines["n07"] = New(model.Node{Name: "n07", Kind: model.KindProxy, RPCAddress: "n07", Incarnation: int64(cluster.now)}, []string{"n00", "n01", "n02"}, DefaultTiming())
			cluster.advance(4 * time.Second)
			So(cluster.countHolding("n07", StatusLive), ShouldEqual, 13)
		})
		Convey("One watcher that hears nothing of a node does not make it dead", func() {
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
		Convey("A node that says goodbye is left, not dead; one that joins is met by all", func() {
			cluster.machines["n05"].Leave()
			cluster.advance(time.Second)
			So(cluster.countHolding("n05", StatusLeft), ShouldEqual, 13)
			cluster.add("n99")
			cluster.advance(4 * time.Second)
			So(cluster.countHolding("n99", StatusLive), ShouldBeGreaterThanOrEqualTo, 13)
		})
	})
	Convey("At rest the cost of a node does not grow with the number of nodes, and no node is told of others", t, func() {
		for _, count := range []int{8, 40} {
			cluster := newCluster(count)
			cluster.advance(8 * time.Second)
			cluster.messagesSent, cluster.entriesSent = 0, 0
			cluster.advance(5 * time.Second)
			So(cluster.entriesSent, ShouldEqual, 0)
			SoMsg("a beat to each watcher, and a question with its answer each eight beats", cluster.messagesSent, ShouldBeLessThan, count*(5*1000/350+1)*WatchersPerNode*3/2)
		}
	})
	Convey("Nodes that start at once are told of each other a few times, not in each message while they are new", t, func() {
		cluster := newCluster(40)
		cluster.advance(4 * time.Second)
		for _, name := range cluster.names {
			So(cluster.countHolding(name, StatusLive), ShouldEqual, 39)
		}
		SoMsg("entries told to each node of each other", cluster.entriesSent/(40*39), ShouldBeLessThan, 12)
	})
	Convey("A seed that lives is asked seldom, one that does not at every eighth beat", t, func() {
		cluster := newCluster(40)
		cluster.advance(10 * time.Second)
		asked := func(seed string) int {
			count := 0
			for _, name := range cluster.names {
				if name != seed && !slices.Contains(cluster.machines[name].Watched(), seed) {
					cluster.machines[name].effects = nil
					cluster.machines[name].onTick(cluster.now + DefaultTiming().HeartbeatInterval)
					for _, effect := range cluster.machines[name].effects {
						send, isSend := effect.(Send)
						if isSend && send.Address == seed && !send.Gossip.Reply {
							count++
						}
					}
				}
			}
			return count
		}
		all := 0
		for range 16 {
			all += asked("n01")
			cluster.advance(DefaultTiming().HeartbeatInterval)
		}
		So(all, ShouldBeLessThan, 40)
	})
	Convey("A node that was cut off while others came and went is mended by digests, long after that was news", t, func() {
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
	Convey("A word of one watcher that was wrong is refuted by the node's own next beats", t, func() {
		cluster := newCluster(14)
		cluster.advance(4 * time.Second)
		for _, name := range cluster.names {
			if name != "n07" {
				beat := cluster.machines["n07"].Self().Heartbeat
				cluster.machines[name].Step(GossipReceived{Gossip: Gossip{
					From: cluster.machines["n01"].Self(), Suspicions: []Suspicion{{Node: "n07", Reporter: "n01", Heartbeat: beat, Incarnation: cluster.machines["n07"].Self().Incarnation}},
				}}, cluster.now)
			}
		}
		cluster.advance(6 * time.Second)
		for _, name := range cluster.names {
			So(len(cluster.machines[name].suspicions), ShouldEqual, 0)
		}
	})
	Convey("The fellows of a node are of its kind: watched ones where there are any, else all that live", t, func() {
		control := []string{"n00", "n01", "n02", "n03", "n04"}
		cluster := newCluster(11)
		cluster.setKind(model.KindControl, control...)
		cluster.advance(4 * time.Second)
		for _, name := range cluster.names {
			one := cluster.machines[name]
			watched, peers := one.Watched(), one.Peers()
			So(len(peers), ShouldBeGreaterThan, 0)
			for _, peer := range peers {
				So(peer.Kind, ShouldEqual, one.Self().Kind)
				So(peer.Name, ShouldNotEqual, name)
			}
			isAlike := func(other string) bool { return slices.Contains(control, other) == slices.Contains(control, name) }
			count := len(slices.DeleteFunc(slices.Clone(watched), func(other string) bool { return !isAlike(other) }))
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
	Convey("Two halves that held each other dead find one another soon after the cut between them is over", t, func() {
		cluster := newCluster(14)
		cluster.advance(4 * time.Second)
		half := func(name string) bool { return name < "n07" }
		cluster.blocked = func(from, to string) bool { return half(from) != half(to) }
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
