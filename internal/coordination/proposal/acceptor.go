package proposal

import "cmp"

// Number orders the proposals for one value: by round, then by the name of the
// proposer. The zero Number is lower than any proposal's.
type Number struct {
	Round uint64
	Name  string
}

// IsBefore says whether n is lower than other.
func (n Number) IsBefore(other Number) bool {
	return cmp.Or(cmp.Compare(n.Round, other.Round), cmp.Compare(n.Name, other.Name)) < 0
}

// Acceptor is the state of one voter on one value. It must be synced to disk before
// the voter answers.
type Acceptor struct {
	// Promised is the highest proposal that a promise was given for.
	Promised Number
	// Accepted is the highest proposal accepted, and Value its value.
	Accepted Number
	Value    []byte
}

// Promise rejects from now on the proposals below number. It gives false, and changes
// nothing, where number itself or a higher one was promised before.
func (a *Acceptor) Promise(number Number) bool {
	if !a.Promised.IsBefore(number) {
		return false
	}
	a.Promised = number
	return true
}

// Accept takes a value. It gives false, and changes nothing, where a higher proposal
// was promised.
func (a *Acceptor) Accept(number Number, value []byte) bool {
	if number.IsBefore(a.Promised) {
		return false
	}
	a.Promised, a.Accepted, a.Value = number, number, value
	return true
}
