package platforme2e

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"tansyseam/test/linehistory"
	"tansyseam/test/platformstandin"
)

// Result is what a run showed.
type Result struct {
	Scenario                   string
	Notes                      []string
	Violations                 map[string][]string
	QueryCount, ExecutionCount int
	SucceededCount, CutCount   int
	Codes                      map[string]int
	P50, P99                   time.Duration
	PromoteCalls               []platformstandin.PromoteCall
}

func (r *Result) measure(history linehistory.History) {
	r.QueryCount, r.ExecutionCount = len(history.Queries), len(history.Executions)
	var latencies []time.Duration
	for _, process := range history.Queries {
		if process.Cut {
			r.CutCount++
			continue
		}
		if process.Code != "" {
			r.Codes[process.Code]++
			continue
		}
		r.SucceededCount++
		if process.Act != "" {
			latencies = append(latencies, process.Answered-process.Sent)
		}
	}
	slices.Sort(latencies)
	if len(latencies) > 0 {
		r.P50, r.P99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	}
}

// Print writes a result.
func (r Result) Print(to io.Writer) {
	verdict := "good"
	if len(r.Violations) > 0 {
		verdict = "BROKEN"
	}
	_, _ = fmt.Fprintf(to, "%s: %s; asked %d, answered well %d, cut %d, run %d, codes %v, p50 %.1f ms, p99 %.1f ms, promote calls %d\n",
		r.Scenario, verdict, r.QueryCount, r.SucceededCount, r.CutCount, r.ExecutionCount, r.Codes, float64(r.P50.Microseconds())/1000, float64(r.P99.Microseconds())/1000, len(r.PromoteCalls))
	for _, note := range r.Notes {
		_, _ = fmt.Fprintln(to, " ", note)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Violations)) {
		list := r.Violations[name]
		_, _ = fmt.Fprintf(to, "  %s: %d\n", name, len(list))
		for _, fault := range list[:min(len(list), 5)] {
			_, _ = fmt.Fprintln(to, "   ", fault)
		}
	}
}
