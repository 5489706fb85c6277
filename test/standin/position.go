package standin

// Position is a position in an instance's log. The zero value is the position
// before all entries.
type Position struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// precedes reports whether a is before b.
func precedes(a, b Position) bool { return a.Term < b.Term || (a.Term == b.Term && a.Index < b.Index) }

// Entry is one commit in an instance's log. The commit of a transaction contains
// all writes of the transaction.
type Entry struct {
	Term       uint64   `json:"term"`
	Index      uint64   `json:"index"`
	RequestIDs []string `json:"gos"`
	Statements []string `json:"texts"`
}
