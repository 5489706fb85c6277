package platforme2e

import (
	"net/http"
	"slices"
	"time"

	"tansyseam/test/e2e"
	"tansyseam/test/linehistory"
)

const (
	serviceCount   = 2
	serviceTimeout = 20 * time.Second
)

// bounds are the time limits that the rules check.
var bounds = linehistory.Bounds{Apply: 3 * time.Second, Drain: 7 * time.Second, Recover: 12 * time.Second, Slack: 200 * time.Millisecond}

// RunScenario runs one scenario in a directory, which is emptied first, and
// checks the history. The root is that of the source tree. It returns an error if the
// fleet does not start or does not become ready.
func RunScenario(scenario Scenario, root string, programs e2e.Programs, directory string, seed uint64) (Result, error) {
	result := Result{Scenario: scenario.Name, Codes: map[string]int{}}
	if err := e2e.EmptyDirectory(directory); err != nil {
		return result, err
	}
	r, err := Start(root, programs, directory, serviceCount)
	if err != nil {
		return result, err
	}
	defer r.Stop()
	history := r.play(scenario, seed)
	r.Logf("counters of the proxies: %s", r.proxyCounters())
	result.Violations = linehistory.Violations(history)
	r.CheckLogs(directory, slices.Concat(r.Proxies, r.Controls))
	if len(r.Failures) > 0 {
		result.Violations["scenario"] = r.Failures
	}
	result.Notes, result.PromoteCalls = r.Notes, r.Platform.PromoteCalls()
	result.measure(history)
	return result, nil
}

// play runs a scenario under load and returns the history.
func (r *Run) play(scenario Scenario, seed uint64) linehistory.History {
	r.StartLoad(seed, scenario.AdjustMix)
	r.AwaitService("at the start", serviceTimeout)
	startedAt := r.group.Now()
	scenario.Run(r)
	r.AwaitService("at the end", serviceTimeout)
	r.busyGroup.Stop(stopTimeout)
	r.loadGroup.Stop(stopTimeout)
	if status := r.Operator.Fetch(); status != http.StatusOK {
		r.Errorf("fetching the configuration was answered with status %d", status)
	}
	history := r.History.Copy()
	history.End, history.Bounds, history.Logs = r.group.Now(), bounds, map[string][]linehistory.LogEntry{}
	for _, service := range r.Services {
		history.Logs[service.Name] = service.Log()
	}
	if scenario.FaultFree {
		history.QuietSpans = []linehistory.Span{{From: startedAt, Until: history.End}}
	}
	return history
}
