package proposal

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRounds(t *testing.T) {
	Convey("A value once held by a majority is the only one that a later ballot can settle", t, func() {
		voters := []*Voter{{}, {}, {}}
		first := NewRound(Number{1, "a"}, 3, []byte("a"), 0)
		So(voters[0].Promise(first.Number), ShouldBeTrue)
		So(voters[1].Promise(first.Number), ShouldBeTrue)
		So(first.OnPromise("0", Number{}, nil), ShouldBeFalse)
		So(first.OnPromise("1", Number{}, nil), ShouldBeTrue)
		So(voters[0].Accept(first.Number, first.Value), ShouldBeTrue)
		So(voters[1].Accept(first.Number, first.Value), ShouldBeTrue)
		second := NewRound(Number{2, "b"}, 3, []byte("b"), 0)
		So(voters[1].Promise(second.Number), ShouldBeTrue)
		So(voters[2].Promise(second.Number), ShouldBeTrue)
		second.OnPromise("2", voters[2].Accepted, voters[2].Value)
		So(second.OnPromise("1", voters[1].Accepted, voters[1].Value), ShouldBeTrue)
		So(string(second.Value), ShouldEqual, "a")
	})
	Convey("A promise bars lower ballots, and a vote counts once", t, func() {
		voter := &Voter{}
		So(voter.Promise(Number{3, "a"}), ShouldBeTrue)
		So(voter.Promise(Number{2, "z"}), ShouldBeFalse)
		So(voter.Accept(Number{2, "z"}, nil), ShouldBeFalse)
		round := NewRound(Number{1, "a"}, 3, nil, 0)
		round.OnPromise("0", Number{}, nil)
		round.OnPromise("1", Number{}, nil)
		So(round.OnAccepted("0"), ShouldBeFalse)
		So(round.OnAccepted("0"), ShouldBeFalse)
		So(round.OnAccepted("1"), ShouldBeTrue)
	})
}

func elect(span time.Duration, isDown func(name string, now time.Duration) bool) (holders map[time.Duration][]string) {
	const term = 1200 * time.Millisecond
	names := []string{"a", "b", "c"}
	keepers, seekers := map[string]*Keeper{}, map[string]*Seeker{}
	for rank, name := range names {
		keepers[name] = NewKeeper(term, -term)
		seekers[name] = NewSeeker("duty", len(names), rank, term)
		keepers[name].OnAsk(name, Ask{Duty: "duty"}, 0)
	}
	holders = map[time.Duration][]string{}
	for now := time.Duration(0); now < span; now += 10 * time.Millisecond {
		for _, name := range names {
			ask, isDue := seekers[name].Tick(now)
			if !isDue || isDown(name, now) {
				continue
			}
			for _, voter := range names {
				if !isDown(voter, now) {
					seekers[name].OnVote(voter, keepers[voter].OnAsk(name, ask, now), now)
				}
			}
		}
		for _, name := range names {
			if seekers[name].IsHeld(now) {
				holders[now] = append(holders[now], name)
			}
		}
	}
	return holders
}

func TestDuties(t *testing.T) {
	Convey("Votes split among candidates lapse, the duty is won, and never by two at once", t, func() {
		holders := elect(8*time.Second, func(string, time.Duration) bool { return false })
		for _, names := range holders {
			So(len(names), ShouldEqual, 1)
		}
		So(len(holders[4*time.Second]), ShouldEqual, 1)
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
			var keepers [voters]*Keeper
			for at := range keepers {
				keepers[at] = NewKeeper(term, -term)
				keepers[at].OnAsk("z", Ask{Duty: "duty"}, time.Duration(at)*100*time.Millisecond)
			}
			seeker, since := NewSeeker("duty", voters, rank, term), time.Duration(0)
			for now := time.Duration(0); now < 60*time.Second; now += 10 * time.Millisecond {
				if ask, isDue := seeker.Tick(now); isDue {
					for at := range keepers {
						seeker.OnVote(string(rune('a'+at)), keepers[at].OnAsk("me", ask, now), now)
					}
				}
				if since == 0 && seeker.IsHeld(now) {
					since = now
				}
				if since != 0 && !seeker.IsHeld(now) {
					So([]time.Duration{time.Duration(rank), since, now}, ShouldBeEmpty)
				}
			}
			So(since, ShouldBeBetween, 0, 5*time.Second)
		}
	})
	Convey("A keeper that has just started may have forgotten a vote and gives none for a term", t, func() {
		keeper := NewKeeper(time.Second, 0)
		So(keeper.OnAsk("a", Ask{Duty: "x"}, 999*time.Millisecond).IsGranted, ShouldBeFalse)
		So(keeper.OnAsk("a", Ask{Duty: "x"}, time.Second).IsGranted, ShouldBeTrue)
	})
}
