package e2e

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"tansyseam/test/history"
	"tansyseam/test/standin"
)

// Result holds the violations and the measurements of a run.
type Result struct {
	Scenario string
	Shape    string
	Seed     uint64
	Notes    []string
	// Violations holds the violations of each rule. Failures of the run itself are
	// listed under "scenario".
	Violations map[string][]string
	// Outcomes counts requests by kind and outcome.
	Outcomes map[string]int
	// Rates holds the number of requests served in each second of the run.
	Rates []int
	// P50 and P99 are latency percentiles of committed single writes that were not
	// retries, in milliseconds.
	P50, P99 float64
	// LongestGapMS is the longest time between two committed single writes of one
	// database, in milliseconds.
	LongestGapMS float64
	// WorstSecond is the lowest rate of a full second, divided by the median rate.
	WorstSecond float64
	// SpreadMS is the longest time that a binding set took to spread, in milliseconds:
	// from the first answer under the set at any proxy to the first answer under it at
	// the last proxy that used it.
	SpreadMS float64
}

// measure computes the measurements from the events of a history.
func (r *Result) measure(events []standin.Event, startedAt time.Time) {
	last := startedAt.UnixNano()
	for _, event := range events {
		r.Outcomes[event.Kind+" "+event.Outcome]++
		last = max(last, event.AnsweredAt)
	}
	r.measureRates(events, startedAt.UnixNano(), last)
	r.measureLatencies(events)
	r.measureGaps(events)
	r.measureSpread(events)
}

func (r *Result) measureRates(events []standin.Event, first, last int64) {
	for from := first; from < last; from += int64(time.Second) {
		r.Rates = append(r.Rates, int(history.Rate(events, from, from+int64(time.Second))))
	}
	if len(r.Rates) <= 3 {
		return
	}
	fullSeconds := slices.Sorted(slices.Values(r.Rates[1 : len(r.Rates)-1]))
	r.WorstSecond = float64(fullSeconds[0]) / float64(max(fullSeconds[len(fullSeconds)/2], 1))
}

// isCommittedWrite reports whether an event is a single write that was acknowledged as
// committed.
func isCommittedWrite(event standin.Event) bool {
	return event.Kind == history.KindWrite && event.Outcome == history.OutcomeKept
}

func (r *Result) measureLatencies(events []standin.Event) {
	var latencies []float64
	for _, event := range events {
		if isCommittedWrite(event) && !event.Retry {
			latencies = append(latencies, milliseconds(event.AnsweredAt-event.SentAt))
		}
	}
	r.P50, r.P99 = Percentiles(latencies)
}

// Percentiles returns the median and the 99th percentile of values, or zeros if there
// are none. It sorts the values in place.
func Percentiles[T cmp.Ordered](values []T) (p50, p99 T) {
	if len(values) == 0 {
		return p50, p99
	}
	slices.Sort(values)
	return values[len(values)/2], values[len(values)*99/100]
}

func (r *Result) measureGaps(events []standin.Event) {
	committedAt := map[string][]int64{}
	for _, event := range events {
		if isCommittedWrite(event) {
			committedAt[event.Database] = append(committedAt[event.Database], event.AnsweredAt)
		}
	}
	for _, times := range committedAt {
		slices.Sort(times)
		for index := 1; index < len(times); index++ {
			r.LongestGapMS = max(r.LongestGapMS, milliseconds(times[index]-times[index-1]))
		}
	}
}

func (r *Result) measureSpread(events []standin.Event) {
	// firstSeen is indexed by sequence and by proxy address.
	firstSeen := map[uint64]map[string]int64{}
	for _, event := range events {
		if event.Sequence < 2 || event.Outcome == history.OutcomeCut {
			continue
		}
		if firstSeen[event.Sequence] == nil {
			firstSeen[event.Sequence] = map[string]int64{}
		}
		if seenAt, found := firstSeen[event.Sequence][event.Address]; !found || event.AnsweredAt < seenAt {
			firstSeen[event.Sequence][event.Address] = event.AnsweredAt
		}
	}
	for _, proxies := range firstSeen {
		times := slices.Sorted(maps.Values(proxies))
		r.SpreadMS = max(r.SpreadMS, milliseconds(times[len(times)-1]-times[0]))
	}
}

func milliseconds(nanoseconds int64) float64 {
	return float64(nanoseconds) / float64(time.Millisecond)
}

// maxPrintedPerRule is the maximum number of violations printed for each rule.
const maxPrintedPerRule = 4

// Print writes a summary of the result.
func (r Result) Print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "%s on %s, seed %d: %s\n", r.Scenario, r.Shape, r.Seed, Verdict(r.Violations))
	for _, note := range r.Notes {
		_, _ = fmt.Fprintln(out, "   ", note)
	}
	_, _ = fmt.Fprintf(out, "    requests served in each second: %v\n", r.Rates)
	_, _ = fmt.Fprintf(out, "    committed single writes: p50 %.1f ms, p99 %.1f ms\n", r.P50, r.P99)
	_, _ = fmt.Fprintf(out, "    outcomes: %v\n", r.Outcomes)
	PrintViolations(out, r.Violations)
}

// Verdict returns "BROKEN" if there are violations, and "good" otherwise.
func Verdict(violations map[string][]string) string {
	if len(violations) > 0 {
		return "BROKEN"
	}
	return "good"
}

// PrintViolations writes the number of violations of each rule, followed by the first
// few violations.
func PrintViolations(out io.Writer, violations map[string][]string) {
	for _, rule := range slices.Sorted(maps.Keys(violations)) {
		list := violations[rule]
		_, _ = fmt.Fprintf(out, "    %s: %d\n", rule, len(list))
		for _, violation := range list[:min(len(list), maxPrintedPerRule)] {
			_, _ = fmt.Fprintln(out, "       ", violation)
		}
	}
}
