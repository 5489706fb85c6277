package distribution

import (
	"time"

	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// minRefusals is the number of refused connections that a node must report to be counted in
// RefusedNodes.
const minRefusals = 2

// acknowledgedPhase records since when every leased node has applied a phase of a writer
// role. Later writes that change only the role's reason do not affect it.
type acknowledgedPhase struct {
	term             uint64
	phase            string
	lastTransitionAt int64
	// version is the version of the role's record when evidence was first requested in
	// the phase. since is 0 until every leased node has applied that version.
	version store.Version
	since   time.Duration
}

// SyncFailoverEvidence returns the evidence on a database with synchronous
// replication.
func (m *Machine) SyncFailoverEvidence(database string, observations []Observation, wallNanos int64, now time.Duration) syncrepl.Evidence {
	m.coverage.countLapses(m.grantor.LapseCount(now))
	role, found := m.writerRole(database)
	evidence := syncrepl.Evidence{
		Database:        database,
		Writer:          role,
		Known:           found,
		Version:         m.state.Records[model.PrefixWriterRole+database].Version,
		WallNanos:       wallNanos,
		GatheredFor:     now - m.grantor.StartedAt(),
		Tenure:          m.ensureTenure(wallNanos),
		GapSequence:     m.coverage.gapSequence,
		CoveredSequence: m.coverage.covered[database],
		CommitBound:     m.coverage.bounds[database].Max(role.HighWatermark),
	}
	observed := map[string]bool{}
	for _, observation := range observations {
		instance := observation.Instance
		if instance.Database == database && instance.SyncReplication {
			observed[instance.Name] = true
			evidence.Observations = append(evidence.Observations, m.syncObservation(instance, now-observation.ObservedAt, now))
		}
	}
	for _, instance := range m.reports.instancesOf(database) {
		if !observed[instance.Name] {
			evidence.Observations = append(evidence.Observations, m.syncObservation(instance, neverObserved, now))
		}
	}
	m.markPhaseAcknowledged(&evidence, now)
	return evidence
}

// syncObservation merges this control node's own observation of an instance with the
// reports of the leased nodes. A node counts as reporting only if it recently received a
// response from the instance or reported a fault of it.
func (m *Machine) syncObservation(instance model.Instance, contactAge, now time.Duration) syncrepl.Observation {
	merged := syncrepl.Observation{
		Instance:      instance,
		ContactAge:    contactAge,
		AnswerAge:     neverObserved,
		UnobservedFor: now - max(m.reports.lastEvidence[instance.Name], m.grantor.StartedAt()),
	}
	for node, received := range m.reports.byInstance[instance.Name] {
		if m.grantor.HasLease(node, now) {
			addReport(&merged, received.report, now-received.receivedAt)
		}
	}
	return merged
}

// addReport adds the report of one node to an observation. The parameter age is the time
// since the report was received.
func addReport(merged *syncrepl.Observation, report InstanceReport, age time.Duration) {
	responseAge := report.ResponseAge + age
	merged.AnswerAge = min(merged.AnswerAge, responseAge)
	merged.ContactAge = min(merged.ContactAge, responseAge)
	isRecent := age <= reportWindow
	hasFault := isRecent && report.reportsFault()
	hasResponse := responseAge <= reportWindow
	if !hasFault && !hasResponse {
		return
	}
	merged.ReportingNodes++
	if isRecent && report.RefusedConnections >= minRefusals {
		merged.RefusedNodes++
	}
	if isRecent && report.OldestStatementAge > syncrepl.DefaultTiming().OverdueTimeout {
		merged.OverdueNodes++
	}
}

// markPhaseAcknowledged adds to the evidence for how long every leased node has applied the
// phase of the writer role.
func (m *Machine) markPhaseAcknowledged(evidence *syncrepl.Evidence, now time.Duration) {
	if !evidence.Known {
		return
	}
	role := evidence.Writer
	phase, found := m.acknowledgedPhases[evidence.Database]
	if !found || !phase.matches(role) {
		phase = acknowledgedPhase{term: role.Term, phase: role.Phase, lastTransitionAt: role.LastTransitionAt, version: evidence.Version}
	}
	settled := m.grantor.AllAcknowledged(phase.version, now)
	if !settled {
		phase.since = 0
	}
	if settled && phase.since == 0 {
		phase.since = now
	}
	m.acknowledgedPhases[evidence.Database] = phase
	if settled {
		evidence.Settled, evidence.SettledFor = true, now-phase.since
	}
}

func (p acknowledgedPhase) matches(role model.WriterRole) bool {
	return p.term == role.Term && p.phase == role.Phase && p.lastTransitionAt == role.LastTransitionAt
}
