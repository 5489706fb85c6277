package syncrepl

import (
	"fmt"

	"tansyseam/internal/state/model"
)

// suspicion checks for one reason to close the term of an observed primary. It returns
// the reason for the audit log.
type suspicion func(evidence Evidence, primary Observation, timing Timing) (reason string, suspected bool)

// suspicions are ordered by their precedence in the audit log.
var suspicions = []suspicion{isLeaving, isStopped, isSuperseded, isDemoted, refusesConnections, answersLate, isSilent}

// suspectPrimary returns the first reason to close the term, if any.
func suspectPrimary(evidence Evidence, primary Observation, found bool, timing Timing) (reason string, suspected bool) {
	if !found {
		return "no node has reached it", evidence.GatheredFor > timing.MaxContactAge
	}
	for _, suspect := range suspicions {
		if reason, suspected := suspect(evidence, primary, timing); suspected {
			return reason, true
		}
	}
	return "", false
}

func isLeaving(_ Evidence, primary Observation, _ Timing) (string, bool) {
	return "says that it is leaving", primary.Instance.Leaving
}

func isStopped(_ Evidence, primary Observation, _ Timing) (string, bool) {
	return "is gone", primary.Instance.Stopped
}

func isSuperseded(evidence Evidence, _ Observation, _ Timing) (string, bool) {
	instance, probe, found := evidence.newerPrimary()
	return primaryOfTermReason(instance, probe.Term), found
}

func isDemoted(evidence Evidence, primary Observation, timing Timing) (string, bool) {
	probe := evidence.Probes[primary.Instance.Name]
	return "says that it is a replica", probe.Answered && probe.Role == model.RoleReplica && probe.Age < timing.ProbeFreshness
}

func refusesConnections(evidence Evidence, primary Observation, timing Timing) (string, bool) {
	majority := primary.RefusedNodes*2 > primary.ReportingNodes
	reason := fmt.Sprintf("refuses %d of %d nodes", primary.RefusedNodes, primary.ReportingNodes)
	return reason, majority && primary.AnswerAge > timing.RefusalTimeout && evidence.warmedUp(timing)
}

func answersLate(evidence Evidence, primary Observation, timing Timing) (string, bool) {
	majority := primary.OverdueNodes*2 > primary.ReportingNodes
	reason := fmt.Sprintf("answers overdue at %d of %d nodes", primary.OverdueNodes, primary.ReportingNodes)
	return reason, majority && primary.AnswerAge > timing.OverdueTimeout && evidence.warmedUp(timing)
}

func isSilent(evidence Evidence, primary Observation, timing Timing) (string, bool) {
	probe, probed := evidence.Probes[primary.Instance.Name]
	failed := probed && probe.Age < timing.IdleProbeInterval && !probe.Answered && !probe.Busy
	return "no node has evidence of it, it announces nothing and answers no status", failed && evidence.isUnobserved(primary, timing)
}
