package consensus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestBootstrap(t *testing.T) {
	names := []string{"c1", "c2", "c3", "c4", "c5"}
	seeds := []string{address("c5"), address("c2"), address("c4")}
	bootstrap := func(string) BootstrapConfig { return BootstrapConfig{Voters: 3, MayBootstrap: true, Seeds: seeds} }
	Convey("If nodes are found at the seed addresses, they become the voters, and the other nodes become standbys that follow the newest record", t, func() {
		c := newCluster(names, bootstrap)
		c.run(5 * time.Second)
		So(c.machines["c2"].Voters(), ShouldResemble, []string{"c2", "c4", "c5"})
		So(c.primary(), ShouldEqual, "c2")
		for _, name := range []string{"c1", "c3"} {
			So(c.machines[name].Voters(), ShouldResemble, []string{"c2", "c4", "c5"})
			So(c.machines[name].IsMember(), ShouldBeFalse)
			So(c.machines[name].IsStandby(), ShouldBeTrue)
			So(c.machines[name].Record(), ShouldResemble, c.machines["c2"].Record())
		}
		c.up["c2"] = false
		c.run(5 * time.Second)
		So(c.primary(), ShouldNotBeEmpty)
		So(c.machines["c1"].Record(), ShouldResemble, c.machines[c.primary()].Record())
	})
	Convey("If too few seeds are discovered, the first nodes by name become the voters after a delay", t, func() {
		c := newCluster(names, func(string) BootstrapConfig {
			return BootstrapConfig{Voters: 3, MayBootstrap: true, Seeds: []string{address("c5"), "x:1", "y:1"}}
		})
		c.run(2 * time.Second)
		So(c.machines["c1"].Voters(), ShouldBeEmpty)
		c.run(3 * time.Second)
		So(c.machines["c1"].Voters(), ShouldResemble, []string{"c1", "c2", "c3"})
	})
	Convey("Nodes that may not bootstrap neither form a cluster nor agree to form one", t, func() {
		c := newCluster(names, func(string) BootstrapConfig { return BootstrapConfig{Voters: 3, Seeds: seeds} })
		c.run(20 * time.Second)
		for _, machine := range c.machines {
			So(machine.Voters(), ShouldBeEmpty)
			So(machine.Cluster(), ShouldBeEmpty)
		}
		blank := NewWithBootstrap("c9", BootstrapConfig{Voters: 3, Seeds: seeds}, DefaultTiming(), PersistentState{}, c.now)
		effects := blank.Step(Received{From: "c1", Body: FormCluster{Identity: Identity{Cluster: "x", Voters: []string{"c1", "c2", "c9"}}}}, c.now)
		So(effects, ShouldBeEmpty)
		So(blank.Cluster(), ShouldBeEmpty)
	})
	Convey("A node that belongs to a cluster in which it does not vote forms no second cluster", t, func() {
		c := newCluster(names, bootstrap)
		c.run(5 * time.Second)
		for _, name := range []string{"c2", "c4", "c5"} {
			c.up[name] = false
		}
		c.machines["c6"] = NewWithBootstrap("c6", bootstrap("c6"), DefaultTiming(), PersistentState{}, c.now)
		c.up["c6"] = true
		c.machines["c6"].Step(Tick{WallNanos: int64(c.now)}, c.now)
		c.machines["c6"].Step(Received{From: "c2", Body: Status{Cluster: c.machines["c2"].Cluster(), Decided: c.machines["c2"].Record()}}, c.now)
		c.run(20 * time.Second)
		for _, name := range []string{"c1", "c3", "c6"} {
			So(c.machines[name].Cluster(), ShouldEqual, c.machines["c2"].Cluster())
			So(c.machines[name].Record(), ShouldResemble, c.machines["c2"].Record())
			So(c.machines[name].IsMember(), ShouldBeFalse)
		}
		So(c.primary(), ShouldBeEmpty)
	})
	Convey("With ExactVoters set, exactly that number of nodes forms a cluster, and a larger number does not", t, func() {
		c := newCluster(names[:3], func(string) BootstrapConfig { return BootstrapConfig{ExactVoters: 3} })
		c.run(3 * time.Second)
		So(c.primary(), ShouldEqual, "c1")
		c = newCluster(names[:4], func(string) BootstrapConfig { return BootstrapConfig{ExactVoters: 3} })
		c.run(3 * time.Second)
		So(c.primary(), ShouldBeEmpty)
	})
}

func TestFormationAbandoned(t *testing.T) {
	names := []string{"c1", "c2", "c3"}
	record := Record{Epoch: 7, Primary: "c4", Voters: NewVoters(Member{"c4", 1}, Member{"c5", 2}, Member{"c6", 3})}
	Convey("A node gives up forming a cluster when it receives the status of a formed cluster", t, func() {
		m := newMachine("c1", 3, DefaultTiming(), PersistentState{}, time.Hour)
		m.Step(Peers{Names: names}, time.Hour)
		So(bodiesSent[FormCluster](m.Step(Tick{WallNanos: 77}, time.Hour)), ShouldNotBeEmpty)
		m.Step(Received{From: "c4", Body: Status{Cluster: "y", Decided: record}}, time.Hour)
		So(m.Record(), ShouldResemble, record)
		for _, name := range names[1:] {
			m.Step(Received{From: name, Body: FormClusterAck{Cluster: "c1-77", Incarnation: 1}}, time.Hour)
		}
		So(m.Record(), ShouldResemble, record)
		So(m.IsMember(), ShouldBeFalse)
	})
	Convey("A node that agreed to form a cluster gives up only on a message from the initiator, which might still complete the formation", t, func() {
		m := newMachine("c2", 3, DefaultTiming(), PersistentState{}, time.Hour)
		m.Step(Tick{WallNanos: 77}, time.Hour)
		form := FormCluster{Identity: Identity{Cluster: "c1-1", Self: "c1", Voters: names}}
		So(bodiesSent[FormClusterAck](m.Step(Received{From: "c1", Body: form}, time.Hour)), ShouldNotBeEmpty)
		m.Step(Received{From: "c4", Body: Status{Cluster: "y", Decided: record}}, time.Hour)
		So(m.Voters(), ShouldBeEmpty)
		m.Step(Received{From: "c1", Body: Status{Cluster: "y", Decided: record}}, time.Hour)
		So(m.Record(), ShouldResemble, record)
	})
}

func TestFormedByStatusOfAPeer(t *testing.T) {
	Convey("A node that agreed to form a cluster but missed its completion enters the cluster on the first status of that cluster", t, func() {
		names := []string{"c1", "c2", "c3"}
		m := newMachine("c2", 3, DefaultTiming(), PersistentState{}, time.Hour)
		m.Step(Peers{Names: names}, time.Hour)
		m.Step(Tick{WallNanos: 77}, time.Hour)
		identity := Identity{Cluster: "x", Self: "c1", Incarnation: 5, Voters: names}
		acks := bodiesSent[FormClusterAck](m.Step(Received{From: "c1", Body: FormCluster{Identity: identity}}, time.Hour))
		So(acks, ShouldResemble, []FormClusterAck{{Cluster: "x", Incarnation: 77}})
		So(len(bodiesSent[StatusRequest](m.Step(Tick{WallNanos: 78}, time.Hour+time.Second))), ShouldEqual, 2)
		record := Record{Epoch: 1, Primary: "c1", Backup: "c2", Voters: NewVoters(Member{"c1", 5}, Member{"c2", 77}, Member{"c3", 9})}
		m.Step(Received{From: "c3", Body: Status{Cluster: "other", Decided: record}}, time.Hour+time.Second)
		So(m.Voters(), ShouldBeEmpty)
		m.Step(Received{From: "c1", Body: Status{Cluster: "x", Decided: record}}, time.Hour+time.Second)
		So(m.Record(), ShouldResemble, record)
		So(m.IsMember(), ShouldBeTrue)
		So(bodiesSent[RenewLeaseAck](m.Step(Received{From: "c1", Body: RenewLease{Record: record}}, time.Hour+time.Second))[0].Granted, ShouldBeTrue)
	})
}
