package distribution

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// acknowledgedRole is a writer role that every leased node has applied.
type acknowledgedRole struct {
	version store.Version
	// since is the time at which every leased node was first found to have applied it.
	since time.Duration
	// primaryPosition is the position of the primary that was known at the first contact
	// with it after since. hasPosition is true once there was such a contact.
	primaryPosition model.Position
	hasPosition     bool
}

// AsyncFailoverEvidence returns the evidence on a database with asynchronous
// replication.
func (m *Machine) AsyncFailoverEvidence(database string, observations []Observation, wallNanos int64, now time.Duration) asyncrepl.Evidence {
	role, found := m.writerRole(database)
	evidence := asyncrepl.Evidence{
		Database:    database,
		Writer:      role,
		Known:       found,
		WallNanos:   wallNanos,
		GatheredFor: now - m.grantor.StartedAt(),
	}
	for node, receivedAt := range m.reports.lastReceived {
		if now-receivedAt < reportWindow && m.grantor.HasLease(node, now) {
			evidence.ReportingNodes++
		}
	}
	for _, observation := range observations {
		if observation.Instance.Database == database {
			evidence.Observations = append(evidence.Observations, m.asyncObservation(observation, now))
		}
	}
	m.markRoleAcknowledged(&evidence, now)
	return evidence
}

// asyncObservation merges this control node's own observation of an instance with the
// reports of the leased nodes. The instance's fields are taken from the newest of these.
func (m *Machine) asyncObservation(own Observation, now time.Duration) asyncrepl.Observation {
	merged := asyncrepl.Observation{Instance: own.Instance, ContactAge: now - own.ObservedAt, PositionAge: neverObserved}
	newest := merged.ContactAge
	reports := m.reports.byInstance[own.Instance.Name]
	for _, node := range slices.Sorted(maps.Keys(reports)) {
		report, age := reports[node].report, now-reports[node].receivedAt
		if age > reportWindow || !m.grantor.HasLease(node, now) {
			continue
		}
		merged.ReportingNodes++
		contactAge := min(report.AnnouncementAge, report.ResponseAge) + age
		merged.ContactAge = min(merged.ContactAge, contactAge)
		if contactAge > asyncrepl.DefaultTiming().SilenceTimeout {
			merged.SilentNodes++
		}
		// A response may contain no position, so the greater of the two ages counts.
		instanceAge := age + min(report.AnnouncementAge, max(report.PositionAge, report.ResponseAge))
		if instanceAge < newest {
			newest, merged.Instance, merged.PositionAge = instanceAge, report.Instance, report.PositionAge+age
		}
		merged.CommitWait = max(merged.CommitWait, report.MaxCommitWait)
	}
	return merged
}

// markRoleAcknowledged adds to the evidence for how long every leased node has applied the
// writer role, and the position of the primary that was known at the first contact since
// then.
func (m *Machine) markRoleAcknowledged(evidence *asyncrepl.Evidence, now time.Duration) {
	database := evidence.Database
	record, found := m.state.Records[model.PrefixWriterRole+database]
	if !found || !m.grantor.AllAcknowledged(record.Version, now) {
		delete(m.acknowledgedRoles, database)
		return
	}
	acknowledged, found := m.acknowledgedRoles[database]
	if !found || acknowledged.version != record.Version {
		acknowledged = acknowledgedRole{version: record.Version, since: now}
	}
	settledFor := now - acknowledged.since
	if !acknowledged.hasPosition {
		acknowledged.primaryPosition, acknowledged.hasPosition = recentPrimaryPosition(evidence, settledFor)
	}
	m.acknowledgedRoles[database] = acknowledged
	evidence.Settled, evidence.SettledFor = true, settledFor
	evidence.PrimaryPosition, evidence.HasPrimaryPosition = acknowledged.primaryPosition, acknowledged.hasPosition
}

// recentPrimaryPosition returns the known position of the primary if the last contact with
// it is less than maxAge ago. The position itself may be older than that contact.
func recentPrimaryPosition(evidence *asyncrepl.Evidence, maxAge time.Duration) (model.Position, bool) {
	index := slices.IndexFunc(evidence.Observations, func(observation asyncrepl.Observation) bool {
		return observation.Instance.Name == evidence.Writer.Primary && observation.ContactAge < maxAge
	})
	if index < 0 {
		return model.Position{}, false
	}
	return evidence.Observations[index].Instance.Position, true
}
