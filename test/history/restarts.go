package history

import (
	"slices"
	"time"
)

const (
	// drainTimeout is how long after it said that it is leaving an instance
	// may still receive work.
	drainTimeout = int64(7 * time.Second)
	// restartMargin is how long before a planned restart a request that it
	// cuts off may have run.
	restartMargin = int64(500 * time.Millisecond)
)

// WorkAfterLeaving finds statements that ran at an instance long after it had
// said that it is leaving.
func WorkAfterLeaving(e Evidence) []string {
	var found violations
	for _, execution := range e.Executions {
		if execution.LeavingSince != 0 && execution.At > execution.LeavingSince+drainTimeout {
			found.add("%s ran %q %d ms after it said it was leaving", execution.Instance, execution.Text, milliseconds(execution.At-execution.LeavingSince))
		}
	}
	return found
}

// CutRequests finds requests that a planned restart cut off although they had
// been passed on: an instance ran them, while the caller got no answer. A
// request that met a listener just closed was not passed on.
func CutRequests(e Evidence) []string {
	runTimes := map[statement][]int64{}
	for _, execution := range e.Executions {
		if execution.Action != ActPromote {
			key := statement{execution.RequestID, execution.Text}
			runTimes[key] = append(runTimes[key], execution.At)
		}
	}
	var found violations
	for _, restart := range e.Restarts {
		for _, event := range e.Events {
			during := event.AnsweredAt >= restart.From && event.SentAt <= restart.Until
			if event.Address != restart.Address || !during || event.Outcome != OutcomeCut || event.Error == ErrorResetByRun {
				continue
			}
			since := max(event.SentAt, restart.From-restartMargin)
			executed := slices.ContainsFunc(runTimes[statement{event.RequestID, event.Text}], func(at int64) bool { return at >= since && at <= event.AnsweredAt })
			if executed {
				found.add("%s of %s ran, but was cut off at %s: %s", event.Kind, event.Caller, event.Address, event.Error)
			}
		}
	}
	return found
}
