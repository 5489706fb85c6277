// Package routing is the machine by which a data-plane node knows what it may
// do: its lease, the state it has taken up, the positions of the instances,
// and from these what is in force, what is fresh and what is kept.
package routing

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// Verdicts on a commit that ran.
const (
	VerdictNone    = ""
	VerdictDurable = "kept"
	VerdictUnknown = "unknown"
)

// FreshMargin is taken off a binding's bound, and is the least bound.
const FreshnessMargin = 60 * time.Millisecond

type primarySample struct {
	queriedAt time.Duration
	position  model.Position
}

// Sight is what the node itself sees of an instance.
type Observation struct {
	Instance         model.Instance
	Position         model.Position
	LastAnnouncement time.Duration
	LastResponse     time.Duration
	// Placed is when it was last asked for the place that it then told.
	LastPositionQuery time.Duration
	positionChangedAt time.Duration
}

func (s *Observation) advance(position model.Position, now time.Duration) {
	if s.Position.IsBefore(position) {
		s.Position, s.positionChangedAt = position, now
	}
}

// Machine is one node's knowledge.
type Machine struct {
	self            string
	lease           *lease.Lease
	snapshot        model.Snapshot
	activeSequence  uint64
	requestCount    uint64
	observations    map[string]*Observation
	samples         map[string][]primarySample
	highWatermarks  map[string]model.Position
	activationTimes map[uint64]time.Duration
	reporter        Reporter
}

// Moved is an effect: a writer role's term or phase has changed.
type WriterRoleChanged struct {
	Database string
	Previous model.WriterRole
	Current  model.WriterRole
}

// New makes a node that knows nothing yet.
func New(self string, timing lease.Timing) *Machine {
	return &Machine{
		self: self, lease: lease.NewLease(timing), observations: map[string]*Observation{},
		samples: map[string][]primarySample{}, highWatermarks: map[string]model.Position{},
		activationTimes: map[uint64]time.Duration{},
	}
}

// IsLeased says whether the node may serve at this moment.
func (m *Machine) HasLease(now time.Duration) bool { return m.lease.IsValid(now) }

// Left gives what remains of the lease.
func (m *Machine) LeaseRemaining(now time.Duration) time.Duration { return m.lease.Remaining(now) }

// Epoch gives the highest epoch that granted a lease.
func (m *Machine) Epoch() uint64 { return m.lease.Epoch() }

// Stamp gives the stamp of the state taken up.
func (m *Machine) Version() store.Version { return m.snapshot.Version }

// Doc gives the state taken up.
func (m *Machine) Snapshot() model.Snapshot { return m.snapshot }

// Writer gives a database's writer role.
func (m *Machine) WriterRole(database string) model.WriterRole { return m.snapshot.Writers[database] }

// Effective gives the set in force and whether it has just come in force.
// Its sequence never falls on a node.
func (m *Machine) ActiveSet(now time.Duration) (model.BindingSet, bool) {
	var current model.BindingSet
	for _, set := range m.snapshot.Sets {
		effectiveAt, scheduled := m.activationTimes[set.Sequence]
		if (scheduled && effectiveAt <= now) || set.Sequence <= m.activeSequence {
			current = set
		}
	}
	changed := current.Sequence > m.activeSequence
	m.activeSequence = max(m.activeSequence, current.Sequence)
	return current, changed
}

// Sight gives what is known of an instance, made where it is new.
func (m *Machine) Observation(name string) *Observation {
	observation, found := m.observations[name]
	if !found {
		observation = &Observation{LastAnnouncement: -time.Hour, LastResponse: -time.Hour, LastPositionQuery: -time.Hour}
		m.observations[name] = observation
	}
	return observation
}

// Announced takes an instance's announcement.
func (m *Machine) HandleAnnouncement(instance model.Instance, now time.Duration) {
	observation := m.Observation(instance.Name)
	if observation.Instance.Incarnation != instance.Incarnation {
		observation.Position, observation.positionChangedAt = instance.Position, now
	}
	observation.advance(instance.Position, now)
	instance.Position = observation.Position
	observation.Instance, observation.LastAnnouncement = instance, now
}

// Looked takes an instance's answer on where it stands; sent is when it was
// asked. Everything that was confirmed before then lies at or before the
// position that the primary gives. An instance that stands behind where it
// stood before it was asked has gone back, and is believed.
func (m *Machine) HandlePosition(name string, instance model.Instance, sent, now time.Duration) bool {
	observation := m.Observation(name)
	observation.LastResponse = now
	if instance.Incarnation != observation.Instance.Incarnation {
		return false
	}
	observation.LastPositionQuery = max(observation.LastPositionQuery, sent)
	roleChanged := observation.Instance.Role != instance.Role || observation.Instance.Term != instance.Term || observation.Instance.Leaving != instance.Leaving
	if observation.positionChangedAt < sent && instance.Position.IsBefore(observation.Position) {
		observation.Position = instance.Position
	}
	observation.advance(instance.Position, now)
	observation.Instance.Role, observation.Instance.Term, observation.Instance.Position, observation.Instance.Leaving = instance.Role, instance.Term, observation.Position, instance.Leaving
	database := observation.Instance.Database
	writer := m.snapshot.Writers[database]
	acceptsWrites := writer.Primary == name && writer.Phase == model.PhaseOpen && writer.Term == instance.Term && writer.PrimaryIncarnation == instance.Incarnation
	if acceptsWrites && instance.Role == model.RolePrimary && m.lease.IsValid(now) {
		list := append(m.samples[database], primarySample{queriedAt: sent, position: instance.Position})
		if len(list) > 512 {
			list = slices.Delete(list, 0, 128)
		}
		m.samples[database] = list
	}
	return roleChanged
}

// Ask gives the next ask for news. Lags says how long the oldest commit here
// has waited for each replica.
func (m *Machine) UpdateRequest(now time.Duration, lags map[string]time.Duration) distribution.UpdateRequest {
	return m.newRequest(m.Report(now, lags), now)
}

// AskBrief gives the next ask of a node that tells what it sees itself, less
// what the control primary has by earlier asks of the same run, which the ask
// must then name.
func (m *Machine) DeltaUpdateRequest(report distribution.NodeReport, now time.Duration) distribution.UpdateRequest {
	return m.newRequest(m.reporter.NextReport(report, now), now)
}

// Brief gives, in the same way, what is told beside the asks.
func (m *Machine) DeltaReport(report distribution.NodeReport, now time.Duration) distribution.NodeReport {
	return m.reporter.Delta(report, now)
}

func (m *Machine) newRequest(report distribution.NodeReport, now time.Duration) distribution.UpdateRequest {
	current, _ := m.ActiveSet(now)
	m.requestCount++
	return distribution.UpdateRequest{
		Node: m.self, Kind: model.KindProxy, Version: m.snapshot.Version, Reports: report.Reports, HighWatermarks: report.HighWatermarks, BaselineTenure: report.BaselineTenure,
		ActiveSequence: current.Sequence, RequestNumber: m.requestCount, AcceptsDelta: true, WithoutLease: m.lease.ConfirmExpired(now),
	}
}

// Told gives what the node sees, for the control primary.
func (m *Machine) Report(now time.Duration, lags map[string]time.Duration) distribution.NodeReport {
	report := distribution.NodeReport{Node: m.self, HighWatermarks: map[string]model.Position{}}
	var names []string
	for name := range m.observations {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		observation := m.observations[name]
		if observation.Instance.Name == "" {
			continue
		}
		report.Reports = append(report.Reports, distribution.InstanceReport{
			Instance: observation.Instance, AnnouncementAge: now - observation.LastAnnouncement, ResponseAge: now - observation.LastResponse, PositionAge: now - observation.LastPositionQuery, MaxCommitWait: lags[name],
		})
	}
	for database, high := range m.highWatermarks {
		report.HighWatermarks[database] = high
	}
	return report
}

// Take takes news that answers an ask sent at a moment. What it forbids is
// in force at once, and the next ask tells the primary so. A Doc written after
// another state than the one held brings no lease, since that goes only with
// the newest.
func (m *Machine) ApplyUpdate(update distribution.Update, sent, now time.Duration) []WriterRoleChanged {
	var changes []WriterRoleChanged
	m.reporter.Acknowledge(update.Tenure)
	if update.Snapshot != nil && m.snapshot.Version.IsBefore(update.Snapshot.Version) {
		complete, applied := m.snapshot.Apply(*update.Snapshot)
		if !applied {
			return nil
		}
		changes = m.applySnapshot(complete)
	}
	m.lease.Accept(lease.Grant{
		Epoch: update.Record.Epoch, Primary: update.Record.Primary, Duration: update.LeaseDuration, PrimaryTime: update.PrimaryTime, QueuedFor: update.QueuedFor,
	}, sent, now)
	m.updateActivationTimes(now)
	m.ActiveSet(now)
	return changes
}

func (m *Machine) updateActivationTimes(now time.Duration) {
	if m.lease.ClockError(now) > lease.MaxClockError {
		return
	}
	offset := m.lease.PrimaryTime(0)
	activationTimes := map[uint64]time.Duration{}
	for _, set := range m.snapshot.Sets {
		if set.EffectiveAt == 0 {
			continue
		}
		effectiveAt := max(time.Duration(set.EffectiveAt-offset), 0)
		if observation, found := m.activationTimes[set.Sequence]; found && observation < effectiveAt {
			effectiveAt = observation
		}
		activationTimes[set.Sequence] = effectiveAt
	}
	m.activationTimes = activationTimes
}

func (m *Machine) applySnapshot(snapshot model.Snapshot) []WriterRoleChanged {
	previous := m.snapshot.Writers
	m.snapshot = snapshot
	var names []string
	for name := range snapshot.Writers {
		names = append(names, name)
	}
	slices.Sort(names)
	var changes []WriterRoleChanged
	for _, name := range names {
		writer := snapshot.Writers[name]
		if previous[name].Term == writer.Term && previous[name].Phase == writer.Phase {
			continue
		}
		if previous[name].Term != writer.Term {
			delete(m.samples, name)
		}
		changes = append(changes, WriterRoleChanged{Database: name, Previous: previous[name], Current: writer})
	}
	return changes
}

// MayWrite says whether a write may go to an instance in a term now.
func (m *Machine) MayWrite(database string, term uint64, now time.Duration) bool {
	writer := m.snapshot.Writers[database]
	return m.lease.IsValid(now) && writer.Phase == model.PhaseOpen && writer.Term == term
}

// FreshAt gives the latest moment up to which a replica is known to hold
// everything confirmed: that of the last look at the primary whose position
// it has reached. While a term is closed nothing is confirmed, and every
// candidate at or past what was confirmed before the term holds all that was.
func (m *Machine) FreshUntil(name string, now time.Duration) time.Duration {
	observation := m.Observation(name)
	database := observation.Instance.Database
	writer := m.snapshot.Writers[database]
	closed := writer.Phase == model.PhaseClosed || writer.Phase == model.PhasePromoting
	incarnation, candidate := writer.Candidates[name]
	if closed && candidate && incarnation == observation.Instance.Incarnation && !observation.Position.IsBefore(writer.HighWatermark) {
		return now
	}
	list := m.samples[database]
	for at := len(list) - 1; at >= 0; at-- {
		if !observation.Position.IsBefore(list[at].position) {
			return list[at].queriedAt
		}
	}
	return -time.Hour
}

// MayRead says whether an instance may answer a read that came at a moment:
// the primary always, a replica that holds all that was confirmed up to the
// bound, and the consumer's own writes.
func (m *Machine) MayRead(name string, receivedAt, bound time.Duration, minPosition model.Position, now time.Duration) bool {
	observation := m.Observation(name)
	writer := m.snapshot.Writers[observation.Instance.Database]
	if name == writer.Primary {
		return writer.Phase == model.PhaseOpen && observation.Instance.Role == model.RolePrimary && observation.Instance.Incarnation == writer.PrimaryIncarnation
	}
	if bound == 0 || observation.Instance.Role != model.RoleReplica || now-observation.LastAnnouncement > 3*time.Second || observation.Position.IsBefore(minPosition) {
		return false
	}
	return m.FreshUntil(name, now) >= receivedAt-max(bound, FreshnessMargin)+FreshnessMargin
}

// Waits names the replicas that do not yet hold a position that a commit of
// an open term must reach.
func (m *Machine) LaggingReplicas(database string, position model.Position) []string {
	var names []string
	for name, incarnation := range m.snapshot.Writers[database].RequiredReplicas {
		observation := m.Observation(name)
		if observation.Instance.Incarnation != incarnation || observation.Position.IsBefore(position) {
			names = append(names, name)
		}
	}
	return names
}

// Judge gives what is shown of a commit that ran in a term at a position: it
// is kept once every replica that may be promoted holds it, or if the next
// term began past it; it is unknown once its term is over otherwise.
func (m *Machine) CommitVerdict(database string, term uint64, position model.Position, now time.Duration) string {
	writer := m.snapshot.Writers[database]
	if !m.lease.IsValid(now) {
		return VerdictNone
	}
	if writer.Term == term {
		replicated := writer.Phase == model.PhaseOpen && len(writer.RequiredReplicas) > 0
		if !replicated || len(m.LaggingReplicas(database, position)) > 0 {
			return VerdictNone
		}
		m.highWatermarks[database] = m.highWatermarks[database].Max(position)
		return VerdictDurable
	}
	if writer.PreviousTerm == term && position.Term <= term && position.Index < writer.TermStart.Index {
		m.highWatermarks[database] = m.highWatermarks[database].Max(position)
		return VerdictDurable
	}
	return VerdictUnknown
}

// High gives the furthest position confirmed here.
func (m *Machine) HighWatermark(database string) model.Position { return m.highWatermarks[database] }
