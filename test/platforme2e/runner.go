package platforme2e

import (
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"tansyseam/test/e2e"
	"tansyseam/test/linehistory"
)

// RunScenario runs one scenario and checks its history.
func RunScenario(scenario Scenario, root string, programs e2e.Programs, directory string, seed uint64) (Result, error) {
	result := Result{Scenario: scenario.Name, Codes: map[string]int{}}
	if err := os.RemoveAll(directory); err != nil {
		return result, err
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return result, err
	}
	t, err := Start(root, programs, directory, 2)
	if err != nil {
		return result, err
	}
	defer t.Stop()
	t.StartLoad(seed)
	t.AwaitService("at the start", 20*time.Second)
	began := t.group.Now()
	scenario.Run(t)
	t.AwaitService("at the end", 20*time.Second)
	t.loadGroup.Stop(20 * time.Second)
	if status := t.Operator.Fetch(); status != http.StatusOK {
		t.Errorf("the configuration was read back with %d", status)
	}
	history := t.History.Copy()
	history.End = t.group.Now()
	history.Logs = map[string][]linehistory.LogEntry{}
	for _, service := range t.Services {
		history.Logs[service.Name] = service.Log()
	}
	history.Bounds = linehistory.Bounds{Apply: 3 * time.Second, Drain: 7 * time.Second, Recover: 12 * time.Second, Slack: time.Second}
	if scenario.Quiet {
		history.QuietSpans = []linehistory.Span{{From: began, Until: history.End}}
	}
	result.Violations = linehistory.Violations(history)
	for _, process := range append(slices.Clone(t.Proxies), t.Controls...) {
		log, err := os.ReadFile(filepath.Join(directory, process.Name+".log"))
		if err == nil && e2e.HasProductRace(string(log)) {
			t.Errorf("%s: data race, see its log", process.Name)
		}
		for _, word := range []string{"panic:", "fatal error:"} {
			if err == nil && strings.Contains(string(log), word) {
				t.Errorf("%s: %s, see its log", process.Name, word)
			}
		}
	}
	if len(t.Failures) > 0 {
		result.Violations["scenario"] = t.Failures
	}
	result.Notes, result.PromoteCalls = t.Notes, t.Platform.PromoteCalls()
	result.measure(history)
	return result, nil
}
