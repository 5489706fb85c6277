package proposal

import "time"

const (
	// renewalsPerVote is how many times a leader renews its role within the duration of
	// one vote.
	renewalsPerVote = 3
	// backoffStepsPerVote is the number of backoff steps in the duration of one vote.
	// Each rank adds one step to the interval between a candidate's requests, which
	// spreads the requests of different candidates.
	backoffStepsPerVote = 7
)

// Candidate requests votes for one role and renews the role after winning it.
type Candidate struct {
	Role string

	// duration is how long a vote binds its voter.
	duration time.Duration
	// renewInterval is the time between requests while this candidate is the leader, and
	// backoff is the time between requests while it is not.
	renewInterval time.Duration
	backoff       time.Duration
	quorum        int

	// attempt is the number of the last request, and sentAt is when it was sent. votes
	// holds the voters that have granted it, and minRemaining is the shortest time for
	// which any of these votes binds.
	attempt      uint64
	sentAt       time.Duration
	votes        map[string]bool
	minRemaining time.Duration

	nextRequestAt time.Duration
	// leaderUntil is when this candidate's hold on the role ends. The votes of a majority
	// bind for longer than that.
	leaderUntil time.Duration
	// leader is the leader named in the last refused vote. It is cleared each time that
	// a vote completes or extends a majority.
	leader string
}

// NewCandidate returns a candidate for a role whose votes bind for duration. The rank
// spreads the candidates' requests over time: a candidate of a higher rank waits longer
// between requests until it is the leader.
func NewCandidate(role string, voters, rank int, duration time.Duration) *Candidate {
	renewInterval := duration / renewalsPerVote
	return &Candidate{
		Role: role, duration: duration, renewInterval: renewInterval, quorum: Majority(voters),
		backoff: renewInterval + time.Duration(rank)*duration/backoffStepsPerVote, votes: map[string]bool{},
	}
}

// IsLeader reports whether this candidate holds the role now.
func (c *Candidate) IsLeader(now time.Duration) bool { return now < c.leaderUntil }

// Leader returns the leader that a voter named in the last refused vote. It returns ""
// if that voter named none, or if this candidate has won or renewed the role since.
func (c *Candidate) Leader() string { return c.leader }

// Tick returns the next request to all voters, and true, if one is due.
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
	c.minRemaining = c.duration
	return VoteRequest{Role: c.Role, Attempt: c.attempt, Renewal: c.IsLeader(now)}, true
}

// OnVote counts a vote. It returns true if this vote wins the role. It returns false
// otherwise, including when the vote renews the role.
func (c *Candidate) OnVote(from string, vote Vote, now time.Duration) bool {
	if vote.Attempt != c.attempt || vote.Role != c.Role {
		return false
	}
	if !vote.Granted {
		c.leader = vote.Leader
		return false
	}
	c.votes[from] = true
	c.minRemaining = min(c.minRemaining, vote.Remaining)
	if len(c.votes) < c.quorum {
		return false
	}
	won := !c.IsLeader(now)
	c.nextRequestAt = min(c.nextRequestAt, c.sentAt+c.renewInterval)
	c.leaderUntil = max(c.leaderUntil, c.sentAt+UsableSpan(c.minRemaining))
	c.leader = ""
	return won
}
