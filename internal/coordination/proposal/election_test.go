package proposal

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// elect runs three candidates, each of which is also a voter and has voted for itself at
// the start. It returns the names of the leaders at each time before span. Times without
// a leader have no entry.
func elect(span time.Duration, isDown func(name string, now time.Duration) bool) (leaders map[time.Duration][]string) {
	const voteDuration = 1200 * time.Millisecond
	names := []string{"a", "b", "c"}
	grantors, candidates := map[string]*Grantor{}, map[string]*Candidate{}
	for rank, name := range names {
		grantors[name] = NewGrantor(voteDuration, -voteDuration)
		candidates[name] = NewCandidate("role", len(names), rank, voteDuration)
		grantors[name].OnVoteRequest(name, VoteRequest{Role: "role"}, 0)
	}
	leaders = map[time.Duration][]string{}
	for now := time.Duration(0); now < span; now += 10 * time.Millisecond {
		for _, name := range names {
			request, due := candidates[name].Tick(now)
			if !due || isDown(name, now) {
				continue
			}
			for _, voter := range names {
				if !isDown(voter, now) {
					candidates[name].OnVote(voter, grantors[voter].OnVoteRequest(name, request, now), now)
				}
			}
		}
		for _, name := range names {
			if candidates[name].IsLeader(now) {
				leaders[now] = append(leaders[now], name)
			}
		}
	}
	return leaders
}

func TestSingletonElection(t *testing.T) {
	Convey("Votes that are split among candidates expire, and then one candidate wins the role, with never two leaders at once", t, func() {
		leaders := elect(8*time.Second, func(string, time.Duration) bool { return false })
		for _, names := range leaders {
			So(len(names), ShouldEqual, 1)
		}
		So(len(leaders[4*time.Second]), ShouldEqual, 1)
	})
	Convey("When the leader goes down, another candidate wins the role", t, func() {
		leadersBefore := elect(4*time.Second, func(string, time.Duration) bool { return false })
		firstLeader := leadersBefore[3990*time.Millisecond][0]
		leadersAfter := elect(12*time.Second, func(name string, now time.Duration) bool { return name == firstLeader && now > 4*time.Second })
		for _, names := range leadersAfter {
			So(len(names), ShouldEqual, 1)
		}
		So(leadersAfter[11*time.Second], ShouldNotContain, firstLeader)
		So(len(leadersAfter[11*time.Second]), ShouldEqual, 1)
	})
	Convey("A candidate that has won a role keeps it without a gap, whatever its rank", t, func() {
		const voteDuration, voters = 1200 * time.Millisecond, 5
		for rank := range 2 * voters {
			var grantors [voters]*Grantor
			for index := range grantors {
				grantors[index] = NewGrantor(voteDuration, -voteDuration)
				grantors[index].OnVoteRequest("z", VoteRequest{Role: "role"}, time.Duration(index)*100*time.Millisecond)
			}
			candidate, wonAt := NewCandidate("role", voters, rank, voteDuration), time.Duration(0)
			for now := time.Duration(0); now < 60*time.Second; now += 10 * time.Millisecond {
				if request, due := candidate.Tick(now); due {
					for index := range grantors {
						candidate.OnVote(string(rune('a'+index)), grantors[index].OnVoteRequest("me", request, now), now)
					}
				}
				if wonAt == 0 && candidate.IsLeader(now) {
					wonAt = now
				}
				if wonAt != 0 && !candidate.IsLeader(now) {
					So([]time.Duration{time.Duration(rank), wonAt, now}, ShouldBeEmpty)
				}
			}
			So(wonAt, ShouldBeBetween, 0, 5*time.Second)
		}
	})
	Convey("A grantor grants no vote for one vote duration after its start, since it may have granted a vote before a restart", t, func() {
		grantor := NewGrantor(time.Second, 0)
		So(grantor.OnVoteRequest("a", VoteRequest{Role: "x"}, 999*time.Millisecond).Granted, ShouldBeFalse)
		So(grantor.OnVoteRequest("a", VoteRequest{Role: "x"}, time.Second).Granted, ShouldBeTrue)
	})
}
