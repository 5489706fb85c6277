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
		machine := c.members[name]
		state := NodeState{Primary: name == c.primary, FailoverActive: c.failoverActive}
		if campaign, _ := machine.Due(state, c.now); !campaign || c.down[name] {
			continue
		}
		for _, effect := range machine.Campaign(state, c.now) {
			if requestVotes, ok := effect.(RequestVotes); ok {
				for _, voter := range requestVotes.Voters {
					if !c.down[voter] && machine.OnVote(voter, c.members[voter].OnVoteRequest(name, requestVotes.Request, c.now), c.now) {
						c.leaders[requestVotes.Request.Role] = name
					}
				}
			}
			if evaluate, ok := effect.(Evaluate); ok {
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
	Convey("The control primary wins every role, one for all synchronous databases, and evaluates at the campaign interval", t, func() {
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
	Convey("When the primary changes, the roles follow it, and no two servers evaluate one database", t, func() {
		c := newCluster("c1", "c2", "c3", "c4", "c5")
		c.advance(5 * LeaseDuration)
		c.primary = "c4"
		c.down["c1"] = true
		c.advance(4 * LeaseDuration)
		So(c.leaders, ShouldResemble, map[string]string{"failover/a": "c4", "failover/b": "c4", "takeover": "c4"})
		c.advance(time.Second)
		So(len(c.evaluations), ShouldEqual, 4)
	})
	Convey("While the primary is down another server wins the roles, and evaluates synchronous databases less often", t, func() {
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
	Convey("A server that is no voter campaigns for nothing, nor does one without databases", t, func() {
		machine, voters := New("c9", 0), electorate("c1", "c2")
		machine.SetDatabases([]string{"a", "s"}, []string{"s"})
		machine.SetVoters(consensus.Electorate{Voters: voters.Voters}, 0)
		So(machine.Campaign(NodeState{}, time.Hour), ShouldBeEmpty)
		So(machine.Roles(time.Hour), ShouldBeEmpty)
		other := New("c1", 0)
		other.SetVoters(voters, 0)
		So(other.Campaign(NodeState{Primary: true}, time.Hour), ShouldBeEmpty)
	})
	Convey("The list of databases is refreshed once a second, and by the primary each time", t, func() {
		refreshes := func(state NodeState) int {
			machine, count := New("c1", 0), 0
			for now := time.Hour; now < time.Hour+10*time.Second; now += TickInterval {
				if _, refresh := machine.Due(state, now); refresh {
					count++
				}
			}
			return count
		}
		So(refreshes(NodeState{}), ShouldEqual, 10)
		So(refreshes(NodeState{Primary: true}), ShouldEqual, 100)
		So(refreshes(NodeState{Primary: true, FailoverActive: true}), ShouldEqual, 400)
	})
	Convey("One evaluation of a database runs at a time", t, func() {
		machine := New("c1", 0)
		So(machine.BeginEvaluation("a"), ShouldBeTrue)
		So(machine.BeginEvaluation("a"), ShouldBeFalse)
		So(machine.BeginEvaluation("b"), ShouldBeTrue)
		machine.EndEvaluation("a")
		So(machine.BeginEvaluation("a"), ShouldBeTrue)
	})
	Convey("Roles are listed by name, with their database", t, func() {
		c := newCluster("c1")
		c.advance(3 * LeaseDuration)
		shown := c.members["c1"].Roles(c.now)
		So(slices.IndexFunc(shown, func(machine RoleStatus) bool { return !machine.Leading }), ShouldEqual, -1)
		So([]string{shown[0].Role, shown[0].Database, shown[2].Role}, ShouldResemble, []string{"failover/a", "a", "takeover"})
	})
}

func TestVoterChange(t *testing.T) {
	oldVoters, newVoters := electorate("c1", "c2", "c3"), electorate("c1", "c2", "n1")
	now := time.Hour
	voter := func(name string, of consensus.Electorate) *Machine {
		m := New(name, now-time.Minute)
		m.SetVoters(of, now-time.Minute)
		return m
	}
	request := func(m *Machine, from string, voters consensus.Electorate, renewal bool, now time.Duration) bool {
		return m.OnVoteRequest(from, proposal.VoteRequest{Role: "x", Attempt: 1, Renewal: renewal, Voters: string(voters.Voters)}, now).Granted
	}
	Convey("A vote is granted only to a candidate with the same voters, and none while a change of voters may be decided", t, func() {
		m := voter("c2", oldVoters)
		So(request(m, "c1", newVoters, false, now), ShouldBeFalse)
		So(request(m, "c1", oldVoters, false, now), ShouldBeTrue)
		changing := oldVoters
		changing.Changing = true
		m.SetVoters(changing, now)
		So(request(m, "c1", oldVoters, true, now), ShouldBeFalse)
		So(request(m, "c1", newVoters, true, now), ShouldBeFalse)
		m.SetVoters(newVoters, now)
		So(request(m, "c1", oldVoters, true, now), ShouldBeFalse)
		So(request(m, "c1", newVoters, true, now), ShouldBeTrue)
		So(request(m, "n1", newVoters, false, now), ShouldBeFalse)
	})
	Convey("The vote of a server that answers at another's address is ignored", t, func() {
		candidate := voter("c1", oldVoters)
		candidate.SetDatabases([]string{"db"}, []string{"db"})
		requestVotes := candidate.Campaign(NodeState{Primary: true}, now)[0].(RequestVotes)
		vote := voter("c2", oldVoters).OnVoteRequest("c1", requestVotes.Request, now)
		So(vote.Granted, ShouldBeTrue)
		So(candidate.OnVote("c2", vote, now), ShouldBeFalse)
		So(candidate.OnVote("c3", vote, now), ShouldBeFalse)
		So(candidate.candidates[syncRole].IsLeader(now), ShouldBeFalse)
		So(candidate.OnVote("c1", candidate.OnVoteRequest("c1", requestVotes.Request, now), now), ShouldBeTrue)
	})
	Convey("A server that becomes a voter, or becomes one again, grants no vote for a lease duration", t, func() {
		outside := oldVoters
		outside.IncludesSelf = false
		m := voter("n1", outside)
		for range 2 {
			So(request(m, "c1", oldVoters, false, now), ShouldBeFalse)
			m.SetVoters(newVoters, now)
			m.SetVoters(newVoters, now+LeaseDuration/2)
			So(request(m, "c1", newVoters, false, now+LeaseDuration-1), ShouldBeFalse)
			So(request(m, "c1", newVoters, false, now+LeaseDuration), ShouldBeTrue)
			m.SetVoters(outside, now+LeaseDuration)
			now += time.Minute
		}
	})
	Convey("A leader that missed a change of voters cannot extend its lease with the old ones, and another wins the role only after it expired", t, func() {
		leader, other := voter("c3", oldVoters), voter("c1", oldVoters)
		second, newcomer := voter("c2", oldVoters), New("n1", now)
		all := map[string]*Machine{"c1": other, "c2": second, "c3": leader, "n1": newcomer}
		campaign := func(m *Machine, reached ...string) bool {
			m.SetDatabases([]string{"db"}, []string{"db"})
			for _, effect := range m.Campaign(NodeState{Primary: true}, now) {
				requestVotes, ok := effect.(RequestVotes)
				for _, name := range requestVotes.Voters {
					if ok && slices.Contains(reached, name) {
						m.OnVote(name, all[name].OnVoteRequest(m.self, requestVotes.Request, now), now)
					}
				}
			}
			return m.candidates[syncRole].IsLeader(now)
		}
		So(campaign(leader, "c2", "c3"), ShouldBeTrue)
		for _, name := range []string{"c1", "c2", "n1"} {
			all[name].SetVoters(newVoters, now)
		}
		wasLeading, otherLeading := true, false
		for range 200 {
			now += TickInterval
			leading := campaign(leader, "c2", "c3")
			otherLeading = campaign(other, "c1", "c2", "n1")
			So(leading && otherLeading, ShouldBeFalse)
			So(leading && !wasLeading, ShouldBeFalse)
			wasLeading = leading
		}
		So(wasLeading, ShouldBeFalse)
		So(otherLeading, ShouldBeTrue)
	})
}
