package simulation

import (
	"time"

	"tansyseam/test/history"
	"tansyseam/test/standin"
)

const (
	// electionTime is the time after the start of a fleet at which it has a
	// control primary.
	electionTime = 1500 * time.Millisecond
	// firstSetAttempts and firstSetInterval are the number of submissions of the
	// first set by an operator, and the time between them.
	firstSetAttempts = 10
	firstSetInterval = 300 * time.Millisecond
	// setUpTime is the time after the start of a fleet at which it serves
	// callers.
	setUpTime = 5500 * time.Millisecond
	// callerStartTime is the time after the start of the callers in which they
	// open their first sessions.
	callerStartTime = 500 * time.Millisecond
	// operatorOvertime is the time for which operators continue after the fault
	// phase.
	operatorOvertime = 2 * time.Second
	// settleTime is the time after the fault phase for which requests may still
	// fail.
	settleTime = 12 * time.Second
)

// simulatorRule is the rule under which Result lists the violations that the
// simulator itself detects.
const simulatorRule = "simulation"

// Result is the result of one simulated run.
type Result struct {
	Seed uint64
	// Violations has the violations that the checks detected, by the name of the
	// rule.
	Violations map[string][]string
	Events     int
	Writes     int
	Reads      int
	// HistoryDigest covers every line of the history.
	HistoryDigest string
	// Terms is the highest term of any database, Epochs the highest epoch of the
	// control servers.
	Terms  uint64
	Epochs uint64
	// FaultPhases counts how often each fault occurred in each phase, by "fault
	// / phase".
	FaultPhases map[string]int
}

// Run simulates one seed. If log is not nil, it is called with every line of the
// history.
func Run(seed uint64, config Config, defects Defects, log func(string, ...any)) Result {
	f := newFleet(seed, config, defects)
	s := f.simulator
	if log != nil {
		s.log = log
	}
	f.setUp()
	f.startCallers(seed)
	warmUpStart := s.now
	s.runUntil(warmUpStart + config.WarmUp)
	faultsStart := s.now
	f.runFaults()
	recoveryStart := s.now
	f.recorder.addQuietSpan(warmUpStart+callerStartTime, faultsStart)
	f.recorder.addQuietSpan(recoveryStart+settleTime, recoveryStart+config.RecoveryDuration)
	f.recorder.addClosedFault(history.ClosedFault{
		Name: "all faults", BeforeFrom: int64(warmUpStart + callerStartTime), BeforeUntil: int64(faultsStart), At: int64(recoveryStart),
	})
	s.runUntil(recoveryStart + config.RecoveryDuration)
	return f.result(seed)
}

// setUp runs the fleet until it has a control primary and its first binding set.
func (f *fleet) setUp() {
	s := f.simulator
	start := s.now
	s.runUntil(start + electionTime)
	for range firstSetAttempts {
		f.submitSet(setSubmission{id: "first"})
		s.runUntil(s.now + firstSetInterval)
	}
	s.runUntil(start + setUpTime)
}

// runFaults runs the fault phase, in which operators also submit and read sets.
func (f *fleet) runFaults() {
	s := f.simulator
	end := s.now + f.config.FaultDuration
	if f.config.Script != nil {
		f.config.Script(f)
	} else {
		f.injectFaultsUntil(end)
	}
	f.submitSetsUntil(end + operatorOvertime)
	f.checkReadsUntil(end + operatorOvertime)
	f.checkSinglePrimaryUntil(end + f.config.RecoveryDuration)
	s.runUntil(end)
	if f.config.Script == nil {
		f.repairAll()
	}
	f.endFaultPhase()
}

func (f *fleet) result(seed uint64) Result {
	result := Result{Seed: seed, FaultPhases: f.faults.phaseCounts, HistoryDigest: f.simulator.historyDigest()}
	for _, event := range f.recorder.evidence.Events {
		result.Events++
		if event.Outcome == history.OutcomeKept {
			result.Writes++
		}
		if event.Outcome == history.OutcomeRead {
			result.Reads++
		}
	}
	for _, control := range f.controls {
		if control.consensus != nil {
			result.Epochs = max(result.Epochs, control.consensus.Record().Epoch)
		}
	}
	evidence := f.finalEvidence()
	routing := f.bestInformedNode().pool.Routing()
	for _, instance := range f.instances {
		if writer := routing.WriterRole(instance.database); writer.Primary != "" {
			evidence.Writers[instance.database] = writer.Primary
			result.Terms = max(result.Terms, writer.Term)
		}
	}
	result.Violations = history.Violations(evidence)
	if len(f.recorder.violations) > 0 {
		result.Violations[simulatorRule] = f.recorder.violations
	}
	return result
}

// finalEvidence returns the recorded evidence, with the final logs and the
// executions of the instances. Requests that are still outstanding count as cut off.
func (f *fleet) finalEvidence() history.Evidence {
	evidence := f.recorder.evidence
	evidence.End = int64(f.simulator.now)
	evidence.Logs, evidence.Writers = map[string]map[string][]standin.Entry{}, map[string]string{}
	for _, event := range f.recorder.outstanding {
		event.Outcome, event.AnsweredAt = history.OutcomeCut, int64(f.simulator.now)
		evidence.Events = append(evidence.Events, event)
	}
	for _, instance := range f.instances {
		if evidence.Logs[instance.database] == nil {
			evidence.Logs[instance.database] = map[string][]standin.Entry{}
		}
		evidence.Logs[instance.database][instance.name] = instance.entries
		evidence.Executions = append(evidence.Executions, instance.executions...)
	}
	return evidence
}

// bestInformedNode returns the running node with the newest version of the routing.
func (f *fleet) bestInformedNode() *node {
	var best *node
	for _, node := range f.nodes {
		if node.running && (best == nil || best.pool.Routing().Version().IsBefore(node.pool.Routing().Version())) {
			best = node
		}
	}
	return best
}
