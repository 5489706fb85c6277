package simulation

import (
	"time"

	"tansyseam/internal/state/model"
	"tansyseam/test/linehistory"
)

const (
	// lineSetUpTime is the time that a fleet takes from its first configuration
	// until it serves clients.
	lineSetUpTime = 4 * time.Second
	// lineWarmUp is the time for which clients are served before the first
	// fault.
	lineWarmUp = 2 * time.Second
	// firstVersionRetries is the number of retries of the first configuration.
	// There are many, because it may be submitted before there is a control
	// primary.
	firstVersionRetries = 20
	// operatorEnd is the time before the end of a run at which operators stop.
	operatorEnd = 8 * time.Second
	// recoveryTimeout is the time after the last fault in which operations may
	// still fail.
	recoveryTimeout = 12 * time.Second
	// recoveryCheckSpan is the span after recoveryTimeout in which operations
	// are counted.
	recoveryCheckSpan = 3500 * time.Millisecond
	// writerSettleTime is the maximum time since the last transition of a writer
	// role that is not open at the end of a run.
	writerSettleTime = 5 * time.Second
	// minRecoveryOperations is the minimum number of operations that must start
	// in recoveryCheckSpan. Three in four of them must be served.
	minRecoveryOperations = 10
)

// LineResult is the result of one simulated run.
type LineResult struct {
	Seed uint64
	// Violations has the descriptions of violations, by the name of the rule.
	Violations map[string][]string
	// Served counts the successful operations, Writes the acknowledged commits
	// of writes.
	Served int
	Writes int
	// Terms is the highest term of any database.
	Terms uint64
	// HistoryDigest covers every line of the history.
	HistoryDigest string
	// FailureCodes counts the failures of clients' queries, by code.
	FailureCodes map[string]int
	// FaultPhases counts how often each fault began in each phase of the
	// fleet, with "fault / phase" as the key.
	FaultPhases map[string]int
}

// RunLines simulates one seed of a fleet of line sessions. If log is not nil, it
// receives every line of the history.
func RunLines(seed uint64, config LineConfig, defects LineDefects, log func(string, ...any)) LineResult {
	l := newLineFleet(seed, config, defects)
	s := l.simulator
	if log != nil {
		s.log = log
	}
	s.runUntil(s.now + electionTime)
	l.checker.versions.newest = 1
	l.submitVersion(1, firstVersionRetries)
	s.runUntil(s.now + lineSetUpTime)
	l.startClients(seed)
	s.runUntil(s.now + lineWarmUp)
	faultsEnd := s.now + config.FaultDuration
	end := faultsEnd + config.RecoveryDuration
	if config.Script != nil {
		config.Script(l)
	} else {
		l.injectFaultsUntil(faultsEnd)
	}
	l.submitVersionsUntil(end - operatorEnd)
	l.checkSinglePrimaryUntil(end)
	s.runUntil(faultsEnd)
	l.repairAll()
	l.checker.recoveryCheckFrom = s.now + recoveryTimeout
	s.runUntil(end)
	return l.result(seed)
}

func (l *lineFleet) result(seed uint64) LineResult {
	l.checkRecovery()
	l.checkPrimaries()
	l.checkNewestVersion()
	checker := l.checker
	if len(l.recorder.violations) > 0 {
		checker.violations[simulatorRule] = l.recorder.violations
	}
	result := LineResult{
		Seed: seed, Violations: checker.violations, Served: checker.served, Writes: checker.writes,
		FailureCodes: checker.failureCodes, FaultPhases: l.faults.phaseCounts, HistoryDigest: l.simulator.historyDigest(),
	}
	for _, database := range l.databases {
		result.Terms = max(result.Terms, l.newestTerms[database])
	}
	return result
}

// checkRecovery checks that clients are served again after the last fault.
func (l *lineFleet) checkRecovery() {
	started, served := l.checker.recoveryStarted, l.checker.recoveryServed
	if started < minRecoveryOperations || served*4 < started*3 {
		l.checker.addViolation(linehistory.RuleFailedRecoveries, "only %d of %d operations were served from %v after the repair of all faults on", served, started, recoveryTimeout)
	}
}

// checkPrimaries checks that each database has a primary at the end, and that it
// has all acknowledged commits.
func (l *lineFleet) checkPrimaries() {
	for _, database := range l.databases {
		primary := l.primaryOf(database)
		if primary == nil {
			l.checker.addViolation(linehistory.RuleFailedRecoveries, "%s has no primary at the end", database)
			continue
		}
		l.checker.checkComplete(primary, "the primary at the end")
	}
}

// checkNewestVersion checks that the control primary has the newest acknowledged
// configuration. It also checks the writer roles.
func (l *lineFleet) checkNewestVersion() {
	newest, held := l.checker.versions.newestAcknowledged(), uint64(0)
	for _, primary := range l.primaries() {
		held = primary.distributor.Snapshot().NewestSet().Version
		l.checkWritersOpen(primary)
	}
	if held < newest {
		l.checker.addViolation(linehistory.RuleLostCommits, "version %d was acknowledged, but the newest version of the control primary is %d", newest, held)
	}
}

// checkWritersOpen checks that every writer role is open, or changed within
// writerSettleTime.
func (l *lineFleet) checkWritersOpen(control *controlServer) {
	for _, database := range l.databases {
		writer := control.distributor.Snapshot().Writers[database]
		if writer.Phase != model.PhaseOpen && control.wallNow()-writer.LastTransitionAt > int64(writerSettleTime) {
			l.checker.addViolation(linehistory.RuleFailedRecoveries, "the writer role of %s is still %s at the end: %s", database, writer.Phase, writer.Reason)
		}
	}
}
