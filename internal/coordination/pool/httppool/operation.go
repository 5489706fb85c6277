package httppool

import "tansyseam/internal/state/model"

// OpKind is the kind of an operation.
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

// Op is one operation at an instance. OpRun runs Text, or the statement that was
// prepared under the name Prepared. OpSet and OpPrepare use Name. RequestID
// distinguishes a retry of a write from a new write. If Term is not 0, only a
// primary in that term may run the operation.
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

// leavesState reports whether the connection may hold state of the session after
// the operation.
func (op Op) leavesState() bool {
	return op.Kind == OpBegin || op.Kind == OpSet || op.Kind == OpPrepare
}

// Reply is an instance's reply to an operation.
type Reply struct {
	// Rejected is true if the instance did not start to run the operation. Failed
	// is true if the operation ran and failed, without effect.
	Rejected bool
	Failed   bool
	Error    string
	Rows     []byte
	Position model.Position
	// Clean is true if the connection holds no state of a session.
	Clean         bool
	InTransaction bool
	Role          string
	Term          uint64
	Incarnation   string
	Leaving       bool
}
