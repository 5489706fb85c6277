package distribution

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

// reportStore contains the newest report of each node on each instance.
type reportStore struct {
	byInstance map[string]map[string]receivedReport
	// instancesByDatabase contains the names of the instances with reports, by database.
	instancesByDatabase map[string]map[string]bool
	// lastReceived is the time of each node's last report.
	lastReceived map[string]time.Duration
	// lastEvidence is the time at which each instance last responded to a node, or at
	// which a node last reported a fault of it.
	lastEvidence map[string]time.Duration
}

type receivedReport struct {
	report     InstanceReport
	receivedAt time.Duration
}

func newReportStore() reportStore {
	return reportStore{
		byInstance:          map[string]map[string]receivedReport{},
		instancesByDatabase: map[string]map[string]bool{},
		lastReceived:        map[string]time.Duration{},
		lastEvidence:        map[string]time.Duration{},
	}
}

func (s *reportStore) add(node string, report InstanceReport, now time.Duration) {
	name, database := report.Instance.Name, report.Instance.Database
	if s.byInstance[name] == nil {
		s.byInstance[name] = map[string]receivedReport{}
	}
	if s.instancesByDatabase[database] == nil {
		s.instancesByDatabase[database] = map[string]bool{}
	}
	s.byInstance[name][node] = receivedReport{report: report, receivedAt: now}
	s.instancesByDatabase[database][name] = true
	s.lastReceived[node] = now
	s.updateLastEvidence(report, now)
}

func (s *reportStore) updateLastEvidence(report InstanceReport, now time.Duration) {
	evidenceAt := now - report.ResponseAge
	if report.reportsFault() {
		evidenceAt = now
	}
	s.lastEvidence[report.Instance.Name] = max(s.lastEvidence[report.Instance.Name], evidenceAt)
}

func (s *reportStore) removeNode(node string) {
	delete(s.lastReceived, node)
	for _, byNode := range s.byInstance {
		delete(byNode, node)
	}
}

// instancesOf returns the instances of a database with synchronous replication that nodes
// have reported, sorted by name.
func (s *reportStore) instancesOf(database string) []model.Instance {
	var instances []model.Instance
	for _, name := range slices.Sorted(maps.Keys(s.instancesByDatabase[database])) {
		lastNode, instance := "", model.Instance{}
		for node, received := range s.byInstance[name] {
			reported := received.report.Instance
			if reported.SyncReplication && reported.Address != "" && node > lastNode {
				lastNode, instance = node, reported
			}
		}
		if lastNode != "" {
			instances = append(instances, instance)
		}
	}
	return instances
}

// reportsFault reports whether the instance refused connections of the node or leaves
// statements without a response.
func (r InstanceReport) reportsFault() bool {
	return r.RefusedConnections > 0 || r.OldestStatementAge > 0
}

// HandleReport handles a report that a node sent while its request was pending.
func (m *Machine) HandleReport(report NodeReport, now time.Duration) {
	m.storeReports(report.Node, report.Reports, false, now)
	m.raiseWatermarks(report.HighWatermarks)
}

// storeReports stores a node's reports. Reports sent while a request is pending may be
// delayed. For an instance with synchronous replication that the node has reported before,
// they therefore update no field of the instance except the position. The other fields stay
// as the node's requests reported them, because later requests are abbreviated on that basis.
func (m *Machine) storeReports(node string, reports []InstanceReport, fromRequest bool, now time.Duration) {
	for _, report := range reports {
		previous, found := m.reports.byInstance[report.Instance.Name][node]
		abbreviated := report.Instance.Database == ""
		if abbreviated && !found {
			continue
		}
		mayBeDelayed := !fromRequest && report.Instance.SyncReplication
		if abbreviated || (found && mayBeDelayed) {
			report.Instance = withPosition(previous.report.Instance, report.Instance.Position)
		}
		m.reports.add(node, report, now)
	}
}

// withPosition returns an instance with its position replaced, unless the new position is
// zero.
func withPosition(instance model.Instance, position model.Position) model.Instance {
	if position != (model.Position{}) {
		instance.Position = position
	}
	return instance
}

func (m *Machine) raiseWatermarks(watermarks map[string]model.Position) {
	for database, position := range watermarks {
		m.highWatermarks[database] = m.highWatermarks[database].Max(position)
	}
}
