package linehistory

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const ms = time.Millisecond

// validHistory returns a history that violates no rule.
func validHistory() History {
	values := map[string]string{"app": "1"}
	at := func(number uint64) Position { return Position{1, number} }
	return History{
		Queries: []Query{
			{Session: "s1", Host: "h", Kind: "primary", ID: "w1", Act: ActWrite, Text: "PUT a 1", Sent: 10 * ms, Answered: 20 * ms, Stamp: "x1"},
			{Session: "s1", Host: "h", Kind: "primary", ID: "r1", Act: ActRead, Text: "FETCH a", Sent: 30 * ms, Answered: 40 * ms, Stamp: "x2", Rows: []string{"1"}, Values: values},
			{Session: "s2", Host: "h", Kind: "bounded_lag", Staleness: 1500 * ms, ID: "r2", Act: ActRead, Shape: "FETCH q", Rest: " a", Sent: 30 * ms, Answered: 40 * ms, Stamp: "x3", Rows: []string{"0"}},
			{Session: "s3", Host: "h", Kind: "own_writes", Staleness: 1500 * ms, ID: "t1", Act: ActWrite, Text: "PUT b 2", Transaction: "s3.1", First: true, Began: 45 * ms, Sent: 50 * ms, Answered: 55 * ms, Stamp: "x4"},
			{Session: "s3", Host: "h", Kind: "own_writes", Staleness: 1500 * ms, ID: "t2", Act: ActCommit, Text: "COMMIT", Transaction: "s3.1", Began: 45 * ms, Sent: 60 * ms, Answered: 70 * ms, Stamp: "x5"},
			{Session: "s3", Host: "h", Kind: "own_writes", Staleness: 1500 * ms, ID: "r3", Act: ActRead, Text: "FETCH b", Sent: 80 * ms, Answered: 90 * ms, Stamp: "x6", Rows: []string{"2"}},
			{Session: "s4", Host: "h", Kind: "primary", ID: "w2", Act: ActWrite, Text: "PUT c 3", Sent: 100 * ms, Answered: 110 * ms, Code: "BUSY"},
			{Session: "s5", Host: "gone", Kind: "primary", ID: "w3", Act: ActWrite, Text: "PUT c 3", Sent: 9000 * ms, Answered: 9010 * ms, Code: "NODB"},
		},
		Executions: []Execution{
			{At: 12 * ms, Instance: "i1", Service: "s", Conn: "c1", ID: "w1", Act: ActWrite, Text: "PUT a 1", Stamp: "x1", LogEnd: at(1), CommittedAt: at(1)},
			{At: 32 * ms, Instance: "i1", Service: "s", Conn: "c1", ID: "r1", Act: ActRead, Text: "FETCH a", Stamp: "x2", Rows: []string{"1"}, Values: values, LogEnd: at(1)},
			{At: 32 * ms, Instance: "i2", Service: "s", Conn: "c2", ID: "r2", Act: ActRead, Shape: "FETCH q", Rest: " a", Stamp: "x3", Rows: []string{"0"}},
			{At: 52 * ms, Instance: "i1", Service: "s", Conn: "c3", Transaction: 1, ID: "t1", Act: ActWrite, Text: "PUT b 2", Stamp: "x4", LogEnd: at(1)},
			{At: 62 * ms, Instance: "i1", Service: "s", Conn: "c3", Transaction: 1, ID: "t2", Act: ActCommit, Text: "COMMIT", Stamp: "x5", LogEnd: at(2), CommittedAt: at(2)},
			{At: 82 * ms, Instance: "i2", Service: "s", Conn: "c2", ID: "r3", Act: ActRead, Text: "FETCH b", Stamp: "x6", Rows: []string{"2"}, LogEnd: at(2)},
		},
		Logs: map[string][]LogEntry{"s": {{at(1), []string{"w1"}}, {at(2), []string{"t1", "t2"}}}},
		Versions: []Version{
			{Number: 3, Sent: 1 * ms, AcknowledgedAt: 2 * ms, Hosts: map[string]string{"h": "s", "gone": "s"}, Body: "three"},
			{Number: 7, Sent: 1000 * ms, AcknowledgedAt: 1010 * ms, Hosts: map[string]string{"h": "s"}, Body: "seven"},
			{Number: 9, Sent: 1000 * ms, Invalid: true, Body: "nine"},
		},
		Fetched:      "seven",
		QuietSpans:   []Span{{0, time.Hour}},
		ClosedFaults: []ClosedFault{{Before: Span{0, 50 * ms}, At: 50 * ms}},
		End:          100 * ms,
		Bounds:       Bounds{Apply: 3000 * ms, Drain: 7000 * ms, Recover: 25 * ms, Slack: 200 * ms},
	}
}

// plantedViolations are changes to a valid history, each of which violates one rule.
var plantedViolations = []struct {
	rule, description string
	plant             func(*History)
}{
	{"UNASKED", "a statement with an ID that no client sent", func(h *History) { h.Executions[0].ID = "other" }},
	{"UNASKED", "a text with one byte changed", func(h *History) { h.Executions[0].Text = "PUT a  1" }},
	{"UNASKED", "the data of a prepared statement changed", func(h *History) { h.Executions[2].Rest = " b" }},
	{"UNASKED", "a client's read executed as a statement of the fleet itself", func(h *History) { h.Executions[1].ID = "-" }},
	{"UNASKED", "a commit that the client did not request", func(h *History) { h.Logs["s"][1].IDs = []string{"t1"} }},
	{"MIXED", "a successful answer without a stamp", func(h *History) { h.Queries[0].Stamp = "-" }},
	{"MIXED", "the stamp of another query", func(h *History) { h.Queries[0].Stamp = "x2" }},
	{"MIXED", "the rows of another query", func(h *History) { h.Queries[1].Rows = []string{"0"} }},
	{"MIXED", "rows missing from an answer", func(h *History) { h.Queries[1].Rows = nil }},
	{"PINNED", "a statement outside its transaction", func(h *History) { h.Executions[3].Transaction = 0 }},
	{"PINNED", "a statement without a transaction executed inside one", func(h *History) { h.Executions[1].Transaction = 4 }},
	{"PINNED", "a transaction on two connections", func(h *History) { h.Executions[4].Conn = "c9" }},
	{"PINNED", "two clients' transactions in one transaction of a connection", func(h *History) {
		other := h.Queries[3]
		other.ID, other.Transaction = "t9", "s9.1"
		execution := h.Executions[3]
		execution.ID = "t9"
		h.Queries, h.Executions = append(h.Queries, other), append(h.Executions, execution)
	}},
	{"PINNED", "the client's settings missing", func(h *History) { h.Executions[1].Values = nil }},
	{"PINNED", "settings of another session", func(h *History) { h.Executions[0].Values = map[string]string{"app": "9"} }},
	{"PINNED", "another prepared shape", func(h *History) { h.Executions[2].Shape = "PUT q" }},
	{"PINNED", "a prepared statement that was not found", func(h *History) { h.Queries[2].Code = "NOTFOUND" }},
	{"TWICE", "a write committed twice", func(h *History) {
		h.Logs["s"] = append(h.Logs["s"], LogEntry{Position{1, 3}, []string{"w1"}})
	}},
	{"REFUSED", "a write committed although it was refused", func(h *History) {
		h.Logs["s"] = append(h.Logs["s"], LogEntry{Position{1, 3}, []string{"w2"}})
	}},
	{"REFUSED", "a transaction committed although its commit was refused", func(h *History) { h.Queries[4].Code = "ABORTED" }},
	{"REFUSED", "a transaction committed although its first statement was refused", func(h *History) { h.Queries[3].Code = "LAGGING" }},
	{"STALE", "a read on a primary route that misses an acknowledged commit", func(h *History) { h.Executions[1].LogEnd = Position{} }},
	{"STALE", "a read beyond its staleness bound", func(h *History) { h.Queries[2].Staleness = 5 * ms }},
	{"STALE", "a read that misses a commit of its own session", func(h *History) { h.Executions[5].LogEnd = Position{1, 1} }},
	{"STALE", "a read on a log of an older term", func(h *History) { h.Logs["s"][0].Position.Term, h.Executions[0].LogEnd.Term = 2, 2 }},
	{"STALE", "a transaction that misses a commit acknowledged before it began", func(h *History) {
		h.Executions[1].Transaction, h.Queries[1].Transaction, h.Queries[1].Began, h.Executions[1].LogEnd = 1, "s1.1", 25*ms, Position{}
	}},
	{"ONE", "a commit acknowledged by a primary after another instance was promoted", func(h *History) {
		h.Promotions = append(h.Promotions, Promotion{At: 40 * ms, Service: "s", Instance: "i2", Term: 2})
	}},
	{"LOST", "an acknowledged commit missing from the log", func(h *History) { h.Logs["s"] = h.Logs["s"][:1] }},
	{"LOST", "a session cut off in a quiet span, long after its statement was sent", func(h *History) { h.Queries[6].Cut, h.Queries[6].Answered = true, 301*ms }},
	{"LOST", "a session cut off in a quiet span after its statement was executed", func(h *History) { h.Queries[1].Cut = true }},
	{"DRAIN", "a statement long after the instance announced that it is leaving", func(h *History) { h.Executions[0].LeavingAcknowledged, h.Executions[0].At = 1*ms, 7002*ms }},
	{"DRAIN", "a transaction's first statement long after the instance announced that it is leaving", func(h *History) { h.Executions[3].LeavingAcknowledged, h.Executions[3].At = 1*ms, 7002*ms }},
	{"CONFIG", "an invalid version acknowledged", func(h *History) { h.Versions[2].AcknowledgedAt = 1100 * ms }},
	{"CONFIG", "an older version fetched at the end", func(h *History) { h.Fetched = "three" }},
	{"CONFIG", "a changed configuration fetched at the end", func(h *History) { h.Fetched = "sevenn" }},
	{"CONFIG", "a statement executed although its route was removed", func(h *History) {
		h.Executions = append(h.Executions, Execution{ID: "w3", Service: "s", Act: ActWrite, Text: "PUT c 3", At: 9001 * ms})
	}},
	{"CONFIG", "a statement executed by another service", func(h *History) { h.Executions[0].Service = "z" }},
	{"CONFIG", "a statement refused although its route exists", func(h *History) { h.Queries[7].Host = "h" }},
	{"RECOVER", "no query served after a fault has ended", func(h *History) { h.Queries[5].Code = "FAILED" }},
}

func TestEachRule(t *testing.T) {
	Convey("A valid history violates no rule", t, func() {
		So(Violations(validHistory()), ShouldBeEmpty)
	})
	Convey("Each rule detects the violations planted for it", t, func() {
		checkedRules := map[string]bool{}
		for _, planted := range plantedViolations {
			history := validHistory()
			planted.plant(&history)
			checkedRules[planted.rule] = true
			SoMsg(planted.rule+": "+planted.description, Rules()[planted.rule](history), ShouldNotBeEmpty)
		}
		So(slices.Sorted(maps.Keys(checkedRules)), ShouldResemble, slices.Sorted(maps.Keys(Rules())))
	})
	Convey("Events that the rules exempt are not reported as violations", t, func() {
		history := validHistory()
		history.QuietSpans = nil
		history.Queries[1].Cut = true
		So(LostCommits(history), ShouldBeEmpty)
		history = validHistory()
		history.Queries[6].Cut = true
		So(LostCommits(history), ShouldBeEmpty)
		history = validHistory()
		history.Executions[4].LeavingAcknowledged, history.Executions[4].At = 1*ms, 8000*ms
		So(WorkAfterLeaving(history), ShouldBeEmpty)
		history = validHistory()
		history.Queries[7].Sent, history.Queries[7].Answered, history.Queries[7].Host = 1500*ms, 1600*ms, "gone"
		So(WrongConfiguration(history), ShouldBeEmpty)
		history = validHistory()
		history.Logs["s"], history.Executions[1].LogEnd = history.Logs["s"][1:], Position{}
		So(StaleReads(history), ShouldBeEmpty)
	})
}
