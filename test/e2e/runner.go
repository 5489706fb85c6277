package e2e

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"tansyseam/test/history"
	"time"
)

// RunScenario runs one scenario on a new fleet and checks its history.
func RunScenario(scenario Scenario, shape Shape, programs Programs, directory string, seed uint64, scale float64) (Result, error) {
	result := Result{Scenario: scenario.Name, Shape: shape.Name, Seed: seed, Violations: map[string][]string{}, Outcomes: map[string]int{}}
	if err := os.RemoveAll(directory); err != nil {
		return result, err
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return result, err
	}
	f, err := Start(shape, programs, directory, scenario.Options)
	if err != nil {
		return result, err
	}
	defer f.Stop()
	if err := f.AwaitReady(30 * time.Second); err != nil {
		return result, err
	}
	evidence := history.Evidence{}
	run := &Run{Fleet: f, Evidence: &evidence, StartedAt: time.Now()}
	run.Callers = f.StartCallers(seed, scale)
	run.Sleep(time.Second)
	scenario.Run(run)
	run.Sleep(scenario.SettleTime)
	run.Callers.Stop()
	for _, list := range [][]*Process{f.Proxies, f.Controls} {
		for _, process := range list {
			if log, err := os.ReadFile(filepath.Join(directory, process.Name+".log")); err == nil && HasProductRace(string(log)) {
				run.Errorf("%s: data race, see its log", process.Name)
			}
		}
	}
	instances := map[string]string{}
	for _, process := range f.Instances {
		database, _, _ := strings.Cut(process.Name, "-")
		instances[process.Name] = database
		process.Signal(syscall.SIGCONT)
		process.Signal(syscall.SIGTERM)
	}
	for _, process := range f.Instances {
		process.AwaitExit(3 * time.Second)
	}
	loaded := history.Load(directory, instances, f.History.Events())
	for _, process := range f.Instances {
		past := history.Load(directory, map[string]string{process.Name + ".gone": "gone"}, nil)
		loaded.Executions = append(loaded.Executions, past.Executions...)
	}
	loaded.AcceptedSets, loaded.Restarts, loaded.ClosedFaults = evidence.AcceptedSets, evidence.Restarts, evidence.ClosedFaults
	result.Violations = history.Violations(loaded)
	if scenario.PlantedViolation != "" {
		_, found := result.Violations[scenario.PlantedViolation]
		result.Violations = map[string][]string{}
		if !found {
			run.Errorf("the planted defect was not seen: %s", scenario.PlantedViolation)
		}
	}
	if len(run.Failures) > 0 {
		result.Violations["scenario"] = run.Failures
	}
	result.Notes = run.Notes
	result.measure(loaded.Events, run.StartedAt)
	return result, nil
}

// HasProductRace says whether a log holds a report of the race detector that touches
// the product; the HTTP engine below syncs in ways that it does not see.
func HasProductRace(log string) bool {
	for _, report := range strings.Split(log, "WARNING: DATA RACE")[1:] {
		touched, _, _ := strings.Cut(report, "Goroutine ")
		if strings.Contains(touched, "tansyseam/internal") {
			return true
		}
	}
	return false
}
