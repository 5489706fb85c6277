package proposal

import "time"

// VoteRequest asks for a vote for a singleton role, or for its renewal.
type VoteRequest struct {
	Role string
	// Attempt numbers the candidate's requests; a vote counts only for the last.
	Attempt uint64
	// Voters is the canonical form of the set of voters that the candidate counts.
	Voters string
	// Renewal says that the candidate fills the role.
	Renewal bool
}

// Vote answers a VoteRequest.
type Vote struct {
	// Voter is who voted: another node may answer at an address than the one
	// that was asked.
	Voter   string
	Role    string
	Attempt uint64
	Granted bool
	// Leader is whom the voter's last vote was for.
	Leader string
	// Remaining is how long the vote is still binding.
	Remaining time.Duration
}

// grant is a vote that binds its voter to a candidate until a moment.
type grant struct {
	candidate string
	until     time.Duration
}

// Grantor gives the votes of one node. Votes are not stored: a voter that starts
// gives none until those of its run before have lapsed.
type Grantor struct {
	duration       time.Duration
	suspendedUntil time.Duration
	grants         map[string]grant
}

// NewGrantor makes a grantor whose votes bind for duration.
func NewGrantor(duration, startedAt time.Duration) *Grantor {
	return &Grantor{duration: duration, suspendedUntil: startedAt + duration, grants: map[string]grant{}}
}

// Suspend forgets all votes, and gives none before a moment.
func (g *Grantor) Suspend(until time.Duration) {
	g.suspendedUntil = max(g.suspendedUntil, until)
	clear(g.grants)
}

// OnVoteRequest votes. A vote lasts from when it was first given, and only a renewal
// extends it, so that votes that are split among candidates lapse.
func (g *Grantor) OnVoteRequest(from string, request VoteRequest, now time.Duration) Vote {
	last := g.grants[request.Role]
	vote := Vote{Role: request.Role, Attempt: request.Attempt}
	vacant := now >= last.until && now >= g.suspendedUntil
	if !vacant && last.candidate != from {
		vote.Leader = last.candidate
		return vote
	}
	if vacant || request.Renewal {
		g.grants[request.Role] = grant{candidate: from, until: now + g.duration}
	}
	vote.Granted, vote.Leader = true, from
	vote.Remaining = g.grants[request.Role].until - now
	return vote
}

// VacantFor gives for how long no vote of this node has been binding for a role.
func (g *Grantor) VacantFor(role string, now time.Duration) time.Duration {
	return max(now-max(g.grants[role].until, g.suspendedUntil), 0)
}

// Candidate stands for one role, and renews it once it is won.
type Candidate struct {
	Role string

	duration      time.Duration
	renewInterval time.Duration
	backoff       time.Duration
	quorum        int

	// What follows is of the last request.
	attempt      uint64
	sentAt       time.Duration
	votes        map[string]bool
	shortestVote time.Duration

	nextRequestAt time.Duration
	leaderUntil   time.Duration
	leader        string
}

const (
	// renewalsPerVote is how often a leader renews within the duration of a vote.
	renewalsPerVote = 3
	// backoffStepsPerVote divides the duration of a vote into the steps by which the
	// candidates' requests are spread.
	backoffStepsPerVote = 7
)

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
	c.leaderUntil = max(c.leaderUntil, c.sentAt+withClockMargin(c.shortestVote))
	c.leader = ""
	return won
}

// withClockMargin leaves a tenth of a span for clocks that run at different rates.
func withClockMargin(span time.Duration) time.Duration { return span * 9 / 10 }
