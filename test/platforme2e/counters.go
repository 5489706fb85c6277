package platforme2e

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"tansyseam/test/e2e"
)

// reportedCounters are the prefixes of the counters that a run reports.
var reportedCounters = []string{
	"answers_", "answered", "begins_", "connections_opened", "instance_errors_", "lone_line_feeds", "passed_on", "sent_before_answer",
}

func isReported(counter string) bool {
	return slices.ContainsFunc(reportedCounters, func(prefix string) bool { return strings.HasPrefix(counter, prefix) })
}

// proxyCounters returns the sums over all proxies of the reported counters.
func (r *Run) proxyCounters() string {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	sums := map[string]int64{}
	for _, proxy := range r.Proxies {
		counters, err := e2e.FetchCounters(client, proxy)
		if err != nil {
			r.Errorf("%s does not return its counters: %v", proxy.Name, err)
		}
		for name, value := range counters {
			sums[name] += value
		}
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		if isReported(name) && sums[name] != 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", name, sums[name]))
		}
	}
	return strings.Join(parts, " ")
}
