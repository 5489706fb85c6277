package e2e

import (
	"fmt"
	"io"
	"slices"
	"time"

	"tansyseam/test/history"
	"tansyseam/test/standin"
)

// Result is what a run showed.
type Result struct {
	Scenario string
	Shape    string
	Seed     uint64
	Notes    []string
	// Violations are by rule; failures of the run itself stand under "scenario".
	Violations map[string][]string
	// Outcomes counts requests by kind and outcome.
	Outcomes map[string]int
	// Rates are requests served in each second of the run.
	Rates []int
	// P50 and P99 are of single writes kept, in milliseconds.
	P50, P99 float64
	// LongestGapMS is the longest time without a kept write at one database.
	LongestGapMS float64
	// WorstSecond is the rate of the worst full second as a part of the median.
	WorstSecond float64
	// SpreadMS is the longest time from a set's first effect at any proxy to
	// the first at the last proxy that showed it.
	SpreadMS float64
}

func (r *Result) measure(events []standin.Event, startedAt time.Time) {
	var latencies []float64
	last := startedAt.UnixNano()
	for _, event := range events {
		r.Outcomes[event.Kind+" "+event.Outcome]++
		last = max(last, event.AnsweredAt)
		if event.Kind == "write" && event.Outcome == "kept" && !event.Retry {
			latencies = append(latencies, float64(event.AnsweredAt-event.SentAt)/1e6)
		}
	}
	for from := startedAt.UnixNano(); from < last; from += int64(time.Second) {
		r.Rates = append(r.Rates, int(history.Rate(events, from, from+int64(time.Second))))
	}
	r.measureGaps(events)
	r.measureSpread(events)
	if full := slices.Clone(r.Rates); len(full) > 3 {
		full = full[1 : len(full)-1]
		slices.Sort(full)
		r.WorstSecond = float64(full[0]) / float64(max(full[len(full)/2], 1))
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		r.P50, r.P99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	}
}

func (r *Result) measureGaps(events []standin.Event) {
	kept := map[string][]int64{}
	for _, event := range events {
		if event.Kind == "write" && event.Outcome == "kept" {
			kept[event.Database] = append(kept[event.Database], event.AnsweredAt)
		}
	}
	for _, times := range kept {
		slices.Sort(times)
		for index := 1; index < len(times); index++ {
			r.LongestGapMS = max(r.LongestGapMS, float64(times[index]-times[index-1])/1e6)
		}
	}
}

func (r *Result) measureSpread(events []standin.Event) {
	first := map[uint64]map[string]int64{}
	for _, event := range events {
		if event.Sequence < 2 || event.Outcome == "cut" {
			continue
		}
		if first[event.Sequence] == nil {
			first[event.Sequence] = map[string]int64{}
		}
		if index, found := first[event.Sequence][event.Address]; !found || event.AnsweredAt < index {
			first[event.Sequence][event.Address] = event.AnsweredAt
		}
	}
	for _, doors := range first {
		least, most := int64(0), int64(0)
		for _, index := range doors {
			if least == 0 || index < least {
				least = index
			}
			most = max(most, index)
		}
		r.SpreadMS = max(r.SpreadMS, float64(most-least)/1e6)
	}
}

// Print writes a summary of the result.
func (r Result) Print(out io.Writer) {
	verdict := "good"
	if len(r.Violations) > 0 {
		verdict = "BROKEN"
	}
	_, _ = fmt.Fprintf(out, "%s on %s, seed %d: %s\n", r.Scenario, r.Shape, r.Seed, verdict)
	for _, note := range r.Notes {
		_, _ = fmt.Fprintln(out, "   ", note)
	}
	_, _ = fmt.Fprintf(out, "    served each second: %v\n    single writes kept: p50 %.1f ms, p99 %.1f ms\n    outcomes: %v\n", r.Rates, r.P50, r.P99, r.Outcomes)
	for rule, faults := range r.Violations {
		_, _ = fmt.Fprintf(out, "    %s: %d\n", rule, len(faults))
		for _, fault := range faults[:min(len(faults), 4)] {
			_, _ = fmt.Fprintln(out, "       ", fault)
		}
	}
}
