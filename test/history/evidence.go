package history

import (
	"time"

	"tansyseam/test/standin"
)

// Kinds of requests in the events of a run.
const (
	KindOpen     = "open"
	KindRead     = "read"
	KindWrite    = "write"
	KindSet      = "set"
	KindPrepare  = "prepare"
	KindBegin    = "begin"
	KindInside   = "inside"
	KindCommit   = "commit"
	KindRollback = "rollback"
)

// Outcomes of requests. OutcomeLeft is that of a transaction which its caller
// abandoned, OutcomeCut that of a request without an answer.
const (
	OutcomeRead    = "read"
	OutcomeDone    = "done"
	OutcomeKept    = "kept"
	OutcomeNotKept = "not_kept"
	OutcomeUnknown = "unknown"
	OutcomeCut     = "cut"
	OutcomeLeft    = "left"
)

// Acts of executions that are not callers' statements.
const (
	ActCommit  = "commit"
	ActPromote = "promote"
)

// ErrorResetByRun is the error of a request whose connection the run itself
// reset at the caller's end.
const ErrorResetByRun = "reset by the run"

// Evidence is all that a run left behind.
type Evidence struct {
	Events []standin.Event
	// Logs holds, by database and instance, the log as it stands at the end.
	Logs map[string]map[string][]standin.Entry
	// Writers names, by database, the primary at the end.
	Writers map[string]string
	// Executions are the statements as the instances ran them.
	Executions   []standin.Execution
	AcceptedSets []AcceptedSet
	// Restarts are the planned ones only.
	Restarts     []Restart
	ClosedFaults []ClosedFault
	// SubmittedSets are the sets that operators sent, SetAnswers the answers
	// that they received, ServedSets the sets that nodes served under.
	SubmittedSets []SubmittedSet
	SetAnswers    []SetAnswer
	ServedSets    []ServedSet
	// End is when the run was over.
	End int64
	// QuietSpans are the parts of the run without any fault.
	QuietSpans []Span
}

// Span is a part of a run.
type Span struct{ From, Until int64 }

// AcceptedSet is a set that the fleet acknowledged.
type AcceptedSet struct {
	Sequence       uint64
	AcknowledgedAt int64
	// EffectiveAt is when a scheduled set was to take effect; 0 for one that
	// takes effect at once.
	EffectiveAt int64
}

// SubmittedSet is a set that an operator sent. A repeat has the same ID.
type SubmittedSet struct {
	ID          string
	Content     string
	Scheduled   bool
	EffectiveAt int64
	At          int64
}

// SetAnswer is the answer to an operator: accepted under a sequence (a
// scheduled set has none yet), or refused.
type SetAnswer struct {
	ID       string
	At       int64
	Sequence uint64
	Refused  bool
}

// ServedSet is a set that a node served under.
type ServedSet struct {
	Node     string
	Sequence uint64
	Content  string
	At       int64
}

// Restart is a planned restart of a node, which listens at Address.
type Restart struct {
	Address     string
	From, Until int64
}

// ClosedFault is a fault that has ended, with a span before it in which the
// level of service was normal.
type ClosedFault struct {
	Name                    string
	BeforeFrom, BeforeUntil int64
	// At is when the machines were back.
	At int64
}

// finalLog gives the log of the database's primary at the end.
func (e Evidence) finalLog(database string) []standin.Entry {
	return e.Logs[database][e.Writers[database]]
}

// effectPositions gives, by request ID, the positions in the final log at
// which the request took effect.
func (e Evidence) effectPositions(database string) map[string][]standin.Position {
	positions := map[string][]standin.Position{}
	for _, entry := range e.finalLog(database) {
		for _, id := range entry.RequestIDs {
			positions[id] = append(positions[id], standin.Position{Term: entry.Term, Index: entry.Index})
		}
	}
	return positions
}

func isAfter(a, b standin.Position) bool {
	return a.Term > b.Term || (a.Term == b.Term && a.Index > b.Index)
}

// isCommitKind reports whether a request of this kind may leave an entry in
// the log when it is answered.
func isCommitKind(event standin.Event) bool {
	return event.Kind == KindWrite || event.Kind == KindCommit
}

func isServed(event standin.Event) bool {
	return event.Outcome == OutcomeKept || event.Outcome == OutcomeRead || event.Outcome == OutcomeDone
}

// requestIDs gives the IDs of a request and of the writes inside it.
func requestIDs(event standin.Event) []string {
	return append([]string{event.RequestID}, event.RequestIDs...)
}

func milliseconds(span int64) int64 { return span / int64(time.Millisecond) }
