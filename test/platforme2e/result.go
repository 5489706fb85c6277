package platforme2e

import (
	"fmt"
	"io"
	"time"

	"tansyseam/test/e2e"
	"tansyseam/test/linehistory"
	"tansyseam/test/platformstandin"
)

// Result holds the violations and the measurements of a run.
type Result struct {
	Scenario string
	Notes    []string
	// Violations holds the violations of each rule. Failures of the run itself are
	// listed under "scenario".
	Violations                 map[string][]string
	QueryCount, ExecutionCount int
	SucceededCount, CutCount   int
	// Codes counts the error answers by code.
	Codes map[string]int
	// P50 and P99 are latency percentiles of statements that were answered with
	// success.
	P50, P99     time.Duration
	PromoteCalls []platformstandin.PromoteCall
}

// measure computes the measurements from a history.
func (r *Result) measure(history linehistory.History) {
	r.QueryCount, r.ExecutionCount = len(history.Queries), len(history.Executions)
	var latencies []time.Duration
	for _, query := range history.Queries {
		if query.Cut {
			r.CutCount++
			continue
		}
		if query.Code != "" {
			r.Codes[query.Code]++
			continue
		}
		r.SucceededCount++
		if query.Act != "" {
			latencies = append(latencies, query.Answered-query.Sent)
		}
	}
	r.P50, r.P99 = e2e.Percentiles(latencies)
}

// Print writes a summary of the result.
func (r Result) Print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "%s: %s; sent %d, succeeded %d, cut off %d, executed %d, error codes %v, p50 %.1f ms, p99 %.1f ms, promote calls %d\n",
		r.Scenario, e2e.Verdict(r.Violations), r.QueryCount, r.SucceededCount, r.CutCount, r.ExecutionCount, r.Codes,
		milliseconds(r.P50), milliseconds(r.P99), len(r.PromoteCalls))
	for _, note := range r.Notes {
		_, _ = fmt.Fprintln(out, "   ", note)
	}
	e2e.PrintViolations(out, r.Violations)
}

func milliseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }
