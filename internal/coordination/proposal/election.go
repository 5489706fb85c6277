package proposal

import "time"

// VoteRequest asks for a vote for a singleton role, or for its renewal.
type VoteRequest struct {
	Role string
	// Attempt is the number of the candidate's request. The candidate counts only votes
	// for its last request.
	Attempt uint64
	// Voters is the canonical form of the set of voters whose votes the candidate
	// counts.
	Voters string
	// Renewal is true if the candidate already holds the role.
	Renewal bool
}

// Vote answers a VoteRequest.
type Vote struct {
	// Voter is the name of the node that voted. It may differ from the node that the
	// request was meant for, since another node may answer at the same address.
	Voter   string
	Role    string
	Attempt uint64
	Granted bool
	// Leader is the candidate for the role that the voter last voted for, if any.
	Leader string
	// Remaining is how much longer the vote binds its voter.
	Remaining time.Duration
}
