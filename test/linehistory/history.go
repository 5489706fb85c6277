package linehistory

import (
	"slices"
	"time"
)

// Actions that are forwarded to an instance.
const (
	ActRead   = "read"
	ActWrite  = "write"
	ActCommit = "commit"
)

// Kinds of routes, by the consistency that they guarantee to reads.
const (
	kindBoundedLag = "bounded_lag"
	kindOwnWrites  = "own_writes"
)

// Answer codes that the rules check.
const (
	codeNoDatabase = "NODB"
	codeNotFound   = "NOTFOUND"
)

// noEffectCodes are the answer codes that guarantee to a client that its
// statement or its transaction has no effect.
var noEffectCodes = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGHOST", "FULL"}

// PromisesNoEffect reports whether an answer code guarantees that the statement
// or its transaction has no effect, so that a client may repeat it.
func PromisesNoEffect(code string) bool { return slices.Contains(noEffectCodes, code) }

// Position is a position in a service's log.
type Position struct{ Term, Index uint64 }

// Covers reports whether a log that ends at p contains the entry at other.
func (p Position) Covers(other Position) bool {
	return p.Term >= other.Term && p.Index >= other.Index
}

// Execution is a statement that an instance executed.
type Execution struct {
	At                      time.Duration
	Instance, Service, Conn string
	// Transaction is the number of the transaction on its connection. It is 0
	// for a statement outside a transaction.
	Transaction   int
	ID, Act, Text string
	// Shape is the text of a prepared statement, and Rest is the rest of the line
	// that runs it. Text is empty for a prepared statement.
	Shape, Rest string
	// Values are the settings of the session.
	Values map[string]string
	// Stamp identifies the answer. It is unique to the execution.
	Stamp string
	Rows  []string
	// LogEnd is the end of the instance's log when the statement ran, and
	// CommittedAt is the position of its commit.
	LogEnd, CommittedAt Position
	// LeavingAcknowledged is the time at which the instance's announcement that
	// it is leaving was acknowledged. It is 0 if it never was.
	LeavingAcknowledged time.Duration
}

// Query is a query as its client observed it.
type Query struct {
	Session, Host, Kind string
	// Staleness is the staleness that the route allows for reads.
	Staleness     time.Duration
	ID, Act, Text string
	Shape, Rest   string
	Values        map[string]string
	// Transaction is the ID of the transaction. First is true if this is its
	// first statement. Began is the time at which its begin was sent.
	Transaction    string
	First          bool
	Began          time.Duration
	Sent, Answered time.Duration
	Code, Stamp    string
	Rows           []string
	// Cut is true if the session ended without a complete answer.
	Cut bool
}

func (q Query) succeeded() bool { return q.Code == "" && !q.Cut && q.Answered > 0 }

// snapshotTime returns the time at which the client requested the snapshot that
// the query reads: the begin of its transaction, or the query itself.
func (q Query) snapshotTime() time.Duration {
	if q.Transaction != "" {
		return q.Began
	}
	return q.Sent
}

// endsWrite reports whether the success of the query acknowledges a commit.
func (q Query) endsWrite() bool {
	return q.Act == ActCommit || (q.Act == ActWrite && q.Transaction == "")
}

// LogEntry is an entry of a log, with the IDs of the queries that it contains.
type LogEntry struct {
	Position Position
	IDs      []string
}

// Promotion is the promotion of an instance to primary.
type Promotion struct {
	At                time.Duration
	Service, Instance string
	Term              uint64
}

// Version is a configuration that an operator sent. Hosts holds the service of
// each route by host.
type Version struct {
	Number uint64
	Sent   time.Duration
	// AcknowledgedAt is 0 if the configuration was not acknowledged.
	AcknowledgedAt time.Duration
	Hosts          map[string]string
	Body           string
	// Invalid is true if the configuration must not be accepted.
	Invalid bool
}

func (v Version) acknowledged() bool { return v.AcknowledgedAt > 0 }

// Span is a time span of the run.
type Span struct{ From, Until time.Duration }

func (s Span) contains(at time.Duration) bool { return at >= s.From && at < s.Until }

// ClosedFault is a fault that has ended. Service was normal in the span Before,
// and the fault had ended at the time At.
type ClosedFault struct {
	Before Span
	At     time.Duration
}

// Bounds holds the timeouts of the rules. A configuration must have taken effect
// within Apply after its acknowledgement. A leaving instance may receive work
// for Drain. Service must have recovered within Recover after a fault. Slack is
// how long a statement that was not forwarded may have been pending when its
// session ends.
type Bounds struct{ Apply, Drain, Recover, Slack time.Duration }

// History is everything that was recorded of a run.
type History struct {
	Executions []Execution
	Queries    []Query
	Versions   []Version
	// Fetched is the configuration that was fetched at the end of the run.
	Fetched    string
	Promotions []Promotion
	// Logs holds, by service, the log at the end of the run.
	Logs map[string][]LogEntry
	// QuietSpans are the spans without any fault other than planned maintenance.
	QuietSpans   []Span
	ClosedFaults []ClosedFault
	// RepeatedAnswers is the number of answers that instances sent a second time.
	RepeatedAnswers int
	End             time.Duration
	Bounds          Bounds
}

func (h History) queriesByID() map[string]Query {
	queries := map[string]Query{}
	for _, query := range h.Queries {
		queries[query.ID] = query
	}
	return queries
}

// servicesByID returns, by query ID, the service that executed the query.
func (h History) servicesByID() map[string]string {
	services := map[string]string{}
	for _, execution := range h.Executions {
		services[execution.ID] = execution.Service
	}
	return services
}

// committedPositions returns, by query ID, the position of the query in the logs.
func (h History) committedPositions() map[string]Position {
	positions := map[string]Position{}
	for _, log := range h.Logs {
		for _, entry := range log {
			for _, id := range entry.IDs {
				positions[id] = entry.Position
			}
		}
	}
	return positions
}
