package routing

import (
	"maps"
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/state/model"
)

// Teller leaves out of what a node tells what the control primary has by
// earlier asks of the same run.
type Reporter struct {
	// known is the tenure that has what held and highs list, 0 for none; out
	// and rose are what an ask that is not answered yet adds to them.
	baselineTenure         uint64
	acknowledged           map[string]reportedState
	acknowledgedWatermarks map[string]model.Position
	inFlight               bool
	pendingReports         map[string]reportedState
	pendingWatermarks      map[string]model.Position
}

type reportedState struct {
	instance   model.Instance
	answeredAt time.Duration
	faulty     bool
}

func reportedStateOf(report distribution.InstanceReport, now time.Duration) reportedState {
	return reportedState{instance: report.Instance, answeredAt: now - report.ResponseAge, faulty: report.RefusedConnections > 0 || report.OldestStatementAge > 0}
}

func (t *Reporter) resetBaseline() {
	t.baselineTenure, t.acknowledged, t.acknowledgedWatermarks = 0, map[string]reportedState{}, map[string]model.Position{}
}

// Ask gives what the next ask must tell. Where the one before was not
// answered, that is all.
func (t *Reporter) NextReport(all distribution.NodeReport, now time.Duration) distribution.NodeReport {
	if t.inFlight || t.baselineTenure == 0 {
		t.resetBaseline()
	}
	t.inFlight, t.pendingReports, t.pendingWatermarks = true, map[string]reportedState{}, map[string]model.Position{}
	for _, report := range all.Reports {
		t.pendingReports[report.Instance.Name] = reportedStateOf(report, now)
	}
	maps.Copy(t.pendingWatermarks, all.HighWatermarks)
	return t.Delta(all, now)
}

// Brief gives what is to be told beside the asks; it may be lost, so nothing
// rests on it.
func (t *Reporter) Delta(all distribution.NodeReport, now time.Duration) distribution.NodeReport {
	brief := distribution.NodeReport{Node: all.Node, BaselineTenure: t.baselineTenure, HighWatermarks: map[string]model.Position{}}
	for _, report := range all.Reports {
		if observation, found := t.acknowledged[report.Instance.Name]; found {
			fresh := reportedStateOf(report, now)
			if fresh.instance == observation.instance && fresh.answeredAt <= observation.answeredAt && !fresh.faulty && !observation.faulty {
				continue
			}
			report.Instance = instanceDelta(observation.instance, report.Instance)
		}
		brief.Reports = append(brief.Reports, report)
	}
	for name, high := range all.HighWatermarks {
		if t.acknowledgedWatermarks[name].IsBefore(high) {
			brief.HighWatermarks[name] = high
		}
	}
	return brief
}

func instanceDelta(previous, instance model.Instance) model.Instance {
	changes := instance.Position
	instance.Position = previous.Position
	if instance != previous || (changes == model.Position{} && previous.Position != changes) {
		instance.Position = changes
		return instance
	}
	brief := model.Instance{Name: instance.Name}
	if changes != previous.Position {
		brief.Position = changes
	}
	return brief
}

// Took takes the answer to the last ask. A tenure that has not what the ask
// left out says so by its own number.
func (t *Reporter) Acknowledge(tenure uint64) {
	sameTenure := t.baselineTenure == 0 || t.baselineTenure == tenure
	if !t.inFlight || tenure == 0 || !sameTenure {
		t.inFlight = false
		t.resetBaseline()
		return
	}
	t.inFlight, t.baselineTenure = false, tenure
	maps.Copy(t.acknowledged, t.pendingReports)
	maps.Copy(t.acknowledgedWatermarks, t.pendingWatermarks)
}
