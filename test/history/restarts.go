package history

import (
	"slices"
	"time"
)

const (
	// drainTimeout is how long an instance may still receive work after it
	// announced that it is leaving.
	drainTimeout = int64(7 * time.Second)
	// restartMargin is the maximum time between the execution of a request and
	// the start of a later planned restart that is held to have cut it off.
	restartMargin = int64(500 * time.Millisecond)
)

// WorkAfterLeaving finds statements that ran on an instance more than
// drainTimeout after the instance announced that it is leaving.
func WorkAfterLeaving(e Evidence) []string {
	var found violations
	for _, execution := range e.Executions {
		if execution.LeavingSince != 0 && execution.At > execution.LeavingSince+drainTimeout {
			found.add("%s ran %q %d ms after it announced that it is leaving", execution.Instance, execution.Text, milliseconds(execution.At-execution.LeavingSince))
		}
	}
	return found
}

// CutRequests finds requests that a planned restart cut off although they had
// been forwarded: an instance ran the request, but the caller received no
// answer. A request that reached a listener which had just closed was not
// forwarded, so it does not count.
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
				found.add("%s request of %s ran, but received no answer from %s: %s", event.Kind, event.Caller, event.Address, event.Error)
			}
		}
	}
	return found
}
