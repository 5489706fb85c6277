package model

// Position is a position in a database's log. Positions are ordered by the term of the
// primary that wrote the log entry, then by the entry's index.
type Position struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// IsBefore reports whether p is before other.
func (p Position) IsBefore(other Position) bool {
	return p.Term < other.Term || (p.Term == other.Term && p.Index < other.Index)
}

// Max returns the later of two positions.
func (p Position) Max(other Position) Position {
	if p.IsBefore(other) {
		return other
	}
	return p
}
