package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/store"
)

type cluster struct {
	now          time.Duration
	machines     map[string]*Machine
	up           map[string]bool
	results      map[uint64]SubmitResult
	epochChanges int
	sent         func(from, to string, body any)
}

func address(name string) string { return name + ":1" }

func newCluster(names []string, founding func(name string) BootstrapConfig) *cluster {
	c := &cluster{now: time.Hour, machines: map[string]*Machine{}, up: map[string]bool{}, results: map[uint64]SubmitResult{}}
	for _, name := range names {
		c.machines[name] = NewWithBootstrap(name, founding(name), DefaultTiming(), PersistentState{}, c.now)
		c.up[name] = true
	}
	return c
}

func (c *cluster) apply(name string, effects []Effect) {
	for _, effect := range effects {
		if answer, isOne := effect.(SubmitResult); isOne {
			c.results[answer.Token] = answer
		}
		if turned, isOne := effect.(EpochChanged); isOne {
			c.epochChanges++
			So(turned.Table, ShouldNotBeNil)
		}
		if send, isOne := effect.(Send); isOne && c.up[send.To] && c.up[name] {
			if c.sent != nil {
				c.sent(name, send.To, send.Body)
			}
			c.step(send.To, Received{From: name, Body: send.Body})
		}
	}
}

func (c *cluster) step(name string, event any) { c.apply(name, c.machines[name].Step(event, c.now)) }

func (c *cluster) live() []string {
	var names []string
	for name, isUp := range c.up {
		if isUp {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (c *cluster) run(span time.Duration) {
	for until := c.now + span; c.now < until; c.now += 20 * time.Millisecond {
		peers := Peers{ByAddress: map[string]string{}}
		for _, name := range c.live() {
			peers.Names = append(peers.Names, name)
			peers.ByAddress[address(name)] = name
		}
		for _, name := range c.live() {
			c.step(name, peers)
			c.step(name, Tick{WallNanos: int64(c.now)})
		}
	}
}

func (c *cluster) primary() string {
	for _, name := range c.live() {
		if c.machines[name].IsPrimary(c.now) {
			return name
		}
	}
	return ""
}

func (c *cluster) submit(token uint64) {
	if primary := c.primary(); primary != "" {
		c.step(primary, Submit{Token: token, Build: func(*store.Table) []store.Put {
			return []store.Put{{Key: fmt.Sprint(token), Data: []byte("x")}}
		}})
	}
}

func (c *cluster) replicasWith(token uint64) int {
	count := 0
	for _, machine := range c.machines {
		if _, isHeld := machine.ReplicaTable().Records[fmt.Sprint(token)]; isHeld {
			count++
		}
	}
	return count
}

func TestFounding(t *testing.T) {
	names := []string{"c1", "c2", "c3", "c4", "c5"}
	seeds := []string{address("c5"), address("c2"), address("c4")}
	founder := func(string) BootstrapConfig { return BootstrapConfig{Voters: 3, MayBootstrap: true, Seeds: seeds} }
	Convey("The voters are those behind the seeds; the others follow, know the primary and have no vote", t, func() {
		c := newCluster(names, founder)
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
	Convey("Where too few are met behind the seeds, the first by name vote, once they have been met for a while", t, func() {
		c := newCluster(names, func(string) BootstrapConfig {
			return BootstrapConfig{Voters: 3, MayBootstrap: true, Seeds: []string{address("c5"), "x:1", "y:1"}}
		})
		c.run(2 * time.Second)
		So(c.machines["c1"].Voters(), ShouldBeEmpty)
		c.run(3 * time.Second)
		So(c.machines["c1"].Voters(), ShouldResemble, []string{"c1", "c2", "c3"})
	})
	Convey("Machines that are no founders found nothing, and agree to nothing", t, func() {
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
	Convey("A founder told of a fleet without it founds no second one", t, func() {
		c := newCluster(names, founder)
		c.run(5 * time.Second)
		for _, name := range []string{"c2", "c4", "c5"} {
			c.up[name] = false
		}
		c.machines["c6"] = NewWithBootstrap("c6", founder("c6"), DefaultTiming(), PersistentState{}, c.now)
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
	Convey("An exact count of disk machines forms as before, and no other count does", t, func() {
		c := newCluster(names[:3], func(string) BootstrapConfig { return BootstrapConfig{ExactVoters: 3} })
		c.run(3 * time.Second)
		So(c.primary(), ShouldEqual, "c1")
		c = newCluster(names[:4], func(string) BootstrapConfig { return BootstrapConfig{ExactVoters: 3} })
		c.run(3 * time.Second)
		So(c.primary(), ShouldBeEmpty)
	})
}

func TestPairedWrites(t *testing.T) {
	names := []string{"c1", "c2", "c3"}
	started := func(isPaired bool) *cluster {
		c := newCluster(names, func(string) BootstrapConfig { return BootstrapConfig{ExactVoters: 3, RequireBackup: isPaired} })
		c.run(3 * time.Second)
		So(c.primary(), ShouldNotBeEmpty)
		return c
	}
	loses := []func(c *cluster){
		func(c *cluster) { c.up[c.machines[c.primary()].Record().Backup] = false },
		func(c *cluster) { c.up[c.primary()] = false },
	}
	Convey("With one of three lost, primary or backup, the others pair up within seconds, and what is acknowledged is on two disks", t, func() {
		for _, lose := range loses {
			c := started(true)
			lose(c)
			token := uint64(100)
			for at := time.Duration(0); at < 6*time.Second; at += 100 * time.Millisecond {
				token++
				c.submit(token)
				c.run(100 * time.Millisecond)
				for number, answer := range c.results {
					if answer.Committed {
						So(c.replicasWith(number), ShouldBeGreaterThanOrEqualTo, 2)
					}
				}
			}
			So(c.results[token-5].Committed, ShouldBeTrue)
			So(c.machines[c.primary()].Record().Backup, ShouldNotBeEmpty)
		}
	})
	Convey("A write under way when the backup is lost is not acknowledged before another has it; without pairing it is", t, func() {
		for _, isPaired := range []bool{true, false} {
			c := started(isPaired)
			first := c.primary()
			backup := c.machines[first].Record().Backup
			c.up[backup] = false
			c.submit(7)
			isAlone := false
			for range 200 {
				c.run(20 * time.Millisecond)
				if answer, isGiven := c.results[7]; isGiven && answer.Committed {
					isAlone = c.machines[first].Record().Backup == ""
					break
				}
			}
			So(c.results[7].Committed, ShouldBeTrue)
			So(isAlone, ShouldNotEqual, isPaired)
		}
	})
	Convey("A write that comes while the primary is alone waits; without pairing it does not", t, func() {
		for _, isPaired := range []bool{true, false} {
			c := started(isPaired)
			first := c.primary()
			for _, name := range c.live() {
				c.machines[first].excludedUntil[name] = c.now + time.Hour
			}
			c.up[c.machines[first].Record().Backup] = false
			for range 500 {
				c.run(20 * time.Millisecond)
				if c.machines[first].Record().Backup == "" {
					break
				}
			}
			So(c.machines[first].Record().Backup, ShouldBeEmpty)
			So(c.primary(), ShouldEqual, first)
			c.submit(8)
			So(c.results[8].Committed, ShouldNotEqual, isPaired)
			clear(c.machines[first].excludedUntil)
			c.run(time.Second)
			So(c.results[8].Committed, ShouldBeTrue)
			So(c.replicasWith(8), ShouldBeGreaterThanOrEqualTo, 2)
		}
	})
	Convey("The others have paired within 2 s of the loss", t, func() {
		for _, lose := range loses {
			c := started(true)
			lose(c)
			c.submit(9)
			c.run(2 * time.Second)
			So(c.primary(), ShouldNotBeEmpty)
			So(c.machines[c.primary()].Record().Backup, ShouldNotBeEmpty)
		}
	})
}

func TestFormationAbandoned(t *testing.T) {
	names := []string{"c1", "c2", "c3"}
	record := Record{Epoch: 7, Primary: "c4", Voters: NewVoters(Member{"c4", 1}, Member{"c5", 2}, Member{"c6", 3})}
	Convey("A founder gives its own founding up for a fleet that is formed", t, func() {
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
	Convey("A machine that agreed to a founding does so only on the founder's word, who might still complete it", t, func() {
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
	Convey("A machine that agreed to a fleet and missed the word that all did is formed by the first that tells it where things stand", t, func() {
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
