package linepool

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/routing"
	"tansyseam/internal/state/model"
)

// ApplyUpdate applies the control primary's answer to an update request. sent
// is the time at which the request was sent.
func (m *Machine) ApplyUpdate(update distribution.Update, sent, now time.Duration) {
	if update.Snapshot != nil {
		m.Count("docs_taken", 1)
	}
	for _, change := range m.Routing().ApplyUpdate(update, sent, now) {
		m.Emit(WriterChanged{Change: change})
		m.onWriterChanged(change, now)
	}
	if update.FromPrimary {
		m.sampleMinPositions(sent, now)
	}
	if update.Instances != nil {
		m.listVersion = update.ListVersion
		for _, info := range update.Instances {
			m.UpdateInstance(info, now)
		}
	}
	m.updateCapacities(m.Routing().Snapshot().NewestSet())
	m.EffectiveSet(now)
	m.admitConnecting(now)
	m.dispatchAll(now)
}

// sampleMinPositions samples the positions that the control primary holds for
// databases whose term is not open. They cover every commit that was confirmed.
func (m *Machine) sampleMinPositions(sent, now time.Duration) {
	for _, database := range m.databases.All() {
		writer := m.Routing().WriterRole(database.name)
		if writer.Phase != model.PhaseOpen && writer.MinPosition != (model.Position{}) {
			database.recordPosition(sent, writer.MinPosition, now)
		}
	}
}

func (m *Machine) onWriterChanged(change routing.WriterRoleChanged, now time.Duration) {
	m.Count("writer_moves", 1)
	database := m.database(change.Database)
	database.recordWriterChange(change, now)
	former := m.instance(change.Previous.Primary)
	wasOpen := change.Previous.Phase == model.PhaseOpen
	if wasOpen && former != nil && !isTermOpen(change.Current, change.Previous.Term) {
		m.releaseFormerPrimary(database, former, change.Current, now)
	}
}

func (d *databaseState) recordWriterChange(change routing.WriterRoleChanged, now time.Duration) {
	if change.Current.Phase != model.PhaseOpen {
		if d.writerClosedAt == 0 {
			d.writerClosedAt = now
		}
		return
	}
	d.writerClosedAt, d.closeReported = 0, false
	if change.Previous.Term != change.Current.Term {
		d.samples = nil
	}
}

// isTermOpen reports whether a term is open according to a writer role.
func isTermOpen(writer model.WriterRole, term uint64) bool {
	return writer.Phase == model.PhaseOpen && writer.Term == term
}

// releaseFormerPrimary ends the work at a former primary that only a primary may
// do. Strict reads are queued for the next primary. Transactions that may write
// are lost, unless their commit has been sent.
func (m *Machine) releaseFormerPrimary(database *databaseState, former *instanceState, current model.WriterRole, now time.Duration) {
	for _, request := range slices.Clone(database.inFlight) {
		if request.isStrictReadAt(former) && !isTermOpen(current, request.term) {
			m.requeue(request, now)
		}
	}
	for _, conn := range slices.Clone(former.conns) {
		if conn.hasUncommittedWriter() && !isTermOpen(current, conn.term) {
			m.loseTransaction(conn.owner, now)
		}
	}
	m.closeIdleConns(former, now)
}

// isStrictReadAt reports whether the request is a strict read that is in flight
// at an instance, outside a transaction.
func (request *Request) isStrictReadAt(instance *instanceState) bool {
	if request.phase != phaseInFlight || !request.isRetryableRead() || !request.strict {
		return false
	}
	return len(request.attempts) > 0 && request.attempts[0].conn.instance == instance
}

// hasUncommittedWriter reports whether a transaction that may write is open on
// the connection and its commit has not been sent.
func (c *Conn) hasUncommittedWriter() bool {
	if c.owner == nil || c.owner.transaction == nil || c.owner.transaction.readOnly {
		return false
	}
	request := c.owner.request
	return request == nil || !request.commit || !request.isSent()
}

// UpdateRequest returns the next request for updates to the control primary.
// The request reports that the node has observed which terms are closing. From
// then on the node confirms no commit of those terms.
func (m *Machine) UpdateRequest(now time.Duration) distribution.UpdateRequest {
	m.EffectiveSet(now)
	request := m.Routing().DeltaUpdateRequest(m.observations(now), now)
	request.ListVersion, request.Incarnation = m.listVersion, m.node.Incarnation
	for _, database := range m.databases.All() {
		database.closeReported = database.writerClosedAt != 0
	}
	return request
}

// Observations returns what the node has to report to the control primary,
// without what earlier reports contained.
func (m *Machine) Observations(now time.Duration) distribution.NodeReport {
	return m.Routing().DeltaReport(m.observations(now), now)
}

// Ages of an overdue answer. An instance is reported from reportOverdueAge on.
// If it is the primary of its database, a report is sent at once each time the
// age exceeds one of suspectAges. The last of these is slightly longer than
// syncrepl's OverdueTimeout, so that the report counts against the primary as
// soon as it arrives.
var (
	reportOverdueAge = 300 * time.Millisecond
	suspectAges      = []time.Duration{reportOverdueAge, 610 * time.Millisecond}
)

const (
	// maxReportedRefusals is the number of consecutive refused connections at
	// which an instance counts as down. Further refusals change no decision.
	maxReportedRefusals = 2
	// refusalLevel is the suspicion level that each refusal adds, where each
	// exceeded age adds 1. It is higher than the sum for all ages, so that a
	// refusal always raises the level.
	refusalLevel = 4
)

// observations returns the node's full report: the primaries, the instances
// that are being promoted, the instances that refuse connections or have
// overdue answers, and the high watermarks.
func (m *Machine) observations(now time.Duration) distribution.NodeReport {
	report := distribution.NodeReport{Node: m.node.Name, HighWatermarks: map[string]model.Position{}}
	for _, instance := range m.instances.All() {
		overdue := instance.overdue(now)
		writer := m.Routing().WriterRole(instance.database.name)
		hasRole := writer.Primary == instance.info.Name || writer.Promoting == instance.info.Name
		if !hasRole && instance.refusals == 0 && overdue < reportOverdueAge {
			continue
		}
		observed := instance.info
		observed.Position = instance.position
		report.Reports = append(report.Reports, distribution.InstanceReport{
			Instance: observed, ResponseAge: now - instance.lastResponse, RefusedConnections: instance.refusals, OldestStatementAge: overdue,
		})
	}
	for _, database := range m.databases.All() {
		if database.highWatermark != (model.Position{}) {
			report.HighWatermarks[database.name] = database.highWatermark
		}
	}
	return report
}

// reportSuspects requests a report at once when the suspicion level of a
// primary rises.
func (m *Machine) reportSuspects(now time.Duration) {
	for _, database := range m.databases.All() {
		_, primary, open := m.writer(database)
		if !open {
			continue
		}
		level := primary.suspicionLevel(now)
		if level > primary.reportedLevel {
			m.Emit(Report{})
		}
		primary.reportedLevel = level
	}
}

func (i *instanceState) suspicionLevel(now time.Duration) int {
	level := min(i.refusals, maxReportedRefusals) * refusalLevel
	overdue := i.overdue(now)
	for _, age := range suspectAges {
		if overdue > age {
			level++
		}
	}
	return level
}
