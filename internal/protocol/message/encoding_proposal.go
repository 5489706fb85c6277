package message

import (
	"time"

	"tansyseam/internal/coordination/proposal"
)

// The encoded field names are those of the first release and must never change; see
// package encoded.

// encodedVoteRequest is the encoded form of proposal.VoteRequest.
type encodedVoteRequest struct {
	Duty      string
	Go        uint64
	Voters    string
	IsRenewal bool
}

func encodeVoteRequest(m proposal.VoteRequest) encodedVoteRequest {
	return encodedVoteRequest{
		Duty:      m.Role,
		Go:        m.Attempt,
		Voters:    m.Voters,
		IsRenewal: m.Renewal,
	}
}

func decodeVoteRequest(e encodedVoteRequest) proposal.VoteRequest {
	return proposal.VoteRequest{
		Role:    e.Duty,
		Attempt: e.Go,
		Voters:  e.Voters,
		Renewal: e.IsRenewal,
	}
}

// encodedVote is the encoded form of proposal.Vote.
type encodedVote struct {
	Voter     string
	Duty      string
	Go        uint64
	IsGranted bool
	Holder    string
	Left      time.Duration
}

func encodeVote(m proposal.Vote) encodedVote {
	return encodedVote{
		Voter:     m.Voter,
		Duty:      m.Role,
		Go:        m.Attempt,
		IsGranted: m.Granted,
		Holder:    m.Leader,
		Left:      m.Remaining,
	}
}

func decodeVote(e encodedVote) proposal.Vote {
	return proposal.Vote{
		Voter:     e.Voter,
		Role:      e.Duty,
		Attempt:   e.Go,
		Granted:   e.IsGranted,
		Leader:    e.Holder,
		Remaining: e.Left,
	}
}
