package routing

import (
	"maps"
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/state/model"
)

// Reporter reduces a node's reports to what the control primary does not have by
// earlier requests. The primary's tenure that has them is the baseline. NextReport is
// called for each request, and Acknowledge with the answer to it.
type Reporter struct {
	// baselineTenure is the number of the tenure that has what acknowledged and
	// acknowledgedWatermarks list; 0 for none.
	baselineTenure         uint64
	acknowledged           map[string]reportedState
	acknowledgedWatermarks map[string]model.Position
	// inFlight says that a request has not been answered yet, and the pending fields
	// are what it reports.
	inFlight          bool
	pendingReports    map[string]reportedState
	pendingWatermarks map[string]model.Position
}

// reportedState is an instance as it was reported.
type reportedState struct {
	instance   model.Instance
	answeredAt time.Duration
	faulty     bool
}

func reportedStateOf(report distribution.InstanceReport, now time.Duration) reportedState {
	return reportedState{
		instance:   report.Instance,
		answeredAt: now - report.ResponseAge,
		faulty:     report.RefusedConnections > 0 || report.OldestStatementAge > 0,
	}
}

// differsFrom says whether a state is worth reporting after an earlier one. A fault is
// always reported again, also when it has ended.
func (s reportedState) differsFrom(earlier reportedState) bool {
	return s.instance != earlier.instance || s.answeredAt > earlier.answeredAt || s.faulty || earlier.faulty
}

// NextReport returns the report for the next request. If the request before was not
// answered, it is unknown what the primary has, and the report is complete.
func (r *Reporter) NextReport(complete distribution.NodeReport, now time.Duration) distribution.NodeReport {
	if r.inFlight || r.baselineTenure == 0 {
		r.resetBaseline()
	}
	r.inFlight = true
	r.pendingReports = map[string]reportedState{}
	for _, report := range complete.Reports {
		r.pendingReports[report.Instance.Name] = reportedStateOf(report, now)
	}
	r.pendingWatermarks = maps.Clone(complete.HighWatermarks)
	return r.Delta(complete, now)
}

// Delta returns the report for a message beside the requests. It may be lost, so later
// reports do not build on it.
func (r *Reporter) Delta(complete distribution.NodeReport, now time.Duration) distribution.NodeReport {
	delta := distribution.NodeReport{
		Node:           complete.Node,
		BaselineTenure: r.baselineTenure,
		HighWatermarks: map[string]model.Position{},
	}
	for _, report := range complete.Reports {
		if earlier, found := r.acknowledged[report.Instance.Name]; found {
			if !reportedStateOf(report, now).differsFrom(earlier) {
				continue
			}
			report.Instance = abbreviate(report.Instance, earlier.instance)
		}
		delta.Reports = append(delta.Reports, report)
	}
	for database, position := range complete.HighWatermarks {
		if r.acknowledgedWatermarks[database].IsBefore(position) {
			delta.HighWatermarks[database] = position
		}
	}
	return delta
}

// abbreviate reduces an instance to its name and, if it changed, the position, as long
// as nothing else has changed. A position that was reset to zero cannot be abbreviated.
func abbreviate(instance, earlier model.Instance) model.Instance {
	moved := instance
	moved.Position = earlier.Position
	wasReset := instance.Position == model.Position{} && earlier.Position != model.Position{}
	if moved != earlier || wasReset {
		return instance
	}
	brief := model.Instance{Name: instance.Name}
	if instance.Position != earlier.Position {
		brief.Position = instance.Position
	}
	return brief
}

// Acknowledge handles the answer to the last request, from a tenure. A tenure that
// lacks what the request left out answers with its own number.
func (r *Reporter) Acknowledge(tenure uint64) {
	isBaseline := r.baselineTenure == 0 || r.baselineTenure == tenure
	hasReport := r.inFlight && tenure != 0 && isBaseline
	r.inFlight = false
	if !hasReport {
		r.resetBaseline()
		return
	}
	r.baselineTenure = tenure
	maps.Copy(r.acknowledged, r.pendingReports)
	maps.Copy(r.acknowledgedWatermarks, r.pendingWatermarks)
}

func (r *Reporter) resetBaseline() {
	r.baselineTenure = 0
	r.acknowledged = map[string]reportedState{}
	r.acknowledgedWatermarks = map[string]model.Position{}
}
