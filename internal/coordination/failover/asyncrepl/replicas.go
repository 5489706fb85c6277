package asyncrepl

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

// replicaSets is the state of one maintenance round of the replica sets of an open
// term. A round makes at most one change.
type replicaSets struct {
	evidence Evidence
	timing   Timing
	writer   model.WriterRole
	// eligible maps the names of the replicas that are reachable and close to the
	// primary's position to their incarnations.
	eligible map[string]string
	// usesCommitWait is true if a long commit wait makes a single replica count as
	// behind. This requires recent contact with the primary, and another candidate
	// that acknowledges commits in time.
	usesCommitWait bool
	// ineligible is the name of the first candidate that is not eligible, or empty.
	ineligible string
}

// maintainReplicas adjusts the set of replicas that commits wait for and the set of
// replicas that may be promoted. Commits wait for a replica before it becomes a
// candidate, and a replica stops being a candidate before commits stop waiting for it.
func maintainReplicas(evidence Evidence, primary Observation, timing Timing) []failover.Effect {
	sets := &replicaSets{evidence: evidence, timing: timing, writer: model.CloneWriterRole(evidence.Writer)}
	sets.usesCommitWait = primary.ContactAge < timing.MaxCommitWait && hasPromptCandidate(evidence, timing)
	sets.findEligible(primary.Instance)
	sets.findIneligible()
	for _, change := range []func() (failover.Record, bool){sets.removeCandidate, sets.removeRequired, sets.addRequired, sets.addCandidate} {
		if record, changed := change(); changed {
			return []failover.Effect{record}
		}
	}
	if sets.ineligible != "" {
		return failover.RecordReason(evidence.Writer, sets.ineligible+" is gone or behind, and it alone is shown to hold every confirmed commit")
	}
	return failover.ClearReason(evidence.Writer)
}

// hasPromptCandidate reports whether at least one candidate delays commits by no more
// than half of the maximum commit wait.
func hasPromptCandidate(evidence Evidence, timing Timing) bool {
	for name, incarnation := range evidence.Writer.Candidates {
		observed, found := evidence.observation(name)
		if found && observed.Instance.Incarnation == incarnation && observed.CommitWait <= timing.MaxCommitWait/2 {
			return true
		}
	}
	return false
}

func (s *replicaSets) findEligible(primary model.Instance) {
	s.eligible = map[string]string{}
	for _, observed := range s.evidence.Observations {
		instance := observed.Instance
		_, unreachable := observed.unreachable(s.timing)
		usable := instance.Role == model.RoleReplica && instance.Name != s.writer.Primary && !instance.Leaving && !unreachable
		if usable && !s.isBehind(observed, primary) {
			s.eligible[instance.Name] = instance.Incarnation
		}
	}
}

func (s *replicaSets) isBehind(observed Observation, primary model.Instance) bool {
	position := observed.Instance.Position
	if position.Term != primary.Position.Term {
		return true
	}
	if s.usesCommitWait && observed.CommitWait > s.timing.MaxCommitWait {
		return true
	}
	maxLag := s.timing.MaxLag
	if _, required := s.writer.RequiredReplicas[observed.Instance.Name]; !required {
		maxLag = min(maxLag, s.timing.RejoinLag)
	}
	return position.Index+maxLag < primary.Position.Index
}

func (s *replicaSets) findIneligible() {
	for _, name := range sortedNames(s.writer.Candidates) {
		if s.eligible[name] != s.writer.Candidates[name] {
			s.ineligible = name
			return
		}
	}
}

// removeCandidate removes an ineligible candidate, unless it is the only candidate: the
// only candidate is the only replica that is known to hold all confirmed commits.
func (s *replicaSets) removeCandidate() (failover.Record, bool) {
	if s.ineligible == "" || len(s.writer.Candidates) == 1 {
		return failover.Record{}, false
	}
	delete(s.writer.Candidates, s.ineligible)
	return s.record("replica removed as candidate", s.ineligible+" gone, restarted or behind"), true
}

func (s *replicaSets) removeRequired() (failover.Record, bool) {
	for _, name := range sortedNames(s.writer.RequiredReplicas) {
		_, isCandidate := s.writer.Candidates[name]
		if s.eligible[name] == s.writer.RequiredReplicas[name] || isCandidate || len(s.writer.RequiredReplicas) <= 1 {
			continue
		}
		delete(s.writer.RequiredReplicas, name)
		s.excludeSlow(name)
		return s.record("commits no longer wait for a replica", name+" gone, restarted or behind"), true
	}
	return failover.Record{}, false
}

// excludeSlow excludes a replica that is removed because commits waited too long for
// it, so that commits do not wait for it again during the exclusion period.
func (s *replicaSets) excludeSlow(name string) {
	observed, found := s.evidence.observation(name)
	if !found || !s.usesCommitWait || observed.CommitWait <= s.timing.MaxCommitWait {
		return
	}
	if s.writer.Excluded == nil {
		s.writer.Excluded = map[string]int64{}
	}
	s.writer.Excluded[name] = s.evidence.WallNanos + int64(s.timing.ExclusionPeriod)
}

func (s *replicaSets) addRequired() (failover.Record, bool) {
	for _, name := range sortedNames(s.eligible) {
		if s.writer.RequiredReplicas[name] == s.eligible[name] || s.isExcluded(name) {
			continue
		}
		s.writer.RequiredReplicas[name] = s.eligible[name]
		return s.record("commits wait for a replica", name+" is back and nearly caught up"), true
	}
	return failover.Record{}, false
}

// isExcluded reports whether a replica is still excluded. The exclusion does not apply
// while a candidate is ineligible, since commits should then wait for any other
// replica. It does not apply either if more than a whole exclusion period remains,
// because the clock was then set back.
func (s *replicaSets) isExcluded(name string) bool {
	remaining := time.Duration(s.writer.Excluded[name] - s.evidence.WallNanos)
	return remaining > 0 && remaining <= s.timing.ExclusionPeriod && s.ineligible == ""
}

// addCandidate makes a required replica a candidate once every node waits for it, and
// it holds all commits that were confirmed before that.
func (s *replicaSets) addCandidate() (failover.Record, bool) {
	settled := s.evidence.Settled && s.evidence.SettledFor > s.timing.SettleDelay
	if !settled || !s.evidence.HasPrimaryPosition {
		return failover.Record{}, false
	}
	for _, name := range sortedNames(s.writer.RequiredReplicas) {
		incarnation := s.writer.RequiredReplicas[name]
		observed, _ := s.evidence.observation(name)
		caughtUp := !observed.Instance.Position.IsBefore(s.evidence.PrimaryPosition) && s.eligible[name] == incarnation
		if s.writer.Candidates[name] == incarnation || !caughtUp {
			continue
		}
		if s.writer.Candidates == nil {
			s.writer.Candidates = map[string]string{}
		}
		s.writer.Candidates[name] = incarnation
		s.writer.Reason = ""
		return s.record("replica may be promoted", name+" holds all that was confirmed, and every node waits for it"), true
	}
	return failover.Record{}, false
}

func (s *replicaSets) record(change, reason string) failover.Record {
	return failover.Record{Writer: s.writer, Change: change, Reason: reason}
}

func sortedNames(set map[string]string) []string { return slices.Sorted(maps.Keys(set)) }
