package e2e

import (
	"fmt"
	"io"
	"slices"
	"time"

	"tansyseam/test/history"
	"tansyseam/test/standin"
)

func (r *Result) measure(events []standin.Event, began time.Time) {
	var spans []float64
	last := began.UnixNano()
	for _, event := range events {
		r.Outcomes[event.Kind+" "+event.Outcome]++
		last = max(last, event.Got)
		if event.Kind == "write" && event.Outcome == "kept" && !event.IsAgain {
			spans = append(spans, float64(event.Got-event.Sent)/1e6)
		}
	}
	for from := began.UnixNano(); from < last; from += int64(time.Second) {
		r.Rates = append(r.Rates, int(history.Rate(events, from, from+int64(time.Second))))
	}
	r.gaps(events)
	r.spread(events)
	if full := slices.Clone(r.Rates); len(full) > 3 {
		full = full[1 : len(full)-1]
		slices.Sort(full)
		r.Worst = float64(full[0]) / float64(max(full[len(full)/2], 1))
	}
	if len(spans) > 0 {
		slices.Sort(spans)
		r.P50, r.P99 = spans[len(spans)/2], spans[len(spans)*99/100]
	}
}

func (r *Result) gaps(events []standin.Event) {
	kept := map[string][]int64{}
	for _, event := range events {
		if event.Kind == "write" && event.Outcome == "kept" {
			kept[event.Database] = append(kept[event.Database], event.Got)
		}
	}
	for _, times := range kept {
		slices.Sort(times)
		for at := 1; at < len(times); at++ {
			r.GapMS = max(r.GapMS, float64(times[at]-times[at-1])/1e6)
		}
	}
}

func (r *Result) spread(events []standin.Event) {
	first := map[uint64]map[string]int64{}
	for _, event := range events {
		if event.Sequence < 2 || event.Outcome == "cut" {
			continue
		}
		if first[event.Sequence] == nil {
			first[event.Sequence] = map[string]int64{}
		}
		if at, isHeld := first[event.Sequence][event.Door]; !isHeld || event.Got < at {
			first[event.Sequence][event.Door] = event.Got
		}
	}
	for _, doors := range first {
		least, most := int64(0), int64(0)
		for _, at := range doors {
			if least == 0 || at < least {
				least = at
			}
			most = max(most, at)
		}
		r.SpreadMS = max(r.SpreadMS, float64(most-least)/1e6)
	}
}

// Print writes a result for people.
func (r Result) Print(out io.Writer) {
	verdict := "good"
	if len(r.Faults) > 0 {
		verdict = "BROKEN"
	}
	_, _ = fmt.Fprintf(out, "%s on %s, seed %d: %s\n", r.Scenario, r.Shape, r.Seed, verdict)
	for _, note := range r.Notes {
		_, _ = fmt.Fprintln(out, "   ", note)
	}
	_, _ = fmt.Fprintf(out, "    served each second: %v\n    single writes kept: p50 %.1f ms, p99 %.1f ms\n    outcomes: %v\n", r.Rates, r.P50, r.P99, r.Outcomes)
	for rule, faults := range r.Faults {
		_, _ = fmt.Fprintf(out, "    %s: %d\n", rule, len(faults))
		for _, fault := range faults[:min(len(faults), 4)] {
			_, _ = fmt.Fprintln(out, "       ", fault)
		}
	}
}
