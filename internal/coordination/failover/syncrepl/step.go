// Package syncrepl is the machine by which the holder of the duty moves the
// writer role of a synced database, whose instances judge themselves when a
// commit is safe: close the term, hear that every node has dropped the
// primary, ask the replicas for their positions, record the intent, make the
// promote call, learn its outcome by asking, open the new term.
package syncrepl

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// Sight is what the fleet sees of one instance.
type Observation struct {
	Instance model.Instance
	// Heard is how long ago anybody heard it announce or had its answer.
	ContactAge time.Duration
	// Tried counts the leased nodes with evidence of it in the last second;
	// Refused and Overdue those to which it refuses connections, or owes an
	// answer for long.
	ReportingNodes int
	RefusedNodes   int
	OverdueNodes   int
	// Answered is the least age of an answer that any of them had.
	AnswerAge time.Duration
	// Blank is for how long no node has had evidence either way.
	UnobservedFor time.Duration
}

// Seen is what the holder of the duty itself was told by an instance.
type ProbeResult struct {
	// Age is how long ago the last order was answered, or failed.
	Age time.Duration
	// IsAnswered says that it gave its row; IsBusy that it lives and gave
	// none; IsGone that no instance of that name is there.
	Answered bool
	Busy     bool
	Gone     bool
	Role     string
	Term     uint64
	Position model.Position
	// IsAfter says that it was asked after the record was settled.
	AfterSettled bool
	// Event is the last one that a case of that tenure showed before it was
	// asked.
	GapSequence uint64
	Tenure      string
}

// Call is the outcome of one promote call that the holder made.
type PromoteCall struct {
	Instance string
	// Age is how long ago it was made.
	Age time.Duration
	// Status is 0 while, or where, no answer was read.
	Status       int
	FencingToken uint64
	// IsUnsent says that it never left this machine.
	Unsent bool
}

// Case is what the duty's holder decides on. Seen and Calls are its own.
type Evidence struct {
	Database     string
	Self         string
	Writer       model.WriterRole
	Known        bool
	Version      store.Version
	Observations []Observation
	// IsSettled says that every node that may hold a lease has taken up the
	// phase; SettledFor is how long that has been so.
	Settled    bool
	SettledFor time.Duration
	// Event numbers what has made the nodes' own reports incomplete: a node
	// that lapsed or was born again, a new control primary. Where Covered is
	// not behind it, Bound lies at or past all that was ever acknowledged.
	GapSequence     uint64
	CoveredSequence uint64
	CommitBound     model.Position
	Tenure          string
	// Age is how long the control primary has gathered reports.
	GatheredFor  time.Duration
	WallNanos    int64
	Probes       map[string]ProbeResult
	PromoteCalls []PromoteCall
	// IsFenced says that the platform refuses calls of a lower fence than one that
	// it has seen for the database.
	FencingEnforced bool
}

// IsWhole says whether Bound covers every commit ever acknowledged.
func (c Evidence) IsBoundComplete() bool { return c.CoveredSequence >= c.GapSequence }

// Record is an effect: write this in place of the case's record.
type Record = failover.Record

// Promote is an effect: make the platform's one call.
type Promote struct {
	Database     string
	Instance     string
	LeaseHolder  string
	FencingToken uint64
}

// Ask is an effect: ask an instance for its status.
type QueryStatus struct {
	Instance string
	Address  string
}

// StepDown is an effect: order an instance out of the writer role.
type StepDown struct {
	Instance string
	Address  string
	Term     uint64
}

// Mark is an effect: tell the control primary a position that covers all that
// was acknowledged before an event.
type ReportBound struct {
	Database    string
	Tenure      string
	GapSequence uint64
	Position    model.Position
}

// Timing holds the machine's bounds.
type Timing struct {
	// Live is how lately an instance must have been heard of to be counted on.
	MaxContactAge time.Duration
	// Known is how long a replica that is not heard of counts as one that may
	// hold what no other does.
	ReplicaRetention time.Duration
	// Gathered is how long reports must have been gathered before they tell
	// against a primary, Settling how long after a term was opened.
	ReportWarmup, TermWarmup time.Duration
	// Refusal, Overdue, Blank and Silence are the ages that suspicion asks for.
	RefusalTimeout, OverdueTimeout, UnobservedTimeout, SilenceTimeout time.Duration
	// Look is how lately an answer must have come to be relied on, Soon the
	// pace of asking while a promotion is under way, Idle that of asking at
	// rest.
	ProbeFreshness, FastProbeInterval, IdleProbeInterval time.Duration
	// Patience is how long the positions of silent replicas are waited for.
	ReplicaWait time.Duration
	// Glance is how long the old primary's own answer is waited for.
	OldPrimaryWait time.Duration
	// Again is the pace of repeated calls, Retry that after a refusal for
	// their rate.
	PromoteRetryInterval, RetryInterval time.Duration
	// Order is the pace of orders to step down.
	StepDownInterval time.Duration
}

// DefaultTiming gives the project's bounds.
func DefaultTiming() Timing {
	return Timing{
		MaxContactAge: 3 * time.Second, ReplicaRetention: time.Minute, ReportWarmup: 700 * time.Millisecond, TermWarmup: time.Second,
		RefusalTimeout: 300 * time.Millisecond, OverdueTimeout: 600 * time.Millisecond, UnobservedTimeout: 2 * time.Second, SilenceTimeout: 2500 * time.Millisecond,
		ProbeFreshness: 900 * time.Millisecond, FastProbeInterval: 75 * time.Millisecond, IdleProbeInterval: time.Second,
		ReplicaWait: 1200 * time.Millisecond, OldPrimaryWait: 100 * time.Millisecond, PromoteRetryInterval: 1500 * time.Millisecond, RetryInterval: 300 * time.Millisecond, StepDownInterval: 500 * time.Millisecond,
	}
}

type phaseHandler func(Evidence, Timing) []any

var phaseHandlers = map[string]phaseHandler{
	"":                   onUnknown,
	model.PhaseOpen:      onOpen,
	model.PhaseClosing:   onClosing,
	model.PhaseClosed:    onClosing,
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

func (c Evidence) contactAge(observed Observation) time.Duration {
	probe, probed := c.Probes[observed.Instance.Name]
	if probed && (probe.Answered || probe.Busy) {
		return min(observed.ContactAge, probe.Age)
	}
	return observed.ContactAge
}

func (c Evidence) currentRole(observed Observation) string {
	probe := c.Probes[observed.Instance.Name]
	if probe.Answered && probe.Age <= observed.ContactAge {
		return probe.Role
	}
	return observed.Instance.Role
}

func (c Evidence) primaryAbove(above uint64) (Observation, ProbeResult, bool) {
	var best Observation
	var by ProbeResult
	isFound := false
	for _, observed := range c.Observations {
		probe := c.Probes[observed.Instance.Name]
		leading := probe.Answered && probe.Role == model.RolePrimary && probe.Term > above && !observed.Instance.Stopped
		if leading && (!isFound || probe.Term > by.Term) {
			best, by, isFound = observed, probe, true
		}
	}
	return best, by, isFound
}

func queryStatus(observed Observation) any {
	return QueryStatus{Instance: observed.Instance.Name, Address: observed.Instance.Address}
}

func (c Evidence) probeDue(name string, pace time.Duration) bool {
	probe, probed := c.Probes[name]
	return !probed || probe.Age > pace
}

func onUnknown(evidence Evidence, timing Timing) []any {
	var primaries []Observation
	for _, observed := range evidence.Observations {
		if evidence.contactAge(observed) <= timing.MaxContactAge && evidence.currentRole(observed) == model.RolePrimary && !observed.Instance.Stopped {
			primaries = append(primaries, observed)
		}
	}
	var asks []any
	best, top := Observation{}, ProbeResult{}
	for _, observed := range primaries {
		probe := evidence.Probes[observed.Instance.Name]
		if !probe.Answered || probe.Age > timing.IdleProbeInterval {
			if evidence.probeDue(observed.Instance.Name, timing.FastProbeInterval) {
				asks = append(asks, queryStatus(observed))
			}
			continue
		}
		if probe.Term > top.Term {
			best, top = observed, probe
		}
	}
	if top.Term == 0 || len(asks) > 0 {
		return asks
	}
	for _, observed := range primaries {
		if probe := evidence.Probes[observed.Instance.Name]; !probe.Answered || probe.Age > timing.IdleProbeInterval {
			return asks
		}
	}
	writer := model.WriterRole{
		Database: evidence.Database, Term: top.Term, Primary: best.Instance.Name, Phase: model.PhaseOpen, LastTransitionAt: evidence.WallNanos,
		SyncReplication: true, TermStart: top.Position, RequiredReplicas: recentReplicas(evidence, best.Instance.Name, timing),
	}
	return []any{Record{Writer: writer, Change: "writer role known", Reason: fmt.Sprintf("%s says it is primary of term %d", best.Instance.Name, top.Term)}}
}

func recentReplicas(evidence Evidence, primary string, timing Timing) map[string]string {
	set := map[string]string{}
	for _, observed := range evidence.Observations {
		if observed.Instance.Name != primary && evidence.contactAge(observed) <= timing.ReplicaRetention && !observed.Instance.Stopped {
			set[observed.Instance.Name] = ""
		}
	}
	return set
}

func (c Evidence) warmedUp(timing Timing) bool {
	since := time.Duration(c.WallNanos - c.Writer.LastTransitionAt)
	return c.GatheredFor > timing.ReportWarmup && (since > timing.TermWarmup || since < 0)
}

type suspicion func(evidence Evidence, primary Observation, timing Timing) (why string, holds bool)

var suspicions = []suspicion{
	func(_ Evidence, primary Observation, _ Timing) (string, bool) {
		return "says that it is leaving", primary.Instance.Leaving
	},
	func(_ Evidence, primary Observation, _ Timing) (string, bool) {
		return "is gone", primary.Instance.Stopped
	},
	func(evidence Evidence, _ Observation, _ Timing) (string, bool) {
		leader, probe, exists := evidence.primaryAbove(evidence.Writer.Term)
		return fmt.Sprintf("%s says it is primary of term %d", leader.Instance.Name, probe.Term), exists
	},
	func(evidence Evidence, primary Observation, timing Timing) (string, bool) {
		probe := evidence.Probes[primary.Instance.Name]
		return "says that it is a replica", probe.Answered && probe.Age < timing.ProbeFreshness && probe.Role == model.RoleReplica
	},
	func(evidence Evidence, primary Observation, timing Timing) (string, bool) {
		holds := primary.RefusedNodes*2 > primary.ReportingNodes && primary.AnswerAge > timing.RefusalTimeout && evidence.warmedUp(timing)
		return fmt.Sprintf("refuses %d of %d nodes", primary.RefusedNodes, primary.ReportingNodes), holds
	},
	func(evidence Evidence, primary Observation, timing Timing) (string, bool) {
		holds := primary.OverdueNodes*2 > primary.ReportingNodes && primary.AnswerAge > timing.OverdueTimeout && evidence.warmedUp(timing)
		return fmt.Sprintf("owes answers to %d of %d nodes", primary.OverdueNodes, primary.ReportingNodes), holds
	},
	func(evidence Evidence, primary Observation, timing Timing) (string, bool) {
		probe, probed := evidence.Probes[primary.Instance.Name]
		down := probed && probe.Age < timing.IdleProbeInterval && !probe.Answered && !probe.Busy
		return "no node has evidence of it, it announces nothing and answers no status", down && evidence.isUnobserved(primary, timing)
	},
}

func (c Evidence) isUnobserved(primary Observation, timing Timing) bool {
	return primary.ReportingNodes == 0 && primary.UnobservedFor > timing.UnobservedTimeout && c.contactAge(primary) > timing.SilenceTimeout && c.warmedUp(timing)
}

func onOpen(evidence Evidence, timing Timing) []any {
	primary, known := evidence.observation(evidence.Writer.Primary)
	why, isSuspect := "no node has heard of it", !known && evidence.GatheredFor > timing.MaxContactAge
	for _, suspect := range suspicions {
		if reason, holds := suspect(evidence, primary, timing); known && holds && !isSuspect {
			why, isSuspect = reason, true
		}
	}
	if !isSuspect {
		return maintainOpenTerm(evidence, primary, known, timing)
	}
	if !hasOtherInstance(evidence, timing) {
		return recordReason(evidence, fmt.Sprintf("%s %s, and no other instance can be heard", evidence.Writer.Primary, why))
	}
	writer := model.CloneWriterRole(evidence.Writer)
	writer.Phase, writer.LastTransitionAt, writer.Reason = model.PhaseClosing, evidence.WallNanos, evidence.Writer.Primary+" "+why
	return []any{Record{Writer: writer, Change: "term closing", Reason: writer.Reason}}
}

func hasOtherInstance(evidence Evidence, timing Timing) bool {
	return slices.ContainsFunc(evidence.Observations, func(observed Observation) bool {
		instance := observed.Instance
		return instance.Name != evidence.Writer.Primary && !instance.Leaving && !instance.Stopped && evidence.contactAge(observed) <= timing.MaxContactAge
	})
}

func maintainOpenTerm(evidence Evidence, primary Observation, known bool, timing Timing) []any {
	var effects []any
	for _, observed := range evidence.Observations {
		effects = append(effects, demoteRival(evidence, observed, timing)...)
	}
	name := evidence.Writer.Primary
	probe := evidence.Probes[name]
	isTelling := probe.Answered && probe.Role == model.RolePrimary && probe.Term == evidence.Writer.Term
	isTelling = isTelling && probe.GapSequence >= evidence.GapSequence && probe.Tenure == evidence.Tenure
	if !evidence.IsBoundComplete() && isTelling {
		effects = append(effects, ReportBound{Database: evidence.Database, Tenure: evidence.Tenure, GapSequence: evidence.GapSequence, Position: probe.Position})
	}
	isWanted := !evidence.IsBoundComplete() && !isTelling
	isDoubted := evidence.isUnobserved(primary, timing) || evidence.currentRole(primary) == model.RoleReplica
	if known && (isWanted || isDoubted) && evidence.probeDue(name, timing.IdleProbeInterval) {
		effects = append(effects, queryStatus(primary))
	}
	required := knownReplicas(evidence, timing)
	if !maps.Equal(required, evidence.Writer.RequiredReplicas) {
		writer := model.CloneWriterRole(evidence.Writer)
		writer.RequiredReplicas = required
		return append(effects, Record{Writer: writer, Change: "replicas known", Reason: fmt.Sprint(slices.Sorted(maps.Keys(required)))})
	}
	if evidence.Writer.Reason != "" {
		writer := model.CloneWriterRole(evidence.Writer)
		writer.Reason = ""
		return append(effects, Record{Writer: writer, Change: "well again", Reason: evidence.Writer.Reason})
	}
	return effects
}

func knownReplicas(evidence Evidence, timing Timing) map[string]string {
	set := recentReplicas(evidence, evidence.Writer.Primary, timing)
	for name := range evidence.Writer.RequiredReplicas {
		observed, known := evidence.observation(name)
		forgotten := evidence.IsBoundComplete() && evidence.GatheredFor > timing.ReplicaRetention && (!known || evidence.contactAge(observed) > timing.ReplicaRetention)
		if !forgotten && name != evidence.Writer.Primary {
			set[name] = ""
		}
	}
	return set
}

func demoteRival(evidence Evidence, observed Observation, timing Timing) []any {
	name := observed.Instance.Name
	rival := name != evidence.Writer.Primary && !observed.Instance.Stopped && evidence.currentRole(observed) == model.RolePrimary && evidence.contactAge(observed) <= timing.MaxContactAge
	if !rival || !evidence.probeDue(name, timing.StepDownInterval) {
		return nil
	}
	if evidence.Probes[name].Answered && evidence.Probes[name].Term < evidence.Writer.Term {
		return []any{StepDown{Instance: name, Address: observed.Instance.Address, Term: evidence.Writer.Term}}
	}
	return []any{queryStatus(observed)}
}

func recordReason(evidence Evidence, why string) []any {
	if evidence.Writer.Reason == why {
		return nil
	}
	writer := model.CloneWriterRole(evidence.Writer)
	writer.Reason = why
	return []any{Record{Writer: writer, Change: "waiting", Reason: why}}
}

func openNewTerm(evidence Evidence, instance string, probe ProbeResult, why string, timing Timing) any {
	writer := model.WriterRole{
		Database: evidence.Database, Term: probe.Term, Primary: instance, Phase: model.PhaseOpen, LastTransitionAt: evidence.WallNanos, SyncReplication: true,
		PreviousTerm: evidence.Writer.Term, TermStart: probe.Position, HighWatermark: evidence.Writer.HighWatermark.Max(evidence.Writer.MinPosition),
		Promoter: evidence.Writer.Promoter, FencingToken: evidence.Writer.FencingToken, RequiredReplicas: recentReplicas(evidence, instance, timing),
	}
	return Record{Writer: writer, Change: "new term open", Reason: why}
}

type pollResult struct {
	effects   []any
	silent    []string
	gone      []string
	answered  []Observation
	positions map[string]model.Position
}

func (c Evidence) pollReplicas(timing Timing) pollResult {
	found := pollResult{positions: map[string]model.Position{}}
	names := maps.Clone(c.Writer.RequiredReplicas)
	if names == nil {
		names = map[string]string{}
	}
	for _, observed := range c.Observations {
		if (observed.Instance.Name == c.Writer.Primary && !observed.Instance.Stopped) || (c.contactAge(observed) <= timing.ReplicaRetention && !observed.Instance.Stopped) {
			names[observed.Instance.Name] = ""
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		observed, known := c.observation(name)
		probe := c.Probes[name]
		due := c.probeDue(name, timing.RetryInterval) || (!probe.AfterSettled && c.probeDue(name, 0))
		if known && !observed.Instance.Stopped && !probe.Gone && due {
			found.effects = append(found.effects, queryStatus(observed))
		}
		if known && !observed.Instance.Stopped && probe.AfterSettled && probe.Answered && probe.Role == model.RoleReplica {
			found.answered = append(found.answered, observed)
			found.positions[name] = probe.Position
			continue
		}
		if name == c.Writer.Primary {
			continue
		}
		if probe.Gone || observed.Instance.Stopped || !known {
			found.gone = append(found.gone, name)
			continue
		}
		found.silent = append(found.silent, name)
	}
	return found
}

func onClosing(evidence Evidence, timing Timing) []any {
	if !evidence.Settled {
		return nil
	}
	if leader, probe, exists := evidence.primaryAbove(evidence.Writer.Term); exists && probe.AfterSettled {
		return []any{openNewTerm(evidence, leader.Instance.Name, probe, fmt.Sprintf("%s says it is primary of term %d", leader.Instance.Name, probe.Term), timing)}
	}
	found := evidence.pollReplicas(timing)
	old, known := evidence.observation(evidence.Writer.Primary)
	probe, probed := evidence.Probes[evidence.Writer.Primary]
	isStaying := known && !old.Instance.Leaving && !old.Instance.Stopped
	returned := isStaying && probe.AfterSettled && probe.Answered && probe.Role == model.RolePrimary && probe.Term == evidence.Writer.Term
	if returned {
		writer := model.CloneWriterRole(evidence.Writer)
		writer.Phase, writer.LastTransitionAt, writer.Reason = model.PhaseOpen, evidence.WallNanos, ""
		return []any{Record{Writer: writer, Change: "term opened again", Reason: evidence.Writer.Primary + " answers as primary, and nothing was promoted"}}
	}
	isOldAsked := !isStaying || (probed && probe.AfterSettled) || evidence.SettledFor > timing.OldPrimaryWait
	isWaiting := len(found.silent) > 0 && evidence.SettledFor <= timing.ReplicaWait
	if !isOldAsked || isWaiting {
		return found.effects
	}
	pick, why, isProven := evidence.chooseCandidate(found, timing)
	if !isProven {
		return append(found.effects, recordReason(evidence, why)...)
	}
	writer := model.CloneWriterRole(evidence.Writer)
	writer.Phase, writer.Promoting, writer.LastTransitionAt, writer.PromoteCalls, writer.MinPosition = model.PhasePromoting, pick.Instance.Name, evidence.WallNanos, 1, found.positions[pick.Instance.Name]
	return promoteEffects(evidence, writer, "promotion intended", why)
}

func promoteEffects(evidence Evidence, writer model.WriterRole, what, why string) []any {
	isNew := evidence.Writer.Phase != model.PhasePromoting
	if isNew || writer.Promoter != evidence.Self || evidence.FencingEnforced {
		writer.FencingToken++
		writer.Promoter = evidence.Self
	}
	return []any{
		Record{Writer: writer, Change: what, Reason: why},
		Promote{Database: evidence.Database, Instance: writer.Promoting, LeaseHolder: writer.Promoter, FencingToken: writer.FencingToken},
	}
}

// ceiling gives a position at or past all that was acknowledged, where the
// old primary itself, or the instance that has its log by now, told its own
// after the nodes had dropped it.
func (c Evidence) oldPrimaryBound() (model.Position, bool) {
	highest, isTold := model.Position{}, false
	for _, probe := range c.Probes {
		isLeading := probe.Answered && probe.Role == model.RolePrimary && probe.Term == c.Writer.Term
		if c.Settled && probe.AfterSettled && isLeading {
			highest, isTold = highest.Max(probe.Position), true
		}
	}
	return highest, isTold
}

func (c Evidence) chooseCandidate(found pollResult, timing Timing) (Observation, string, bool) {
	if len(found.answered) == 0 {
		return Observation{}, "term is closed, and no replica answers: nothing is promoted", false
	}
	furthest := func(list []Observation) Observation {
		return slices.MaxFunc(list, func(a, b Observation) int {
			return comparePositions(found.positions[a.Instance.Name], found.positions[b.Instance.Name])
		})
	}
	isAll := len(found.silent) == 0 && len(found.gone) == 0
	ceiling, isTold := c.oldPrimaryBound()
	isProven := func(observed Observation) bool {
		position := found.positions[observed.Instance.Name]
		isFurthest := !position.IsBefore(found.positions[furthest(found.answered).Instance.Name])
		isPast := !position.IsBefore(c.Writer.HighWatermark)
		isCovering := isTold && !position.IsBefore(ceiling)
		return isPast && ((isAll && isFurthest) || (c.IsBoundComplete() && !position.IsBefore(c.CommitBound)) || isCovering)
	}
	best := furthest(found.answered)
	staying := slices.DeleteFunc(slices.Clone(found.answered), func(observed Observation) bool { return observed.Instance.Leaving })
	if len(staying) > 0 {
		other := furthest(staying)
		if isProven(other) {
			best = other
		}
		if !isProven(other) && c.SettledFor < timing.ReplicaWait {
			return Observation{}, "a replica that stays is behind one that leaves", false
		}
	}
	position := found.positions[best.Instance.Name]
	reason := fmt.Sprintf("%s received %d.%d; heard %d, silent %v, gone %v; acknowledged up to %d.%d, whole %t", best.Instance.Name,
		position.Term, position.Index, len(found.answered), found.silent, found.gone, c.CommitBound.Term, c.CommitBound.Index, c.IsBoundComplete())
	if isProven(best) {
		return best, reason, true
	}
	return Observation{}, fmt.Sprintf("term is closed, and no replica is shown to hold all that was acknowledged (silent %v, gone %v): nothing is promoted", found.silent, found.gone), false
}

func comparePositions(a, b model.Position) int {
	if a.IsBefore(b) {
		return -1
	}
	if b.IsBefore(a) {
		return 1
	}
	return 0
}

const (
	statusOK              = 200
	statusConflict        = 409
	statusTooManyRequests = 429
)

func onIntent(evidence Evidence, timing Timing) []any {
	if leader, probe, exists := evidence.primaryAbove(evidence.Writer.Term); exists {
		return []any{openNewTerm(evidence, leader.Instance.Name, probe, fmt.Sprintf("%s says it is primary of term %d", leader.Instance.Name, probe.Term), timing)}
	}
	var effects []any
	for _, observed := range evidence.Observations {
		name := observed.Instance.Name
		isRisen := name != evidence.Writer.Primary && evidence.currentRole(observed) == model.RolePrimary && evidence.contactAge(observed) <= timing.MaxContactAge
		if (name == evidence.Writer.Promoting || isRisen) && evidence.probeDue(name, timing.FastProbeInterval) && !evidence.Probes[name].Gone {
			effects = append(effects, queryStatus(observed))
		}
	}
	observed, known := evidence.observation(evidence.Writer.Promoting)
	probe, probed := evidence.Probes[evidence.Writer.Promoting]
	waited := time.Duration(evidence.WallNanos - evidence.Writer.LastTransitionAt)
	gone := (known && observed.Instance.Stopped) || probe.Gone
	down := probed && !probe.Answered && !probe.Busy
	if gone || (down && evidence.noCallPending(timing)) {
		writer := model.CloneWriterRole(evidence.Writer)
		writer.Phase, writer.Promoting, writer.PromoteCalls, writer.LastTransitionAt, writer.MinPosition = model.PhaseClosing, "", 0, evidence.WallNanos, model.Position{}
		return []any{Record{Writer: writer, Change: "intent given up", Reason: evidence.Writer.Promoting + " is not running, and no call for it can take effect"}}
	}
	replica := probe.Answered && probe.Role == model.RoleReplica && probe.Age < timing.ProbeFreshness
	throttled := len(evidence.PromoteCalls) > 0 && evidence.PromoteCalls[len(evidence.PromoteCalls)-1].Status == statusTooManyRequests
	isNext := waited > timing.PromoteRetryInterval || waited < 0 || (throttled && waited > timing.RetryInterval)
	if isNext && (replica || down || throttled) {
		writer := model.CloneWriterRole(evidence.Writer)
		writer.PromoteCalls++
		writer.LastTransitionAt = evidence.WallNanos
		return append(effects, promoteEffects(evidence, writer, "promote call made again", evidence.Writer.Promoting+" does not lead yet")...)
	}
	if waited > 2*timing.PromoteRetryInterval && !replica {
		return append(effects, recordReason(evidence, "promotion of "+evidence.Writer.Promoting+" is in doubt until it is heard again: no other is promoted")...)
	}
	return effects
}

// isOver says that no call for the intended instance, which is not running, can
// take effect any more.
func (c Evidence) noCallPending(timing Timing) bool {
	last, isRefused := PromoteCall{}, false
	for _, call := range c.PromoteCalls {
		if call.Instance == c.Writer.Promoting && call.Status == statusConflict {
			last, isRefused = call, true
		}
	}
	isBarred := c.FencingEnforced && isRefused && last.FencingToken == c.Writer.FencingToken
	isOpen := func(call PromoteCall) bool {
		if call.Instance != c.Writer.Promoting {
			return true
		}
		isPast := call.Status == statusOK && isRefused && call.Age >= last.Age+timing.PromoteRetryInterval
		isBelow := isBarred && call.Status != statusOK && call.FencingToken < last.FencingToken
		return !call.Unsent && !isPast && !isBelow && call.Status != statusConflict
	}
	isKnown := isBarred || len(c.PromoteCalls) >= c.Writer.PromoteCalls
	return len(c.PromoteCalls) > 0 && isKnown && !slices.ContainsFunc(c.PromoteCalls, isOpen)
}
