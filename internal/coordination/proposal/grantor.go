package proposal

import "time"

// grant is a vote that binds its voter to a candidate until expiresAt.
type grant struct {
	candidate string
	expiresAt time.Duration
}

// Grantor grants the votes of one node. Votes are not persisted: after a start, the
// Grantor grants none until the votes from before the restart have expired.
type Grantor struct {
	duration       time.Duration
	suspendedUntil time.Duration
	grants         map[string]grant
}

// NewGrantor returns a grantor whose votes bind for duration.
func NewGrantor(duration, startedAt time.Duration) *Grantor {
	return &Grantor{duration: duration, suspendedUntil: startedAt + duration, grants: map[string]grant{}}
}

// Suspend discards all votes and grants no new ones before until.
func (g *Grantor) Suspend(until time.Duration) {
	g.suspendedUntil = max(g.suspendedUntil, until)
	clear(g.grants)
}

// OnVoteRequest returns the vote on a request. A vote's duration counts from when it was
// first granted, and only a renewal extends it. Votes that are split among several
// candidates therefore expire.
func (g *Grantor) OnVoteRequest(from string, request VoteRequest, now time.Duration) Vote {
	last := g.grants[request.Role]
	vote := Vote{Role: request.Role, Attempt: request.Attempt}
	vacant := now >= last.expiresAt && now >= g.suspendedUntil
	if !vacant && last.candidate != from {
		vote.Leader = last.candidate
		return vote
	}
	if vacant || request.Renewal {
		g.grants[request.Role] = grant{candidate: from, expiresAt: now + g.duration}
	}
	vote.Granted, vote.Leader = true, from
	vote.Remaining = g.grants[request.Role].expiresAt - now
	return vote
}

// VacantFor returns how long no vote of this node has been binding for a role, counted
// from the end of the last vote or of the suspension, whichever is later.
func (g *Grantor) VacantFor(role string, now time.Duration) time.Duration {
	return max(now-max(g.grants[role].expiresAt, g.suspendedUntil), 0)
}
