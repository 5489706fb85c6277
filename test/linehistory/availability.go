package linehistory

import "time"

// minRecoveredFraction is the part of the level of service before a fault
// that must be served again after it.
const minRecoveredFraction = 1.0 / 4

// minSpan keeps the rate over an empty span finite.
const minSpan = time.Millisecond

// WorkAfterLeaving finds work that came to an instance long after its leaving
// had been acknowledged. The later statements of a transaction do not count.
func WorkAfterLeaving(h History) []string {
	var found violations
	queries := h.queriesByID()
	for _, execution := range h.Executions {
		query := queries[execution.ID]
		counted := query.Transaction == "" || query.First
		if counted && execution.LeavingAcknowledged != 0 && execution.At > execution.LeavingAcknowledged+h.Bounds.Drain {
			found.add("%s ran at %s %v after its leaving was acknowledged", execution.ID, execution.Instance, execution.At-execution.LeavingAcknowledged)
		}
	}
	return found
}

// FailedRecoveries finds faults after whose end too little is served.
func FailedRecoveries(h History) []string {
	var found violations
	for _, fault := range h.ClosedFaults {
		from := fault.At + h.Bounds.Recover
		before, after := h.servedPerSecond(fault.Before), h.servedPerSecond(Span{from, h.End})
		if h.End > from && after < before*minRecoveredFraction {
			found.add("%.1f a second were served before, %.1f from %v after the machines' return", before, after, h.Bounds.Recover)
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
