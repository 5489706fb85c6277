package consensus

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

func TestReplacement(t *testing.T) {
	Convey("When a node of any role is lost, its replacement votes and is repaired within catchUpTime, so that the cluster tolerates the loss of any further node, repeatedly", t, func() {
		for firstRole, pickFirst := range nodeByRole {
			for secondRole, pickSecond := range nodeByRole {
				c, bootstrap := newFormedCluster(3, "c1", "c2", "c3")
				token := uint64(1)
				So(c.submitAndCommit(token), ShouldBeTrue)
				for round := range 4 {
					scenario := fmt.Sprintf("%s, then %s, %d", firstRole, secondRole, round)
					c.up[pickFirst(c)] = false
					c.run(time.Second)
					name := fmt.Sprintf("n%d", round)
					c.startBlankNode(bootstrap, name)
					c.run(catchUpTime)
					So(c.primary(), ShouldNotBeEmpty)
					SoMsg(scenario, c.machines[name].IsMember(), ShouldBeTrue)
					SoMsg(scenario, c.machines[c.primary()].Record().Backup, ShouldNotBeEmpty)
					lost := pickSecond(c)
					c.up[lost] = false
					c.run(3 * time.Second)
					token++
					SoMsg(scenario, c.submitAndCommit(token), ShouldBeTrue)
					So(c.machines[c.primary()].CommittedTable().Records, ShouldContainKey, "1")
					c.up[lost] = true
					c.run(5 * time.Second)
				}
			}
		}
	})
	Convey("When the disk of any node is lost, and another disk after catchUpTime, all acknowledged writes are kept", t, func() {
		for _, pickFirst := range nodeByRole {
			for _, pickSecond := range nodeByRole {
				c, bootstrap := newFormedCluster(3, "c1", "c2", "c3")
				for token := uint64(1); token < 8; token += 2 {
					So(c.submitAndCommit(token), ShouldBeTrue)
					c.startBlankNode(bootstrap, pickFirst(c))
					c.run(catchUpTime)
					So(c.submitAndCommit(token+1), ShouldBeTrue)
					c.startBlankNode(bootstrap, pickSecond(c))
					c.run(catchUpTime)
					for earlierToken := uint64(1); earlierToken <= token+1; earlierToken++ {
						So(c.machines[c.primary()].CommittedTable().Records, ShouldContainKey, fmt.Sprint(earlierToken))
					}
				}
			}
		}
	})
	Convey("When two of five nodes are replaced and the primary and the backup then lose their disks, all acknowledged writes are kept", t, func() {
		for _, role := range []string{"primary", "backup", "witness"} {
			c, bootstrap := newFormedCluster(5, "c1", "c2", "c3", "c4", "c5")
			So(c.submitAndCommit(1), ShouldBeTrue)
			for round := range 3 {
				firstLost := nodeByRole[role](c)
				voters := c.machines[c.primary()].Record().Voters.Names()
				secondLost := voters[round]
				if secondLost == firstLost {
					secondLost = voters[round+1]
				}
				c.up[firstLost], c.up[secondLost] = false, false
				c.run(time.Second)
				c.startBlankNode(bootstrap, fmt.Sprintf("n%d", 2*round))
				c.startBlankNode(bootstrap, fmt.Sprintf("n%d", 2*round+1))
				c.run(6 * time.Second)
				record := c.machines[c.primary()].Record()
				for name, up := range c.up {
					So(record.Voters.Names(), map[bool]func(any, ...any) string{true: ShouldContain, false: ShouldNotContain}[up], name)
				}
				So(c.submitAndCommit(uint64(round+2)), ShouldBeTrue)
				c.wipeDisks(bootstrap, record.Primary, record.Backup)
				c.run(8 * time.Second)
				for earlierToken := 1; earlierToken <= round+2; earlierToken++ {
					So(c.machines[c.primary()].CommittedTable().Records, ShouldContainKey, fmt.Sprint(earlierToken))
				}
			}
		}
	})
	Convey("A node that was replaced while it was down does not become primary on the basis of its old record, and returns as a standby", t, func() {
		c, bootstrap := newFormedCluster(3, "c1", "c2", "c3")
		absent := c.primary()
		c.up[absent] = false
		c.run(time.Second)
		c.startBlankNode(bootstrap, "n1")
		c.run(catchUpTime)
		for _, name := range c.upNodes() {
			c.up[name] = false
		}
		c.up[absent] = true
		c.run(5 * time.Second)
		So(c.primary(), ShouldBeEmpty)
		for name := range c.up {
			c.up[name] = true
		}
		c.run(3 * time.Second)
		So(c.primary(), ShouldNotBeEmpty)
		So(c.primary(), ShouldNotEqual, absent)
		So(c.machines[absent].IsStandby(), ShouldBeTrue)
		So(c.machines[absent].Record(), ShouldResemble, c.machines[c.primary()].Record())
		c.up["n1"] = false
		c.run(catchUpTime)
		So(c.machines[absent].IsMember(), ShouldBeTrue)
	})
	Convey("A voter is not replaced while it replies, before it has been silent for silentVoterLeases, or by a standby that is down", t, func() {
		c, bootstrap := newFormedCluster(3, "c1", "c2", "c3")
		c.startBlankNode(bootstrap, "n1")
		c.run(20 * time.Second)
		So(c.machines["n1"].IsMember(), ShouldBeFalse)
		witness := c.witness()
		for range 5 {
			c.up[witness] = false
			c.run(silentVoterLeases*DefaultTiming().PrimaryLease - 200*time.Millisecond)
			So(c.machines["n1"].IsMember(), ShouldBeFalse)
			c.up[witness] = true
			c.run(time.Second)
		}
		c.up["n1"], c.up[witness] = false, false
		c.run(20 * time.Second)
		So(c.machines[c.primary()].Record().Voters.Names(), ShouldContain, witness)
	})
	Convey("The standby in the zone with the fewest voters is chosen", t, func() {
		m := newFormedMachine("c1", time.Hour)
		m.peers.zones = map[string]string{"c1": "a", "c2": "b", "c3": "c", "n1": "a", "n2": "b", "n3": "c", "n4": "c"}
		ready := []Member{{"n1", 1}, {"n2", 1}, {"n3", 1}, {"n4", 1}}
		So(m.pickStandby(ready, Member{Name: "c3"}).Name, ShouldEqual, "n3")
		So(m.pickStandby(ready, Member{Name: "c2"}).Name, ShouldEqual, "n2")
		So(m.pickStandby(ready[:2], Member{Name: "c3"}).Name, ShouldEqual, "n1")
	})
}

func TestOffers(t *testing.T) {
	now := time.Hour
	newPrimary := func() *Machine {
		m := newFormedMachine("c1", now)
		m.Step(Tick{WallNanos: 77}, now)
		m.Step(Received{From: "c3", Body: RenewLeaseAck{Decided: m.Record(), SentAt: now, Incarnation: m.processIncarnation, Granted: true}}, now)
		So(m.IsPrimary(now), ShouldBeTrue)
		return m
	}
	sendOffer := func(m *Machine, join Join) []Effect {
		return m.Step(Received{From: "n1", Body: join}, now)
	}
	Convey("An offer is answered with the newest record, and is valid only if its sender has synced that record and is not a voter in it", t, func() {
		m := newPrimary()
		effects := sendOffer(m, Join{Cluster: "x", Epoch: 3, Incarnation: 7})
		So(bodiesSent[Decided](effects), ShouldResemble, []Decided{{Record: m.Record()}})
		So(m.readyStandbys(now), ShouldBeEmpty)
		sendOffer(m, Join{Cluster: "other", Epoch: 4, Incarnation: 7})
		So(m.readyStandbys(now), ShouldBeEmpty)
		sendOffer(m, Join{Cluster: "x", Epoch: 4, Incarnation: 7})
		So(m.readyStandbys(now), ShouldResemble, []Member{{"n1", 7}})
		So(m.readyStandbys(now+standbyOfferTTL), ShouldBeEmpty)
		m.Step(Received{From: "c2", Body: Join{Cluster: "x", Epoch: 4}}, now)
		So(len(m.readyStandbys(now)), ShouldEqual, 1)
	})
	Convey("An offer made in an older epoch is no longer valid in a newer epoch", t, func() {
		m := newPrimary()
		sendOffer(m, Join{Cluster: "x", Epoch: 4, Incarnation: 7})
		next := m.Record()
		next.Epoch, next.Backup = 5, "c3"
		m.Step(Received{From: "c3", Body: Decided{Record: next}}, now)
		So(m.readyStandbys(now), ShouldBeEmpty)
	})
	Convey("A standby's offer is held back until the record without the standby as a voter is synced", t, func() {
		m := newBlankMachine("n1", now)
		var gate SyncGate
		effects := m.Step(Received{From: "c2", Body: Status{Cluster: "x", Decided: Record{Epoch: 4, Primary: "c1", Voters: votersWithoutIncarnation(fiveNodes)}}}, now)
		effects = append(effects, m.Step(Tick{WallNanos: 78}, now+time.Second)...)
		So(len(bodiesSent[Join](effects)), ShouldEqual, 1)
		So(bodiesSent[Join](gate.Pass(effects, now)), ShouldBeEmpty)
		var ready []Effect
		for range 2 {
			_, due := gate.Next(now)
			So(due, ShouldBeTrue)
			So(bodiesSent[Join](ready), ShouldBeEmpty)
			ready = gate.Done(true, now)
		}
		So(len(bodiesSent[Join](ready)), ShouldEqual, 1)
	})
	Convey("A voter that is removed by a new record has an incomplete replica, and so votes for no spare, until it is a voter again and is repaired", t, func() {
		record := Record{Epoch: 4, Primary: "c1", Backup: "c2", Voters: votersWithoutIncarnation(fiveNodes)}
		m := NewWithBootstrap("c4", BootstrapConfig{Voters: 5, RequireBackup: true}, DefaultTiming(), PersistentState{
			Identity:   &Identity{Cluster: "x", Self: "c4", Voters: fiveNodes, Formed: true},
			VoterState: &VoterState{Sequence: 1, Decided: record}, Table: store.New(),
		}, now)
		So(m.voterState.ReplicaIncomplete, ShouldBeFalse)
		withoutNode := record
		withoutNode.Epoch, withoutNode.Voters = 5, record.Voters.Replace(Member{Name: "c4"}, Member{Name: "n1", Incarnation: 9})
		m.Step(Received{From: "c1", Body: Decided{Record: withoutNode}}, now)
		So(m.voterState.ReplicaIncomplete, ShouldBeTrue)
		record.Epoch = 6
		m.Step(Received{From: "c1", Body: Decided{Record: record}}, now)
		So(m.IsMember(), ShouldBeTrue)
		So(m.voterState.ReplicaIncomplete, ShouldBeTrue)
		m.Step(Received{From: "c1", Body: RepairDigests{Record: record, Version: m.ReplicaTable().Version, Digests: m.ReplicaTable().Digests()}}, now)
		So(m.voterState.ReplicaIncomplete, ShouldBeFalse)
	})
}

func TestElectorate(t *testing.T) {
	Convey("A voter that has accepted a record with different voters reports a changing electorate until the epoch is decided", t, func() {
		now := time.Hour + time.Second
		m := newFormedMachine("c3", time.Hour)
		So(m.Electorate(), ShouldResemble, Electorate{Voters: m.Record().Voters, IncludesSelf: true})
		next := m.Record()
		next.Epoch = 5
		accept := func(round uint64) {
			number := proposal.Number{Round: round, Name: "c1"}
			So(bodiesSent[Accepted](m.Step(Received{From: "c1", Body: Accept{Epoch: 5, Number: number, Value: store.EncodePlain(next)}}, now)), ShouldNotBeEmpty)
		}
		accept(1)
		So(m.Electorate().Changing, ShouldBeFalse)
		next.Voters = next.Voters.Replace(Member{Name: "c2"}, Member{Name: "n1", Incarnation: 4})
		accept(2)
		So(m.Electorate().Changing, ShouldBeTrue)
		m.Step(Received{From: "c1", Body: Decided{Record: next}}, now)
		So(m.Electorate(), ShouldResemble, Electorate{Voters: next.Voters, IncludesSelf: true})
	})
}
