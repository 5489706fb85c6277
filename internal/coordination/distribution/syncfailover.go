package distribution

import (
	"time"

	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// minRefusals is how many refused connections make a node count an instance as down.
const minRefusals = 2

// acknowledgedPhase is since when every leased node has applied a phase of a writer
// role. Later writes that change only the reason leave it as it is.
type acknowledgedPhase struct {
	term             uint64
	phase            string
	lastTransitionAt int64
	// version is the first one with the phase; since is 0 while not every leased node
	// has applied it.
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

// syncObservation joins what this node knows of an instance with the reports of the
// leased nodes: of those, the ones count that lately had a response or noticed a fault.
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

// addReport adds the report of one node, received some time ago, to an observation.
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

// markPhaseAcknowledged adds since when every leased node has applied the phase.
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
