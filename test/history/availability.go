package history

import (
	"strings"
	"time"

	"tansyseam/test/standin"
)

const (
	// recoveryTimeout is how long service may stay below its previous level after
	// a fault has ended. recoveryWindow is the span over which the level is
	// measured.
	recoveryTimeout = int64(12 * time.Second)
	recoveryWindow  = int64(2500 * time.Millisecond)
	// minRecoveryLevel is the minimum number of requests per window before the
	// fault. Recovery is not checked below that level.
	minRecoveryLevel = 12
	// minRecoveredFraction is the fraction of the level before the fault that
	// must be served after it.
	minRecoveredFraction = 1.0 / 4
	// shortDeadlineMS is the deadline, in milliseconds, below which a request may
	// fail because its deadline expires.
	shortDeadlineMS = 1000
	// noSuchSessionError is the prefix of the error of a request that was sent to
	// a node that does not hold the session.
	noSuchSessionError = "no such session here"
)

// workClasses holds the class of work for each kind of request whose level of
// service is checked.
var workClasses = map[string]string{KindRead: "reads", KindWrite: "writes", KindCommit: "transactions"}

// Rate returns the number of requests served per second between from and until.
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

// FailedRecoveries finds ended faults after which, for a database and a class of
// work, the service level stays below minRecoveredFraction of the level before.
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

// checkRecovery checks windows up to the end of the run. Each window begins a
// third of a window length after the previous one. The first window is always
// checked, even if it extends past the end of the run.
func (f ClosedFault) checkRecovery(class string, served servedTimes, end int64, found *violations) {
	before := served.countBetween(f.BeforeFrom, f.BeforeUntil) / float64(f.BeforeUntil-f.BeforeFrom) * float64(recoveryWindow)
	if before < minRecoveryLevel {
		return
	}
	first := f.At + recoveryTimeout
	for from := first; from == first || from+recoveryWindow <= end; from += recoveryWindow / 3 {
		after := served.countBetween(from, from+recoveryWindow)
		if after < before*minRecoveredFraction {
			found.add("%s: %s: %.0f requests in a window before the fault, %.0f in the window that begins %d ms after it", f.Name, class, before, after, milliseconds(from-f.At))
			return
		}
	}
}

// QuietRefusals finds requests that were refused, were cut off or have an
// unknown outcome although there was no fault. Without this rule, a fleet that
// refuses all work would pass the safety rules.
func QuietRefusals(e Evidence) []string {
	var found violations
	for _, span := range e.QuietSpans {
		for _, event := range e.Events {
			during := event.SentAt >= span.From && event.AnsweredAt < span.Until && event.AnsweredAt > 0
			if during && !isServed(event) && !mayFail(event) {
				found.add("%s request of %s: %s (%s) while there was no fault", event.Kind, event.Caller, event.Outcome, event.Error)
			}
		}
	}
	return found
}

// mayFail reports whether a request is allowed to fail because of an action of
// its caller or of the run.
func mayFail(event standin.Event) bool {
	shortDeadline := event.DeadlineMS != 0 && event.DeadlineMS < shortDeadlineMS
	sentElsewhere := event.Retry || strings.HasPrefix(event.Error, noSuchSessionError)
	return shortDeadline || sentElsewhere || event.Error == ErrorResetByRun || event.Kind == KindOpen || event.Outcome == OutcomeLeft
}
