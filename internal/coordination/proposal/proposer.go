package proposal

import (
	"maps"
	"time"
)

// Proposer runs one round of one proposal: it prepares until a majority has promised,
// and then has its value accepted.
type Proposer struct {
	Number Number
	// Value is the proposer's own, until a promise tells of one accepted before.
	Value     []byte
	StartedAt time.Duration

	quorum          int
	highestAccepted Number
	promises        map[string]bool
	accepts         map[string]bool
	preparing       bool
}

// NewProposer starts a round that needs a majority of so many voters.
func NewProposer(number Number, voters int, value []byte, now time.Duration) *Proposer {
	return &Proposer{
		Number: number, Value: value, StartedAt: now, quorum: Majority(voters),
		promises: map[string]bool{}, accepts: map[string]bool{}, preparing: true,
	}
}

// IsPreparing says whether promises are still too few.
func (p *Proposer) IsPreparing() bool { return p.preparing }

// Clone copies the proposer.
func (p *Proposer) Clone() *Proposer {
	other := *p
	other.promises, other.accepts = maps.Clone(p.promises), maps.Clone(p.accepts)
	return &other
}

// OnPromise counts a promise, with the highest proposal that its voter accepted, if
// any. It gives true once: when a majority has promised and Value is to be sent for
// acceptance. Value is by then that of the highest proposal accepted before, since
// that one may have been decided.
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

// OnAccepted counts an acceptance. It gives true once: when a majority has accepted,
// so that Value is decided.
func (p *Proposer) OnAccepted(from string) bool {
	if p.preparing || p.accepts[from] {
		return false
	}
	p.accepts[from] = true
	return len(p.accepts) == p.quorum
}

// Majority is how many of so many voters are more than half.
func Majority(voters int) int { return voters/2 + 1 }
