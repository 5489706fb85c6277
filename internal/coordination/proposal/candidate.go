package proposal

import "time"

const (
	// renewalsPerVote is how often a leader renews within the duration of a vote.
	renewalsPerVote = 3
	// backoffStepsPerVote divides the duration of a vote into the steps by which the
	// candidates' requests are spread.
	backoffStepsPerVote = 7
)

// Candidate stands for one role, and renews it once it is won.
type Candidate struct {
	Role string

	// duration is for how long a vote binds its voter.
	duration time.Duration
	// renewInterval is the time between requests of the leader, and backoff that between
	// those of a candidate that is none.
	renewInterval time.Duration
	backoff       time.Duration
	quorum        int

	// What follows is of the last request: its number, when it was sent, who has voted
	// for it, and for how long at least those votes bind.
	attempt      uint64
	sentAt       time.Duration
	votes        map[string]bool
	shortestVote time.Duration

	nextRequestAt time.Duration
	// leaderUntil is until when this candidate fills the role. A majority of the voters
	// is bound to it for longer than that.
	leaderUntil time.Duration
	// leader is whom a voter named when it last refused, empty since this candidate won.
	leader string
}

// NewCandidate makes a candidate for votes that bind for duration; its rank among the
// candidates spreads their requests over time.
func NewCandidate(role string, voters, rank int, duration time.Duration) *Candidate {
	renewInterval := duration / renewalsPerVote
	return &Candidate{
		Role: role, duration: duration, renewInterval: renewInterval, quorum: Majority(voters),
		backoff: renewInterval + time.Duration(rank)*duration/backoffStepsPerVote, votes: map[string]bool{},
	}
}

// IsLeader says whether this candidate fills the role now.
func (c *Candidate) IsLeader(now time.Duration) bool { return now < c.leaderUntil }

// Leader names the last other candidate that a voter reported; it is empty while this
// one fills the role.
func (c *Candidate) Leader() string { return c.leader }

// Tick gives the next request to all voters, where it is due.
func (c *Candidate) Tick(now time.Duration) (VoteRequest, bool) {
	if now < c.nextRequestAt {
		return VoteRequest{}, false
	}
	c.attempt++
	c.sentAt = now
	c.nextRequestAt = now + c.backoff
	if c.IsLeader(now) {
		c.nextRequestAt = now + c.renewInterval
	}
	clear(c.votes)
	c.shortestVote = c.duration
	return VoteRequest{Role: c.Role, Attempt: c.attempt, Renewal: c.IsLeader(now)}, true
}

// OnVote counts a vote. It gives true where this vote wins the role, and false for
// one that renews it.
func (c *Candidate) OnVote(from string, vote Vote, now time.Duration) bool {
	if vote.Attempt != c.attempt || vote.Role != c.Role {
		return false
	}
	if !vote.Granted {
		c.leader = vote.Leader
		return false
	}
	c.votes[from] = true
	c.shortestVote = min(c.shortestVote, vote.Remaining)
	if len(c.votes) < c.quorum {
		return false
	}
	won := !c.IsLeader(now)
	c.nextRequestAt = min(c.nextRequestAt, c.sentAt+c.renewInterval)
	c.leaderUntil = max(c.leaderUntil, c.sentAt+UsableSpan(c.shortestVote))
	c.leader = ""
	return won
}
