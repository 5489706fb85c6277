package httppool

import "tansyseam/internal/state/model"

// OpKind is what an operation does.
type OpKind string

// Kinds of operation.
const (
	OpOpen     OpKind = "open"
	OpRun      OpKind = "run"
	OpBegin    OpKind = "begin"
	OpCommit   OpKind = "commit"
	OpRollback OpKind = "rollback"
	OpSet      OpKind = "set"
	OpPrepare  OpKind = "prepare"
)

// Op is one operation at an instance. OpRun runs Text, or what was prepared
// under the name Prepared; OpSet and OpPrepare use Name. RequestID tells retries
// of a write from new ones. Term, where given, is that of the primary which may
// run it.
type Op struct {
	Kind      OpKind
	Text      string
	Prepared  string
	Arguments []string
	Write     bool
	Name      string
	Value     string
	RequestID string
	Term      uint64
}

// leavesState reports whether the connection may keep state of the session after
// the operation.
func (op Op) leavesState() bool {
	return op.Kind == OpBegin || op.Kind == OpSet || op.Kind == OpPrepare
}

// Reply is what an instance answered.
type Reply struct {
	// Rejected says that the instance did not begin to run the operation,
	// Failed that it ran and failed, without effect.
	Rejected bool
	Failed   bool
	Error    string
	Rows     []byte
	Position model.Position
	// Clean says that the connection holds no state of a session.
	Clean         bool
	InTransaction bool
	Role          string
	Term          uint64
	Incarnation   string
	Leaving       bool
}
