package proposal

import (
	"maps"
	"time"
)

// Proposer runs one round of a proposal: it collects promises until a majority has
// promised, and then collects acceptances of its value.
type Proposer struct {
	Number Number
	// Value is the proposer's own value, unless a promise has reported a value that was
	// already accepted.
	Value     []byte
	StartedAt time.Duration

	quorum          int
	highestAccepted Number
	promises        map[string]bool
	accepts         map[string]bool
	preparing       bool
}

// NewProposer starts a round that needs a majority of the given number of voters.
func NewProposer(number Number, voters int, value []byte, now time.Duration) *Proposer {
	return &Proposer{
		Number: number, Value: value, StartedAt: now, quorum: Majority(voters),
		promises: map[string]bool{}, accepts: map[string]bool{}, preparing: true,
	}
}

// IsPreparing reports whether fewer than a majority of the voters have promised.
func (p *Proposer) IsPreparing() bool { return p.preparing }

// Clone returns a copy of the proposer.
func (p *Proposer) Clone() *Proposer {
	other := *p
	other.promises, other.accepts = maps.Clone(p.promises), maps.Clone(p.accepts)
	return &other
}

// OnPromise counts a promise, which carries the highest proposal that its voter has
// accepted, if any. It returns true once: when a majority has promised and Value is to
// be sent for acceptance. If the promises reported accepted proposals, Value is then the
// value of the highest of them, since that value may already have been decided.
func (p *Proposer) OnPromise(from string, accepted Number, value []byte) bool {
	if !p.preparing {
		return false
	}
	p.promises[from] = true
	if len(value) > 0 && p.highestAccepted.IsBefore(accepted) {
		p.highestAccepted, p.Value = accepted, value
	}
	if len(p.promises) < p.quorum {
		return false
	}
	p.preparing = false
	return true
}

// OnAccepted counts an acceptance. It returns true once: when a majority has accepted,
// and Value is therefore decided.
func (p *Proposer) OnAccepted(from string) bool {
	if p.preparing || p.accepts[from] {
		return false
	}
	p.accepts[from] = true
	return len(p.accepts) == p.quorum
}

// Majority returns the smallest number of votes that is more than half of voters.
func Majority(voters int) int { return voters/2 + 1 }
