package proposal

import "time"

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
