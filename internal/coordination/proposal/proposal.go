// Package proposal holds the rounds by which a majority settles one value, and
// the rounds by which a duty of one node is won when it falls vacant.
package proposal

import (
	"cmp"
	"maps"
	"time"
)

// Number orders ballots.
type Number struct {
	Round uint64
	Name  string
}

// IsBefore says whether n is lower than other.
func (n Number) IsBefore(other Number) bool {
	return cmp.Or(cmp.Compare(n.Round, other.Round), cmp.Compare(n.Name, other.Name)) < 0
}

// Voter is one machine's durable part in settling one value.
type Acceptor struct {
	Promised Number
	Accepted Number
	Value    []byte
}

// Promise gives word not to accept lower ballots.
func (v *Acceptor) Promise(number Number) bool {
	if !v.Promised.IsBefore(number) {
		return false
	}
	v.Promised = number
	return true
}

// Accept takes a value unless a higher ballot was promised.
func (v *Acceptor) Accept(number Number, value []byte) bool {
	if number.IsBefore(v.Promised) {
		return false
	}
	v.Promised, v.Accepted, v.Value = number, number, value
	return true
}

// Round is one candidate's go at settling a value.
type Proposer struct {
	Number          Number
	Value           []byte
	StartedAt       time.Duration
	quorum          int
	highestAccepted Number
	promises        map[string]bool
	accepts         map[string]bool
	preparing       bool
}

// NewRound starts a go that wants a majority of voters.
func NewProposer(number Number, voters int, value []byte, now time.Duration) *Proposer {
	return &Proposer{
		Number: number, Value: value, StartedAt: now, quorum: voters/2 + 1,
		promises: map[string]bool{}, accepts: map[string]bool{}, preparing: true,
	}
}

// IsAsking says that promises are still too few.
func (r *Proposer) IsPreparing() bool { return r.preparing }

// Clone copies the round.
func (r *Proposer) Clone() *Proposer {
	other := *r
	other.promises, other.accepts = maps.Clone(r.promises), maps.Clone(r.accepts)
	return &other
}

// OnPromise counts a promise; true once, when the value may be sent out. A
// value accepted before takes the place of the candidate's own.
func (r *Proposer) OnPromise(from string, accepted Number, value []byte) bool {
	if !r.preparing {
		return false
	}
	r.promises[from] = true
	if len(value) > 0 && r.highestAccepted.IsBefore(accepted) {
		r.highestAccepted, r.Value = accepted, value
	}
	if len(r.promises) < r.quorum {
		return false
	}
	r.preparing = false
	return true
}

// OnAccepted counts an acceptance; true once a majority holds the value.
func (r *Proposer) OnAccepted(from string) bool {
	if r.preparing || r.accepts[from] {
		return false
	}
	r.accepts[from] = true
	return len(r.accepts) == r.quorum
}

// Ask seeks a vote for a duty, or its renewal.
type VoteRequest struct {
	Role    string
	Attempt uint64
	// Voters are those whose votes the asker counts.
	Voters string
	// IsRenewal says that the asker holds the duty.
	Renewal bool
}

// Vote answers an Ask.
type Vote struct {
	// Voter is who voted: another machine may answer at an address than the one
	// that was asked.
	Voter   string
	Role    string
	Attempt uint64
	Granted bool
	Leader  string
	// Left is how long the vote still binds.
	Remaining time.Duration
}

type grant struct {
	candidate string
	until     time.Duration
}

// Keeper gives a machine's votes on duties; a vote binds for a bounded time.
type Grantor struct {
	duration       time.Duration
	suspendedUntil time.Duration
	grants         map[string]grant
}

// NewKeeper makes a keeper that, having forgotten what it voted before it
// started, gives no vote until one term has passed.
func NewGrantor(term, started time.Duration) *Grantor {
	return &Grantor{duration: term, suspendedUntil: started + term, grants: map[string]grant{}}
}

// Hold forgets all votes, and gives none before a moment.
func (k *Grantor) Suspend(until time.Duration) {
	k.suspendedUntil = max(k.suspendedUntil, until)
	clear(k.grants)
}

// OnAsk votes. A vote lasts a term from when it was first given: only the
// duty's holder may lengthen it, so that votes split among candidates lapse.
func (k *Grantor) OnVoteRequest(from string, request VoteRequest, now time.Duration) Vote {
	held := k.grants[request.Role]
	vacant := now >= held.until && now >= k.suspendedUntil
	if !vacant && held.candidate != from {
		return Vote{Role: request.Role, Attempt: request.Attempt, Leader: held.candidate}
	}
	if vacant || request.Renewal {
		k.grants[request.Role] = grant{candidate: from, until: now + k.duration}
	}
	return Vote{Role: request.Role, Attempt: request.Attempt, Granted: true, Leader: from, Remaining: k.grants[request.Role].until - now}
}

// Idle gives for how long no vote of this machine has bound a duty.
func (k *Grantor) VacantFor(duty string, now time.Duration) time.Duration {
	return max(now-max(k.grants[duty].until, k.suspendedUntil), 0)
}

// Seeker seeks one duty and keeps it while it can.
type Candidate struct {
	Role          string
	duration      time.Duration
	renewInterval time.Duration
	quorum        int
	attempt       uint64
	sentAt        time.Duration
	nextRequestAt time.Duration
	votes         map[string]bool
	shortestVote  time.Duration
	leaderUntil   time.Duration
	leader        string
	backoff       time.Duration
}

// NewSeeker makes a seeker; rank spreads the candidates' goes apart.
func NewCandidate(duty string, voters, rank int, term time.Duration) *Candidate {
	return &Candidate{
		Role: duty, duration: term, renewInterval: term / 3, quorum: voters/2 + 1,
		backoff: term/3 + time.Duration(rank)*term/7, votes: map[string]bool{},
	}
}

// IsHeld says whether the duty is ours at this moment.
func (s *Candidate) IsLeader(now time.Duration) bool { return now < s.leaderUntil }

// Holder gives who last was seen to hold the duty.
func (s *Candidate) Leader() string { return s.leader }

// Tick gives the next ask that is due.
func (s *Candidate) Tick(now time.Duration) (VoteRequest, bool) {
	if now < s.nextRequestAt {
		return VoteRequest{}, false
	}
	s.attempt++
	s.sentAt = now
	s.nextRequestAt = now + s.backoff
	if s.IsLeader(now) {
		s.nextRequestAt = now + s.renewInterval
	}
	clear(s.votes)
	s.shortestVote = s.duration
	return VoteRequest{Role: s.Role, Attempt: s.attempt, Renewal: s.IsLeader(now)}, true
}

// OnVote counts a vote; true when this vote wins the duty anew.
func (s *Candidate) OnVote(from string, vote Vote, now time.Duration) bool {
	if vote.Attempt != s.attempt || vote.Role != s.Role {
		return false
	}
	if !vote.Granted {
		s.leader = vote.Leader
		return false
	}
	s.votes[from] = true
	s.shortestVote = min(s.shortestVote, vote.Remaining)
	if len(s.votes) < s.quorum {
		return false
	}
	isNew := !s.IsLeader(now)
	s.nextRequestAt = min(s.nextRequestAt, s.sentAt+s.renewInterval)
	s.leaderUntil = max(s.leaderUntil, s.sentAt+s.shortestVote*9/10)
	s.leader = ""
	return isNew
}
