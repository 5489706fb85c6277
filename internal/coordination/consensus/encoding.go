package consensus

import "tansyseam/internal/coordination/proposal"

// The encoded field names are those of the first release; see package encoded.

// EncodedIdentity is Identity as it is stored and sent.
type EncodedIdentity struct {
	Cluster     string
	Self        string
	Incarnation uint64
	Voters      []string
	IsFormed    bool
}

// Encoded returns the form that is stored and sent.
func (i Identity) Encoded() EncodedIdentity {
	return EncodedIdentity{
		Cluster:     i.Cluster,
		Self:        i.Self,
		Incarnation: i.Incarnation,
		Voters:      i.Voters,
		IsFormed:    i.Formed,
	}
}

// IdentityFrom returns the Identity whose stored or sent form is e.
func IdentityFrom(e EncodedIdentity) Identity {
	return Identity{
		Cluster:     e.Cluster,
		Self:        e.Self,
		Incarnation: e.Incarnation,
		Voters:      e.Voters,
		Formed:      e.IsFormed,
	}
}

// EncodedVoterState is VoterState as it is stored and sent.
type EncodedVoterState struct {
	Sequence  uint64
	Decided   Record
	Voter     proposal.Acceptor
	IsPledged bool
	IsHollow  bool
}

// Encoded returns the form that is stored and sent.
func (v VoterState) Encoded() EncodedVoterState {
	return EncodedVoterState{
		Sequence:  v.Sequence,
		Decided:   v.Decided,
		Voter:     v.Acceptor,
		IsPledged: v.VotedForOther,
		IsHollow:  v.ReplicaIncomplete,
	}
}

// VoterStateFrom returns the VoterState whose stored or sent form is e.
func VoterStateFrom(e EncodedVoterState) VoterState {
	return VoterState{
		Sequence:          e.Sequence,
		Decided:           e.Decided,
		Acceptor:          e.Voter,
		VotedForOther:     e.IsPledged,
		ReplicaIncomplete: e.IsHollow,
	}
}
