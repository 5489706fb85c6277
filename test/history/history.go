// Package history holds histories against what must never happen. It shares no
// code with the product.
package history

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"tansyseam/test/standin"
)

// Put is a set that the fleet said it took, and when.
type AcceptedSet struct {
	Sequence       uint64
	AcknowledgedAt int64
	// Due is when a booked set was to take effect; 0 for one put at once.
	EffectiveAt int64
}

// Evidence is all that a run left behind.
type Evidence struct {
	Events []standin.Event
	// Logs holds, by database and instance, the log as it stands at the end.
	Logs map[string]map[string][]standin.Entry
	// Writer names, by database, the primary at the end.
	Writers      map[string]string
	Executions   []standin.Ran
	AcceptedSets []AcceptedSet
	// Restarts are planned: door, from and until.
	Restarts []Restart
	// Faults that closed, with the level of service before.
	ClosedFaults []ClosedFault
	// Sent are the sets that operators sent, Told what they were told, Seen
	// what nodes served under; End is when the run was over.
	SubmittedSets []SubmittedSet
	SetAnswers    []SetAnswer
	ServedSets    []ServedSet
	End           int64
	// Calm are spans in which no fault was there.
	QuietSpans []Span
}

// Span is a part of a run.
type Span struct{ From, Until int64 }

// Sent is a set that an operator sent. A repeat has the same id.
type SubmittedSet struct {
	ID          string
	Content     string
	Scheduled   bool
	EffectiveAt int64
	At          int64
}

// Told is what an operator was told: taken as a sequence (a booked one has
// none yet), or refused.
type SetAnswer struct {
	ID       string
	At       int64
	Sequence uint64
	Refused  bool
}

// Seen is a set that a node served under.
type ServedSet struct {
	Node     string
	Sequence uint64
	Content  string
	At       int64
}

// Restart is a planned restart of a front.
type Restart struct {
	Address     string
	From, Until int64
}

// Closing is the end of a fault.
type ClosedFault struct {
	Name string
	// Before is the span in which service was measured before the fault.
	BeforeFrom, BeforeUntil int64
	// At is when the machines were back.
	At int64
}

func readJSONLines[T any](path string) []T {
	file, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }()
	var list []T
	scan := bufio.NewScanner(file)
	scan.Buffer(nil, 1<<22)
	for scan.Scan() {
		var one T
		if json.Unmarshal(scan.Bytes(), &one) == nil {
			list = append(list, one)
		}
	}
	return list
}

// Load reads what the instances of a run left in their folders.
func Load(folder string, instances map[string]string, events []standin.Event) Evidence {
	evidence := Evidence{Events: events, Logs: map[string]map[string][]standin.Entry{}, Writers: map[string]string{}}
	for instance, database := range instances {
		if evidence.Logs[database] == nil {
			evidence.Logs[database] = map[string][]standin.Entry{}
		}
		evidence.Logs[database][instance] = readJSONLines[standin.Entry](filepath.Join(folder, instance, "log.jsonl"))
		evidence.Executions = append(evidence.Executions, readJSONLines[standin.Ran](filepath.Join(folder, instance, "ran.jsonl"))...)
	}
	for database, logs := range evidence.Logs {
		for instance, entries := range logs {
			best := logs[evidence.Writers[database]]
			if evidence.Writers[database] == "" || isAfter(lastPosition(entries), lastPosition(best)) {
				evidence.Writers[database] = instance
			}
		}
	}
	return evidence
}

func lastPosition(entries []standin.Entry) standin.Position {
	if len(entries) == 0 {
		return standin.Position{}
	}
	end := entries[len(entries)-1]
	return standin.Position{Term: end.Term, Index: end.Index}
}

func isAfter(a, b standin.Position) bool {
	return a.Term > b.Term || (a.Term == b.Term && a.Index > b.Index)
}

// Rule is one thing that must never happen.
type Rule struct {
	Name  string
	Check func(Evidence) []string
}

// Rules lists all of them.
func Rules() []Rule {
	return []Rule{
		{"effect once per go", DuplicateEffects},
		{"told not kept, yet kept", RefusedButKept},
		{"confirmed commit lost", LostCommits},
		{"read misses a confirmed commit", StaleReads},
		{"statement in another's transaction or settings", MixedSessions},
		{"statement that no caller sent, or with its text changed", UnsentStatements},
		{"old primary confirms after a promotion", OldPrimaryCommits},
		{"binding change ignored or undone", IgnoredChanges},
		{"broken set taken, or a taken one lost", InconsistentSets},
		{"work reaches a leaving instance", WorkAfterLeaving},
		{"planned restart cuts a request off", CutRequests},
		{"service stays down after a closing fault", FailedRecoveries},
		{"a calm fleet refuses, or does not know", QuietRefusals},
	}
}

// All gives every violation, by rule.
func Violations(evidence Evidence) map[string][]string {
	found := map[string][]string{}
	for _, rule := range Rules() {
		if faults := rule.Check(evidence); len(faults) > 0 {
			found[rule.Name] = faults
		}
	}
	return found
}

func (e Evidence) finalLog(database string) []standin.Entry {
	return e.Logs[database][e.Writers[database]]
}

func (e Evidence) effectPositions(database string) map[string][]standin.Position {
	places := map[string][]standin.Position{}
	for _, entry := range e.finalLog(database) {
		for _, id := range entry.Gos {
			places[id] = append(places[id], standin.Position{Term: entry.Term, Index: entry.Index})
		}
	}
	return places
}

// Once finds goes that took effect more than once.
func DuplicateEffects(e Evidence) []string {
	var faults []string
	for database := range e.Logs {
		for id, places := range e.effectPositions(database) {
			if id != "" && len(places) > 1 {
				faults = append(faults, fmt.Sprintf("%s: %s at %v", database, id, places))
			}
		}
	}
	return faults
}

func isCommitKind(event standin.Event) bool { return event.Kind == "write" || event.Kind == "commit" }

// ToldNot finds goes whose caller was told last that nothing was kept, or
// whose transaction was never committed, that took effect all the same.
func RefusedButKept(e Evidence) []string {
	var faults []string
	for database := range e.Logs {
		effects := e.effectPositions(database)
		for _, event := range e.Events {
			sameDatabase := event.Database == database
			refused := (isCommitKind(event) && event.Outcome == "not_kept") || event.Kind == "rollback"
			if !sameDatabase || !refused {
				continue
			}
			for _, id := range append([]string{event.Go}, event.Gos...) {
				if places := effects[id]; id != "" && len(places) > 0 {
					faults = append(faults, fmt.Sprintf("%s: %s told %s (%s), kept at %v", database, id, event.Outcome, event.Error, places))
				}
			}
		}
	}
	return faults
}

// Lost finds goes told kept that the final log does not hold, or not where
// it was said.
func LostCommits(e Evidence) []string {
	var faults []string
	for database := range e.Logs {
		effects := e.effectPositions(database)
		for _, event := range e.Events {
			if event.Database != database || !isCommitKind(event) || event.Outcome != "kept" {
				continue
			}
			for _, id := range append([]string{event.Go}, event.Gos...) {
				if !slices.Contains(effects[id], event.Position) {
					faults = append(faults, fmt.Sprintf("%s: %s told kept at %v, found at %v", database, id, event.Position, effects[id]))
				}
			}
		}
	}
	return faults
}

// Fresh finds reads that miss a commit confirmed before they began, past
// what their binding allows, or a commit of the same caller.
func StaleReads(e Evidence) []string {
	var faults []string
	for database := range e.Logs {
		var kept []standin.Event
		for _, event := range e.Events {
			if event.Database == database && isCommitKind(event) && event.Outcome == "kept" {
				kept = append(kept, event)
			}
		}
		slices.SortFunc(kept, func(a, b standin.Event) int { return int(a.Got - b.Got) })
		highs := make([]standin.Position, len(kept))
		var high standin.Position
		for at, event := range kept {
			if isAfter(event.Position, high) {
				high = event.Position
			}
			highs[at] = high
		}
		own := map[string][]standin.Event{}
		for _, event := range kept {
			own[event.Caller] = append(own[event.Caller], event)
		}
		for _, event := range e.Events {
			if event.Database != database || event.Kind != "read" || event.Outcome != "read" {
				continue
			}
			bound := event.Sent - int64(event.FreshMS)*int64(time.Millisecond)
			at, _ := slices.BinarySearchFunc(kept, bound, func(one standin.Event, bound int64) int { return int(one.Got - bound) })
			if at > 0 && isAfter(highs[at-1], event.Upto) {
				faults = append(faults, fmt.Sprintf("%s: read by %s at %d (bound %d ms) saw %v, but %v was confirmed before", database, event.Caller, event.Sent, event.FreshMS, event.Upto, highs[at-1]))
			}
			for _, mine := range own[event.Caller] {
				if mine.Got < event.Sent && isAfter(mine.Position, event.Upto) {
					faults = append(faults, fmt.Sprintf("%s: %s does not see its own write %s at %v, saw %v", database, event.Caller, mine.Go, mine.Position, event.Upto))
				}
			}
		}
	}
	return faults
}

func ownerOf(text string) string {
	_, rest, ok := strings.Cut(text, " by ")
	if !ok {
		return ""
	}
	name, _, _ := strings.Cut(rest, " ")
	return name
}

// Isolation finds transactions that hold statements of more than one caller,
// and statements that ran under settings of another's session.
func MixedSessions(e Evidence) []string {
	var faults []string
	owners := map[string]string{}
	for _, ran := range e.Executions {
		owner := ownerOf(ran.Text)
		if ran.Turn != "" && ran.Act != "commit" {
			if held, found := owners[ran.Turn]; found && held != owner {
				faults = append(faults, fmt.Sprintf("transaction %s holds statements of %s and %s", ran.Turn, held, owner))
			}
			owners[ran.Turn] = owner
		}
	}
	settingOf := map[string]string{}
	for _, event := range e.Events {
		if event.Kind == "set" {
			settingOf[event.Session] = event.Caller
		}
	}
	for _, ran := range e.Executions {
		if value, isSet := ran.Settings["app"]; isSet && ran.Act != "commit" && settingOf[value] != ownerOf(ran.Text) {
			faults = append(faults, fmt.Sprintf("a statement of %s ran under the settings of %s", ownerOf(ran.Text), settingOf[value]))
		}
	}
	for _, event := range e.Events {
		answered := (event.Kind == "read" && event.Outcome == "read") || (event.Kind == "inside" && event.Outcome == "done")
		if answered && event.RanText != "" && event.RanText != event.Text {
			faults = append(faults, fmt.Sprintf("%s asked for %q, and %q was run", event.Caller, event.Text, event.RanText))
		}
		if answered && event.Settings["app"] != event.WantSet {
			faults = append(faults, fmt.Sprintf("%s read under settings %q, its own are %q", event.Caller, event.Settings["app"], event.WantSet))
		}
	}
	return faults
}

// Texts finds statements that ran more often than callers sent them, or that
// nobody sent.
func UnsentStatements(e Evidence) []string {
	var faults []string
	sent := map[string]int{}
	for _, event := range e.Events {
		if event.Text != "" {
			sent[event.Go+"\x00"+event.Text]++
		}
	}
	ran := map[string]int{}
	for _, one := range e.Executions {
		if one.Act == "commit" || one.Act == "promote" {
			continue
		}
		ran[one.Go+"\x00"+one.Text]++
	}
	for text, count := range ran {
		if count > sent[text] {
			faults = append(faults, fmt.Sprintf("%q ran %d times, sent %d times", text, count, sent[text]))
		}
	}
	return faults
}

// OldPrimary finds commits told kept in a term although they were sent, or
// ran, after an instance had been promoted to a later term.
func OldPrimaryCommits(e Evidence) []string {
	promoted := map[string]map[uint64]int64{}
	ranAt := map[string]int64{}
	for _, ran := range e.Executions {
		if ran.Act == "promote" {
			if promoted[ran.Database] == nil {
				promoted[ran.Database] = map[uint64]int64{}
			}
			promoted[ran.Database][ran.Term] = ran.At
		} else if ran.Go != "" {
			key := fmt.Sprint(ran.Go, ran.Term)
			ranAt[key] = max(ranAt[key], ran.At)
		}
	}
	var faults []string
	for _, event := range e.Events {
		if !isCommitKind(event) || event.Outcome != "kept" {
			continue
		}
		for term, at := range promoted[event.Database] {
			sentLate := !event.IsAgain && event.Sent > at
			executedLate := ranAt[fmt.Sprint(event.Go, event.Position.Term)] > at
			if term > event.Position.Term && (sentLate || executedLate) {
				faults = append(faults, fmt.Sprintf("%s: %s kept in term %d after the promotion to term %d", event.Database, event.Go, event.Position.Term, term))
			}
		}
	}
	return faults
}

// Sequences finds requests served under a set older than one that showed
// effect a quarter second before, or than one taken 3 s before; sets that
// took effect early; and sets that nobody was told of.
func IgnoredChanges(e Evidence) []string {
	var faults []string
	shown := map[uint64]int64{}
	for _, event := range e.Events {
		if event.Sequence == 0 || event.Outcome == "cut" {
			continue
		}
		if at, found := shown[event.Sequence]; !found || event.Got < at {
			shown[event.Sequence] = event.Got
		}
	}
	for _, event := range e.Events {
		if event.Sequence == 0 {
			continue
		}
		for sequence, at := range shown {
			if sequence > event.Sequence && event.Sent > at+int64(250*time.Millisecond) {
				faults = append(faults, fmt.Sprintf("%s was served under sequence %d, %d ms after %d had shown effect", event.Caller, event.Sequence, (event.Sent-at)/1e6, sequence))
			}
		}
	}
	for _, put := range e.AcceptedSets {
		since := max(put.AcknowledgedAt, put.EffectiveAt)
		for _, event := range e.Events {
			if event.Sequence != 0 && event.Sequence < put.Sequence && event.Sent > since+int64(3*time.Second) {
				faults = append(faults, fmt.Sprintf("%s was served under sequence %d, %d ms after %d was due", event.Caller, event.Sequence, (event.Sent-since)/1e6, put.Sequence))
			}
		}
		if at, isShown := shown[put.Sequence]; isShown && put.EffectiveAt != 0 && at < put.EffectiveAt {
			faults = append(faults, fmt.Sprintf("sequence %d showed effect %d ms early", put.Sequence, (put.EffectiveAt-at)/1e6))
		}
	}
	return faults
}

// Sets finds sets in force that were not sent just so, sets told as taken
// that never came in force or were put elsewhere in the order, refused ones
// that came in force, and booked ones that landed twice, out of order or
// not at all.
func InconsistentSets(e Evidence) []string {
	var faults []string
	miss := func(format string, parts ...any) { faults = append(faults, fmt.Sprintf(format, parts...)) }
	byContent, contentOf, due := map[string]string{}, map[string]string{}, map[string]int64{}
	for _, sent := range e.SubmittedSets {
		byContent[sent.Content], contentOf[sent.ID] = sent.ID, sent.Content
		if sent.Scheduled {
			due[sent.ID] = sent.EffectiveAt
		}
	}
	placeOf, heldAt := map[string]uint64{}, map[uint64]string{}
	newest := uint64(0)
	for _, seen := range e.ServedSets {
		id, submitted := byContent[seen.Content]
		if !submitted {
			miss("%s served under %d, which nobody sent so: %s", seen.Node, seen.Sequence, seen.Content)
			continue
		}
		if place, found := placeOf[id]; found && place != seen.Sequence {
			miss("%s is in force as %d and as %d", id, place, seen.Sequence)
		}
		if other, found := heldAt[seen.Sequence]; found && other != id {
			miss("%d is %s at one node and %s at another", seen.Sequence, other, id)
		}
		placeOf[id], heldAt[seen.Sequence] = seen.Sequence, id
		newest = max(newest, seen.Sequence)
	}
	taken, refused := map[string]bool{}, map[string]bool{}
	for _, told := range e.SetAnswers {
		taken[told.ID] = taken[told.ID] || !told.Refused
		refused[told.ID] = refused[told.ID] || told.Refused
		place, observed := placeOf[told.ID]
		_, scheduled := due[told.ID]
		isDue := e.End > max(told.At, due[told.ID])+int64(4*time.Second)
		if !told.Refused && observed && !scheduled && place != told.Sequence {
			miss("%s was taken as %d, in force as %d", told.ID, told.Sequence, place)
		}
		lost := isDue && ((scheduled && !observed) || (!scheduled && newest < told.Sequence))
		if !told.Refused && lost {
			miss("%s was taken as %d, but is not in force (newest %d)", told.ID, told.Sequence, newest)
		}
	}
	for id := range refused {
		if place, observed := placeOf[id]; observed && !taken[id] {
			miss("%s was refused, yet is in force as %d", id, place)
		}
	}
	for id, moment := range due {
		for other, later := range due {
			first, firstKnown := placeOf[id]
			second, secondKnown := placeOf[other]
			if firstKnown && secondKnown && moment < later && first > second && taken[id] && taken[other] && acknowledgedBefore(e, id, moment) {
				miss("%s, due first, landed as %d after %s as %d", id, first, other, second)
			}
		}
	}
	return faults
}

func acknowledgedBefore(e Evidence, id string, moment int64) bool {
	return slices.ContainsFunc(e.SetAnswers, func(told SetAnswer) bool { return told.ID == id && told.At < moment })
}

// Leaving finds statements that ran at an instance 7 s and more after it
// said that it was leaving.
func WorkAfterLeaving(e Evidence) []string {
	var faults []string
	for _, ran := range e.Executions {
		if ran.Leaving != 0 && ran.At > ran.Leaving+int64(7*time.Second) {
			faults = append(faults, fmt.Sprintf("%s ran %q %d ms after it said it was leaving", ran.Instance, ran.Text, (ran.At-ran.Leaving)/1e6))
		}
	}
	return faults
}

// ResetByRun is the error of a request whose caller's connection the run
// itself reset.
const ErrorResetByRun = "reset by the run"

// Cuts finds requests that a planned restart cut off although they had been
// passed on: an instance ran them while the caller got no answer. A request
// that met a door just closed was not passed on.
func CutRequests(e Evidence) []string {
	ran := map[string][]int64{}
	for _, one := range e.Executions {
		if one.Act == "promote" {
			continue
		}
		ran[one.Go+"\x00"+one.Text] = append(ran[one.Go+"\x00"+one.Text], one.At)
	}
	var faults []string
	for _, restart := range e.Restarts {
		for _, event := range e.Events {
			inSpan := event.Got >= restart.From && event.Sent <= restart.Until
			if event.Door != restart.Address || !inSpan || event.Outcome != "cut" || event.Error == ErrorResetByRun {
				continue
			}
			since := max(event.Sent, restart.From-int64(500*time.Millisecond))
			executed := slices.ContainsFunc(ran[event.Go+"\x00"+event.Text], func(at int64) bool { return at >= since && at <= event.Got })
			if executed {
				faults = append(faults, fmt.Sprintf("%s of %s ran, but was cut off at %s: %s", event.Kind, event.Caller, event.Door, event.Error))
			}
		}
	}
	return faults
}

func isServed(event standin.Event) bool {
	return event.Outcome == "kept" || event.Outcome == "read" || event.Outcome == "done"
}

// Rate counts requests served per second in a span.
func Rate(events []standin.Event, from, until int64) float64 {
	count := 0
	for _, event := range events {
		if isServed(event) && event.Got >= from && event.Got < until {
			count++
		}
	}
	return float64(count) / (float64(until-from) / 1e9)
}

var workClasses = map[string]string{"read": "reads", "write": "writes", "commit": "transactions"}

const recoveryWindowNanos = int64(2500 * time.Millisecond)

// Recovery finds closing faults after which, for a database and a kind of
// work, service in any window from 12 s on is below a quarter of its level
// before.
func FailedRecoveries(e Evidence) []string {
	served := map[string][]int64{}
	end := int64(0)
	for _, event := range e.Events {
		class, ok := workClasses[event.Kind]
		end = max(end, event.Got)
		if ok && isServed(event) {
			key := event.Database + " " + class
			served[key] = append(served[key], event.Got)
		}
	}
	count := func(list []int64, from, until int64) float64 {
		total := 0.0
		for _, at := range list {
			if at >= from && at < until {
				total++
			}
		}
		return total
	}
	var faults []string
	for _, closing := range e.ClosedFaults {
		for key, list := range served {
			span := closing.BeforeUntil - closing.BeforeFrom
			level := count(list, closing.BeforeFrom, closing.BeforeUntil) / float64(span) * float64(recoveryWindowNanos)
			if level < 12 {
				continue
			}
			for from := closing.At + int64(12*time.Second); from == closing.At+int64(12*time.Second) || from+recoveryWindowNanos <= end; from += recoveryWindowNanos / 3 {
				if after := count(list, from, from+recoveryWindowNanos); after < level/4 {
					faults = append(faults, fmt.Sprintf("%s: %s: %.0f in a window before, %.0f in the one that begins %d ms after", closing.Name, key, level, after, (from-closing.At)/1e6))
					break
				}
			}
		}
	}
	return faults
}

// Calm finds requests refused, cut off or of unknown outcome although no
// fault was there: safety by doing nothing is none.
func QuietRefusals(e Evidence) []string {
	var faults []string
	for _, span := range e.QuietSpans {
		for _, event := range e.Events {
			inSpan := event.Sent >= span.From && event.Got < span.Until && event.Got > 0
			shortDeadline := event.DeadMS != 0 && event.DeadMS < 1000
			sentElsewhere := event.IsAgain || strings.HasPrefix(event.Error, "no such session here")
			if !inSpan || shortDeadline || sentElsewhere || event.Error == ErrorResetByRun || event.Kind == "open" || isServed(event) || event.Outcome == "left" {
				continue
			}
			faults = append(faults, fmt.Sprintf("%s of %s: %s (%s) in a calm of the fleet", event.Kind, event.Caller, event.Outcome, event.Error))
		}
	}
	return faults
}
