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

// bounds are the times within which the rules want effects.
var bounds = linehistory.Bounds{Apply: 3 * time.Second, Drain: 7 * time.Second, Recover: 12 * time.Second, Slack: time.Second}

// RunScenario runs one scenario in a directory, which is emptied first, and
// checks the history. The root is that of the source tree. The error is given
// where no fleet came up.
func RunScenario(scenario Scenario, root string, programs e2e.Programs, directory string, seed uint64) (Result, error) {
	result := Result{Scenario: scenario.Name, Codes: map[string]int{}}
	if err := e2e.EmptyDirectory(directory); err != nil {
		return result, err
	}
	t, err := Start(root, programs, directory, serviceCount)
	if err != nil {
		return result, err
	}
	defer t.Stop()
	history := t.play(scenario, seed)
	result.Violations = linehistory.Violations(history)
	t.CheckLogs(directory, slices.Concat(t.Proxies, t.Controls))
	if len(t.Failures) > 0 {
		result.Violations["scenario"] = t.Failures
	}
	result.Notes, result.PromoteCalls = t.Notes, t.Platform.PromoteCalls()
	result.measure(history)
	return result, nil
}

// play runs a scenario under load and returns the history.
func (t *Run) play(scenario Scenario, seed uint64) linehistory.History {
	t.StartLoad(seed)
	t.AwaitService("at the start", serviceTimeout)
	startedAt := t.group.Now()
	scenario.Run(t)
	t.AwaitService("at the end", serviceTimeout)
	t.loadGroup.Stop(stopTimeout)
	if status := t.Operator.Fetch(); status != http.StatusOK {
		t.Errorf("the configuration was read back with %d", status)
	}
	history := t.History.Copy()
	history.End, history.Bounds, history.Logs = t.group.Now(), bounds, map[string][]linehistory.LogEntry{}
	for _, service := range t.Services {
		history.Logs[service.Name] = service.Log()
	}
	if scenario.Quiet {
		history.QuietSpans = []linehistory.Span{{From: startedAt, Until: history.End}}
	}
	return history
}
