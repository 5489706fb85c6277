package distribution

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

type phaseProgress struct {
	term           uint64
	phase          string
	since          int64
	version        store.Version
	acknowledgedAt time.Duration
}

func (m *Machine) resetSyncReplication() {
	m.instances, m.listNumber = map[string]listedInstance{}, 0
	m.incarnations, m.lapseCount = map[string]nodeIncarnations{}, 0
	m.lastEvidence = map[string]time.Duration{}
	m.eventNumber = 1
	m.coveredEvents, m.coveringPositions, m.phases = map[string]uint64{}, map[string]model.Position{}, map[string]phaseProgress{}
}

func (m *Machine) pollTimeout() time.Duration {
	if m.timing.PollTimeout == 0 {
		return DefaultPollTimeout
	}
	return m.timing.PollTimeout
}

// isOver says whether a set's moment has passed since an ask came: leases were
// bounded by it, and are no more.
func (m *Machine) activatedSince(came time.Duration, wall int64, now time.Duration) bool {
	effectiveAt := m.snapshot.NewestSet().EffectiveAt
	return effectiveAt != 0 && effectiveAt <= wall && came < now-time.Duration(wall-effectiveAt)
}

func (m *Machine) ensureTenure(wall int64) string {
	if m.tenure == "" {
		m.tenure = fmt.Sprintf("%s@%d", m.self, wall)
		sum := fnv.New64a()
		_, _ = sum.Write([]byte(m.tenure))
		m.tenureNumber = sum.Sum64() | 1
	}
	return m.tenure
}

func registryEntry(instance model.Instance) model.Instance {
	instance.Position, instance.Term, instance.AnnouncementNumber, instance.Incarnation = model.Position{}, 0, 0, ""
	return instance
}

type listedInstance struct {
	instance     model.Instance
	changeNumber uint64
}

const maxObservationAge = time.Second

// Roster takes the instances as this machine heard them; those that are synced
// make the roll, which gets a new number whenever one appears or changes in
// more than its position. It gives true for a new number. What was heard long
// before this tenure is not listed: the nodes may have newer word of it.
func (m *Machine) UpdateInstances(list []Observation) bool {
	present, changed := map[string]bool{}, false
	for _, one := range list {
		if one.ObservedAt < m.grantor.StartedAt()-maxObservationAge {
			continue
		}
		present[one.Instance.Name] = true
		changed = m.RegisterInstance(one.Instance) || changed
	}
	maps.DeleteFunc(m.instances, func(name string, _ listedInstance) bool { return !present[name] })
	return changed
}

// Enlist takes one instance into the roll, and gives true for a new number.
func (m *Machine) RegisterInstance(instance model.Instance) bool {
	instance = registryEntry(instance)
	if !instance.SyncReplication || m.instances[instance.Name].instance == instance {
		return false
	}
	m.listNumber++
	m.instances[instance.Name] = listedInstance{instance: instance, changeNumber: m.listNumber}
	return true
}

func (m *Machine) instancesSince(state ListVersion) []model.Instance {
	after := uint64(0)
	if state.Tenure == m.tenure {
		after = state.Number
	}
	var list []model.Instance
	for _, one := range m.instances {
		if one.changeNumber > after {
			list = append(list, one.instance)
		}
	}
	slices.SortFunc(list, func(a, b model.Instance) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (m *Machine) hasInstanceUpdate(request UpdateRequest, wall int64) bool {
	return request.Kind == model.KindProxy && m.listNumber > 0 && request.ListVersion != ListVersion{Tenure: m.ensureTenure(wall), Number: m.listNumber}
}

func (m *Machine) countLapses(now time.Duration) {
	if lapses := m.grantor.LapseCount(now); lapses != m.lapseCount {
		m.eventNumber++
		m.lapseCount = lapses
	}
}

// lives is what the asks of one node tell of its runs.
type nodeIncarnations struct {
	current     int64
	lastRequest uint64
	past        []int64
}

// noteAsk takes in which run of its program a node asks from, and gives false
// for an ask that comes late: of a run that is over, or overtaken by another.
func (m *Machine) noteRequest(request UpdateRequest) bool {
	state := m.incarnations[request.Node]
	if request.Incarnation == 0 {
		return true
	}
	if slices.Contains(state.past, request.Incarnation) {
		return false
	}
	if state.current != request.Incarnation {
		if state.current != 0 {
			m.eventNumber++
			state.past = append(state.past, state.current)
		}
		state.current, state.lastRequest = request.Incarnation, 0
	}
	outdated := request.RequestNumber < state.lastRequest
	state.lastRequest = max(state.lastRequest, request.RequestNumber)
	m.incarnations[request.Node] = state
	return !outdated
}

func (m *Machine) noteEvidence(report InstanceReport, now time.Duration) {
	at := now - report.ResponseAge
	if report.RefusedConnections > 0 || report.OldestStatementAge > 0 {
		at = now
	}
	m.lastEvidence[report.Instance.Name] = max(m.lastEvidence[report.Instance.Name], at)
}

func (m *Machine) noteTermChanges(previous model.Snapshot) {
	for name, writer := range m.snapshot.Writers {
		old, exists := previous.Writers[name]
		if exists && writer.Term != old.Term && m.coveredEvents != nil {
			m.coveredEvents[name] = m.eventNumber
		}
	}
}

// Covers takes a position that holds all that was acknowledged before an
// event that this tenure showed.
func (m *Machine) ConfirmCoverage(mark syncrepl.ReportBound) {
	if mark.Tenure != m.tenure || mark.GapSequence > m.eventNumber {
		return
	}
	m.coveredEvents[mark.Database] = max(m.coveredEvents[mark.Database], mark.GapSequence)
	m.coveringPositions[mark.Database] = m.coveringPositions[mark.Database].Max(mark.Position)
}

// IsSynced says whether a database's instances judge themselves when a commit
// is safe.
func (m *Machine) UsesSyncReplication(database string, observations []Observation) bool {
	matches := func(one Observation) bool { return one.Instance.Database == database && one.Instance.SyncReplication }
	return m.snapshot.Writers[database].SyncReplication || slices.ContainsFunc(observations, matches)
}

// Takeover puts together what the duty of a synced database decides on.
func (m *Machine) SyncFailoverEvidence(database string, observations []Observation, wall int64, now time.Duration) syncrepl.Evidence {
	m.countLapses(now)
	writer, exists := m.snapshot.Writers[database]
	writer = model.CloneWriterRole(writer)
	writer.HighWatermark = writer.HighWatermark.Max(m.highWatermarks[database])
	at := syncrepl.Evidence{
		Database: database, Writer: writer, Known: exists, Version: m.state.Records[model.PrefixWriterRole+database].Version, WallNanos: wall,
		GatheredFor: now - m.grantor.StartedAt(), Tenure: m.ensureTenure(wall), GapSequence: m.eventNumber, CoveredSequence: m.coveredEvents[database],
		CommitBound: m.coveringPositions[database].Max(writer.HighWatermark),
	}
	present := map[string]bool{}
	for _, one := range observations {
		if one.Instance.Database == database && one.Instance.SyncReplication {
			present[one.Instance.Name] = true
			at.Observations = append(at.Observations, m.syncObservation(one.Instance, now-one.ObservedAt, now))
		}
	}
	for _, instance := range m.reportedInstances(database) {
		if !present[instance.Name] {
			at.Observations = append(at.Observations, m.syncObservation(instance, time.Hour, now))
		}
	}
	m.markPhaseAcknowledged(&at, now)
	return at
}

func (m *Machine) reportedInstances(database string) []model.Instance {
	var list []model.Instance
	for _, name := range slices.Sorted(maps.Keys(m.instancesByDatabase[database])) {
		last, found := "", model.Instance{}
		for node, one := range m.reports[name] {
			if one.report.Instance.SyncReplication && one.report.Instance.Address != "" && node > last {
				last, found = node, one.report.Instance
			}
		}
		if last != "" {
			list = append(list, found)
		}
	}
	return list
}

func (m *Machine) syncObservation(instance model.Instance, observations, now time.Duration) syncrepl.Observation {
	observation := syncrepl.Observation{Instance: instance, ContactAge: observations, AnswerAge: time.Hour, UnobservedFor: now - max(m.lastEvidence[instance.Name], m.grantor.StartedAt())}
	for node, one := range m.reports[instance.Name] {
		age := now - one.receivedAt
		if !m.grantor.HasLease(node, now) {
			continue
		}
		answered, recent := one.report.ResponseAge+age, age <= time.Second
		observation.AnswerAge = min(observation.AnswerAge, answered)
		observation.ContactAge = min(observation.ContactAge, answered)
		faulty := recent && (one.report.RefusedConnections > 0 || one.report.OldestStatementAge > 0)
		if !faulty && answered > time.Second {
			continue
		}
		observation.ReportingNodes++
		if recent && one.report.RefusedConnections >= 2 {
			observation.RefusedNodes++
		}
		if recent && one.report.OldestStatementAge > syncrepl.DefaultTiming().OverdueTimeout {
			observation.OverdueNodes++
		}
	}
	return observation
}

func (m *Machine) markPhaseAcknowledged(at *syncrepl.Evidence, now time.Duration) {
	writer := at.Writer
	known, exists := m.phases[at.Database]
	unchanged := exists && known.term == writer.Term && known.phase == writer.Phase && known.since == writer.LastTransitionAt
	if !at.Known {
		return
	}
	if !unchanged {
		known = phaseProgress{term: writer.Term, phase: writer.Phase, since: writer.LastTransitionAt, version: at.Version}
	}
	acknowledged := m.grantor.AllAcknowledged(known.version, now)
	if acknowledged && known.acknowledgedAt == 0 {
		known.acknowledgedAt = now
	}
	if !acknowledged {
		known.acknowledgedAt = 0
	}
	m.phases[at.Database] = known
	if acknowledged {
		at.Settled, at.SettledFor = true, now-known.acknowledgedAt
	}
}
