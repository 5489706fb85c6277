package distribution

import (
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/state/model"
)

// reportCoverage tracks whether the positions received in this tenure cover all commits
// that nodes have acknowledged to their clients. Nodes report the positions of those
// commits. A gap is an event that may lose such reports: the start of the tenure, the
// restart of a node, or the lapse of a lease. A gap is covered once a position is known
// that is at or past every commit acknowledged before the gap.
type reportCoverage struct {
	// gapSequence is the number of the newest gap.
	gapSequence uint64
	// lapseCount is the number of lapsed leases at the last call of countLapses.
	lapseCount uint64
	// covered contains the number of the newest covered gap, and bounds the position
	// that covers it, by database.
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

// coverChangedTerms marks all gaps as covered for the databases that are in a new term,
// since a term begins past every commit of the earlier terms.
func (c *reportCoverage) coverChangedTerms(previous, current map[string]model.WriterRole) {
	for database, role := range current {
		before, found := previous[database]
		if found && role.Term != before.Term {
			c.covered[database] = c.gapSequence
		}
	}
}

// ConfirmCoverage records a position that is at or past every commit acknowledged before a
// gap of this tenure. A bound of another tenure, or of a gap that does not exist, is
// ignored.
func (m *Machine) ConfirmCoverage(bound syncrepl.ReportBound) {
	if bound.Tenure != m.tenure || bound.GapSequence > m.coverage.gapSequence {
		return
	}
	database := bound.Database
	m.coverage.covered[database] = max(m.coverage.covered[database], bound.GapSequence)
	m.coverage.bounds[database] = m.coverage.bounds[database].Max(bound.Position)
}
