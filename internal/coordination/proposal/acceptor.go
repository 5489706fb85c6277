package proposal

import "cmp"

// Number orders the proposals for one value: by round, then by the name of the
// proposer. The zero Number is lower than the Number of any proposal.
type Number struct {
	Round uint64
	Name  string
}

// IsBefore reports whether n is lower than other.
func (n Number) IsBefore(other Number) bool {
	return cmp.Or(cmp.Compare(n.Round, other.Round), cmp.Compare(n.Name, other.Name)) < 0
}

// Acceptor is the state of one voter for one value. It must be synced to disk before
// the voter answers.
type Acceptor struct {
	// Promised is the number of the highest proposal that the voter has promised or
	// accepted.
	Promised Number
	// Accepted is the number of the highest proposal that the voter has accepted, and
	// Value is the value of that proposal.
	Accepted Number
	Value    []byte
}

// Promise makes the acceptor reject, from now on, all proposals below number. It returns
// false, and changes nothing, if number or a higher one has already been promised.
func (a *Acceptor) Promise(number Number) bool {
	if !a.Promised.IsBefore(number) {
		return false
	}
	a.Promised = number
	return true
}

// Accept accepts a value. It returns false, and changes nothing, if a higher proposal
// has been promised.
func (a *Acceptor) Accept(number Number, value []byte) bool {
	if number.IsBefore(a.Promised) {
		return false
	}
	a.Promised, a.Accepted, a.Value = number, number, value
	return true
}
