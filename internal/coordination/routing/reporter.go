package routing

import (
	"maps"
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/state/model"
)

// Reporter reduces a node's reports to the parts that the control primary has not yet
// received with earlier requests. The baseline is the tenure of the control primary that
// received those requests. The caller calls NextReport for each request, and Acknowledge
// for the answer to it.
type Reporter struct {
	// baselineTenure is the number of the tenure that has the states in acknowledged
	// and the positions in acknowledgedWatermarks, or 0 if there is none.
	baselineTenure         uint64
	acknowledged           map[string]reportedState
	acknowledgedWatermarks map[string]model.Position
	// inFlight is true if a request has not been answered yet. The pending fields are
	// the contents of its report.
	inFlight          bool
	pendingReports    map[string]reportedState
	pendingWatermarks map[string]model.Position
}

// reportedState is the state of an instance in a report.
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

// differsFrom reports whether a state must be reported after an earlier one. A fault is
// reported each time, and once more when it has ended.
func (s reportedState) differsFrom(earlier reportedState) bool {
	return s.instance != earlier.instance || s.answeredAt > earlier.answeredAt || s.faulty || earlier.faulty
}

// NextReport returns the report for the next request. If the previous request was not
// answered, it is unknown whether the primary received it, so the report is complete.
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

// Delta returns the report for a message that is sent in addition to the requests. The
// message may be lost, so later reports do not depend on it.
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

// abbreviate reduces an instance to its name and, if the position has changed, its
// position. It returns the complete instance if anything else has changed, or if the
// position was reset to zero, since a zero position means that it is unchanged.
func abbreviate(instance, earlier model.Instance) model.Instance {
	withEarlierPosition := instance
	withEarlierPosition.Position = earlier.Position
	wasReset := instance.Position == model.Position{} && earlier.Position != model.Position{}
	if withEarlierPosition != earlier || wasReset {
		return instance
	}
	abbreviated := model.Instance{Name: instance.Name}
	if instance.Position != earlier.Position {
		abbreviated.Position = instance.Position
	}
	return abbreviated
}

// Acknowledge handles the answer to the last request, from the tenure with the given
// number. If the request was complete, that tenure becomes the baseline. If the request
// was abbreviated for another tenure, the answering tenure does not have the omitted
// states, and the next report is complete.
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
