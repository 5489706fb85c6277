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

// Outcomes of requests. OutcomeLeft is the outcome of a transaction that its
// caller abandoned. OutcomeCut is the outcome of a request that received no
// answer.
const (
	OutcomeRead    = "read"
	OutcomeDone    = "done"
	OutcomeKept    = "kept"
	OutcomeNotKept = "not_kept"
	OutcomeUnknown = "unknown"
	OutcomeCut     = "cut"
	OutcomeLeft    = "left"
)

// Actions of executions that are not callers' statements.
const (
	ActCommit  = "commit"
	ActPromote = "promote"
)

// ErrorResetByRun is the error of a request whose connection was reset at the
// caller's end by the run itself.
const ErrorResetByRun = "reset by the run"

// Evidence is everything that was recorded of a run.
type Evidence struct {
	Events []standin.Event
	// Logs holds, by database and instance, the log at the end of the run.
	Logs map[string]map[string][]standin.Entry
	// Writers holds, by database, the name of the primary at the end of the run.
	Writers map[string]string
	// Executions are the statements that the instances ran.
	Executions   []standin.Execution
	AcceptedSets []AcceptedSet
	// Restarts holds planned restarts only.
	Restarts     []Restart
	ClosedFaults []ClosedFault
	// SubmittedSets are the binding sets that operators sent, SetAnswers are
	// the answers that operators received, and ServedSets are the sets under
	// which nodes served requests.
	SubmittedSets []SubmittedSet
	SetAnswers    []SetAnswer
	ServedSets    []ServedSet
	// End is the time at which the run ended.
	End int64
	// QuietSpans are the spans of the run without any fault.
	QuietSpans []Span
}

// Span is a time span of a run.
type Span struct{ From, Until int64 }

// AcceptedSet is a binding set that the fleet acknowledged.
type AcceptedSet struct {
	Sequence       uint64
	AcknowledgedAt int64
	// EffectiveAt is the time at which a scheduled set must take effect. It is
	// 0 for a set that takes effect at once.
	EffectiveAt int64
}

// SubmittedSet is a binding set that an operator sent. A repeated submission
// has the same ID.
type SubmittedSet struct {
	ID          string
	Content     string
	Scheduled   bool
	EffectiveAt int64
	At          int64
}

// SetAnswer is the answer to an operator who submitted a set. The set was either
// refused, or accepted under a sequence number. A scheduled set has no sequence
// number yet when it is accepted.
type SetAnswer struct {
	ID       string
	At       int64
	Sequence uint64
	Refused  bool
}

// ServedSet is a set under which a node served requests.
type ServedSet struct {
	Node     string
	Sequence uint64
	Content  string
	At       int64
}

// Restart is a planned restart of the node that listens at Address.
type Restart struct {
	Address     string
	From, Until int64
}

// ClosedFault is a fault that has ended. Service was normal in the span from
// BeforeFrom until BeforeUntil, before the fault.
type ClosedFault struct {
	Name                    string
	BeforeFrom, BeforeUntil int64
	// At is the time at which the fault had ended.
	At int64
}

// finalLog returns the log of the database's primary at the end of the run.
func (e Evidence) finalLog(database string) []standin.Entry {
	return e.Logs[database][e.Writers[database]]
}

// effectPositions returns, by request ID, the positions in the final log at
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

// isCommitKind reports whether a request of this kind can add an entry to the
// log.
func isCommitKind(event standin.Event) bool {
	return event.Kind == KindWrite || event.Kind == KindCommit
}

func isServed(event standin.Event) bool {
	return event.Outcome == OutcomeKept || event.Outcome == OutcomeRead || event.Outcome == OutcomeDone
}

// requestIDs returns the ID of a request and the IDs of the writes in its
// transaction.
func requestIDs(event standin.Event) []string {
	return append([]string{event.RequestID}, event.RequestIDs...)
}

func milliseconds(span int64) int64 { return span / int64(time.Millisecond) }
