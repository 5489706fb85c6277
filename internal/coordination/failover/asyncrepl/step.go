// Package asyncrepl is the machine by which the holder of a database's duty
// moves the writer role: close the term, hear that it is closed, pick the
// replica, record the intent, make the one promote call, learn its outcome
// by looking, open the new term.
package asyncrepl

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

// Sight is what the fleet sees of one instance.
type Observation struct {
	Instance model.Instance
	// Heard is how long ago any node heard it announce or had an answer.
	ContactAge time.Duration
	// Placed is how long ago it was asked for the place shown.
	PositionAge time.Duration
	// Silent counts leased nodes to which it neither announced nor answered
	// within the bound; Asked counts leased nodes in all.
	SilentNodes    int
	ReportingNodes int
	// Lagging is the longest that a commit has waited for this replica.
	CommitWait time.Duration
}

// Case is what the duty's holder decides on.
type Evidence struct {
	Database     string
	Writer       model.WriterRole
	Known        bool
	Observations []Observation
	// IsSettled says that every node that may hold a lease has taken up the
	// writer record as it stands.
	Settled bool
	// SettledFor is how long that has been so.
	SettledFor time.Duration
	// Mark is a position of the primary heard after the record was settled.
	PrimaryPosition    model.Position
	HasPrimaryPosition bool
	// Asked counts the leased nodes that reported; Age is how long the
	// control primary has gathered reports.
	ReportingNodes int
	GatheredFor    time.Duration
	WallNanos      int64
}

// Record is an effect: write this in place of the case's record.
type Record struct {
	Writer model.WriterRole
	Change string
	Reason string
}

// Promote is an effect: make the platform's one call.
type Promote struct {
	Database string
	Instance string
	Address  string
	Term     uint64
}

// Timing holds the machine's bounds.
type Timing struct {
	SilenceTimeout       time.Duration
	MaxContactAge        time.Duration
	PromoteRetryInterval time.Duration
	MaxLag               uint64
	RejoinLag            uint64
	MaxCommitWait        time.Duration
	SettleDelay          time.Duration
	// Shun is how long a replica struck for lag is not waited for.
	ExclusionPeriod time.Duration
}

// DefaultTiming gives the project's bounds.
func DefaultTiming() Timing {
	return Timing{
		SilenceTimeout: 1500 * time.Millisecond, MaxContactAge: 900 * time.Millisecond,
		PromoteRetryInterval: 1500 * time.Millisecond, MaxLag: 400, RejoinLag: 60, MaxCommitWait: 700 * time.Millisecond, SettleDelay: time.Second,
		ExclusionPeriod: 6 * time.Second,
	}
}

type phaseHandler func(Evidence, Timing) []any

var phaseHandlers = map[string]phaseHandler{
	"":                   onUnknown,
	model.PhaseOpen:      onOpen,
	model.PhaseClosing:   onClosing,
	model.PhaseClosed:    onClosed,
	model.PhasePromoting: onIntent,
}

// Step decides what the case asks for. It is a function of the case alone,
// so a new holder goes on where the old one stopped.
func Step(evidence Evidence, timing Timing) []any {
	return phaseHandlers[evidence.Writer.Phase](evidence, timing)
}

func (c Evidence) observation(name string) (Observation, bool) {
	for _, observed := range c.Observations {
		if observed.Instance.Name == name {
			return observed, true
		}
	}
	return Observation{}, false
}

func (c Evidence) recent(timing Timing) []Observation {
	var live []Observation
	for _, observed := range c.Observations {
		if observed.ContactAge <= timing.SilenceTimeout {
			live = append(live, observed)
		}
	}
	return live
}

func onUnknown(evidence Evidence, timing Timing) []any {
	var primaries []Observation
	for _, observed := range evidence.recent(timing) {
		if observed.Instance.Role == model.RolePrimary {
			primaries = append(primaries, observed)
		}
	}
	if len(primaries) != 1 {
		return nil
	}
	primary := primaries[0].Instance
	writer := model.WriterRole{
		Database: evidence.Database, Term: primary.Term, Primary: primary.Name, PrimaryIncarnation: primary.Incarnation, Phase: model.PhaseOpen,
		LastTransitionAt: evidence.WallNanos, HighWatermark: primary.Position, RequiredReplicas: map[string]string{}, Candidates: map[string]string{},
	}
	for _, observed := range evidence.recent(timing) {
		if observed.Instance.Role == model.RoleReplica {
			writer.RequiredReplicas[observed.Instance.Name] = observed.Instance.Incarnation
		}
	}
	if len(writer.RequiredReplicas) == 0 {
		return nil
	}
	writer.Candidates = maps.Clone(writer.RequiredReplicas)
	return []any{Record{Writer: writer, Change: "writer role known", Reason: fmt.Sprintf("%s announces itself primary of term %d", primary.Name, primary.Term)}}
}

func (c Evidence) isUnreachable(observed Observation, known bool, timing Timing) (string, bool) {
	if !known {
		return "no node has heard of it", c.ReportingNodes > 0 && c.GatheredFor > 2*timing.SilenceTimeout
	}
	if observed.ContactAge > timing.SilenceTimeout && observed.ReportingNodes > 0 && observed.SilentNodes*2 > observed.ReportingNodes {
		return fmt.Sprintf("silent for %d ms, to %d of %d nodes", observed.ContactAge.Milliseconds(), observed.SilentNodes, observed.ReportingNodes), true
	}
	return "", false
}

func onOpen(evidence Evidence, timing Timing) []any {
	primary, known := evidence.observation(evidence.Writer.Primary)
	why, down := evidence.isUnreachable(primary, known, timing)
	if known && evidence.Writer.PrimaryIncarnation != primary.Instance.Incarnation && primary.ContactAge <= timing.SilenceTimeout {
		why, down = "came back without its data", true
	}
	if known && primary.Instance.Leaving {
		why, down = "announces that it is leaving", true
	}
	if known && !down && primary.ContactAge <= timing.SilenceTimeout && primary.Instance.Role != model.RolePrimary {
		why, down = "announces that it is no longer primary", true
	}
	if down {
		if len(evidence.Writer.Candidates) == 0 {
			return recordReason(evidence, "primary is gone, and no replica is shown to hold every confirmed commit: nothing is promoted")
		}
		if known && primary.Instance.Leaving && len(promotable(evidence, timing)) == 0 {
			return recordReason(evidence, "primary is leaving, and no candidate can be heard")
		}
		writer := model.CloneWriterRole(evidence.Writer)
		writer.Phase, writer.LastTransitionAt, writer.Reason = model.PhaseClosing, evidence.WallNanos, why
		return []any{Record{Writer: writer, Change: "term closing", Reason: why}}
	}
	return maintainReplicas(evidence, primary, timing)
}

func promotable(evidence Evidence, timing Timing) []Observation {
	var found []Observation
	for _, observed := range evidence.recent(timing) {
		incarnation, candidate := evidence.Writer.Candidates[observed.Instance.Name]
		same := incarnation == observed.Instance.Incarnation
		behind := observed.Instance.Position.IsBefore(evidence.Writer.HighWatermark)
		if candidate && same && !behind && !observed.Instance.Leaving && observed.Instance.Name != evidence.Writer.Primary {
			found = append(found, observed)
		}
	}
	return found
}

func maintainReplicas(evidence Evidence, primary Observation, timing Timing) []any {
	writer := model.CloneWriterRole(evidence.Writer)
	eligible := map[string]string{}
	canJudge := primary.ContactAge < timing.MaxCommitWait && hasPromptCandidate(evidence, timing)
	for _, observed := range evidence.Observations {
		instance := observed.Instance
		_, down := evidence.isUnreachable(observed, true, timing)
		behind := primary.Instance.Position.Term == instance.Position.Term && instance.Position.Index+timing.MaxLag < primary.Instance.Position.Index
		behind = behind || primary.Instance.Position.Term != instance.Position.Term || (canJudge && observed.CommitWait > timing.MaxCommitWait)
		if _, required := writer.RequiredReplicas[instance.Name]; !required {
			behind = behind || instance.Position.Index+timing.RejoinLag < primary.Instance.Position.Index
		}
		if instance.Role == model.RoleReplica && !down && !behind && !instance.Leaving && instance.Name != writer.Primary {
			eligible[instance.Name] = instance.Incarnation
		}
	}
	ineligible := ""
	for _, name := range sortedNames(writer.Candidates) {
		if eligible[name] == writer.Candidates[name] {
			continue
		}
		ineligible = name
		if len(writer.Candidates) == 1 {
			break
		}
		delete(writer.Candidates, name)
		return []any{Record{Writer: writer, Change: "replica struck as candidate", Reason: name + " gone, reborn or behind"}}
	}
	for _, name := range sortedNames(writer.RequiredReplicas) {
		incarnation := writer.RequiredReplicas[name]
		if _, candidate := writer.Candidates[name]; eligible[name] != incarnation && !candidate && len(writer.RequiredReplicas) > 1 {
			delete(writer.RequiredReplicas, name)
			if observed, known := evidence.observation(name); known && canJudge && observed.CommitWait > timing.MaxCommitWait {
				if writer.Excluded == nil {
					writer.Excluded = map[string]int64{}
				}
				writer.Excluded[name] = evidence.WallNanos + int64(timing.ExclusionPeriod)
			}
			return []any{Record{Writer: writer, Change: "commits no longer wait for a replica", Reason: name + " gone, reborn or behind"}}
		}
	}
	for _, name := range sortedNames(eligible) {
		incarnation := eligible[name]
		remaining := time.Duration(writer.Excluded[name] - evidence.WallNanos)
		excluded := remaining > 0 && remaining <= timing.ExclusionPeriod && ineligible == ""
		if writer.RequiredReplicas[name] != incarnation && !excluded {
			writer.RequiredReplicas[name] = incarnation
			return []any{Record{Writer: writer, Change: "commits wait for a replica", Reason: name + " is back and near"}}
		}
	}
	if evidence.Settled && evidence.SettledFor > timing.SettleDelay && !maps.Equal(writer.RequiredReplicas, writer.Candidates) {
		for _, name := range sortedNames(writer.RequiredReplicas) {
			incarnation := writer.RequiredReplicas[name]
			observed, _ := evidence.observation(name)
			caughtUp := evidence.HasPrimaryPosition && !observed.Instance.Position.IsBefore(evidence.PrimaryPosition) && eligible[name] == incarnation
			if writer.Candidates[name] != incarnation && caughtUp {
				if writer.Candidates == nil {
					writer.Candidates = map[string]string{}
				}
				writer.Candidates[name] = incarnation
				writer.Reason = ""
				return []any{Record{Writer: writer, Change: "replica may be promoted", Reason: name + " holds all that was confirmed, and every node waits for it"}}
			}
		}
	}
	if ineligible != "" {
		return recordReason(evidence, ineligible+" is gone or behind, and it alone is shown to hold every confirmed commit")
	}
	return clearReason(evidence)
}

func sortedNames(set map[string]string) []string { return slices.Sorted(maps.Keys(set)) }

func hasPromptCandidate(evidence Evidence, timing Timing) bool {
	for name, incarnation := range evidence.Writer.Candidates {
		if observed, known := evidence.observation(name); known && observed.Instance.Incarnation == incarnation && observed.CommitWait <= timing.MaxCommitWait/2 {
			return true
		}
	}
	return false
}

func clearReason(evidence Evidence) []any {
	if evidence.Writer.Reason == "" {
		return nil
	}
	writer := model.CloneWriterRole(evidence.Writer)
	writer.Reason = ""
	return []any{Record{Writer: writer, Change: "well again", Reason: evidence.Writer.Reason}}
}

func recordReason(evidence Evidence, why string) []any {
	if evidence.Writer.Reason == why {
		return nil
	}
	writer := model.CloneWriterRole(evidence.Writer)
	writer.Reason = why
	return []any{Record{Writer: writer, Change: "waiting", Reason: why}}
}

func onClosing(evidence Evidence, _ Timing) []any {
	if !evidence.Settled {
		return nil
	}
	writer := model.CloneWriterRole(evidence.Writer)
	writer.Phase, writer.LastTransitionAt = model.PhaseClosed, evidence.WallNanos
	return []any{Record{Writer: writer, Change: "term closed", Reason: "every node that may hold a lease has stopped writing there"}}
}

func onClosed(evidence Evidence, timing Timing) []any {
	found := promotable(evidence, timing)
	old, known := evidence.observation(evidence.Writer.Primary)
	returned := known && old.ContactAge <= timing.SilenceTimeout && old.Instance.Role == model.RolePrimary && old.Instance.Term == evidence.Writer.Term &&
		old.Instance.Incarnation == evidence.Writer.PrimaryIncarnation && !old.Instance.Leaving && !old.Instance.Position.IsBefore(evidence.Writer.HighWatermark)
	if len(found) == 0 && returned {
		writer := model.CloneWriterRole(evidence.Writer)
		writer.Phase, writer.LastTransitionAt, writer.Reason = model.PhaseOpen, evidence.WallNanos, ""
		return []any{Record{Writer: writer, Change: "term opened again", Reason: old.Instance.Name + " is back with all that was confirmed, and nothing was promoted"}}
	}
	if len(found) == 0 {
		return recordReason(evidence, "term is closed, and no replica that can be heard is shown to hold every confirmed commit: nothing is promoted")
	}
	best := slices.MaxFunc(found, func(a, b Observation) int {
		if a.Instance.Position.IsBefore(b.Instance.Position) {
			return -1
		}
		if b.Instance.Position.IsBefore(a.Instance.Position) {
			return 1
		}
		return 0
	}).Instance
	writer := model.CloneWriterRole(evidence.Writer)
	writer.Phase, writer.Promoting, writer.LastTransitionAt, writer.PromoteCalls = model.PhasePromoting, best.Name, evidence.WallNanos, 1
	reason := fmt.Sprintf("%s at %d/%d, confirmed up to %d/%d", best.Name, best.Position.Term, best.Position.Index, evidence.Writer.HighWatermark.Term, evidence.Writer.HighWatermark.Index)
	return []any{
		Record{Writer: writer, Change: "promotion intended", Reason: reason},
		Promote{Database: evidence.Database, Instance: best.Name, Address: best.Address, Term: evidence.Writer.Term + 1},
	}
}

func onIntent(evidence Evidence, timing Timing) []any {
	observed, known := evidence.observation(evidence.Writer.Promoting)
	instance := observed.Instance
	waited := time.Duration(evidence.WallNanos - evidence.Writer.LastTransitionAt)
	reported := known && observed.PositionAge < min(waited, timing.SilenceTimeout)
	if reported && (instance.Incarnation != evidence.Writer.Candidates[evidence.Writer.Promoting] || instance.Position.IsBefore(evidence.Writer.HighWatermark)) {
		writer := model.CloneWriterRole(evidence.Writer)
		delete(writer.Candidates, evidence.Writer.Promoting)
		writer.Phase, writer.Promoting, writer.PromoteCalls, writer.LastTransitionAt = model.PhaseClosed, "", 0, evidence.WallNanos
		writer.Term = max(writer.Term+1, instance.Term)
		return []any{Record{Writer: writer, Change: "intent given up, its term passed over", Reason: fmt.Sprintf("%s came back without what was confirmed: at %d/%d as %s, confirmed up to %d/%d", instance.Name, instance.Position.Term, instance.Position.Index, instance.Incarnation, evidence.Writer.HighWatermark.Term, evidence.Writer.HighWatermark.Index)}}
	}
	promoted := known && instance.Role == model.RolePrimary && instance.Term > evidence.Writer.Term
	if promoted && observed.ContactAge <= timing.SilenceTimeout {
		writer := model.WriterRole{
			Database: evidence.Database, Term: instance.Term, Primary: instance.Name, PrimaryIncarnation: instance.Incarnation, Phase: model.PhaseOpen, LastTransitionAt: evidence.WallNanos,
			HighWatermark: instance.Position, TermStart: instance.Position, PreviousTerm: evidence.Writer.Term, RequiredReplicas: map[string]string{}, Candidates: map[string]string{},
		}
		for _, other := range evidence.recent(timing) {
			if other.Instance.Name != instance.Name && other.Instance.Role == model.RoleReplica && !other.Instance.Leaving {
				writer.RequiredReplicas[other.Instance.Name] = other.Instance.Incarnation
			}
		}
		if len(writer.RequiredReplicas) == 0 {
			return recordReason(evidence, "promoted, but no replica can be heard: commits could not be made safe")
		}
		writer.Candidates = maps.Clone(writer.RequiredReplicas)
		return []any{Record{Writer: writer, Change: "new term open", Reason: fmt.Sprintf("%s announces itself primary of term %d", instance.Name, instance.Term)}}
	}
	stillReplica := known && instance.Role == model.RoleReplica && observed.ContactAge < timing.MaxContactAge
	if stillReplica && waited > timing.PromoteRetryInterval {
		writer := model.CloneWriterRole(evidence.Writer)
		writer.PromoteCalls++
		writer.LastTransitionAt = evidence.WallNanos
		return []any{
			Record{Writer: writer, Change: "promote call made again", Reason: fmt.Sprintf("%s still announces itself a replica", instance.Name)},
			Promote{Database: evidence.Database, Instance: instance.Name, Address: instance.Address, Term: evidence.Writer.Term + 1},
		}
	}
	if !stillReplica && waited > 2*timing.PromoteRetryInterval {
		return recordReason(evidence, "promotion of "+evidence.Writer.Promoting+" is in doubt until it is heard again: no other is promoted")
	}
	return nil
}
