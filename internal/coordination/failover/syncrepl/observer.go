package syncrepl

import (
	"time"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

const probeRetention = 2 * time.Minute

type episode struct {
	term          uint64
	phase, intent string
	since         int64
}

func newEpisode(writer model.WriterRole) episode {
	one := episode{term: writer.Term, phase: writer.Phase, intent: writer.Promoting}
	if writer.Phase == model.PhaseClosing {
		one.since = writer.LastTransitionAt
	}
	return one
}

type probeState struct {
	result     ProbeResult
	finishedAt time.Duration
	inFlight   bool
}

type promoteAttempt struct {
	call      PromoteCall
	startedAt time.Duration
}

// evidence is what the holder saw of one database: looks last from episode to
// episode, but count as seen after the settling only within their own.
type databaseHistory struct {
	episode  episode
	probes   map[string]*probeState
	attempts []*promoteAttempt
}

func (e *databaseHistory) enterEpisode(to episode) {
	if e.episode == to {
		return
	}
	e.episode, e.attempts = to, nil
	for _, one := range e.probes {
		one.result.AfterSettled = false
	}
}

// Holder keeps what one control machine itself learned of the databases whose
// duty it holds, or held.
type Observer struct {
	self      string
	databases map[string]*databaseHistory
}

// NewHolder makes one that has seen nothing.
func NewObserver(self string) *Observer {
	return &Observer{self: self, databases: map[string]*databaseHistory{}}
}

func (h *Observer) history(database string) *databaseHistory {
	history, found := h.databases[database]
	if !found {
		history = &databaseHistory{probes: map[string]*probeState{}}
		h.databases[database] = history
	}
	return history
}

// Show gives the case with what the holder itself saw in it.
func (h *Observer) Augment(evidence Evidence, now time.Duration) Evidence {
	history := h.history(evidence.Database)
	history.enterEpisode(newEpisode(evidence.Writer))
	evidence.Self, evidence.Probes, evidence.PromoteCalls = h.self, map[string]ProbeResult{}, nil
	for name, one := range history.probes {
		if one.finishedAt == 0 {
			continue
		}
		if now-one.finishedAt > probeRetention && !one.inFlight {
			delete(history.probes, name)
			continue
		}
		probe := one.result
		probe.Age = now - one.finishedAt
		evidence.Probes[name] = probe
	}
	for _, one := range history.attempts {
		call := one.call
		call.Age = now - one.startedAt
		evidence.PromoteCalls = append(evidence.PromoteCalls, call)
	}
	return evidence
}

// Recorded takes in that a record which the holder asked for is kept; what
// Step gave after it is carried out then.
func (h *Observer) RecordCommitted(record failover.Record) {
	h.history(record.Writer.Database).enterEpisode(newEpisode(record.Writer))
}

// Order takes in that an instance is given an order, and gives the function to
// be told what came of it, with the time: an empty Seen where nothing did. It
// gives nil while an order to the instance is under way.
func (h *Observer) BeginProbe(evidence Evidence, instance string) func(probe ProbeResult, now time.Duration) {
	history := h.history(evidence.Database)
	one, known := history.probes[instance]
	if !known {
		one = &probeState{}
		history.probes[instance] = one
	}
	if one.inFlight {
		return nil
	}
	one.inFlight = true
	asked := history.episode
	return func(probe ProbeResult, now time.Duration) {
		probe.AfterSettled = evidence.Settled && history.episode == asked && newEpisode(evidence.Writer) == asked
		probe.GapSequence, probe.Tenure = evidence.GapSequence, evidence.Tenure
		one.inFlight, one.finishedAt, one.result = false, now, probe
	}
}

// Call takes in that the promote call is made, and gives the function to be
// told the status answered, and whether the call left this machine at all.
func (h *Observer) BeginPromote(call Promote, now time.Duration) func(status int, isUnsent bool) {
	history := h.history(call.Database)
	one := &promoteAttempt{call: PromoteCall{Instance: call.Instance, FencingToken: call.FencingToken}, startedAt: now}
	history.attempts = append(history.attempts, one)
	return func(status int, isUnsent bool) { one.call.Status, one.call.Unsent = status, isUnsent }
}
