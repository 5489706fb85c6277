package simulation

import (
	"time"

	"tansyseam/internal/state/model"
	"tansyseam/test/linehistory"
)

const (
	// lineSetUpTime is how long a fleet takes from its first configuration to
	// serving clients, lineWarmUp how long clients are served before the
	// first fault.
	lineSetUpTime = 4 * time.Second
	lineWarmUp    = 2 * time.Second
	// firstVersionAttempts are those of the first configuration, which comes
	// before there may be a primary.
	firstVersionAttempts = 20
	// operatorEnd is how long before the end of a run operators stop.
	operatorEnd = 8 * time.Second
	// recoveryTimeout is how long after the last fault operations may still
	// fail, recoveryCheckSpan the span after it in which they are counted.
	recoveryTimeout   = 12 * time.Second
	recoveryCheckSpan = 3500 * time.Millisecond
	// writerSettleTime is how long before the end of a run a writer role may
	// have moved.
	writerSettleTime = 5 * time.Second
	// minRecoveryOperations are those that must be counted after recovery, of
	// which three in four must be served.
	minRecoveryOperations = 10
)

// LineResult is what one simulated run showed.
type LineResult struct {
	Seed uint64
	// Violations has what the checks found, by the name of the rule.
	Violations map[string][]string
	// Served counts operations, Writes those that were committed.
	Served int
	Writes int
	// Terms is the highest term of any database.
	Terms uint64
	// HistoryDigest covers every line of the history.
	HistoryDigest string
	// FailureCodes counts the failures that clients met, by code.
	FailureCodes map[string]int
	// FaultPhases counts how often each fault met each phase, under "fault /
	// phase".
	FaultPhases map[string]int
}

// RunLines simulates one seed of a fleet of line sessions. Log, where given,
// receives every line of the history.
func RunLines(seed uint64, config LineConfig, defects LineDefects, log func(string, ...any)) LineResult {
	l := newLineFleet(seed, config, defects)
	s := l.simulator
	if log != nil {
		s.log = log
	}
	s.runUntil(s.now + electionTime)
	l.checker.versions.newest = 1
	l.submitVersion(1, firstVersionAttempts)
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
	begun, served := l.checker.recoveryBegun, l.checker.recoveryServed
	if begun < minRecoveryOperations || served*4 < begun*3 {
		l.checker.addViolation(linehistory.RuleFailedRecoveries, "%d of %d served from %v after all was mended on", served, begun, recoveryTimeout)
	}
}

// checkPrimaries checks that each database has a primary at the end, with all
// acknowledged commits.
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

// checkNewestVersion checks that the control primary holds the newest
// acknowledged configuration.
func (l *lineFleet) checkNewestVersion() {
	newest, held := l.checker.versions.newestAcknowledged(), uint64(0)
	for _, primary := range l.primaries() {
		held = primary.distributor.Snapshot().NewestSet().Version
		l.checkWritersOpen(primary)
	}
	if held < newest {
		l.checker.addViolation(linehistory.RuleLostCommits, "version %d was acknowledged, %d is held", newest, held)
	}
}

// checkWritersOpen checks that every writer role is open, or has moved just
// now.
func (l *lineFleet) checkWritersOpen(control *controlServer) {
	for _, database := range l.databases {
		writer := control.distributor.Snapshot().Writers[database]
		if writer.Phase != model.PhaseOpen && control.wallNow()-writer.LastTransitionAt > int64(writerSettleTime) {
			l.checker.addViolation(linehistory.RuleFailedRecoveries, "%s is %s at the end: %s", database, writer.Phase, writer.Reason)
		}
	}
}
