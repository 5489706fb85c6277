package distribution

import (
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/state/model"
)

// reportCoverage tracks whether the tenure knows all commits that nodes have
// acknowledged to their clients. Nodes report the positions of those commits, and a
// gap is an event by which such reports may be lost: the start of the tenure, a node
// that restarts, and a lease that lapses. A gap is covered once a position is known
// that is at or past every commit acknowledged before it.
type reportCoverage struct {
	// gapSequence numbers the newest gap.
	gapSequence uint64
	// lapseCount is the number of lapsed leases that were counted as gaps.
	lapseCount uint64
	// covered are the newest gaps covered, and bounds the positions that cover them,
	// by database.
	covered map[string]uint64
	bounds  map[string]model.Position
}

func newReportCoverage() reportCoverage {
	return reportCoverage{gapSequence: 1, covered: map[string]uint64{}, bounds: map[string]model.Position{}}
}

// countLapses counts a gap if leases have lapsed since the last call.
func (c *reportCoverage) countLapses(lapseCount uint64) {
	if lapseCount != c.lapseCount {
		c.gapSequence++
		c.lapseCount = lapseCount
	}
}

// coverChangedTerms covers all gaps of the databases that are in a new term: it began
// past every commit of the terms before.
func (c *reportCoverage) coverChangedTerms(previous, current map[string]model.WriterRole) {
	for database, role := range current {
		before, found := previous[database]
		if found && role.Term != before.Term {
			c.covered[database] = c.gapSequence
		}
	}
}

// ConfirmCoverage handles a position that is at or past every commit acknowledged
// before a gap of this tenure. One of another tenure is ignored.
func (m *Machine) ConfirmCoverage(bound syncrepl.ReportBound) {
	if bound.Tenure != m.tenure || bound.GapSequence > m.coverage.gapSequence {
		return
	}
	database := bound.Database
	m.coverage.covered[database] = max(m.coverage.covered[database], bound.GapSequence)
	m.coverage.bounds[database] = m.coverage.bounds[database].Max(bound.Position)
}
