package syncrepl

import (
	"time"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// Observation is the combined view that the control primary and the nodes have of one
// instance. Ages are relative to the time at which the evidence was collected.
type Observation struct {
	Instance model.Instance
	// ContactAge is the age of the latest announcement that the control primary
	// received from the instance, or of the latest answer that a node with a lease
	// received, whichever is smaller.
	ContactAge time.Duration
	// ReportingNodes is the number of nodes with a lease that had evidence for or
	// against the instance in the last second. RefusedNodes of them had connections
	// refused, and OverdueNodes of them have waited too long for an answer.
	ReportingNodes int
	RefusedNodes   int
	OverdueNodes   int
	// AnswerAge is the age of the latest answer that a node with a lease received.
	AnswerAge time.Duration
	// UnobservedFor is how long no node has had evidence for or against the instance.
	UnobservedFor time.Duration
}

// ProbeResult is the outcome of the control server's last command to an instance: a
// status query or an order to step down. If the instance did not answer, Answered, Busy
// and Gone are false, and Role, Term and Position are empty.
type ProbeResult struct {
	// Age is how long ago the command was answered or failed.
	Age time.Duration
	// Answered is true if the instance returned its status. Busy is true if it is
	// running, but returned no status. Gone is true if no instance of that name
	// exists.
	Answered bool
	Busy     bool
	Gone     bool
	Role     string
	Term     uint64
	Position model.Position
	// AfterSettled is true if the command was sent after the writer role was settled
	// in its current phase.
	AfterSettled bool
	// GapSequence and Tenure are the values in the evidence that the command was
	// based on.
	GapSequence uint64
	Tenure      string
}

// leads reports whether the instance answered as primary of a term.
func (p ProbeResult) leads(term uint64) bool {
	return p.Answered && p.Role == model.RolePrimary && p.Term == term
}

// PromoteCall is the outcome of one promote call of this control server.
type PromoteCall struct {
	Instance string
	// Age is how long ago the call was made.
	Age time.Duration
	// Status is the HTTP status of the answer. It is 0 until an answer is read, and
	// stays 0 if none is read.
	Status       int
	FencingToken uint64
	// Unsent is true if the call never left this control server.
	Unsent bool
}

// Evidence is the input of a step. The control primary collects it, except for Self,
// Probes, PromoteCalls and FencingEnforced, which the deciding control server adds
// itself.
type Evidence struct {
	Database string
	// Self is the name of the deciding control server.
	Self   string
	Writer model.WriterRole
	// Known is true if a writer role is recorded for the database. Version is the
	// version of that record.
	Known        bool
	Version      store.Version
	Observations []Observation
	// Settled is true if every node that may hold a lease has acknowledged the phase
	// of the writer role. SettledFor is how long this has been true.
	Settled    bool
	SettledFor time.Duration
	// GapSequence is the number of the latest event that made the nodes' reports
	// incomplete: an expired lease, a restarted node or a new control primary. If
	// CoveredSequence has reached GapSequence, CommitBound is at or past the position
	// of every acknowledged commit.
	GapSequence     uint64
	CoveredSequence uint64
	CommitBound     model.Position
	// Tenure identifies the control primary and its current period in that role.
	Tenure string
	// GatheredFor is how long the control primary has collected reports.
	GatheredFor time.Duration
	// WallNanos is the current wall time, in nanoseconds since the Unix epoch.
	WallNanos int64
	// Probes are the latest probe results, by instance name. PromoteCalls are the
	// calls made in the current phase, oldest first.
	Probes       map[string]ProbeResult
	PromoteCalls []PromoteCall
	// FencingEnforced is true if the platform refuses a call whose fencing token is
	// lower than one that it has already received for the database.
	FencingEnforced bool
}

// IsBoundComplete reports whether CommitBound covers every acknowledged commit.
func (e Evidence) IsBoundComplete() bool { return e.CoveredSequence >= e.GapSequence }

func (e Evidence) observation(name string) (Observation, bool) {
	for _, observed := range e.Observations {
		if observed.Instance.Name == name {
			return observed, true
		}
	}
	return Observation{}, false
}

// contactAge returns the age of the latest contact that the nodes or this control server
// had with an instance.
func (e Evidence) contactAge(observed Observation) time.Duration {
	probe, probed := e.Probes[observed.Instance.Name]
	if probed && (probe.Answered || probe.Busy) {
		return min(observed.ContactAge, probe.Age)
	}
	return observed.ContactAge
}

// currentRole returns the role that an instance announced or answered last.
func (e Evidence) currentRole(observed Observation) string {
	probe := e.Probes[observed.Instance.Name]
	if probe.Answered && probe.Age <= observed.ContactAge {
		return probe.Role
	}
	return observed.Instance.Role
}

// claimsPrimary reports whether an instance had recent contact, and its latest
// announcement or answer has the role of primary.
func (e Evidence) claimsPrimary(observed Observation, timing Timing) bool {
	return e.currentRole(observed) == model.RolePrimary && e.contactAge(observed) <= timing.MaxContactAge
}

// newerPrimary returns the running instance that answered as primary of the highest term
// above the recorded term.
func (e Evidence) newerPrimary() (primary model.Instance, probe ProbeResult, found bool) {
	for _, observed := range e.Observations {
		candidate := e.Probes[observed.Instance.Name]
		leading := candidate.Answered && candidate.Role == model.RolePrimary && !observed.Instance.Stopped
		if leading && candidate.Term > max(e.Writer.Term, probe.Term) {
			primary, probe, found = observed.Instance, candidate, true
		}
	}
	return primary, probe, found
}

func (e Evidence) probeDue(name string, interval time.Duration) bool {
	probe, probed := e.Probes[name]
	return !probed || probe.Age > interval
}

// warmedUp reports whether the nodes' reports may count as evidence against the primary:
// reports have been collected for long enough, and the last transition is long enough
// ago. A transition in the future means that the clock was set back, and counts as long
// ago.
func (e Evidence) warmedUp(timing Timing) bool {
	sinceTransition := e.sinceTransition()
	return e.GatheredFor > timing.ReportWarmup && (sinceTransition > timing.TermWarmup || sinceTransition < 0)
}

func (e Evidence) sinceTransition() time.Duration {
	return time.Duration(e.WallNanos - e.Writer.LastTransitionAt)
}

// isUnobserved reports whether nothing has recently been observed of the primary: no node
// has evidence for or against it, and there has been no contact with it. It is false
// until the reports are warmed up.
func (e Evidence) isUnobserved(primary Observation, timing Timing) bool {
	return primary.ReportingNodes == 0 && primary.UnobservedFor > timing.UnobservedTimeout &&
		e.contactAge(primary) > timing.SilenceTimeout && e.warmedUp(timing)
}

// recentReplicas returns the running instances other than the primary that had contact
// within the retention. They are recorded without incarnations, since the position in
// the answer to a probe proves which commits a replica holds.
func (e Evidence) recentReplicas(primary string, timing Timing) map[string]string {
	replicas := map[string]string{}
	for _, observed := range e.Observations {
		instance := observed.Instance
		if instance.Name != primary && !instance.Stopped && e.contactAge(observed) <= timing.ReplicaRetention {
			replicas[instance.Name] = ""
		}
	}
	return replicas
}
