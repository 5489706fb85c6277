package singleton

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/proposal"
)

type cluster struct {
	names          []string
	members        map[string]*Machine
	primary        string
	down           map[string]bool
	now            time.Duration
	leaders        map[string]string
	evaluations    map[string]int
	failoverActive bool
}

func newCluster(names ...string) *cluster {
	c := &cluster{names: names, members: map[string]*Machine{}, primary: names[0], down: map[string]bool{}, now: time.Hour, leaders: map[string]string{}}
	for _, name := range names {
		c.members[name] = New(name, c.now)
		c.members[name].SetVoters(electorate(names...), c.now)
		c.members[name].SetDatabases([]string{"a", "b", "s", "t"}, []string{"s", "t"})
	}
	return c
}

func electorate(names ...string) consensus.Electorate {
	var members []consensus.Member
	for _, name := range names {
		members = append(members, consensus.Member{Name: name})
	}
	return consensus.Electorate{Voters: consensus.NewVoters(members...), IncludesSelf: true}
}

func (c *cluster) step() {
	for _, name := range c.names {
		one := c.members[name]
		at := NodeState{Primary: name == c.primary, FailoverActive: c.failoverActive}
		if campaign, _ := one.Due(at, c.now); !campaign || c.down[name] {
			continue
		}
		for _, effect := range one.Campaign(at, c.now) {
			if votes, isCanvass := effect.(RequestVotes); isCanvass {
				for _, voter := range votes.Voters {
					if !c.down[voter] && one.OnVote(voter, c.members[voter].OnVoteRequest(name, votes.Request, c.now), c.now) {
						c.leaders[votes.Request.Role] = name
					}
				}
			}
			if evaluate, isAttend := effect.(Evaluate); isAttend {
				c.evaluations[evaluate.Database+" by "+name]++
			}
		}
	}
}

func (c *cluster) advance(span time.Duration) {
	c.evaluations = map[string]int{}
	for until := c.now + span; c.now < until; c.now += TickInterval {
		c.step()
	}
}

func TestRoles(t *testing.T) {
	Convey("The control primary wins every duty, one for all synced databases, and attends at the pace of seeking", t, func() {
		c := newCluster("c1", "c2", "c3")
		c.advance(LeaseDuration)
		So(c.leaders, ShouldBeEmpty)
		c.advance(4 * LeaseDuration)
		So(c.leaders, ShouldResemble, map[string]string{"failover/a": "c1", "failover/b": "c1", "takeover": "c1"})
		c.advance(time.Second)
		So(c.evaluations, ShouldResemble, map[string]int{"a by c1": 10, "b by c1": 10, "s by c1": 10, "t by c1": 10})
		c.failoverActive = true
		c.advance(time.Second)
		So(c.evaluations["s by c1"], ShouldBeGreaterThan, 35)
	})
	Convey("When the primary moves, the duties follow it, and no two attend to one database", t, func() {
		c := newCluster("c1", "c2", "c3", "c4", "c5")
		c.advance(5 * LeaseDuration)
		c.primary = "c4"
		c.down["c1"] = true
		c.advance(4 * LeaseDuration)
		So(c.leaders, ShouldResemble, map[string]string{"failover/a": "c4", "failover/b": "c4", "takeover": "c4"})
		c.advance(time.Second)
		So(len(c.evaluations), ShouldEqual, 4)
	})
	Convey("With no primary that is up another holds them in the end, and attends to synced ones less often", t, func() {
		c := newCluster("c1", "c2", "c3")
		c.primary, c.down["c1"] = "c1", true
		c.advance(20 * LeaseDuration)
		So(c.leaders["takeover"], ShouldBeIn, "c2", "c3")
		c.evaluations = map[string]int{}
		most := 0
		for range 20 {
			c.advance(3 * time.Second)
			most = max(most, c.evaluations["s by c2"], c.evaluations["s by c3"])
		}
		So(most, ShouldBeBetween, 0, 11)
	})
	Convey("A machine without a vote seeks nothing, and one that knows of no database neither", t, func() {
		one, voters := New("c9", 0), electorate("c1", "c2")
		one.SetDatabases([]string{"a", "s"}, []string{"s"})
		one.SetVoters(consensus.Electorate{Voters: voters.Voters}, 0)
		So(one.Campaign(NodeState{}, time.Hour), ShouldBeEmpty)
		So(one.Roles(time.Hour), ShouldBeEmpty)
		other := New("c1", 0)
		other.SetVoters(voters, 0)
		So(other.Campaign(NodeState{Primary: true}, time.Hour), ShouldBeEmpty)
	})
	Convey("What databases there are is asked once a second, and by the primary each time", t, func() {
		learned := func(at NodeState) int {
			one, count := New("c1", 0), 0
			for now := time.Hour; now < time.Hour+10*time.Second; now += TickInterval {
				if _, refresh := one.Due(at, now); refresh {
					count++
				}
			}
			return count
		}
		So(learned(NodeState{}), ShouldEqual, 10)
		So(learned(NodeState{Primary: true}), ShouldEqual, 100)
		So(learned(NodeState{Primary: true, FailoverActive: true}), ShouldEqual, 400)
	})
	Convey("One attendance to a database at a time", t, func() {
		one := New("c1", 0)
		So(one.BeginEvaluation("a"), ShouldBeTrue)
		So(one.BeginEvaluation("a"), ShouldBeFalse)
		So(one.BeginEvaluation("b"), ShouldBeTrue)
		one.EndEvaluation("a")
		So(one.BeginEvaluation("a"), ShouldBeTrue)
	})
	Convey("The duties are shown by name, with the database that one is for", t, func() {
		c := newCluster("c1")
		c.advance(3 * LeaseDuration)
		shown := c.members["c1"].Roles(c.now)
		So(slices.IndexFunc(shown, func(one RoleStatus) bool { return !one.Leading }), ShouldEqual, -1)
		So([]string{shown[0].Role, shown[0].Database, shown[2].Role}, ShouldResemble, []string{"failover/a", "a", "takeover"})
	})
}

func TestVoterChange(t *testing.T) {
	before, after := electorate("c1", "c2", "c3"), electorate("c1", "c2", "n1")
	now := time.Hour
	voter := func(name string, of consensus.Electorate) *Machine {
		m := New(name, now-time.Minute)
		m.SetVoters(of, now-time.Minute)
		return m
	}
	request := func(m *Machine, from string, counted consensus.Electorate, isRenewal bool, at time.Duration) bool {
		return m.OnVoteRequest(from, proposal.VoteRequest{Role: "x", Attempt: 1, Renewal: isRenewal, Voters: string(counted.Voters)}, at).Granted
	}
	Convey("A machine votes only for one that counts the same voters, and for none while a change may be settled", t, func() {
		m := voter("c2", before)
		So(request(m, "c1", after, false, now), ShouldBeFalse)
		So(request(m, "c1", before, false, now), ShouldBeTrue)
		changing := before
		changing.Changing = true
		m.SetVoters(changing, now)
		So(request(m, "c1", before, true, now), ShouldBeFalse)
		So(request(m, "c1", after, true, now), ShouldBeFalse)
		m.SetVoters(after, now)
		So(request(m, "c1", before, true, now), ShouldBeFalse)
		So(request(m, "c1", after, true, now), ShouldBeTrue)
		So(request(m, "n1", after, false, now), ShouldBeFalse)
	})
	Convey("The vote of a machine that answers at another's address counts for neither", t, func() {
		candidate := voter("c1", before)
		candidate.SetDatabases([]string{"db"}, []string{"db"})
		votes := candidate.Campaign(NodeState{Primary: true}, now)[0].(RequestVotes)
		vote := voter("c2", before).OnVoteRequest("c1", votes.Request, now)
		So(vote.Granted, ShouldBeTrue)
		So(candidate.OnVote("c2", vote, now), ShouldBeFalse)
		So(candidate.OnVote("c3", vote, now), ShouldBeFalse)
		So(candidate.candidates[syncRole].IsLeader(now), ShouldBeFalse)
		So(candidate.OnVote("c1", candidate.OnVoteRequest("c1", votes.Request, now), now), ShouldBeTrue)
	})
	Convey("A machine without a vote gives none, and one that has come to have it none for a term, nor one that has it again", t, func() {
		outside := before
		outside.IncludesSelf = false
		m := voter("n1", outside)
		for range 2 {
			So(request(m, "c1", before, false, now), ShouldBeFalse)
			m.SetVoters(after, now)
			m.SetVoters(after, now+LeaseDuration/2)
			So(request(m, "c1", after, false, now+LeaseDuration-1), ShouldBeFalse)
			So(request(m, "c1", after, false, now+LeaseDuration), ShouldBeTrue)
			m.SetVoters(outside, now+LeaseDuration)
			now += time.Minute
		}
	})
	Convey("A holder that a change of voters has not reached cannot lengthen its duty by those that it counts, and another wins it no sooner than that has lapsed", t, func() {
		holder, other := voter("c3", before), voter("c1", before)
		second, newcomer := voter("c2", before), New("n1", now)
		all := map[string]*Machine{"c1": other, "c2": second, "c3": holder, "n1": newcomer}
		seek := func(m *Machine, reached ...string) bool {
			m.SetDatabases([]string{"db"}, []string{"db"})
			for _, effect := range m.Campaign(NodeState{Primary: true}, now) {
				votes, isCanvass := effect.(RequestVotes)
				for _, name := range votes.Voters {
					if isCanvass && slices.Contains(reached, name) {
						m.OnVote(name, all[name].OnVoteRequest(m.self, votes.Request, now), now)
					}
				}
			}
			return m.candidates[syncRole].IsLeader(now)
		}
		So(seek(holder, "c2", "c3"), ShouldBeTrue)
		for _, name := range []string{"c1", "c2", "n1"} {
			all[name].SetVoters(after, now)
		}
		wasHeld, isWon := true, false
		for range 200 {
			now += TickInterval
			leading := seek(holder, "c2", "c3")
			isWon = seek(other, "c1", "c2", "n1")
			So(leading && isWon, ShouldBeFalse)
			So(leading && !wasHeld, ShouldBeFalse)
			wasHeld = leading
		}
		So(wasHeld, ShouldBeFalse)
		So(isWon, ShouldBeTrue)
	})
}
