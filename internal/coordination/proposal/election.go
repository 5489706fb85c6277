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
	// Voter is who voted. At the address that was asked, another node may answer than
	// the one that was meant.
	Voter   string
	Role    string
	Attempt uint64
	Granted bool
	// Leader is whom the voter's last vote was for.
	Leader string
	// Remaining is how long the vote is still binding.
	Remaining time.Duration
}
