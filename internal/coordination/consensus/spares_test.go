package consensus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

func fiveFounded() (*cluster, func(name string) Founding) {
	founding := func(string) Founding {
		return Founding{Voters: 5, IsFounder: true, IsPaired: true, Seeds: []string{address("c1"), address("c2"), address("c3")}}
	}
	c := newCluster([]string{"c1", "c2", "c3", "c4", "c5"}, founding)
	c.run(6 * time.Second)
	So(c.primary(), ShouldNotBeEmpty)
	return c, founding
}

func (c *cluster) wipe(founding func(string) Founding, names ...string) {
	for _, name := range names {
		blank := founding(name)
		blank.IsFounder = false
		c.machines[name] = NewFounding(name, blank, DefaultTiming(), Saved{}, c.now)
	}
}

func TestTwoCopiesLostAtOnce(t *testing.T) {
	Convey("Of five machines, where two may be lost, any two lose their disks at once: what was acknowledged is still there, and writes go on", t, func() {
		names := []string{"c1", "c2", "c3", "c4", "c5"}
		for at, first := range names {
			for _, second := range names[at+1:] {
				c, founding := fiveFounded()
				c.submit(1)
				c.run(time.Second)
				So(c.answers[1].IsKept, ShouldBeTrue)
				c.wipe(founding, first, second)
				c.run(20 * time.Second)
				SoMsg(first+" and "+second, c.primary(), ShouldNotBeEmpty)
				So(c.machines[c.primary()].Copy().Records, ShouldContainKey, "1")
				c.submit(2)
				c.run(5 * time.Second)
				So(c.answers[2].IsKept, ShouldBeTrue)
				So(c.disks(1), ShouldBeGreaterThanOrEqualTo, 3)
			}
		}
	})
	Convey("And two more, once the first are filled again", t, func() {
		c, founding := fiveFounded()
		for token := uint64(1); token < 5; token++ {
			c.submit(token)
			c.run(time.Second)
			So(c.answers[token].IsKept, ShouldBeTrue)
			record := c.machines[c.primary()].Record()
			c.wipe(founding, record.Primary, record.Backup)
			c.run(20 * time.Second)
			So(c.primary(), ShouldNotBeEmpty)
			for before := uint64(1); before <= token; before++ {
				So(c.disks(before), ShouldBeGreaterThanOrEqualTo, 3)
			}
		}
	})
}

func TestWritesWithSpares(t *testing.T) {
	Convey("A write is acknowledged on three disks at least, also with any two machines down, and waits with more", t, func() {
		names := []string{"c1", "c2", "c3", "c4", "c5"}
		for at, first := range names {
			for _, second := range names[at+1:] {
				c, _ := fiveFounded()
				c.up[first], c.up[second] = false, false
				for token := uint64(1); token <= 100; token++ {
					c.submit(token)
					c.run(100 * time.Millisecond)
					for number, answer := range c.answers {
						if answer.IsKept {
							So(c.disks(number), ShouldBeGreaterThanOrEqualTo, 3)
						}
					}
				}
				SoMsg(first+" and "+second, c.answers[95].IsKept, ShouldBeTrue)
			}
		}
	})
	Convey("Where one machine may be lost, two disks hold a write and no third is written", t, func() {
		c := newCluster([]string{"c1", "c2", "c3"}, func(string) Founding {
			return Founding{Voters: 3, IsFounder: true, IsPaired: true, Seeds: []string{address("c1"), address("c2"), address("c3")}}
		})
		c.run(6 * time.Second)
		c.submit(1)
		c.run(time.Second)
		So(c.answers[1].IsKept, ShouldBeTrue)
		So(c.disks(1), ShouldEqual, 2)
	})
}

func TestVotesForASpare(t *testing.T) {
	now := time.Hour
	record := Record{Epoch: 4, Primary: "c1", Backup: "c2", Voters: foundingVoters(five)}
	stamp := func(sequence uint64) store.Stamp { return store.Stamp{Epoch: 4, Sequence: sequence} }
	voter := func(ballots Ballots) *Machine {
		held := store.New()
		held.Apply(stamp(7), []store.Put{{Key: "k", Data: []byte("x")}})
		ballots.Sequence, ballots.Decided = 1, record
		return NewFounding("c4", Founding{Voters: 5, IsPaired: true}, DefaultTiming(), Saved{
			Identity: &Identity{Cluster: "x", Self: "c4", Voters: []string{"c1", "c2", "c3", "c4", "c5"}, IsFormed: true},
			Ballots:  &ballots, Table: held,
		}, now)
	}
	late := now + 4*DefaultTiming().Primacy
	ask := func(m *Machine, from string, sequence uint64) bool {
		asked := Prepare{Decided: record, Number: proposal.Number{Round: 1, Name: from}, Stamp: stamp(sequence)}
		told := sentBy[Promised](m.Step(Heard{From: from, Body: asked}, late))
		So(len(told), ShouldEqual, 1)
		return told[0].IsGiven
	}
	Convey("A spare is voted for only where its copy is not behind the voter's, and by nobody that may still be relied on by the primary", t, func() {
		So(ask(voter(Ballots{}), "c5", 7), ShouldBeTrue)
		So(ask(voter(Ballots{}), "c5", 8), ShouldBeTrue)
		So(ask(voter(Ballots{}), "c5", 6), ShouldBeFalse)
		So(ask(voter(Ballots{}), "c9", 7), ShouldBeFalse)
		bound := voter(Ballots{})
		bound.Step(Heard{From: "c1", Body: Renew{Record: record, Sent: late}}, late-time.Millisecond)
		So(ask(bound, "c5", 8), ShouldBeFalse)
	})
	Convey("One whose own copy was lost and not filled since lends no vote, and does not stand, until it is filled", t, func() {
		hollow := voter(Ballots{IsHollow: true})
		So(ask(hollow, "c5", 9), ShouldBeFalse)
		So(sentBy[Prepare](hollow.Step(Tick{}, late)), ShouldBeEmpty)
		So(sentBy[Prepare](voter(Ballots{}).Step(Tick{}, late)), ShouldNotBeEmpty)
		filled := voter(Ballots{IsHollow: true})
		filled.Step(Heard{From: "c1", Body: Offer{Record: record, Stamp: filled.Copy().Stamp, Digests: filled.Copy().Digests()}}, now)
		So(ask(filled, "c5", 9), ShouldBeTrue)
	})
	Convey("One that gave its vote to a spare syncs nothing more for the primary before", t, func() {
		m := voter(Ballots{})
		write := Write{Record: record, Before: stamp(7), Stamp: stamp(8), Puts: []store.Put{{Key: "w", Data: []byte("x")}}}
		So(ask(m, "c5", 7), ShouldBeTrue)
		acks := sentBy[WriteAck](m.Step(Heard{From: "c1", Body: write}, late))
		So(len(acks), ShouldEqual, 1)
		So(acks[0].IsSynced, ShouldBeFalse)
		So(sentBy[Filled](m.Step(Heard{From: "c1", Body: Offer{Record: record, Stamp: m.Copy().Stamp, Digests: m.Copy().Digests()}}, late)), ShouldBeEmpty)
		So(sentBy[WriteAck](voter(Ballots{}).Step(Heard{From: "c1", Body: write}, late))[0].IsSynced, ShouldBeTrue)
	})
}
