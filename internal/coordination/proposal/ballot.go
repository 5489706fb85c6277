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
type Voter struct {
	Promised Number
	Accepted Number
	Value    []byte
}

// Promise gives word not to accept lower ballots.
func (v *Voter) Promise(number Number) bool {
	if !v.Promised.IsBefore(number) {
		return false
	}
	v.Promised = number
	return true
}

// Accept takes a value unless a higher ballot was promised.
func (v *Voter) Accept(number Number, value []byte) bool {
	if number.IsBefore(v.Promised) {
		return false
	}
	v.Promised, v.Accepted, v.Value = number, number, value
	return true
}

// Round is one candidate's go at settling a value.
type Round struct {
	Number   Number
	Value    []byte
	Started  time.Duration
	need     int
	best     Number
	promises map[string]bool
	accepts  map[string]bool
	isAsking bool
}

// NewRound starts a go that wants a majority of voters.
func NewRound(number Number, voters int, value []byte, now time.Duration) *Round {
	return &Round{
		Number: number, Value: value, Started: now, need: voters/2 + 1,
		promises: map[string]bool{}, accepts: map[string]bool{}, isAsking: true,
	}
}

// IsAsking says that promises are still too few.
func (r *Round) IsAsking() bool { return r.isAsking }

// Clone copies the round.
func (r *Round) Clone() *Round {
	other := *r
	other.promises, other.accepts = maps.Clone(r.promises), maps.Clone(r.accepts)
	return &other
}

// OnPromise counts a promise; true once, when the value may be sent out. A
// value accepted before takes the place of the candidate's own.
func (r *Round) OnPromise(from string, accepted Number, value []byte) bool {
	if !r.isAsking {
		return false
	}
	r.promises[from] = true
	if len(value) > 0 && r.best.IsBefore(accepted) {
		r.best, r.Value = accepted, value
	}
	if len(r.promises) < r.need {
		return false
	}
	r.isAsking = false
	return true
}

// OnAccepted counts an acceptance; true once a majority holds the value.
func (r *Round) OnAccepted(from string) bool {
	if r.isAsking || r.accepts[from] {
		return false
	}
	r.accepts[from] = true
	return len(r.accepts) == r.need
}

// Ask seeks a vote for a duty, or its renewal.
type Ask struct {
	Duty string
	Go   uint64
	// Voters are those whose votes the asker counts.
	Voters string
	// IsRenewal says that the asker holds the duty.
	IsRenewal bool
}

// Vote answers an Ask.
type Vote struct {
	// Voter is who voted: another machine may answer at an address than the one
	// that was asked.
	Voter     string
	Duty      string
	Go        uint64
	IsGranted bool
	Holder    string
	// Left is how long the vote still binds.
	Left time.Duration
}

type grant struct {
	holder string
	until  time.Duration
}

// Keeper gives a machine's votes on duties; a vote binds for a bounded time.
type Keeper struct {
	term   time.Duration
	hold   time.Duration
	grants map[string]grant
}

// NewKeeper makes a keeper that, having forgotten what it voted before it
// started, gives no vote until one term has passed.
func NewKeeper(term, started time.Duration) *Keeper {
	return &Keeper{term: term, hold: started + term, grants: map[string]grant{}}
}

// Hold forgets all votes, and gives none before a moment.
func (k *Keeper) Hold(until time.Duration) {
	k.hold = max(k.hold, until)
	clear(k.grants)
}

// OnAsk votes. A vote lasts a term from when it was first given: only the
// duty's holder may lengthen it, so that votes split among candidates lapse.
func (k *Keeper) OnAsk(from string, ask Ask, now time.Duration) Vote {
	held := k.grants[ask.Duty]
	isVacant := now >= held.until && now >= k.hold
	if !isVacant && held.holder != from {
		return Vote{Duty: ask.Duty, Go: ask.Go, Holder: held.holder}
	}
	if isVacant || ask.IsRenewal {
		k.grants[ask.Duty] = grant{holder: from, until: now + k.term}
	}
	return Vote{Duty: ask.Duty, Go: ask.Go, IsGranted: true, Holder: from, Left: k.grants[ask.Duty].until - now}
}

// Idle gives for how long no vote of this machine has bound a duty.
func (k *Keeper) Idle(duty string, now time.Duration) time.Duration {
	return max(now-max(k.grants[duty].until, k.hold), 0)
}

// Seeker seeks one duty and keeps it while it can.
type Seeker struct {
	Duty    string
	term    time.Duration
	pace    time.Duration
	need    int
	go_     uint64
	sent    time.Duration
	nextAt  time.Duration
	votes   map[string]bool
	left    time.Duration
	until   time.Duration
	holder  string
	backoff time.Duration
}

// NewSeeker makes a seeker; rank spreads the candidates' goes apart.
func NewSeeker(duty string, voters, rank int, term time.Duration) *Seeker {
	return &Seeker{
		Duty: duty, term: term, pace: term / 3, need: voters/2 + 1,
		backoff: term/3 + time.Duration(rank)*term/7, votes: map[string]bool{},
	}
}

// IsHeld says whether the duty is ours at this moment.
func (s *Seeker) IsHeld(now time.Duration) bool { return now < s.until }

// Holder gives who last was seen to hold the duty.
func (s *Seeker) Holder() string { return s.holder }

// Tick gives the next ask that is due.
func (s *Seeker) Tick(now time.Duration) (Ask, bool) {
	if now < s.nextAt {
		return Ask{}, false
	}
	s.go_++
	s.sent = now
	s.nextAt = now + s.backoff
	if s.IsHeld(now) {
		s.nextAt = now + s.pace
	}
	clear(s.votes)
	s.left = s.term
	return Ask{Duty: s.Duty, Go: s.go_, IsRenewal: s.IsHeld(now)}, true
}

// OnVote counts a vote; true when this vote wins the duty anew.
func (s *Seeker) OnVote(from string, vote Vote, now time.Duration) bool {
	if vote.Go != s.go_ || vote.Duty != s.Duty {
		return false
	}
	if !vote.IsGranted {
		s.holder = vote.Holder
		return false
	}
	s.votes[from] = true
	s.left = min(s.left, vote.Left)
	if len(s.votes) < s.need {
		return false
	}
	isNew := !s.IsHeld(now)
	s.nextAt = min(s.nextAt, s.sent+s.pace)
	s.until = max(s.until, s.sent+s.left*9/10)
	s.holder = ""
	return isNew
}
