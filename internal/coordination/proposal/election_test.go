package proposal

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func elect(span time.Duration, isDown func(name string, now time.Duration) bool) (leaders map[time.Duration][]string) {
	const term = 1200 * time.Millisecond
	names := []string{"a", "b", "c"}
	grantors, candidates := map[string]*Grantor{}, map[string]*Candidate{}
	for rank, name := range names {
		grantors[name] = NewGrantor(term, -term)
		candidates[name] = NewCandidate("role", len(names), rank, term)
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
	Convey("Votes split among candidates lapse, the role is won, and never by two at once", t, func() {
		leaders := elect(8*time.Second, func(string, time.Duration) bool { return false })
		for _, names := range leaders {
			So(len(names), ShouldEqual, 1)
		}
		So(len(leaders[4*time.Second]), ShouldEqual, 1)
	})
	Convey("A role that falls vacant is won by another", t, func() {
		before := elect(4*time.Second, func(string, time.Duration) bool { return false })
		first := before[3990*time.Millisecond][0]
		after := elect(12*time.Second, func(name string, now time.Duration) bool { return name == first && now > 4*time.Second })
		for _, names := range after {
			So(len(names), ShouldEqual, 1)
		}
		So(after[11*time.Second], ShouldNotContain, first)
		So(len(after[11*time.Second]), ShouldEqual, 1)
	})
	Convey("Who has won a role keeps it without a gap, whatever its rank among the candidates", t, func() {
		const term, voters = 1200 * time.Millisecond, 5
		for rank := range 2 * voters {
			var grantors [voters]*Grantor
			for at := range grantors {
				grantors[at] = NewGrantor(term, -term)
				grantors[at].OnVoteRequest("z", VoteRequest{Role: "role"}, time.Duration(at)*100*time.Millisecond)
			}
			candidate, since := NewCandidate("role", voters, rank, term), time.Duration(0)
			for now := time.Duration(0); now < 60*time.Second; now += 10 * time.Millisecond {
				if request, due := candidate.Tick(now); due {
					for at := range grantors {
						candidate.OnVote(string(rune('a'+at)), grantors[at].OnVoteRequest("me", request, now), now)
					}
				}
				if since == 0 && candidate.IsLeader(now) {
					since = now
				}
				if since != 0 && !candidate.IsLeader(now) {
					So([]time.Duration{time.Duration(rank), since, now}, ShouldBeEmpty)
				}
			}
			So(since, ShouldBeBetween, 0, 5*time.Second)
		}
	})
	Convey("A grantor that has just started may have forgotten a vote and gives none for the duration of a vote", t, func() {
		grantor := NewGrantor(time.Second, 0)
		So(grantor.OnVoteRequest("a", VoteRequest{Role: "x"}, 999*time.Millisecond).Granted, ShouldBeFalse)
		So(grantor.OnVoteRequest("a", VoteRequest{Role: "x"}, time.Second).Granted, ShouldBeTrue)
	})
}
