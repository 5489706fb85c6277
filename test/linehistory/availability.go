package linehistory

import "time"

// minRecoveredFraction is the fraction of the level of service before a fault that
// must be served after it.
const minRecoveredFraction = 1.0 / 4

// minSpan is the minimum divisor of a rate, so that the rate over an empty span is
// finite.
const minSpan = time.Millisecond

// WorkAfterLeaving finds work that an instance received more than Bounds.Drain after
// its announcement that it is leaving was acknowledged. Statements after the first
// one of a transaction do not count.
func WorkAfterLeaving(h History) []string {
	var found violations
	queries := h.queriesByID()
	for _, execution := range h.Executions {
		query := queries[execution.ID]
		counted := query.Transaction == "" || query.First
		if counted && execution.LeavingAcknowledged != 0 && execution.At > execution.LeavingAcknowledged+h.Bounds.Drain {
			found.add("%s ran at %s %v after the instance's announcement that it is leaving was acknowledged", execution.ID, execution.Instance, execution.At-execution.LeavingAcknowledged)
		}
	}
	return found
}

// FailedRecoveries finds faults after which service stays below
// minRecoveredFraction of the level before.
func FailedRecoveries(h History) []string {
	var found violations
	for _, fault := range h.ClosedFaults {
		from := fault.At + h.Bounds.Recover
		before, after := h.servedPerSecond(fault.Before), h.servedPerSecond(Span{from, h.End})
		if h.End > from && after < before*minRecoveredFraction {
			found.add("%.1f queries per second were served before the fault, %.1f from %v after the machines returned", before, after, h.Bounds.Recover)
		}
	}
	return found
}

func (h History) servedPerSecond(span Span) float64 {
	served := 0
	for _, query := range h.Queries {
		if query.succeeded() && query.Act != "" && span.contains(query.Sent) {
			served++
		}
	}
	return float64(served) / max((span.Until-span.From).Seconds(), minSpan.Seconds())
}
