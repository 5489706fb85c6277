// Package linehistory holds histories of line sessions against what must never
// happen, after the fact. It shares no code with the product.
package linehistory

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Position is a place in a service's log.
type Position struct{ Term, Index uint64 }

// Covers says whether a log that ends at p holds the entry at other.
func (p Position) Covers(other Position) bool {
	return p.Term >= other.Term && p.Index >= other.Index
}

// Acts that are passed on to an instance.
const (
	ActRead   = "read"
	ActWrite  = "write"
	ActCommit = "commit"
)

// Ran is one statement that an instance ran.
type Execution struct {
	At                      time.Duration
	Instance, Service, Conn string
	// Turn counts the connection's transactions; 0 outside.
	Transaction   int
	ID, Act, Text string
	// Shape and Rest are of a prepared one, which has no Text.
	Shape, Rest string
	Values      map[string]string
	Stamp       string
	Rows        []string
	// Log is where the log ended that it ran on, Kept where a commit landed.
	LogEnd, CommittedAt Position
	// Leaving is when the instance's leaving was acknowledged, 0 for never.
	LeavingAcknowledged time.Duration
}

// Asked is one query as its client saw it.
type Query struct {
	Session, Host, Kind string
	Staleness           time.Duration
	ID, Act, Text       string
	Shape, Rest         string
	Values              map[string]string
	// Turn names the transaction, IsFirst its first statement; Began is when
	// its begin was sent.
	Transaction    string
	First          bool
	Began          time.Duration
	Sent, Answered time.Duration
	Code, Stamp    string
	Rows           []string
	// IsCut says that the session ended without a whole answer.
	Cut bool
}

func (a Query) succeeded() bool { return a.Code == "" && !a.Cut && a.Answered > 0 }

func (a Query) snapshotTime() time.Duration {
	if a.Transaction != "" {
		return a.Began
	}
	return a.Sent
}

// Kept is one entry of a log, with the ids of what it holds.
type LogEntry struct {
	Position Position
	IDs      []string
}

// Promotion is a primary made.
type Promotion struct {
	At                time.Duration
	Service, Instance string
	Term              uint64
}

// Version is one configuration that an operator sent; Hosts names the service
// of each route.
type Version struct {
	Number               uint64
	Sent, AcknowledgedAt time.Duration
	Hosts                map[string]string
	Body                 string
	// IsInvalid says that it must not be taken.
	Invalid bool
}

// Span is a part of the run.
type Span struct{ From, Until time.Duration }

// Closing is the end of a closing fault, with a span before it.
type ClosedFault struct {
	Before Span
	At     time.Duration
}

// Bounds are those of the rules; Slack is how long a statement that was not
// passed on may have been out when its session ends.
type Bounds struct{ Apply, Drain, Recover, Slack time.Duration }

// History is all that was seen.
type History struct {
	Executions []Execution
	Queries    []Query
	Versions   []Version
	Fetched    string
	Promotions []Promotion
	// Logs holds each service's log as it stood at the end.
	Logs map[string][]LogEntry
	// Calm holds spans in which there was no trouble but planned work.
	QuietSpans   []Span
	ClosedFaults []ClosedFault
	End          time.Duration
	Bounds       Bounds
}

// Rules gives the checkers by the names of the rules.
func Rules() map[string]func(History) []string {
	return map[string]func(History) []string{
		"UNASKED": Unrequested, "MIXED": MixedAnswers, "PINNED": WrongSession, "TWICE": DuplicateWrites, "REFUSED": RefusedButKept, "STALE": StaleReads,
		"ONE": OldPrimaryCommits, "LOST": LostCommits, "DRAIN": WorkAfterLeaving, "CONFIG": WrongConfiguration, "RECOVER": FailedRecoveries,
	}
}

// All gives the faults of each rule that is broken.
func Violations(h History) map[string][]string {
	found := map[string][]string{}
	for name, check := range Rules() {
		if faults := check(h); len(faults) > 0 {
			found[name] = faults
		}
	}
	return found
}

type violations []string

func (f *violations) add(format string, parts ...any) { *f = append(*f, fmt.Sprintf(format, parts...)) }

func (h History) queriesByID() map[string]Query {
	found := map[string]Query{}
	for _, one := range h.Queries {
		found[one.ID] = one
	}
	return found
}

// Unasked finds statements that no client sent so, and commits of what no
// client asked to commit.
func Unrequested(h History) []string {
	var found violations
	asked := h.queriesByID()
	for _, ran := range h.Executions {
		one, known := asked[ran.ID]
		same := known && ran.Act == one.Act && ran.Text == one.Text && ran.Shape == one.Shape && ran.Rest == one.Rest
		if !same {
			found.add("%s ran %s %q %q %q as %s, of which a client sent %q", ran.Instance, ran.Act, ran.Text, ran.Shape, ran.Rest, ran.ID, one.Text)
		}
	}
	for service, log := range h.Logs {
		for _, entry := range log {
			for _, id := range entry.IDs {
				one := asked[id]
				ended := one.Transaction == "" || slices.ContainsFunc(entry.IDs, func(other string) bool {
					return asked[other].Act == ActCommit && asked[other].Transaction == one.Transaction
				})
				if !ended {
					found.add("%s keeps %s of transaction %s, whose client sent no such commit", service, id, one.Transaction)
				}
			}
		}
	}
	return found
}

// Mixed finds successes without the instance's stamp, or with other rows.
func MixedAnswers(h History) []string {
	var found violations
	ran := map[string]Execution{}
	for _, one := range h.Executions {
		ran[one.ID+" "+one.Stamp] = one
	}
	for _, one := range h.Queries {
		if one.Act == "" || !one.succeeded() {
			continue
		}
		held, executed := ran[one.ID+" "+one.Stamp]
		if !executed || !slices.Equal(held.Rows, one.Rows) {
			found.add("%s was told %q with %q, run with %q", one.ID, one.Stamp, one.Rows, held.Rows)
		}
	}
	return found
}

// Pinned finds statements in the wrong transaction, on the wrong connection,
// or with other values or shapes than their client's.
func WrongSession(h History) []string {
	var found violations
	asked := h.queriesByID()
	places, owners := map[string]string{}, map[string]string{}
	for _, ran := range h.Executions {
		one, known := asked[ran.ID]
		if !known {
			continue
		}
		if (ran.Transaction != 0) != (one.Transaction != "") {
			found.add("%s of transaction %q ran in the connection's transaction %d", ran.ID, one.Transaction, ran.Transaction)
		}
		if one.Transaction != "" && ran.Transaction != 0 {
			place := fmt.Sprint(ran.Instance, " ", ran.Conn, " ", ran.Transaction)
			if held, ok := places[one.Transaction]; ok && held != place {
				found.add("%s of transaction %s ran at %s, its first at %s", ran.ID, one.Transaction, place, held)
			}
			if held, ok := owners[place]; ok && held != one.Transaction {
				found.add("%s of transaction %s ran in that of %s", ran.ID, one.Transaction, held)
			}
			places[one.Transaction], owners[place] = place, one.Transaction
		}
		if !maps.Equal(ran.Values, one.Values) {
			found.add("%s ran under %v, its client has %v", ran.ID, ran.Values, one.Values)
		}
		if ran.Shape != one.Shape {
			found.add("%s ran shape %q, its client prepared %q", ran.ID, ran.Shape, one.Shape)
		}
	}
	for _, one := range h.Queries {
		if one.Shape != "" && one.Code == "NOTFOUND" {
			found.add("%s: its prepared name is unknown", one.ID)
		}
	}
	return found
}

// Twice finds writes that took effect twice.
func DuplicateWrites(h History) []string {
	var found violations
	for service, log := range h.Logs {
		seen := map[string]Position{}
		for _, entry := range log {
			for _, id := range entry.IDs {
				if before, duplicate := seen[id]; duplicate {
					found.add("%s keeps %s at %v and at %v", service, id, before, entry.Position)
				}
				seen[id] = entry.Position
			}
		}
	}
	return found
}

var noEffectCodes = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGHOST", "FULL"}

func (h History) committedPositions() map[string]Position {
	found := map[string]Position{}
	for _, log := range h.Logs {
		for _, entry := range log {
			for _, id := range entry.IDs {
				found[id] = entry.Position
			}
		}
	}
	return found
}

// Refused finds promises that nothing is kept, broken.
func RefusedButKept(h History) []string {
	var found violations
	kept, promised := h.committedPositions(), map[string]string{}
	for _, one := range h.Queries {
		if slices.Contains(noEffectCodes, one.Code) {
			promised[cmp.Or(one.Transaction, one.ID)] = one.Code
		}
	}
	for _, one := range h.Queries {
		code, refused := promised[cmp.Or(one.Transaction, one.ID)]
		if at, committed := kept[one.ID]; refused && committed {
			found.add("%s was promised away by %s, yet is kept at %v", one.ID, code, at)
		}
	}
	return found
}

type acknowledgedCommit struct {
	at       time.Duration
	position Position
	id       string
}

func (h History) acknowledgedCommits(of func(Query) bool) []acknowledgedCommit {
	kept := h.committedPositions()
	var list []acknowledgedCommit
	for _, one := range h.Queries {
		position, committed := kept[one.ID]
		final := one.Act == ActCommit || (one.Act == ActWrite && one.Transaction == "")
		if committed && final && one.succeeded() && of(one) {
			list = append(list, acknowledgedCommit{one.Answered, position, one.ID})
		}
	}
	slices.SortFunc(list, func(a, b acknowledgedCommit) int { return cmp.Compare(a.at, b.at) })
	return list
}

func firstMissing(list []acknowledgedCommit, before time.Duration, log Position) (acknowledgedCommit, bool) {
	for _, one := range list {
		if one.at >= before {
			break
		}
		if !log.Covers(one.position) {
			return one, true
		}
	}
	return acknowledgedCommit{}, false
}

// Stale finds reads on logs that lack what they must see.
func StaleReads(h History) []string {
	var found violations
	asked, services, sessions := h.queriesByID(), map[string][]acknowledgedCommit{}, map[string][]acknowledgedCommit{}
	homes := map[string]string{}
	for _, ran := range h.Executions {
		homes[ran.ID] = ran.Service
	}
	for _, ran := range h.Executions {
		one, known := asked[ran.ID]
		if !known || ran.Act != ActRead || !one.succeeded() || one.Stamp != ran.Stamp {
			continue
		}
		if _, cached := services[ran.Service]; !cached {
			services[ran.Service] = h.acknowledgedCommits(func(other Query) bool { return homes[other.ID] == ran.Service })
		}
		bound := map[string]time.Duration{"primary": 0}
		bound["bounded_lag"], bound["own_writes"] = one.Staleness, one.Staleness
		if lacks, stale := firstMissing(services[ran.Service], one.snapshotTime()-bound[one.Kind], ran.LogEnd); stale {
			found.add("%s (%s) ran at %s on %v, without %s at %v, told %v before", ran.ID, one.Kind, ran.Instance, ran.LogEnd, lacks.id, lacks.position, one.snapshotTime()-lacks.at)
		}
		key := one.Session + " " + ran.Service
		if _, cached := sessions[key]; !cached {
			sessions[key] = h.acknowledgedCommits(func(other Query) bool { return other.Session == one.Session && homes[other.ID] == ran.Service })
		}
		if lacks, stale := firstMissing(sessions[key], one.snapshotTime(), ran.LogEnd); stale && one.Kind == "own_writes" {
			found.add("%s ran at %s on %v, without its session's own %s at %v", ran.ID, ran.Instance, ran.LogEnd, lacks.id, lacks.position)
		}
	}
	return found
}

// One finds writes kept by a primary that was one no more, and told.
func OldPrimaryCommits(h History) []string {
	var found violations
	asked := h.queriesByID()
	for _, ran := range h.Executions {
		if ran.CommittedAt == (Position{}) || !asked[ran.ID].succeeded() {
			continue
		}
		for _, promotion := range h.Promotions {
			superseded := promotion.Service == ran.Service && promotion.Instance != ran.Instance && ran.At > promotion.At && ran.CommittedAt.Term < promotion.Term
			if superseded {
				found.add("%s was kept at %s %v after %s was promoted, and told", ran.ID, ran.Instance, ran.At-promotion.At, promotion.Instance)
			}
		}
	}
	return found
}

// Lost finds commits told kept that the log lacks, and in calm spans sessions
// cut off with a statement out that an instance ran, or long after it was
// sent.
func LostCommits(h History) []string {
	var found violations
	kept := h.committedPositions()
	asked, executed := h.queriesByID(), map[string]bool{}
	for _, ran := range h.Executions {
		one := asked[ran.ID]
		executed[ran.ID] = true
		acknowledged := ran.CommittedAt != (Position{}) && one.succeeded() && one.Stamp == ran.Stamp
		if _, committed := kept[ran.ID]; acknowledged && !committed {
			found.add("%s was told kept by %s at %v, and is not in the log", ran.ID, ran.Instance, ran.CommittedAt)
		}
	}
	for _, one := range h.Queries {
		for _, span := range h.QuietSpans {
			withinSpan := one.Sent >= span.From && one.Sent < span.Until
			if one.Cut && withinSpan && (executed[one.ID] || one.Answered-one.Sent > h.Bounds.Slack) {
				found.add("%s (%q) was cut off %v after it was sent, with no trouble", one.ID, one.Text, one.Answered-one.Sent)
			}
		}
	}
	return found
}

// Drain finds work that came to an instance long after its leaving was
// acknowledged.
func WorkAfterLeaving(h History) []string {
	var found violations
	asked := h.queriesByID()
	for _, ran := range h.Executions {
		one := asked[ran.ID]
		counted := one.Transaction == "" || one.First
		if counted && ran.LeavingAcknowledged != 0 && ran.At > ran.LeavingAcknowledged+h.Bounds.Drain {
			found.add("%s ran at %s %v after its leaving was acknowledged", ran.ID, ran.Instance, ran.At-ran.LeavingAcknowledged)
		}
	}
	return found
}

// Config finds statements handled as only an older configuration allows,
// configurations taken that are invalid, and one read back that is not the
// newest told.
func WrongConfiguration(h History) []string {
	var found violations
	newest := uint64(0)
	bodies := map[uint64][]string{}
	for _, version := range h.Versions {
		if version.Invalid && version.AcknowledgedAt > 0 {
			found.add("version %d is invalid, and was acknowledged", version.Number)
		}
		if !version.Invalid && version.AcknowledgedAt > 0 {
			newest = max(newest, version.Number)
		}
		if !version.Invalid {
			bodies[version.Number] = append(bodies[version.Number], version.Body)
		}
	}
	if h.Fetched != "" {
		matches := false
		for number, texts := range bodies {
			matches = matches || (number >= newest && slices.Contains(texts, h.Fetched))
		}
		if !matches {
			found.add("read back is %q, the newest acknowledged is %d", h.Fetched, newest)
		}
	}
	homes := map[string]string{}
	for _, ran := range h.Executions {
		homes[ran.ID] = ran.Service
	}
	for _, one := range h.Queries {
		least := uint64(0)
		for _, version := range h.Versions {
			if !version.Invalid && version.AcknowledgedAt > 0 && version.AcknowledgedAt+h.Bounds.Apply < one.Sent {
				least = max(least, version.Number)
			}
		}
		routed, missing, servesHome, count := false, false, false, 0
		for _, version := range h.Versions {
			if version.Invalid || version.Number < least || version.Sent > one.Answered {
				continue
			}
			service, ok := version.Hosts[one.Host]
			count++
			routed, missing, servesHome = routed || ok, missing || !ok, servesHome || (ok && service == homes[one.ID])
		}
		home, executed := homes[one.ID]
		if executed && one.Transaction == "" && !servesHome {
			found.add("%s of %s ran at %s, which no version from %d on allows", one.ID, one.Host, home, least)
		}
		if one.Code == "NODB" && count > 0 && !missing {
			found.add("%s of %s was refused, though every version from %d on has its route", one.ID, one.Host, least)
		}
	}
	return found
}

// Recover finds closing faults after which too little is served.
func FailedRecoveries(h History) []string {
	var found violations
	count := func(from, until time.Duration) float64 {
		total := 0
		for _, one := range h.Queries {
			if one.succeeded() && one.Act != "" && one.Sent >= from && one.Sent < until {
				total++
			}
		}
		return float64(total) / max((until-from).Seconds(), 0.001)
	}
	for _, closing := range h.ClosedFaults {
		from := closing.At + h.Bounds.Recover
		if before, after := count(closing.Before.From, closing.Before.Until), count(from, h.End); h.End > from && after < before/4 {
			found.add("%.1f a second were served before, %.1f from %v after the machines' return", before, after, h.Bounds.Recover)
		}
	}
	return found
}
