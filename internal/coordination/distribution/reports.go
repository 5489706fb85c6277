package distribution

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

// reportStore keeps the newest report of each node on each instance.
type reportStore struct {
	byInstance map[string]map[string]receivedReport
	// instancesByDatabase names the instances with reports, by database.
	instancesByDatabase map[string]map[string]bool
	// lastReceived is when each node last sent a report.
	lastReceived map[string]time.Duration
	// lastEvidence is when each instance last responded to a node, or a node last
	// reported that it does not.
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
	at := now - report.ResponseAge
	if report.reportsFault() {
		at = now
	}
	s.lastEvidence[report.Instance.Name] = max(s.lastEvidence[report.Instance.Name], at)
}

func (s *reportStore) removeNode(node string) {
	delete(s.lastReceived, node)
	for _, byNode := range s.byInstance {
		delete(byNode, node)
	}
}

// instancesOf returns the instances of a database with synchronous replication that
// nodes reported, by name.
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

// reportsFault says whether the instance does not respond to the node as it should.
func (r InstanceReport) reportsFault() bool {
	return r.RefusedConnections > 0 || r.OldestStatementAge > 0
}

// HandleReport takes in a report that a node sent while its request is pending.
func (m *Machine) HandleReport(report NodeReport, now time.Duration) {
	m.storeReports(report.Node, report.Reports, false, now)
	m.raiseWatermarks(report.HighWatermarks)
}

// storeReports stores a node's reports. Those sent beside a request may be delayed, so
// they change no more than the position of an instance with synchronous replication:
// the rest stays as the node's requests have it, on which later ones build.
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

// withPosition returns an instance at a new position, if one is given.
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
