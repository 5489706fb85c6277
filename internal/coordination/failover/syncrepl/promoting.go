package syncrepl

import (
	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

// HTTP statuses of the platform's answers to a promote call. statusConflict means that
// the instance cannot be promoted, and that the call has no effect.
const (
	statusOK              = 200
	statusConflict        = 409
	statusTooManyRequests = 429
)

// onPromoting determines the outcome of the promote call by probing. No second instance
// is called while a call for the first may still take effect.
func onPromoting(evidence Evidence, timing Timing) []failover.Effect {
	if primary, probe, found := evidence.newerPrimary(); found {
		return []failover.Effect{openNewTerm(evidence, primary, probe, timing)}
	}
	chosen, found := evidence.observation(evidence.Writer.Promoting)
	probe, probed := evidence.Probes[evidence.Writer.Promoting]
	gone := (found && chosen.Instance.Stopped) || probe.Gone
	down := probed && !probe.Answered && !probe.Busy
	if gone || (down && noCallPending(evidence, timing)) {
		return []failover.Effect{abandonPromotion(evidence)}
	}
	queries := probeOutcome(evidence, timing)
	isReplica := probe.Answered && probe.Role == model.RoleReplica && probe.Age < timing.ProbeFreshness
	retryable := isReplica || down || isThrottled(evidence.PromoteCalls)
	if retryable && isRetryDue(evidence, timing) {
		return append(queries, retryPromotion(evidence)...)
	}
	if !isReplica && evidence.sinceTransition() > 2*timing.PromoteRetryInterval {
		reason := "promotion of " + evidence.Writer.Promoting + " is undecided until it answers again: no other is promoted"
		return append(queries, failover.RecordReason(evidence.Writer, reason)...)
	}
	return queries
}

// probeOutcome probes the chosen instance, and any other instance that claims to be
// primary, except the old primary.
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

// promoteEffects returns the effects that record a promotion and make its promote call.
// A new fencing token is used for each promotion, for each change of the control server
// and, if the platform checks tokens, for each call. The platform then refuses earlier
// calls once it has received a call with the new token.
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
	return failover.Record{Writer: writer, Change: "new term open", Reason: primaryOfTermReason(primary, probe.Term)}
}

// isRetryDue reports whether the promote call may be repeated: after
// PromoteRetryInterval, or already after the shorter RetryInterval if the platform
// refused the last call because of its rate limit. A transition in the future means
// that the clock was set back, and the call may then be repeated at once.
func isRetryDue(evidence Evidence, timing Timing) bool {
	waited := evidence.sinceTransition()
	if isThrottled(evidence.PromoteCalls) && waited > timing.RetryInterval {
		return true
	}
	return waited > timing.PromoteRetryInterval || waited < 0
}

// isThrottled reports whether the latest call was refused because of the platform's rate
// limit.
func isThrottled(calls []PromoteCall) bool {
	return len(calls) > 0 && calls[len(calls)-1].Status == statusTooManyRequests
}

// noCallPending reports whether no promote call can take effect any more, given that the
// chosen instance is not running. Unless fencing prevents the calls of other control
// servers, this control server must have made all recorded calls itself.
func noCallPending(evidence Evidence, timing Timing) bool {
	refused, found := lastRefusedCall(evidence)
	fencingApplies := found && evidence.FencingEnforced && refused.FencingToken == evidence.Writer.FencingToken
	allCallsKnown := fencingApplies || len(evidence.PromoteCalls) >= evidence.Writer.PromoteCalls
	if len(evidence.PromoteCalls) == 0 || !allCallsKnown {
		return false
	}
	for _, call := range evidence.PromoteCalls {
		if call.Instance != evidence.Writer.Promoting {
			return false
		}
		expired := found && isExpiredBy(call, refused, timing)
		fencedOff := fencingApplies && isFencedBy(call, refused)
		if !call.hadNoEffect() && !expired && !fencedOff {
			return false
		}
	}
	return true
}

// hadNoEffect reports whether the call was never sent, or was refused by the platform
// because the instance cannot be promoted.
func (c PromoteCall) hadNoEffect() bool { return c.Unsent || c.Status == statusConflict }

// isExpiredBy reports whether an accepted call can no longer take effect because a call
// made at least PromoteRetryInterval later was refused: an accepted call takes effect
// within that interval, or never.
func isExpiredBy(call, refused PromoteCall, timing Timing) bool {
	return call.Status == statusOK && call.Age >= refused.Age+timing.PromoteRetryInterval
}

// isFencedBy reports whether the platform will refuse an earlier call that it has not
// accepted, if that call still arrives, because it has received the higher fencing token
// of the refused call.
func isFencedBy(call, refused PromoteCall) bool {
	return call.Status != statusOK && call.FencingToken < refused.FencingToken
}

// lastRefusedCall returns the latest call for the chosen instance that the platform
// refused because the instance cannot be promoted.
func lastRefusedCall(evidence Evidence) (last PromoteCall, found bool) {
	for _, call := range evidence.PromoteCalls {
		if call.Instance == evidence.Writer.Promoting && call.Status == statusConflict {
			last, found = call, true
		}
	}
	return last, found
}
