package singleton

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/proposal"
)

type council struct {
	names   []string
	members map[string]*Machine
	primary string
	isOff   map[string]bool
	now     time.Duration
	holder  map[string]string
	attends map[string]int
	moving  bool
}

func newCouncil(names ...string) *council {
	c := &council{names: names, members: map[string]*Machine{}, primary: names[0], isOff: map[string]bool{}, now: time.Hour, holder: map[string]string{}}
	for _, name := range names {
		c.members[name] = New(name, c.now)
		c.members[name].Elect(electorate(names...), c.now)
		c.members[name].Learn([]string{"a", "b", "s", "t"}, []string{"s", "t"})
	}
	return c
}

func electorate(names ...string) consensus.Electorate {
	var members []consensus.Member
	for _, name := range names {
		members = append(members, consensus.Member{Name: name})
	}
	return consensus.Electorate{Voters: consensus.NewVoters(members...), IsMember: true}
}

func (c *council) step() {
	for _, name := range c.names {
		one := c.members[name]
		at := Situation{IsPrimary: name == c.primary, IsMoving: c.moving}
		if isSeeking, _ := one.Due(at, c.now); !isSeeking || c.isOff[name] {
			continue
		}
		for _, effect := range one.Seek(at, c.now) {
			if canvass, isCanvass := effect.(Canvass); isCanvass {
				for _, voter := range canvass.Voters {
					if !c.isOff[voter] && one.OnVote(voter, c.members[voter].OnAsk(name, canvass.Ask, c.now), c.now) {
						c.holder[canvass.Ask.Duty] = name
					}
				}
			}
			if attend, isAttend := effect.(Attend); isAttend {
				c.attends[attend.Database+" by "+name]++
			}
		}
	}
}

func (c *council) pass(span time.Duration) {
	c.attends = map[string]int{}
	for until := c.now + span; c.now < until; c.now += Pace {
		c.step()
	}
}

func TestDuties(t *testing.T) {
	Convey("The control primary wins every duty, one for all synced databases, and attends at the pace of seeking", t, func() {
		c := newCouncil("c1", "c2", "c3")
		c.pass(Term)
		So(c.holder, ShouldBeEmpty)
		c.pass(4 * Term)
		So(c.holder, ShouldResemble, map[string]string{"failover/a": "c1", "failover/b": "c1", "takeover": "c1"})
		c.pass(time.Second)
		So(c.attends, ShouldResemble, map[string]int{"a by c1": 10, "b by c1": 10, "s by c1": 10, "t by c1": 10})
		c.moving = true
		c.pass(time.Second)
		So(c.attends["s by c1"], ShouldBeGreaterThan, 35)
	})
	Convey("When the primary moves, the duties follow it, and no two attend to one database", t, func() {
		c := newCouncil("c1", "c2", "c3", "c4", "c5")
		c.pass(5 * Term)
		c.primary = "c4"
		c.isOff["c1"] = true
		c.pass(4 * Term)
		So(c.holder, ShouldResemble, map[string]string{"failover/a": "c4", "failover/b": "c4", "takeover": "c4"})
		c.pass(time.Second)
		So(len(c.attends), ShouldEqual, 4)
	})
	Convey("With no primary that is up another holds them in the end, and attends to synced ones less often", t, func() {
		c := newCouncil("c1", "c2", "c3")
		c.primary, c.isOff["c1"] = "c1", true
		c.pass(20 * Term)
		So(c.holder["takeover"], ShouldBeIn, "c2", "c3")
		c.attends = map[string]int{}
		most := 0
		for range 20 {
			c.pass(3 * time.Second)
			most = max(most, c.attends["s by c2"], c.attends["s by c3"])
		}
		So(most, ShouldBeBetween, 0, 11)
	})
	Convey("A machine without a vote seeks nothing, and one that knows of no database neither", t, func() {
		one, voters := New("c9", 0), electorate("c1", "c2")
		one.Learn([]string{"a", "s"}, []string{"s"})
		one.Elect(consensus.Electorate{Voters: voters.Voters}, 0)
		So(one.Seek(Situation{}, time.Hour), ShouldBeEmpty)
		So(one.Show(time.Hour), ShouldBeEmpty)
		other := New("c1", 0)
		other.Elect(voters, 0)
		So(other.Seek(Situation{IsPrimary: true}, time.Hour), ShouldBeEmpty)
	})
	Convey("What databases there are is asked once a second, and by the primary each time", t, func() {
		learned := func(at Situation) int {
			one, count := New("c1", 0), 0
			for now := time.Hour; now < time.Hour+10*time.Second; now += Pace {
				if _, isLearning := one.Due(at, now); isLearning {
					count++
				}
			}
			return count
		}
		So(learned(Situation{}), ShouldEqual, 10)
		So(learned(Situation{IsPrimary: true}), ShouldEqual, 100)
		So(learned(Situation{IsPrimary: true, IsMoving: true}), ShouldEqual, 400)
	})
	Convey("One attendance to a database at a time", t, func() {
		one := New("c1", 0)
		So(one.Begin("a"), ShouldBeTrue)
		So(one.Begin("a"), ShouldBeFalse)
		So(one.Begin("b"), ShouldBeTrue)
		one.End("a")
		So(one.Begin("a"), ShouldBeTrue)
	})
	Convey("The duties are shown by name, with the database that one is for", t, func() {
		c := newCouncil("c1")
		c.pass(3 * Term)
		shown := c.members["c1"].Show(c.now)
		So(slices.IndexFunc(shown, func(one Sought) bool { return !one.IsHeld }), ShouldEqual, -1)
		So([]string{shown[0].Duty, shown[0].Database, shown[2].Duty}, ShouldResemble, []string{"failover/a", "a", "takeover"})
	})
}

func TestVotersThatChange(t *testing.T) {
	before, after := electorate("c1", "c2", "c3"), electorate("c1", "c2", "n1")
	now := time.Hour
	voter := func(name string, of consensus.Electorate) *Machine {
		m := New(name, now-time.Minute)
		m.Elect(of, now-time.Minute)
		return m
	}
	ask := func(m *Machine, from string, counted consensus.Electorate, isRenewal bool, at time.Duration) bool {
		return m.OnAsk(from, proposal.Ask{Duty: "x", Go: 1, IsRenewal: isRenewal, Voters: string(counted.Voters)}, at).IsGranted
	}
	Convey("A machine votes only for one that counts the same voters, and for none while a change may be settled", t, func() {
		m := voter("c2", before)
		So(ask(m, "c1", after, false, now), ShouldBeFalse)
		So(ask(m, "c1", before, false, now), ShouldBeTrue)
		changing := before
		changing.IsChanging = true
		m.Elect(changing, now)
		So(ask(m, "c1", before, true, now), ShouldBeFalse)
		So(ask(m, "c1", after, true, now), ShouldBeFalse)
		m.Elect(after, now)
		So(ask(m, "c1", before, true, now), ShouldBeFalse)
		So(ask(m, "c1", after, true, now), ShouldBeTrue)
		So(ask(m, "n1", after, false, now), ShouldBeFalse)
	})
	Convey("The vote of a machine that answers at another's address counts for neither", t, func() {
		seeker := voter("c1", before)
		seeker.Learn([]string{"db"}, []string{"db"})
		canvass := seeker.Seek(Situation{IsPrimary: true}, now)[0].(Canvass)
		vote := voter("c2", before).OnAsk("c1", canvass.Ask, now)
		So(vote.IsGranted, ShouldBeTrue)
		So(seeker.OnVote("c2", vote, now), ShouldBeFalse)
		So(seeker.OnVote("c3", vote, now), ShouldBeFalse)
		So(seeker.seekers[synced].IsHeld(now), ShouldBeFalse)
		So(seeker.OnVote("c1", seeker.OnAsk("c1", canvass.Ask, now), now), ShouldBeTrue)
	})
	Convey("A machine without a vote gives none, and one that has come to have it none for a term, nor one that has it again", t, func() {
		outside := before
		outside.IsMember = false
		m := voter("n1", outside)
		for range 2 {
			So(ask(m, "c1", before, false, now), ShouldBeFalse)
			m.Elect(after, now)
			m.Elect(after, now+Term/2)
			So(ask(m, "c1", after, false, now+Term-1), ShouldBeFalse)
			So(ask(m, "c1", after, false, now+Term), ShouldBeTrue)
			m.Elect(outside, now+Term)
			now += time.Minute
		}
	})
	Convey("A holder that a change of voters has not reached cannot lengthen its duty by those that it counts, and another wins it no sooner than that has lapsed", t, func() {
		holder, other := voter("c3", before), voter("c1", before)
		second, newcomer := voter("c2", before), New("n1", now)
		all := map[string]*Machine{"c1": other, "c2": second, "c3": holder, "n1": newcomer}
		seek := func(m *Machine, reached ...string) bool {
			m.Learn([]string{"db"}, []string{"db"})
			for _, effect := range m.Seek(Situation{IsPrimary: true}, now) {
				canvass, isCanvass := effect.(Canvass)
				for _, name := range canvass.Voters {
					if isCanvass && slices.Contains(reached, name) {
						m.OnVote(name, all[name].OnAsk(m.self, canvass.Ask, now), now)
					}
				}
			}
			return m.seekers[synced].IsHeld(now)
		}
		So(seek(holder, "c2", "c3"), ShouldBeTrue)
		for _, name := range []string{"c1", "c2", "n1"} {
			all[name].Elect(after, now)
		}
		wasHeld, isWon := true, false
		for range 200 {
			now += Pace
			isHeld := seek(holder, "c2", "c3")
			isWon = seek(other, "c1", "c2", "n1")
			So(isHeld && isWon, ShouldBeFalse)
			So(isHeld && !wasHeld, ShouldBeFalse)
			wasHeld = isHeld
		}
		So(wasHeld, ShouldBeFalse)
		So(isWon, ShouldBeTrue)
	})
}
