package syncrepl

import (
	"time"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// Observation is what the nodes know of one instance. Ages count back from the
// moment at which the evidence was put together.
type Observation struct {
	Instance model.Instance
	// ContactAge is the age of the latest announcement to, or answer at, any node.
	ContactAge time.Duration
	// ReportingNodes counts the nodes with a lease that had evidence of the
	// instance in the last second. RefusedNodes of them had connections refused,
	// OverdueNodes have waited too long for an answer.
	ReportingNodes int
	RefusedNodes   int
	OverdueNodes   int
	// AnswerAge is the age of the latest answer at any of them.
	AnswerAge time.Duration
	// UnobservedFor is how long no node has had evidence for or against it.
	UnobservedFor time.Duration
}

// ProbeResult is the outcome of the control server's last order to an instance.
// It is the zero value, but for its age, where nothing was answered.
type ProbeResult struct {
	// Age is how long ago the order was answered or failed.
	Age time.Duration
	// Answered says that the instance gave its status; Busy that it is running,
	// but gave none; Gone that no instance of that name exists.
	Answered bool
	Busy     bool
	Gone     bool
	Role     string
	Term     uint64
	Position model.Position
	// AfterSettled says that the order was sent once the writer role was settled
	// in its current phase.
	AfterSettled bool
	// GapSequence and Tenure are those of the evidence that the order was based on.
	GapSequence uint64
	Tenure      string
}

// leads says whether the instance answered as primary of a term.
func (p ProbeResult) leads(term uint64) bool {
	return p.Answered && p.Role == model.RolePrimary && p.Term == term
}

// PromoteCall is the outcome of one promote call of this control server.
type PromoteCall struct {
	Instance string
	// Age is how long ago the call was made.
	Age time.Duration
	// Status is the HTTP status, or 0 where no answer was read (yet).
	Status       int
	FencingToken uint64
	// Unsent says that the call never left this control server.
	Unsent bool
}

// Evidence is all that a step depends on. The control primary puts it together,
// except for Self, Probes, PromoteCalls and FencingEnforced, which are the
// deciding control server's own.
type Evidence struct {
	Database string
	// Self is the name of the deciding control server.
	Self   string
	Writer model.WriterRole
	// Known says that a writer role is recorded for the database, with Version.
	Known        bool
	Version      store.Version
	Observations []Observation
	// Settled says that every node that may hold a lease acknowledged the phase,
	// SettledFor how long that has been so.
	Settled    bool
	SettledFor time.Duration
	// GapSequence numbers the events that made the nodes' reports incomplete: a
	// lease that expired, a restarted node, a new control primary. Where
	// CoveredSequence has reached it, CommitBound is at or past the position of
	// every acknowledged commit.
	GapSequence     uint64
	CoveredSequence uint64
	CommitBound     model.Position
	// Tenure identifies the control primary's term of office.
	Tenure string
	// GatheredFor is how long the control primary has collected reports.
	GatheredFor time.Duration
	// WallNanos is the current wall time, in nanoseconds since the Unix epoch.
	WallNanos int64
	// Probes holds the latest probe of each instance, PromoteCalls the calls made
	// in the current phase, oldest first.
	Probes       map[string]ProbeResult
	PromoteCalls []PromoteCall
	// FencingEnforced says that the platform refuses a call whose fencing token
	// is below one that it has seen for the database.
	FencingEnforced bool
}

// IsBoundComplete says whether CommitBound covers every acknowledged commit.
func (e Evidence) IsBoundComplete() bool { return e.CoveredSequence >= e.GapSequence }

func (e Evidence) observation(name string) (Observation, bool) {
	for _, observed := range e.Observations {
		if observed.Instance.Name == name {
			return observed, true
		}
	}
	return Observation{}, false
}

// contactAge is the age of the latest contact of the nodes or of this server.
func (e Evidence) contactAge(observed Observation) time.Duration {
	probe, probed := e.Probes[observed.Instance.Name]
	if probed && (probe.Answered || probe.Busy) {
		return min(observed.ContactAge, probe.Age)
	}
	return observed.ContactAge
}

// currentRole is the role that was announced or answered last.
func (e Evidence) currentRole(observed Observation) string {
	probe := e.Probes[observed.Instance.Name]
	if probe.Answered && probe.Age <= observed.ContactAge {
		return probe.Role
	}
	return observed.Instance.Role
}

// claimsPrimary says whether a running instance with recent contact is in the
// role of primary, as far as is known.
func (e Evidence) claimsPrimary(observed Observation, timing Timing) bool {
	return e.currentRole(observed) == model.RolePrimary && e.contactAge(observed) <= timing.MaxContactAge
}

// newerPrimary gives the instance that answered as primary of the highest term
// above the recorded one.
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

// warmedUp says whether reports have been collected for long enough, and the
// term been open for long enough, for reports to tell against the primary. A
// transition in the future means that the clock was set back.
func (e Evidence) warmedUp(timing Timing) bool {
	sinceTransition := e.sinceTransition()
	return e.GatheredFor > timing.ReportWarmup && (sinceTransition > timing.TermWarmup || sinceTransition < 0)
}

func (e Evidence) sinceTransition() time.Duration {
	return time.Duration(e.WallNanos - e.Writer.LastTransitionAt)
}

// isUnobserved says whether nothing at all is known of the primary of late.
func (e Evidence) isUnobserved(primary Observation, timing Timing) bool {
	return primary.ReportingNodes == 0 && primary.UnobservedFor > timing.UnobservedTimeout &&
		e.contactAge(primary) > timing.SilenceTimeout && e.warmedUp(timing)
}

// recentReplicas gives the running instances other than the primary with contact
// within the retention. They are recorded without incarnations: what a replica
// holds is proven by its position when it is probed.
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
