package linehistory

import (
	"slices"
	"time"
)

// Acts that are forwarded to an instance.
const (
	ActRead   = "read"
	ActWrite  = "write"
	ActCommit = "commit"
)

// Kinds of routes, by what their reads must see.
const (
	kindBoundedLag = "bounded_lag"
	kindOwnWrites  = "own_writes"
)

// Codes of answers that the rules know.
const (
	codeNoDatabase = "NODB"
	codeNotFound   = "NOTFOUND"
)

// noEffectCodes are those by which a client is promised that its statement,
// or its transaction, has no effect.
var noEffectCodes = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGHOST", "FULL"}

// PromisesNoEffect reports whether an answer's code promises that its statement, or its
// transaction, has no effect, so that a client may repeat it.
func PromisesNoEffect(code string) bool { return slices.Contains(noEffectCodes, code) }

// Position is a position in a service's log.
type Position struct{ Term, Index uint64 }

// Covers reports whether a log that ends at p holds the entry at other.
func (p Position) Covers(other Position) bool {
	return p.Term >= other.Term && p.Index >= other.Index
}

// Execution is one statement that an instance executed.
type Execution struct {
	At                      time.Duration
	Instance, Service, Conn string
	// Transaction counts the connection's transactions; 0 outside of one.
	Transaction   int
	ID, Act, Text string
	// Shape and Rest are those of a prepared statement, which has no Text.
	Shape, Rest string
	// Values are the settings of the session.
	Values map[string]string
	// Stamp marks the answer, unique to the execution.
	Stamp string
	Rows  []string
	// LogEnd is the end of the log that the statement saw, CommittedAt the
	// position of its commit.
	LogEnd, CommittedAt Position
	// LeavingAcknowledged is when the instance's leaving was acknowledged; 0
	// for never.
	LeavingAcknowledged time.Duration
}

// Query is one query as its client saw it.
type Query struct {
	Session, Host, Kind string
	// Staleness is what the route allows its reads.
	Staleness     time.Duration
	ID, Act, Text string
	Shape, Rest   string
	Values        map[string]string
	// Transaction names the transaction, First says that this is its first
	// statement, Began is when its begin was sent.
	Transaction    string
	First          bool
	Began          time.Duration
	Sent, Answered time.Duration
	Code, Stamp    string
	Rows           []string
	// Cut says that the session ended without a complete answer.
	Cut bool
}

func (q Query) succeeded() bool { return q.Code == "" && !q.Cut && q.Answered > 0 }

// snapshotTime is when the query's client asked for the snapshot that the
// query sees.
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

// LogEntry is one entry of a log, with the IDs of the queries that it holds.
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

// Version is one configuration that an operator sent; Hosts gives the service
// of each route.
type Version struct {
	Number uint64
	Sent   time.Duration
	// AcknowledgedAt is 0 for one that was not acknowledged.
	AcknowledgedAt time.Duration
	Hosts          map[string]string
	Body           string
	// Invalid says that it must not be accepted.
	Invalid bool
}

func (v Version) acknowledged() bool { return v.AcknowledgedAt > 0 }

// Span is a part of the run.
type Span struct{ From, Until time.Duration }

func (s Span) contains(at time.Duration) bool { return at >= s.From && at < s.Until }

// ClosedFault is a fault that has ended, with a span before it in which the
// level of service was normal.
type ClosedFault struct {
	Before Span
	At     time.Duration
}

// Bounds are the time-outs of the rules: Apply is that of a configuration's
// effect, Drain that of work at a leaving instance, Recover that of service
// after a fault. Slack is how long a statement that was not forwarded may
// have been pending when its session ends.
type Bounds struct{ Apply, Drain, Recover, Slack time.Duration }

// History is all that was recorded of a run.
type History struct {
	Executions []Execution
	Queries    []Query
	Versions   []Version
	// Fetched is the configuration that was read back at the end.
	Fetched    string
	Promotions []Promotion
	// Logs holds each service's log as it stands at the end.
	Logs map[string][]LogEntry
	// QuietSpans are those without any fault but planned work.
	QuietSpans   []Span
	ClosedFaults []ClosedFault
	End          time.Duration
	Bounds       Bounds
}

func (h History) queriesByID() map[string]Query {
	queries := map[string]Query{}
	for _, query := range h.Queries {
		queries[query.ID] = query
	}
	return queries
}

// servicesByID gives the service at which each query was executed.
func (h History) servicesByID() map[string]string {
	services := map[string]string{}
	for _, execution := range h.Executions {
		services[execution.ID] = execution.Service
	}
	return services
}

// committedPositions gives, by ID, where the logs hold each query.
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
