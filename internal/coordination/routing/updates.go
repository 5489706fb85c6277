package routing

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/state/model"
)

// WriterRoleChanged is the effect of a change of a writer role's term or phase.
type WriterRoleChanged struct {
	Database string
	Previous model.WriterRole
	Current  model.WriterRole
}

// UpdateRequest returns the node's next request, with a complete report. The argument
// commitWaits is, for each replica, how long the oldest pending commit at this node has
// been waiting for it.
func (m *Machine) UpdateRequest(now time.Duration, commitWaits map[string]time.Duration) distribution.UpdateRequest {
	return m.newRequest(m.Report(now, commitWaits), now)
}

// DeltaUpdateRequest returns the node's next request, with a report that the caller made
// from its own observations of the instances. It omits the parts of the report that the
// control primary has received with earlier requests.
func (m *Machine) DeltaUpdateRequest(report distribution.NodeReport, now time.Duration) distribution.UpdateRequest {
	return m.newRequest(m.reporter.NextReport(report, now), now)
}

// DeltaReport returns a report to be sent in addition to the requests. It omits the parts
// that the control primary has received with earlier requests.
func (m *Machine) DeltaReport(report distribution.NodeReport, now time.Duration) distribution.NodeReport {
	return m.reporter.Delta(report, now)
}

func (m *Machine) newRequest(report distribution.NodeReport, now time.Duration) distribution.UpdateRequest {
	active, _ := m.ActiveSet(now)
	m.requestCount++
	request := distribution.UpdateRequest{
		Node:           m.self,
		Kind:           model.KindProxy,
		Version:        m.snapshot.Version,
		Reports:        report.Reports,
		HighWatermarks: report.HighWatermarks,
		BaselineTenure: report.BaselineTenure,
		ActiveSequence: active.Sequence,
		RequestNumber:  m.requestCount,
		AcceptsDelta:   true,
		WithoutLease:   m.lease.ConfirmExpired(now),
	}
	if !m.refusesChanges {
		request.AcceptsSetChanges, request.HeldSets = true, m.heldSets
	}
	return request
}

// Report returns the node's complete report, with the instances ordered by name. The
// argument commitWaits is, for each replica, how long the oldest pending commit at this
// node has been waiting for it.
func (m *Machine) Report(now time.Duration, commitWaits map[string]time.Duration) distribution.NodeReport {
	report := distribution.NodeReport{Node: m.self, HighWatermarks: map[string]model.Position{}}
	for _, name := range slices.Sorted(maps.Keys(m.observations)) {
		observation := m.observations[name]
		if observation.Instance.Name == "" {
			continue
		}
		report.Reports = append(report.Reports, distribution.InstanceReport{
			Instance:        observation.Instance,
			AnnouncementAge: now - observation.LastAnnouncement,
			ResponseAge:     now - observation.LastResponse,
			PositionAge:     now - observation.LastPositionQuery,
			MaxCommitWait:   commitWaits[name],
		})
	}
	maps.Copy(report.HighWatermarks, m.highWatermarks)
	return report
}

// ApplyUpdate handles the update that answers the request sent at sentAt, and returns
// the changes of writer roles. The new snapshot takes effect at once: for example,
// nothing may be written in a term that it closes. The version in the next request
// acknowledges the snapshot. A delta on a version other than the node's changes neither
// the snapshot nor the lease, since a lease is valid only with the newest snapshot.
func (m *Machine) ApplyUpdate(update distribution.Update, sentAt, now time.Duration) []WriterRoleChanged {
	var changes []WriterRoleChanged
	m.reporter.Acknowledge(update.Tenure)
	if update.Snapshot != nil && m.snapshot.Version.IsBefore(update.Snapshot.Version) {
		complete, ok := m.snapshot.Apply(*update.Snapshot)
		m.refusesChanges = !ok
		if !ok {
			return nil
		}
		changes = m.applySnapshot(complete)
	}
	m.lease.Accept(lease.Grant{
		Epoch:       update.Record.Epoch,
		Duration:    update.LeaseDuration,
		PrimaryTime: update.PrimaryTime,
		QueuedFor:   update.QueuedFor,
	}, sentAt, now)
	m.updateActivationTimes(now)
	m.ActiveSet(now)
	return changes
}

func (m *Machine) applySnapshot(snapshot model.Snapshot) []WriterRoleChanged {
	previous := m.snapshot.Writers
	m.snapshot = snapshot
	m.heldSets = identifySets(snapshot.Sets, m.heldSets)
	var changes []WriterRoleChanged
	for _, database := range slices.Sorted(maps.Keys(snapshot.Writers)) {
		before, after := previous[database], snapshot.Writers[database]
		if before.Term == after.Term && before.Phase == after.Phase {
			continue
		}
		if before.Term != after.Term {
			delete(m.samples, database)
		}
		changes = append(changes, WriterRoleChanged{Database: database, Previous: before, Current: after})
	}
	return changes
}

// identifySets returns the identities of sets. It reuses the digests in previous, since the
// content of a set never changes.
func identifySets(sets []model.BindingSet, previous []model.HeldSet) []model.HeldSet {
	digests := make(map[uint64]uint64, len(previous))
	for _, held := range previous {
		digests[held.Sequence] = held.Digest
	}
	identities := make([]model.HeldSet, len(sets))
	for index, set := range sets {
		digest, found := digests[set.Sequence]
		if !found {
			digest = set.ContentDigest()
		}
		identities[index] = model.HeldSet{Sequence: set.Sequence, Digest: digest}
	}
	return identities
}

// updateActivationTimes converts the times at which binding sets take effect to this
// node's clock. A newer estimate of the primary's time can only make the activation of a
// set earlier.
func (m *Machine) updateActivationTimes(now time.Duration) {
	if m.lease.ClockError(now) > lease.MaxClockError {
		return
	}
	offset := m.lease.PrimaryTime(0)
	updated := map[uint64]time.Duration{}
	for _, set := range m.snapshot.Sets {
		if set.EffectiveAt == 0 {
			continue
		}
		activation := max(time.Duration(set.EffectiveAt-offset), 0)
		if previous, found := m.activationTimes[set.Sequence]; found {
			activation = min(activation, previous)
		}
		updated[set.Sequence] = activation
	}
	m.activationTimes = updated
}
