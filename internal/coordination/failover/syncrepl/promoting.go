package syncrepl

import (
	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

// HTTP statuses of the platform's answers to a promote call. Conflict says that
// the instance cannot be promoted, and that the call has no effect.
const (
	statusOK              = 200
	statusConflict        = 409
	statusTooManyRequests = 429
)

// onPromoting learns the outcome of the promote call by probing. No second
// instance is called while a call for the first may still take effect.
func onPromoting(evidence Evidence, timing Timing) []failover.Effect {
	if primary, probe, found := evidence.newerPrimary(); found {
		return []failover.Effect{openNewTerm(evidence, primary, probe, timing)}
	}
	chosen, known := evidence.observation(evidence.Writer.Promoting)
	probe, probed := evidence.Probes[evidence.Writer.Promoting]
	gone := (known && chosen.Instance.Stopped) || probe.Gone
	down := probed && !probe.Answered && !probe.Busy
	if gone || (down && noCallPending(evidence, timing)) {
		return []failover.Effect{abandonPromotion(evidence)}
	}
	queries := probeOutcome(evidence, timing)
	replica := probe.Answered && probe.Role == model.RoleReplica && probe.Age < timing.ProbeFreshness
	retryable := replica || down || isThrottled(evidence.PromoteCalls)
	if retryable && isRetryDue(evidence, timing) {
		return append(queries, retryPromotion(evidence)...)
	}
	if !replica && evidence.sinceTransition() > 2*timing.PromoteRetryInterval {
		reason := "promotion of " + evidence.Writer.Promoting + " is undecided until it answers again: no other is promoted"
		return append(queries, failover.RecordReason(evidence.Writer, reason)...)
	}
	return queries
}

// probeOutcome probes the chosen instance, and any other that claims to be
// primary.
func probeOutcome(evidence Evidence, timing Timing) []failover.Effect {
	var queries []failover.Effect
	for _, observed := range evidence.Observations {
		name := observed.Instance.Name
		otherPrimary := name != evidence.Writer.Primary && evidence.claimsPrimary(observed, timing)
		wanted := name == evidence.Writer.Promoting || otherPrimary
		if wanted && !evidence.Probes[name].Gone && evidence.probeDue(name, timing.FastProbeInterval) {
			queries = append(queries, queryStatus(observed.Instance))
		}
	}
	return queries
}

// promoteEffects records a promotion and makes the call for it. Each promotion,
// each control server and, where the platform checks tokens, each call gets a
// fencing token of its own, so that an earlier call is refused once it was seen.
func promoteEffects(evidence Evidence, writer model.WriterRole, change, reason string) []failover.Effect {
	firstCall := evidence.Writer.Phase != model.PhasePromoting
	if firstCall || writer.Promoter != evidence.Self || evidence.FencingEnforced {
		writer.FencingToken++
		writer.Promoter = evidence.Self
	}
	return []failover.Effect{
		failover.Record{Writer: writer, Change: change, Reason: reason},
		Promote{Database: evidence.Database, Instance: writer.Promoting, LeaseHolder: writer.Promoter, FencingToken: writer.FencingToken},
	}
}

func retryPromotion(evidence Evidence) []failover.Effect {
	writer := model.CloneWriterRole(evidence.Writer)
	writer.PromoteCalls++
	writer.LastTransitionAt = evidence.WallNanos
	return promoteEffects(evidence, writer, "promote call made again", evidence.Writer.Promoting+" does not lead yet")
}

func abandonPromotion(evidence Evidence) failover.Record {
	writer := model.CloneWriterRole(evidence.Writer)
	writer.Phase = model.PhaseClosing
	writer.Promoting = ""
	writer.PromoteCalls = 0
	writer.LastTransitionAt = evidence.WallNanos
	writer.MinPosition = model.Position{}
	reason := evidence.Writer.Promoting + " is not running, and no call for it can take effect"
	return failover.Record{Writer: writer, Change: "promotion abandoned", Reason: reason}
}

func openNewTerm(evidence Evidence, primary model.Instance, probe ProbeResult, timing Timing) failover.Record {
	writer := model.WriterRole{
		Database:         evidence.Database,
		Term:             probe.Term,
		PreviousTerm:     evidence.Writer.Term,
		Primary:          primary.Name,
		Phase:            model.PhaseOpen,
		LastTransitionAt: evidence.WallNanos,
		SyncReplication:  true,
		TermStart:        probe.Position,
		HighWatermark:    evidence.Writer.HighWatermark.Max(evidence.Writer.MinPosition),
		Promoter:         evidence.Writer.Promoter,
		FencingToken:     evidence.Writer.FencingToken,
		RequiredReplicas: evidence.recentReplicas(primary.Name, timing),
	}
	return failover.Record{Writer: writer, Change: "new term open", Reason: saysPrimary(primary, probe.Term)}
}

// isRetryDue says whether the promote call may be repeated: after the retry interval,
// or soon where the platform refused the last call for its rate. A transition in the
// future means that the clock was set back.
func isRetryDue(evidence Evidence, timing Timing) bool {
	waited := evidence.sinceTransition()
	if isThrottled(evidence.PromoteCalls) && waited > timing.RetryInterval {
		return true
	}
	return waited > timing.PromoteRetryInterval || waited < 0
}

// isThrottled says whether the latest call was refused for its rate.
func isThrottled(calls []PromoteCall) bool {
	return len(calls) > 0 && calls[len(calls)-1].Status == statusTooManyRequests
}

// noCallPending says whether no promote call can take effect any more, given
// that the chosen instance is not running. Unless fencing bars the calls of
// other control servers, all calls recorded must be this server's own.
func noCallPending(evidence Evidence, timing Timing) bool {
	refused, found := lastRefusedCall(evidence)
	fenced := found && evidence.FencingEnforced && refused.FencingToken == evidence.Writer.FencingToken
	allKnown := fenced || len(evidence.PromoteCalls) >= evidence.Writer.PromoteCalls
	if len(evidence.PromoteCalls) == 0 || !allKnown {
		return false
	}
	for _, call := range evidence.PromoteCalls {
		if call.Instance != evidence.Writer.Promoting {
			return false
		}
		expired := found && isExpiredBy(call, refused, timing)
		barred := fenced && isBarredBy(call, refused)
		if !call.hadNoEffect() && !expired && !barred {
			return false
		}
	}
	return true
}

// hadNoEffect says whether the call never reached the platform, or was refused by it
// because the instance cannot be promoted.
func (c PromoteCall) hadNoEffect() bool { return c.Unsent || c.Status == statusConflict }

// isExpiredBy says whether an accepted call can take effect no more, as a later call
// was refused: an accepted call takes effect within the retry interval, or never.
func isExpiredBy(call, refused PromoteCall, timing Timing) bool {
	return call.Status == statusOK && call.Age >= refused.Age+timing.PromoteRetryInterval
}

// isBarredBy says whether the platform, which has seen the token of a refused call,
// will refuse an earlier one that it has not accepted, should that still arrive.
func isBarredBy(call, refused PromoteCall) bool {
	return call.Status != statusOK && call.FencingToken < refused.FencingToken
}

// lastRefusedCall gives the latest call for the chosen instance that the
// platform refused because the instance cannot be promoted.
func lastRefusedCall(evidence Evidence) (last PromoteCall, found bool) {
	for _, call := range evidence.PromoteCalls {
		if call.Instance == evidence.Writer.Promoting && call.Status == statusConflict {
			last, found = call, true
		}
	}
	return last, found
}
