package proposal

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPaxosRounds(t *testing.T) {
	Convey("A value once held by a majority is the only one that a later ballot can settle", t, func() {
		voters := []*Acceptor{{}, {}, {}}
		first := NewProposer(Number{1, "a"}, 3, []byte("a"), 0)
		So(voters[0].Promise(first.Number), ShouldBeTrue)
		So(voters[1].Promise(first.Number), ShouldBeTrue)
		So(first.OnPromise("0", Number{}, nil), ShouldBeFalse)
		So(first.OnPromise("1", Number{}, nil), ShouldBeTrue)
		So(voters[0].Accept(first.Number, first.Value), ShouldBeTrue)
		So(voters[1].Accept(first.Number, first.Value), ShouldBeTrue)
		second := NewProposer(Number{2, "b"}, 3, []byte("b"), 0)
		So(voters[1].Promise(second.Number), ShouldBeTrue)
		So(voters[2].Promise(second.Number), ShouldBeTrue)
		second.OnPromise("2", voters[2].Accepted, voters[2].Value)
		So(second.OnPromise("1", voters[1].Accepted, voters[1].Value), ShouldBeTrue)
		So(string(second.Value), ShouldEqual, "a")
	})
	Convey("A promise bars lower ballots, and a vote counts once", t, func() {
		voter := &Acceptor{}
		So(voter.Promise(Number{3, "a"}), ShouldBeTrue)
		So(voter.Promise(Number{2, "z"}), ShouldBeFalse)
		So(voter.Accept(Number{2, "z"}, nil), ShouldBeFalse)
		round := NewProposer(Number{1, "a"}, 3, nil, 0)
		round.OnPromise("0", Number{}, nil)
		round.OnPromise("1", Number{}, nil)
		So(round.OnAccepted("0"), ShouldBeFalse)
		So(round.OnAccepted("0"), ShouldBeFalse)
		So(round.OnAccepted("1"), ShouldBeTrue)
	})
}

func elect(span time.Duration, isDown func(name string, now time.Duration) bool) (leaders map[time.Duration][]string) {
	const term = 1200 * time.Millisecond
	names := []string{"a", "b", "c"}
	grantors, candidates := map[string]*Grantor{}, map[string]*Candidate{}
	for rank, name := range names {
		grantors[name] = NewGrantor(term, -term)
		candidates[name] = NewCandidate("duty", len(names), rank, term)
		grantors[name].OnVoteRequest(name, VoteRequest{Role: "duty"}, 0)
	}
	leaders = map[time.Duration][]string{}
	for now := time.Duration(0); now < span; now += 10 * time.Millisecond {
		for _, name := range names {
			request, isDue := candidates[name].Tick(now)
			if !isDue || isDown(name, now) {
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
	Convey("Votes split among candidates lapse, the duty is won, and never by two at once", t, func() {
		leaders := elect(8*time.Second, func(string, time.Duration) bool { return false })
		for _, names := range leaders {
			So(len(names), ShouldEqual, 1)
		}
		So(len(leaders[4*time.Second]), ShouldEqual, 1)
	})
	Convey("A duty that falls vacant is won by another", t, func() {
		before := elect(4*time.Second, func(string, time.Duration) bool { return false })
		first := before[3990*time.Millisecond][0]
		after := elect(12*time.Second, func(name string, now time.Duration) bool { return name == first && now > 4*time.Second })
		for _, names := range after {
			So(len(names), ShouldEqual, 1)
		}
		So(after[11*time.Second], ShouldNotContain, first)
		So(len(after[11*time.Second]), ShouldEqual, 1)
	})
	Convey("Who has won a duty keeps it without a gap, whatever its place among the candidates", t, func() {
		const term, voters = 1200 * time.Millisecond, 5
		for rank := range 2 * voters {
			var grantors [voters]*Grantor
			for at := range grantors {
				grantors[at] = NewGrantor(term, -term)
				grantors[at].OnVoteRequest("z", VoteRequest{Role: "duty"}, time.Duration(at)*100*time.Millisecond)
			}
			candidate, since := NewCandidate("duty", voters, rank, term), time.Duration(0)
			for now := time.Duration(0); now < 60*time.Second; now += 10 * time.Millisecond {
				if request, isDue := candidate.Tick(now); isDue {
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
	Convey("A keeper that has just started may have forgotten a vote and gives none for a term", t, func() {
		grantor := NewGrantor(time.Second, 0)
		So(grantor.OnVoteRequest("a", VoteRequest{Role: "x"}, 999*time.Millisecond).Granted, ShouldBeFalse)
		So(grantor.OnVoteRequest("a", VoteRequest{Role: "x"}, time.Second).Granted, ShouldBeTrue)
	})
}
