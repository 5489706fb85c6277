package syncrepl

import (
	"time"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

// probeRetention is how long a probe result is kept.
const probeRetention = 2 * time.Minute

// Observer stores the results of one control server's own probes and promote calls, by
// database. It is not safe for concurrent use.
type Observer struct {
	self      string
	databases map[string]*databaseHistory
}

// NewObserver returns an observer without any results. The name of its control server
// is self.
func NewObserver(self string) *Observer {
	return &Observer{self: self, databases: map[string]*databaseHistory{}}
}

// Augment returns the evidence with the probe results and promote calls of this control
// server added.
func (o *Observer) Augment(evidence Evidence, now time.Duration) Evidence {
	history := o.history(evidence.Database)
	history.enterEpisode(newEpisode(evidence.Writer))
	evidence.Self = o.self
	evidence.Probes = history.probeResults(now)
	evidence.PromoteCalls = history.promoteCalls(now)
	return evidence
}

// RecordCommitted updates the history after a record was committed. The effects that
// follow the record in the same step belong to the episode that the record begins.
func (o *Observer) RecordCommitted(record failover.Record) {
	o.history(record.Writer.Database).enterEpisode(newEpisode(record.Writer))
}

// BeginProbe registers a command to an instance that is about to be sent, based on the
// evidence. The returned function takes the outcome and its time; a zero result means
// that the instance did not answer. BeginProbe returns nil while another command to the
// instance is in flight.
func (o *Observer) BeginProbe(evidence Evidence, instance string) func(result ProbeResult, now time.Duration) {
	history := o.history(evidence.Database)
	probe, found := history.probes[instance]
	if !found {
		probe = &probeState{}
		history.probes[instance] = probe
	}
	if probe.inFlight {
		return nil
	}
	probe.inFlight = true
	sentEpisode := history.episode
	return func(result ProbeResult, now time.Duration) {
		result.AfterSettled = evidence.Settled && history.episode == sentEpisode && newEpisode(evidence.Writer) == sentEpisode
		result.GapSequence = evidence.GapSequence
		result.Tenure = evidence.Tenure
		*probe = probeState{result: result, finishedAt: now}
	}
}

// BeginPromote registers a promote call that is about to be made. The returned function
// takes the HTTP status of the answer, or 0 for no answer, and whether the call was never
// sent.
func (o *Observer) BeginPromote(call Promote, now time.Duration) func(status int, unsent bool) {
	history := o.history(call.Database)
	attempt := &promoteAttempt{call: PromoteCall{Instance: call.Instance, FencingToken: call.FencingToken}, startedAt: now}
	history.attempts = append(history.attempts, attempt)
	return func(status int, unsent bool) {
		attempt.call.Status = status
		attempt.call.Unsent = unsent
	}
}

func (o *Observer) history(database string) *databaseHistory {
	history, found := o.databases[database]
	if !found {
		history = &databaseHistory{probes: map[string]*probeState{}}
		o.databases[database] = history
	}
	return history
}

// episode identifies one period of the writer role in a phase. If a term is closed twice,
// each closing is a separate episode.
type episode struct {
	term      uint64
	phase     string
	promoting string
	closingAt int64
}

func newEpisode(writer model.WriterRole) episode {
	current := episode{term: writer.Term, phase: writer.Phase, promoting: writer.Promoting}
	if writer.Phase == model.PhaseClosing {
		current.closingAt = writer.LastTransitionAt
	}
	return current
}

type probeState struct {
	result ProbeResult
	// finishedAt is zero until the first command has an outcome.
	finishedAt time.Duration
	inFlight   bool
}

type promoteAttempt struct {
	call      PromoteCall
	startedAt time.Duration
}

// databaseHistory is the history of one database. Probe results are kept beyond their
// episode, but only within their episode can they count as sent after settling.
type databaseHistory struct {
	episode  episode
	probes   map[string]*probeState
	attempts []*promoteAttempt
}

func (h *databaseHistory) enterEpisode(next episode) {
	if h.episode == next {
		return
	}
	h.episode = next
	h.attempts = nil
	for _, probe := range h.probes {
		probe.result.AfterSettled = false
	}
}

// probeResults returns the probe results by instance name, and deletes those that are
// older than probeRetention.
func (h *databaseHistory) probeResults(now time.Duration) map[string]ProbeResult {
	results := map[string]ProbeResult{}
	for name, probe := range h.probes {
		if probe.finishedAt == 0 {
			continue
		}
		age := now - probe.finishedAt
		if age > probeRetention && !probe.inFlight {
			delete(h.probes, name)
			continue
		}
		result := probe.result
		result.Age = age
		results[name] = result
	}
	return results
}

func (h *databaseHistory) promoteCalls(now time.Duration) []PromoteCall {
	var calls []PromoteCall
	for _, attempt := range h.attempts {
		call := attempt.call
		call.Age = now - attempt.startedAt
		calls = append(calls, call)
	}
	return calls
}
