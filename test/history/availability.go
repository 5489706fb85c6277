package history

import (
	"strings"
	"time"

	"tansyseam/test/standin"
)

const (
	// recoveryTimeout is how long after the end of a fault service may be
	// below its level, recoveryWindow the span over which it is measured.
	recoveryTimeout = int64(12 * time.Second)
	recoveryWindow  = int64(2500 * time.Millisecond)
	// minRecoveryLevel is the number of requests in a window before the fault
	// from which on the level is judged.
	minRecoveryLevel = 12
	// minRecoveredFraction is the part of the level before that must be
	// served again.
	minRecoveredFraction = 1.0 / 4
	// shortDeadlineMS is the deadline below which a request may fail by it.
	shortDeadlineMS = 1000
	// noSuchSessionError begins the error of a request that came to a node
	// without its session.
	noSuchSessionError = "no such session here"
)

// workClasses names the class of work of each kind of request whose level of
// service is judged.
var workClasses = map[string]string{KindRead: "reads", KindWrite: "writes", KindCommit: "transactions"}

// Rate gives the requests served per second in a span.
func Rate(events []standin.Event, from, until int64) float64 {
	count := 0
	for _, event := range events {
		if isServed(event) && event.AnsweredAt >= from && event.AnsweredAt < until {
			count++
		}
	}
	return float64(count) / time.Duration(until-from).Seconds()
}

// servedTimes are the times at which requests of one class were answered.
type servedTimes []int64

func (s servedTimes) countBetween(from, until int64) float64 {
	count := 0.0
	for _, at := range s {
		if at >= from && at < until {
			count++
		}
	}
	return count
}

// FailedRecoveries finds faults that have ended after which, for a database
// and a class of work, service stays too far below its level before.
func FailedRecoveries(e Evidence) []string {
	byClass := map[string]servedTimes{}
	end := int64(0)
	for _, event := range e.Events {
		end = max(end, event.AnsweredAt)
		if class, ok := workClasses[event.Kind]; ok && isServed(event) {
			key := event.Database + " " + class
			byClass[key] = append(byClass[key], event.AnsweredAt)
		}
	}
	var found violations
	for _, fault := range e.ClosedFaults {
		for class, served := range byClass {
			fault.checkRecovery(class, served, end, &found)
		}
	}
	return found
}

// checkRecovery looks at windows, each a third of a window after the last, up
// to the end of the run; the first one is looked at in any case.
func (f ClosedFault) checkRecovery(class string, served servedTimes, end int64, found *violations) {
	before := served.countBetween(f.BeforeFrom, f.BeforeUntil) / float64(f.BeforeUntil-f.BeforeFrom) * float64(recoveryWindow)
	if before < minRecoveryLevel {
		return
	}
	first := f.At + recoveryTimeout
	for from := first; from == first || from+recoveryWindow <= end; from += recoveryWindow / 3 {
		after := served.countBetween(from, from+recoveryWindow)
		if after < before*minRecoveredFraction {
			found.add("%s: %s: %.0f in a window before, %.0f in the one that begins %d ms after", f.Name, class, before, after, milliseconds(from-f.At))
			return
		}
	}
}

// QuietRefusals finds requests that were refused, cut off or of unknown
// outcome although there was no fault: a fleet is not safe by doing nothing.
func QuietRefusals(e Evidence) []string {
	var found violations
	for _, span := range e.QuietSpans {
		for _, event := range e.Events {
			during := event.SentAt >= span.From && event.AnsweredAt < span.Until && event.AnsweredAt > 0
			if during && !isServed(event) && !mayFail(event) {
				found.add("%s of %s: %s (%s) in a calm of the fleet", event.Kind, event.Caller, event.Outcome, event.Error)
			}
		}
	}
	return found
}

// mayFail reports whether a request may fail by what its caller, or the run,
// did to it.
func mayFail(event standin.Event) bool {
	shortDeadline := event.DeadlineMS != 0 && event.DeadlineMS < shortDeadlineMS
	sentElsewhere := event.Retry || strings.HasPrefix(event.Error, noSuchSessionError)
	return shortDeadline || sentElsewhere || event.Error == ErrorResetByRun || event.Kind == KindOpen || event.Outcome == OutcomeLeft
}
