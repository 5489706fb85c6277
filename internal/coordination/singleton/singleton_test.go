package singleton

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/proposal"
)

// cluster runs the machines of several control servers, whose messages arrive at once.
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
	Convey("The control primary wins the role of each asynchronous database and the one role of all synchronous databases, and evaluates at the campaign interval", t, func() {
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
	Convey("When the control primary changes, the new one wins the roles, and each database is evaluated by only one server", t, func() {
		c := newCluster("c1", "c2", "c3", "c4", "c5")
		c.advance(5 * LeaseDuration)
		c.primary = "c4"
		c.down["c1"] = true
		c.advance(4 * LeaseDuration)
		So(c.leaders, ShouldResemble, map[string]string{"failover/a": "c4", "failover/b": "c4", "takeover": "c4"})
		c.advance(time.Second)
		So(len(c.evaluations), ShouldEqual, 4)
	})
	Convey("While the control primary is down, another server wins the roles and evaluates synchronous databases less often", t, func() {
		c := newCluster("c1", "c2", "c3")
		c.primary, c.down["c1"] = "c1", true
		c.advance(20 * LeaseDuration)
		So(c.leaders["takeover"], ShouldBeIn, "c2", "c3")
		c.evaluations = map[string]int{}
		maxEvaluations := 0
		for range 20 {
			c.advance(3 * time.Second)
			maxEvaluations = max(maxEvaluations, c.evaluations["s by c2"], c.evaluations["s by c3"])
		}
		So(maxEvaluations, ShouldBeBetween, 0, 11)
	})
	Convey("A server that is not a voter does not campaign, and neither does a voter without databases", t, func() {
		machine, voters := New("c9", 0), electorate("c1", "c2")
		machine.SetDatabases([]string{"a", "s"}, []string{"s"})
		machine.SetVoters(consensus.Electorate{Voters: voters.Voters}, 0)
		So(machine.Campaign(NodeState{}, time.Hour), ShouldBeEmpty)
		So(machine.Roles(time.Hour), ShouldBeEmpty)
		withoutDatabases := New("c1", 0)
		withoutDatabases.SetVoters(voters, 0)
		So(withoutDatabases.Campaign(NodeState{Primary: true}, time.Hour), ShouldBeEmpty)
	})
	Convey("The list of databases is refreshed once a second, and at each campaign of the control primary", t, func() {
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
	Convey("Only one evaluation of a database runs at a time", t, func() {
		machine := New("c1", 0)
		So(machine.BeginEvaluation("a"), ShouldBeTrue)
		So(machine.BeginEvaluation("a"), ShouldBeFalse)
		So(machine.BeginEvaluation("b"), ShouldBeTrue)
		machine.EndEvaluation("a")
		So(machine.BeginEvaluation("a"), ShouldBeTrue)
	})
	Convey("Roles are listed in the order of their names, with their database", t, func() {
		c := newCluster("c1")
		c.advance(3 * LeaseDuration)
		roles := c.members["c1"].Roles(c.now)
		So(slices.IndexFunc(roles, func(status RoleStatus) bool { return !status.Leading }), ShouldEqual, -1)
		So([]string{roles[0].Role, roles[0].Database, roles[2].Role}, ShouldResemble, []string{"failover/a", "a", "takeover"})
	})
}

func TestVoterChange(t *testing.T) {
	oldVoters, newVoters := electorate("c1", "c2", "c3"), electorate("c1", "c2", "n1")
	now := time.Hour
	voter := func(name string, voters consensus.Electorate) *Machine {
		m := New(name, now-time.Minute)
		m.SetVoters(voters, now-time.Minute)
		return m
	}
	grantsVote := func(m *Machine, from string, voters consensus.Electorate, renewal bool, now time.Duration) bool {
		return m.OnVoteRequest(from, proposal.VoteRequest{Role: "x", Attempt: 1, Renewal: renewal, Voters: string(voters.Voters)}, now).Granted
	}
	Convey("A vote is granted only to a candidate that counts the same voters, and never while a change of voters may be decided", t, func() {
		m := voter("c2", oldVoters)
		So(grantsVote(m, "c1", newVoters, false, now), ShouldBeFalse)
		So(grantsVote(m, "c1", oldVoters, false, now), ShouldBeTrue)
		changing := oldVoters
		changing.Changing = true
		m.SetVoters(changing, now)
		So(grantsVote(m, "c1", oldVoters, true, now), ShouldBeFalse)
		So(grantsVote(m, "c1", newVoters, true, now), ShouldBeFalse)
		m.SetVoters(newVoters, now)
		So(grantsVote(m, "c1", oldVoters, true, now), ShouldBeFalse)
		So(grantsVote(m, "c1", newVoters, true, now), ShouldBeTrue)
		So(grantsVote(m, "n1", newVoters, false, now), ShouldBeFalse)
	})
	Convey("The vote of a server that answers at the address of another server is ignored", t, func() {
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
	Convey("A server that becomes a voter, for the first time or again, grants no vote for one lease duration", t, func() {
		withoutSelf := oldVoters
		withoutSelf.IncludesSelf = false
		m := voter("n1", withoutSelf)
		for range 2 {
			So(grantsVote(m, "c1", oldVoters, false, now), ShouldBeFalse)
			m.SetVoters(newVoters, now)
			m.SetVoters(newVoters, now+LeaseDuration/2)
			So(grantsVote(m, "c1", newVoters, false, now+LeaseDuration-1), ShouldBeFalse)
			So(grantsVote(m, "c1", newVoters, false, now+LeaseDuration), ShouldBeTrue)
			m.SetVoters(withoutSelf, now+LeaseDuration)
			now += time.Minute
		}
	})
	Convey("A leader that missed a change of voters cannot extend its lease with the old voters, and another server wins the role only after that lease has expired", t, func() {
		leader, other := voter("c3", oldVoters), voter("c1", oldVoters)
		second, newcomer := voter("c2", oldVoters), New("n1", now)
		machines := map[string]*Machine{"c1": other, "c2": second, "c3": leader, "n1": newcomer}
		campaign := func(m *Machine, reachable ...string) bool {
			m.SetDatabases([]string{"db"}, []string{"db"})
			for _, effect := range m.Campaign(NodeState{Primary: true}, now) {
				requestVotes, ok := effect.(RequestVotes)
				for _, name := range requestVotes.Voters {
					if ok && slices.Contains(reachable, name) {
						m.OnVote(name, machines[name].OnVoteRequest(m.self, requestVotes.Request, now), now)
					}
				}
			}
			return m.candidates[syncRole].IsLeader(now)
		}
		So(campaign(leader, "c2", "c3"), ShouldBeTrue)
		for _, name := range []string{"c1", "c2", "n1"} {
			machines[name].SetVoters(newVoters, now)
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
