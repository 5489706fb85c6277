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
type Position struct{ Term, Number uint64 }

// Covers says whether a log that ends at p holds the entry at other.
func (p Position) Covers(other Position) bool {
	return p.Term >= other.Term && p.Number >= other.Number
}

// Acts that are passed on to an instance.
const (
	ActRead   = "read"
	ActWrite  = "write"
	ActCommit = "commit"
)

// Ran is one statement that an instance ran.
type Ran struct {
	At                      time.Duration
	Instance, Service, Conn string
	// Turn counts the connection's transactions; 0 outside.
	Turn          int
	ID, Act, Text string
	// Shape and Rest are of a prepared one, which has no Text.
	Shape, Rest string
	Values      map[string]string
	Stamp       string
	Rows        []string
	// Log is where the log ended that it ran on, Kept where a commit landed.
	Log, Kept Position
	// Leaving is when the instance's leaving was acknowledged, 0 for never.
	Leaving time.Duration
}

// Asked is one query as its client saw it.
type Asked struct {
	Session, Host, Kind string
	Staleness           time.Duration
	ID, Act, Text       string
	Shape, Rest         string
	Values              map[string]string
	// Turn names the transaction, IsFirst its first statement; Began is when
	// its begin was sent.
	Turn        string
	IsFirst     bool
	Began       time.Duration
	Sent, Got   time.Duration
	Code, Stamp string
	Rows        []string
	// IsCut says that the session ended without a whole answer.
	IsCut bool
}

func (a Asked) isGood() bool { return a.Code == "" && !a.IsCut && a.Got > 0 }

func (a Asked) since() time.Duration {
	if a.Turn != "" {
		return a.Began
	}
	return a.Sent
}

// Kept is one entry of a log, with the ids of what it holds.
type Kept struct {
	At  Position
	IDs []string
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
	Number      uint64
	Sent, Acked time.Duration
	Hosts       map[string]string
	Body        string
	// IsInvalid says that it must not be taken.
	IsInvalid bool
}

// Span is a part of the run.
type Span struct{ From, Until time.Duration }

// Closing is the end of a closing fault, with a span before it.
type Closing struct {
	Before Span
	At     time.Duration
}

// Bounds are those of the rules; Slack is how long a statement that was not
// passed on may have been out when its session ends.
type Bounds struct{ Apply, Drain, Recover, Slack time.Duration }

// History is all that was seen.
type History struct {
	Ran        []Ran
	Asked      []Asked
	Versions   []Version
	Fetched    string
	Promotions []Promotion
	// Logs holds each service's log as it stood at the end.
	Logs map[string][]Kept
	// Calm holds spans in which there was no trouble but planned work.
	Calm     []Span
	Closings []Closing
	End      time.Duration
	Bounds   Bounds
}

// Rules gives the checkers by the names of the rules.
func Rules() map[string]func(History) []string {
	return map[string]func(History) []string{
		"UNASKED": Unasked, "MIXED": Mixed, "PINNED": Pinned, "TWICE": Twice, "REFUSED": Refused, "STALE": Stale,
		"ONE": One, "LOST": Lost, "DRAIN": Drain, "CONFIG": Config, "RECOVER": Recover,
	}
}

// All gives the faults of each rule that is broken.
func All(h History) map[string][]string {
	found := map[string][]string{}
	for name, check := range Rules() {
		if faults := check(h); len(faults) > 0 {
			found[name] = faults
		}
	}
	return found
}

type faults []string

func (f *faults) miss(format string, parts ...any) { *f = append(*f, fmt.Sprintf(format, parts...)) }

func (h History) asked() map[string]Asked {
	found := map[string]Asked{}
	for _, one := range h.Asked {
		found[one.ID] = one
	}
	return found
}

// Unasked finds statements that no client sent so, and commits of what no
// client asked to commit.
func Unasked(h History) []string {
	var found faults
	asked := h.asked()
	for _, ran := range h.Ran {
		one, isAsked := asked[ran.ID]
		isSame := isAsked && ran.Act == one.Act && ran.Text == one.Text && ran.Shape == one.Shape && ran.Rest == one.Rest
		if !isSame {
			found.miss("%s ran %s %q %q %q as %s, of which a client sent %q", ran.Instance, ran.Act, ran.Text, ran.Shape, ran.Rest, ran.ID, one.Text)
		}
	}
	for service, log := range h.Logs {
		for _, entry := range log {
			for _, id := range entry.IDs {
				one := asked[id]
				isEnded := one.Turn == "" || slices.ContainsFunc(entry.IDs, func(other string) bool {
					return asked[other].Act == ActCommit && asked[other].Turn == one.Turn
				})
				if !isEnded {
					found.miss("%s keeps %s of transaction %s, whose client sent no such commit", service, id, one.Turn)
				}
			}
		}
	}
	return found
}

// Mixed finds successes without the instance's stamp, or with other rows.
func Mixed(h History) []string {
	var found faults
	ran := map[string]Ran{}
	for _, one := range h.Ran {
		ran[one.ID+" "+one.Stamp] = one
	}
	for _, one := range h.Asked {
		if one.Act == "" || !one.isGood() {
			continue
		}
		held, isRun := ran[one.ID+" "+one.Stamp]
		if !isRun || !slices.Equal(held.Rows, one.Rows) {
			found.miss("%s was told %q with %q, run with %q", one.ID, one.Stamp, one.Rows, held.Rows)
		}
	}
	return found
}

// Pinned finds statements in the wrong transaction, on the wrong connection,
// or with other values or shapes than their client's.
func Pinned(h History) []string {
	var found faults
	asked := h.asked()
	places, owners := map[string]string{}, map[string]string{}
	for _, ran := range h.Ran {
		one, isAsked := asked[ran.ID]
		if !isAsked {
			continue
		}
		if (ran.Turn != 0) != (one.Turn != "") {
			found.miss("%s of transaction %q ran in the connection's transaction %d", ran.ID, one.Turn, ran.Turn)
		}
		if one.Turn != "" && ran.Turn != 0 {
			place := fmt.Sprint(ran.Instance, " ", ran.Conn, " ", ran.Turn)
			if held, isHeld := places[one.Turn]; isHeld && held != place {
				found.miss("%s of transaction %s ran at %s, its first at %s", ran.ID, one.Turn, place, held)
			}
			if held, isHeld := owners[place]; isHeld && held != one.Turn {
				found.miss("%s of transaction %s ran in that of %s", ran.ID, one.Turn, held)
			}
			places[one.Turn], owners[place] = place, one.Turn
		}
		if !maps.Equal(ran.Values, one.Values) {
			found.miss("%s ran under %v, its client has %v", ran.ID, ran.Values, one.Values)
		}
		if ran.Shape != one.Shape {
			found.miss("%s ran shape %q, its client prepared %q", ran.ID, ran.Shape, one.Shape)
		}
	}
	for _, one := range h.Asked {
		if one.Shape != "" && one.Code == "NOTFOUND" {
			found.miss("%s: its prepared name is unknown", one.ID)
		}
	}
	return found
}

// Twice finds writes that took effect twice.
func Twice(h History) []string {
	var found faults
	for service, log := range h.Logs {
		seen := map[string]Position{}
		for _, entry := range log {
			for _, id := range entry.IDs {
				if before, isSeen := seen[id]; isSeen {
					found.miss("%s keeps %s at %v and at %v", service, id, before, entry.At)
				}
				seen[id] = entry.At
			}
		}
	}
	return found
}

var promises = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGHOST", "FULL"}

func (h History) kept() map[string]Position {
	found := map[string]Position{}
	for _, log := range h.Logs {
		for _, entry := range log {
			for _, id := range entry.IDs {
				found[id] = entry.At
			}
		}
	}
	return found
}

// Refused finds promises that nothing is kept, broken.
func Refused(h History) []string {
	var found faults
	kept, promised := h.kept(), map[string]string{}
	for _, one := range h.Asked {
		if slices.Contains(promises, one.Code) {
			promised[cmp.Or(one.Turn, one.ID)] = one.Code
		}
	}
	for _, one := range h.Asked {
		code, isPromised := promised[cmp.Or(one.Turn, one.ID)]
		if at, isKept := kept[one.ID]; isPromised && isKept {
			found.miss("%s was promised away by %s, yet is kept at %v", one.ID, code, at)
		}
	}
	return found
}

type told struct {
	at       time.Duration
	position Position
	id       string
}

func (h History) told(of func(Asked) bool) []told {
	kept := h.kept()
	var list []told
	for _, one := range h.Asked {
		position, isKept := kept[one.ID]
		isLast := one.Act == ActCommit || (one.Act == ActWrite && one.Turn == "")
		if isKept && isLast && one.isGood() && of(one) {
			list = append(list, told{one.Got, position, one.ID})
		}
	}
	slices.SortFunc(list, func(a, b told) int { return cmp.Compare(a.at, b.at) })
	return list
}

func missing(list []told, before time.Duration, log Position) (told, bool) {
	for _, one := range list {
		if one.at >= before {
			break
		}
		if !log.Covers(one.position) {
			return one, true
		}
	}
	return told{}, false
}

// Stale finds reads on logs that lack what they must see.
func Stale(h History) []string {
	var found faults
	asked, services, sessions := h.asked(), map[string][]told{}, map[string][]told{}
	homes := map[string]string{}
	for _, ran := range h.Ran {
		homes[ran.ID] = ran.Service
	}
	for _, ran := range h.Ran {
		one, isAsked := asked[ran.ID]
		if !isAsked || ran.Act != ActRead || !one.isGood() || one.Stamp != ran.Stamp {
			continue
		}
		if _, isMade := services[ran.Service]; !isMade {
			services[ran.Service] = h.told(func(other Asked) bool { return homes[other.ID] == ran.Service })
		}
		bound := map[string]time.Duration{"primary": 0}
		bound["bounded_lag"], bound["own_writes"] = one.Staleness, one.Staleness
		if lacks, isStale := missing(services[ran.Service], one.since()-bound[one.Kind], ran.Log); isStale {
			found.miss("%s (%s) ran at %s on %v, without %s at %v, told %v before", ran.ID, one.Kind, ran.Instance, ran.Log, lacks.id, lacks.position, one.since()-lacks.at)
		}
		key := one.Session + " " + ran.Service
		if _, isMade := sessions[key]; !isMade {
			sessions[key] = h.told(func(other Asked) bool { return other.Session == one.Session && homes[other.ID] == ran.Service })
		}
		if lacks, isStale := missing(sessions[key], one.since(), ran.Log); isStale && one.Kind == "own_writes" {
			found.miss("%s ran at %s on %v, without its session's own %s at %v", ran.ID, ran.Instance, ran.Log, lacks.id, lacks.position)
		}
	}
	return found
}

// One finds writes kept by a primary that was one no more, and told.
func One(h History) []string {
	var found faults
	asked := h.asked()
	for _, ran := range h.Ran {
		if ran.Kept == (Position{}) || !asked[ran.ID].isGood() {
			continue
		}
		for _, promotion := range h.Promotions {
			isAfter := promotion.Service == ran.Service && promotion.Instance != ran.Instance && ran.At > promotion.At && ran.Kept.Term < promotion.Term
			if isAfter {
				found.miss("%s was kept at %s %v after %s was promoted, and told", ran.ID, ran.Instance, ran.At-promotion.At, promotion.Instance)
			}
		}
	}
	return found
}

// Lost finds commits told kept that the log lacks, and in calm spans sessions
// cut off with a statement out that an instance ran, or long after it was
// sent.
func Lost(h History) []string {
	var found faults
	kept := h.kept()
	asked, isRun := h.asked(), map[string]bool{}
	for _, ran := range h.Ran {
		one := asked[ran.ID]
		isRun[ran.ID] = true
		isTold := ran.Kept != (Position{}) && one.isGood() && one.Stamp == ran.Stamp
		if _, isKept := kept[ran.ID]; isTold && !isKept {
			found.miss("%s was told kept by %s at %v, and is not in the log", ran.ID, ran.Instance, ran.Kept)
		}
	}
	for _, one := range h.Asked {
		for _, span := range h.Calm {
			isWithin := one.Sent >= span.From && one.Sent < span.Until
			if one.IsCut && isWithin && (isRun[one.ID] || one.Got-one.Sent > h.Bounds.Slack) {
				found.miss("%s (%q) was cut off %v after it was sent, with no trouble", one.ID, one.Text, one.Got-one.Sent)
			}
		}
	}
	return found
}

// Drain finds work that came to an instance long after its leaving was
// acknowledged.
func Drain(h History) []string {
	var found faults
	asked := h.asked()
	for _, ran := range h.Ran {
		one := asked[ran.ID]
		isCounted := one.Turn == "" || one.IsFirst
		if isCounted && ran.Leaving != 0 && ran.At > ran.Leaving+h.Bounds.Drain {
			found.miss("%s ran at %s %v after its leaving was acknowledged", ran.ID, ran.Instance, ran.At-ran.Leaving)
		}
	}
	return found
}

// Config finds statements handled as only an older configuration allows,
// configurations taken that are invalid, and one read back that is not the
// newest told.
func Config(h History) []string {
	var found faults
	newest := uint64(0)
	bodies := map[uint64][]string{}
	for _, version := range h.Versions {
		if version.IsInvalid && version.Acked > 0 {
			found.miss("version %d is invalid, and was acknowledged", version.Number)
		}
		if !version.IsInvalid && version.Acked > 0 {
			newest = max(newest, version.Number)
		}
		if !version.IsInvalid {
			bodies[version.Number] = append(bodies[version.Number], version.Body)
		}
	}
	if h.Fetched != "" {
		isOne := false
		for number, texts := range bodies {
			isOne = isOne || (number >= newest && slices.Contains(texts, h.Fetched))
		}
		if !isOne {
			found.miss("read back is %q, the newest acknowledged is %d", h.Fetched, newest)
		}
	}
	homes := map[string]string{}
	for _, ran := range h.Ran {
		homes[ran.ID] = ran.Service
	}
	for _, one := range h.Asked {
		least := uint64(0)
		for _, version := range h.Versions {
			if !version.IsInvalid && version.Acked > 0 && version.Acked+h.Bounds.Apply < one.Sent {
				least = max(least, version.Number)
			}
		}
		isRouted, isMissing, isHome, count := false, false, false, 0
		for _, version := range h.Versions {
			if version.IsInvalid || version.Number < least || version.Sent > one.Got {
				continue
			}
			service, isHeld := version.Hosts[one.Host]
			count++
			isRouted, isMissing, isHome = isRouted || isHeld, isMissing || !isHeld, isHome || (isHeld && service == homes[one.ID])
		}
		home, isRun := homes[one.ID]
		if isRun && one.Turn == "" && !isHome {
			found.miss("%s of %s ran at %s, which no version from %d on allows", one.ID, one.Host, home, least)
		}
		if one.Code == "NODB" && count > 0 && !isMissing {
			found.miss("%s of %s was refused, though every version from %d on has its route", one.ID, one.Host, least)
		}
	}
	return found
}

// Recover finds closing faults after which too little is served.
func Recover(h History) []string {
	var found faults
	count := func(from, until time.Duration) float64 {
		total := 0
		for _, one := range h.Asked {
			if one.isGood() && one.Act != "" && one.Sent >= from && one.Sent < until {
				total++
			}
		}
		return float64(total) / max((until-from).Seconds(), 0.001)
	}
	for _, closing := range h.Closings {
		from := closing.At + h.Bounds.Recover
		if before, after := count(closing.Before.From, closing.Before.Until), count(from, h.End); h.End > from && after < before/4 {
			found.miss("%.1f a second were served before, %.1f from %v after the machines' return", before, after, h.Bounds.Recover)
		}
	}
	return found
}
