package e2e

import (
	"os"
	"slices"
	"syscall"
	"time"

	"tansyseam/test/history"
)

const (
	readyTimeout = 30 * time.Second
	// warmUpTime is how long the load runs before a scenario begins.
	warmUpTime = time.Second
)

// RunScenario runs one scenario on a new fleet in a directory, which is emptied
// first, and checks the history. It returns an error if the fleet does not start or does
// not become ready.
func RunScenario(scenario Scenario, shape Shape, programs Programs, directory string, seed uint64, scale float64) (Result, error) {
	result := Result{Scenario: scenario.Name, Shape: shape.Name, Seed: seed, Violations: map[string][]string{}, Outcomes: map[string]int{}}
	if err := EmptyDirectory(directory); err != nil {
		return result, err
	}
	fleet, err := Start(shape, programs, directory, scenario.Options)
	if err != nil {
		return result, err
	}
	defer fleet.Stop()
	if err := fleet.AwaitReady(readyTimeout); err != nil {
		return result, err
	}
	run := &Run{Fleet: fleet, Recorder: Recorder{StartedAt: time.Now()}, Evidence: &history.Evidence{}}
	run.play(scenario, seed, scale)
	run.CheckLogs(directory, slices.Concat(run.Proxies, run.Controls))
	run.stopInstances()
	evidence := run.collectEvidence()
	result.Violations = run.judge(scenario, history.Violations(evidence))
	result.Notes = run.Notes
	result.measure(evidence.Events, run.StartedAt)
	return result, nil
}

// EmptyDirectory creates a directory and removes everything that an earlier run left in
// it.
func EmptyDirectory(directory string) error {
	if err := os.RemoveAll(directory); err != nil {
		return err
	}
	return os.MkdirAll(directory, 0o755)
}

// play runs a scenario under load.
func (r *Run) play(scenario Scenario, seed uint64, scale float64) {
	r.Callers = r.StartCallers(seed, scale)
	r.Sleep(warmUpTime)
	scenario.Run(r)
	r.Sleep(scenario.SettleTime)
	r.Callers.Stop()
}

// stopInstances stops the instances, so that their files are complete.
func (r *Run) stopInstances() {
	for _, process := range r.Instances {
		process.Signal(syscall.SIGCONT)
		process.Signal(syscall.SIGTERM)
	}
	for _, process := range r.Instances {
		process.AwaitExit(3 * time.Second)
	}
}

// collectEvidence combines the callers' history, the instances' files (also those in
// data directories that removeData renamed) and the evidence that the run recorded.
func (r *Run) collectEvidence() history.Evidence {
	databases := map[string]string{}
	for _, process := range r.Instances {
		databases[process.Name] = process.Database
	}
	evidence := history.Load(r.Directory, databases, r.History.Events())
	for _, process := range r.Instances {
		removed := history.Load(r.Directory, map[string]string{process.Name + removedSuffix: "gone"}, nil)
		evidence.Executions = append(evidence.Executions, removed.Executions...)
	}
	evidence.AcceptedSets, evidence.Restarts, evidence.ClosedFaults = r.Evidence.AcceptedSets, r.Evidence.Restarts, r.Evidence.ClosedFaults
	return evidence
}

// removedSuffix is the suffix that removeData adds to the name of a data directory.
const removedSuffix = ".gone"

// removeData renames a process's data directory, so that the process restarts without
// its data.
func removeData(process *Process) {
	_ = os.Rename(process.DataDirectory, process.DataDirectory+removedSuffix)
}

// judge returns the violations of rules together with the failures of the run. In a
// scenario with a planted violation, the run fails unless the planted rule is violated.
// All violations of rules are then expected and are not returned.
func (r *Run) judge(scenario Scenario, violations map[string][]string) map[string][]string {
	if scenario.PlantedViolation != "" {
		if _, found := violations[scenario.PlantedViolation]; !found {
			r.Errorf("the planted defect was not detected: no violation of %s", scenario.PlantedViolation)
		}
		violations = map[string][]string{}
	}
	if len(r.Failures) > 0 {
		violations["scenario"] = r.Failures
	}
	return violations
}
